#include "slow_start_permits.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Span over which the permits are limited. An upstream must not get more than its rate within one
/// second; a permit may be used up to `kPermitLifetime` after its grant.
constexpr Milliseconds kPermitWindow = 1s + kPermitLifetime;

} // namespace

SlowStartPermits::SlowStartPermits(TimePoint startedAt) : grantsFrom(startedAt + kPermitWindow) {}

void SlowStartPermits::onUpstreamUnused(TimePoint now)
{
    this->grantsFrom = std::min(this->grantsFrom, now);
}

PermitDecision SlowStartPermits::request(double requestsPerSecond, TimePoint now)
{
    if (now < this->grantsFrom)
        return { .retryAfter = std::chrono::ceil<Milliseconds>(this->grantsFrom - now) };
    // A rate below one request per window lengthens the window.
    const std::chrono::duration<double> interval(1 / requestsPerSecond);
    const auto window =
            std::max<Duration>(kPermitWindow, std::chrono::duration_cast<Duration>(interval));
    const auto limit = static_cast<std::size_t>(std::floor(window / interval));
    while (!this->grantedAt.empty() && this->grantedAt.front() + window <= now)
        this->grantedAt.pop_front();
    if (this->grantedAt.size() < std::max<std::size_t>(1, limit)) {
        this->grantedAt.push_back(now);
        this->permitsCountUntil = now + window;
        return { .isGranted = true };
    }
    return { .retryAfter =
                     std::chrono::ceil<Milliseconds>(this->grantedAt.front() + window - now) };
}

} // namespace egret
