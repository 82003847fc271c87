#include "staging.h"

#include <algorithm>

namespace egret {

namespace {

/// More would let requests to the engine wait behind pieces on a narrowed link.
constexpr std::size_t kTransfers = 4;
/// Stagers that fetch from the origin, over all zones: it takes few connections,
/// and two pieces from each of these keep its link full.
constexpr std::size_t kHeads = 12;
/// Peers say what they hold before the origin is asked: for a version named just
/// now there is nothing to hear.
constexpr Milliseconds kAnswerTimeNew = 20ms;
constexpr Milliseconds kAnswerTimeOld = 300ms;
/// A starved stager asks peers anew at this pace: what they told while it stood
/// still or a link was down is lost, and a whole region may wait for it.
constexpr Milliseconds kLongestAsk = 500ms;
constexpr std::size_t kAsksAtOnce = 5;
/// Time in which a piece that is passed on has reached a whole zone.
constexpr Milliseconds kRelayTime = 200ms;
/// Seconds without a piece after which any stager asks the origin.
constexpr std::uint8_t kSourceWidening = 4;

} // namespace

SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool isRelayed)
{
    return { .self = self,
             .maxTransfers = kTransfers,
             .maxPeerTransfers = 1,
             .maxSourceTransfers = kMaxOriginTransfers,
             .heads = kHeads,
             .settleTime = 0ms,
             .answerTime = isNew ? kAnswerTimeNew : kAnswerTimeOld,
             .settleLimit = 2s,
             .idleLimit = kUploadQueueTimeout,
             .sourceLimit = kOriginTimeout,
             .longestAsk = kLongestAsk,
             .newsDelay = isRelayed ? kRelayTime : 0ms,
             .asksAtOnce = kAsksAtOnce,
             .stallLimit = 1500ms,
             .judgePeriod = 500ms,

             .patience = 1s,
             .sourceWidening = kSourceWidening };
}

void Staging::setTarget(std::uint64_t target, bool isNewlyNamed, TimePoint now)
{
    if (target <= this->version)
        return;
    this->version = target;
    this->isNew = isNewlyNamed;
    this->namedAt = now;
    this->phase = Phase::manifest;
    this->isRunning = false;
    this->notBefore = now;
    this->verifiedAt.reset();
}

void Staging::onEngineStatus(const EngineStanding &standing, TimePoint now)
{
    // What failed for want of the engine needs no more patience.
    if (!this->engine)
        this->notBefore = std::min(this->notBefore, now);
    this->engine = standing;
}

StagingTask Staging::next(TimePoint now)
{
    if (this->isRunning || now < this->notBefore)
        return StagingTask::none;
    switch (this->phase) {
    case Phase::none:
        return StagingTask::none;
    case Phase::manifest:
        return this->run(StagingTask::fetchManifest);
    case Phase::held:
        return this->run(StagingTask::checkHeld);
    case Phase::collecting:
        return StagingTask::collect;
    case Phase::ordered:
        if (now < this->orderedAt + this->options.orderPatience || !this->engine
            || this->engine->isBusy || this->isLoaded())
            return StagingTask::none;
        // The order was lost, or what it loaded was lost with a restart.
        this->phase = Phase::staged;
        this->verifiedAt.reset();
        [[fallthrough]];
    case Phase::staged:
        if (!this->engine || this->engine->isBusy || this->isLoaded() || !this->isTurn(now))
            return StagingTask::none;
        if (!this->verifiedAt || now > *this->verifiedAt + this->options.verifiedFor)
            return this->run(StagingTask::readBack);
        return this->run(StagingTask::order);
    }
    return StagingTask::none;
}

/// An engine without weights serves nothing: it waits for no one.
bool Staging::isTurn(TimePoint now) const
{
    if (!this->isNew || this->engine->version == 0)
        return true;
    const TimePoint last = this->namedAt + this->options.bound - this->options.lastLead;
    const Duration left = std::max<Duration>(Duration{ 0 }, last - this->stagedAt);
    return now >= this->stagedAt + std::chrono::duration_cast<Duration>(left * this->turn);
}

StagingTask Staging::run(StagingTask task)
{
    this->isRunning = true;
    return task;
}

void Staging::retryLater(TimePoint now)
{
    this->notBefore = now + this->options.retry;
}

void Staging::onManifest(bool isTaken, TimePoint now)
{
    this->isRunning = false;
    if (isTaken)
        this->phase = Phase::held;
    else
        this->retryLater(now);
}

void Staging::onHeldChecked(HeldPieces held, TimePoint now)
{
    this->isRunning = false;
    if (held == HeldPieces::unknown)
        return this->retryLater(now);
    this->phase = Phase::collecting;
    if (held == HeldPieces::all)
        this->verifiedAt = now;
}

void Staging::onCollected(TimePoint now)
{
    if (this->phase != Phase::collecting)
        return;
    this->phase = Phase::staged;
    this->stagedAt = now;
}

void Staging::onReadBack(bool isWhole, TimePoint now)
{
    this->isRunning = false;
    if (isWhole) {
        this->verifiedAt = now;
        return;
    }
    this->verifiedAt.reset();
    this->phase = Phase::collecting;
}

void Staging::onReadBackUnanswered(TimePoint now)
{
    this->isRunning = false;
    this->retryLater(now);
}

void Staging::onOrdered(OrderReply outcome, TimePoint now)
{
    this->isRunning = false;
    this->verifiedAt.reset();
    this->orderedAt = now;
    if (outcome == OrderReply::refused)
        this->retryLater(now);
    else
        this->phase = Phase::ordered;
}

} // namespace egret
