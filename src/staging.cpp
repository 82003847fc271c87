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
    this->isRunning = false;
    this->notBefore = now;
    this->verifiedAt.reset();
}

void Staging::onEngineStatus(const EngineStatus &status, TimePoint now)
{
    // A task that failed because the engine was unreachable is retried as soon as the engine
    // responds.
    if (!this->engineStatus)
        this->notBefore = std::min(this->notBefore, now);
    this->engineStatus = status;
}

StagingTask Staging::next(TimePoint now)
{
    if (this->isRunning || now < this->notBefore)
        return StagingTask::none;
    switch (this->phase) {
    case Phase::none:
        return StagingTask::none;
    case Phase::fetchingManifest:
        return this->start(StagingTask::fetchManifest);
    case Phase::checkingHeld:
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
            || !this->isLoadDue(now))
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

StagingTask Staging::start(StagingTask task)
{
    this->isRunning = true;
    return task;
}

void Staging::scheduleRetry(TimePoint now)
{
    this->notBefore = now + this->options.retryDelay;
}

void Staging::onManifestRejected(TimePoint now)
{
    this->phase = Phase::fetchingManifest;
    this->isRunning = false;
    this->notBefore = now;
    this->verifiedAt.reset();
}

void Staging::onManifest(bool isAccepted, TimePoint now)
{
    if (!this->lacksManifest())
        return;
    this->isRunning = false;
    if (isAccepted)
        this->phase = Phase::checkingHeld;
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
