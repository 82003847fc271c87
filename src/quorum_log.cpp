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

// A record is: length, checksum of the length, checksum of the bytes, bytes;
// the numbers as hexadecimal digits. The length has a checksum of its own, so
// that a damaged length is not taken for a torn end of the file.
constexpr std::size_t kLengthDigits = 8;
constexpr std::size_t kChecksumDigits = 16;
constexpr std::size_t kHeadBytes = kLengthDigits + 2 * kChecksumDigits;
constexpr std::size_t kSnapshotRecordBytes = 1U << 20U;

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

/// Reads the record at `at`. Torn means that the file ends within it.
RecordState readRecord(std::string_view content, std::size_t at, std::string &bytes)
{
    const std::string_view rest = content.substr(at);
    if (rest.size() < kHeadBytes)
        return RecordState::torn;
    // A file that grew before its bytes were written ends in zeros.
    if (rest.find_first_not_of('\0') == std::string_view::npos)
        return RecordState::torn;
    const std::string_view digits = rest.substr(0, kLengthDigits);
    if (checksumOf(digits) != rest.substr(kLengthDigits, kChecksumDigits))
        return RecordState::damaged;
    std::size_t size = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    if (rest.size() < kHeadBytes + size)
        return RecordState::torn;
    bytes = std::string(rest.substr(kHeadBytes, size));
    if (checksumOf(bytes) == rest.substr(kLengthDigits + kChecksumDigits, kChecksumDigits))
        return RecordState::whole;
    return rest.size() == kHeadBytes + size ? RecordState::torn : RecordState::damaged;
}

/// Rebuilds what a member holds from its records.
struct MemoryBuilder
{
    void take(const QuorumIdentity &record)
    {
        this->memory.folder = record.folder;
        this->endpoint = record.endpoint;
    }
    void take(const QuorumVote &record)
    {
        this->memory.cluster = record.cluster;
        this->memory.term = record.term;
        this->memory.votedFor = record.votedFor;
    }
    void take(const QuorumEntry &record) { this->memory.entries.push_back(record); }
    void take(const QuorumTruncate &record)
    {
        auto &entries = this->memory.entries;
        while (!entries.empty() && entries.back().index >= record.from)
            entries.pop_back();
    }
    void take(const QuorumWatermarks &record)
    {
        for (const QuorumWatermark &watermark : record.watermarks)
            this->memory.watermarks[watermark.folder] = watermark;
    }
    void take(const QuorumSnapshotHeader &record)
    {
        this->memory.snapshot.term = record.term;
        this->memory.snapshot.index = record.index;
        this->memory.snapshot.members = record.members;
    }
    void take(const QuorumSnapshotBytes &record) { this->state += record.bytes; }
    void take(const QuorumSyncPoint &) {}

    QuorumMemory finish()
    {
        this->memory.snapshot.state = std::make_shared<const std::string>(std::move(this->state));
        return std::move(this->memory);
    }

    QuorumMemory memory;
    std::string endpoint;
    std::string state;
};

[[noreturn]] void endProcess(const std::string &path, const char *what)
{
    logError("the disk refused; this instance ends",
             { { "path", path }, { "call", what }, { "error", std::strerror(errno) } });
    std::abort();
}

void writeAll(int file, const std::string &path, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = write(file, bytes.data(), bytes.size());
        if (written <= 0)
            endProcess(path, "write");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

void syncFolder(const std::string &folder)
{
    const int handle = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0 || fsync(handle) != 0)
        endProcess(folder, "fsync");
    close(handle);
}

} // namespace

QuorumLog::QuorumLog(std::string folder, std::string endpoint)
    : folder(std::move(folder)), endpoint(std::move(endpoint)), path(this->folder + "/control.log")
{}

QuorumLog::~QuorumLog()
{
    if (this->file >= 0)
        close(this->file);
    if (this->lockFile >= 0)
        close(this->lockFile);
}

std::optional<QuorumMemory> QuorumLog::open(Reason<QuorumLogError> &reason)
{
    std::error_code error;
    std::filesystem::create_directories(this->folder, error);
    if (!this->lockFolder(reason))
        return std::nullopt;
    // Step 1. A folder without a log is a new one, whatever it was before.
    if (!std::filesystem::exists(this->path, error)) {
        QuorumMemory memory;
        randombytes_buf(&memory.folder, sizeof(memory.folder));
        memory.folder = memory.folder / 2 + 1;
        this->fresh = true;
        this->rewrite(memory);
        syncFolder(std::filesystem::path(this->folder).parent_path().string());
        return memory;
    }
    // Step 2. Read what is whole and cut off what was never acknowledged.
    const auto content = readFile(this->path);
    if (!content)
        return fail(reason, QuorumLogError::unusable, this->path + " can't be read");
    std::size_t end = 0;
    auto memory = this->replay(*content, end, reason);
    if (!memory)
        return std::nullopt;
    this->file = ::open(this->path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (this->file < 0)
        return fail(reason, QuorumLogError::unusable, this->path + " can't be opened");
    if (end < content->size()) {
        logWarn("a torn record was cut off",
                { { "path", this->path }, { "at", end }, { "bytes", content->size() - end } });
        if (ftruncate(this->file, static_cast<off_t>(end)) != 0)
            endProcess(this->path, "ftruncate");
    }
    // What was read may not all be on disk yet.
    this->syncFile();
    this->size = end;
    this->appended = end;
    return memory;
}

bool QuorumLog::lockFolder(Reason<QuorumLogError> &reason)
{
    const std::string lockPath = this->folder + "/control.lock";
    this->lockFile = ::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (this->lockFile < 0) {
        fail(reason, QuorumLogError::unusable, lockPath + " can't be opened");
        return false;
    }
    if (flock(this->lockFile, LOCK_EX | LOCK_NB) != 0) {
        fail(reason, QuorumLogError::inUse, this->folder + " is in use by another process");
        return false;
    }
    return true;
}

std::optional<QuorumMemory> QuorumLog::replay(const std::string &content, std::size_t &end,
                                              Reason<QuorumLogError> &reason) const
{
    MemoryBuilder builder;
    std::string bytes;
    while (end < content.size()) {
        const RecordState state = readRecord(content, end, bytes);
        if (state == RecordState::torn)
            break;
        const auto record = state == RecordState::whole ? decode<QuorumRecord>(bytes)
                                                        : std::optional<QuorumRecord>{};
        // Of writes that a loss of power overtook, any may be missing.
        if (!record && !wasSynced(content, end))
            break;
        if (!record)
            return fail(reason, QuorumLogError::corrupt,
                        this->path + " is damaged at byte " + std::to_string(end)
                                + ": move the folder away and have this instance replaced");
        std::visit([&](const auto &body) { builder.take(body); }, *record);
        end += kHeadBytes + bytes.size();
    }
    if (builder.memory.folder == 0)
        return fail(reason, QuorumLogError::corrupt, this->path + " names no data folder");
    if (builder.endpoint != this->endpoint)
        return fail(reason, QuorumLogError::foreign,
                    this->folder + " belongs to " + builder.endpoint + ", not to "
                            + this->endpoint);
    return builder.finish();
}

/// True when a later record says that the bytes at `at` were on disk.
bool QuorumLog::wasSynced(const std::string &content, std::size_t at)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    std::string bytes;
    for (std::size_t from = at + 1; from + kHeadBytes <= content.size(); ++from) {
        const std::string_view head = std::string_view(content).substr(from, kHeadBytes);
        if (!std::ranges::all_of(head, isDigit)
            || readRecord(content, from, bytes) != RecordState::whole)
            continue;
        const auto record = decode<QuorumRecord>(bytes);
        const auto *point = record ? std::get_if<QuorumSyncPoint>(&*record) : nullptr;
        if (point != nullptr && point->bytes > at)
            return true;
    }
    return false;
}

void QuorumLog::append(const std::vector<QuorumRecord> &records)
{
    std::string bytes;
    for (const QuorumRecord &record : records)
        bytes += frameRecord(record);
    writeAll(this->file, this->path, bytes);
    this->appended += bytes.size();
    this->size += bytes.size();
}

void QuorumLog::sync()
{
    this->syncFile();
    // Tells a later start that damage before this point is no torn write.
    this->append({ QuorumSyncPoint{ .bytes = this->size } });
}

void QuorumLog::syncFile()
{
    if (fdatasync(this->file) != 0)
        endProcess(this->path, "fdatasync");
}

void QuorumLog::rewrite(const QuorumMemory &memory)
{
    // Step 1. Everything goes into a new file.
    std::string bytes =
            frameRecord(QuorumIdentity{ .folder = memory.folder, .endpoint = this->endpoint });
    bytes += frameRecord(QuorumVote{
            .cluster = memory.cluster, .term = memory.term, .votedFor = memory.votedFor });
    QuorumWatermarks watermarks;
    for (const auto &[member, watermark] : memory.watermarks)
        watermarks.watermarks.push_back(watermark);
    bytes += frameRecord(watermarks);
    const std::string &state = *memory.snapshot.state;
    bytes += frameRecord(QuorumSnapshotHeader{ .term = memory.snapshot.term,
                                               .index = memory.snapshot.index,
                                               .members = memory.snapshot.members,
                                               .size = state.size() });
    for (std::size_t at = 0; at < state.size(); at += kSnapshotRecordBytes)
        bytes +=
                frameRecord(QuorumSnapshotBytes{ .bytes = state.substr(at, kSnapshotRecordBytes) });
    for (const QuorumEntry &entry : memory.entries)
        bytes += frameRecord(entry);
    const std::string next = this->path + ".new";
    const int handle =
            ::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (handle < 0)
        endProcess(next, "open");
    writeAll(handle, next, bytes);
    // Step 2. Synced before it takes the place of the old one, and the name after.
    if (fsync(handle) != 0)
        endProcess(next, "fsync");
    if (rename(next.c_str(), this->path.c_str()) != 0)
        endProcess(next, "rename");
    syncFolder(this->folder);
    if (this->file >= 0)
        close(this->file);
    this->file = handle;
    this->appended = 0;
    this->size = bytes.size();
}

} // namespace egret
