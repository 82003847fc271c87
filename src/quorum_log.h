#pragma once

#include "quorum.h"

#include <functional>
#include <optional>
#include <string>

namespace egret {

/// Reason why a data folder can't be used.
enum class QuorumLogError {
    none,
    ioError,       ///< the log file or the lock file can't be opened or read
    inUse,         ///< another process has locked the folder
    wrongEndpoint, ///< the folder belongs to an instance with another link address
    corrupt,       ///< a synced record is damaged or the identity record is missing
};

/// Writes bytes to a file like write(2); tests replace it.
using WriteCall = std::function<ssize_t(int file, const void *bytes, std::size_t size)>;
/// Syncs the content of a file like fdatasync(2); tests replace it.
using SyncCall = std::function<int(int file)>;

/// Log file of a quorum member in the member's data folder: a single file of checksummed
/// records. The log is shortened by writing a new file and renaming it to the log file. Not
/// thread safe.
class QuorumLog
{
public:
    /// `folder` is the path of the data folder, and `endpoint` the link address of this instance.
    /// A data folder can be used only with the link address with which it was created.
    QuorumLog(std::string folder, std::string endpoint, WriteCall write = {},
              SyncCall syncCall = {});
    ~QuorumLog();
    QuorumLog(const QuorumLog &) = delete;
    QuorumLog &operator=(const QuorumLog &) = delete;

    /// Opens the log, or creates an empty log, and returns the stored state. Truncates the log at
    /// the first damaged record unless the record was certainly synced; a damaged synced record
    /// is an error. Returns nothing and sets `reason` on an error. Call once, before any other
    /// method.
    std::optional<QuorumPersistentState> open(Reason<QuorumLogError> &reason);

    /// True when `open` created the log.
    bool isFresh() const { return this->wasCreated; }

    /// Appends records, which are durable only after `sync`. Returns false, with the log as it was,
    /// when the disk is full: the caller may append again later. Aborts the process on any other
    /// write error.
    [[nodiscard]] bool append(const std::vector<QuorumRecord> &records);

    /// Returns when all appended records are on disk. Returns false when the disk is full: the
    /// content of the file on disk is then unknown, and only a `rewrite` makes the state durable.
    /// Aborts the process on any other error.
    [[nodiscard]] bool sync();

    /// Replaces the file by a new file that contains `state`. The new file is on disk when
    /// the method returns. Returns false, with the log as it was, when the disk is full. Aborts the
    /// process on any other error.
    [[nodiscard]] bool rewrite(const QuorumPersistentState &state);

    /// Bytes appended since the last `rewrite`. Before the first `rewrite` of an existing log, the
    /// size of the file.
    std::uint64_t appendedBytes() const { return this->bytesSinceRewrite; }

private:
    bool lockFolder(Reason<QuorumLogError> &reason);
    /// Rebuilds the state from the records in `content`. Adds the size of the intact records at
    /// the beginning of `content` to `intactBytes`, which must be 0.
    std::optional<QuorumPersistentState> replay(const std::string &content,
                                                std::size_t &intactBytes,
                                                Reason<QuorumLogError> &reason) const;
    bool writeAt(int target, const std::string &targetPath, std::uint64_t offset,
                 std::string_view bytes) const;
    bool syncFile() const;
    void abandonNewFile(int newFile, const std::string &newPath) const;
    static bool wasSynced(const std::string &content, std::size_t offset);

    std::string folder;
    std::string endpoint;
    std::string path;
    WriteCall write;
    SyncCall syncCall;
    int lockFile{ -1 }; ///< file descriptor, -1 while closed
    int file{ -1 };     ///< file descriptor of the log file, -1 while closed
    bool wasCreated{ false };
    std::uint64_t bytesSinceRewrite{ 0 }; ///< value of `appendedBytes`
    std::uint64_t fileBytes{ 0 };         ///< size of the log file
};

} // namespace egret
