#include "log_write_queue.h"

#include <algorithm>

namespace egret {

namespace {

/// Time after which a job that found the disk full is tried again.
constexpr Milliseconds kFullDiskRetryPeriod = 100ms;
/// Time after which a new file that found the disk full is tried again.
constexpr Milliseconds kRewriteRetryPeriod = 5s;
/// Bound on the records that wait for the disk.
constexpr std::size_t kMaxWaitingBytes = 8U << 20U;
/// Bytes of a record in addition to the payload of its entry.
constexpr std::size_t kRecordOverheadBytes = 64;

std::size_t sizeOf(const std::vector<QuorumRecord> &records)
{
    std::size_t bytes = 0;
    for (const QuorumRecord &record : records) {
        const auto *entry = std::get_if<QuorumEntry>(&record);
        bytes += kRecordOverheadBytes + (entry != nullptr ? entry->payload.size() : 0);
    }
    return bytes;
}

} // namespace

LogJobResult execute(QuorumLog &log, const LogJob &job)
{
    LogJobResult result;
    if (job.state)
        result.isRewritten = result.isDone = log.rewrite(*job.state);
    if (!result.isDone && (!job.state || job.mayAppendInstead)) {
        result.isDone = job.records.empty() || log.append(job.records);
        if (result.isDone && job.mustSync && !log.sync()) {
            result.isDone = false;
            result.mustRewrite = true;
        }
    }
    result.appendedBytes = log.appendedBytes();
    return result;
}

void LogWriteQueue::add(const AppendRecords &append)
{
    this->hasWork = true;
    this->mustSync = this->mustSync || append.sync;
    this->lastWrite = std::max(this->lastWrite, append.write);
    if (this->mustRewrite)
        return;
    this->records.insert(this->records.end(), append.records.begin(), append.records.end());
    this->recordBytes += sizeOf(append.records);
    if (this->recordBytes > kMaxWaitingBytes)
        this->dropRecords();
}

void LogWriteQueue::add(const RewriteLog &rewrite)
{
    this->hasWork = true;
    this->mustSync = true;
    this->lastWrite = std::max(this->lastWrite, rewrite.write);
    if (rewrite.isOptional)
        this->wantsRewrite = true;
    else
        this->dropRecords();
}

/// Leaves the records to a new file, which includes them.
void LogWriteQueue::dropRecords()
{
    this->mustRewrite = true;
    this->records.clear();
    this->recordBytes = 0;
}

std::optional<LogJob> LogWriteQueue::takeJob(const QuorumPersistentState &state, TimePoint now)
{
    if (this->isBusy || now < this->retryAt || !(this->hasWork || this->wantsRewrite))
        return std::nullopt;
    LogJob job{ .mayAppendInstead = !this->mustRewrite,
                .records = std::exchange(this->records, {}),
                .mustSync = this->mustSync,
                .write = this->lastWrite };
    if (this->mustRewrite || this->wantsRewrite) {
        job.state = state;
        this->appended = 0;
    }
    this->isBusy = true;
    this->recordBytes = 0;
    this->hasWork = this->mustSync = this->wantsRewrite = this->mustRewrite = false;
    return job;
}

std::optional<std::uint64_t> LogWriteQueue::finishJob(LogJob &&job, const LogJobResult &result,
                                                      TimePoint now)
{
    this->isBusy = false;
    this->hasFailed = !result.isDone;
    this->appended = result.appendedBytes;
    if (job.state && job.mayAppendInstead && !result.isRewritten)
        this->rewriteAt = now + kRewriteRetryPeriod;
    if (result.isDone)
        return job.write;
    this->retryAt = now + kFullDiskRetryPeriod;
    this->hasWork = true;
    this->mustSync = this->mustSync || job.mustSync;
    if (!job.mayAppendInstead || result.mustRewrite || this->mustRewrite) {
        this->dropRecords();
        return std::nullopt;
    }
    this->recordBytes += sizeOf(job.records);
    job.records.insert(job.records.end(), std::make_move_iterator(this->records.begin()),
                       std::make_move_iterator(this->records.end()));
    this->records = std::move(job.records);
    if (this->recordBytes > kMaxWaitingBytes)
        this->dropRecords();
    return std::nullopt;
}

} // namespace egret
