#include "version_duty.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

} // namespace

TEST(VersionDuty, AVersionIsDueShortlyBeforeItsBoundEnds)
{
    VersionDuty duty(8s);
    duty.onNamed(2, kStart);
    const VersionNeed early = duty.need(kStart + 5s);
    EXPECT_EQ(early.least, 0U);
    EXPECT_EQ(early.soon, 2U);
    EXPECT_GT(early.soonIn, 2500ms);
    EXPECT_LT(early.soonIn, 3s);
    const VersionNeed late = duty.need(kStart + 7900ms);
    EXPECT_EQ(late.least, 2U) << "what has not begun must be taken back in time";
    EXPECT_EQ(late.soon, 0U);
}

TEST(VersionDuty, EachVersionHasItsOwnBound)
{
    VersionDuty duty(8s);
    duty.onNamed(2, kStart);
    duty.onNamed(3, kStart + 2s);
    const VersionNeed first = duty.need(kStart + 1s);
    EXPECT_EQ(first.soon, 2U) << "the one that is due first";
    const VersionNeed between = duty.need(kStart + 9s);
    EXPECT_EQ(between.least, 2U);
    EXPECT_EQ(between.soon, 3U);
    EXPECT_EQ(duty.need(kStart + 10s).least, 3U);
}

TEST(VersionDuty, AVersionNamedAtAnUnknownTimeIsPreferred)
{
    VersionDuty duty(8s);
    duty.onNamed(4, std::nullopt);
    const VersionNeed need = duty.need(kStart);
    EXPECT_EQ(need.preferred, 4U);
    EXPECT_EQ(need.least, 0U);
    EXPECT_EQ(need.soon, 0U);
}
