#pragma once

#include <algorithm>
#include <cstdint>

namespace egret {

/// Settings of a `RetryBudget`; one unit allows one retry or hedge.
struct RetryBudgetOptions
{
    double ratio{ 0.1 };       ///< units that each first attempt adds
    double reserve{ 5.0 };     ///< initial balance
    double maxBalance{ 50.0 }; ///< maximum balance
};

/// Token bucket that limits the retries and hedges of an entry instance, or those of a gateway
/// for one service, to a share of the first attempts. Deterministic; not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options(options), balance(options.reserve)
    {}

    /// Replaces the options. The balance is kept but limited to the new maximum.
    void setOptions(const RetryBudgetOptions &newOptions)
    {
        this->options = newOptions;
        this->balance = std::min(this->balance, newOptions.maxBalance);
    }

    /// Raises the balance to its maximum.
    void fill() { this->balance = this->options.maxBalance; }

    /// Counts a first attempt.
    void onFirstSend()
    {
        this->balance = std::min(this->options.maxBalance, this->balance + this->options.ratio);
    }

    /// Spends one unit for a retry or hedge; false when the balance is below one unit.
    bool take()
    {
        if (this->balance < 1.0)
            return false;
        this->balance -= 1.0;
        return true;
    }

private:
    RetryBudgetOptions options;
    double balance;
};

} // namespace egret
