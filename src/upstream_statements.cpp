#include "upstream_statements.h"

#include <algorithm>

namespace egret {

namespace {

/// Longest time for which an upstream is left alone at its own request, so that a faulty one can't
/// keep its place in the service empty for good.
constexpr Milliseconds kMaxWait = 10min;

} // namespace

std::optional<UpstreamStatement> UpstreamStatements::onAnswer(const UpstreamStatement &answer)
{
    if (answer.wait > 0ms)
        this->waitUntil =
                std::max(this->waitUntil, answer.answeredAt + std::min(answer.wait, kMaxWait));
    const bool beginsToLeave = answer.isLeaving && !std::exchange(this->leaving, true);
    const bool tellsLimit = answer.requestsPerSecond || answer.endsLimit;
    const bool hasLimitChanged =
            tellsLimit
            && this->limit.onAnswer({ .requestsPerSecond = answer.requestsPerSecond,
                                      .requestSentAt = answer.requestSentAt,
                                      .answeredAt = answer.answeredAt });
    if (!beginsToLeave && !hasLimitChanged)
        return std::nullopt;
    UpstreamStatement news{ .isLeaving = this->leaving,
                            .requestSentAt = answer.requestSentAt,
                            .answeredAt = answer.answeredAt };
    if (hasLimitChanged) {
        news.requestsPerSecond = answer.requestsPerSecond;
        news.endsLimit = answer.endsLimit;
    }
    return news;
}

UpstreamReport UpstreamStatements::report(const std::string &upstream, std::uint64_t startedAtMs,
                                          TimePoint now) const
{
    UpstreamStatement statement{ .isLeaving = this->leaving,
                                 .requestSentAt = now,
                                 .answeredAt = now };
    if (const auto &named = this->limit.inForce()) {
        statement.requestsPerSecond = named->requestsPerSecond;
        statement.requestSentAt = named->requestSentAt;
        statement.answeredAt = named->answeredAt;
    }
    return upstreamReport(upstream, startedAtMs, statement, now);
}

UpstreamReport upstreamReport(const std::string &upstream, std::uint64_t startedAtMs,
                              const UpstreamStatement &answer, TimePoint now)
{
    return { .upstream = upstream,
             .startedAtMs = startedAtMs,
             .isLimited = answer.requestsPerSecond.has_value(),
             .requestsPerSecond = answer.requestsPerSecond.value_or(0),
             .endsLimit = answer.endsLimit,
             .isLeaving = answer.isLeaving,
             .requestAge = std::chrono::floor<Milliseconds>(now - answer.requestSentAt),
             .answerAge = std::chrono::floor<Milliseconds>(now - answer.answeredAt) };
}

UpstreamStatement statementOf(const UpstreamReport &report, TimePoint now)
{
    return { .requestsPerSecond =
                     report.isLimited ? std::optional(report.requestsPerSecond) : std::nullopt,
             .endsLimit = report.endsLimit,
             .isLeaving = report.isLeaving,
             .requestSentAt = now - report.requestAge,
             .answeredAt = now - report.answerAge };
}

} // namespace egret
