#include "load_orders.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

using namespace egret;

namespace {

constexpr Milliseconds kUnresolvedOrderLifetime = 10s;

Fence fence(std::uint64_t sequence)
{
    return { .epoch = 1, .sequence = sequence };
}

/// An engine, and the orders that got no response but may still reach the engine.
struct FakeEngine
{
    struct DelayedOrder
    {
        EngineLoadOrder order;
        TimePoint expiresAt; ///< time when the network drops the order
    };

    bool checksFences{ false };
    EngineState state{ .incarnation = 1 };
    std::deque<DelayedOrder> delayedOrders;
    std::uint64_t highestLoadedSequence{ 0 };
    bool wasMovedBack{ false };

    LoadOrderOutcome run(const EngineLoadOrder &order)
    {
        if (this->checksFences && isNewer(this->state.fence, order.fence))
            return LoadOrderOutcome::staleFence;
        const bool isOlder = order.fence.sequence < this->highestLoadedSequence;
        this->wasMovedBack =
                this->wasMovedBack || (isOlder && order.version != this->state.version);
        this->highestLoadedSequence = std::max(this->highestLoadedSequence, order.fence.sequence);
        this->state.fence = order.fence;
        this->state.version = order.version;
        return LoadOrderOutcome::loaded;
    }

    void restart()
    {
        this->state = { .incarnation = this->state.incarnation + 1 };
        this->delayedOrders.clear();
        this->highestLoadedSequence = 0;
    }
};

/// Passes an engine state to `orders` and returns the next order, if any.
std::optional<EngineLoadOrder> nextAfterState(LoadOrderScheduler &orders, const EngineState &state,
                                              TimePoint now)
{
    orders.onState(state, now);
    return orders.next(now);
}

} // namespace

TEST(LoadOrderScheduler, SendsOneOrderAtATime)
{
    LoadOrderScheduler orders(LoadOrderOptions{});
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    ASSERT_TRUE(first);
    orders.setWantedVersion(fence(2), "v2", "/v2");
    EXPECT_FALSE(nextAfterState(orders, { .incarnation = 1 }, now));
    orders.onOutcome(first->number, LoadOrderOutcome::loaded, now);
    EXPECT_FALSE(orders.next(now)) << "the state has not been read since the order ended";
    const auto second = nextAfterState(
            orders, { .incarnation = 1, .version = "v1", .fence = fence(1) }, now + 1ms);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->version, "v2");
}

TEST(LoadOrderScheduler, IgnoresARevisionThatIsNotNewer)
{
    LoadOrderScheduler orders(LoadOrderOptions{});
    orders.setWantedVersion(fence(5), "v2", "/v2");
    orders.setWantedVersion(fence(4), "v1", "/v1");
    orders.setWantedVersion(fence(5), "v1", "/v1");
    const auto order = nextAfterState(orders, { .incarnation = 1 }, TimePoint{ 1s });
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, "v2");
}

TEST(LoadOrderScheduler, ReadsTheStateAfterALostResponse)
{
    LoadOrderScheduler orders(
            LoadOrderOptions{ .unresolvedOrderLifetime = kUnresolvedOrderLifetime });
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    orders.onOutcome(first->number, LoadOrderOutcome::unknown, now + 1s);
    EXPECT_FALSE(orders.next(now + 1s));
    // A read that started while the order ran is ignored.
    EXPECT_FALSE(nextAfterState(orders, { .incarnation = 1 }, now));
    // The read shows that the unresolved order has run, so no further order follows.
    EXPECT_FALSE(nextAfterState(orders, { .incarnation = 1, .version = "v1", .fence = fence(1) },
                                now + 2s));
    EXPECT_FALSE(orders.mayBeLoading());
}

TEST(LoadOrderScheduler, DelaysAnotherVersionWhileAnUnresolvedOrderMayRun)
{
    LoadOrderScheduler orders(
            LoadOrderOptions{ .unresolvedOrderLifetime = kUnresolvedOrderLifetime });
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    orders.onOutcome(first->number, LoadOrderOutcome::unknown, now);
    orders.setWantedVersion(fence(2), "v2", "/v2");
    EXPECT_FALSE(nextAfterState(orders, { .incarnation = 1 }, now + 1s));
    const auto second =
            nextAfterState(orders, { .incarnation = 1 }, now + kUnresolvedOrderLifetime);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->version, "v2");
}

TEST(LoadOrderScheduler, RepeatsAnOrderWhoseEngineWasKilledBeforeTheResponse)
{
    LoadOrderScheduler orders(
            LoadOrderOptions{ .unresolvedOrderLifetime = kUnresolvedOrderLifetime });
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    orders.onOutcome(first->number, LoadOrderOutcome::unknown, now);
    const auto again = nextAfterState(orders, { .incarnation = 2 }, now + 1s);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->version, "v1");
}

TEST(LoadOrderScheduler, DropsAnUnresolvedOrderWhenTheEngineRestartsAfterTheFirstRead)
{
    LoadOrderScheduler orders(
            LoadOrderOptions{ .unresolvedOrderLifetime = kUnresolvedOrderLifetime });
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    orders.onOutcome(first->number, LoadOrderOutcome::unknown, now);
    orders.setWantedVersion(fence(2), "v2", "/v2");
    EXPECT_FALSE(nextAfterState(orders, { .incarnation = 2 }, now + 1s))
            << "this incarnation may have received the order";
    const auto second = nextAfterState(orders, { .incarnation = 3 }, now + 2s);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->version, "v2");
}

TEST(LoadOrderScheduler, CountsAVersionChangeWithoutAnOrder)
{
    LoadOrderScheduler orders(LoadOrderOptions{});
    const TimePoint now{ 1s };
    orders.setWantedVersion(fence(1), "v1", "/v1");
    const auto first = nextAfterState(orders, { .incarnation = 1 }, now);
    orders.onOutcome(first->number, LoadOrderOutcome::loaded, now);
    orders.onState({ .incarnation = 1, .version = "v1", .fence = fence(1) }, now);
    EXPECT_EQ(orders.externalChanges(), 0U);
    EXPECT_TRUE(nextAfterState(orders, { .incarnation = 1, .version = "x" }, now + 1s));
    EXPECT_EQ(orders.externalChanges(), 1U);
}

// Under any sequence of lost responses, delayed copies and engine restarts, no order of an
// older revision takes effect after an order of a newer revision. Once the faults end, the
// engine loads the wanted version.
TEST(LoadOrderScheduler, NeverMoveAnEngineBackToAnOlderVersion)
{
    const bool isPassed = rc::check([] {
        FakeEngine engine;
        engine.checksFences = *rc::gen::arbitrary<bool>();
        LoadOrderScheduler orders(
                LoadOrderOptions{ .engineChecksFences = engine.checksFences,
                                  .unresolvedOrderLifetime = kUnresolvedOrderLifetime });
        TimePoint now{ 1s };
        std::uint64_t revision = 0;
        std::optional<EngineLoadOrder> running;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        for (const int step : steps) {
            now += 500ms;
            std::erase_if(engine.delayedOrders,
                          [now](const auto &delayed) { return delayed.expiresAt <= now; });
            if (step == 0) {
                ++revision;
                orders.setWantedVersion(fence(revision), "v" + std::to_string(revision % 3), "/v");
            } else if (step == 1) {
                engine.restart();
            } else if (step == 2 && running) {
                // The response is lost; the order may still be in flight.
                engine.delayedOrders.push_back(
                        { .order = *running, .expiresAt = now + kUnresolvedOrderLifetime });
                orders.onOutcome(running->number, LoadOrderOutcome::unknown, now);
                running.reset();
            } else if (step == 3 && running) {
                orders.onOutcome(running->number, LoadOrderOutcome::notSent, now);
                running.reset();
            } else if (step == 4 && !engine.delayedOrders.empty()) {
                // A delayed copy arrives; the same copy may arrive again later.
                const EngineLoadOrder delayed = engine.delayedOrders.front().order;
                engine.run(delayed);
            } else if (running) {
                const LoadOrderOutcome outcome = engine.run(*running);
                orders.onOutcome(running->number, outcome, now);
                running.reset();
            } else {
                running = nextAfterState(orders, engine.state, now);
            }
            RC_ASSERT(!engine.wasMovedBack);
        }
        // Without further faults, the engine ends up with the wanted version.
        for (int round = 0; revision > 0 && round < 400; ++round) {
            now += 500ms;
            if (running)
                orders.onOutcome(running->number, engine.run(*running), now);
            running = nextAfterState(orders, engine.state, now);
        }
        RC_ASSERT(!engine.wasMovedBack);
        RC_ASSERT(revision == 0 || engine.state.version == "v" + std::to_string(revision % 3));
    });
    EXPECT_TRUE(isPassed);
}
