#include "gateway_retry_budgets.h"

#include <gtest/gtest.h>

#include <vector>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
constexpr double kRatio = 0.2;
constexpr double kSlack = 236;
constexpr Milliseconds kWindow = 10s;

GatewayRetryBudgets startedAt(TimePoint at)
{
    return GatewayRetryBudgets(
            { .ratio = kRatio, .slack = kSlack, .window = kWindow, .startedAt = at });
}

} // namespace

TEST(GatewayRetryBudgets, PartOfTheSlackComesOneWindowAfterTheStart)
{
    GatewayRetryBudgets budgets = startedAt(kStart);
    budgets.setGatewayCount(118);
    EXPECT_FALSE(budgets.take("s", kStart + kWindow - 1ms));
    EXPECT_TRUE(budgets.take("s", kStart + kWindow));
    EXPECT_TRUE(budgets.take("s", kStart + kWindow));
    EXPECT_FALSE(budgets.take("s", kStart + kWindow));
}

TEST(GatewayRetryBudgets, RetriesAreEarnedBeforeThat)
{
    GatewayRetryBudgets budgets = startedAt(kStart);
    budgets.setGatewayCount(41);
    for (int i = 0; i < 6; ++i)
        budgets.onFirstSend("s", kStart);
    EXPECT_TRUE(budgets.take("s", kStart));
    EXPECT_FALSE(budgets.take("s", kStart));
    EXPECT_FALSE(budgets.take("other", kStart));
}

// Guards against restarted gateways that spend the fleet's slack a second time, and against
// gateways that take all of it while they know of no other gateway.
TEST(GatewayRetryBudgets, RestartedGatewaysTogetherKeepToTheSlack)
{
    constexpr std::uint32_t gatewayCount = 41;
    std::vector<GatewayRetryBudgets> gateways;
    for (std::uint32_t i = 0; i < gatewayCount; ++i) {
        gateways.push_back(startedAt(kStart - kWindow));
        gateways.back().setGatewayCount(gatewayCount);
    }
    double firstAttempts = 0;
    double retries = 0;
    const auto sendAll = [&](TimePoint now) {
        for (GatewayRetryBudgets &gateway : gateways) {
            gateway.onFirstSend("s", now);
            ++firstAttempts;
            while (gateway.take("s", now))
                ++retries;
        }
    };
    // All gateways spend their budgets, restart, and learn of each other half a second later.
    sendAll(kStart);
    gateways.assign(gatewayCount, startedAt(kStart + 1s));
    sendAll(kStart + 1200ms);
    for (GatewayRetryBudgets &gateway : gateways)
        gateway.setGatewayCount(gatewayCount);
    for (Milliseconds elapsed = 1500ms; elapsed < kWindow; elapsed += 100ms)
        sendAll(kStart + elapsed);
    EXPECT_LE(retries, kRatio * firstAttempts + kSlack);
    EXPECT_GE(retries, kRatio * firstAttempts * 0.9);
}
