#include "quorum_log.h"

#include "digest.h"
#include "log.h"
#include "program.h"

#include <sodium.h>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <filesystem>

namespace egret {

namespace {

// Layout of a record: length of the payload, checksum of the length, checksum of the payload,
// payload. Length and checksums are hexadecimal digits. The length has its own checksum;
// otherwise a damaged length would look like a record that was torn at the end of the file.
constexpr std::size_t kLengthDigits = 8;
constexpr std::size_t kChecksumDigits = 16;
constexpr std::size_t kRecordHeaderBytes = kLengthDigits + 2 * kChecksumDigits;
constexpr std::size_t kSnapshotRecordBytes = 1U << 20U;
/// Size from which the records of a new file are written out.
constexpr std::size_t kWriteBufferBytes = 1U << 20U;

std::string checksumOf(std::string_view bytes)
{
    return digestOf(bytes).substr(0, kChecksumDigits);
}

std::string frameRecord(const QuorumRecord &record)
{
    const std::string bytes = encode(record);
    char digits[kLengthDigits + 1];
    std::snprintf(digits, sizeof(digits), "%08zx", bytes.size());
    return digits + checksumOf(digits) + checksumOf(bytes) + bytes;
}

enum class RecordState { whole, torn, damaged };

/// Reads the record at offset `at` and sets `bytes` to its payload. A record is torn when the
/// file ends within the record, or when the record is the last in the file and its payload
/// doesn't match the checksum.
RecordState readRecord(std::string_view content, std::size_t at, std::string &bytes)
{
    const std::string_view rest = content.substr(at);
    if (rest.size() < kRecordHeaderBytes)
        return RecordState::torn;
    // The file ends in zeros when a crash occurs after the file was extended and before the
    // data was written.
    if (rest.find_first_not_of('\0') == std::string_view::npos)
        return RecordState::torn;
    const std::string_view digits = rest.substr(0, kLengthDigits);
    if (checksumOf(digits) != rest.substr(kLengthDigits, kChecksumDigits))
        return RecordState::damaged;
    std::size_t size = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    if (rest.size() < kRecordHeaderBytes + size)
        return RecordState::torn;
    bytes = std::string(rest.substr(kRecordHeaderBytes, size));
    if (checksumOf(bytes) == rest.substr(kLengthDigits + kChecksumDigits, kChecksumDigits))
        return RecordState::whole;
    return rest.size() == kRecordHeaderBytes + size ? RecordState::torn : RecordState::damaged;
}

/// Rebuilds the persistent state of a member from the records of its log file.
struct StateBuilder
{
    void apply(const QuorumIdentity &record)
    {
        this->state.folder = record.folder;
        this->endpoint = record.endpoint;
    }
    void apply(const QuorumVote &record)
    {
        this->state.cluster = record.cluster;
        this->state.term = record.term;
        this->state.votedFor = record.votedFor;
    }
    void apply(const QuorumEntry &record) { this->state.entries.push_back(record); }
    void apply(const QuorumTruncate &record)
    {
        auto &entries = this->state.entries;
        while (!entries.empty() && entries.back().index >= record.from)
            entries.pop_back();
    }
    void apply(const QuorumWatermarks &record)
    {
        for (const QuorumWatermark &watermark : record.watermarks)
            this->state.watermarks[watermark.folder] = watermark;
    }
    void apply(const QuorumSnapshotHeader &record)
    {
        this->state.snapshot.term = record.term;
        this->state.snapshot.index = record.index;
        this->state.snapshot.members = record.members;
    }
    void apply(const QuorumSnapshotBytes &record) { this->snapshotBytes += record.bytes; }
    void apply(const QuorumSyncPoint &) {}

    QuorumPersistentState finish()
    {
        this->state.snapshot.state =
                std::make_shared<const std::string>(std::move(this->snapshotBytes));
        return std::move(this->state);
    }

    QuorumPersistentState state;
    std::string endpoint;
    std::string snapshotBytes;
};

[[noreturn]] void abortProcess(const std::string &path, const char *call)
{
    logError("log file operation failed; terminating",
             { { "path", path }, { "call", call }, { "error", std::strerror(errno) } });
    std::abort();
}

/// True when the last call of the operating system failed because the disk is full.
bool isDiskFull()
{
    return errno == ENOSPC || errno == EDQUOT;
}

std::string newPathOf(const std::string &path)
{
    return path + ".new";
}

void syncFolder(const std::string &folder)
{
    const int handle = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0 || fsync(handle) != 0)
        abortProcess(folder, "fsync");
    close(handle);
}

} // namespace

QuorumLog::QuorumLog(std::string folder, std::string endpoint, WriteCall write, SyncCall syncCall)
    : folder(std::move(folder)), endpoint(std::move(endpoint)), path(this->folder + "/control.log"),
      write(write ? std::move(write) : ::write),
      syncCall(syncCall ? std::move(syncCall) : ::fdatasync)
{}

QuorumLog::~QuorumLog()
{
    if (this->file >= 0)
        close(this->file);
    if (this->lockFile >= 0)
        close(this->lockFile);
}

std::optional<QuorumPersistentState> QuorumLog::open(Reason<QuorumLogError> &reason)
{
    std::error_code error;
    std::filesystem::create_directories(this->folder, error);
    if (!this->lockFolder(reason))
        return std::nullopt;
    // A process that ended within `rewrite` left a new file behind, which takes room on the disk.
    unlink(newPathOf(this->path).c_str());
    // Step 1. A folder without a log file gets a new identity, also when the folder was used
    // before and its log file was deleted.
    if (!std::filesystem::exists(this->path, error)) {
        QuorumPersistentState state;
        randombytes_buf(&state.folder, sizeof(state.folder));
        state.folder = state.folder / 2 + 1;
        this->wasCreated = true;
        if (!this->rewrite(state))
            return fail(reason, QuorumLogError::ioError, this->folder + " is on a full disk");
        syncFolder(std::filesystem::path(this->folder).parent_path().string());
        return state;
    }
    // Step 2. Read the intact records, and truncate the log at a damaged record unless the record
    // was certainly synced.
    const auto content = readFile(this->path);
    if (!content)
        return fail(reason, QuorumLogError::ioError, this->path + " can't be read");
    std::size_t intactBytes = 0;
    auto state = this->replay(*content, intactBytes, reason);
    if (!state)
        return std::nullopt;
    this->file = ::open(this->path.c_str(), O_WRONLY | O_CLOEXEC);
    if (this->file < 0)
        return fail(reason, QuorumLogError::ioError, this->path + " can't be opened");
    if (intactBytes < content->size()) {
        logWarn("torn log tail truncated", { { "path", this->path },
                                             { "at", intactBytes },
                                             { "bytes", content->size() - intactBytes } });
        if (ftruncate(this->file, static_cast<off_t>(intactBytes)) != 0)
            abortProcess(this->path, "ftruncate");
    }
    // Sync the last records, because the previous process may have ended before its sync.
    if (!this->syncFile())
        return fail(reason, QuorumLogError::ioError, this->path + " is on a full disk");
    this->fileBytes = intactBytes;
    this->bytesSinceRewrite = intactBytes;
    return state;
}

bool QuorumLog::lockFolder(Reason<QuorumLogError> &reason)
{
    const std::string lockPath = this->folder + "/control.lock";
    this->lockFile = ::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (this->lockFile < 0) {
        fail(reason, QuorumLogError::ioError, lockPath + " can't be opened");
        return false;
    }
    if (flock(this->lockFile, LOCK_EX | LOCK_NB) != 0) {
        fail(reason, QuorumLogError::inUse, this->folder + " is in use by another process");
        return false;
    }
    return true;
}

std::optional<QuorumPersistentState> QuorumLog::replay(const std::string &content,
                                                       std::size_t &intactBytes,
                                                       Reason<QuorumLogError> &reason) const
{
    StateBuilder builder;
    std::string bytes;
    while (intactBytes < content.size()) {
        const RecordState state = readRecord(content, intactBytes, bytes);
        if (state == RecordState::torn)
            break;
        const auto record = state == RecordState::whole ? decode<QuorumRecord>(bytes)
                                                        : std::optional<QuorumRecord>{};
        // After a power loss, any unsynced write may be missing, even when a later unsynced write
        // is intact.
        if (!record && !wasSynced(content, intactBytes))
            break;
        if (!record)
            return fail(reason, QuorumLogError::corrupt,
                        this->path + " is damaged at byte " + std::to_string(intactBytes)
                                + ": move the folder away and have this instance replaced");
        std::visit([&](const auto &body) { builder.apply(body); }, *record);
        intactBytes += kRecordHeaderBytes + bytes.size();
    }
    if (builder.state.folder == 0)
        return fail(reason, QuorumLogError::corrupt, this->path + " has no identity record");
    if (builder.endpoint != this->endpoint)
        return fail(reason, QuorumLogError::wrongEndpoint,
                    this->folder + " belongs to " + builder.endpoint + ", not to "
                            + this->endpoint);
    return builder.finish();
}

/// True when a sync point shows that the byte at `offset` was synced. A sync point is a record
/// with the size of the file at the last sync.
bool QuorumLog::wasSynced(const std::string &content, std::size_t offset)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    std::string bytes;
    for (std::size_t candidate = offset + 1; candidate + kRecordHeaderBytes <= content.size();
         ++candidate) {
        const std::string_view header =
                std::string_view(content).substr(candidate, kRecordHeaderBytes);
        if (!std::ranges::all_of(header, isDigit)
            || readRecord(content, candidate, bytes) != RecordState::whole)
            continue;
        const auto record = decode<QuorumRecord>(bytes);
        const auto *syncPoint = record ? std::get_if<QuorumSyncPoint>(&*record) : nullptr;
        if (syncPoint != nullptr && syncPoint->bytes > offset)
            return true;
    }
    return false;
}

/// Writes all bytes from `offset` on; false when the disk is full. Bytes that were written before
/// the disk was full are overwritten by the next call, and look like a torn tail until then.
bool QuorumLog::writeAt(int target, const std::string &targetPath, std::uint64_t offset,
                        std::string_view bytes) const
{
    if (lseek(target, static_cast<off_t>(offset), SEEK_SET) < 0)
        abortProcess(targetPath, "lseek");
    while (!bytes.empty()) {
        const ssize_t written = this->write(target, bytes.data(), bytes.size());
        if (written < 0 && isDiskFull())
            return false;
        if (written <= 0)
            abortProcess(targetPath, "write");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool QuorumLog::append(const std::vector<QuorumRecord> &records)
{
    std::string bytes;
    for (const QuorumRecord &record : records)
        bytes += frameRecord(record);
    if (!this->writeAt(this->file, this->path, this->fileBytes, bytes))
        return false;
    this->bytesSinceRewrite += bytes.size();
    this->fileBytes += bytes.size();
    return true;
}

bool QuorumLog::sync()
{
    if (!this->syncFile())
        return false;
    // After a restart, the sync point shows that a damaged record in the synced bytes is a disk
    // error and not a torn write. On a full disk, it is left out.
    if (!this->append({ QuorumSyncPoint{ .bytes = this->fileBytes } }))
        logWarn("disk is full", { { "path", this->path } });
    return true;
}

/// False when the disk is full.
bool QuorumLog::syncFile() const
{
    if (this->syncCall(this->file) == 0)
        return true;
    if (!isDiskFull())
        abortProcess(this->path, "fdatasync");
    return false;
}

/// Closes and removes a new file that the full disk doesn't hold.
void QuorumLog::abandonNewFile(int newFile, const std::string &newPath) const
{
    logWarn("disk is full", { { "path", newPath } });
    if (newFile >= 0)
        close(newFile);
    unlink(newPath.c_str());
}

bool QuorumLog::rewrite(const QuorumPersistentState &state)
{
    // Step 1. Write the whole state to a new file.
    const std::string newPath = newPathOf(this->path);
    const int newFile = ::open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (newFile < 0 && !isDiskFull())
        abortProcess(newPath, "open");
    std::string bytes;
    std::uint64_t written = 0;
    bool hasRoom = newFile >= 0;
    const auto flush = [&] {
        hasRoom = hasRoom && this->writeAt(newFile, newPath, written, bytes);
        written += bytes.size();
        bytes.clear();
    };
    const auto add = [&](const QuorumRecord &record) {
        bytes += frameRecord(record);
        if (bytes.size() >= kWriteBufferBytes)
            flush();
    };
    add(QuorumIdentity{ .folder = state.folder, .endpoint = this->endpoint });
    add(QuorumVote{ .cluster = state.cluster, .term = state.term, .votedFor = state.votedFor });
    QuorumWatermarks watermarks;
    for (const auto &[member, watermark] : state.watermarks)
        watermarks.watermarks.push_back(watermark);
    add(watermarks);
    const std::string &snapshot = *state.snapshot.state;
    add(QuorumSnapshotHeader{ .term = state.snapshot.term,
                              .index = state.snapshot.index,
                              .members = state.snapshot.members,
                              .size = snapshot.size() });
    for (std::size_t at = 0; at < snapshot.size(); at += kSnapshotRecordBytes)
        add(QuorumSnapshotBytes{ .bytes = snapshot.substr(at, kSnapshotRecordBytes) });
    for (const QuorumEntry &entry : state.entries)
        add(entry);
    flush();
    if (!hasRoom) {
        this->abandonNewFile(newFile, newPath);
        return false;
    }
    // Step 2. Sync the new file before the rename and the folder after the rename.
    if (this->syncCall(newFile) != 0) {
        if (!isDiskFull())
            abortProcess(newPath, "fsync");
        this->abandonNewFile(newFile, newPath);
        return false;
    }
    if (rename(newPath.c_str(), this->path.c_str()) != 0)
        abortProcess(newPath, "rename");
    syncFolder(this->folder);
    if (this->file >= 0)
        close(this->file);
    this->file = newFile;
    this->bytesSinceRewrite = 0;
    this->fileBytes = written;
    return true;
}

} // namespace egret
