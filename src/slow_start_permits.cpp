#include "slow_start_permits.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Permits that are kept are bounded, for a rate that no upstream reaches.
constexpr double kMaxPermitsInWindow = 1e5;
/// Span over which the permits are limited. An upstream must not get more than its rate within one
/// second; a permit may be used up to `kPermitLifetime` after its grant.
constexpr Milliseconds kPermitWindow = 1s + kPermitLifetime;
/// Time for which permits are kept at least, since gateways may name different rates, and thereby
/// different windows, while a limit changes.
constexpr Milliseconds kPermitRetention = 4s;

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
    const auto limit = static_cast<std::size_t>(
            std::clamp(std::floor(window / interval), 1.0, kMaxPermitsInWindow));
    const auto retention = std::max<Duration>(window, kPermitRetention);
    while (!this->grantedAt.empty() && this->grantedAt.front() + retention <= now)
        this->grantedAt.pop_front();
    const auto firstInWindow = std::ranges::upper_bound(this->grantedAt, now - window);
    const auto inWindow = static_cast<std::size_t>(this->grantedAt.end() - firstInWindow);
    if (inWindow < limit) {
        this->grantedAt.push_back(now);
        this->permitsCountUntil = now + retention;
        return { .isGranted = true };
    }
    // A permit is due once fewer than `limit` are left in the window.
    const auto blocking = this->grantedAt.end() - static_cast<std::ptrdiff_t>(limit);
    return { .retryAfter = std::chrono::ceil<Milliseconds>(*blocking + window - now) };
}

} // namespace egret
