#include "load_notice_schedule.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace egret {

namespace {

// An unchanged load notice is repeated at this interval to show gateways that the notice is still
// valid.
constexpr Milliseconds kRepeatPeriod = 500ms;
constexpr Milliseconds kRemoteRepeatPeriod = 1s;
/// Shortest interval between notices to a gateway in another region.
constexpr Milliseconds kRemoteMinPeriod = 300ms;
/// Change of the number of requests at an engine that matters to gateways in other regions. A
/// smaller one changes the predicted time to the first token by less than the penalty of an engine
/// in another zone.
constexpr std::int64_t kRemoteLoadChange = 3;
/// Ratio by which the slowdown factor has to change to matter to gateways. A smaller change alters
/// the predicted time to the first token, 100 to 200 ms, by less than the cost spread of gateways.
constexpr double kSlowdownChangeRatio = 1.25;

/// The factor as gateways use it: an engine is never taken to be faster than its model predicts.
double usedSlowdownFactor(double factor)
{
    return std::isfinite(factor) ? std::max(1.0, factor) : 1.0;
}

bool isNotableSlowdownChange(double from, double to)
{
    return std::max(from, to) > std::min(from, to) * kSlowdownChangeRatio;
}

} // namespace

bool LoadNoticeSchedule::isDue(std::uint32_t queued, std::uint32_t active, double slowdownFactor,
                               TimePoint now) const
{
    const Duration sinceSent = now - this->sentAt;
    const bool hasSlowdownChanged =
            isNotableSlowdownChange(this->sentSlowdownFactor, usedSlowdownFactor(slowdownFactor));
    if (!this->isRemote)
        return queued != this->sentQueued || active != this->sentActive || hasSlowdownChanged
               || sinceSent >= kRepeatPeriod;
    const std::int64_t change =
            std::int64_t{ queued } + active - this->sentQueued - this->sentActive;
    // A queue that forms or clears decides whether the engine can take a request at once.
    const bool isNotable = std::abs(change) >= kRemoteLoadChange
                           || (queued == 0) != (this->sentQueued == 0) || hasSlowdownChanged;
    return sinceSent >= (isNotable ? kRemoteMinPeriod : kRemoteRepeatPeriod);
}

void LoadNoticeSchedule::onSent(std::uint32_t queued, std::uint32_t active, double slowdownFactor,
                                TimePoint now)
{
    this->sentQueued = queued;
    this->sentActive = active;
    this->sentSlowdownFactor = usedSlowdownFactor(slowdownFactor);
    this->sentAt = now;
}

} // namespace egret
