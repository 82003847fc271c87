#pragma once

#include <algorithm>
#include <cstdint>

namespace egret {

struct RetryBudgetOptions
{
    double ratio{ 0.1 };       ///< extra sends that one first send earns
    double reserve{ 5.0 };     ///< extra sends allowed before any is earned
    double maxBalance{ 50.0 }; ///< extra sends that may be saved up
};

/// Bounds all extra sends of an entry instance, retries and hedges alike, to
/// a share of the first sends. Deterministic; not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {}) : options(options), saved(options.reserve)
    {}

    /// Takes other bounds; what is saved stays, up to the new most.
    void setOptions(const RetryBudgetOptions &next)
    {
        this->options = next;
        this->saved = std::min(this->saved, next.maxBalance);
    }

    /// Counts a first send.
    void onFirstSend()
    {
        this->saved = std::min(this->options.maxBalance, this->saved + this->options.ratio);
    }

    /// Takes one extra send out of the budget; false when none is left.
    bool take()
    {
        if (this->saved < 1.0)
            return false;
        this->saved -= 1.0;
        return true;
    }

private:
    RetryBudgetOptions options;
    double saved;
};

} // namespace egret
