#include "load_orders.h"

#include <algorithm>
#include <tuple>

namespace egret {

bool isNewer(const Fence &left, const Fence &right)
{
    return std::tie(left.epoch, left.sequence) > std::tie(right.epoch, right.sequence);
}

void LoadOrderScheduler::setWantedVersion(const Fence &fence, const std::string &version,
                                          const std::string &path)
{
    if (!isNewer(fence, this->wantedOrder.fence))
        return;
    if (version != this->wantedOrder.version) {
        this->consecutiveFailures = 0;
        this->retryAt = {};
    }
    this->wantedOrder = { .fence = fence, .version = version, .path = path };
}

void LoadOrderScheduler::onState(const EngineState &state, TimePoint readStartedAt)
{
    // A read that started before the last order ended may show the state before the order.
    if (this->runningOrder || readStartedAt < this->lastOrderEndedAt)
        return;
    const bool hasRestarted =
            this->lastIncarnation != 0 && state.incarnation != this->lastIncarnation;
    this->countExternalChange(state);
    if (hasRestarted)
        this->retryAt = {};
    // An unresolved order is dropped only when the engine restarts after the first read since the
    // order ended: the restart closed the connection that carried the order. A restart before the
    // first read proves nothing, because the order may have reached the engine after that restart.
    if (this->unresolvedOrder && this->incarnationAtFirstRead == 0)
        this->incarnationAtFirstRead = state.incarnation;
    else if (this->unresolvedOrder && this->incarnationAtFirstRead != state.incarnation)
        this->unresolvedOrder.reset();
    this->lastVersion = state.version;
    this->lastIncarnation = state.incarnation;
    this->engineState = state;
    if (state.version == this->wantedOrder.version)
        this->consecutiveFailures = 0;
}

void LoadOrderScheduler::onStateUnavailable()
{
    this->engineState.reset();
}

void LoadOrderScheduler::onOutcome(std::uint64_t number, LoadOrderOutcome outcome, TimePoint now)
{
    if (!this->runningOrder || this->runningOrder->number != number)
        return;
    const EngineLoadOrder order = *this->runningOrder;
    this->runningOrder.reset();
    this->engineState.reset();
    this->lastOrderEndedAt = now;
    switch (outcome) {
    case LoadOrderOutcome::loaded:
        this->lastVersion = order.version;
        return;
    case LoadOrderOutcome::unknown:
        this->unresolvedOrder = order;
        this->unresolvedSince = now;
        this->incarnationAtFirstRead = 0;
        return;
    case LoadOrderOutcome::failed:
    case LoadOrderOutcome::staleFence:
        ++this->consecutiveFailures;
        break;
    case LoadOrderOutcome::notSent:
        break;
    }
    const auto doublings = std::min<std::uint32_t>(this->consecutiveFailures, 8);
    this->retryAt = now
                    + std::min<Milliseconds>(this->options.baseRetryDelay * (1U << doublings),
                                             this->options.maxRetryDelay);
}

std::optional<EngineLoadOrder> LoadOrderScheduler::next(TimePoint now)
{
    const bool isWanted = !this->wantedOrder.version.empty() && this->engineState
                          && this->engineState->version != this->wantedOrder.version;
    if (!isWanted || this->runningOrder || now < this->retryAt)
        return std::nullopt;
    // An engine that received a newer order must not be moved back to an older version.
    if (isNewer(this->engineState->fence, this->wantedOrder.fence))
        return std::nullopt;
    // An order for the version of the unresolved order may be sent at once, because a delayed copy
    // of the unresolved order then changes nothing.
    if (this->unresolvedOrder && this->unresolvedOrder->version != this->wantedOrder.version
        && this->mayUnresolvedOrderStillRun(now))
        return std::nullopt;
    this->runningOrder = this->wantedOrder;
    this->runningOrder->number = ++this->orderCount;
    return this->runningOrder;
}

/// Whether the engine could still run the unresolved order after an order that is sent at `now`.
bool LoadOrderScheduler::mayUnresolvedOrderStillRun(TimePoint now) const
{
    return !this->options.engineChecksFences
           && now - this->unresolvedSince < this->options.unresolvedOrderLifetime;
}

/// Counts a version change that was not caused by an order of this agent.
void LoadOrderScheduler::countExternalChange(const EngineState &state)
{
    const bool isSameIncarnation = state.incarnation == this->lastIncarnation;
    const bool isExpected =
            state.version == this->lastVersion
            || (this->unresolvedOrder && state.version == this->unresolvedOrder->version);
    if (isSameIncarnation && !isExpected)
        ++this->externalChangeCount;
}

} // namespace egret
