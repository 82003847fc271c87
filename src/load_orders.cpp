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
        this->consecutiveFailures = 0;
        this->retryAt = {};
    }
    this->wanted = { .fence = fence, .version = version, .path = path };
}

void LoadOrders::onState(const EngineState &state, TimePoint readBegan)
{
    // A read that started before the last order ended may show the state before the order.
    if (this->running || readBegan < this->endedAt)
        return;
    const bool restarted = this->lastIncarnation != 0 && state.incarnation != this->lastIncarnation;
    this->countForeignChange(state);
    if (restarted)
        this->retryAt = {};
    // An engine that restarts after the first read since the loss has dropped the order with
    // its connections; one that restarted before that read may have received the order since.
    if (this->lost && this->lostIncarnation == 0)
        this->lostIncarnation = state.incarnation;
    else if (this->lost && this->lostIncarnation != state.incarnation)
        this->lost.reset();
    this->lastVersion = state.version;
    this->lastIncarnation = state.incarnation;
    this->engine = state;
    if (state.version == this->wanted.version)
        this->consecutiveFailures = 0;
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

std::optional<EngineOrder> LoadOrders::next(TimePoint now)
{
    const bool isWanted = !this->wanted.version.empty() && this->engine
                          && this->engine->version != this->wanted.version;
    if (!isWanted || this->running || now < this->retryAt)
        return std::nullopt;
    // An engine that received a newer order must not be moved back to an older version.
    if (isNewer(this->engine->fence, this->wanted.fence))
        return std::nullopt;
    // The same version may be ordered again at once: a delayed copy has no further effect.
    if (this->lost && this->lost->version != this->wanted.version && this->mayLostOrderRun(now))
        return std::nullopt;
    this->running = this->wanted;
    this->running->number = ++this->orders;
    return this->running;
}

/// Whether a lost order could still run after an order sent now.
bool LoadOrders::mayLostOrderRun(TimePoint now) const
{
    return !this->options.engineChecksFences
           && now - this->lostAt < this->options.lostOrderLifetime;
}

/// Counts a version change that no order of this agent explains.
void LoadOrders::countForeignChange(const EngineState &state)
{
    const bool sameEngine = state.incarnation == this->lastIncarnation;
    const bool explained = state.version == this->lastVersion
                           || (this->lost && state.version == this->lost->version);
    if (sameEngine && !explained)
        ++this->foreignChangeCount;
}

} // namespace egret
