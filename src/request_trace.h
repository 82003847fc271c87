#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// What logs of several processes say of one request: the decisions on it in the
/// order of time, each explained, with what its gateways came to believe
/// meanwhile of the upstreams that it went to. Not thread safe.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request) : request(std::move(request)) {}

    /// Takes one line of a log; text before its JSON is skipped. Lines may come in
    /// any order.
    void addLine(std::string_view line);

    /// Lines that could not be read.
    std::size_t unreadable() const { return this->damaged; }

    /// Whether any line names the request.
    bool isFound() const { return !this->own.empty(); }

    /// One line each, for people.
    std::string text() const;

private:
    struct Line
    {
        std::string time; ///< ISO 8601, so that text order is time order
        nlohmann::json fields;
    };

    bool concerns(const Line &line) const;

    std::string request;
    std::vector<Line> own;     ///< of the request
    std::vector<Line> beliefs; ///< of instances, kept until it is known which matter
    std::size_t damaged{ 0 };
};

} // namespace egret
