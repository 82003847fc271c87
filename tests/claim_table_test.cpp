#include "claim_table.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr Milliseconds kStartTime = 480000h;

OpenClaim openCommand(Milliseconds time, const std::string &key,
                      const std::string &proposer = "entry-a")
{
    return OpenClaim{ .claimId = "customer/" + key,
                      .opener = proposer + "/" + key,
                      .bodyDigest = "digest",
                      .openedAt = time,
                      .proposer = proposer };
}

FinishClaim finishCommand(std::uint64_t fence, const std::string &key)
{
    return FinishClaim{ .claimId = "customer/" + key,
                        .fence = fence,
                        .state = ClaimState::done,
                        .answer = StoredAnswer{ .status = 201, .body = "run" } };
}

/// Advances the table's time by commands from two instances.
void advanceTime(ClaimTable &table, Milliseconds time)
{
    table.open(1000, openCommand(time, "time-a", "entry-a"));
    table.open(1001, openCommand(time, "time-b", "entry-b"));
}

} // namespace

TEST(ClaimTable, AcceptsAResendAndRefusesAnotherOpenerWithTheCurrentClaim)
{
    ClaimTable table;
    EXPECT_TRUE(table.open(1, openCommand(kStartTime, "k")).accepted);
    EXPECT_TRUE(table.open(2, openCommand(kStartTime, "k")).accepted);
    const ControlResult other = table.open(3, openCommand(kStartTime, "k", "entry-b"));
    EXPECT_FALSE(other.accepted);
    EXPECT_EQ(other.claim->fence, 1U);
}

TEST(ClaimTable, RefusesAResendOfAFinishedClaim)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    table.finish(finishCommand(1, "k"));
    const ControlResult lateResult = table.open(2, openCommand(kStartTime, "k"));
    EXPECT_FALSE(lateResult.accepted);
    EXPECT_EQ(lateResult.claim->answer->body, "run");
}

TEST(ClaimTable, ResolvesUnknownButNeverChangesAFinalState)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    table.finish({ .claimId = "customer/k", .fence = 1, .state = ClaimState::unknown });
    EXPECT_TRUE(table.finish(finishCommand(1, "k")).accepted);
    const ControlResult lateResult =
            table.finish({ .claimId = "customer/k", .fence = 1, .state = ClaimState::closed });
    EXPECT_FALSE(lateResult.accepted);
    EXPECT_EQ(lateResult.claim->state, ClaimState::done);
}

TEST(ClaimTable, KeepsKeysOfTwoCustomersApart)
{
    ClaimTable table;
    OpenClaim other = openCommand(kStartTime, "k");
    other.claimId = "second/k";
    EXPECT_TRUE(table.open(1, openCommand(kStartTime, "k")).accepted);
    EXPECT_TRUE(table.open(2, other).accepted);
}

TEST(ClaimTable, KeepsTheAnswerForItsRetention)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    table.finish(finishCommand(1, "k"));
    advanceTime(table, kStartTime + 23h);
    EXPECT_TRUE(table.open(2, openCommand(kStartTime + 23h, "k")).claim->answer);
}

TEST(ClaimTable, ExpiresAnswersThenKeysByTheSecondLatestClock)
{
    ClaimTable table(ClaimTableOptions{ .answerRetention = 1h });
    table.open(1, openCommand(kStartTime, "k"));
    table.finish(finishCommand(1, "k"));
    // A wrong clock of one instance must not advance the table's time.
    table.open(2, openCommand(kStartTime + 10000h, "x", "entry-wrong"));
    EXPECT_TRUE(table.open(3, openCommand(kStartTime, "k")).claim->answer);
    advanceTime(table, kStartTime + 2h);
    const ControlResult afterAnswerExpiry = table.open(4, openCommand(kStartTime + 2h, "k"));
    EXPECT_EQ(afterAnswerExpiry.claim->state, ClaimState::done);
    EXPECT_FALSE(afterAnswerExpiry.claim->answer);
    advanceTime(table, kStartTime + 49h);
    EXPECT_TRUE(table.open(5, openCommand(kStartTime + 49h, "k")).accepted);
}

TEST(ClaimTable, RefusesADelayedCopyAfterTheKeyHasExpired)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    table.finish(finishCommand(1, "k"));
    advanceTime(table, kStartTime + 49h);
    EXPECT_EQ(table.open(5, openCommand(kStartTime, "k")).reason, "claim-too-late");
}

TEST(ClaimTable, KeepsAnOpenClaimLongerThanAFinishedClaim)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    advanceTime(table, kStartTime + 49h);
    EXPECT_FALSE(table.open(2, openCommand(kStartTime + 49h, "k", "entry-b")).accepted);
}

TEST(ClaimTable, RefusesNewKeysAtTheTableAndCustomerLimits)
{
    ClaimTable table({ .maxClaims = 3, .maxCustomerClaims = 2 });
    EXPECT_TRUE(table.open(1, openCommand(kStartTime, "a")).accepted);
    EXPECT_TRUE(table.open(2, openCommand(kStartTime, "b")).accepted);
    EXPECT_EQ(table.open(3, openCommand(kStartTime, "c")).reason, "customer-claims-full");
    EXPECT_FALSE(table.open(4, openCommand(kStartTime, "a", "entry-b")).accepted);
    OpenClaim other = openCommand(kStartTime, "k");
    other.claimId = "second/k";
    EXPECT_TRUE(table.open(5, other).accepted);
    other.claimId = "third/k";
    EXPECT_EQ(table.open(6, other).reason, "claims-full");
}

TEST(ClaimTable, WithdrawsAKeyPermanently)
{
    ClaimTable table;
    OpenClaim withdrawal = openCommand(kStartTime, "k");
    withdrawal.withdraw = true;
    EXPECT_EQ(table.open(1, withdrawal).claim->state, ClaimState::withdrawn);
    const ControlResult lateResult = table.open(2, openCommand(kStartTime, "k", "entry-b"));
    EXPECT_FALSE(lateResult.accepted);
    EXPECT_EQ(lateResult.claim->state, ClaimState::withdrawn);
}

TEST(ClaimTable, BehavesTheSameAfterARestoreFromASnapshot)
{
    ClaimTable table;
    table.open(1, openCommand(kStartTime, "k"));
    table.open(2, openCommand(kStartTime + 1h, "l", "entry-b"));
    table.finish(finishCommand(1, "k"));
    ClaimTable restored;
    restored.restore(table.snapshot());
    for (const Milliseconds step : { 2h, 30h, 49h, 300h }) {
        advanceTime(table, kStartTime + step);
        advanceTime(restored, kStartTime + step);
        EXPECT_EQ(encode(table.snapshot()), encode(restored.snapshot()));
    }
}
