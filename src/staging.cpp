#include "staging.h"

#include <algorithm>

namespace egret {

namespace {

/// Maximum number of in-flight piece transfers of a stager. With more transfers, requests to the
/// engine would queue behind pieces on a throttled link.
constexpr std::size_t kMaxTransfers = 4;
/// Maximum number of super-peers over all zones; only these stagers fetch from the origin. The
/// origin accepts few connections, and two pieces for each of these stagers saturate the origin's
/// link.
constexpr std::size_t kMaxStagerSuperPeers = 12;
/// Time for peers to send their holdings before the first fetch from the origin. The time is
/// short for a newly named version, because no peer holds a piece of the version.
constexpr Milliseconds kHoldingsWaitNew = 20ms;
constexpr Milliseconds kHoldingsWaitKnown = 300ms;
/// Longest time between two holdings exchanges of a stager that has no piece to fetch from a peer.
/// The time is short, because announcements sent while the stager was paused or a link was down
/// are lost, and a whole region may wait for the stager.
constexpr Milliseconds kMaxHoldingsPeriod = 500ms;
constexpr std::size_t kHoldingsFanOut = 5;
/// Time within which a relayed piece reaches all stagers of a zone. Announcements are delayed by
/// this time.
constexpr Milliseconds kRelayTime = 200ms;
/// Widening steps, each of about 1 s without a piece, after which any stager may fetch from the
/// origin.
constexpr std::uint8_t kSourceWideningSteps = 4;

} // namespace

SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool hasRelay)
{
    return { .self = self,
             .maxTransfers = kMaxTransfers,
             .maxPeerTransfers = 1,
             .maxSourceTransfers = kMaxOriginTransfers,
             .maxSuperPeers = kMaxStagerSuperPeers,
             .peerSettleTime = 0ms,
             .holdingsWait = isNew ? kHoldingsWaitNew : kHoldingsWaitKnown,
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
    this->phase = Phase::fetchingManifest;
    this->runningTask = 0;
    this->notBefore = now;
    this->verifiedAt.reset();
}

void Staging::onEngineStatus(const EngineStatus &status, TimePoint now)
{
    // Orders are sent only to an engine that is not busy, so a busy engine has accepted the order.
    if (status.isBusy && this->orderInFlight == 0)
        this->orderExpiresAt = std::min(this->orderExpiresAt, now);
    // A task that failed because the engine was unreachable is retried as soon as the engine
    // responds.
    if (!this->engineStatus)
        this->notBefore = std::min(this->notBefore, now);
    this->engineStatus = status;
}

StagingTask Staging::next(TimePoint now)
{
    if (this->runningTask != 0 || now < this->notBefore)
        return StagingTask::none;
    switch (this->phase) {
    case Phase::none:
        return StagingTask::none;
    case Phase::fetchingManifest:
        return this->start(StagingTask::fetchManifest);
    case Phase::checkingHeld:
        if (this->mayOrderBeAccepted(now))
            return StagingTask::none;
        return this->start(StagingTask::checkHeld);
    case Phase::collecting:
        return StagingTask::collect;
    case Phase::ordered:
        if (now < this->orderedAt + this->options.orderTimeout || !this->engineStatus
            || this->engineStatus->isBusy || this->isLoaded())
            return StagingTask::none;
        // The load order was lost, or the engine restarted and lost the loaded version.
        this->phase = Phase::staged;
        this->verifiedAt.reset();
        [[fallthrough]];
    case Phase::staged:
        if (!this->engineStatus || this->engineStatus->isBusy || this->isLoaded()
            || !this->isLoadDue(now) || this->mayWriteBeStored(now))
            return StagingTask::none;
        if (!this->verifiedAt || now > *this->verifiedAt + this->options.verificationLifetime)
            return this->start(StagingTask::readBack);
        return this->start(StagingTask::order);
    }
    return StagingTask::none;
}

/// Whether the engine's position in the rollout allows the load now. An engine without weights
/// serves no requests, so the load costs no capacity and starts at once.
bool Staging::isLoadDue(TimePoint now) const
{
    if (!this->isNew || this->engineStatus->version == 0)
        return true;
    const TimePoint lastLoadAt =
            this->namedAt + this->options.rolloutLimit - this->options.lastLoadLead;
    const Duration remaining = std::max<Duration>(Duration{ 0 }, lastLoadAt - this->stagedAt);
    return now >= this->stagedAt
                          + std::chrono::duration_cast<Duration>(remaining * this->rolloutPosition);
}

/// Whether the engine may still accept an order that was sent.
bool Staging::mayOrderBeAccepted(TimePoint now) const
{
    return this->orderInFlight != 0 || now < this->orderExpiresAt;
}

/// Whether the engine may still store a piece that was sent.
bool Staging::mayWriteBeStored(TimePoint now) const
{
    return this->writesInFlight > 0 || now < this->writesExpireAt;
}

void Staging::onWriteEnded(bool isAnswered, TimePoint now)
{
    --this->writesInFlight;
    if (!isAnswered)
        this->writesExpireAt = now + this->options.writeTimeout;
}

StagingTask Staging::start(StagingTask task)
{
    this->runningTask = ++this->lastTask;
    if (task == StagingTask::order)
        this->orderInFlight = this->runningTask;
    return task;
}

/// Ends the running task if it has this number; false otherwise.
bool Staging::end(std::uint64_t task)
{
    if (task == 0 || task != this->runningTask)
        return false;
    this->runningTask = 0;
    return true;
}

void Staging::scheduleRetry(TimePoint now)
{
    this->notBefore = now + this->options.retryDelay;
}

void Staging::onManifestRejected(TimePoint now)
{
    this->phase = Phase::fetchingManifest;
    this->runningTask = 0;
    this->notBefore = now;
    this->verifiedAt.reset();
}

void Staging::onManifest()
{
    if (!this->lacksManifest())
        return;
    this->runningTask = 0;
    this->phase = Phase::checkingHeld;
}

void Staging::onManifestFailed(std::uint64_t task, TimePoint now)
{
    if (this->end(task))
        this->scheduleRetry(now);
}

void Staging::onHeldChecked(std::uint64_t task, HeldPieces held, TimePoint now)
{
    if (!this->end(task))
        return;
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

void Staging::onReadBack(std::uint64_t task, bool isIntact, TimePoint now)
{
    if (!this->end(task))
        return;
    if (isIntact) {
        this->verifiedAt = now;
        return;
    }
    this->verifiedAt.reset();
    this->phase = Phase::collecting;
}

void Staging::onReadBackUnanswered(std::uint64_t task, TimePoint now)
{
    if (this->end(task))
        this->scheduleRetry(now);
}

void Staging::onOrdered(std::uint64_t task, OrderReply reply, TimePoint now)
{
    if (task == this->orderInFlight) {
        this->orderInFlight = 0;
        if (reply == OrderReply::unknown)
            this->orderExpiresAt = now + this->options.orderTimeout;
    }
    if (!this->end(task))
        return;
    this->verifiedAt.reset();
    this->orderedAt = now;
    if (reply == OrderReply::refused)
        this->scheduleRetry(now);
    else
        this->phase = Phase::ordered;
}

} // namespace egret
