#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Collects the log lines of one request from several processes and prints them in order
/// of time, each with an explanation, together with the state changes that the request's
/// gateways logged meanwhile about its upstreams. Not thread safe.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request) : request(std::move(request)) {}

    /// Adds one log line; text before its JSON is skipped. Lines may be added in any order.
    void addLine(std::string_view line);

    /// Number of lines that could not be parsed.
    std::size_t unreadable() const { return this->unreadableLines; }

    /// True when any line names the request.
    bool isFound() const { return !this->requestLines.empty(); }

    /// Returns one readable line per log line, or a message that no line names the request.
    std::string text() const;

private:
    struct Line
    {
        std::string time; ///< ISO 8601, so that text order is time order
        nlohmann::json fields;
    };

    bool isRelevant(const Line &line) const;

    std::string request;
    std::vector<Line> requestLines; ///< lines that name the request
    std::vector<Line>
            instanceLines; ///< lines that name no request; `text` selects the relevant ones
    std::size_t unreadableLines{ 0 };
};

} // namespace egret
