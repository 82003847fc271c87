#include "load_spread.h"

#include <algorithm>
#include <numeric>

namespace egret {

namespace {

/// Bisection steps: the level is exact to a billionth of the searched range.
constexpr int kBisectionSteps = 30;

std::vector<double> requestsOfEach(const std::vector<SpreadTarget> &targets,
                                   FloatMilliseconds level)
{
    std::vector<double> result;
    result.reserve(targets.size());
    for (const SpreadTarget &target : targets)
        result.push_back(requestsWithin(target, level));
    return result;
}

double sumOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/// Spreads the zone's demand over the local targets up to `localLevel` and the rest over the other
/// targets up to `remoteLevel`.
std::vector<double> spillOver(const std::vector<SpreadTarget> &targets, double demand,
                              FloatMilliseconds localLevel, FloatMilliseconds remoteLevel)
{
    std::vector<double> result;
    result.reserve(targets.size());
    double localSum = 0;
    double remoteSum = 0;
    for (const SpreadTarget &target : targets) {
        result.push_back(requestsWithin(target, target.isLocal ? localLevel : remoteLevel));
        (target.isLocal ? localSum : remoteSum) += result.back();
    }
    const double surplus = std::max(0.0, demand - localSum);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!targets[i].isLocal)
            result[i] *= remoteSum > 0 ? surplus / remoteSum : 0.0;
    }
    return result;
}

} // namespace

double requestsWithin(const SpreadTarget &target, FloatMilliseconds limit)
{
    if (limit <= target.wait)
        return 0;
    const double starts = (limit - target.wait) / target.waitPerStart;
    if (starts <= target.freeSlots)
        return starts;
    const FloatMilliseconds waitWhenFull = target.wait + target.freeSlots * target.waitPerStart;
    return target.freeSlots + (limit - waitWhenFull) / target.waitPerQueued;
}

FloatMilliseconds waitAfter(const std::vector<SpreadTarget> &targets, double requests)
{
    const auto shortest = std::ranges::min(targets, {}, &SpreadTarget::wait);
    FloatMilliseconds low = shortest.wait;
    FloatMilliseconds high = low + requests * (shortest.waitPerStart + shortest.waitPerQueued);
    for (int step = 0; step < kBisectionSteps; ++step) {
        const FloatMilliseconds middle = (low + high) / 2;
        (sumOf(requestsOfEach(targets, middle)) < requests ? low : high) = middle;
    }
    return high;
}

std::vector<double> spreadWeights(const std::vector<SpreadTarget> &targets,
                                  const SpreadDemand &demand, FloatMilliseconds crossZonePenalty)
{
    const FloatMilliseconds commonLevel = waitAfter(targets, std::max(1.0, demand.ofAll));
    std::vector<SpreadTarget> localTargets;
    std::ranges::copy_if(targets, std::back_inserter(localTargets), &SpreadTarget::isLocal);
    if (localTargets.empty())
        return requestsOfEach(targets, commonLevel);
    const double zoneDemand = std::max(1.0, demand.ofZone);
    const FloatMilliseconds localLevel = waitAfter(localTargets, zoneDemand);
    // Without local room, `commonLevel` is the level of the other zones' engines alone.
    return spillOver(targets, zoneDemand, std::min(localLevel, commonLevel + crossZonePenalty),
                     commonLevel);
}

} // namespace egret
