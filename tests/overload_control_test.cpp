#include "overload_control.h"

#include "engine_fleet_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

using namespace egret;
using namespace egret::testing_model;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
constexpr Milliseconds kBurstFrom = 10s;
constexpr Milliseconds kBurstTo = 16s;

/// Three kinds of requests. With `scale` 1 they take about three quarters of the modelled engines'
/// slots, with 1.1 nearly all that the engines can serve.
std::vector<Kind> threeKinds(double scale = 1)
{
    const auto scaled = [scale](double milliseconds) {
        return std::chrono::ceil<Milliseconds>(FloatMilliseconds(milliseconds * scale));
    };
    return { { .priority = 0, .rate = 145, .serviceTime = scaled(840), .objective = 400ms },
             { .priority = 1, .rate = 175, .serviceTime = scaled(800), .objective = 400ms },
             { .priority = 2, .rate = 123, .serviceTime = scaled(400), .objective = 800ms } };
}

/// Load with a burst of one kind.
FleetLoad burstOf(std::size_t burstKind, double factor, double scale = 1)
{
    FleetLoad load{ .kinds = threeKinds(scale) };
    load.rateFactor = [burstKind, factor](std::size_t kind, Milliseconds at) {
        return kind == burstKind && at >= kBurstFrom && at < kBurstTo ? factor : 1;
    };
    return load;
}

/// Share of the highest kind that is on time in the burst of `load`.
double highestOnTime(FleetLoad load, bool isControlled)
{
    load.options.isEnabled = isControlled;
    EngineFleetModel model(std::move(load));
    model.run(20s);
    return model.ofKind(0, kBurstFrom, kBurstTo).onTimeShare();
}

/// A controller of a service with priorities 0, 1 and 2.
OverloadControl threeRanks()
{
    OverloadControl control({}, 1);
    control.setPriorities("llm", { { .priority = 0, .objective = 400ms },
                                   { .priority = 1, .objective = 300ms },
                                   { .priority = 2, .objective = 800ms } });
    return control;
}

ServiceLoad loadOf(std::optional<double> occupancy)
{
    return { .occupancy = occupancy, .firstToken = FloatMilliseconds(100), .scope = "llm" };
}

/// Share of requests that are admitted in ten seconds with a constant occupancy, after one second.
/// `others`: further priorities, each with one request a second.
double admittedShare(OverloadControl &control, std::uint32_t priority,
                     std::optional<double> occupancy, bool isReturning = false,
                     const std::vector<std::uint32_t> &others = { 0, 1, 2 })
{
    int admitted = 0;
    int requests = 0;
    for (Milliseconds at = 0ms; at < 11s; at += 2ms) {
        for (const std::uint32_t other : others) {
            if (at % 1s == 0ms && other != priority)
                control.decide({ .service = "llm", .customer = "7", .priority = other },
                               loadOf(occupancy), kStart + at);
        }
        const AdmissionDecision decision =
                control.decide({ .service = "llm",
                                 .customer = std::to_string(at.count() % 7),
                                 .priority = priority,
                                 .engineTime = FloatMilliseconds(50),
                                 .isReturning = isReturning },
                               loadOf(occupancy), kStart + at);
        if (at < 1s)
            continue;
        ++requests;
        admitted += decision.isAdmitted ? 1 : 0;
    }
    return static_cast<double>(admitted) / requests;
}

} // namespace

// Load: all requests have one priority. Guards against a change for services whose document names
// equal priorities.
TEST(OverloadControl, OnePriorityIsNeverRefused)
{
    OverloadControl control({}, 1);
    control.setPriorities("llm", { { .priority = 1, .objective = 400ms } });
    for (const double occupancy : { 0.2, 0.8, 1.2, 3.0 })
        EXPECT_EQ(admittedShare(control, 1, occupancy), 1) << occupancy;
    EXPECT_EQ(control.firstTokenLimit("llm", 1), std::nullopt);
    EXPECT_TRUE(control.takeChanges(kStart).empty());
}

// Load: constant occupancies. Guards against refusals while slots are free, against a lower
// priority that is served more often than a higher one, and against a priority without a floor.
TEST(OverloadControl, LowerPrioritiesAreRefusedEarlierAndNeverWholly)
{
    for (double occupancy = 0; occupancy < 3; occupancy += 0.05) {
        std::vector<double> shares;
        for (const std::uint32_t priority : { 0U, 1U, 2U }) {
            OverloadControl control = threeRanks();
            shares.push_back(admittedShare(control, priority, occupancy));
        }
        EXPECT_EQ(shares[0], 1) << occupancy;
        EXPECT_GE(shares[1], shares[2]) << occupancy;
        EXPECT_GE(shares[2], 0.22) << occupancy;
        if (occupancy < 0.75) {
            EXPECT_EQ(shares[2], 1) << occupancy;
        }
    }
}

// Load: only two of three priorities send, and later the lowest alone. Guards against a priority
// of a customer that never sends, which would make all other requests lower rank.
TEST(OverloadControl, PriorityWithoutRequestsHasNoRank)
{
    OverloadControl control = threeRanks();
    EXPECT_EQ(admittedShare(control, 1, 1.5, false, { 2 }), 1);
    EXPECT_LT(admittedShare(control, 2, 1.5, false, { 1 }), 0.3);
    EXPECT_EQ(control.firstTokenLimit("llm", 1), std::nullopt);
    EXPECT_EQ(control.firstTokenLimit("llm", 2), 300ms);
    OverloadControl alone = threeRanks();
    EXPECT_EQ(admittedShare(alone, 2, 1.5, false, {}), 1);
    // The highest priority has a rank again from its first request on.
    const ServiceLoad late{ .occupancy = 0.75, .firstToken = FloatMilliseconds(500), .scope = "" };
    const auto isAdmitted = [&](std::uint32_t priority, Milliseconds at) {
        return alone.decide({ .service = "llm", .priority = priority }, late, kStart + at)
                .isAdmitted;
    };
    EXPECT_TRUE(isAdmitted(2, 12s));
    EXPECT_TRUE(isAdmitted(0, 12s));
    EXPECT_FALSE(isAdmitted(2, 16s));
    EXPECT_TRUE(isAdmitted(2, 18s));
}

// Guards against a longer objective that gives a lower priority precedence.
TEST(OverloadControl, FirstTokenLimitIsTheSmallestObjectiveOfHigherPriorities)
{
    OverloadControl control = threeRanks();
    // At this occupancy nothing is refused at random.
    const ServiceLoad slow{ .occupancy = 0.75, .firstToken = FloatMilliseconds(350), .scope = "" };
    EXPECT_TRUE(control.decide({ .service = "llm", .priority = 0 }, slow, kStart).isAdmitted);
    EXPECT_TRUE(control.decide({ .service = "llm", .priority = 1 }, slow, kStart).isAdmitted);
    EXPECT_FALSE(control.decide({ .service = "llm", .priority = 2 }, slow, kStart).isAdmitted);
    EXPECT_EQ(control.firstTokenLimit("llm", 0), std::nullopt);
    EXPECT_EQ(control.firstTokenLimit("llm", 1), 400ms);
    EXPECT_EQ(control.firstTokenLimit("llm", 2), 300ms);
    EXPECT_EQ(control.firstTokenLimit("other", 2), std::nullopt);
    control.setPriorities("llm", { { .priority = 0, .objective = 0ms },
                                   { .priority = 1, .objective = 300ms },
                                   { .priority = 2, .objective = 800ms } });
    EXPECT_EQ(control.firstTokenLimit("llm", 1), std::nullopt);
    EXPECT_EQ(control.firstTokenLimit("llm", 2), 300ms);
}

// Load: a prompt whose own prefill takes longer than the objective of the higher priorities, on
// engines with free slots. Guards against refusing it for good.
TEST(OverloadControl, LongPromptIsAdmittedWhileSlotsAreFree)
{
    OverloadControl control = threeRanks();
    EXPECT_FALSE(control.isNearlyFull("llm"));
    ServiceLoad load{ .occupancy = 0.5, .firstToken = FloatMilliseconds(5000), .scope = "" };
    const auto isAdmitted = [&](std::uint32_t priority, Milliseconds at) {
        return control.decide({ .service = "llm", .priority = priority }, load, kStart + at)
                .isAdmitted;
    };
    EXPECT_TRUE(isAdmitted(0, 0ms));
    EXPECT_TRUE(isAdmitted(2, 0ms));
    EXPECT_FALSE(control.isNearlyFull("llm"));
    EXPECT_EQ(control.firstTokenLimit("llm", 2), std::nullopt);
    load.occupancy = 1;
    EXPECT_FALSE(isAdmitted(2, 2s));
    EXPECT_TRUE(control.isNearlyFull("llm"));
    load.occupancy.reset();
    EXPECT_TRUE(isAdmitted(2, 2s));
    EXPECT_FALSE(control.isNearlyFull("llm"));
    load.occupancy = 1;
    isAdmitted(2, 2s);
    control.takeChanges(kStart + 5s);
    EXPECT_FALSE(control.isNearlyFull("llm"));
}

// Load: clients that were refused before, at an occupancy where most of their rank is refused.
TEST(OverloadControl, ReturningRequestsTakePrecedence)
{
    OverloadControl fresh = threeRanks();
    OverloadControl returning = threeRanks();
    EXPECT_GT(admittedShare(returning, 2, 1.0, true), admittedShare(fresh, 2, 1.0) + 0.1);
}

// Load: unknown, invalid and old occupancies. Guards against refusals without a known load, and
// against a state that a nonsense value spoils.
TEST(OverloadControl, UnknownLoadRefusesNothing)
{
    OverloadControl control = threeRanks();
    EXPECT_EQ(admittedShare(control, 2, std::nullopt), 1);
    EXPECT_EQ(admittedShare(control, 2, std::numeric_limits<double>::quiet_NaN()), 1);
    EXPECT_EQ(admittedShare(control, 2, std::numeric_limits<double>::infinity()), 1);
    EXPECT_EQ(admittedShare(control, 2, -5.0), 1);
    EXPECT_NEAR(admittedShare(control, 2, 1e9), 0.25, 0.03);
    // The high value is older than any load that counts.
    EXPECT_TRUE(control.decide({ .service = "llm", .priority = 2 }, loadOf(0.3), kStart + 60s)
                        .isAdmitted);
}

// Guards against clients that were refused together and return together.
TEST(OverloadControl, RetryAfterIsSpread)
{
    OverloadControl control = threeRanks();
    std::vector<Milliseconds> times;
    control.decide({ .service = "llm", .priority = 0 }, loadOf(1.3), kStart);
    for (int each = 0; each < 500; ++each) {
        const AdmissionDecision decision = control.decide({ .service = "llm", .priority = 2 },
                                                          loadOf(1.3), kStart + each * 2ms);
        if (!decision.isAdmitted)
            times.push_back(decision.retryAfter);
    }
    ASSERT_GT(times.size(), 100U);
    const auto [least, most] = std::ranges::minmax(times);
    EXPECT_GE(least, 100ms);
    EXPECT_LE(most, 2s);
    EXPECT_GE(static_cast<double>(most.count()), 1.6 * static_cast<double>(least.count()));
}

// A document changes the priorities while the engines are full: the new ranks hold at once, and
// the change is reported as the beginning and the end of shedding.
TEST(OverloadControl, DocumentChangeReplacesRanksAtOnce)
{
    OverloadControl control = threeRanks();
    EXPECT_EQ(admittedShare(control, 0, 1.5, false, {}), 1);
    EXPECT_LT(admittedShare(control, 2, 1.5, false, { 0 }), 0.3);
    const auto begun = control.takeChanges(kStart + 11s);
    ASSERT_EQ(begun.size(), 1U);
    EXPECT_TRUE(begun.front().isShedding);
    control.setPriorities("llm", { { .priority = 2, .objective = 400ms },
                                   { .priority = 5, .objective = 400ms } });
    EXPECT_EQ(admittedShare(control, 2, 1.5, false, { 2, 5 }), 1);
    EXPECT_LT(admittedShare(control, 5, 1.5, false, { 2, 5 }), 0.3);
    const auto changes = control.takeChanges(kStart + 20s);
    EXPECT_EQ(std::ranges::count(changes, false, &SheddingChange::isShedding), 2);
    control.setPriorities("llm", {});
    EXPECT_EQ(admittedShare(control, 5, 1.5), 1);
}

// Guards against options that refuse requests while slots are free, or never admit a priority.
TEST(OverloadControl, InvalidOptionsAreNamed)
{
    EXPECT_EQ(overloadOptionsError({}), "");
    EXPECT_NE(overloadOptionsError({ .start = 0.5 }), "");
    EXPECT_NE(overloadOptionsError({ .width = 0 }), "");
    EXPECT_NE(overloadOptionsError({ .floor = 0 }), "");
    EXPECT_NE(overloadOptionsError({ .start = std::nan("") }), "");
}

// Guards against a memory that grows with customers that have vanished.
TEST(CustomerShares, VanishedCustomersAreDropped)
{
    CustomerShares shares;
    for (int each = 0; each < 10000; ++each)
        shares.onRequest(std::to_string(each), FloatMilliseconds(50), kStart);
    EXPECT_LE(shares.size(), 4096U);
    shares.onRequest("last", FloatMilliseconds(50), kStart + 300s);
    EXPECT_EQ(shares.size(), 1U);
}

// Load: one customer that always has a third of all requests, and one that begins to have half of
// them. Guards against refusing a large customer for its size.
TEST(CustomerShares, OnlyUnusualGrowthIsExcess)
{
    CustomerShares shares;
    TimePoint now = kStart;
    const auto send = [&](const std::string &customer) {
        now += 30ms;
        shares.onRequest(customer, FloatMilliseconds(50), now);
        shares.onAdmitted(customer, FloatMilliseconds(50), 0, now);
    };
    for (int each = 0; each < 1000; ++each)
        send(each % 3 == 0 ? "large" : std::to_string(each % 20));
    EXPECT_EQ(shares.excess("large", now).share, 0);
    // A false length of a prompt must not spoil the sums.
    shares.onRequest("11", FloatMilliseconds(std::nan("")), now);
    shares.onRequest("11", FloatMilliseconds(-1e300), now);
    for (int each = 0; each < 100; ++each)
        send(each % 2 == 0 ? "7" : std::to_string(each % 20));
    EXPECT_GT(shares.excess("7", now).share, 0.5);
    EXPECT_EQ(shares.excess("large", now).share, 0);
    EXPECT_EQ(shares.excess("11", now).share, 0);
    EXPECT_EQ(shares.excess("unknown", now).share, 0);
}

// Load: a customer with 4% of the requests sends one that takes ten times as long, on full engines,
// and repeats it when refused. Guards against refusing one long request for the customer's excess,
// and against a large customer of which nothing is admitted.
TEST(CustomerShares, OneLongRequestIsNoExcess)
{
    constexpr FloatMilliseconds typical{ 50 };
    int refusals = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        OverloadControl control({}, seed);
        control.setPriorities("llm", { { .priority = 0, .objective = 400ms } });
        TimePoint now = kStart;
        const auto send = [&](const std::string &customer, FloatMilliseconds engineTime) {
            return control
                    .decide({ .service = "llm", .customer = customer, .engineTime = engineTime },
                            loadOf(2), now)
                    .isAdmitted;
        };
        // 11 requests a second from 25 customers.
        for (int each = 0; each < 660; ++each, now += 91ms)
            send(std::to_string(each % 25), typical);
        while (!send("24", 10 * typical)) {
            ++refusals;
            now += 91ms;
        }
        for (int each = 0; each < 10; ++each, now += 91ms)
            refusals += send(std::to_string(each % 2 == 0 ? 24 : each), typical) ? 0 : 1;
        // Of a customer that floods, each request is admitted with a probability of an eighth.
        int admitted = 0;
        for (int each = 0; each < 400; ++each, now += 10ms)
            admitted += send("3", typical) ? 1 : 0;
        EXPECT_GT(admitted, 35) << seed;
        EXPECT_LT(admitted, 200) << seed;
    }
    EXPECT_EQ(refusals, 0);
}

// Load: the lowest kind x2.5 for 6 s. Without the controller the highest kind is late, which shows
// that the load can fail the test.
TEST(OverloadControlFleet, BurstOfTheLowestKindSparesTheHighest)
{
    const FleetLoad load = burstOf(2, 2.5, 1.1);
    EXPECT_LT(highestOnTime(load, false), 0.93);
    EXPECT_GE(highestOnTime(load, true), 0.95);
    EngineFleetModel model(load);
    model.run(20s);
    EXPECT_GE(model.ofKind(1, kBurstFrom, kBurstTo).onTimeShare(),
              model.ofKind(2, kBurstFrom, kBurstTo).onTimeShare());
    // Floor of the lowest kind.
    EXPECT_GE(model.ofKind(2, kBurstFrom, kBurstTo).servedShare(), 0.25);
}

// Load: the highest kind x1.7 for 6 s, as above.
TEST(OverloadControlFleet, BurstOfTheHighestKindIsServedFromTheLowerKinds)
{
    const FleetLoad load = burstOf(0, 1.7, 1.1);
    EXPECT_LT(highestOnTime(load, false), 0.85);
    EXPECT_GE(highestOnTime(load, true), 0.92);
    EngineFleetModel model(load);
    model.run(20s);
    for (const std::size_t kind : { 1U, 2U })
        EXPECT_GE(model.ofKind(kind, kBurstFrom, kBurstTo).servedShare(), 0.25);
}

// Load: one customer of 24 sends half of all requests for 6 s. The others keep their share served,
// from the second on in which the gateways know the excess.
TEST(OverloadControlFleet, OneLargeCustomerDoesNotTakeTheCapacityOfOthers)
{
    FleetLoad load{ .kinds = threeKinds() };
    load.largeCustomer = [](Milliseconds at) {
        return at >= kBurstFrom && at < kBurstTo ? 24.0 : 1.0;
    };
    EngineFleetModel model(load);
    model.run(20s);
    const double calm = model.ofCustomers(false, 2s, kBurstFrom).servedShare();
    EXPECT_GE(model.ofCustomers(false, kBurstFrom + 2s, kBurstTo).servedShare(), 0.9 * calm);
    EXPECT_GT(model.refusals().at(kOverloadCustomer), 100);
    // Floor of the large customer: a quarter of what it usually gets.
    const Outcome large = model.ofCustomers(true, kBurstFrom, kBurstTo);
    EXPECT_GE(large.onTime + large.late, large.requests / 24 / 4);
}

// Load: one customer always sends five times as much as any other. It is never in excess.
TEST(OverloadControlFleet, CustomerThatIsAlwaysLargeIsNotRefused)
{
    FleetLoad load{ .kinds = threeKinds() };
    load.largeCustomer = [](Milliseconds) { return 5.0; };
    EngineFleetModel model(load);
    model.run(20s);
    EXPECT_GE(model.ofCustomers(true, 2s, 16s).servedShare(),
              0.95 * model.ofCustomers(false, 2s, 16s).servedShare());
}

// Load: the highest kind x1.7, and 30 in 100 clients repeat a refused request at once up to three
// times. Guards against repeats that displace the highest kind.
TEST(OverloadControlFleet, ClientsThatRepeatAtOnceDoNotDisplaceTheHighestKind)
{
    FleetLoad load = burstOf(0, 1.7);
    load.repeatAtOnceShare = 0.3;
    EngineFleetModel model(load);
    model.run(20s);
    EXPECT_GE(model.ofKind(0, kBurstFrom, kBurstTo).onTimeShare(), 0.9);
}

// Load: a burst that ends, six times. Of the requests that arrive a second later, none is late but
// those of the usual variation, and as many are served as before the burst.
TEST(OverloadControlFleet, SheddingEndsWithinASecondAfterTheBurst)
{
    std::map<std::size_t, Outcome> before;
    std::map<std::size_t, Outcome> after;
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U, 5U, 6U }) {
        FleetLoad load = burstOf(2, 2.5);
        load.seed = seed;
        EngineFleetModel model(load);
        model.run(22s);
        for (const std::size_t kind : { 0U, 1U, 2U }) {
            before[kind] += model.ofKind(kind, 2s, kBurstFrom);
            after[kind] += model.ofKind(kind, kBurstTo + 1s, kBurstTo + 3s);
        }
    }
    for (const std::size_t kind : { 0U, 1U, 2U }) {
        EXPECT_LE(after[kind].late, after[kind].requests / 20) << kind;
        EXPECT_GE(after[kind].servedShare(), before[kind].servedShare() - 0.02) << kind;
    }
}

// Load: a long burst with 45 controllers on the same notices. Guards against all gateways opening
// and closing together: no fifth of a second admits all or (nearly) none of the burst.
TEST(OverloadControlFleet, GatewaysDoNotSwingTogether)
{
    EngineFleetModel model(burstOf(2, 2.5));
    model.run(20s);
    for (const double share : model.admittedShares(2, kBurstFrom + 1s, kBurstTo)) {
        EXPECT_GT(share, 0.1);
        EXPECT_LT(share, 0.98);
    }
}

// Load: a burst during which no load is known for two seconds, and nonsense for one.
TEST(OverloadControlFleet, LostAndInvalidLoadIsSurvived)
{
    FleetLoad load = burstOf(2, 2.5);
    load.distortLoad = [](ServiceLoad &seen, Milliseconds at) {
        if (at >= 11s && at < 13s)
            seen.occupancy.reset();
        else if (at >= 13s && at < 14s)
            seen.occupancy = at % 2ms == 0ms ? std::nan("") : -1e300;
    };
    EngineFleetModel model(load);
    model.run(22s);
    EXPECT_GE(model.ofKind(0, kBurstFrom, kBurstTo).onTimeShare(), 0.9);
    EXPECT_GE(model.ofKind(2, kBurstTo + 2s, kBurstTo + 4s).onTimeShare(), 0.9);
}

// Load: half of the gateways restart without history in the middle of a burst.
TEST(OverloadControlFleet, RestartedGatewaysShedByPriorityAtOnce)
{
    FleetLoad load = burstOf(2, 2.5);
    load.onStep = [](std::vector<OverloadControl> &controls, Milliseconds at) {
        if (at != 13s)
            return;
        for (std::size_t each = 0; each < controls.size(); each += 2) {
            controls[each] = OverloadControl({}, each + 5000);
            controls[each].setPriorities("llm", { { .priority = 0, .objective = 400ms },
                                                  { .priority = 1, .objective = 400ms },
                                                  { .priority = 2, .objective = 800ms } });
        }
    };
    EngineFleetModel model(load);
    model.run(20s);
    EXPECT_GE(model.ofKind(0, 13s, kBurstTo).onTimeShare(), 0.95);
}
