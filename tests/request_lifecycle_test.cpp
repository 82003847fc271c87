#include "request_lifecycle.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

RequestTraits onceFacts()
{
    return { .maxAttempts = 1, .deadline = kStart + 1s };
}

RequestTraits streamFacts()
{
    return { .isStream = true, .isResumable = true, .maxAttempts = 2, .deadline = kStart + 6s };
}

} // namespace

TEST(RequestLifecycle, AnActionThatMayHaveRunIsNeverRefusedAsNotRun)
{
    RequestLifecycle lifecycle(onceFacts());
    lifecycle.onSend("a");
    const LifecycleDecision decision = lifecycle.onAttemptBroken("reset", kStart);
    EXPECT_EQ(decision.step, NextStep::answer);
    EXPECT_EQ(decision.status, 502);
    EXPECT_FALSE(decision.notRun);
}

TEST(RequestLifecycle, AnActionWhoseBytesNeverLeftGoesElsewhereOrIsRefused)
{
    RequestLifecycle lifecycle(onceFacts());
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptNotRun("connect", false, kStart).step, NextStep::choose);
    const LifecycleDecision decision = lifecycle.onNoUpstream("busy");
    EXPECT_EQ(decision.status, 503);
    EXPECT_TRUE(decision.notRun);
}

TEST(RequestLifecycle, ARefusalByTheUpstreamUsesUpAnAttempt)
{
    RequestLifecycle lifecycle(onceFacts());
    lifecycle.onSend("a");
    const LifecycleDecision decision = lifecycle.onAttemptNotRun("full", true, kStart);
    EXPECT_EQ(decision.status, 503);
    EXPECT_TRUE(decision.notRun);
}

TEST(RequestLifecycle, ABrokenStreamIsResumedOnceAndThenCut)
{
    RequestLifecycle lifecycle(streamFacts());
    lifecycle.onSend("a");
    lifecycle.onForwarded();
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::resume);
    lifecycle.onSend("b");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::closeConnection);
}

TEST(RequestLifecycle, AResumedStreamHasNotBegunUntilItsUpstreamGivesAPart)
{
    // One that waits in a queue while its weights run out of time is taken back.
    RequestLifecycle lifecycle(streamFacts());
    lifecycle.onSend("a");
    EXPECT_FALSE(lifecycle.hasBegun());
    lifecycle.onForwarded();
    EXPECT_TRUE(lifecycle.hasBegun());
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::resume);
    lifecycle.onSend("b");
    EXPECT_TRUE(lifecycle.hasForwarded());
    EXPECT_FALSE(lifecycle.hasBegun());
}

TEST(RequestLifecycle, AStreamThatMayNotBeResumedIsCutInTheClientsSight)
{
    RequestLifecycle lifecycle({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart).step, NextStep::answer);
    RequestLifecycle seen({ .isStream = true, .maxAttempts = 2, .deadline = kStart + 6s });
    seen.onSend("a");
    seen.onForwarded();
    EXPECT_EQ(seen.onAttemptBroken("reset", kStart).step, NextStep::closeConnection);
}

TEST(RequestLifecycle, TheDeadlineTellsWhetherAnythingCanHaveRun)
{
    RequestLifecycle waiting(onceFacts());
    EXPECT_EQ(waiting.onDeadline().status, 503);
    RequestLifecycle sent(onceFacts());
    sent.onSend("a");
    EXPECT_EQ(sent.onDeadline().status, 504);
}

TEST(RequestLifecycle, AServersFailureOfARepeatableRequestIsTriedOnceMore)
{
    RequestLifecycle lifecycle({ .isIdempotent = true, .maxAttempts = 2, .deadline = kStart + 1s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onFailureStatus(500, kStart).step, NextStep::choose);
    lifecycle.onSend("b");
    EXPECT_EQ(lifecycle.onFailureStatus(500, kStart).step, NextStep::wait);
}

TEST(RequestLifecycle, NoTimeLeftMeansNoFurtherAttempt)
{
    RequestLifecycle lifecycle({ .isIdempotent = true, .maxAttempts = 2, .deadline = kStart + 1s });
    lifecycle.onSend("a");
    EXPECT_EQ(lifecycle.onAttemptBroken("reset", kStart + 990ms).step, NextStep::answer);
}

/// Plays any order of events against what upstreams have seen: an oracle that
/// knows only which attempts may have run.
TEST(RequestLifecycle, FuzzedLivesKeepTheirPromises)
{
    fuzz([] {
        const bool isStream = *rc::gen::arbitrary<bool>();
        const RequestTraits facts{ .isIdempotent = !isStream && *rc::gen::arbitrary<bool>(),
                                   .isStream = isStream,
                                   .isResumable = isStream && *rc::gen::arbitrary<bool>(),
                                   .maxAttempts = *rc::gen::inRange(1U, 4U),
                                   .deadline = kStart + 1s };
        const bool mayRepeat = facts.isStream ? facts.isResumable : facts.isIdempotent;
        RequestLifecycle lifecycle(facts);
        TimePoint now = kStart;
        std::uint32_t runs = 0;
        std::uint32_t sent = 0;
        bool passedOn = false;
        LifecycleDecision decision{ .step = NextStep::choose };
        for (int step = 0; step < 40 && !lifecycle.isOver(); ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            if (decision.step == NextStep::choose || decision.step == NextStep::resume) {
                RC_ASSERT(decision.step == NextStep::resume || !passedOn);
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
                ++sent;
                decision = lifecycle.onAttemptNotRun("refused", true, now);
                break;
            case 2:
                ++sent;
                ++runs;
                decision = lifecycle.onAttemptBroken("broke", now);
                break;
            case 3:
                if (isStream) {
                    passedOn = true;
                    lifecycle.onForwarded();
                }
                break;
            default:
                if (now >= facts.deadline)
                    decision = lifecycle.onDeadline();
                break;
            }
            RC_ASSERT(sent <= facts.maxAttempts);
            RC_ASSERT(mayRepeat || runs <= 1);
            if (decision.step == NextStep::answer) {
                RC_ASSERT(!passedOn);
                RC_ASSERT(!decision.notRun || runs == 0);
                RC_ASSERT(decision.notRun == (decision.status == 503));
            }
        }
    });
}
