#include "gateway_retry_budgets.h"

namespace egret {

void GatewayRetryBudgets::setGatewayCount(std::uint32_t count)
{
    if (count == this->gatewayCount)
        return;
    this->gatewayCount = count;
    for (auto &[service, each] : this->budgets)
        each.budget.setOptions(this->bucketOptions());
}

void GatewayRetryBudgets::onFirstSend(const std::string &service, TimePoint now)
{
    this->budgetOf(service, now).onFirstSend();
}

bool GatewayRetryBudgets::take(const std::string &service, TimePoint now)
{
    return this->budgetOf(service, now).take();
}

RetryBudgetOptions GatewayRetryBudgets::bucketOptions() const
{
    return { .ratio = this->options.ratio,
             .reserve = 0,
             .maxBalance = this->options.slack / this->gatewayCount };
}

RetryBudget &GatewayRetryBudgets::budgetOf(const std::string &service, TimePoint now)
{
    ServiceBudget &each =
            this->budgets
                    .try_emplace(service,
                                 ServiceBudget{ .budget = RetryBudget(this->bucketOptions()) })
                    .first->second;
    if (!each.hasSlack && now >= this->options.startedAt + this->options.window) {
        each.hasSlack = true;
        each.budget.fill();
    }
    return each.budget;
}

} // namespace egret
