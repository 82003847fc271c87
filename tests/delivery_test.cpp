#include "delivery.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

DeliveryFacts onceFacts()
{
    return { .maxAttempts = 1, .deadline = kStart + 1s };
}

DeliveryFacts streamFacts()
{
    return { .isStream = true, .isResumable = true, .maxAttempts = 2, .deadline = kStart + 6s };
}

} // namespace

TEST(Delivery, AnActionThatMayHaveRunIsNeverRefusedAsNotRun)
{
    Delivery delivery(onceFacts());
    delivery.onSend("a");
    const Verdict verdict = delivery.onBroken("reset", kStart);
    EXPECT_EQ(verdict.step, NextStep::answer);
    EXPECT_EQ(verdict.status, 502);
    EXPECT_FALSE(verdict.notRun);
}

TEST(Delivery, AnActionWhoseBytesNeverLeftGoesElsewhereOrIsRefused)
{
    Delivery delivery(onceFacts());
    delivery.onSend("a");
    EXPECT_EQ(delivery.onNotRun("connect", false, kStart).step, NextStep::choose);
    const Verdict verdict = delivery.onNoUpstream("busy");
    EXPECT_EQ(verdict.status, 503);
    EXPECT_TRUE(verdict.notRun);
}

TEST(Delivery, ARefusalByTheUpstreamUsesUpAnAttempt)
{
    Delivery delivery(onceFacts());
    delivery.onSend("a");
    const Verdict verdict = delivery.onNotRun("full", true, kStart);
    EXPECT_EQ(verdict.status, 503);
    EXPECT_TRUE(verdict.notRun);
}

TEST(Delivery, ABrokenStreamIsResumedOnceAndThenCut)
{
    Delivery delivery(streamFacts());
    delivery.onSend("a");
    delivery.onPassed();
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::resume);
    delivery.onSend("b");
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::cut);
}

TEST(Delivery, AResumedStreamHasNotBegunUntilItsUpstreamGivesAPart)
{
    // One that waits in a queue while its weights run out of time is taken back.
    Delivery delivery(streamFacts());
    delivery.onSend("a");
    EXPECT_FALSE(delivery.hasBegun());
    delivery.onPassed();
    EXPECT_TRUE(delivery.hasBegun());
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::resume);
    delivery.onSend("b");
    EXPECT_TRUE(delivery.hasPassedOn());
    EXPECT_FALSE(delivery.hasBegun());
}

TEST(Delivery, AStreamThatMayNotBeResumedIsCutInTheClientsSight)
{
    Delivery delivery({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::answer);
    Delivery seen({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    seen.onSend("a");
    seen.onPassed();
    EXPECT_EQ(seen.onBroken("reset", kStart).step, NextStep::cut);
}

TEST(Delivery, TheDeadlineTellsWhetherAnythingCanHaveRun)
{
    Delivery waiting(onceFacts());
    EXPECT_EQ(waiting.onDeadline().status, 503);
    Delivery sent(onceFacts());
    sent.onSend("a");
    EXPECT_EQ(sent.onDeadline().status, 504);
}

TEST(Delivery, AServersFailureOfARepeatableRequestIsTriedOnceMore)
{
    Delivery delivery({ .isRepeatable = true, .maxAttempts = 2, .deadline = kStart + 1s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onFailureStatus(500, kStart).step, NextStep::choose);
    delivery.onSend("b");
    EXPECT_EQ(delivery.onFailureStatus(500, kStart).step, NextStep::wait);
}

TEST(Delivery, NoTimeLeftMeansNoFurtherAttempt)
{
    Delivery delivery({ .isRepeatable = true, .maxAttempts = 2, .deadline = kStart + 1s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onBroken("reset", kStart + 990ms).step, NextStep::answer);
}

/// Plays any order of events against what upstreams have seen: an oracle that
/// knows only which attempts may have run.
TEST(Delivery, FuzzedLivesKeepTheirPromises)
{
    fuzz([] {
        const bool isStream = *rc::gen::arbitrary<bool>();
        const DeliveryFacts facts{ .isRepeatable = !isStream && *rc::gen::arbitrary<bool>(),
                                   .isStream = isStream,
                                   .isResumable = isStream && *rc::gen::arbitrary<bool>(),
                                   .maxAttempts = *rc::gen::inRange(1U, 4U),
                                   .deadline = kStart + 1s };
        const bool mayRepeat = facts.isStream ? facts.isResumable : facts.isRepeatable;
        Delivery delivery(facts);
        TimePoint now = kStart;
        std::uint32_t runs = 0;
        std::uint32_t sent = 0;
        bool passedOn = false;
        Verdict verdict{ .step = NextStep::choose };
        for (int step = 0; step < 40 && !delivery.isOver(); ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            if (verdict.step == NextStep::choose || verdict.step == NextStep::resume) {
                RC_ASSERT(verdict.step == NextStep::resume || !passedOn);
                if (*rc::gen::inRange(0, 6) == 0) {
                    verdict = delivery.onNoUpstream("none");
                    continue;
                }
                delivery.onSend("u" + std::to_string(step));
                verdict = { .step = NextStep::wait };
            }
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                verdict = delivery.onNotRun("unsent", false, now);
                break;
            case 1:
                ++sent;
                verdict = delivery.onNotRun("refused", true, now);
                break;
            case 2:
                ++sent;
                ++runs;
                verdict = delivery.onBroken("broke", now);
                break;
            case 3:
                if (isStream) {
                    passedOn = true;
                    delivery.onPassed();
                }
                break;
            default:
                if (now >= facts.deadline)
                    verdict = delivery.onDeadline();
                break;
            }
            RC_ASSERT(sent <= facts.maxAttempts);
            RC_ASSERT(mayRepeat || runs <= 1);
            if (verdict.step == NextStep::answer) {
                RC_ASSERT(!passedOn);
                RC_ASSERT(!verdict.notRun || runs == 0);
                RC_ASSERT(verdict.notRun == (verdict.status == 503));
            }
        }
    });
}
