#include "request_trace.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace egret {

namespace {

using Fields = nlohmann::json;

/// Returns a field as text, "?" when the field is missing.
std::string field(const Fields &fields, const char *name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return "?";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool isTrue(const Fields &fields, const char *name)
{
    return field(fields, name) == "true";
}

/// Maps the name of a log event to a function that describes the event in a sentence.
const std::map<std::string, std::function<std::string(const Fields &)>> &explanations()
{
    static const std::map<std::string, std::function<std::string(const Fields &)>> table = {
        { "upstream chosen",
          [](const Fields &f) {
              return "attempt " + field(f, "attempt") + " goes to " + field(f, "upstream")
                     + ": first answer expected after " + field(f, "expectedMs") + " ms, "
                     + field(f, "load") + " requests believed there (notice "
                     + field(f, "noticeAgeMs") + " ms old), weights " + field(f, "version");
          } },
        { "upstream chosen again",
          [](const Fields &f) {
              return "attempt " + field(f, "attempt") + " goes to " + field(f, "upstream")
                     + " after status " + field(f, "failedStatus");
          } },
        { "no upstream can take the request",
          [](const Fields &f) {
              return "no upstream (" + field(f, "reason") + "): of " + field(f, "known")
                     + " known the best would answer after " + field(f, "expectedMs") + " ms, "
                     + field(f, "firstWithinMs") + " ms are left, weights from "
                     + field(f, "leastVersion") + " on; to come back after "
                     + field(f, "retryAfterMs") + " ms";
          } },
        { "attempt failed",
          [](const Fields &f) {
              return "attempt at " + field(f, "upstream") + " failed (" + field(f, "detail")
                     + "): " + (isTrue(f, "sent") ? "it may have run" : "nothing was sent")
                     + (isTrue(f, "passedOn") ? ", the client has a part of the answer" : "");
          } },
        { "upstream refused",
          [](const Fields &f) {
              return field(f, "upstream") + " refused with " + field(f, "status")
                     + ": it did not run there";
          } },
        { "request withdrawn from upstream",
          [](const Fields &f) {
              return "withdrawn from " + field(f, "upstream") + ": weights " + field(f, "version")
                     + " may no longer answer and no part of the answer has arrived";
          } },
        { "request refused",
          [](const Fields &f) {
              return "refused with " + field(f, "status") + " (" + field(f, "reason")
                     + "), document " + field(f, "document") + " in force here";
          } },
        { "request ended",
          [](const Fields &f) {
              return "ended as " + field(f, "outcome") + " with status " + field(f, "status")
                     + " after " + field(f, "ms") + " ms, " + field(f, "attempts")
                     + " attempts, first part after " + field(f, "firstMs") + " ms; route "
                     + field(f, "route") + ", document " + field(f, "document");
          } },
    };
    return table;
}

/// Describes an event that `explanations` lacks by the event's name and fields.
std::string nameAndFields(const Fields &fields)
{
    static const std::set<std::string> commonFields = { "event", "instance", "level",  "program",
                                                        "time",  "zone",     "request" };
    std::string text = field(fields, "event");
    for (const auto &[name, value] : fields.items()) {
        if (!commonFields.contains(name))
            text += " " + name + "=" + value.dump();
    }
    return text;
}

std::string explain(const Fields &fields)
{
    const auto found = explanations().find(field(fields, "event"));
    return found == explanations().end() ? nameAndFields(fields) : found->second(fields);
}

} // namespace

void RequestTrace::addLine(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return;
    Fields fields = Fields::parse(line.substr(begin), nullptr, false);
    if (!fields.is_object() || !fields.contains("event") || !fields.contains("time")) {
        ++this->unreadableCount;
        return;
    }
    const std::string lineRequestId = field(fields, "request");
    const std::string time = field(fields, "time");
    Line parsed{ .time = time, .fields = std::move(fields) };
    if (lineRequestId == this->requestId)
        this->requestLines.push_back(std::move(parsed));
    else if (lineRequestId == "?")
        this->instanceLines.push_back(std::move(parsed));
}

/// A line is relevant when an instance that handled the request logged the line between the
/// request's first and last lines, and the line names either no upstream or an upstream to which
/// the request was sent.
bool RequestTrace::isRelevant(const Line &line) const
{
    std::set<std::string> instances;
    std::set<std::string> upstreams;
    std::string firstTime = this->requestLines.front().time;
    std::string lastTime = firstTime;
    for (const Line &each : this->requestLines) {
        instances.insert(field(each.fields, "instance"));
        upstreams.insert(field(each.fields, "upstream"));
        firstTime = std::min(firstTime, each.time);
        lastTime = std::max(lastTime, each.time);
    }
    upstreams.erase("?");
    const std::string upstream = field(line.fields, "upstream");
    const bool matchesUpstreams = upstream == "?" || upstreams.contains(upstream);
    return matchesUpstreams && line.time >= firstTime && line.time <= lastTime
           && instances.contains(field(line.fields, "instance"));
}

std::string RequestTrace::text() const
{
    if (this->requestLines.empty())
        return "no line names request " + this->requestId + "\n";
    std::vector<const Line *> lines;
    for (const Line &line : this->requestLines)
        lines.push_back(&line);
    for (const Line &line : this->instanceLines) {
        if (this->isRelevant(line))
            lines.push_back(&line);
    }
    std::ranges::stable_sort(lines, {}, [](const Line *line) { return line->time; });
    std::string text;
    for (const Line *line : lines) {
        const bool namesRequest = line->fields.contains("request");
        text += line->time + "  " + field(line->fields, "instance") + "  "
                + (namesRequest ? "" : "meanwhile: ") + explain(line->fields) + "\n";
    }
    return text;
}

} // namespace egret
