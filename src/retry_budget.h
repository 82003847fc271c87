#pragma once

#include <algorithm>
#include <cstdint>

namespace egret {

struct RetryBudgetOptions
{
    double ratio{ 0.1 };       ///< retries and hedges earned by each first attempt
    double reserve{ 5.0 };     ///< retries and hedges allowed before any is earned
    double maxBalance{ 50.0 }; ///< upper bound of the balance
};

/// Token bucket that limits the retries and hedges of an entry instance to a share of
/// its first attempts. Deterministic; not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options(options), balance(options.reserve)
    {}

    /// Changes the bounds; the balance stays, limited to the new maximum.
    void setOptions(const RetryBudgetOptions &next)
    {
        this->options = next;
        this->balance = std::min(this->balance, next.maxBalance);
    }

    /// Counts a first attempt.
    void onFirstSend()
    {
        this->balance = std::min(this->options.maxBalance, this->balance + this->options.ratio);
    }

    /// Spends one retry or hedge; false when the balance is below one.
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
