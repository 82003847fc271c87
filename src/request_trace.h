#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Collects the log lines of one request from several processes and returns the lines in order of
/// time, each with an explanation. Includes lines without a request id that the same instances
/// logged between the request's first and last line, unless such a line names an upstream to which
/// the request was not sent. Not thread safe.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId) : requestId(std::move(requestId)) {}

    /// Adds one log line; text before the line's JSON object is skipped. Lines may be added in any
    /// order.
    void addLine(std::string_view line);

    /// Number of lines that could not be parsed.
    std::size_t unreadableLineCount() const { return this->unreadableCount; }

    /// True when at least one line names the request.
    bool isFound() const { return !this->requestLines.empty(); }

    /// Returns one readable line per log line, or a message that no line names the request.
    std::string text() const;

private:
    struct Line
    {
        std::string time; ///< ISO 8601, so that text order is time order
        nlohmann::json fields;
    };

    /// True when `text` includes this line, which names no request.
    bool isRelevant(const Line &line) const;

    std::string requestId;
    std::vector<Line> requestLines;  ///< lines that name the request
    std::vector<Line> instanceLines; ///< lines that name no request
    std::size_t unreadableCount{ 0 };
};

} // namespace egret
