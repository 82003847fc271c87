#include "load_spread.h"

#include "arrival_rate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>

using namespace egret;

namespace {

constexpr FloatMilliseconds kPenalty{ 50 };

double sumOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

SpreadTarget engine(double waitMs, double freeSlots = 0, bool isLocal = true)
{
    return { .wait = FloatMilliseconds(waitMs),
             .freeSlots = freeSlots,
             .waitPerStart = FloatMilliseconds(40),
             .waitPerQueued = FloatMilliseconds(120),
             .isLocal = isLocal };
}

} // namespace

// Guards against a wait that ignores the requests that find a free slot.
TEST(LoadSpread, RequestsBeyondTheFreeSlotsWaitLonger)
{
    EXPECT_DOUBLE_EQ(requestsWithin(engine(100, 2), FloatMilliseconds(100)), 0);
    EXPECT_DOUBLE_EQ(requestsWithin(engine(100, 2), FloatMilliseconds(140)), 1);
    EXPECT_DOUBLE_EQ(requestsWithin(engine(100, 2), FloatMilliseconds(300)), 3);
}

// Load: 45 gateways with 11 requests a second each share notices that are 200 ms old, 16 of 20
// engines have one request more than the others. Guards against the engines with the shortest
// wait getting the requests of a whole notice period.
TEST(LoadSpread, ManyGatewaysWithTheSameNoticesDoNotOverloadTheLeastLoadedEngines)
{
    std::vector<SpreadTarget> targets(20, engine(220));
    std::fill_n(targets.begin(), 4, engine(100));
    const double requests = 45 * 11 * 0.2;
    const auto weights =
            spreadWeights(targets, { .ofZone = requests, .ofAll = requests }, kPenalty);
    std::mt19937_64 random(1);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    std::vector<int> received(targets.size());
    for (int i = 0; i < static_cast<int>(requests); ++i)
        ++received[draw(random)];
    // Evenly spread waits give 5.75 and 4.75 requests; one in a hundred draws exceeds 13.
    EXPECT_LE(*std::ranges::max_element(received), 13);
    EXPECT_GT(weights[0], weights[10]);
    EXPECT_LT(weights[0], 1.5 * weights[10]);
}

// Guards against gateways that leave their zone while it has room.
TEST(LoadSpread, OtherZonesGetRequestsOnlyOnceTheOwnZoneIsBusier)
{
    std::vector<SpreadTarget> targets(30, engine(100, 12, false));
    std::fill_n(targets.begin(), 10, engine(100, 12));
    const auto evenly = spreadWeights(targets, { .ofZone = 10, .ofAll = 30 }, kPenalty);
    EXPECT_DOUBLE_EQ(std::accumulate(evenly.begin() + 10, evenly.end(), 0.0), 0);
    for (std::size_t i = 0; i < 10; ++i)
        targets[i] = engine(500);
    const auto spilled = spreadWeights(targets, { .ofZone = 10, .ofAll = 30 }, kPenalty);
    EXPECT_DOUBLE_EQ(std::accumulate(spilled.begin(), spilled.begin() + 10, 0.0), 0);
    EXPECT_GT(sumOf(spilled), 0);
}

// Guards against a slow engine that is taken as soon as its queue is as short as others'.
TEST(LoadSpread, ASlowEngineGetsFewerRequests)
{
    std::vector<SpreadTarget> targets(4, engine(100));
    targets[0] = { .wait = FloatMilliseconds(250),
                   .waitPerStart = FloatMilliseconds(100),
                   .waitPerQueued = FloatMilliseconds(300) };
    const auto weights = spreadWeights(targets, { .ofZone = 12, .ofAll = 12 }, kPenalty);
    EXPECT_LT(weights[0], 0.4 * weights[1]);
}

// Guards against weights that no engine can be drawn by, for any load and demand.
RC_GTEST_PROP(LoadSpread, SomeEngineCanAlwaysBeDrawn, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<SpreadTarget> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({ .wait = FloatMilliseconds(*rc::gen::inRange(0, 20000)),
                            .freeSlots = static_cast<double>(*rc::gen::inRange(0, 12)),
                            .waitPerStart = FloatMilliseconds(*rc::gen::inRange(1, 500)),
                            .waitPerQueued = FloatMilliseconds(*rc::gen::inRange(1, 500)),
                            .isLocal = *rc::gen::arbitrary<bool>() });
    const double ofAll = *rc::gen::inRange(0, 1000);
    const auto weights = spreadWeights(targets, { .ofZone = ofAll / 3, .ofAll = ofAll }, kPenalty);
    RC_ASSERT(std::ranges::all_of(weights, [](double each) { return each >= 0; }));
    RC_ASSERT(sumOf(weights) > 0);
}

// Guards against a demand that is remembered after a burst has ended.
TEST(ArrivalRate, FollowsABurstWithinSeconds)
{
    ArrivalRate rate;
    TimePoint now{};
    for (int i = 0; i < 300; ++i)
        rate.add(now += 100ms);
    EXPECT_NEAR(rate.perSecond(now), 10, 1);
    EXPECT_LT(rate.perSecond(now + 3s), 1);
    EXPECT_DOUBLE_EQ(ArrivalRate().perSecond(now), 0);
}
