#include "router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace egret;

namespace {

const TimePoint kStart{ 1000s };

AgentRecord engine(int number, const std::string &zone, std::uint32_t inFlight = 0,
                   std::uint64_t sequence = 1)
{
    return { .agent = "agent-" + std::to_string(number),
             .incarnation = 1,
             .sequence = sequence,
             .zone = zone,
             .state = UpstreamState::ready,
             .servedVersion = "v1",
             .inFlight = inFlight,
             .limit = 4 };
}

/// Routes `count` requests and returns the number of chosen upstreams by zone.
std::map<std::string, int> routeRequests(Router &router, const UpstreamDirectory &directory,
                                         int count, const RouteQuery &query)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i) {
        const RouteChoice choice = router.choose(query, directory, {}, kStart);
        if (choice.outcome != RouteOutcome::chosen)
            continue;
        router.sent(choice.agent.agent);
        ++chosen[choice.agent.zone];
    }
    return chosen;
}

} // namespace

TEST(Router, CountsRequestsSentSinceLastReport)
{
    UpstreamDirectory directory;
    for (int i = 0; i < 3; ++i)
        directory.applyAnnouncement(engine(i, "a"), kStart);
    Router router(1);
    const RouteQuery query{ .zone = "a" };
    EXPECT_EQ(routeRequests(router, directory, 20, query)["a"], 12);
    EXPECT_EQ(router.choose(query, directory, {}, kStart).outcome, RouteOutcome::allBusy);
    router.ended("agent-1");
    EXPECT_EQ(router.choose(query, directory, {}, kStart).agent.agent, "agent-1");
}

TEST(Router, SpillsOnlyWhenOwnZoneIsFullAndTargetLoadIsLow)
{
    UpstreamDirectory directory;
    directory.applyAnnouncement(engine(1, "a"), kStart);
    directory.applyAnnouncement(engine(2, "b", 1), kStart);
    Router router(1, { .maxSpillLoad = 0.75 });
    auto chosen = routeRequests(router, directory, 10, { .zone = "a" });
    EXPECT_EQ(chosen["a"], 4);
    EXPECT_EQ(chosen["b"], 2); // and the reported request: 3 of 4 in flight, a load of 0.75
}

TEST(Router, SkipsExcludedZones)
{
    UpstreamDirectory directory;
    for (int i = 0; i < 3; ++i)
        directory.applyAnnouncement(engine(i, "a"), kStart);
    directory.applyAnnouncement(engine(3, "b"), kStart);
    Router router(1);
    RouteQuery query{ .zone = "a", .excluded = { "agent-0", "agent-1" } };
    EXPECT_EQ(router.choose(query, directory, {}, kStart).agent.zone, "a");
    query.excludedZones.insert("a");
    EXPECT_EQ(router.choose(query, directory, {}, kStart).agent.zone, "b");
}

TEST(Router, SkipsZonesTakenOutOfService)
{
    UpstreamDirectory directory;
    directory.applyAnnouncement(engine(1, "a"), kStart);
    directory.applyAnnouncement(engine(2, "b"), kStart);
    EnvironmentDocument document;
    document.zonesOut = { "a" };
    Router router(1);
    for (int i = 0; i < 10; ++i) {
        const RouteChoice choice = router.choose({ .zone = "a" }, directory, document, kStart);
        EXPECT_EQ(choice.agent.zone, "b");
    }
}

TEST(Router, PrefixAffinityHoldsUntilLoadExceedsMargin)
{
    UpstreamDirectory directory;
    for (int i = 0; i < 6; ++i)
        directory.applyAnnouncement(engine(i, "a"), kStart);
    Router first(1);
    Router second(2);
    const RouteQuery query{ .zone = "a", .prefix = 77 };
    const std::string preferred = first.choose(query, directory, {}, kStart).agent.agent;
    // Rendezvous hashing gives every entry instance the same preference without an
    // exchange of messages.
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(second.choose(query, directory, {}, kStart).agent.agent, preferred);
    for (int i = 0; i < 4; ++i)
        first.sent(preferred);
    EXPECT_NE(first.choose(query, directory, {}, kStart).agent.agent, preferred);
}

TEST(Router, RefusalMarksUpstreamFullUntilNextReport)
{
    UpstreamDirectory directory;
    directory.applyAnnouncement(engine(1, "a"), kStart);
    Router router(1);
    router.refused("agent-1");
    EXPECT_EQ(router.choose({ .zone = "a" }, directory, {}, kStart).outcome, RouteOutcome::allBusy);
    directory.applyAnnouncement(engine(1, "a", 0, 2), kStart);
    EXPECT_EQ(router.choose({ .zone = "a" }, directory, {}, kStart).outcome, RouteOutcome::chosen);
}

TEST(Router, EjectsAtMostHalfAndUsesEjectedOnlyForIdempotentRequests)
{
    UpstreamDirectory directory;
    for (int i = 0; i < 4; ++i)
        directory.applyAnnouncement(engine(i, "a"), kStart);
    Router router(1);
    router.choose({ .zone = "a" }, directory, {}, kStart);
    for (int i = 0; i < 4; ++i) {
        for (int failure = 0; failure < 5; ++failure)
            router.failed(engine(i, "a"), kStart);
    }
    // Two of the four upstreams stay in use although all four fail.
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
        used.insert(router.choose({ .zone = "a" }, directory, {}, kStart + 500ms).agent.agent);
    EXPECT_EQ(used.size(), 2U);
    const RouteQuery onlyEjectedLeft{ .zone = "a", .excluded = used };
    EXPECT_EQ(router.choose(onlyEjectedLeft, directory, {}, kStart + 500ms).outcome,
              RouteOutcome::chosen);
    RouteQuery notIdempotent = onlyEjectedLeft;
    notIdempotent.idempotent = false;
    EXPECT_EQ(router.choose(notIdempotent, directory, {}, kStart + 500ms).outcome,
              RouteOutcome::noUpstream);
}

/// Oracle: the chosen upstream is eligible and has fewer requests of this router in flight
/// than its limit; `noUpstream` is returned exactly when no upstream is eligible.
RC_GTEST_PROP(RouterProperty, ChoosesOnlyEligibleUpstreamsWithRoom, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    UpstreamDirectory directory;
    Router router(seed);
    std::map<std::string, std::uint32_t> inFlight;
    std::uint64_t sequence = 0;
    TimePoint now = kStart;
    EnvironmentDocument document;
    for (const int step : steps) {
        now += 10ms;
        const int number = step % 6;
        const std::string zone = number < 3 ? "a" : "b";
        if (step < 200) {
            AgentRecord record =
                    engine(number, zone, static_cast<std::uint32_t>(step % 5), ++sequence);
            record.state = step % 4 == 0 ? UpstreamState::leaving : UpstreamState::ready;
            directory.applyAnnouncement(record, now);
            continue;
        }
        if (step < 250) {
            document.zonesOut =
                    step % 2 == 0 ? std::vector<std::string>{ zone } : std::vector<std::string>{};
            continue;
        }
        const std::string agent = "agent-" + std::to_string(number);
        if (step < 450) {
            if (inFlight[agent] == 0)
                continue;
            router.ended(agent);
            --inFlight[agent];
            continue;
        }
        const RouteQuery query{ .zone = step % 2 == 0 ? "a" : "b",
                                .prefix = static_cast<std::uint64_t>(step % 3) };
        const auto isEligible = [&](const AgentRecord &record) {
            return record.state == UpstreamState::ready
                   && std::ranges::find(document.zonesOut, record.zone) == document.zonesOut.end();
        };
        bool hasEligibleUpstream = false;
        for (const auto &[name, upstream] : directory.upstreams())
            hasEligibleUpstream = hasEligibleUpstream || isEligible(upstream.record);
        const RouteChoice choice = router.choose(query, directory, document, now);
        RC_ASSERT((choice.outcome == RouteOutcome::noUpstream) == !hasEligibleUpstream);
        if (choice.outcome != RouteOutcome::chosen)
            continue;
        RC_ASSERT(isEligible(choice.agent));
        RC_ASSERT(inFlight[choice.agent.agent] < choice.agent.limit);
        router.sent(choice.agent.agent);
        ++inFlight[choice.agent.agent];
    }
}
