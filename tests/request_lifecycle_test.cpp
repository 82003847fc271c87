#include "request_lifecycle.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

RequestTraits atMostOnceTraits()
{
    return { .maxAttempts = 1, .deadline = kStart + 1s };
}

RequestTraits resumableStreamTraits()
{
    return { .isStream = true, .isResumable = true, .maxAttempts = 2, .deadline = kStart + 6s };
}

} // namespace

TEST(RequestLifecycle, AtMostOnceRequestThatMayHaveRunIsNeverReportedAsNotRun)
{
    RequestLifecycle lifecycle(atMostOnceTraits());
    lifecycle.onSend("a");
    const LifecycleDecision decision = lifecycle.onAttemptBroken("reset", kStart);
    EXPECT_EQ(decision.step, NextStep::answer);
    EXPECT_EQ(decision.status, 502);
    EXPECT_FALSE(decision.notRun);
}

TEST(RequestLifecycle, UnsentAtMostOnceRequestIsRetriedOrRefused)
{
    RequestLifecycle lifecycle(atMostOnceTraits());
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptNotRun("connect", false, kStart).step, NextStep::choose);
    const LifecycleDecision decision = lifecycle.onNoUpstream("busy");
    EXPECT_EQ(decision.status, 503);
    EXPECT_TRUE(decision.notRun);
}

TEST(RequestLifecycle, RefusalByTheUpstreamCountsAsAnAttempt)
{
    RequestLifecycle lifecycle(atMostOnceTraits());
    lifecycle.onSend("a");
    const LifecycleDecision decision = lifecycle.onAttemptNotRun("full", true, kStart);
    EXPECT_EQ(decision.status, 503);
    EXPECT_TRUE(decision.notRun);
}

TEST(RequestLifecycle, BrokenStreamIsResumedUpToMaxAttemptsThenClosed)
{
    RequestLifecycle lifecycle(resumableStreamTraits());
    lifecycle.onSend("a");
    lifecycle.onForwarded();
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::resume);
    lifecycle.onSend("b");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::closeConnection);
}

TEST(RequestLifecycle, ResumedStreamHasNotBegunUntilItsUpstreamResponds)
{
    // When an engine's weights expire, the gateway cancels the attempts that are still queued
    // at the engine, that is, the attempts whose response has not begun.
    RequestLifecycle lifecycle(resumableStreamTraits());
    lifecycle.onSend("a");
    EXPECT_FALSE(lifecycle.hasResponseBegun());
    lifecycle.onForwarded();
    EXPECT_TRUE(lifecycle.hasResponseBegun());
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::resume);
    lifecycle.onSend("b");
    EXPECT_TRUE(lifecycle.hasForwarded());
    EXPECT_FALSE(lifecycle.hasResponseBegun());
}

TEST(RequestLifecycle, NonResumableStreamIsClosedOnceForwarded)
{
    RequestLifecycle lifecycle({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::answer);
    RequestLifecycle partlyForwarded(
            { .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    partlyForwarded.onSend("a");
    partlyForwarded.onForwarded();
    EXPECT_EQ(partlyForwarded.onAttemptBroken("reset", kStart).step, NextStep::closeConnection);
}

TEST(RequestLifecycle, DeadlineStatusDependsOnWhetherAnAttemptMayHaveRun)
{
    RequestLifecycle unsent(atMostOnceTraits());
    EXPECT_EQ(unsent.onDeadline().status, 503);
    RequestLifecycle sent(atMostOnceTraits());
    sent.onSend("a");
    EXPECT_EQ(sent.onDeadline().status, 504);
}

TEST(RequestLifecycle, ServerErrorOfAnIdempotentRequestIsRetriedOnce)
{
    RequestLifecycle lifecycle({ .isIdempotent = true, .maxAttempts = 2, .deadline = kStart + 1s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onFailureStatus(500, kStart).step, NextStep::choose);
    lifecycle.onSend("b");
    EXPECT_EQ(lifecycle.onFailureStatus(500, kStart).step, NextStep::wait);
}

TEST(RequestLifecycle, NoAttemptStartsShortlyBeforeTheDeadline)
{
    RequestLifecycle lifecycle({ .isIdempotent = true, .maxAttempts = 2, .deadline = kStart + 1s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart + 990ms).step, NextStep::answer);
}

/// Checks random sequences of events against an oracle that knows only which attempts
/// may have been executed.
TEST(RequestLifecycle, FuzzedEventsNeverBreakTheExecutionGuarantees)
{
    fuzz([] {
        const bool isStream = *rc::gen::arbitrary<bool>();
        const RequestTraits traits{ .isIdempotent = !isStream && *rc::gen::arbitrary<bool>(),
                                    .isStream = isStream,
                                    .isResumable = isStream && *rc::gen::arbitrary<bool>(),
                                    .maxAttempts = *rc::gen::inRange(1U, 4U),
                                    .deadline = kStart + 1s };
        const bool mayRunAgain = traits.isStream ? traits.isResumable : traits.isIdempotent;
        RequestLifecycle lifecycle(traits);
        TimePoint now = kStart;
        std::uint32_t possibleExecutionCount = 0;
        std::uint32_t sentAttemptCount = 0;
        bool forwarded = false;
        LifecycleDecision decision{ .step = NextStep::choose };
        for (int step = 0; step < 40 && !lifecycle.isOver(); ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            if (decision.step == NextStep::choose || decision.step == NextStep::resume) {
                RC_ASSERT(decision.step == NextStep::resume || !forwarded);
                if (*rc::gen::inRange(0, 6) == 0) {
                    decision = lifecycle.onNoUpstream("none");
                    continue;
                }
                lifecycle.onSend("u" + std::to_string(step));
                decision = { .step = NextStep::wait };
            }
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                decision = lifecycle.onAttemptNotRun("unsent", false, now);
                break;
            case 1:
                ++sentAttemptCount;
                decision = lifecycle.onAttemptNotRun("refused", true, now);
                break;
            case 2:
                ++sentAttemptCount;
                ++possibleExecutionCount;
                decision = lifecycle.onAttemptBroken("broke", now);
                break;
            case 3:
                if (isStream) {
                    forwarded = true;
                    lifecycle.onForwarded();
                }
                break;
            default:
                if (now >= traits.deadline)
                    decision = lifecycle.onDeadline();
                break;
            }
            RC_ASSERT(sentAttemptCount <= traits.maxAttempts);
            RC_ASSERT(mayRunAgain || possibleExecutionCount <= 1);
            if (decision.step == NextStep::answer) {
                RC_ASSERT(!forwarded);
                RC_ASSERT(!decision.notRun || possibleExecutionCount == 0);
                RC_ASSERT(decision.notRun == (decision.status == 503));
            }
        }
    });
}
