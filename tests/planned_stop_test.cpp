#include "planned_stop.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kBegin = TimePoint{} + 100s;
constexpr Milliseconds kGrace = 8s;

RequestTraits request(TimePoint deadline, bool isIdempotent = false, bool isStream = false)
{
    return { .isIdempotent = isIdempotent, .isStream = isStream, .deadline = deadline };
}

} // namespace

// Guards against requests that are taken late in the grace period and cut off at its end.
TEST(PlannedStop, ARequestThatMayRunOnceIsAcceptedOnlyIfItsDeadlineFits)
{
    const PlannedStop stop(kBegin, kGrace);
    for (const Milliseconds after : { 0ms, 1000ms, 2999ms }) {
        const TimePoint now = kBegin + after;
        EXPECT_TRUE(stop.accepts(request(now + 4s), now));
        EXPECT_FALSE(stop.accepts(request(kBegin + kGrace), now)) << after.count();
        EXPECT_FALSE(stop.accepts(request(kBegin + kGrace, true, true), now)) << "a stream";
        EXPECT_TRUE(stop.accepts(request(kBegin + 60s, true), now)) << "may be repeated";
    }
    EXPECT_FALSE(stop.accepts(request(kBegin + 3100ms, true), kBegin + 3s));
}

// Guards against requests without an answer when the process ends.
TEST(PlannedStop, EachAnswerIsDueBeforeTheEnd)
{
    for (const Milliseconds grace : { 8000ms, 2000ms, 100ms }) {
        const PlannedStop stop(kBegin, grace);
        EXPECT_LT(stop.endsAt(), kBegin + grace);
        EXPECT_GE(stop.answersDueAt(), kBegin);
        RequestLifecycle lifecycle(request(kBegin + 60s));
        lifecycle.limitDeadline(stop.answersDueAt());
        EXPECT_EQ(lifecycle.deadline(), stop.answersDueAt());
        lifecycle.limitDeadline(kBegin + 90s);
        EXPECT_EQ(lifecycle.deadline(), stop.answersDueAt()) << "it only comes forward";
        lifecycle.onSend("u");
        EXPECT_EQ(lifecycle.onDeadline().status, 504) << "it may have run";
    }
}

TEST(PlannedStop, TheBalancerSendsClientsForAWhile)
{
    const PlannedStop stop(kBegin, kGrace);
    EXPECT_FALSE(stop.isOutOfBalancer(kBegin + 2400ms));
    EXPECT_TRUE(stop.isOutOfBalancer(kBegin + 2500ms));
}
