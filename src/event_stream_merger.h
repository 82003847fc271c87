#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace egret {

/// Merges the server-sent events of successive attempts at one request into one response with
/// increasing event ids. Returns only complete events, so that an attempt that breaks inside an
/// event leaves no partial event in the response. Returns no event id twice. Events without an id
/// are always returned. Deterministic; not thread safe.
class EventStreamMerger
{
public:
    /// `lastForwardedId`: id of the last event that the client received before this request;
    /// empty for none.
    explicit EventStreamMerger(std::optional<std::uint64_t> lastForwardedId = std::nullopt)
        : lastForwardedId(lastForwardedId)
    {}

    /// Starts an attempt; discards a partial event of the previous attempt.
    void begin()
    {
        this->partial = {};
        this->searchedBytes = 0;
    }

    /// Adds bytes of the current attempt. Returns the events that became complete, except events
    /// whose id is not higher than the last returned id.
    std::string append(const std::string &bytes);

    /// Size in bytes of the incomplete event that is buffered; 0 without one.
    std::size_t partialBytes() const { return this->partial.size(); }

    /// Id of the last event that the client received or that was returned; empty for none.
    std::optional<std::uint64_t> lastEventId() const { return this->lastForwardedId; }

private:
    std::string partial;            ///< bytes of an incomplete event
    std::size_t searchedBytes{ 0 }; ///< leading bytes of `partial` in which no event ends
    std::optional<std::uint64_t> lastForwardedId;
};

} // namespace egret
