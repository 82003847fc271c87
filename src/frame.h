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
inline constexpr std::size_t kMaxFrameBytes = kMaxWireLength;

/// Reason for which a frame is dropped; `none` for an accepted frame.
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

/// Seals messages (encodes and authenticates a message as a frame) and opens the frames. A
/// frame carries version, cluster, sender, incarnation, counter and message, and ends in a
/// keyed BLAKE2b-256 MAC. A message that carries configuration texts of operators is
/// compressed when compression saves enough bytes. Thread safe.
class FrameSealer
{
public:
    explicit FrameSealer(FrameSealerOptions options);

    /// Encodes and authenticates a message. Each frame has a higher counter than the frame before.
    std::string seal(const Message &message);

    /// Authenticates and decodes a frame, and sets `counter` to the frame's counter; empty with a
    /// reason when the frame must be dropped. Does not detect replays, see ReplayGuard.
    std::optional<Frame> open(std::string_view bytes, std::uint64_t &counter,
                              Reason<FrameError> &reason) const;

private:
    FrameSealerOptions options;
    std::mutex mutex;
    std::uint64_t counter{ 0 };
};

/// Detects replayed frames, for each sender separately. Rejects a frame of an older
/// incarnation, and within the current incarnation a frame whose counter was already
/// accepted or lies below a sliding window. Not thread safe.
class ReplayGuard
{
public:
    /// Returns true when the frame is new, and then records its counter.
    bool accept(const std::string &sender, std::uint64_t incarnation, std::uint64_t counter);

private:
    struct Window
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t highestCounter{ 0 };
        /// Bit i is set when counter `highestCounter - i` was accepted.
        std::uint64_t seenBits{ 0 };
    };
    std::map<std::string, Window> windows;
};

} // namespace egret
