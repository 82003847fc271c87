#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace egret {

/// Merges the server-sent events of any number of attempts into one client response with
/// increasing event ids. Forwards only complete events, so that a broken attempt never
/// leaves a partial one, and no event twice. Deterministic; not thread safe.
class NumberedEvents
{
public:
    /// `last`: id of the last event that the client already received.
    explicit NumberedEvents(std::optional<std::uint64_t> last = std::nullopt) : last(last) {}

    /// Starts an attempt; discards a partial event of the previous one.
    void begin() { this->partial.clear(); }

    /// Adds bytes of the attempt; returns the events that are now complete and new.
    std::string take(const std::string &bytes);

    /// True when bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !this->partial.empty(); }

    /// Id of the last forwarded event.
    std::optional<std::uint64_t> lastNumber() const { return this->last; }

private:
    std::string partial;
    std::optional<std::uint64_t> last;
};

} // namespace egret
