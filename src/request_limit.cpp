#include "request_limit.h"

namespace egret {

bool RequestLimit::onAnswer(const RequestLimitObservation &answer)
{
    if (answer.requestsPerSecond) {
        const bool isOutdated = answer.requestSentAt < this->endedBySentAt
                                || (this->latest && answer.answeredAt < this->latest->answeredAt);
        if (isOutdated)
            return false;
        const bool isChanged =
                !this->latest || this->latest->requestsPerSecond != answer.requestsPerSecond;
        this->latest = answer;
        return isChanged;
    }
    if (!this->latest || answer.requestSentAt <= this->latest->answeredAt)
        return false;
    this->latest.reset();
    this->endedBySentAt = answer.requestSentAt;
    return true;
}

RequestLimitReport requestLimitReport(const std::string &upstream,
                                      const RequestLimitObservation &answer, TimePoint now)
{
    return { .upstream = upstream,
             .isLimited = answer.requestsPerSecond.has_value(),
             .requestsPerSecond = answer.requestsPerSecond.value_or(0),
             .requestAge = std::chrono::floor<Milliseconds>(now - answer.requestSentAt),
             .answerAge = std::chrono::floor<Milliseconds>(now - answer.answeredAt) };
}

RequestLimitObservation observationOf(const RequestLimitReport &report, TimePoint now)
{
    return { .requestsPerSecond =
                     report.isLimited ? std::optional(report.requestsPerSecond) : std::nullopt,
             .requestSentAt = now - report.requestAge,
             .answeredAt = now - report.answerAge };
}

} // namespace egret
