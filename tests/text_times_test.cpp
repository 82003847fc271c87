#include "text_times.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

NumberedText weights(std::uint64_t number)
{
    return { .name = "weights/m", .number = number };
}

} // namespace

// Guards against a version that is named right after a restart and never gets a deadline.
TEST(TextTimes, ATextThatIsAppliedRightAfterTheStartHasATime)
{
    TextTimes times;
    times.onApplied({ weights(1) }, kStart);
    times.onApplied({ weights(2) }, kStart + 1s);
    times.onApplied({ weights(2) }, kStart + 2s);
    EXPECT_EQ(times.timeInForce(weights(2), kStart + 5s), 4s);
    EXPECT_EQ(times.timeInForce(weights(2), kStart + 1s), 1ms) << "0 means an unknown time";
    EXPECT_EQ(times.timeInForce(weights(3), kStart + 5s), 0ms);
}

// Guards against the deadline of a version that a restarted gateway never learns, because a newer
// version was named before the deadline.
TEST(TextTimes, AVersionThatWasReplacedLatelyKeepsItsTime)
{
    TextTimes times;
    times.onApplied({ weights(2) }, kStart);
    times.onApplied({ weights(3) }, kStart + 5s);
    const auto replaced = times.replacedLately(weights(3), kStart + 6s);
    ASSERT_EQ(replaced.size(), 1U);
    EXPECT_EQ(replaced[0].number, 2U);
    EXPECT_EQ(replaced[0].timeInForce, 6s);
    EXPECT_TRUE(times.replacedLately(weights(3), kStart + 120s).empty());
}
