#pragma once

#include "quorum.h"

#include <optional>
#include <string>

namespace egret {

/// Reason for a data folder to be unusable.
enum class QuorumLogError {
    none,
    ioError,       ///< a file can't be opened or read
    inUse,         ///< another process has locked the folder
    wrongEndpoint, ///< the folder belongs to another link address
    corrupt,       ///< a synced record is damaged or the identity is missing
};

/// Log file of a quorum member: checksummed records in a single file, replaced as a
/// whole by a rename. Not thread safe.
class QuorumLog
{
public:
    /// `endpoint` is the link address of this instance; a folder belongs to one address.
    QuorumLog(std::string folder, std::string endpoint);
    ~QuorumLog();
    QuorumLog(const QuorumLog &) = delete;
    QuorumLog &operator=(const QuorumLog &) = delete;

    /// Opens the log or creates a new one. Truncates the log at a damaged record that
    /// may not have been synced; a damaged record known as synced is an error. Call
    /// once, before any other method.
    std::optional<QuorumPersistentState> open(Reason<QuorumLogError> &reason);

    /// True when `open` created the log.
    bool isFresh() const { return this->fresh; }

    /// Appends records, durable only after `sync`. Ends the process on a write error.
    void append(const std::vector<QuorumRecord> &records);

    /// Returns once all appended records are on disk. Ends the process on an error,
    /// because the content of the disk is unknown after a failed sync.
    void sync();

    /// Replaces the file by one with `state`, which is on disk on return.
    void rewrite(const QuorumPersistentState &state);

    /// Bytes appended since the file was last replaced; after `open` of an existing
    /// log, the size of the file.
    std::uint64_t appendedBytes() const { return this->appended; }

private:
    bool lockFolder(Reason<QuorumLogError> &reason);
    std::optional<QuorumPersistentState> replay(const std::string &content, std::size_t &end,
                                                Reason<QuorumLogError> &reason) const;
    void syncFile();
    static bool wasSynced(const std::string &content, std::size_t at);

    std::string folder;
    std::string endpoint;
    std::string path;
    int lockFile{ -1 };
    int file{ -1 };
    bool fresh{ false };
    std::uint64_t appended{ 0 };
    std::uint64_t size{ 0 }; ///< bytes of the file
};

} // namespace egret
