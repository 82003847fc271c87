#pragma once

#include "retry_budget.h"
#include "types.h"

#include <map>
#include <string>

namespace egret {

/// Options of `GatewayRetryBudgets`.
struct GatewayRetryBudgetOptions
{
    double ratio{ 0 }; ///< retries that each first attempt adds
    double slack{ 0 }; ///< retries that all gateways together may make in one window besides
    Milliseconds window{ 0 };
    TimePoint startedAt; ///< start of this process
};

/// Retry budgets of a gateway, one for each service. All gateways share the slack in equal parts. A
/// started gateway gets its part only after one window, because a former process at its place may
/// have spent it, and because the gateway may not know of all others yet; until then retries must
/// be earned. Deterministic; not thread safe.
class GatewayRetryBudgets
{
public:
    explicit GatewayRetryBudgets(const GatewayRetryBudgetOptions &options) : options(options) {}

    /// Sets the number of gateways that share the slack. Precondition: `count` is positive.
    void setGatewayCount(std::uint32_t count);

    /// Counts a first attempt.
    void onFirstSend(const std::string &service, TimePoint now);

    /// Spends one unit of a service's budget for a retry; false when the budget is empty.
    bool take(const std::string &service, TimePoint now);

private:
    struct ServiceBudget
    {
        RetryBudget budget;
        bool hasSlack{ false }; ///< this gateway's part of the slack was added
    };

    RetryBudgetOptions bucketOptions() const;
    RetryBudget &budgetOf(const std::string &service, TimePoint now);

    GatewayRetryBudgetOptions options;
    std::uint32_t gatewayCount{ 1 };
    std::map<std::string, ServiceBudget> budgets;
};

} // namespace egret
