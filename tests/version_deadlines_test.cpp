#include "version_deadlines.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

} // namespace

TEST(VersionDeadlines, AVersionIsDueShortlyBeforeItsBoundEnds)
{
    VersionDeadlines duty(8s);
    duty.onVersionInForce(2, kStart);
    const VersionRequirement early = duty.requirement(kStart + 5s);
    EXPECT_EQ(early.minimum, 0U);
    EXPECT_EQ(early.soon, 2U);
    EXPECT_GT(early.soonIn, 2500ms);
    EXPECT_LT(early.soonIn, 3s);
    const VersionRequirement late = duty.requirement(kStart + 7900ms);
    EXPECT_EQ(late.minimum, 2U) << "what has not begun must be taken back in time";
    EXPECT_EQ(late.soon, 0U);
}

TEST(VersionDeadlines, EachVersionHasItsOwnBound)
{
    VersionDeadlines duty(8s);
    duty.onVersionInForce(2, kStart);
    duty.onVersionInForce(3, kStart + 2s);
    const VersionRequirement first = duty.requirement(kStart + 1s);
    EXPECT_EQ(first.soon, 2U) << "the one that is due first";
    const VersionRequirement between = duty.requirement(kStart + 9s);
    EXPECT_EQ(between.minimum, 2U);
    EXPECT_EQ(between.soon, 3U);
    EXPECT_EQ(duty.requirement(kStart + 10s).minimum, 3U);
}

TEST(VersionDeadlines, AVersionNamedAtAnUnknownTimeIsPreferred)
{
    VersionDeadlines duty(8s);
    duty.onVersionInForce(4, std::nullopt);
    const VersionRequirement requirement = duty.requirement(kStart);
    EXPECT_EQ(requirement.preferred, 4U);
    EXPECT_EQ(requirement.minimum, 0U);
    EXPECT_EQ(requirement.soon, 0U);
}
