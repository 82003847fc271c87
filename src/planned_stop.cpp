#include "planned_stop.h"

#include <algorithm>

namespace egret {

namespace {

/// The load balancer probes readiness once a second and drops an instance after two failures; until
/// then the load balancer sends clients to the instance.
constexpr Milliseconds kLoadBalancerDetectionTime = 2500ms;
/// Time for which requests are accepted.
constexpr Milliseconds kAcceptTime = 3s;
/// The process ends this long before the end of the grace period.
constexpr Milliseconds kStopMargin = 500ms;
/// Time for writing the last answers.
constexpr Milliseconds kAnswerTime = 250ms;

} // namespace

bool PlannedStop::accepts(const RequestTraits &request, TimePoint now) const
{
    if (now >= this->beganAt + kAcceptTime)
        return false;
    const bool mayBeRepeated = request.isIdempotent && !request.isStream;
    return mayBeRepeated || request.deadline <= this->answersDueAt();
}

TimePoint PlannedStop::answersDueAt() const
{
    return std::max(this->beganAt, this->endsAt() - kAnswerTime);
}

TimePoint PlannedStop::endsAt() const
{
    return this->beganAt + this->grace - kStopMargin;
}

bool PlannedStop::isOutOfBalancer(TimePoint now) const
{
    return now >= this->beganAt + kLoadBalancerDetectionTime;
}

} // namespace egret
