#include "buffer_budget.h"

#include <gtest/gtest.h>

using namespace egret;

TEST(BufferBudget, DropsABufferThatIsTooLarge)
{
    BufferBudget<int> budget({ .maxBytesEach = 100, .maxBytesTotal = 1000 });
    EXPECT_EQ(budget.set(1, 100), std::nullopt);
    EXPECT_EQ(budget.set(1, 101), 1);
}

// Guards against many endless answers that fill the memory although each is within its limit.
TEST(BufferBudget, DropsTheLargestWhenAllTogetherAreTooLarge)
{
    BufferBudget<int> budget({ .maxBytesEach = 100, .maxBytesTotal = 150 });
    EXPECT_EQ(budget.set(1, 90), std::nullopt);
    EXPECT_EQ(budget.set(2, 60), std::nullopt);
    EXPECT_EQ(budget.set(3, 1), 1);
    EXPECT_EQ(budget.set(1, 0), std::nullopt);
    EXPECT_EQ(budget.total(), 61U);
    EXPECT_EQ(budget.set(3, 2), std::nullopt);
}

TEST(BufferBudget, ShrunkAndRemovedBuffersFreeTheirShare)
{
    BufferBudget<int> budget({ .maxBytesEach = 100, .maxBytesTotal = 150 });
    budget.set(1, 100);
    budget.set(1, 20);
    budget.set(2, 0);
    EXPECT_EQ(budget.total(), 20U);
    budget.set(1, 0);
    EXPECT_EQ(budget.total(), 0U);
}
