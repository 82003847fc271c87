#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace egret {

/// Merges the server-sent events of successive attempts at one request into one response with
/// increasing event ids. Returns only complete events, so that an attempt that breaks inside an
/// event leaves no partial event in the response. Returns no event id twice. Once an event had an
/// id, each event needs one, and a resumed attempt must go on where the attempt before ended:
/// anything else, such as the text of an error, is a fault of the attempt. Comments are returned.
/// Deterministic; not thread safe.
class EventStreamMerger
{
public:
    /// `lastForwardedId`: id of the last event that the client received before this request;
    /// empty for none.
    explicit EventStreamMerger(std::optional<std::uint64_t> lastForwardedId = std::nullopt)
        : lastForwardedId(lastForwardedId)
    {}

    /// Starts an attempt; discards a partial event of the previous attempt.
    void begin();

    /// Adds bytes of the current attempt. Returns the events that became complete, except events
    /// whose id is not higher than the last returned id. Returns nothing from the first fault on.
    std::string append(const std::string &bytes);

    /// True when the current attempt can't be continued, because events are missing or because it
    /// contains something that is no event of the stream.
    bool hasFault() const { return this->isFaulty; }

    /// True when the current attempt has reached the end of what the client received: for a resumed
    /// attempt, after its first new event or a repetition of the last event. An attempt that ends
    /// without that proves nothing about the rest of the stream.
    bool hasReachedPosition() const { return this->isAtPosition; }

    /// Size in bytes of the incomplete event that is buffered; 0 without one.
    std::size_t partialBytes() const { return this->partial.size(); }

    /// Number of events that were returned, without comments.
    std::uint64_t returnedEvents() const { return this->returnedCount; }

    /// Id of the last event that the client received or that was returned; empty for none.
    std::optional<std::uint64_t> lastEventId() const { return this->lastForwardedId; }

private:
    std::string partial;            ///< bytes of an incomplete event
    std::size_t searchedBytes{ 0 }; ///< leading bytes of `partial` in which no event ends
    std::optional<std::uint64_t> lastForwardedId;
    /// Difference between successive ids, while all differences were the same; empty when unknown.
    std::optional<std::uint64_t> idStep;
    bool hasRegularIds{ true };
    std::optional<std::uint64_t> lastAttemptId; ///< id of the last event of the current attempt
    bool hasForwardedId{ false };               ///< an event with an id was returned
    bool isAtPosition{ true };
    bool isFaulty{ false };
    std::uint64_t returnedCount{ 0 };

    void learnStep(std::uint64_t id);
    bool isGap(std::uint64_t id) const;
};

} // namespace egret
