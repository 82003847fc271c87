#pragma once

#include "quorum.h"

#include <optional>
#include <string>

namespace egret {

/// Reason why a data folder can't be used.
enum class QuorumLogError {
    none,
    ioError,       ///< a file can't be opened or read
    inUse,         ///< another process has locked the folder
    wrongEndpoint, ///< the folder belongs to an instance with another link address
    corrupt,       ///< a synced record is damaged or the identity record is missing
};

/// Log file of a quorum member: a single file of checksummed records. To shorten the log, a
/// new file replaces the whole file by a rename. Not thread safe.
class QuorumLog
{
public:
    /// `endpoint` is the link address of this instance. A data folder is used with only one
    /// link address.
    QuorumLog(std::string folder, std::string endpoint);
    ~QuorumLog();
    QuorumLog(const QuorumLog &) = delete;
    QuorumLog &operator=(const QuorumLog &) = delete;

    /// Opens the log, or creates an empty log. Truncates the log at the first damaged record
    /// if that record may not have been synced; a damaged record that was synced is an error.
    /// Returns nothing and sets `reason` on an error. Call once, before any other method.
    std::optional<QuorumPersistentState> open(Reason<QuorumLogError> &reason);

    /// True when `open` created the log.
    bool isFresh() const { return this->wasCreated; }

    /// Appends records, which are durable only after `sync`. Aborts the process on a write
    /// error.
    void append(const std::vector<QuorumRecord> &records);

    /// Returns when all appended records are on disk. Aborts the process on an error, because
    /// the content of the file on disk is unknown after a failed sync.
    void sync();

    /// Replaces the file by a new file that contains `state`. The new file is on disk on return.
    /// Aborts the process on an error.
    void rewrite(const QuorumPersistentState &state);

    /// Bytes appended since the last `rewrite`. Without a `rewrite` since an existing log was
    /// opened, the size of the file.
    std::uint64_t appendedBytes() const { return this->bytesSinceRewrite; }

private:
    bool lockFolder(Reason<QuorumLogError> &reason);
    /// Rebuilds the state from the records in `content`. Sets `intactBytes` to the size of the
    /// intact records at the beginning.
    std::optional<QuorumPersistentState> replay(const std::string &content,
                                                std::size_t &intactBytes,
                                                Reason<QuorumLogError> &reason) const;
    void syncFile();
    static bool wasSynced(const std::string &content, std::size_t offset);

    std::string folder;
    std::string endpoint;
    std::string path;
    int lockFile{ -1 };
    int file{ -1 };
    bool wasCreated{ false };
    std::uint64_t bytesSinceRewrite{ 0 };
    std::uint64_t fileBytes{ 0 };
};

} // namespace egret
