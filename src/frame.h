#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <mutex>
#include <string>

namespace egret {

/// Version of the frame format; a frame of another version is dropped.
inline constexpr std::uint16_t kFrameVersion = 2;

/// Bytes of the largest sealed frame.
inline constexpr std::size_t kMaxFrameBytes = kMaxWireBytes;

/// Why a frame was dropped.
enum class FrameError {
    none,
    oversize,
    truncated,
    wrongVersion,
    wrongCluster,
    wrongKey,
    replayed,
    garbage
};

/// Short name of a frame error, for logs and metrics. Thread safe.
const char *frameErrorName(FrameError error);

/// An opened frame.
struct Frame
{
    std::string sender;
    std::uint64_t incarnation{ 0 };
    Message message;
};

struct FrameSealerOptions
{
    std::string cluster;
    std::string key; ///< 32 raw bytes
    std::string sender;
    std::uint64_t incarnation{ 0 };
};

/// Seals and opens authenticated frames. A frame carries version, cluster,
/// sender, incarnation and a counter, and ends in a keyed BLAKE2b-256. Bodies
/// that carry operators' texts are packed where that makes them smaller.
/// Thread safe.
class FrameSealer
{
public:
    explicit FrameSealer(FrameSealerOptions options);

    /// Seals a message for a stream; counters grow over all frames sent.
    std::string seal(const Message &message);

    /// Opens a sealed frame; empty with a reason when it is to be dropped.
    /// Replays are not checked here: see ReplayGuard.
    std::optional<Frame> open(std::string_view bytes, std::uint64_t &counter,
                              Reason<FrameError> &reason) const;

private:
    FrameSealerOptions options;
    std::mutex mutex;
    std::uint64_t counter{ 0 };
};

/// Refuses frames that were seen before from the same sender and incarnation,
/// over a sliding window of counters, and frames of an older incarnation.
/// Not thread safe.
class ReplayGuard
{
public:
    /// True when the frame is new; then it counts as seen.
    bool accept(const std::string &sender, std::uint64_t incarnation, std::uint64_t counter);

private:
    struct Window
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t highest{ 0 };
        std::uint64_t seen{ 0 }; ///< bit i: counter highest - i was seen
    };
    std::map<std::string, Window> windows;
};

} // namespace egret
