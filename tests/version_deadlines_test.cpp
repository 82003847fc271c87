#include "version_deadlines.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

} // namespace

TEST(VersionDeadlines, VersionIsDueShortlyBeforeItsBoundEnds)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(2, kStart);
    const VersionRequirement early = deadlines.requirement(kStart + 5s);
    EXPECT_EQ(early.minimum, 0U);
    EXPECT_EQ(early.upcoming, 2U);
    EXPECT_GT(early.upcomingIn, 2500ms);
    EXPECT_LT(early.upcomingIn, 3s);
    const VersionRequirement late = deadlines.requirement(kStart + 7900ms);
    EXPECT_EQ(late.minimum, 2U) << "attempts that have not begun must be cancelled in time";
    EXPECT_EQ(late.upcoming, 0U);
}

TEST(VersionDeadlines, EachVersionHasItsOwnBound)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(2, kStart);
    deadlines.onVersionInForce(3, kStart + 2s);
    const VersionRequirement beforeBoth = deadlines.requirement(kStart + 1s);
    EXPECT_EQ(beforeBoth.upcoming, 2U) << "the earliest deadline comes first";
    const VersionRequirement between = deadlines.requirement(kStart + 9s);
    EXPECT_EQ(between.minimum, 2U);
    EXPECT_EQ(between.upcoming, 3U);
    EXPECT_EQ(deadlines.requirement(kStart + 10s).minimum, 3U);
}

TEST(VersionDeadlines, VersionPutInForceAtAnUnknownTimeIsPreferred)
{
    VersionDeadlines deadlines(8s);
    deadlines.onVersionInForce(4, std::nullopt);
    const VersionRequirement requirement = deadlines.requirement(kStart);
    EXPECT_EQ(requirement.preferred, 4U);
    EXPECT_EQ(requirement.minimum, 0U);
    EXPECT_EQ(requirement.upcoming, 0U);
}
