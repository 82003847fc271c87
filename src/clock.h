#pragma once

#include "types.h"

#include <ctime>

namespace egret {

/// Monotonic time that includes suspension of the machine, so that a lease also
/// expires while the machine is suspended. Thread safe.
inline TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace egret
