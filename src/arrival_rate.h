#pragma once

#include "types.h"

#include <cmath>

namespace egret {

/// Rate of recent events: an average in which an event loses weight exponentially with its age.
/// Deterministic; not thread safe.
class ArrivalRate
{
public:
    /// Counts an event. Precondition: `now` doesn't precede the event counted last.
    void add(TimePoint now)
    {
        this->weight = this->weightAt(now) + 1;
        this->countedAt = now;
    }

    /// Events per second.
    double perSecond(TimePoint now) const
    {
        return this->weightAt(now) / std::chrono::duration<double>(kTimeConstant).count();
    }

private:
    /// Short enough that a burst is seen while it begins, long enough that a gateway with ten
    /// requests a second has a usable average.
    static constexpr Milliseconds kTimeConstant = 1s;

    double weightAt(TimePoint now) const
    {
        const std::chrono::duration<double> age = now - this->countedAt;
        return this->weight * std::exp(-age / kTimeConstant);
    }

    double weight{ 0 };
    TimePoint countedAt;
};

} // namespace egret
