#include "slow_start_permits.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Span over which the permits are limited. An upstream must not get more than its rate within one
/// second; a permit may be used up to `kPermitLifetime` after its grant.
constexpr Milliseconds kPermitWindow = 1s + kPermitLifetime;
/// With fewer permits the window is lengthened until it holds a whole number of them. Otherwise the
/// rest, up to a whole permit, would be lost in each window.
constexpr std::size_t kMinPermitsInWindow = 10;
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
    const double rate = std::min(requestsPerSecond, kMaxPermitRate);
    const double permitsInWindow = rate * std::chrono::duration<double>(kPermitWindow).count();
    Duration window = kPermitWindow;
    auto limit = static_cast<std::size_t>(permitsInWindow);
    if (limit < kMinPermitsInWindow) {
        limit = static_cast<std::size_t>(std::ceil(permitsInWindow));
        window = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(static_cast<double>(limit) / rate));
    }
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
