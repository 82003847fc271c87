#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace egret {

/// One client's answer as server-sent events with increasing numbers, over any
/// number of attempts. Only whole events are passed on, so that a break never
/// splits one, and none that was passed on before. Deterministic; not thread safe.
class NumberedEvents
{
public:
    /// Starts after the event that the client already has.
    explicit NumberedEvents(std::optional<std::uint64_t> last = std::nullopt) : last(last) {}

    /// Begins an attempt.
    void begin() { this->partial.clear(); }

    /// Takes bytes of the attempt and returns the whole new events among them.
    std::string take(const std::string &bytes);

    /// True when bytes of an event that is not whole are left.
    bool hasPartialEvent() const { return !this->partial.empty(); }

    /// Number of the last event that was passed on.
    std::optional<std::uint64_t> lastNumber() const { return this->last; }

private:
    std::string partial;
    std::optional<std::uint64_t> last;
};

} // namespace egret
