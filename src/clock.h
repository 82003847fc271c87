#pragma once

#include "types.h"

#include <ctime>

namespace egret {

/// Current monotonic time since boot. Includes the time for which the machine was suspended, so
/// that leases expire during a suspension. Thread safe.
inline TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace egret
