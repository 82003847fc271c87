#include "announce_targets.h"
#include "upstream_directory.h"
#include "zone_exchange.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart{ 1h };

AgentRecord record(const std::string &agent, std::uint64_t sequence, const std::string &zone = "a")
{
    return { .agent = agent,
             .incarnation = 5,
             .sequence = sequence,
             .zone = zone,
             .endpoint = "127.0.0.1:1",
             .state = UpstreamState::ready,
             .limit = 4 };
}

bool knows(const UpstreamDirectory &directory, const std::string &agent)
{
    return directory.upstreams().contains(agent);
}

UpstreamState stateOf(const UpstreamDirectory &directory, const std::string &agent)
{
    return directory.upstreams().at(agent).record.state;
}

} // namespace

TEST(UpstreamDirectory, OutdatedAnnouncementsAreIgnored)
{
    UpstreamDirectory directory;
    EXPECT_TRUE(directory.applyAnnouncement(record("x", 7), kStart));
    EXPECT_FALSE(directory.applyAnnouncement(record("x", 7), kStart));
    AgentRecord outdatedRecord = record("x", 9);
    outdatedRecord.incarnation = 4;
    EXPECT_FALSE(directory.applyAnnouncement(outdatedRecord, kStart));
    EXPECT_EQ(directory.upstreams().at("x").record.sequence, 7U);
}

TEST(UpstreamDirectory, DelayedOldRecordDoesNotRestoreARemovedAgent)
{
    UpstreamDirectory directory;
    AgentRecord leavingRecord = record("x", 7);
    leavingRecord.state = UpstreamState::leaving;
    directory.applyAnnouncement(leavingRecord, kStart);
    directory.expire(kStart + 4s);
    EXPECT_FALSE(knows(directory, "x"));
    RecordDeltas oldDeltas{ .records = { { .record = record("x", 6) } } };
    directory.applyDeltas(oldDeltas, kStart + 5s);
    EXPECT_FALSE(knows(directory, "x"));
    EXPECT_TRUE(directory.applyAnnouncement(record("x", 8), kStart + 5s));
}

TEST(UpstreamDirectory, LoadDeltasUpdateKnownRecordsAndRevealUnknownRecords)
{
    UpstreamDirectory sender;
    UpstreamDirectory receiver;
    sender.applyAnnouncement(record("x", 1), kStart, true);
    EXPECT_EQ(sender.takeDeltas(false, kStart).records.size(), 1U);
    AgentRecord busyRecord = record("x", 2);
    busyRecord.inFlight = 3;
    sender.applyAnnouncement(busyRecord, kStart + 1s, true);
    EXPECT_TRUE(sender.takeDeltas(false, kStart + 1s).records.empty());
    const RecordDeltas loadDeltas = sender.takeDeltas(true, kStart + 1s);
    ASSERT_EQ(loadDeltas.loads.size(), 1U);
    const auto unknownDigests = receiver.applyDeltas(loadDeltas, kStart + 1s);
    ASSERT_EQ(unknownDigests.size(), 1U);
    RecordDeltas answer;
    answer.records = sender.findRecords(unknownDigests, kStart + 1s);
    receiver.applyDeltas(answer, kStart + 1s);
    EXPECT_EQ(receiver.upstreams().at("x").record.inFlight, 3U);
    EXPECT_TRUE(receiver.applyDeltas(loadDeltas, kStart + 1s).empty());
}

TEST(UpstreamDirectory, StateChangeIsSharedBeforeLoadDeltasAreDue)
{
    UpstreamDirectory directory;
    directory.applyAnnouncement(record("x", 1), kStart, true);
    directory.takeDeltas(true, kStart);
    AgentRecord leavingRecord = record("x", 2);
    leavingRecord.state = UpstreamState::leaving;
    directory.applyAnnouncement(leavingRecord, kStart + 10ms, true);
    const auto deltas = directory.takeDeltas(false, kStart + 10ms);
    ASSERT_EQ(deltas.records.size(), 1U);
    EXPECT_EQ(deltas.records[0].record.state, UpstreamState::leaving);
}

TEST(UpstreamDirectory, SampleIsBoundedAndContainsEveryGroupAndRecentlyUnreadyRecords)
{
    UpstreamDirectory directory;
    std::mt19937_64 random(1);
    for (int i = 0; i < 100; ++i) {
        AgentRecord engine = record("engine-" + std::to_string(i), 1);
        engine.inFlight = static_cast<std::uint32_t>(i % 4);
        directory.applyAnnouncement(engine, kStart);
    }
    AgentRecord service = record("service", 1);
    service.kind = UpstreamKind::service;
    service.inFlight = 4;
    directory.applyAnnouncement(service, kStart);
    AgentRecord leavingRecord = record("engine-7", 2);
    leavingRecord.state = UpstreamState::leaving;
    directory.applyAnnouncement(leavingRecord, kStart);
    const ZoneReport report = directory.buildZoneReport("a", 8, random, kStart + 1s);
    ASSERT_EQ(report.sample.size(), 8U);
    EXPECT_EQ(report.sample[0].record.agent, "engine-7");
    std::size_t serviceCount = 0;
    for (const AgedRecord &aged : report.sample)
        serviceCount += aged.record.kind == UpstreamKind::service ? 1 : 0;
    EXPECT_EQ(serviceCount, 1U);
    EXPECT_EQ(report.summaries.size(), 2U);
    // The receiver rejects a sampled record whose zone differs from the reporting zone.
    UpstreamDirectory receivingDirectory;
    receivingDirectory.setSilenceTimeouts(3s, 3s, "b");
    ZoneReport forgedReport = report;
    forgedReport.sample[1].record.zone = "b";
    receivingDirectory.applyZoneReport(forgedReport, kStart + 1s);
    EXPECT_EQ(receivingDirectory.upstreams().size(), 7U);
    EXPECT_EQ(stateOf(receivingDirectory, "engine-7"), UpstreamState::leaving);
}

TEST(ZoneExchange, IgnoresDeltasForAnotherIncarnation)
{
    UpstreamDirectory directory;
    ZoneExchange exchange({ .zone = "a" });
    RecordDeltas deltas{ .receiverIncarnation = 4, .records = { { .record = record("x", 1) } } };
    exchange.receive(directory, {}, deltas, 5, kStart);
    EXPECT_FALSE(knows(directory, "x"));
    deltas.receiverIncarnation = 5;
    exchange.receive(directory, {}, deltas, 5, kStart);
    EXPECT_TRUE(knows(directory, "x"));
}

TEST(ZoneExchange, PullsOtherZonesInRoundRobinOrder)
{
    UpstreamDirectory directory;
    ZoneExchange exchange({ .zone = "a" });
    const std::vector<ExchangePeer> peers = { { .endpoint = "1", .zone = "a", .incarnation = 1 },
                                              { .endpoint = "2", .zone = "b", .incarnation = 1 },
                                              { .endpoint = "3", .zone = "c", .incarnation = 1 } };
    std::map<std::string, int> pullCounts;
    for (int i = 0; i < 8; ++i) {
        for (const SendDatagram &action : exchange.tick(directory, peers, kStart + i * 400ms))
            ++pullCounts[action.to];
    }
    EXPECT_EQ(pullCounts, (std::map<std::string, int>{ { "2", 4 }, { "3", 4 } }));
}

TEST(AnnounceTargets, ReplaceASilentTargetAndChooseOnePrimary)
{
    AnnounceTargets announceTargets({ .agent = "x", .entries = { "a", "b", "c", "d", "e" } });
    const auto initialTargets = announceTargets.choose(kStart);
    ASSERT_EQ(initialTargets.size(), 3U);
    for (const AnnounceTarget &target : initialTargets)
        EXPECT_TRUE(announceTargets.onReply(target.endpoint, 9, kStart));
    const std::string silentEndpoint = initialTargets[0].endpoint;
    for (int i = 1; i <= 5; ++i) {
        for (const AnnounceTarget &target : announceTargets.choose(kStart + i * 200ms)) {
            if (target.endpoint != silentEndpoint)
                announceTargets.onReply(target.endpoint, 9, kStart + i * 200ms);
        }
    }
    const auto newTargets = announceTargets.choose(kStart + 1200ms);
    std::size_t primaryCount = 0;
    for (const AnnounceTarget &target : newTargets) {
        EXPECT_NE(target.endpoint, silentEndpoint);
        primaryCount += target.isPrimary ? 1 : 0;
    }
    EXPECT_EQ(newTargets.size(), 3U);
    EXPECT_EQ(primaryCount, 1U);
    // A reply with a new incarnation reveals a restarted entry instance.
    EXPECT_FALSE(announceTargets.onReply(newTargets[0].endpoint, 9, kStart));
    EXPECT_TRUE(announceTargets.onReply(newTargets[0].endpoint, 10, kStart));
}
