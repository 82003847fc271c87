#pragma once

#include "types.h"

#include <ctime>

namespace egret {

/// Monotonic time that goes on while the machine is suspended, so that a lease
/// does not outlive a suspension. Thread safe.
inline TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace egret
