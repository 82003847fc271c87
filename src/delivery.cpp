#include "delivery.h"

namespace egret {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// With less time left, another attempt can't end in time.
constexpr Milliseconds kLeastAttempt = 20ms;

} // namespace

void Delivery::onSend(const std::string &upstream)
{
    this->triedUpstreams.insert(upstream);
    ++this->sends;
    this->inFlight = true;
    this->begun = false;
}

Verdict Delivery::onNoUpstream(const std::string &reason)
{
    return this->giveUp(reason);
}

Verdict Delivery::onNotRun(const std::string &reason, bool wasSent, TimePoint now)
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

Verdict Delivery::onFailureStatus(int status, TimePoint now)
{
    this->inFlight = false;
    this->ranMaybe = true;
    const bool isServerFault = status >= 500;
    if (isServerFault && this->mayRepeat() && !this->passedOn && this->hasAttemptLeft(now))
        return { .step = NextStep::choose, .reason = "upstream-failure" };
    return { .step = NextStep::wait };
}

Verdict Delivery::onBroken(const std::string &reason, TimePoint now)
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

Verdict Delivery::onWhole()
{
    this->inFlight = false;
    this->ranMaybe = true;
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

bool Delivery::mayRepeat() const
{
    return this->facts.isStream ? this->facts.isResumable : this->facts.isRepeatable;
}

bool Delivery::hasAttemptLeft(TimePoint now) const
{
    return this->sends < this->facts.maxAttempts && now + kLeastAttempt < this->facts.deadline;
}

Verdict Delivery::giveUp(const std::string &reason)
{
    const bool notRun = !this->mayHaveRun();
    Verdict verdict = this->end(this->passedOn ? NextStep::cut : NextStep::answer);
    verdict.status = notRun ? kUnavailable : kBadGateway;
    verdict.reason = reason;
    verdict.notRun = notRun;
    return verdict;
}

Verdict Delivery::end(NextStep step)
{
    this->over = true;
    this->inFlight = false;
    return { .step = step };
}

} // namespace egret
