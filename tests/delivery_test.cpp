#include "delivery.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

DeliveryFacts atMostOnceTraits()
{
    return { .maxAttempts = 1, .deadline = kStart + 1s };
}

DeliveryFacts resumableStreamTraits()
{
    return { .isStream = true, .isResumable = true, .maxAttempts = 2, .deadline = kStart + 6s };
}

} // namespace

TEST(Delivery, ActionThatMayHaveRunIsNeverReportedAsNotRun)
{
    Delivery delivery(atMostOnceTraits());
    delivery.onSend("a");
    const Verdict verdict = delivery.onBroken("reset", kStart);
    EXPECT_EQ(verdict.step, NextStep::answer);
    EXPECT_EQ(verdict.status, 502);
    EXPECT_FALSE(verdict.notRun);
}

TEST(Delivery, UnsentActionIsRetriedElsewhereOrRefused)
{
    Delivery delivery(atMostOnceTraits());
    delivery.onSend("a");
    EXPECT_EQ(delivery.onNotRun("connect", false, kStart).step, NextStep::choose);
    const Verdict verdict = delivery.onNoUpstream("busy");
    EXPECT_EQ(verdict.status, 503);
    EXPECT_TRUE(verdict.notRun);
}

TEST(Delivery, RefusalByTheUpstreamCountsAsAnAttempt)
{
    Delivery delivery(atMostOnceTraits());
    delivery.onSend("a");
    const Verdict verdict = delivery.onNotRun("full", true, kStart);
    EXPECT_EQ(verdict.status, 503);
    EXPECT_TRUE(verdict.notRun);
}

TEST(Delivery, BrokenStreamIsResumedUpToMaxAttemptsThenClosed)
{
    Delivery delivery(resumableStreamTraits());
    delivery.onSend("a");
    delivery.onPassed();
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::resume);
    delivery.onSend("b");
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::cut);
}

TEST(Delivery, ResumedStreamHasNotBegunUntilItsUpstreamResponds)
{
    // The gateway cancels an attempt that is still queued when its weights expire.
    Delivery delivery(resumableStreamTraits());
    delivery.onSend("a");
    EXPECT_FALSE(delivery.hasBegun());
    delivery.onPassed();
    EXPECT_TRUE(delivery.hasBegun());
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::resume);
    delivery.onSend("b");
    EXPECT_TRUE(delivery.hasPassedOn());
    EXPECT_FALSE(delivery.hasBegun());
}

TEST(Delivery, StreamThatMayNotBeResumedIsClosed)
{
    Delivery delivery({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onBroken("reset", kStart).step, NextStep::answer);
    Delivery partlyForwarded({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    partlyForwarded.onSend("a");
    partlyForwarded.onPassed();
    EXPECT_EQ(partlyForwarded.onBroken("reset", kStart).step, NextStep::cut);
}

TEST(Delivery, DeadlineStatusDependsOnWhetherAnAttemptMayHaveRun)
{
    Delivery unsent(atMostOnceTraits());
    EXPECT_EQ(unsent.onDeadline().status, 503);
    Delivery sent(atMostOnceTraits());
    sent.onSend("a");
    EXPECT_EQ(sent.onDeadline().status, 504);
}

TEST(Delivery, ServerErrorOfAnIdempotentRequestIsRetriedOnce)
{
    Delivery delivery({ .isRepeatable = true, .maxAttempts = 2, .deadline = kStart + 1s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onFailureStatus(500, kStart).step, NextStep::choose);
    delivery.onSend("b");
    EXPECT_EQ(delivery.onFailureStatus(500, kStart).step, NextStep::wait);
}

TEST(Delivery, NoAttemptStartsShortlyBeforeTheDeadline)
{
    Delivery delivery({ .isRepeatable = true, .maxAttempts = 2, .deadline = kStart + 1s });
    delivery.onSend("a");
    EXPECT_EQ(delivery.onBroken("reset", kStart + 990ms).step, NextStep::answer);
}

/// Checks random event orders against an oracle that knows only which attempts
/// may have been executed.
TEST(Delivery, FuzzedLifecyclesKeepTheirGuarantees)
{
    fuzz([] {
        const bool isStream = *rc::gen::arbitrary<bool>();
        const DeliveryFacts traits{ .isRepeatable = !isStream && *rc::gen::arbitrary<bool>(),
                                    .isStream = isStream,
                                    .isResumable = isStream && *rc::gen::arbitrary<bool>(),
                                    .maxAttempts = *rc::gen::inRange(1U, 4U),
                                    .deadline = kStart + 1s };
        const bool mayRunAgain = traits.isStream ? traits.isResumable : traits.isRepeatable;
        Delivery delivery(traits);
        TimePoint now = kStart;
        std::uint32_t runs = 0;
        std::uint32_t sent = 0;
        bool forwarded = false;
        Verdict verdict{ .step = NextStep::choose };
        for (int step = 0; step < 40 && !delivery.isOver(); ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            if (verdict.step == NextStep::choose || verdict.step == NextStep::resume) {
                RC_ASSERT(verdict.step == NextStep::resume || !forwarded);
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
                    forwarded = true;
                    delivery.onPassed();
                }
                break;
            default:
                if (now >= traits.deadline)
                    verdict = delivery.onDeadline();
                break;
            }
            RC_ASSERT(sent <= traits.maxAttempts);
            RC_ASSERT(mayRunAgain || runs <= 1);
            if (verdict.step == NextStep::answer) {
                RC_ASSERT(!forwarded);
                RC_ASSERT(!verdict.notRun || runs == 0);
                RC_ASSERT(verdict.notRun == (verdict.status == 503));
            }
        }
    });
}
