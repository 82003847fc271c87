#pragma once

#include <cstdint>
#include <string>

namespace egret {

/// Reason for which a streamed answer can't continue; `none` while the answer can continue.
enum class StreamFault : std::uint8_t { none, wrongIdentity, versionChanged, oversizeEvent };

/// Returns the machine-readable name of a fault. Thread safe.
const char *streamFaultName(StreamFault fault);

/// Streamed answer to one client as server-sent events, merged from one or more attempts.
/// Only complete events are passed on to the client, because an attempt may break off
/// within an event. The end mark is not passed on: the owner of the stream sends `kEndMark`
/// once the answer is known to be complete. The first event of an attempt must carry the identity
/// of the attempt, which is the request id and the attempt number. An attempt that resumes the
/// answer must also carry the weights version of the events already passed on. Deterministic; not
/// thread safe.
class EventStream
{
public:
    /// Begins an attempt; its first event must carry `identity`.
    void begin(std::string identity);

    /// Appends bytes of the attempt and returns the events that are now complete, without the
    /// end mark.
    std::string consume(const std::string &bytes);

    StreamFault fault() const { return this->streamFault; }

    /// True once the end mark has been received.
    bool ended() const { return this->hasEndMark; }

    /// Number of tokens passed on in all attempts; an attempt that resumes the answer
    /// starts at this offset.
    std::uint64_t tokens() const { return this->tokenCount; }

    /// Weights version of the answer; empty while unknown.
    const std::string &version() const { return this->weightsVersion; }

private:
    void checkFirstEvent(const std::string &event);

    std::string identity;
    std::string buffer;
    std::string weightsVersion;
    std::uint64_t tokenCount{ 0 };
    bool isFirstEventChecked{ false };
    bool hasEndMark{ false };
    StreamFault streamFault{ StreamFault::none };
};

/// End mark of a streamed answer.
inline constexpr const char *kEndMark = "data: [DONE]\n\n";

} // namespace egret
