#include "numbered_events.h"

#include <charconv>
#include <string_view>

namespace egret {

namespace {

/// Length of the first whole event with its blank line; 0 when there is none.
std::size_t eventLength(std::string_view bytes)
{
    static constexpr std::string_view plain = "\n\n";
    static constexpr std::string_view wide = "\r\n\r\n";
    const auto atPlain = bytes.find(plain);
    const auto atWide = bytes.find(wide);
    if (atWide != std::string_view::npos && (atPlain == std::string_view::npos || atWide < atPlain))
        return atWide + wide.size();
    return atPlain == std::string_view::npos ? 0 : atPlain + plain.size();
}

/// The number that an event gives itself.
std::optional<std::uint64_t> numberOf(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc{})
            return number;
    }
    return std::nullopt;
}

} // namespace

std::string NumberedEvents::take(const std::string &bytes)
{
    this->partial += bytes;
    std::string out;
    std::string_view rest = this->partial;
    while (const std::size_t length = eventLength(rest)) {
        const std::string_view event = rest.substr(0, length);
        rest.remove_prefix(length);
        const auto number = numberOf(event);
        if (number && this->last && *number <= *this->last)
            continue;
        if (number)
            this->last = number;
        out += event;
    }
    this->partial.erase(0, this->partial.size() - rest.size());
    return out;
}

} // namespace egret
