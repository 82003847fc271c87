#include "request_lifecycle.h"

namespace egret {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// A further attempt starts only if more than this time is left until the deadline, because a
/// later attempt could not complete in time.
constexpr Milliseconds kMinAttemptTime = 20ms;

} // namespace

void RequestLifecycle::onSend(const std::string &upstream)
{
    this->attemptedUpstreamIds.insert(upstream);
    ++this->sentAttemptCount;
    this->inFlight = true;
    this->responseBegun = false;
}

LifecycleDecision RequestLifecycle::onNoUpstream(const std::string &reason)
{
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onAttemptNotRun(const std::string &reason, bool wasSent,
                                                    TimePoint now)
{
    this->inFlight = false;
    if (!wasSent && this->sentAttemptCount > 0)
        --this->sentAttemptCount;
    if (this->forwarded) {
        if (this->traits.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->hasAttemptLeft(now) && (!this->endedAttemptMayHaveRun || this->mayRunAgain()))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onFailureStatus(int status, TimePoint now)
{
    this->inFlight = false;
    this->endedAttemptMayHaveRun = true;
    const bool isServerError = status >= 500;
    if (isServerError && this->mayRunAgain() && !this->forwarded && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = "upstream-failure" };
    return { .step = NextStep::wait };
}

LifecycleDecision RequestLifecycle::onAttemptBroken(const std::string &reason, TimePoint now)
{
    this->inFlight = false;
    this->endedAttemptMayHaveRun = true;
    if (this->forwarded) {
        if (this->traits.isStream && this->traits.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->mayRunAgain() && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onComplete()
{
    this->inFlight = false;
    this->endedAttemptMayHaveRun = true;
    return this->finish(NextStep::done);
}

LifecycleDecision RequestLifecycle::onClientDisconnected()
{
    return this->finish(NextStep::done);
}

LifecycleDecision RequestLifecycle::onDeadline()
{
    const bool requestMayHaveRun = this->mayHaveRun();
    LifecycleDecision decision = this->giveUp("deadline");
    if (decision.step == NextStep::answer && requestMayHaveRun)
        decision.status = kGatewayTimeout;
    return decision;
}

bool RequestLifecycle::mayRunAgain() const
{
    return this->traits.isStream ? this->traits.isResumable : this->traits.isIdempotent;
}

bool RequestLifecycle::hasAttemptLeft(TimePoint now) const
{
    return this->sentAttemptCount < this->traits.maxAttempts
           && now + kMinAttemptTime < this->traits.deadline;
}

LifecycleDecision RequestLifecycle::giveUp(const std::string &reason)
{
    const bool notRun = !this->mayHaveRun();
    LifecycleDecision decision =
            this->finish(this->forwarded ? NextStep::closeConnection : NextStep::answer);
    decision.status = notRun ? kUnavailable : kBadGateway;
    decision.reason = reason;
    decision.notRun = notRun;
    return decision;
}

LifecycleDecision RequestLifecycle::finish(NextStep step)
{
    this->finished = true;
    this->inFlight = false;
    return { .step = step };
}

} // namespace egret
