#include "slow_start.h"

#include "outlier.h"
#include "retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

const TimePoint kStart{ 1000s };

/// Reports timely answers until the limit reaches `fullLimit`; returns the number of answers.
int warmUp(SlowStart &slowStart, std::uint32_t fullLimit, Milliseconds firstByte = 50ms)
{
    int answers = 0;
    for (; slowStart.limit() < fullLimit && answers < 10000; ++answers)
        slowStart.onSuccess(slowStart.epoch(), firstByte);
    return answers;
}

} // namespace

TEST(SlowStart, GrowsOnlyWithTimelyAnswers)
{
    SlowStart slowStart({ .fullLimit = 16 });
    EXPECT_EQ(slowStart.limit(), 1U);
    for (int i = 0; i < 7; ++i)
        slowStart.onSuccess(slowStart.epoch(), 50ms);
    EXPECT_EQ(slowStart.limit(), 1U);
    slowStart.onSuccess(slowStart.epoch(), 50ms);
    EXPECT_EQ(slowStart.limit(), 2U);
    EXPECT_EQ(warmUp(slowStart, 16), 14 * 8);
    EXPECT_EQ(slowStart.limit(), 16U);
}

TEST(SlowStart, NewIncarnationIsCold)
{
    SlowStart slowStart({ .fullLimit = 16 });
    slowStart.onIncarnation(7);
    warmUp(slowStart, 16);
    slowStart.onIncarnation(7);
    EXPECT_EQ(slowStart.limit(), 16U);
    const std::uint64_t epochBefore = slowStart.epoch();
    slowStart.onIncarnation(8);
    EXPECT_EQ(slowStart.limit(), 1U);
    // Answers to requests admitted before the restart are ignored.
    for (int i = 0; i < 100; ++i)
        slowStart.onSuccess(epochBefore, 50ms);
    EXPECT_EQ(slowStart.limit(), 1U);
}

TEST(SlowStart, SlowFirstBytesRestartWarmUpWithinAnIncarnation)
{
    SlowStart slowStart({ .fullLimit = 16 });
    warmUp(slowStart, 16);
    slowStart.onSuccess(slowStart.epoch(), 900ms);
    slowStart.onSuccess(slowStart.epoch(), 50ms);
    EXPECT_EQ(slowStart.limit(), 16U);
    for (int i = 0; i < 3; ++i)
        slowStart.onSuccess(slowStart.epoch(), 900ms);
    EXPECT_EQ(slowStart.limit(), 1U);
    // The slow time to first byte becomes the average of the new warm-up.
    EXPECT_EQ(warmUp(slowStart, 16, 900ms), 15 * 8);
}

TEST(SlowStart, LateFirstBytesHalveUntilTheAverageAdapts)
{
    SlowStart slowStart({ .fullLimit = 16 });
    warmUp(slowStart, 16, 30ms);
    // Answers at three times the average time to first byte are late, but not slow.
    for (int i = 0; i < 5; ++i)
        slowStart.onSuccess(slowStart.epoch(), 90ms);
    slowStart.onSuccess(slowStart.epoch(), 30ms);
    EXPECT_EQ(slowStart.limit(), 16U);
    for (int i = 0; i < 6; ++i)
        slowStart.onSuccess(slowStart.epoch(), 90ms);
    EXPECT_EQ(slowStart.limit(), 8U);
    for (int i = 0; i < 6; ++i)
        slowStart.onSuccess(slowStart.epoch(), 90ms);
    EXPECT_EQ(slowStart.limit(), 4U);
    // The average adapts to a lasting slowdown, and the limit recovers.
    EXPECT_LT(warmUp(slowStart, 16, 90ms), 200);
    EXPECT_EQ(slowStart.limit(), 16U);
}

TEST(SlowStart, OverloadFailuresHalveThenRestartWarmUp)
{
    SlowStart slowStart({ .fullLimit = 16 });
    warmUp(slowStart, 16);
    slowStart.onOverloaded(slowStart.epoch());
    EXPECT_EQ(slowStart.limit(), 8U);
    slowStart.onOverloaded(slowStart.epoch());
    slowStart.onOverloaded(slowStart.epoch());
    EXPECT_EQ(slowStart.limit(), 1U);
}

TEST(SlowStart, BrokenAnswersInARowRestartWarmUp)
{
    SlowStart slowStart({ .fullLimit = 16 });
    warmUp(slowStart, 16);
    slowStart.onIncompleteAnswer(slowStart.epoch());
    slowStart.onIncompleteAnswer(slowStart.epoch());
    slowStart.onSuccess(slowStart.epoch(), 50ms);
    slowStart.onIncompleteAnswer(slowStart.epoch());
    EXPECT_EQ(slowStart.limit(), 16U);
    slowStart.onIncompleteAnswer(slowStart.epoch());
    slowStart.onIncompleteAnswer(slowStart.epoch());
    EXPECT_EQ(slowStart.limit(), 1U);
}

/// Oracle: the limit stays within its bounds and grows by one only after at least
/// eight answers of the current warm-up.
RC_GTEST_PROP(SlowStartProperty, GrowsByOneAndOnlyWithTimelyAnswers, ())
{
    const auto fullLimit = *rc::gen::inRange<std::uint32_t>(1, 64);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    SlowStart slowStart({ .fullLimit = fullLimit });
    std::uint32_t answersAtLimit = 0;
    std::uint64_t incarnation = 1;
    slowStart.onIncarnation(incarnation);
    for (const int step : steps) {
        const std::uint32_t limitBefore = slowStart.limit();
        if (step < 80) {
            const bool isOfEarlierWarmUp = step % 10 == 0;
            slowStart.onSuccess(slowStart.epoch() - (isOfEarlierWarmUp ? 1 : 0),
                                Milliseconds(10 + step * 10));
            answersAtLimit += isOfEarlierWarmUp ? 0 : 1;
        } else if (step < 97) {
            slowStart.onOverloaded(slowStart.epoch());
            RC_ASSERT(slowStart.limit() <= limitBefore);
        } else {
            slowStart.onIncarnation(++incarnation);
            RC_ASSERT(slowStart.limit() == 1U);
        }
        RC_ASSERT(slowStart.limit() >= 1U);
        RC_ASSERT(slowStart.limit() <= fullLimit);
        if (slowStart.limit() > limitBefore) {
            RC_ASSERT(answersAtLimit >= 8U);
            RC_ASSERT(slowStart.limit() == limitBefore + 1);
        }
        if (slowStart.limit() != limitBefore)
            answersAtLimit = 0;
    }
}

/// Oracle: retries and hedges never exceed the reserve plus a tenth of the first attempts.
RC_GTEST_PROP(RetryBudgetProperty, ExtraSendsStayWithinATenth, ())
{
    const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    RetryBudget budget({ .ratio = 0.1, .reserve = 2.0 });
    double firstAttempts = 0;
    double retries = 0;
    for (const bool isFirst : steps) {
        if (isFirst) {
            budget.onFirstSend();
            ++firstAttempts;
        } else if (budget.take()) {
            ++retries;
        }
        RC_ASSERT(retries <= 2.0 + 0.1 * firstAttempts + 1e-6);
    }
}

TEST(RetryBudget, EarnsOneExtraSendInTen)
{
    RetryBudget budget({ .ratio = 0.1, .reserve = 0.0 });
    EXPECT_FALSE(budget.take());
    for (int i = 0; i < 11; ++i)
        budget.onFirstSend();
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.take());
}

TEST(Outlier, EjectsAfterFailuresInARowAndBacksOff)
{
    OutlierDetector detector;
    TimePoint now = kStart;
    for (int i = 0; i < 2; ++i)
        detector.onFailure("a", now);
    EXPECT_FALSE(detector.isEjected("a", now));
    detector.onFailure("a", now);
    EXPECT_TRUE(detector.isEjected("a", now));
    EXPECT_FALSE(detector.isEjected("b", now));
    now += 1s;
    EXPECT_FALSE(detector.isEjected("a", now));
    // The first failure after an ejection ejects again at once, for twice as long.
    detector.onFailure("a", now);
    EXPECT_TRUE(detector.isEjected("a", now + 1900ms));
    EXPECT_FALSE(detector.isEjected("a", now + 2s));
    detector.onSuccess("a");
    detector.onFailure("a", now + 3s);
    EXPECT_FALSE(detector.isEjected("a", now + 3s));
}

TEST(Outlier, FailurePenaltyDecays)
{
    OutlierDetector detector;
    detector.onFailure("a", kStart);
    detector.onFailure("a", kStart);
    EXPECT_NEAR(detector.penalty("a", kStart), 2.0, 1e-9);
    EXPECT_NEAR(detector.penalty("a", kStart + 1s), 1.0, 1e-9);
    EXPECT_EQ(detector.penalty("b", kStart), 0.0);
}

TEST(RetryBudget, ChangedBoundsDoNotRefill)
{
    // The bounds change with the number of instances that share the budget.
    RetryBudget budget({ .ratio = 0.1, .reserve = 2.0, .maxBalance = 2.0 });
    EXPECT_TRUE(budget.take());
    EXPECT_TRUE(budget.take());
    budget.setOptions({ .ratio = 0.1, .reserve = 3.0, .maxBalance = 3.0 });
    EXPECT_FALSE(budget.take());
    budget = RetryBudget({ .ratio = 0.1, .reserve = 5.0, .maxBalance = 5.0 });
    budget.setOptions({ .ratio = 0.1, .reserve = 1.0, .maxBalance = 1.0 });
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.take()) << "no more is saved than the new bounds allow";
}
