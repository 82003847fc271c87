#include "registry.h"
#include "view_state.h"

#include "fuzz.h"
#include "registry_node.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

UpstreamRecord recordOf(const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence,
                        const std::string &endpoint = "10.0.0.1:80")
{
    return { .id = id,
             .startedAtMs = startedAtMs,
             .sequence = sequence,
             .service = "s",
             .endpoint = endpoint,
             .zone = "a",
             .slots = 4 };
}

} // namespace

TEST(UpstreamRecords, DelayedAnnouncementIsIgnored)
{
    UpstreamRecords records;
    UpstreamRecord draining = recordOf("i", 1, 5);
    draining.notice = AnnouncedState::draining;
    EXPECT_TRUE(records.apply(draining));
    EXPECT_FALSE(records.apply(recordOf("i", 1, 4)));
    EXPECT_EQ(records.find("i")->notice, AnnouncedState::draining);
}

TEST(UpstreamRecords, DepartureEndsOnlyItsIncarnation)
{
    UpstreamRecords records;
    records.apply(recordOf("i", 1, 5));
    EXPECT_TRUE(records.markDeparted("i", 1));
    EXPECT_FALSE(records.apply(recordOf("i", 1, 9)));
    EXPECT_EQ(records.find("i")->notice, AnnouncedState::gone);
    EXPECT_TRUE(records.apply(recordOf("i", 2, 1)));
    EXPECT_EQ(records.find("i")->notice, AnnouncedState::ready);
}

// Guards against a departure that arrives late and keeps out an upstream that started again.
TEST(UpstreamRecords, ALateDepartureDoesNotEndALaterIncarnation)
{
    UpstreamRecords records;
    records.apply(recordOf("i", 2, 1));
    EXPECT_FALSE(records.markDeparted("i", 1));
    EXPECT_EQ(records.find("i")->notice, AnnouncedState::ready);
    EXPECT_TRUE(records.markDeparted("i", 2));
}

TEST(UpstreamRecords, AddressBelongsToTheLatestIncarnation)
{
    UpstreamRecords records;
    records.apply(recordOf("old", 1, 5));
    records.apply(recordOf("new", 2, 1));
    EXPECT_EQ(records.find("old")->notice, AnnouncedState::gone);
    EXPECT_FALSE(records.apply(recordOf("older", 1, 99)));
    EXPECT_EQ(records.find("older"), nullptr);
}

TEST(UpstreamRecords, DepartureBeforeAnyAnnouncementIsStored)
{
    UpstreamRecords records;
    EXPECT_TRUE(records.markDeparted("i", 10));
    EXPECT_FALSE(records.apply(recordOf("i", 9, 7)));
    EXPECT_TRUE(records.apply(recordOf("i", 11, 1)));
}

/// In any order of arrival, the last announcement of the latest incarnation is kept.
TEST(UpstreamRecords, FuzzedArrivalOrdersConverge)
{
    fuzz([] {
        std::vector<UpstreamRecord> announcements;
        const auto incarnationCount = *rc::gen::inRange<std::uint64_t>(1, 4);
        for (std::uint64_t incarnation = 1; incarnation <= incarnationCount; ++incarnation) {
            for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
                announcements.push_back(recordOf("i", incarnation, sequence));
                if (sequence == 3)
                    announcements.back().notice = AnnouncedState::draining;
            }
        }
        UpstreamRecords records;
        while (!announcements.empty()) {
            const auto index = *rc::gen::inRange<std::size_t>(0, announcements.size());
            records.apply(announcements[index]);
            announcements.erase(announcements.begin() + static_cast<std::ptrdiff_t>(index));
        }
        RC_ASSERT(records.find("i")->startedAtMs == incarnationCount);
        RC_ASSERT(records.find("i")->notice == AnnouncedState::draining);
    });
}

TEST(Registry, ReaderGetsOnlyTheChangesAfterItsChangeNumber)
{
    Registry registry;
    EXPECT_TRUE(registry.onAnnouncement(recordOf("i", 1, 1), kStart));
    const std::uint64_t seenChangeNumber = registry.change();
    EXPECT_FALSE(registry.onAnnouncement(recordOf("i", 1, 2), kStart));
    EXPECT_TRUE(registry.changesSince(seenChangeNumber, kStart).records.empty());
    EXPECT_TRUE(registry.onAnnouncement(recordOf("j", 1, 1, "10.0.0.2:80"), kStart));
    ASSERT_EQ(registry.changesSince(seenChangeNumber, kStart).records.size(), 1U);
    EXPECT_EQ(registry.changesSince(seenChangeNumber, kStart).records.front().id, "j");
    EXPECT_EQ(registry.takeAnnounced(kStart).size(), 2U);
    EXPECT_TRUE(registry.takeAnnounced(kStart).empty());
}

TEST(Registry, UpstreamBecomesSilentAndRecovers)
{
    Registry registry({ .silentAfter = 4s });
    registry.onAnnouncement(recordOf("i", 1, 1), kStart);
    EXPECT_FALSE(registry.tick(kStart + 4s));
    EXPECT_TRUE(registry.tick(kStart + 4100ms));
    EXPECT_TRUE(registry.changesSince(0, kStart).records.front().isSilent);
    EXPECT_TRUE(registry.onPeerRecords({ recordOf("i", 1, 2) }, kStart + 5s));
    EXPECT_FALSE(registry.changesSince(0, kStart).records.front().isSilent);
}

TEST(Registry, SlowStartTimeIsTheRemainingTime)
{
    Registry registry;
    UpstreamRecord cold = recordOf("i", 1, 1);
    cold.coldFor = 3s;
    registry.onAnnouncement(cold, kStart);
    EXPECT_EQ(registry.changesSince(0, kStart + 1s).records.front().coldFor, 2s);
    EXPECT_EQ(registry.changesSince(0, kStart + 9s).records.front().coldFor, 0ms);
}

TEST(Registry, UpstreamThatTurnsColdAgainDuringSlowStartIsAChange)
{
    Registry registry;
    UpstreamRecord cold = recordOf("i", 1, 1);
    cold.coldFor = 3s;
    registry.onAnnouncement(cold, kStart);
    const std::uint64_t seenChangeNumber = registry.change();
    cold.sequence = 2;
    cold.coldFor = 1800ms;
    EXPECT_FALSE(registry.onAnnouncement(cold, kStart + 1200ms));
    cold.sequence = 3;
    cold.coldFor = 3s;
    EXPECT_TRUE(registry.onAnnouncement(cold, kStart + 2s));
    ASSERT_EQ(registry.changesSince(seenChangeNumber, kStart + 3s).records.size(), 1U);
    EXPECT_EQ(registry.changesSince(seenChangeNumber, kStart + 3s).records.front().coldFor, 2s);
}

TEST(Registry, OutdatedAnnouncementDoesNotProlongSlowStart)
{
    Registry registry;
    UpstreamRecord cold = recordOf("i", 1, 5);
    cold.coldFor = 3s;
    registry.onAnnouncement(cold, kStart);
    UpstreamRecord outdated = recordOf("i", 1, 4);
    outdated.coldFor = 3s;
    EXPECT_FALSE(registry.onAnnouncement(outdated, kStart + 2s));
    EXPECT_EQ(registry.changesSince(0, kStart + 2s).records.front().coldFor, 1s);
}

TEST(Registry, RecordsForOtherRegistriesCarryTheRemainingSlowStart)
{
    Registry registry;
    UpstreamRecord cold = recordOf("i", 1, 1);
    cold.coldFor = 3s;
    registry.onAnnouncement(cold, kStart);
    EXPECT_EQ(registry.takeAnnounced(kStart + 500ms).front().coldFor, 2500ms);
}

TEST(Registry, RemovesDepartedUpstreamsAfterTheRetentionTime)
{
    Registry registry({ .departedRetention = 60s });
    registry.onAnnouncement(recordOf("i", 1, 1), kStart);
    registry.markDeparted("i", 1, kStart);
    registry.tick(kStart + 59s);
    EXPECT_EQ(registry.size(), 1U);
    registry.tick(kStart + 61s);
    EXPECT_EQ(registry.size(), 0U);
}

TEST(ViewState, DocumentNumberNeverDecreases)
{
    ViewState state({ .instance = "g", .lease = 4s });
    View newer{ .incarnation = 1,
                .state = { .index = 9, .texts = { { kDocumentText, 4, "four" } } },
                .hasState = true };
    EXPECT_TRUE(state.apply("r1", newer, kStart).state);
    View older{ .incarnation = 2,
                .state = { .index = 5, .texts = { { kDocumentText, 3, "three" } } },
                .hasState = true };
    EXPECT_FALSE(state.apply("r2", older, kStart).state);
    EXPECT_EQ(state.textNumber(kDocumentText), 4U);
    EXPECT_EQ(state.makePull("r2", kStart).documentNumber, 4U);
}

TEST(ViewState, LeaseRunsFromTheConfirmationOfTheState)
{
    ViewState state({ .instance = "g", .lease = 4s });
    const Milliseconds askedAt = state.makePull("r1", kStart).sentAt;
    View view{
        .incarnation = 1, .askedAt = askedAt, .isConfirmed = true, .confirmationAge = 300ms
    };
    EXPECT_FALSE(state.isConfirmed(kStart));
    state.apply("r1", view, kStart + 1s);
    EXPECT_TRUE(state.isConfirmed(kStart + 3600ms));
    EXPECT_FALSE(state.isConfirmed(kStart + 3700ms));
    // Neither a pushed view nor a view whose state no majority confirmed extends the lease.
    view.isPush = true;
    view.askedAt = state.makePull("r1", kStart + 3s).sentAt;
    state.apply("r1", view, kStart + 3s);
    view.isPush = false;
    view.isConfirmed = false;
    state.apply("r1", view, kStart + 3s);
    EXPECT_FALSE(state.isConfirmed(kStart + 3700ms));
}

TEST(ViewState, RestartedRegistryReplacesTheChangeNumber)
{
    ViewState state({ .instance = "g" });
    state.apply("r1", { .incarnation = 1, .change = 70 }, kStart);
    EXPECT_EQ(state.makePull("r1", kStart).change, 70U);
    state.apply("r1", { .incarnation = 2, .change = 3 }, kStart);
    EXPECT_EQ(state.makePull("r1", kStart).change, 3U);
    EXPECT_EQ(state.makePull("r1", kStart).receiverIncarnation, 2U);
}

TEST(ViewState, UpstreamThatTurnsColdAgainDuringSlowStartIsReported)
{
    ViewState state({ .instance = "g" });
    UpstreamRecord cold = recordOf("i", 1, 1);
    cold.coldFor = 3s;
    EXPECT_EQ(state.apply("r1", { .incarnation = 1, .upstreams = { cold } }, kStart).upstreams,
              std::vector<std::string>{ "i" });
    UpstreamRecord again = cold;
    again.sequence = 3;
    EXPECT_EQ(
            state.apply("r1", { .incarnation = 1, .upstreams = { again } }, kStart + 2s).upstreams,
            std::vector<std::string>{ "i" });
    // A record that is older than the stored one is not reported.
    EXPECT_TRUE(state.apply("r2", { .incarnation = 1, .upstreams = { cold } }, kStart + 2s)
                        .upstreams.empty());
}

TEST(ViewState, TimeInForceComesFromAnyRegistryThatKnowsIt)
{
    ViewState state({ .instance = "g" });
    View withoutTime{ .incarnation = 1,
                      .state = { .index = 3, .texts = { { .name = "weights/m", .number = 2 } } },
                      .hasState = true };
    EXPECT_TRUE(state.apply("r1", withoutTime, kStart).state);
    EXPECT_FALSE(state.inForceSince("weights/m"));
    View withTime = withoutTime;
    withTime.hasState = false;
    withTime.state.texts.front().timeInForce = 5s;
    EXPECT_TRUE(state.apply("r2", withTime, kStart).state);
    EXPECT_EQ(state.inForceSince("weights/m"), kStart - 5s);
    EXPECT_FALSE(state.apply("r2", withTime, kStart).state);
    View newer = withTime;
    newer.state.texts.front() = { .name = "weights/m", .number = 3 };
    state.apply("r1", newer, kStart + 1s);
    EXPECT_FALSE(state.inForceSince("weights/m"));
}

// Guards against a gateway that keeps the late time of a registry instance that restarted.
TEST(ViewState, TheEarliestTimeInForceCountsAndIsReported)
{
    ViewState state({ .instance = "g" });
    View view{ .incarnation = 1,
               .state = { .index = 3, .texts = { { .name = "weights/m", .number = 3 } } },
               .hasState = true };
    view.state.texts.front().timeInForce = 1s;
    EXPECT_TRUE(state.apply("r1", view, kStart).state);
    view.hasState = false;
    view.state.texts.front().timeInForce = 6s;
    view.replacedTexts = { { .name = "weights/m", .number = 2, .timeInForce = 7s } };
    EXPECT_TRUE(state.apply("r2", view, kStart).state);
    EXPECT_EQ(state.inForceSince("weights/m"), kStart - 6s);
    EXPECT_EQ(state.replacedNumbers("weights/m"),
              (std::map<std::uint64_t, TimePoint>{ { 2, kStart - 7s } }));
    view.state.texts.front().timeInForce = 2s;
    EXPECT_FALSE(state.apply("r1", view, kStart).state);
    EXPECT_EQ(state.inForceSince("weights/m"), kStart - 6s);
}

// Guards against a view that is too large to be sent because of many small records.
TEST(Registry, ManyChangesAreReportedInParts)
{
    Registry registry({ .maxUpstreams = 5 });
    for (int i = 0; i < 5; ++i)
        registry.onAnnouncement(
                recordOf("i" + std::to_string(9 - i), 1, 1, "10.0.0." + std::to_string(i) + ":80"),
                kStart);
    EXPECT_TRUE(registry.hasRoomFor("i9"));
    EXPECT_FALSE(registry.hasRoomFor("j")) << "a further upstream would exceed the bound";
    std::set<std::string> ids;
    std::uint64_t seen = 0;
    for (int part = 0; part < 3; ++part) {
        const RecordChanges changes = registry.changesSince(seen, kStart, 2);
        EXPECT_EQ(changes.records.size(), part < 2 ? 2U : 1U);
        for (const UpstreamRecord &record : changes.records)
            ids.insert(record.id);
        seen = changes.lastChange;
    }
    EXPECT_EQ(ids.size(), 5U);
    EXPECT_EQ(seen, registry.change());
    EXPECT_TRUE(registry.changesSince(seen, kStart, 2).records.empty());
}
