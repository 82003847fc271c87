#pragma once

#include "types.h"

#include <algorithm>
#include <vector>

namespace egret {

/// Largest number of `times` within any span of the length `window`.
inline std::size_t peakWithin(Duration window, std::vector<TimePoint> times)
{
    std::ranges::sort(times);
    std::size_t peak = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window);
        peak = std::max(peak, static_cast<std::size_t>(end - first));
    }
    return peak;
}

} // namespace egret
