#include "engine_model.h"
#include "upstream_selector.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

/// Parameters of an engine as in current deployments.
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

class UpstreamSelectorTest : public testing::Test
{
protected:
    UpstreamSelectorTest()
        : selector({ .zone = "a", .regions = { { "a", "ra" }, { "b", "rb" } } }, 1)
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

    void sendLoadNotice(int engine, std::uint32_t active, std::uint32_t queued,
                        std::uint64_t version = 1, TimePoint at = kStart)
    {
        this->selector.onLoadNotice({ .endpoint = endpointOf(engine),
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

    std::map<std::string, int> selectionCounts(const SelectionQuery &query, int drawCount = 200)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < drawCount; ++i)
            ++counts[this->selector.choose(query, kStart).upstream];
        return counts;
    }

    PlanService service = engineService();
    UpstreamSelector selector;
};

} // namespace

TEST(EngineModel, PredictsWaitOnlyWhenAllSlotsAreTaken)
{
    const EngineModel model(engineSpec());
    EXPECT_EQ(model.slotWaitTime({ .active = 15 }).count(), 0.0);
    EXPECT_GT(model.slotWaitTime({ .active = 16 }).count(), 50.0);
    EXPECT_GT(model.timeToFirstToken({ .active = 16, .queued = 2 }, 979),
              model.timeToFirstToken({ .active = 16 }, 979));
    EXPECT_GT(model.timeToFirstToken({ .active = 4 }, 3000),
              model.timeToFirstToken({ .active = 4 }, 300));
    // Expected: one pass of an empty engine plus the prefill of one prompt.
    EXPECT_NEAR(model.timeToFirstToken({}, 979).count(), 94.2, 3.0);
}

// Guards against admission and selection that count in different units: a full engine completes one
// request in the engine time of a request.
TEST(EngineModel, EngineTimeOfATypicalRequestIsTheWaitForOneSlot)
{
    const EngineModel model(engineSpec());
    const FloatMilliseconds typical = model.engineTime({ .promptTokens = 979, .outputTokens = 92 });
    EXPECT_NEAR(model.slotWaitTime({ .active = 16 }).count(), typical.count(), 1e-6);
    EXPECT_NEAR((model.passTime(16) * (92.0 / 5 / 16) + model.prefillTime(979)).count(),
                typical.count(), 1e-6);
    EXPECT_EQ(model.engineTime({ .promptTokens = 979 }), typical) << "unknown output";
    EXPECT_GT(model.engineTime({ .promptTokens = 979, .outputTokens = 400 }), typical * 2);
}

// Guards against a wait predicted from typical requests where longer ones are known to be there.
TEST(EngineModel, WaitFollowsTheTokensOutstanding)
{
    const EngineModel model(engineSpec());
    const EngineLoad typical{ .active = 16, .queued = 4 };
    EngineLoad known = typical;
    known.knownRequests = 4;
    known.knownEngineTime = 4 * model.engineTime({ .promptTokens = 979, .outputTokens = 92 });
    EXPECT_NEAR(model.slotWaitTime(known).count(), model.slotWaitTime(typical).count(), 1e-6);
    known.knownEngineTime = 4 * model.engineTime({ .promptTokens = 979, .outputTokens = 920 });
    EXPECT_GT(model.slotWaitTime(known), model.slotWaitTime(typical) * 1.5);
    EngineLoad largePrompts = typical;
    largePrompts.contextTokens = 16 * 2500;
    EXPECT_GT(model.slotWaitTime(largePrompts), model.slotWaitTime(typical) * 1.3);
    largePrompts.contextTokens = 1e12;
    EXPECT_LT(model.slotWaitTime(largePrompts), model.slotWaitTime(typical) * 4) << "bounded";
}

TEST_F(UpstreamSelectorTest, LessLoadedEngineIsDrawnMoreOften)
{
    for (int engine = 1; engine <= 2; ++engine)
        this->selector.onRecord(this->record(engine), kStart);
    this->sendLoadNotice(1, 16, 1);
    this->sendLoadNotice(2, 4, 0);
    const auto counts = this->selectionCounts(this->query());
    EXPECT_GT(counts.at("e2"), 180);
}

TEST_F(UpstreamSelectorTest, EquallyLoadedEnginesAllGetRequests)
{
    for (int engine = 1; engine <= 4; ++engine) {
        this->selector.onRecord(this->record(engine), kStart);
        this->sendLoadNotice(engine, 8, 0);
    }
    for (const auto &[engine, count] : this->selectionCounts(this->query()))
        EXPECT_GT(count, 25) << engine;
}

TEST_F(UpstreamSelectorTest, RequestThatCannotMeetItsFirstTokenLimitGetsARetryDelay)
{
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 16, 12);
    const Selection selection = this->selector.choose(this->query(), kStart);
    EXPECT_EQ(selection.problem, NoUpstreamReason::busy);
    EXPECT_GE(selection.retryAfter, 100ms);
    EXPECT_LE(selection.retryAfter, 2s);
}

TEST_F(UpstreamSelectorTest, RequestsOfTheGatewayCountUntilALoadNoticeIncludesThem)
{
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 14, 0);
    for (int i = 0; i < 8; ++i)
        this->selector.onSent("e1", 979, kStart);
    EXPECT_EQ(this->selector.choose(this->query(), kStart).problem, NoUpstreamReason::busy);
    this->sendLoadNotice(1, 8, 0, 1, kStart + 200ms);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 200ms).upstream, "e1");
}

namespace {

/// Speeds of three engines, learned from answers: the first one is five times slower.
ServerSpeeds speedsWithSlowFirst(const std::vector<UpstreamRecord> &records, double slowness = 5)
{
    ServerSpeeds speeds;
    for (const UpstreamRecord &record : records)
        speeds.onUpstream(record);
    for (int i = 0; i < 1000; ++i) {
        const TimePoint at = kStart - 100s + i * 100ms;
        for (const UpstreamRecord &record : records)
            speeds.onAnswer(
                    { .upstream = record.id,
                      .startedAtMs = record.startedAtMs,
                      .expected = FloatMilliseconds(50),
                      .measured = FloatMilliseconds(record.id == "e1" ? 50 * slowness : 50) },
                    at);
        speeds.update(at);
    }
    return speeds;
}

} // namespace

// Guards against a slow engine that gets as many requests as the others, and against one that gets
// none, so that nobody sees it become faster.
TEST_F(UpstreamSelectorTest, SlowEngineGetsFewerRequestsAndKeepsTheProbingFloor)
{
    std::vector<UpstreamRecord> records;
    for (int engine = 1; engine <= 3; ++engine) {
        records.push_back(this->record(engine));
        this->selector.onRecord(records.back(), kStart);
        this->sendLoadNotice(engine, 14, 0);
    }
    const ServerSpeeds speeds = speedsWithSlowFirst(records);
    this->selector.setSpeeds(&speeds);
    const auto counts = this->selectionCounts(this->query(), 6000);
    // Load 14 counts as 70 of 16 slots. The even share is 2000, the floor a tenth of it.
    EXPECT_NEAR(counts.at("e1"), 200, 60);
    EXPECT_NEAR(counts.at("e2"), counts.at("e3"), 300);
}

// Guards against a choice that changes where there is nothing to choose between.
TEST_F(UpstreamSelectorTest, EqualSpeedsDrawAsWithoutSpeeds)
{
    std::vector<UpstreamRecord> records;
    UpstreamSelector other({ .zone = "a", .regions = { { "a", "ra" }, { "b", "rb" } } }, 1);
    for (int engine = 1; engine <= 3; ++engine) {
        records.push_back(this->record(engine));
        other.onRecord(records.back(), kStart);
        this->selector.onRecord(records.back(), kStart);
        this->sendLoadNotice(engine, static_cast<std::uint32_t>(engine), 0);
        other.onLoadNotice({ .endpoint = endpointOf(engine),
                             .isUsable = true,
                             .model = "m",
                             .version = 1,
                             .active = static_cast<std::uint32_t>(engine),
                             .slowdownFactor = 1 },
                           kStart);
    }
    const ServerSpeeds speeds = speedsWithSlowFirst(records, 1);
    this->selector.setSpeeds(&speeds);
    for (int i = 0; i < 200; ++i)
        EXPECT_EQ(this->selector.choose(this->query(), kStart).upstream,
                  other.choose(this->query(), kStart).upstream);
}

// Guards against speeds that refuse requests, or that hide a failing engine.
TEST_F(UpstreamSelectorTest, SpeedsChangeNeitherTheFirstTokenLimitNorEjection)
{
    std::vector<UpstreamRecord> records{ this->record(1), this->record(2) };
    for (const UpstreamRecord &record : records)
        this->selector.onRecord(record, kStart);
    this->sendLoadNotice(1, 12, 0);
    this->sendLoadNotice(2, 12, 0);
    const ServerSpeeds speeds = speedsWithSlowFirst(records);
    const Selection before = this->selector.choose(this->query(), kStart);
    this->selector.setSpeeds(&speeds);
    const Selection after = this->selector.choose(this->query(), kStart);
    EXPECT_EQ(after.expectedFirstToken, before.expectedFirstToken);
    for (int i = 0; i < 3; ++i) {
        this->selector.onSent("e2", 979, kStart);
        this->selector.onEnded("e2", true, kStart);
    }
    EXPECT_EQ(this->selectionCounts(this->query()).at("e1"), 200);
}

// Guards against a short slow period, which load notices tell of, that is learned as a lasting one,
// and against waiting in a queue that is taken for slowness.
TEST_F(UpstreamSelectorTest, ComparableTimeIncludesTheSlowdownAndLeavesOutQueues)
{
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 8, 0);
    const Selection normal = this->selector.choose(this->query(), kStart);
    this->selector.onLoadNotice({ .endpoint = endpointOf(1),
                                  .isUsable = true,
                                  .model = "m",
                                  .version = 1,
                                  .active = 8,
                                  .slowdownFactor = 2.5 },
                                kStart);
    const Selection slow = this->selector.choose(this->query(), kStart);
    ASSERT_TRUE(normal.comparableFirstToken);
    ASSERT_TRUE(slow.comparableFirstToken);
    EXPECT_NEAR(*slow.comparableFirstToken / *normal.comparableFirstToken, 2.5, 0.01);
    this->sendLoadNotice(1, 16, 8);
    SelectionQuery query = this->query();
    query.firstTokenLimit.reset();
    EXPECT_FALSE(this->selector.choose(query, kStart).comparableFirstToken);
}

TEST_F(UpstreamSelectorTest, ZonesOutOfServiceForbiddenRegionsAndDrainingUpstreamsGetNoRequests)
{
    this->selector.onRecord(this->record(1, "a"), kStart);
    this->selector.onRecord(this->record(2, "b"), kStart);
    const std::vector<std::string> onlyB = { "rb" };
    SelectionQuery query = this->query();
    query.routeRegions = &onlyB;
    EXPECT_EQ(this->selector.choose(query, kStart).upstream, "e2");
    this->selector.setZonesOut({ "b" });
    EXPECT_EQ(this->selector.choose(query, kStart).problem, NoUpstreamReason::unknown);
    EXPECT_EQ(this->selector.choose(this->query(), kStart).upstream, "e1");
    UpstreamRecord draining = this->record(1);
    draining.notice = AnnouncedState::draining;
    this->selector.onRecord(draining, kStart);
    EXPECT_EQ(this->selector.choose(this->query(), kStart).problem, NoUpstreamReason::unknown);
}

TEST_F(UpstreamSelectorTest, MinimumAndPreferredWeightsVersionsAreRespected)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(1, 0, 0, 1);
    this->sendLoadNotice(2, 15, 0, 2);
    SelectionQuery query = this->query();
    query.isNew = false; // 200 new requests at once would be refused for want of room
    query.version.minimum = 2;
    EXPECT_EQ(this->selectionCounts(query).at("e2"), 200);
    query.version.minimum = 3;
    EXPECT_EQ(this->selector.choose(query, kStart).problem, NoUpstreamReason::unknown);
    // The preferred version is used where an engine serves it; otherwise it excludes no engine.
    query.version.minimum = 0;
    query.version.preferred = 2;
    EXPECT_EQ(this->selectionCounts(query).at("e2"), 200);
    query.version.preferred = 3;
    EXPECT_NE(this->selector.choose(query, kStart).upstream, "");
}

TEST_F(UpstreamSelectorTest, ResumedStreamKeepsItsWeightsVersion)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(1, 0, 0, 1);
    this->sendLoadNotice(2, 0, 0, 2);
    SelectionQuery query = this->query();
    query.exactVersion = 1;
    EXPECT_EQ(this->selectionCounts(query).at("e1"), 200);
}

TEST_F(UpstreamSelectorTest, EngineThatLoadsWeightsGetsNoRequests)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onLoadNotice({ .endpoint = endpointOf(1), .isUsable = false, .version = 1 },
                                kStart);
    EXPECT_EQ(this->selector.choose(this->query(), kStart).problem, NoUpstreamReason::unknown);
}

TEST_F(UpstreamSelectorTest, EngineInSlowStartIsNeverSelectedWithoutAPermit)
{
    UpstreamRecord cold = this->record(1);
    cold.coldFor = 3s;
    this->selector.onRecord(cold, kStart);
    SelectionQuery query = this->query();
    EXPECT_TRUE(this->selector.choose(query, kStart + 1ms).permitRate.has_value());
    EXPECT_TRUE(this->selector.choose(query, kStart + 2999ms).permitRate.has_value());
    EXPECT_FALSE(this->selector.choose(query, kStart + 3s).permitRate.has_value());
    query.mayNeedPermit = false;
    const Selection selection = this->selector.choose(query, kStart + 1ms);
    EXPECT_EQ(selection.upstream, "");
    EXPECT_EQ(selection.problem, NoUpstreamReason::slowStart);
}

TEST_F(UpstreamSelectorTest, EngineInSlowStartWithoutALinkToItsStagerIsNotSelected)
{
    UpstreamRecord cold = this->record(1);
    cold.coldFor = 3s;
    this->selector.onRecord(cold, kStart);
    this->selector.setPath(endpointOf(1), { .hasLink = false });
    EXPECT_EQ(this->selector.choose(this->query(), kStart).problem, NoUpstreamReason::slowStart);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 3s).upstream, "e1");
}

// Guards against an engine that is avoided until its next notice, since the requests that other
// gateways were assumed to send never came.
TEST_F(UpstreamSelectorTest, EngineWithFreeSlotsIsNotAvoidedForRequestsOfOtherGateways)
{
    this->selector.setGatewayCount(99);
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 2, 0);
    this->selector.onSent("e1", 979, kStart + 10ms);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 200ms).upstream, "e1");
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 600ms).upstream, "e1");
}

// Load: 99 gateways with the same notice of one engine with a single free slot. Guards against
// gateways that all send what only a few of them can.
TEST_F(UpstreamSelectorTest, NearlyFullEngineGetsTheShareOfRequestsThatItHasRoomFor)
{
    this->selector.setGatewayCount(99);
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 15, 0);
    int refused = 0;
    for (int i = 0; i < 20; ++i)
        refused += this->selector.choose(this->query(), kStart + 200ms).problem
                                   == NoUpstreamReason::busy
                           ? 1
                           : 0;
    // Room for a few requests of the 20 that each of 99 gateways offers.
    EXPECT_GE(refused, 15);
    // Once the burst is over, the engine is used again.
    this->selector.onLoadNotice({ .endpoint = endpointOf(1),
                                  .isUsable = true,
                                  .model = "m",
                                  .version = 1,
                                  .active = 8,
                                  .slowdownFactor = 1 },
                                kStart + 400ms);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 400ms).upstream, "e1");
}

// Guards against refusals by the rule on room at idle engines, at many gateways and with the first
// request of a gateway, and of other attempts than the first.
TEST_F(UpstreamSelectorTest, RoomRefusesNothingAtIdleEnginesNorOtherAttempts)
{
    this->selector.setGatewayCount(100);
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 0, 0);
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(this->selector.choose(this->query(), kStart).upstream, "e1");
    this->sendLoadNotice(1, 15, 0);
    SelectionQuery second = this->query();
    second.isNew = false;
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(this->selector.choose(second, kStart + 100ms).upstream, "e1");
}

TEST_F(UpstreamSelectorTest, RestartedEngineNeedsPermitsBeforeItsAnnouncementArrives)
{
    this->selector.onRecord(this->record(1), kStart);
    EXPECT_FALSE(this->selector.choose(this->query(), kStart).permitRate.has_value());
    LoadNotice notice{ .endpoint = endpointOf(1),
                       .startedAtMs = this->record(1).startedAtMs + 5000,
                       .isUsable = true,
                       .model = "m",
                       .version = 1,
                       .slowdownFactor = 1 };
    this->selector.onLoadNotice(notice, kStart + 1s);
    EXPECT_TRUE(this->selector.choose(this->query(), kStart + 1s).permitRate.has_value());
    UpstreamRecord restarted = this->record(1);
    restarted.startedAtMs = notice.startedAtMs;
    this->selector.onRecord(restarted, kStart + 2s);
    this->selector.onLoadNotice(notice, kStart + 2s);
    EXPECT_FALSE(this->selector.choose(this->query(), kStart + 2s).permitRate.has_value());
}

TEST_F(UpstreamSelectorTest, LowerOfSlowStartRateAndNamedLimitHolds)
{
    UpstreamRecord cold = this->record(1);
    cold.coldFor = 3s;
    this->selector.onRecord(cold, kStart);
    const double coldRate = this->selector.choose(this->query(), kStart + 1ms).permitRate.value();
    const auto nameLimit = [&](std::optional<double> limit, Milliseconds at) {
        return this->selector.onStatement("e1", cold.startedAtMs,
                                          { .requestsPerSecond = limit,
                                            .endsLimit = true,
                                            .requestSentAt = kStart + at,
                                            .answeredAt = kStart + at + 1ms });
    };
    EXPECT_TRUE(nameLimit(coldRate + 1, 10ms));
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 20ms).permitRate, coldRate);
    EXPECT_TRUE(nameLimit(1, 20ms));
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 30ms).permitRate, 1);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 4s).permitRate, 1);
    EXPECT_EQ(this->selector.limitedCount(), 1U);
    EXPECT_TRUE(nameLimit(std::nullopt, 4s));
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 5s).permitRate, std::nullopt);
}

// Guards against an upstream without requests, which could never say that its limit has ended.
TEST_F(UpstreamSelectorTest, UpstreamThatTakesNoRequestsStillGetsSingleOnes)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onStatement(
            "e1", this->record(1).startedAtMs,
            { .requestsPerSecond = 0, .requestSentAt = kStart, .answeredAt = kStart });
    const auto rate = this->selector.choose(this->query(), kStart + 1s).permitRate;
    ASSERT_TRUE(rate.has_value());
    EXPECT_GT(*rate, 0);
    EXPECT_LE(*rate, 1);
}

// Guards against a restarted engine that is held to the limit of its former instance.
TEST_F(UpstreamSelectorTest, RestartForgetsTheNamedLimit)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onStatement(
            "e1", this->record(1).startedAtMs,
            { .requestsPerSecond = 1, .requestSentAt = kStart, .answeredAt = kStart });
    UpstreamRecord restarted = this->record(1);
    restarted.startedAtMs += 5000;
    this->selector.onRecord(restarted, kStart + 1s);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 1s).permitRate, std::nullopt);
}

// Guards against requests to a crashed engine whose address a new instance has.
TEST_F(UpstreamSelectorTest, EngineIsNotSelectedOnceANewerOneHasItsAddress)
{
    this->selector.onRecord(this->record(1), kStart);
    UpstreamRecord successor = this->record(1);
    successor.id = "e1-again";
    successor.startedAtMs = 2;
    this->selector.onRecord(successor, kStart);
    EXPECT_EQ(this->selectionCounts(this->query()),
              (std::map<std::string, int>{ { "e1-again", 200 } }));
    // A late announcement of the crashed engine changes nothing.
    this->selector.onRecord(this->record(1), kStart);
    EXPECT_EQ(this->selectionCounts(this->query()),
              (std::map<std::string, int>{ { "e1-again", 200 } }));
    EXPECT_EQ(this->selector.size(), 1U);
}

TEST_F(UpstreamSelectorTest, RefusedPermitKeepsRequestsAwayUntilItsRetryTime)
{
    UpstreamRecord cold = this->record(1);
    cold.coldFor = 3s;
    this->selector.onRecord(cold, kStart);
    this->selector.onSent("e1", 979, kStart);
    this->selector.onPermitRefused("e1", 200ms, kStart);
    const Selection refused = this->selector.choose(this->query(), kStart + 50ms);
    EXPECT_EQ(refused.upstream, "");
    EXPECT_EQ(refused.problem, NoUpstreamReason::slowStart);
    EXPECT_EQ(refused.retryAfter, 150ms);
    const Selection selection = this->selector.choose(this->query(), kStart + 200ms);
    EXPECT_EQ(selection.upstream, "e1");
    EXPECT_EQ(selection.load, 0) << "the request without a permit was not sent";
    // Another engine takes the request meanwhile.
    this->selector.onRecord(this->record(2), kStart);
    EXPECT_EQ(this->selector.choose(this->query(), kStart + 50ms).upstream, "e2");
}

TEST_F(UpstreamSelectorTest, EjectedUpstreamIsUsedOnlyAsALastResort)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    for (int i = 0; i < 3; ++i) {
        this->selector.onSent("e1", 10, kStart);
        this->selector.onEnded("e1", true, kStart);
    }
    EXPECT_EQ(this->selectionCounts(this->query()).at("e2"), 200);
    SelectionQuery query = this->query();
    query.excluded = { "e2" };
    query.firstTokenLimit.reset();
    EXPECT_EQ(this->selector.choose(query, kStart).upstream, "e1");
    query.mayRunTwice = false;
    EXPECT_EQ(this->selector.choose(query, kStart).problem, NoUpstreamReason::failing);
}

TEST_F(UpstreamSelectorTest, LongRoundTripCountsAsLatency)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(1, 0, 0);
    this->sendLoadNotice(2, 8, 0);
    this->selector.setPath(endpointOf(1), { .roundTrip = 900ms });
    EXPECT_EQ(this->selectionCounts(this->query()).at("e2"), 200);
}

// Guards against a floor per gateway that lets many gateways exceed the upstream's limit.
TEST_F(UpstreamSelectorTest, GatewaysTogetherKeepToTheConnectionLimit)
{
    const PlanService plain{ .name = "plain", .maxConnections = 48 };
    const SelectionQuery query{ .service = "plain", .plan = &plain };
    UpstreamRecord record = this->record(1);
    record.service = "plain";
    this->selector.onRecord(record, kStart);
    for (const std::uint32_t gatewayCount : { 1U, 8U, 20U, 41U, 43U }) {
        this->selector.setGatewayCount(gatewayCount);
        const Selection selection = this->selector.choose(query, kStart);
        EXPECT_LE(selection.maxConnections * gatewayCount, plain.maxConnections) << gatewayCount;
        EXPECT_TRUE(selection.keepsConnection);
    }
    // With more gateways than connections, a gateway uses one only while it serves a request.
    this->selector.setGatewayCount(300);
    EXPECT_EQ(this->selector.choose(query, kStart).maxConnections, 1U);
    EXPECT_FALSE(this->selector.choose(query, kStart).keepsConnection);
}

TEST_F(UpstreamSelectorTest, PlainRequestsStayInTheGatewaysZoneUntilItsUpstreamsAreLoaded)
{
    const PlanService plain{ .name = "plain", .maxConnections = 51 };
    for (int i = 1; i <= 3; ++i) {
        UpstreamRecord record = this->record(i, i == 1 ? "a" : "b");
        record.service = "plain";
        this->selector.onRecord(record, kStart);
    }
    const SelectionQuery query{ .service = "plain", .plan = &plain };
    EXPECT_GT(this->selectionCounts(query).at("e1"), 150);
    for (int i = 0; i < 8; ++i)
        this->selector.onSent("e1", 0, kStart);
    EXPECT_EQ(this->selectionCounts(query).count("e1"), 0U);
}

/// Guards against overload of the first engine that recovers at the end of a rollout: all clients
/// send requests, and every 100 ms all gateways receive the engine's load notice at the same
/// moment. The check limits the number of requests at the engine, because this number determines
/// their latency.
TEST_F(UpstreamSelectorTest, SingleRecoveringEngineIsNotOverloaded)
{
    constexpr std::uint32_t gatewayCount = 8;
    std::vector<UpstreamSelector> selectors;
    for (std::uint32_t i = 0; i < gatewayCount; ++i) {
        selectors.emplace_back(SelectorOptions{ .zone = "a" }, i + 1);
        selectors.back().onRecord(this->record(1), kStart);
        selectors.back().setGatewayCount(gatewayCount);
    }
    // Every 100 ms each gateway gets two requests, and the engine completes one request.
    std::uint32_t requestsAtEngine = 0;
    std::uint32_t maxRequestsAtEngine = 0;
    for (int tick = 0; tick < 30; ++tick) {
        const TimePoint now = kStart + tick * 100ms;
        const std::uint32_t active = std::min(requestsAtEngine, 16U);
        for (UpstreamSelector &selector : selectors) {
            selector.onLoadNotice({ .endpoint = endpointOf(1),
                                    .isUsable = true,
                                    .model = "m",
                                    .version = 1,
                                    .queued = requestsAtEngine - active,
                                    .active = active,
                                    .slowdownFactor = 1 },
                                  now);
            for (int i = 0; i < 2; ++i) {
                const Selection selection = selector.choose(this->query(), now + 50ms);
                if (selection.upstream.empty())
                    continue;
                selector.onSent(selection.upstream, 979, now + 50ms);
                ++requestsAtEngine;
            }
        }
        maxRequestsAtEngine = std::max(maxRequestsAtEngine, requestsAtEngine);
        requestsAtEngine -= std::min(requestsAtEngine, 1U);
    }
    // All slots are in use, and the queue is short enough to be served within the latency
    // objective.
    EXPECT_LE(maxRequestsAtEngine, 16U + 8U);
    EXPECT_GE(maxRequestsAtEngine, 16U);
}

TEST_F(UpstreamSelectorTest, OldWeightsServeOnlyRequestsThatStartBeforeTheDeadline)
{
    // All engines serve version 1, and the deadline of version 2 is near.
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(1, 4, 0);
    this->sendLoadNotice(2, 16, 3);
    SelectionQuery query = this->query();
    query.version = { .minimum = 1, .upcomingMinimum = 2, .timeUntilUpcoming = 600ms };
    EXPECT_EQ(this->selectionCounts(query).size(), 1U)
            << "a request could still be queued at engine 2 at the deadline";
    EXPECT_TRUE(this->selectionCounts(query).contains("e1"));
    query.version.timeUntilUpcoming = 100ms;
    EXPECT_EQ(this->selector.choose(query, kStart).upstream, "");
    this->sendLoadNotice(2, 4, 0, 2);
    EXPECT_EQ(this->selector.choose(query, kStart).upstream, "e2")
            << "engine 2 serves the new version";
}

// Guards against requests that wait behind pieces of weights on the way to an engine until its
// weights have expired.
TEST_F(UpstreamSelectorTest, OldWeightsAreUsedShortlyBeforeTheirDeadlineOnlyAfterARoundTrip)
{
    this->selector.onRecord(this->record(1), kStart);
    this->sendLoadNotice(1, 4, 0);
    SelectionQuery query = this->query();
    query.version = { .minimum = 1, .upcomingMinimum = 2, .timeUntilUpcoming = 1s };
    EXPECT_TRUE(this->selector.choose(query, kStart).permitRate.has_value());
    query.version.timeUntilUpcoming = 5s;
    EXPECT_FALSE(this->selector.choose(query, kStart).permitRate.has_value());
    query.version.timeUntilUpcoming = 1s;
    this->sendLoadNotice(1, 4, 0, 2);
    EXPECT_FALSE(this->selector.choose(query, kStart).permitRate.has_value())
            << "the engine serves the new version";
}

TEST_F(UpstreamSelectorTest, EngineWithoutALinkIsUsedLast)
{
    this->selector.onRecord(this->record(1), kStart);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(1, 2, 0);
    this->sendLoadNotice(2, 8, 0);
    this->selector.setPath(endpointOf(1), { .hasLink = false });
    EXPECT_GT(this->selectionCounts(this->query())["e2"], 195);
    // An engine without a link is used as a last resort, unless its weights expire soon.
    SelectionQuery onlyE1 = this->query();
    onlyE1.excluded = { "e2" };
    EXPECT_EQ(this->selector.choose(onlyE1, kStart).upstream, "e1");
    onlyE1.version = { .upcomingMinimum = 2, .timeUntilUpcoming = 2s };
    EXPECT_EQ(this->selector.choose(onlyE1, kStart).upstream, "");
}

// Guards against prompts that arrive together at one engine and stop its streams for longer than
// the limit, while another engine is free.
TEST_F(UpstreamSelectorTest, BurstOfPromptsSpreadsSoThatPausesStayBelowTheLimit)
{
    constexpr int engineCount = 6;
    constexpr double promptTokens = 2000; // 99 ms each beside a pass of 49 ms: two fit
    SelectionQuery query = this->query();
    query.promptTokens = promptTokens;
    query.firstTokenLimit.reset();
    query.maxPause = 300ms;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        this->selector = UpstreamSelector({ .zone = "a" }, seed);
        for (int engine = 1; engine <= engineCount; ++engine) {
            this->selector.onRecord(this->record(engine), kStart);
            this->sendLoadNotice(engine, 8, 0);
        }
        for (int i = 0; i < 2 * engineCount; ++i) {
            const Selection selection = this->selector.choose(query, kStart + 50ms);
            EXPECT_LE(selection.expectedPause, 300ms) << "seed " << seed << ", prompt " << i;
            EXPECT_FALSE(selection.exceedsMaxPause);
            this->selector.onSent(selection.upstream, promptTokens, kStart + 50ms);
        }
        // Every engine exceeds the limit now; the request is still served.
        const Selection selection = this->selector.choose(query, kStart + 50ms);
        EXPECT_NE(selection.upstream, "");
        EXPECT_TRUE(selection.exceedsMaxPause);
    }
}

// Guards against requests that are sent to an engine in a slow period, and against an engine that
// is avoided after its slow period.
TEST_F(UpstreamSelectorTest, EngineInASlowPeriodGetsNoRequestsWhileOthersHaveRoom)
{
    const auto notify = [this](int engine, double factor, std::uint32_t queued, TimePoint at) {
        this->selector.onLoadNotice({ .endpoint = endpointOf(engine),
                                      .isUsable = true,
                                      .model = "m",
                                      .version = 1,
                                      .queued = queued,
                                      .active = queued > 0 ? 16U : 8U,
                                      .slowdownFactor = factor },
                                    at);
    };
    for (int engine = 1; engine <= 4; ++engine) {
        this->selector.onRecord(this->record(engine), kStart);
        notify(engine, engine == 1 ? 2.5 : 1, 0, kStart);
    }
    EXPECT_EQ(this->selectionCounts(this->query(), 400).count("e1"), 0U);
    notify(1, 1, 0, kStart + 600ms);
    EXPECT_GT(this->selectionCounts(this->query(), 400)["e1"], 60);
    // Slow is better than full.
    notify(1, 2.5, 0, kStart + 700ms);
    for (int engine = 2; engine <= 4; ++engine)
        notify(engine, 1, 12, kStart + 700ms);
    EXPECT_EQ(this->selectionCounts(this->query())["e1"], 200);
}

// Guards against predictions that aren't numbers, which would make every draw undefined.
TEST_F(UpstreamSelectorTest, NonsenseInALoadNoticeIsBounded)
{
    for (int engine = 1; engine <= 2; ++engine)
        this->selector.onRecord(this->record(engine), kStart);
    SelectionQuery query = this->query();
    query.firstTokenLimit.reset();
    query.maxPause = 300ms;
    LoadNotice notice{ .endpoint = endpointOf(1), .isUsable = true, .model = "m", .version = 1 };
    for (const double factor : { std::numeric_limits<double>::quiet_NaN(), -3.0, 0.0,
                                 -std::numeric_limits<double>::infinity() }) {
        notice.slowdownFactor = factor;
        this->selector.onLoadNotice(notice, kStart);
        this->sendLoadNotice(2, 0, 0);
        EXPECT_GT(this->selectionCounts(query)["e1"], 60) << factor;
    }
    notice.queued = notice.active = std::numeric_limits<std::uint32_t>::max();
    notice.memoryUsed = std::numeric_limits<std::uint64_t>::max();
    notice.memoryTotal = 300000;
    for (const double factor : { 1e300, std::numeric_limits<double>::infinity(), 1.0 }) {
        notice.slowdownFactor = factor;
        this->selector.onLoadNotice(notice, kStart);
        EXPECT_EQ(this->selectionCounts(query)["e2"], 200) << factor;
        query.excluded = { "e2" };
        const Selection selection = this->selector.choose(query, kStart);
        EXPECT_EQ(selection.upstream, "e1");
        EXPECT_LT(selection.expectedFirstToken, 10min) << factor;
        query.excluded.clear();
    }
}

// Guards against requests that an engine has to preempt because its memory is full.
TEST_F(UpstreamSelectorTest, EngineWithoutMemoryForTheRequestIsUsedOnlyIfNoOtherHasIt)
{
    const auto notify = [this](int engine, std::uint64_t memoryUsed, std::uint32_t active) {
        this->selector.onLoadNotice({ .endpoint = endpointOf(engine),
                                      .isUsable = true,
                                      .model = "m",
                                      .version = 1,
                                      .active = active,
                                      .memoryUsed = memoryUsed,
                                      .memoryTotal = 10000,
                                      .slowdownFactor = 1 },
                                    kStart);
    };
    for (int engine = 1; engine <= 2; ++engine)
        this->selector.onRecord(this->record(engine), kStart);
    SelectionQuery query = this->query();
    query.cost = { .promptTokens = 979, .outputTokens = 500 };
    notify(1, 8600, 2);
    notify(2, 5000, 15);
    EXPECT_EQ(this->selectionCounts(query)["e2"], 200);
    query.cost.outputTokens = 100;
    EXPECT_GT(this->selectionCounts(query)["e1"], 100) << "a short answer fits";
    // What this gateway has sent since the notice is counted.
    this->selector.onSent("e1", query.cost, kStart);
    EXPECT_EQ(this->selectionCounts(query)["e2"], 200);
    notify(2, 9900, 15);
    EXPECT_EQ(this->selectionCounts(query).size(), 2U) << "no engine has the memory";
}

// Load: engines of which some are slow, loading or in slow start. Guards against an occupancy
// that counts slots which take no requests.
TEST_F(UpstreamSelectorTest, ServiceLoadCountsTheSlotsThatTakeRequests)
{
    for (int engine = 1; engine <= 2; ++engine) {
        this->selector.onRecord(this->record(engine), kStart);
        this->sendLoadNotice(engine, 12, 0);
    }
    const ServiceLoad even = this->selector.serviceLoad(this->query(), kStart);
    EXPECT_DOUBLE_EQ(even.occupancy.value_or(0), 24.0 / 32);
    ASSERT_TRUE(even.firstToken);
    EXPECT_NEAR(even.firstToken->count(),
                static_cast<double>(
                        this->selector.choose(this->query(), kStart).expectedFirstToken.count()),
                1.0);
    // Half as fast: as good as half of the slots.
    this->selector.onLoadNotice({ .endpoint = endpointOf(2),
                                  .isUsable = true,
                                  .model = "m",
                                  .version = 1,
                                  .active = 12,
                                  .slowdownFactor = 2 },
                                kStart);
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart).occupancy.value_or(0),
                     24.0 / 32)
            << "values are used again for 20 ms";
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 20ms).occupancy.value_or(0),
                     24.0 / 24);
    // An engine that loads weights counts neither slots nor requests.
    this->selector.onLoadNotice({ .endpoint = endpointOf(2), .active = 12, .slowdownFactor = 1 },
                                kStart);
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 40ms).occupancy.value_or(0),
                     12.0 / 16);
    // An engine in slow start counts the slots that its permits fill.
    this->service.coldRequestsPerSecond = 1;
    UpstreamRecord cold = this->record(3);
    cold.coldFor = 3s;
    this->selector.onRecord(cold, kStart);
    this->sendLoadNotice(3, 0, 0);
    const double slots =
            16
            + 16
                      * EngineModel(engineSpec())
                                .engineTime({ .promptTokens = engineSpec().typicalPromptTokens })
                      / FloatMilliseconds(1s);
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 60ms).occupancy.value_or(0),
                     12 / slots);
}

// Load: notices that are missing, old or invalid. Guards against refusals for a load that
// nobody has reported, and against values that spoil the load of the other engines.
TEST_F(UpstreamSelectorTest, ServiceLoadIsUnknownWithoutAFreshNoticeAndBounded)
{
    EXPECT_EQ(this->selector.serviceLoad(this->query(), kStart).occupancy, std::nullopt);
    this->selector.onRecord(this->record(1), kStart);
    this->selector.setGatewayCount(4);
    this->selector.onSent("e1", 100, kStart);
    EXPECT_EQ(this->selector.serviceLoad(this->query(), kStart + 20ms).occupancy, std::nullopt);
    this->selector.onRecord(this->record(2), kStart);
    this->sendLoadNotice(2, 8, 0);
    // The requests of this gateway stand for those of all four at the engine without a notice.
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 40ms).occupancy.value_or(0),
                     (4 + 8) / 32.0);
    this->selector.onLoadNotice({ .endpoint = endpointOf(2),
                                  .isUsable = true,
                                  .model = "m",
                                  .version = 1,
                                  .queued = 4000000000U,
                                  .active = 4000000000U,
                                  .slowdownFactor = std::numeric_limits<double>::quiet_NaN() },
                                kStart);
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 60ms).occupancy.value_or(0),
                     (4 + 48) / 32.0);
    EXPECT_EQ(this->selector.serviceLoad(this->query(), kStart + 2s).occupancy, std::nullopt);
}

// Guards against engines in an evacuated zone, or in regions that the customer doesn't allow,
// that count as free.
TEST_F(UpstreamSelectorTest, ServiceLoadCountsOnlyAllowedZones)
{
    this->selector.onRecord(this->record(1, "a"), kStart);
    this->selector.onRecord(this->record(2, "b"), kStart);
    this->sendLoadNotice(1, 16, 0);
    this->sendLoadNotice(2, 0, 0);
    const std::vector<std::string> onlyA{ "ra" };
    SelectionQuery limited = this->query();
    limited.customerRegions = &onlyA;
    const ServiceLoad all = this->selector.serviceLoad(this->query(), kStart);
    const ServiceLoad allowed = this->selector.serviceLoad(limited, kStart);
    EXPECT_DOUBLE_EQ(all.occupancy.value_or(0), 0.5);
    EXPECT_DOUBLE_EQ(allowed.occupancy.value_or(0), 1);
    EXPECT_NE(all.scope, allowed.scope);
    this->selector.setZonesOut({ "b" });
    EXPECT_DOUBLE_EQ(this->selector.serviceLoad(this->query(), kStart + 20ms).occupancy.value_or(0),
                     1);
}
