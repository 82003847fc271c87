#include "delivery.h"

namespace egret {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// Least time before the deadline in which another attempt can complete.
constexpr Milliseconds kMinAttemptTime = 20ms;

} // namespace

void Delivery::onSend(const std::string &upstream)
{
    this->triedUpstreams.insert(upstream);
    ++this->sentAttempts;
    this->inFlight = true;
    this->responseBegun = false;
}

Verdict Delivery::onNoUpstream(const std::string &reason)
{
    return this->giveUp(reason);
}

Verdict Delivery::onNotRun(const std::string &reason, bool wasSent, TimePoint now)
{
    this->inFlight = false;
    if (!wasSent && this->sentAttempts > 0)
        --this->sentAttempts;
    if (this->forwarded) {
        if (this->traits.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->hasAttemptLeft(now) && (!this->endedMayHaveRun || this->mayRunAgain()))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

Verdict Delivery::onFailureStatus(int status, TimePoint now)
{
    this->inFlight = false;
    this->endedMayHaveRun = true;
    const bool isServerError = status >= 500;
    if (isServerError && this->mayRunAgain() && !this->forwarded && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = "upstream-failure" };
    return { .step = NextStep::wait };
}

Verdict Delivery::onBroken(const std::string &reason, TimePoint now)
{
    this->inFlight = false;
    this->endedMayHaveRun = true;
    if (this->forwarded) {
        if (this->traits.isStream && this->traits.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->mayRunAgain() && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

Verdict Delivery::onWhole()
{
    this->inFlight = false;
    this->endedMayHaveRun = true;
    return this->end(NextStep::done);
}

Verdict Delivery::onGone()
{
    return this->end(NextStep::done);
}

Verdict Delivery::onDeadline()
{
    const bool ran = this->mayHaveRun();
    Verdict verdict = this->giveUp("deadline");
    if (verdict.step == NextStep::answer && ran)
        verdict.status = kGatewayTimeout;
    return verdict;
}

bool Delivery::mayRunAgain() const
{
    return this->traits.isStream ? this->traits.isResumable : this->traits.isRepeatable;
}

bool Delivery::hasAttemptLeft(TimePoint now) const
{
    return this->sentAttempts < this->traits.maxAttempts
           && now + kMinAttemptTime < this->traits.deadline;
}

Verdict Delivery::giveUp(const std::string &reason)
{
    const bool notRun = !this->mayHaveRun();
    Verdict verdict = this->end(this->forwarded ? NextStep::cut : NextStep::answer);
    verdict.status = notRun ? kUnavailable : kBadGateway;
    verdict.reason = reason;
    verdict.notRun = notRun;
    return verdict;
}

Verdict Delivery::end(NextStep step)
{
    this->finished = true;
    this->inFlight = false;
    return { .step = step };
}

} // namespace egret
