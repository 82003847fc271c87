#pragma once

#include <cstdint>
#include <string>

namespace egret {

/// Reason for which a streamed answer can't continue.
enum class StreamFault : std::uint8_t { none, wrongIdentity, versionChanged, oversizeEvent };

/// Returns the machine-readable name of a fault. Thread safe.
const char *streamFaultName(StreamFault fault);

/// Answer to one client as server-sent events, over any number of attempts.
/// Only complete events are passed on, so that a broken attempt never splits one;
/// the end mark is held back until the answer is known to be complete. The events
/// of an attempt must carry the identity of that attempt and the weights version of
/// the first attempt. Deterministic; not thread safe.
class EventStream
{
public:
    /// Begins an attempt whose events must carry `identity`.
    void begin(std::string identity);

    /// Adds bytes of the attempt and returns the events completed by them.
    std::string consume(const std::string &bytes);

    StreamFault fault() const { return this->streamFault; }

    /// True once the end mark has been received.
    bool ended() const { return this->endSeen; }

    /// Tokens passed on over all attempts: the offset of a resumed attempt.
    std::uint64_t tokens() const { return this->tokensPassed; }

    /// Weights version of the answer; empty while unknown.
    const std::string &version() const { return this->weightsVersion; }

private:
    void checkFirstEvent(const std::string &event);

    std::string identity;
    std::string buffer;
    std::string weightsVersion;
    std::uint64_t tokensPassed{ 0 };
    bool inspected{ false }; ///< the attempt's first event has been checked
    bool endSeen{ false };
    StreamFault streamFault{ StreamFault::none };
};

/// End mark of a streamed answer.
inline constexpr const char *kEndMark = "data: [DONE]\n\n";

} // namespace egret
