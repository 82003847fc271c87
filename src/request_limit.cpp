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

} // namespace egret
