#include "event_stream_merger.h"

#include <charconv>
#include <string_view>

namespace egret {

namespace {

/// Length of the first complete event including the blank line that ends it; 0 without a
/// complete event.
std::size_t eventLength(std::string_view bytes)
{
    static constexpr std::string_view lfBoundary = "\n\n";
    static constexpr std::string_view crlfBoundary = "\r\n\r\n";
    const auto atLf = bytes.find(lfBoundary);
    const auto atCrlf = bytes.find(crlfBoundary);
    if (atCrlf != std::string_view::npos && (atLf == std::string_view::npos || atCrlf < atLf))
        return atCrlf + crlfBoundary.size();
    return atLf == std::string_view::npos ? 0 : atLf + lfBoundary.size();
}

/// Number in the "id" field of an event; empty without a number.
std::optional<std::uint64_t> eventId(std::string_view event)
{
    static constexpr std::string_view fieldPrefix = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(fieldPrefix))
            continue;
        line.remove_prefix(fieldPrefix.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{})
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string EventStreamMerger::append(const std::string &bytes)
{
    this->partial += bytes;
    std::string completeEvents;
    std::string_view remaining = this->partial;
    while (const std::size_t length = eventLength(remaining)) {
        const std::string_view event = remaining.substr(0, length);
        remaining.remove_prefix(length);
        const auto id = eventId(event);
        if (id && this->lastForwardedId && *id <= *this->lastForwardedId)
            continue;
        if (id)
            this->lastForwardedId = id;
        completeEvents += event;
    }
    this->partial.erase(0, this->partial.size() - remaining.size());
    return completeEvents;
}

} // namespace egret
