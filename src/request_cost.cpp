#include "request_cost.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Ratio of mean to median of lengths that vary widely: 1.2 to 1.6 on present deployments. The
/// lower end is assumed until responses have ended, because short ones end first.
constexpr double kStartRatio = 1.2;
/// Mean output tokens assumed for requests without a hint until responses have ended.
constexpr double kStartTokens = 128;
/// Number of responses that the start values count as. With fewer, one response of the tail moves
/// the mean of a new route by half.
constexpr double kStartWeight = 16;
/// Responses that determine the means. A gateway finishes 3 to 4 responses of a route a second, so
/// a change of the mix is learned within a minute.
constexpr double kRememberedResponses = 200;
/// Bound on the ratio of one response. For a log-normal tail whose mean is 1.6 times the median,
/// the cut-off part is 4% of the mean.
constexpr double kMaxRatio = 8;
/// Bound on the length of one response compared with the mean of its route.
constexpr double kMaxLengthRatio = 8;

std::optional<double> usable(std::optional<double> tokens)
{
    return tokens && std::isfinite(*tokens) && *tokens > 0 ? tokens : std::nullopt;
}

} // namespace

void OutputLengths::Mean::add(double value)
{
    this->valueCount = std::min(this->valueCount + 1, kRememberedResponses);
    this->mean += (value - this->mean) / (this->valueCount + kStartWeight);
}

OutputLengths::Route::Route() : ratio(kStartRatio), tokens(kStartTokens) {}

void OutputLengths::setRoutes(const std::set<std::string> &names)
{
    std::erase_if(this->routes, [&](const auto &each) { return !names.contains(each.first); });
    for (const std::string &name : names)
        this->routes.try_emplace(name);
}

double OutputLengths::expected(const std::string &route, std::optional<double> hint,
                               std::optional<double> limit) const
{
    const Route &learned = this->find(route);
    const auto usableHint = usable(hint);
    const double tokens = usableHint ? *usableHint * learned.ratio.value() : learned.tokens.value();
    const double bounded = std::min(tokens, usable(limit).value_or(tokens));
    return std::isfinite(bounded) ? std::max(1.0, bounded) : learned.tokens.value();
}

void OutputLengths::onFinished(const std::string &route, std::optional<double> hint,
                               double outputTokens)
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() || !std::isfinite(outputTokens) || outputTokens < 0)
        return;
    Route &learned = found->second;
    learned.tokens.add(std::min(outputTokens, kMaxLengthRatio * learned.tokens.value()));
    if (const auto usableHint = usable(hint))
        learned.ratio.add(std::min(outputTokens / *usableHint, kMaxRatio));
}

OutputLengths::HintRatio OutputLengths::hintRatio(const std::string &route) const
{
    const Route &learned = this->find(route);
    return { .mean = learned.ratio.value(), .responses = learned.ratio.count() };
}

const OutputLengths::Route &OutputLengths::find(const std::string &route) const
{
    const auto found = this->routes.find(route);
    return found == this->routes.end() ? this->unknownRoute : found->second;
}

} // namespace egret
