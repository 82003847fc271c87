#include "event_stream_merger.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace egret {

namespace {

constexpr std::string_view kLfBoundary = "\n\n";
constexpr std::string_view kCrlfBoundary = "\r\n\r\n";

/// Length of the first complete event including the blank line that ends it; 0 without a
/// complete event. The blank line is searched for from `searchFrom`.
std::size_t eventLength(std::string_view bytes, std::size_t searchFrom)
{
    const auto atLf = bytes.find(kLfBoundary, searchFrom);
    const auto atCrlf = bytes.find(kCrlfBoundary, searchFrom);
    if (atCrlf != std::string_view::npos && (atLf == std::string_view::npos || atCrlf < atLf))
        return atCrlf + kCrlfBoundary.size();
    return atLf == std::string_view::npos ? 0 : atLf + kLfBoundary.size();
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

/// True when every line of the event is a comment or empty.
bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const std::string_view line = event.substr(0, end);
        if (!line.empty() && line != "\r" && line.front() != ':')
            return false;
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return true;
}

} // namespace

void EventStreamMerger::begin()
{
    this->partial = {};
    this->searchedBytes = 0;
    this->lastAttemptId.reset();
    this->isAtPosition = !this->hasForwardedId;
    this->isFaulty = false;
}

/// Learns the difference between the ids of successive events of one attempt.
void EventStreamMerger::learnStep(std::uint64_t id)
{
    if (this->lastAttemptId && id > *this->lastAttemptId) {
        const std::uint64_t step = id - *this->lastAttemptId;
        this->hasRegularIds = this->hasRegularIds && this->idStep.value_or(step) == step;
        this->idStep = step;
    }
    this->lastAttemptId = id;
}

/// True when events are missing between the last returned one and the event `id`, the first new one
/// of a resumed attempt. Unknown unless the ids of the stream rise in equal steps.
bool EventStreamMerger::isGap(std::uint64_t id) const
{
    return !this->isAtPosition && this->hasRegularIds && this->idStep
           && id != *this->lastForwardedId + *this->idStep;
}

std::string EventStreamMerger::append(const std::string &bytes)
{
    if (this->isFaulty)
        return "";
    this->partial += bytes;
    std::string completeEvents;
    std::string_view remaining = this->partial;
    std::size_t searchFrom = this->searchedBytes;
    while (const std::size_t length = eventLength(remaining, std::exchange(searchFrom, 0))) {
        const std::string_view event = remaining.substr(0, length);
        remaining.remove_prefix(length);
        const auto id = eventId(event);
        if (!id && this->hasForwardedId && !isComment(event)) {
            this->isFaulty = true;
            break;
        }
        if (id && this->lastForwardedId && *id <= *this->lastForwardedId) {
            this->isAtPosition = this->isAtPosition || *id == *this->lastForwardedId;
            this->learnStep(*id);
            continue;
        }
        if (id) {
            if (this->isGap(*id)) {
                this->isFaulty = true;
                break;
            }
            this->learnStep(*id);
            this->lastForwardedId = id;
            this->hasForwardedId = this->isAtPosition = true;
        }
        this->returnedCount += isComment(event) ? 0 : 1;
        completeEvents += event;
    }
    this->partial.erase(0, this->partial.size() - remaining.size());
    // A boundary may have begun in the last bytes.
    this->searchedBytes =
            this->partial.size() - std::min(this->partial.size(), kCrlfBoundary.size());
    return completeEvents;
}

} // namespace egret
