#pragma once

#include "quorum.h"
#include "quorum_log.h"

#include <optional>

namespace egret {

/// One turn of the disk: a new file or appended records, and a sync.
struct LogJob
{
    /// State for a new log file. The file replaces `records`, which `state` includes.
    std::optional<QuorumPersistentState> state;
    /// The records may be appended when the disk has no room for the new file.
    bool mayAppendInstead{ false };
    std::vector<QuorumRecord> records;
    bool mustSync{ false };
    std::uint64_t write{ 0 }; ///< the latest write that the job contains, see Quorum::logSynced
};

struct LogJobResult
{
    /// False: the disk is full, and nothing in the job is on disk.
    bool isDone{ false };
    /// The content of the log file is unknown; only a new file makes the state durable.
    bool mustRewrite{ false };
    bool isRewritten{ false };
    std::uint64_t appendedBytes{ 0 }; ///< QuorumLog::appendedBytes after the job
};

/// Executes a job. Blocks until the disk has answered.
LogJobResult execute(QuorumLog &log, const LogJob &job);

/// Collects the writes of a quorum member while the disk is busy or full, and joins them to one
/// job. The writes of a member whose disk stays full are bounded in bytes: beyond the bound, the
/// next job writes the whole state, which is bounded by compaction. Deterministic; not thread safe.
class LogWriteQueue
{
public:
    void add(const AppendRecords &append);
    void add(const RewriteLog &rewrite);

    /// The next job writes a new file if the disk has room for it.
    void requestRewrite() { this->wantsRewrite = true; }

    /// Returns the next job; empty while a job is executed, when nothing is to be written, and for
    /// a short time after a job found the disk full. `state` is the current state of the member.
    std::optional<LogJob> takeJob(const QuorumPersistentState &state, TimePoint now);

    /// Records the end of the last job. Returns the number of the latest write that is on disk if
    /// the job was done.
    std::optional<std::uint64_t> finishJob(LogJob &&job, const LogJobResult &result, TimePoint now);

    /// True while a new file would probably find no room.
    bool isRewriteDelayed(TimePoint now) const { return now < this->rewriteAt; }

    /// True since the last job found the disk full.
    bool isDiskFull() const { return this->hasFailed; }

    /// Value of QuorumLog::appendedBytes after the last job.
    std::uint64_t appendedBytes() const { return this->appended; }

    /// Bytes of the records that wait for a job.
    std::size_t waitingBytes() const { return this->recordBytes; }

private:
    void dropRecords();

    std::vector<QuorumRecord> records;
    std::size_t recordBytes{ 0 };
    bool hasWork{ false };
    bool mustSync{ false };
    bool wantsRewrite{ false }; ///< a new file saves room, but the records suffice
    bool mustRewrite{ false };  ///< the records don't suffice
    std::uint64_t lastWrite{ 0 };
    bool isBusy{ false };
    bool hasFailed{ false };
    std::uint64_t appended{ 0 };
    TimePoint retryAt;   ///< earliest time of the next job
    TimePoint rewriteAt; ///< earliest time of the next new file that is not needed
};

} // namespace egret
