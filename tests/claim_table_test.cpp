#include "claim_table.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr Milliseconds kStart = 480000h;

OpenClaim openAt(Milliseconds time, const std::string &key, const std::string &proposer = "entry-a")
{
    return OpenClaim{ .claimId = "customer/" + key,
                      .opener = proposer + "/" + key,
                      .bodyDigest = "digest",
                      .openedAt = time,
                      .proposer = proposer };
}

FinishClaim doneAt(std::uint64_t fence, const std::string &key)
{
    return FinishClaim{ .claimId = "customer/" + key,
                        .fence = fence,
                        .state = ClaimState::done,
                        .answer = StoredAnswer{ .status = 201, .body = "run" } };
}

/// Advances the table's time with commands of two instances.
void advanceTime(ClaimTable &table, Milliseconds time)
{
    table.open(1000, openAt(time, "time-a", "entry-a"));
    table.open(1001, openAt(time, "time-b", "entry-b"));
}

} // namespace

TEST(ClaimTable, AcceptsAResendAndRefusesAnotherOpenerWithTheCurrentClaim)
{
    ClaimTable table;
    EXPECT_TRUE(table.open(1, openAt(kStart, "k")).accepted);
    EXPECT_TRUE(table.open(2, openAt(kStart, "k")).accepted);
    const ControlResult other = table.open(3, openAt(kStart, "k", "entry-b"));
    EXPECT_FALSE(other.accepted);
    EXPECT_EQ(other.claim->fence, 1U);
}

TEST(ClaimTable, RefusesAResendOfAFinishedClaim)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    table.finish(doneAt(1, "k"));
    const ControlResult late = table.open(2, openAt(kStart, "k"));
    EXPECT_FALSE(late.accepted);
    EXPECT_EQ(late.claim->answer->body, "run");
}

TEST(ClaimTable, ResolvesUnknownButNeverChangesAFinalState)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    table.finish({ .claimId = "customer/k", .fence = 1, .state = ClaimState::unknown });
    EXPECT_TRUE(table.finish(doneAt(1, "k")).accepted);
    const ControlResult late =
            table.finish({ .claimId = "customer/k", .fence = 1, .state = ClaimState::closed });
    EXPECT_FALSE(late.accepted);
    EXPECT_EQ(late.claim->state, ClaimState::done);
}

TEST(ClaimTable, KeepsKeysOfTwoCustomersApart)
{
    ClaimTable table;
    OpenClaim other = openAt(kStart, "k");
    other.claimId = "second/k";
    EXPECT_TRUE(table.open(1, openAt(kStart, "k")).accepted);
    EXPECT_TRUE(table.open(2, other).accepted);
}

TEST(ClaimTable, KeepsTheAnswerForItsRetention)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    table.finish(doneAt(1, "k"));
    advanceTime(table, kStart + 23h);
    EXPECT_TRUE(table.open(2, openAt(kStart + 23h, "k")).claim->answer);
}

TEST(ClaimTable, ExpiresAnswersThenKeysByTheSecondLatestClock)
{
    ClaimTable table(ClaimTableOptions{ .answerRetention = 1h });
    table.open(1, openAt(kStart, "k"));
    table.finish(doneAt(1, "k"));
    // A single wrong clock doesn't advance the table's time.
    table.open(2, openAt(kStart + 10000h, "x", "entry-wrong"));
    EXPECT_TRUE(table.open(3, openAt(kStart, "k")).claim->answer);
    advanceTime(table, kStart + 2h);
    const ControlResult afterHours = table.open(4, openAt(kStart + 2h, "k"));
    EXPECT_EQ(afterHours.claim->state, ClaimState::done);
    EXPECT_FALSE(afterHours.claim->answer);
    advanceTime(table, kStart + 49h);
    EXPECT_TRUE(table.open(5, openAt(kStart + 49h, "k")).accepted);
}

TEST(ClaimTable, RefusesALateCopyAfterTheKeyHasExpired)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    table.finish(doneAt(1, "k"));
    advanceTime(table, kStart + 49h);
    EXPECT_EQ(table.open(5, openAt(kStart, "k")).reason, "claim-too-late");
}

TEST(ClaimTable, KeepsAnOpenClaimLongerThanAClosedOne)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    advanceTime(table, kStart + 49h);
    EXPECT_FALSE(table.open(2, openAt(kStart + 49h, "k", "entry-b")).accepted);
}

TEST(ClaimTable, RefusesNewKeysAtTheTableAndCustomerLimits)
{
    ClaimTable table({ .maxClaims = 3, .maxCustomerClaims = 2 });
    EXPECT_TRUE(table.open(1, openAt(kStart, "a")).accepted);
    EXPECT_TRUE(table.open(2, openAt(kStart, "b")).accepted);
    EXPECT_EQ(table.open(3, openAt(kStart, "c")).reason, "customer-claims-full");
    EXPECT_FALSE(table.open(4, openAt(kStart, "a", "entry-b")).accepted);
    OpenClaim other = openAt(kStart, "k");
    other.claimId = "second/k";
    EXPECT_TRUE(table.open(5, other).accepted);
    other.claimId = "third/k";
    EXPECT_EQ(table.open(6, other).reason, "claims-full");
}

TEST(ClaimTable, WithdrawsAKeyPermanently)
{
    ClaimTable table;
    OpenClaim withdrawal = openAt(kStart, "k");
    withdrawal.withdraw = true;
    EXPECT_EQ(table.open(1, withdrawal).claim->state, ClaimState::withdrawn);
    const ControlResult late = table.open(2, openAt(kStart, "k", "entry-b"));
    EXPECT_FALSE(late.accepted);
    EXPECT_EQ(late.claim->state, ClaimState::withdrawn);
}

TEST(ClaimTable, BehavesTheSameAfterARestoreFromASnapshot)
{
    ClaimTable table;
    table.open(1, openAt(kStart, "k"));
    table.open(2, openAt(kStart + 1h, "l", "entry-b"));
    table.finish(doneAt(1, "k"));
    ClaimTable restored;
    restored.restore(table.snapshot());
    for (const Milliseconds step : { 2h, 30h, 49h, 300h }) {
        advanceTime(table, kStart + step);
        advanceTime(restored, kStart + step);
        EXPECT_EQ(encode(table.snapshot()), encode(restored.snapshot()));
    }
}
