#include "version_deadlines.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

} // namespace

TEST(VersionDeadlines, VersionBecomesTheMinimumShortlyBeforeItsBoundEnds)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(2, kStart);
    const VersionRequirement early = deadlines.requirement(kStart + 5s);
    EXPECT_EQ(early.minimum, 0U);
    EXPECT_EQ(early.upcomingMinimum, 2U);
    EXPECT_GT(early.timeUntilUpcoming, 2500ms);
    EXPECT_LT(early.timeUntilUpcoming, 3s);
    const VersionRequirement late = deadlines.requirement(kStart + 7900ms);
    EXPECT_EQ(late.minimum, 2U)
            << "queued attempts on older versions must be cancelled before the bound ends";
    EXPECT_EQ(late.upcomingMinimum, 0U);
}

TEST(VersionDeadlines, EachVersionHasItsOwnBound)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(2, kStart);
    deadlines.onVersionInForce(3, kStart + 2s);
    const VersionRequirement beforeBoth = deadlines.requirement(kStart + 1s);
    EXPECT_EQ(beforeBoth.upcomingMinimum, 2U) << "version 2 has the earlier deadline";
    const VersionRequirement afterFirst = deadlines.requirement(kStart + 9s);
    EXPECT_EQ(afterFirst.minimum, 2U);
    EXPECT_EQ(afterFirst.upcomingMinimum, 3U);
    EXPECT_EQ(deadlines.requirement(kStart + 10s).minimum, 3U);
}

TEST(VersionDeadlines, VersionPutInForceAtAnUnknownTimeIsPreferred)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(4, std::nullopt);
    const VersionRequirement requirement = deadlines.requirement(kStart);
    EXPECT_EQ(requirement.preferred, 4U);
    EXPECT_EQ(requirement.minimum, 0U);
    EXPECT_EQ(requirement.upcomingMinimum, 0U);
}
