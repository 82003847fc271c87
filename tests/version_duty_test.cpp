#include "version_duty.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

} // namespace

TEST(VersionDuty, VersionIsDueShortlyBeforeItsBoundEnds)
{
    VersionDuty deadlines(8s);
    deadlines.onNamed(2, kStart);
    const VersionNeed early = deadlines.need(kStart + 5s);
    EXPECT_EQ(early.least, 0U);
    EXPECT_EQ(early.upcoming, 2U);
    EXPECT_GT(early.upcomingIn, 2500ms);
    EXPECT_LT(early.upcomingIn, 3s);
    const VersionNeed late = deadlines.need(kStart + 7900ms);
    EXPECT_EQ(late.least, 2U) << "attempts that have not begun must be cancelled in time";
    EXPECT_EQ(late.upcoming, 0U);
}

TEST(VersionDuty, EachVersionHasItsOwnBound)
{
    VersionDuty deadlines(8s);
    deadlines.onNamed(2, kStart);
    deadlines.onNamed(3, kStart + 2s);
    const VersionNeed beforeBoth = deadlines.need(kStart + 1s);
    EXPECT_EQ(beforeBoth.upcoming, 2U) << "the earliest deadline comes first";
    const VersionNeed between = deadlines.need(kStart + 9s);
    EXPECT_EQ(between.least, 2U);
    EXPECT_EQ(between.upcoming, 3U);
    EXPECT_EQ(deadlines.need(kStart + 10s).least, 3U);
}

TEST(VersionDuty, VersionPutInForceAtAnUnknownTimeIsPreferred)
{
    VersionDuty deadlines(8s);
    deadlines.onNamed(4, std::nullopt);
    const VersionNeed need = deadlines.need(kStart);
    EXPECT_EQ(need.preferred, 4U);
    EXPECT_EQ(need.least, 0U);
    EXPECT_EQ(need.upcoming, 0U);
}
