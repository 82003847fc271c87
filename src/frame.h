#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <mutex>
#include <string>

namespace egret {

/// Version of the frame format; a frame of another version is dropped.
inline constexpr std::uint16_t kFrameVersion = 2;

/// Size limit of a sealed frame.
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

/// Name of a frame error in logs and metrics. Thread safe.
const char *frameErrorName(FrameError error);

/// An authenticated and decoded frame.
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
/// sender, incarnation and a counter, and ends in a keyed BLAKE2b-256 MAC.
/// Bodies with operators' texts are compressed when the gain is worth it.
/// Thread safe.
class FrameSealer
{
public:
    explicit FrameSealer(FrameSealerOptions options);

    /// Encodes and authenticates a message; the counter increases with every frame.
    std::string seal(const Message &message);

    /// Authenticates and decodes a frame; empty with a reason when the frame must
    /// be dropped. Does not detect replays, see ReplayGuard.
    std::optional<Frame> open(std::string_view bytes, std::uint64_t &counter,
                              Reason<FrameError> &reason) const;

private:
    FrameSealerOptions options;
    std::mutex mutex;
    std::uint64_t counter{ 0 };
};

/// Detects replayed frames per sender: rejects counters already seen in the same
/// incarnation or below a sliding window, and frames of an older incarnation.
/// Not thread safe.
class ReplayGuard
{
public:
    /// Returns true and marks the frame as seen when the frame is new.
    bool accept(const std::string &sender, std::uint64_t incarnation, std::uint64_t counter);

private:
    struct Window
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t highest{ 0 };
        std::uint64_t seen{ 0 }; ///< bit i is set when counter `highest - i` was seen
    };
    std::map<std::string, Window> windows;
};

} // namespace egret
