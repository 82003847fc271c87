#pragma once

#include "quorum.h"

#include <optional>
#include <string>

namespace egret {

/// Why a data folder can't be used.
enum class QuorumLogError {
    none,
    unusable, ///< the operating system refuses
    inUse,    ///< another process holds the folder
    foreign,  ///< the folder was made for another address
    corrupt,  ///< a record that was on disk is damaged
};

/// The log file of a quorum member: records with checksums in one file that is
/// replaced as a whole by a rename. Not thread safe.
class QuorumLog
{
public:
    /// `endpoint` is the link address of this instance; a folder belongs to one.
    QuorumLog(std::string folder, std::string endpoint);
    ~QuorumLog();
    QuorumLog(const QuorumLog &) = delete;
    QuorumLog &operator=(const QuorumLog &) = delete;

    /// Opens the log or makes a new one. What was not on disk for sure and is
    /// damaged is cut off with all that follows; damage before that is refused.
    /// Call once, first.
    std::optional<QuorumMemory> open(Reason<QuorumLogError> &reason);

    /// True when `open` made the data folder's log.
    bool isFresh() const { return this->fresh; }

    /// Appends records; they last only after `sync`. Ends the process when the
    /// disk refuses.
    void append(const std::vector<QuorumRecord> &records);

    /// Returns once all that was appended is on disk. A failure ends the
    /// process: what the disk holds after it is not known.
    void sync();

    /// Replaces the file by one that holds `memory`, on disk on return.
    void rewrite(const QuorumMemory &memory);

    /// Bytes appended since the file was last replaced.
    std::uint64_t appendedBytes() const { return this->appended; }

private:
    bool lockFolder(Reason<QuorumLogError> &reason);
    std::optional<QuorumMemory> replay(const std::string &content, std::size_t &end,
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
