#include "staging.h"

#include <algorithm>

namespace egret {

namespace {

/// More transfers would delay requests to the engine behind pieces on a throttled link.
constexpr std::size_t kMaxTransfers = 4;
/// Stagers over all zones that fetch from the origin. The origin accepts few connections, and
/// two pieces for each of these stagers saturate its link.
constexpr std::size_t kSuperPeers = 12;
/// Time for peers to send their holdings before the first fetch from the origin. For a newly
/// named version no peer holds a piece.
constexpr Milliseconds kHoldingsWaitNew = 20ms;
constexpr Milliseconds kHoldingsWaitOld = 300ms;
/// Longest time between two holdings exchanges of a starved stager. Announcements sent while
/// the stager was paused or a link was down are lost, and a whole region may wait for the
/// stager.
constexpr Milliseconds kMaxHoldingsPeriod = 500ms;
constexpr std::size_t kHoldingsFanOut = 5;
/// Time within which a relayed piece reaches all stagers of a zone.
constexpr Milliseconds kRelayTime = 200ms;
/// Widening steps of 1 s without a piece after which any stager fetches from the origin.
constexpr std::uint8_t kSourceWideningSteps = 4;

} // namespace

SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool hasRelay)
{
    return { .self = self,
             .maxTransfers = kMaxTransfers,
             .maxPeerTransfers = 1,
             .maxSourceTransfers = kMaxOriginTransfers,
             .maxSuperPeers = kSuperPeers,
             .peerSettleTime = 0ms,
             .holdingsWait = isNew ? kHoldingsWaitNew : kHoldingsWaitOld,
             .maxSettleTime = 2s,
             .blockTimeout = kUploadQueueTimeout,
             .sourceTimeout = kOriginTimeout,
             .maxHoldingsPeriod = kMaxHoldingsPeriod,
             .haveDelay = hasRelay ? kRelayTime : 0ms,
             .holdingsFanOut = kHoldingsFanOut,
             .stallTimeout = 1500ms,
             .evaluationPeriod = 500ms,
             .wideningPeriod = 1s,
             .sourceWideningSteps = kSourceWideningSteps };
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

void Staging::onEngineStatus(const EngineStatus &status, TimePoint now)
{
    // A task that failed because the engine was unreachable is retried at once.
    if (!this->engine)
        this->notBefore = std::min(this->notBefore, now);
    this->engine = status;
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
        if (now < this->orderedAt + this->options.orderTimeout || !this->engine
            || this->engine->isBusy || this->isLoaded())
            return StagingTask::none;
        // The order was lost, or the engine lost the loaded version in a restart.
        this->phase = Phase::staged;
        this->verifiedAt.reset();
        [[fallthrough]];
    case Phase::staged:
        if (!this->engine || this->engine->isBusy || this->isLoaded() || !this->isDue(now))
            return StagingTask::none;
        if (!this->verifiedAt || now > *this->verifiedAt + this->options.verificationLifetime)
            return this->run(StagingTask::readBack);
        return this->run(StagingTask::order);
    }
    return StagingTask::none;
}

/// Whether the engine's turn to load has come. An engine without weights serves no requests
/// and loads at once.
bool Staging::isDue(TimePoint now) const
{
    if (!this->isNew || this->engine->version == 0)
        return true;
    const TimePoint lastLoadAt = this->namedAt + this->options.bound - this->options.lastLoadLead;
    const Duration left = std::max<Duration>(Duration{ 0 }, lastLoadAt - this->stagedAt);
    return now
           >= this->stagedAt + std::chrono::duration_cast<Duration>(left * this->rolloutPosition);
}

StagingTask Staging::run(StagingTask task)
{
    this->isRunning = true;
    return task;
}

void Staging::scheduleRetry(TimePoint now)
{
    this->notBefore = now + this->options.retryDelay;
}

void Staging::onManifest(bool isAccepted, TimePoint now)
{
    this->isRunning = false;
    if (isAccepted)
        this->phase = Phase::held;
    else
        this->scheduleRetry(now);
}

void Staging::onHeldChecked(HeldPieces held, TimePoint now)
{
    this->isRunning = false;
    if (held == HeldPieces::unknown)
        return this->scheduleRetry(now);
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

void Staging::onReadBack(bool isIntact, TimePoint now)
{
    this->isRunning = false;
    if (isIntact) {
        this->verifiedAt = now;
        return;
    }
    this->verifiedAt.reset();
    this->phase = Phase::collecting;
}

void Staging::onReadBackUnanswered(TimePoint now)
{
    this->isRunning = false;
    this->scheduleRetry(now);
}

void Staging::onOrdered(OrderReply reply, TimePoint now)
{
    this->isRunning = false;
    this->verifiedAt.reset();
    this->orderedAt = now;
    if (reply == OrderReply::refused)
        this->scheduleRetry(now);
    else
        this->phase = Phase::ordered;
}

} // namespace egret
