#include "request_lifecycle.h"

namespace egret {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// With less time left, another attempt can't end in time.
constexpr Milliseconds kLeastAttempt = 20ms;

} // namespace

void RequestLifecycle::onSend(const std::string &upstream)
{
    this->triedUpstreams.insert(upstream);
    ++this->sends;
    this->inFlight = true;
    this->begun = false;
}

LifecycleDecision RequestLifecycle::onNoUpstream(const std::string &reason)
{
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onAttemptNotRun(const std::string &reason, bool wasSent,
                                                    TimePoint now)
{
    this->inFlight = false;
    if (!wasSent && this->sends > 0)
        --this->sends;
    if (this->passedOn) {
        if (this->facts.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->hasAttemptLeft(now) && (!this->ranMaybe || this->mayRepeat()))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onFailureStatus(int status, TimePoint now)
{
    this->inFlight = false;
    this->ranMaybe = true;
    const bool isServerFault = status >= 500;
    if (isServerFault && this->mayRepeat() && !this->passedOn && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = "upstream-failure" };
    return { .step = NextStep::wait };
}

LifecycleDecision RequestLifecycle::onAttemptBroken(const std::string &reason, TimePoint now)
{
    this->inFlight = false;
    this->ranMaybe = true;
    if (this->passedOn) {
        if (this->facts.isStream && this->facts.isResumable && this->hasAttemptLeft(now))
            return { .step = NextStep::resume, .reason = reason };
        return this->giveUp(reason);
    }
    if (this->mayRepeat() && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = reason };
    return this->giveUp(reason);
}

LifecycleDecision RequestLifecycle::onComplete()
{
    this->inFlight = false;
    this->ranMaybe = true;
    return this->end(NextStep::done);
}

LifecycleDecision RequestLifecycle::onGone()
{
    return this->end(NextStep::done);
}

LifecycleDecision RequestLifecycle::onDeadline()
{
    const bool ran = this->mayHaveRun();
    LifecycleDecision decision = this->giveUp("deadline");
    if (decision.step == NextStep::answer && ran)
        decision.status = kGatewayTimeout;
    return decision;
}

bool RequestLifecycle::mayRepeat() const
{
    return this->facts.isStream ? this->facts.isResumable : this->facts.isIdempotent;
}

bool RequestLifecycle::hasAttemptLeft(TimePoint now) const
{
    return this->sends < this->facts.maxAttempts && now + kLeastAttempt < this->facts.deadline;
}

LifecycleDecision RequestLifecycle::giveUp(const std::string &reason)
{
    const bool notRun = !this->mayHaveRun();
    LifecycleDecision decision =
            this->end(this->passedOn ? NextStep::closeConnection : NextStep::answer);
    decision.status = notRun ? kUnavailable : kBadGateway;
    decision.reason = reason;
    decision.notRun = notRun;
    return decision;
}

LifecycleDecision RequestLifecycle::end(NextStep step)
{
    this->over = true;
    this->inFlight = false;
    return { .step = step };
}

} // namespace egret
