#include "engine_model.h"
#include "upstream_selector.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

/// An engine as today's deployments have them.
EngineSpec engineSpec()
{
    return { .model = "m",
             .slots = 16,
             .step = FloatMilliseconds(9.27),
             .stepPerRequest = FloatMilliseconds(0.0232),
             .stepPerThousandTokens = FloatMilliseconds(0.0322),
             .prefillTokensPerSecond = 20700,
             .attentionPerMillionPairs = FloatMilliseconds(1.18),
             .stepsPerPass = 5,
             .typicalPromptTokens = 979,
             .typicalAnswerTokens = 92 };
}

PlanService engineService()
{
    return {
        .name = "llm", .maxConnections = 400, .coldRequestsPerSecond = 36, .engine = engineSpec()
    };
}

std::string endpointOf(int engine)
{
    return "10.0.0." + std::to_string(engine) + ":80";
}

class UpstreamChoiceTest : public testing::Test
{
protected:
    UpstreamChoiceTest() : choice({ .zone = "a", .regions = { { "a", "ra" }, { "b", "rb" } } }, 1)
    {}

    UpstreamRecord record(int engine, const std::string &zone = "a") const
    {
        return { .id = "e" + std::to_string(engine),
                 .startedAtMs = 1,
                 .sequence = 1,
                 .service = "llm",
                 .endpoint = endpointOf(engine),
                 .zone = zone,
                 .slots = 16,
                 .model = "m",
                 .version = 1 };
    }

    void notice(int engine, std::uint32_t active, std::uint32_t queued, std::uint64_t version = 1,
                TimePoint at = kStart)
    {
        this->choice.onLoadNotice({ .endpoint = endpointOf(engine),
                                    .isUsable = true,
                                    .model = "m",
                                    .version = version,
                                    .queued = queued,
                                    .active = active,
                                    .slowdownFactor = 1 },
                                  at);
    }

    SelectionQuery query() const
    {
        return {
            .service = "llm", .plan = &this->service, .promptTokens = 979, .firstTokenLimit = 400ms
        };
    }

    std::map<std::string, int> drawn(const SelectionQuery &query, int times = 200)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i)
            ++counts[this->choice.choose(query, kStart).upstream];
        return counts;
    }

    PlanService service = engineService();
    UpstreamSelector choice;
};

} // namespace

TEST(EngineModel, PredictsWaitingOnlyWhenPlacesAreTaken)
{
    const EngineModel model(engineSpec());
    EXPECT_EQ(model.placeWait({ .active = 15 }).count(), 0.0);
    EXPECT_GT(model.placeWait({ .active = 16 }).count(), 50.0);
    EXPECT_GT(model.firstToken({ .active = 16, .queued = 2 }, 979),
              model.firstToken({ .active = 16 }, 979));
    EXPECT_GT(model.firstToken({ .active = 4 }, 3000), model.firstToken({ .active = 4 }, 300));
    // A pass of an empty engine and the reading of one prompt.
    EXPECT_NEAR(model.firstToken({}, 979).count(), 94.2, 3.0);
}

TEST_F(UpstreamChoiceTest, EnginesWithRoomAreDrawnByTheirRoom)
{
    for (int engine = 1; engine <= 2; ++engine)
        this->choice.onRecord(this->record(engine), kStart);
    this->notice(1, 16, 1);
    this->notice(2, 4, 0);
    const auto counts = this->drawn(this->query());
    EXPECT_GT(counts.at("e2"), 180);
}

TEST_F(UpstreamChoiceTest, GatewaysThatSeeTheSameDoNotAllChooseTheSame)
{
    for (int engine = 1; engine <= 4; ++engine) {
        this->choice.onRecord(this->record(engine), kStart);
        this->notice(engine, 8, 0);
    }
    for (const auto &[engine, count] : this->drawn(this->query()))
        EXPECT_GT(count, 25) << engine;
}

TEST_F(UpstreamChoiceTest, WhatCanNotBeInTimeIsRefusedAtOnceWithATimeToComeBack)
{
    this->choice.onRecord(this->record(1), kStart);
    this->notice(1, 16, 12);
    const Selection choice = this->choice.choose(this->query(), kStart);
    EXPECT_EQ(choice.problem, NoUpstreamReason::busy);
    EXPECT_GE(choice.retryAfter, 100ms);
    EXPECT_LE(choice.retryAfter, 2s);
}

TEST_F(UpstreamChoiceTest, OwnSendsCountUntilANoticeCanHaveSeenThem)
{
    this->choice.onRecord(this->record(1), kStart);
    this->notice(1, 14, 0);
    for (int i = 0; i < 8; ++i)
        this->choice.onSent("e1", 979, kStart);
    EXPECT_EQ(this->choice.choose(this->query(), kStart).problem, NoUpstreamReason::busy);
    this->notice(1, 8, 0, 1, kStart + 200ms);
    EXPECT_EQ(this->choice.choose(this->query(), kStart + 200ms).upstream, "e1");
}

TEST_F(UpstreamChoiceTest, ZonesOutRegionsAndDrainingUpstreamsGetNothing)
{
    this->choice.onRecord(this->record(1, "a"), kStart);
    this->choice.onRecord(this->record(2, "b"), kStart);
    const std::vector<std::string> onlyB = { "rb" };
    SelectionQuery query = this->query();
    query.routeRegions = &onlyB;
    EXPECT_EQ(this->choice.choose(query, kStart).upstream, "e2");
    this->choice.setZonesOut({ "b" });
    EXPECT_EQ(this->choice.choose(query, kStart).problem, NoUpstreamReason::unknown);
    EXPECT_EQ(this->choice.choose(this->query(), kStart).upstream, "e1");
    UpstreamRecord draining = this->record(1);
    draining.notice = AnnouncedState::draining;
    this->choice.onRecord(draining, kStart);
    EXPECT_EQ(this->choice.choose(this->query(), kStart).problem, NoUpstreamReason::unknown);
}

TEST_F(UpstreamChoiceTest, OldWeightsAreLeftWhenTheirTimeIsOver)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    this->notice(1, 0, 0, 1);
    this->notice(2, 15, 0, 2);
    SelectionQuery query = this->query();
    query.version.minimum = 2;
    EXPECT_EQ(this->drawn(query).at("e2"), 200);
    query.version.minimum = 3;
    EXPECT_EQ(this->choice.choose(query, kStart).problem, NoUpstreamReason::unknown);
    // A preference alone leaves older ones where nobody has the newest.
    query.version.minimum = 0;
    query.version.preferred = 2;
    EXPECT_EQ(this->drawn(query).at("e2"), 200);
    query.version.preferred = 3;
    EXPECT_NE(this->choice.choose(query, kStart).upstream, "");
}

TEST_F(UpstreamChoiceTest, AResumedStreamStaysOnItsWeights)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    this->notice(1, 0, 0, 1);
    this->notice(2, 0, 0, 2);
    SelectionQuery query = this->query();
    query.exactVersion = 1;
    EXPECT_EQ(this->drawn(query).at("e1"), 200);
}

TEST_F(UpstreamChoiceTest, ALoadingEngineGetsNothing)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onLoadNotice({ .endpoint = endpointOf(1), .isUsable = false, .version = 1 },
                              kStart);
    EXPECT_EQ(this->choice.choose(this->query(), kStart).problem, NoUpstreamReason::unknown);
}

TEST_F(UpstreamChoiceTest, AColdEngineGetsOnlyItsShare)
{
    UpstreamRecord cold = this->record(1);
    cold.coldFor = 3s;
    this->choice.onRecord(cold, kStart);
    this->choice.setGateways(8);
    SelectionQuery query = this->query();
    query.firstTokenLimit.reset();
    int sent = 0;
    for (; sent < 50; ++sent) {
        const Selection choice = this->choice.choose(query, kStart + 1ms);
        if (choice.upstream.empty())
            break;
        this->choice.onSent(choice.upstream, 10, kStart + 1ms);
    }
    // Thirty-six a second for all eight gateways together.
    EXPECT_EQ(sent, 5);
}

TEST_F(UpstreamChoiceTest, AFailingUpstreamIsLeftWhereThereIsAnother)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    for (int i = 0; i < 3; ++i) {
        this->choice.onSent("e1", 10, kStart);
        this->choice.onEnded("e1", true, kStart);
    }
    EXPECT_EQ(this->drawn(this->query()).at("e2"), 200);
    SelectionQuery query = this->query();
    query.excluded = { "e2" };
    query.firstTokenLimit.reset();
    EXPECT_EQ(this->choice.choose(query, kStart).upstream, "e1");
    query.mayRunTwice = false;
    EXPECT_EQ(this->choice.choose(query, kStart).problem, NoUpstreamReason::failing);
}

TEST_F(UpstreamChoiceTest, ANarrowPathCountsAsTime)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    this->notice(1, 0, 0);
    this->notice(2, 8, 0);
    this->choice.setPath(endpointOf(1), { .roundTrip = 900ms });
    EXPECT_EQ(this->drawn(this->query()).at("e2"), 200);
}

TEST_F(UpstreamChoiceTest, PlainServicesAreAnsweredInTheOwnZoneWhileTheyHaveRoom)
{
    const PlanService plain{ .name = "plain", .maxConnections = 51 };
    for (int i = 1; i <= 3; ++i) {
        UpstreamRecord record = this->record(i, i == 1 ? "a" : "b");
        record.service = "plain";
        this->choice.onRecord(record, kStart);
    }
    const SelectionQuery query{ .service = "plain", .plan = &plain };
    EXPECT_GT(this->drawn(query).at("e1"), 150);
    for (int i = 0; i < 8; ++i)
        this->choice.onSent("e1", 0, kStart);
    EXPECT_EQ(this->drawn(query).count("e1"), 0U);
}

/// The load of a rollout's end: one engine is back, every client asks, and all
/// gateways learn of the engine at the same moment. Played over notices that
/// come each 100 ms; what counts is how many of the answered are in time.
TEST_F(UpstreamChoiceTest, AnEngineThatComesBackAloneIsNotFlooded)
{
    constexpr std::uint32_t gateways = 8;
    std::vector<UpstreamSelector> all;
    for (std::uint32_t i = 0; i < gateways; ++i) {
        all.emplace_back(SelectorOptions{ .zone = "a" }, i + 1);
        all.back().onRecord(this->record(1), kStart);
        all.back().setGateways(gateways);
    }
    // Each gateway gets two requests in each 100 ms; the engine ends one in that time.
    std::uint32_t atEngine = 0;
    std::uint32_t most = 0;
    for (int tick = 0; tick < 30; ++tick) {
        const TimePoint now = kStart + tick * 100ms;
        const std::uint32_t active = std::min(atEngine, 16U);
        for (UpstreamSelector &choice : all) {
            choice.onLoadNotice({ .endpoint = endpointOf(1),
                                  .isUsable = true,
                                  .model = "m",
                                  .version = 1,
                                  .queued = atEngine - active,
                                  .active = active,
                                  .slowdownFactor = 1 },
                                now);
            for (int i = 0; i < 2; ++i) {
                const Selection chosen = choice.choose(this->query(), now + 50ms);
                if (chosen.upstream.empty())
                    continue;
                choice.onSent(chosen.upstream, 979, now + 50ms);
                ++atEngine;
            }
        }
        most = std::max(most, atEngine);
        atEngine -= std::min(atEngine, 1U);
    }
    // Places and a queue that is through within the objective.
    EXPECT_LE(most, 16U + 8U);
    EXPECT_GE(most, 16U);
}

TEST_F(UpstreamChoiceTest, OldWeightsAreUsedWhileARequestStillBeginsInTime)
{
    // All engines hold the old weights; the new ones are due in a moment.
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    this->notice(1, 4, 0);
    this->notice(2, 16, 3);
    SelectionQuery query = this->query();
    query.version = { .minimum = 1, .soon = 2, .soonIn = 600ms };
    EXPECT_EQ(this->drawn(query).size(), 1U) << "the one with a queue could begin too late";
    EXPECT_TRUE(this->drawn(query).contains("e1"));
    query.version.soonIn = 100ms;
    EXPECT_EQ(this->choice.choose(query, kStart).upstream, "");
    this->notice(2, 4, 0, 2);
    EXPECT_EQ(this->choice.choose(query, kStart).upstream, "e2") << "it has the new weights";
}

TEST_F(UpstreamChoiceTest, AnEngineBehindALinkThatDoesNotStandIsUsedLast)
{
    this->choice.onRecord(this->record(1), kStart);
    this->choice.onRecord(this->record(2), kStart);
    this->notice(1, 2, 0);
    this->notice(2, 8, 0);
    this->choice.setPath(endpointOf(1), { .hasLink = false });
    EXPECT_GT(this->drawn(this->query())["e2"], 195);
    // Alone it is still better than none, unless its weights run out of time.
    SelectionQuery alone = this->query();
    alone.excluded = { "e2" };
    EXPECT_EQ(this->choice.choose(alone, kStart).upstream, "e1");
    alone.version = { .soon = 2, .soonIn = 2s };
    EXPECT_EQ(this->choice.choose(alone, kStart).upstream, "");
}
