#include "control_state.h"

#include "frame.h"
#include "registry_node.h"
#include "upstream_check.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace egret;

namespace {

SubmitDocument submitCommand(const std::string &requestId, std::uint64_t expected,
                             const std::string &text = "a", const std::string &byOperator = "ana")
{
    return SubmitDocument{ .requestId = requestId,
                           .operatorName = byOperator,
                           .environment = "e",
                           .expectedRevision = expected,
                           .text = text };
}

PromoteDocument promoteCommand(const std::string &requestId, std::uint64_t expected,
                               std::uint64_t revision)
{
    return PromoteDocument{ .requestId = requestId,
                            .operatorName = "ana",
                            .environment = "e",
                            .expectedRevision = expected,
                            .revision = revision };
}

} // namespace

TEST(ControlState, AcceptsOneOfTwoRacingSubmitsAndReturnsTheCurrentRevisionToTheOther)
{
    ControlState state;
    EXPECT_TRUE(state.apply({ .term = 1, .index = 1 }, submitCommand("r1", 0)).accepted);
    const auto second = state.apply({ .term = 1, .index = 2 }, submitCommand("r1", 0, "b", "eva"));
    EXPECT_FALSE(second.accepted);
    EXPECT_EQ(second.reason, "revision-conflict");
    EXPECT_EQ(second.revision, 1U);
}

TEST(ControlState, AResendReturnsTheStoredResultAlsoAfterASnapshot)
{
    ControlState state;
    const auto first = state.apply({ .term = 1, .index = 1 }, submitCommand("r1", 0));
    state.apply({ .term = 1, .index = 2 }, submitCommand("r2", 1, "b"));
    ControlState restored;
    restored.restore(*decode<ControlSnapshot>(encode(state.snapshot())));
    EXPECT_EQ(restored.apply({ .term = 2, .index = 3 }, submitCommand("r1", 0)), first);
    EXPECT_EQ(restored.apply({ .term = 2, .index = 4 }, submitCommand("r1", 0, "other")).reason,
              "request-id-reused");
    EXPECT_EQ(restored.snapshot(), state.snapshot());
}

TEST(ControlState, AResendAfterItsResultWasDroppedIsRefused)
{
    ControlState state;
    std::uint64_t index = 0;
    state.apply({ .term = 1, .index = ++index }, submitCommand("first", 0));
    for (std::size_t i = 0; i < kMaxRequestResults; ++i)
        state.apply({ .term = 1, .index = ++index }, submitCommand(std::to_string(i), 0));
    EXPECT_EQ(state.snapshot().results.size(), kMaxRequestResults);
    EXPECT_EQ(state.snapshot().audit.size(), kMaxAuditRecords);
    const auto again = state.apply({ .term = 1, .index = ++index }, submitCommand("first", 0));
    EXPECT_FALSE(again.accepted);
    EXPECT_EQ(again.revision, 1U);
}

TEST(ControlState, RecordsChangesAndRefusals)
{
    ControlState state;
    state.apply({ .term = 1, .index = 1, .time = 5ms }, submitCommand("r1", 0));
    state.apply({ .term = 1, .index = 2, .time = 3ms }, promoteCommand("r2", 7, 1));
    const auto audit = state.snapshot().audit;
    ASSERT_EQ(audit.size(), 2U);
    EXPECT_TRUE(audit[0].accepted);
    EXPECT_EQ(audit[1].reason, "revision-conflict");
    EXPECT_EQ(audit[1].time, 5ms);
}

/// Compares the state after random submits, promotions and resends with a reference model.
RC_GTEST_PROP(ControlState, MatchesAReferenceModel, ())
{
    ControlState state;
    std::map<std::string, ControlResult> resultsByKey;
    std::uint64_t trialRevision = 0;
    std::uint64_t productionRevision = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int index = 1; index <= steps; ++index) {
        const std::string id = std::to_string(*rc::gen::inRange(0, 40));
        const auto expected = *rc::gen::inRange<std::uint64_t>(0, trialRevision + 2);
        const bool isSubmit = *rc::gen::arbitrary<bool>();
        ControlCommand command = promoteCommand("p" + id, expected, trialRevision);
        if (isSubmit)
            command = submitCommand("s" + id, expected, "text" + id);
        const LogPosition position{ .term = 1, .index = static_cast<std::uint64_t>(index) };
        const ControlResult result = state.apply(position, command);
        const std::string key = (isSubmit ? "s" : "p") + id;
        if (const auto previous = resultsByKey.find(key); previous != resultsByKey.end()) {
            RC_ASSERT(result == previous->second || result.reason == "request-id-reused");
            continue;
        }
        resultsByKey[key] = result;
        const bool mustAccept = isSubmit ? expected == trialRevision
                                         : expected == productionRevision && trialRevision > 0;
        RC_ASSERT(result.accepted == mustAccept);
        if (mustAccept && isSubmit)
            ++trialRevision;
        else if (mustAccept)
            productionRevision = trialRevision;
        RC_ASSERT(result.revision >= productionRevision || !result.accepted);
    }
    const auto stored = state.read({ .environment = "e", .stage = Stage::production });
    RC_ASSERT(stored.revision == productionRevision);
}

TEST(ControlState, KeepsTheTextWithTheHighestNumber)
{
    ControlState state;
    const auto put = [&](std::uint64_t index, std::uint64_t number, const std::string &text) {
        return state.apply(
                { .term = 1, .index = index },
                PutNumberedText{ .text = { .name = "d", .number = number, .text = text } });
    };
    EXPECT_TRUE(put(1, 4, "four").accepted);
    EXPECT_EQ(put(2, 3, "three").revision, 4U);
    EXPECT_EQ(put(3, 4, "other four").revision, 4U);
    EXPECT_EQ(state.query(ReadNumberedText{ .name = "d" })->text, "four");
    EXPECT_EQ(state.operatorState().index, 1U);
    EXPECT_EQ(put(4, 9, "nine").revision, 9U);
    EXPECT_EQ(state.operatorState().index, 4U);
    EXPECT_FALSE(state.query(ReadNumberedText{ .name = "none" })->accepted);
    ControlState restored;
    restored.restore(*decode<ControlSnapshot>(encode(state.snapshot())));
    EXPECT_EQ(restored.operatorState(), state.operatorState());
}

TEST(ControlState, TakingAZoneOutIsIdempotentAndReversible)
{
    ControlState state;
    state.apply({ .term = 1, .index = 1 }, SetZoneOut{ .zone = "a", .isOut = true });
    state.apply({ .term = 1, .index = 2 }, SetZoneOut{ .zone = "a", .isOut = true });
    EXPECT_EQ(state.operatorState().zonesOut, std::vector<std::string>{ "a" });
    EXPECT_EQ(state.operatorState().index, 1U);
    state.apply({ .term = 1, .index = 3 }, SetZoneOut{ .zone = "a", .isOut = false });
    EXPECT_TRUE(state.operatorState().zonesOut.empty());
}

// Guards against an old copy of an evacuation order that is carried out after a newer order.
TEST(ControlState, AnOrderThatIsOlderThanTheZonesLastChangeIsRefused)
{
    ControlState state;
    const auto order = [&](std::uint64_t index, bool isOut, std::uint64_t knownIndex) {
        return state.apply(
                { .term = 1, .index = index },
                ChangeZoneService{ .zone = "a", .isOut = isOut, .knownIndex = knownIndex });
    };
    EXPECT_TRUE(order(1, true, 0).accepted);
    EXPECT_TRUE(order(2, false, 1).accepted);
    EXPECT_TRUE(order(3, true, 2).accepted);
    EXPECT_EQ(order(4, false, 1).reason, kOutdatedOrder) << "the copy was read before index 2";
    EXPECT_EQ(state.operatorState().zonesOut, std::vector<std::string>{ "a" });
    EXPECT_TRUE(order(5, true, 0).accepted) << "a resend of the order in force is acknowledged";
    EXPECT_EQ(state.operatorState().index, 3U);
    ControlState restored;
    restored.restore(*decodeSnapshot(encode(state.snapshot())));
    EXPECT_EQ(restored.apply({ .term = 1, .index = 6 },
                             ChangeZoneService{ .zone = "a", .isOut = false, .knownIndex = 2 })
                      .reason,
              kOutdatedOrder);
    EXPECT_TRUE(restored.apply({ .term = 1, .index = 7 },
                               ChangeZoneService{ .zone = "a", .isOut = false, .knownIndex = 3 })
                        .accepted);
}

// Guards against snapshots of the release before, which end without the changes of zones.
TEST(ControlState, ReadsSnapshotsWithoutChangesOfZones)
{
    ControlState state;
    state.apply({ .term = 1, .index = 1 },
                PutNumberedText{ .text = { .name = "d", .number = 4, .text = "four" } });
    std::string bytes = encode(state.snapshot());
    bytes.resize(bytes.size() - sizeof(std::uint32_t));
    const auto snapshot = decodeSnapshot(bytes);
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->operatorState, state.operatorState());
    EXPECT_FALSE(decodeSnapshot(bytes.substr(0, bytes.size() - 1)));
}

// Guards against a document that is accepted and then fits neither into the log nor into a view.
TEST(ControlState, TheLargestDocumentFitsIntoEveryMessageAndRecord)
{
    const NumberedText document{ .name = kDocumentText,
                                 .number = 1,
                                 .text = std::string(kMaxDocumentBytes, 'x') };
    const QuorumEntry entry{ .payload = encode(TimedCommand{
                                     .command = PutNumberedText{ .text = document } }) };
    EXPECT_TRUE(decode<QuorumEntry>(encode(entry)));
    EXPECT_LT(encode(AppendRequest{ .entries = { entry } }).size(), kMaxFrameBytes);
    View view{ .state = { .texts = { document } } };
    const std::string name(kMaxAnnouncedName, 'n');
    constexpr std::size_t recordsInView = 500;
    for (std::size_t i = 0; i < recordsInView; ++i)
        view.upstreams.push_back(
                { .id = name, .service = name, .endpoint = name, .zone = name, .model = name });
    EXPECT_LT(encode(view).size(), kMaxFrameBytes);
}

// Guards against a state that grows without bound with the names of texts and zones.
TEST(ControlState, TooManyNamesAreRefused)
{
    ControlState state;
    std::uint64_t index = 0;
    for (std::size_t i = 0; i < kMaxNames; ++i) {
        const std::string name = "n" + std::to_string(i);
        EXPECT_TRUE(state.apply({ .term = 1, .index = ++index },
                                PutNumberedText{ .text = { .name = name, .number = 1 } })
                            .accepted);
        EXPECT_TRUE(state.apply({ .term = 1, .index = ++index },
                                ChangeZoneService{ .zone = name, .isOut = true })
                            .accepted);
    }
    EXPECT_FALSE(state.apply({ .term = 1, .index = ++index },
                             PutNumberedText{ .text = { .name = "x", .number = 1 } })
                         .accepted);
    EXPECT_FALSE(state.apply({ .term = 1, .index = ++index },
                             ChangeZoneService{ .zone = "x", .isOut = true })
                         .accepted);
    EXPECT_TRUE(state.apply({ .term = 1, .index = ++index },
                            PutNumberedText{ .text = { .name = "n0", .number = 2 } })
                        .accepted);
}
