#include "load_orders.h"

#include <algorithm>
#include <tuple>

namespace egret {

bool isNewer(const Fence &left, const Fence &right)
{
    return std::tie(left.epoch, left.sequence) > std::tie(right.epoch, right.sequence);
}

void LoadOrders::setWantedVersion(const Fence &fence, const std::string &version,
                                  const std::string &path)
{
    if (!isNewer(fence, this->wanted.fence))
        return;
    if (version != this->wanted.version) {
        this->failedOrders = 0;
        this->retryAt = {};
    }
    this->wanted = { .fence = fence, .version = version, .path = path };
}

void LoadOrders::onState(const EngineState &state, TimePoint readBegan)
{
    // A read that began before the last order ended may show what was before it.
    if (this->running || readBegan < this->endedAt)
        return;
    const bool restarted = this->lastIncarnation != 0 && state.incarnation != this->lastIncarnation;
    this->noteForeignChange(state);
    if (restarted)
        this->retryAt = {};
    // An engine that restarts after the loss has dropped the order with its
    // connections; one that restarted before may have been given it since.
    if (this->lost && this->lostIncarnation == 0)
        this->lostIncarnation = state.incarnation;
    else if (this->lost && this->lostIncarnation != state.incarnation)
        this->lost.reset();
    this->lastVersion = state.version;
    this->lastIncarnation = state.incarnation;
    this->engine = state;
    if (state.version == this->wanted.version)
        this->failedOrders = 0;
}

void LoadOrders::onStateUnavailable()
{
    this->engine.reset();
}

void LoadOrders::onOutcome(std::uint64_t number, LoadOrderOutcome outcome, TimePoint now)
{
    if (!this->running || this->running->number != number)
        return;
    const EngineOrder order = *this->running;
    this->running.reset();
    this->engine.reset();
    this->endedAt = now;
    switch (outcome) {
    case LoadOrderOutcome::loaded:
        this->lastVersion = order.version;
        return;
    case LoadOrderOutcome::lost:
        this->lost = order;
        this->lostAt = now;
        this->lostIncarnation = 0;
        return;
    case LoadOrderOutcome::failed:
    case LoadOrderOutcome::staleFence:
        ++this->failedOrders;
        break;
    case LoadOrderOutcome::notSent:
        break;
    }
    const auto doublings = std::min<std::uint32_t>(this->failedOrders, 8);
    this->retryAt = now
                    + std::min<Milliseconds>(this->options.firstRetry * (1U << doublings),
                                             this->options.longestRetry);
}

std::optional<EngineOrder> LoadOrders::next(TimePoint now)
{
    const bool isWanted = !this->wanted.version.empty() && this->engine
                          && this->engine->version != this->wanted.version;
    if (!isWanted || this->running || now < this->retryAt)
        return std::nullopt;
    // An engine that has taken a newer order must not be moved back.
    if (isNewer(this->engine->fence, this->wanted.fence))
        return std::nullopt;
    // The same version may be ordered again at once: a late copy changes nothing.
    if (this->lost && this->lost->version != this->wanted.version && this->lostOrderMayRun(now))
        return std::nullopt;
    this->running = this->wanted;
    this->running->number = ++this->orders;
    return this->running;
}

/// Whether a lost order could still take effect after an order given now.
bool LoadOrders::lostOrderMayRun(TimePoint now) const
{
    return !this->options.engineChecksFences && now - this->lostAt < this->options.settleTime;
}

/// Counts a change of version that no order of this agent explains.
void LoadOrders::noteForeignChange(const EngineState &state)
{
    const bool sameEngine = state.incarnation == this->lastIncarnation;
    const bool explained = state.version == this->lastVersion
                           || (this->lost && state.version == this->lost->version);
    if (sameEngine && !explained)
        ++this->foreign;
}

} // namespace egret
