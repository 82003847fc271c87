#pragma once

#include "types.h"

#include <deque>

namespace egret {

/// Time within which a gateway must use a permit, counted from its request for the permit.
inline constexpr Milliseconds kPermitLifetime{ 150 };

/// Rate of permits, in requests a second, that no upstream reaches. Higher rates count as this one.
inline constexpr double kMaxPermitRate = 1e5;

/// Decision on a request for a permit.
struct PermitDecision
{
    bool isGranted{ false };
    Milliseconds retryAfter{ 0 }; ///< time after which to ask again, when the permit is refused
};

/// Issues the permits for one upstream that is in slow start or has named a limit. A permit allows
/// a gateway to send one request. The issuer is the only process that grants permits for the
/// upstream, so the rate holds for any number of gateways, also for gateways that restarted or that
/// don't know of each other. Within any second the permits in use are at most those granted within
/// a second plus `kPermitLifetime`; their number is limited to the rate times that span.
/// Deterministic; not thread safe.
class SlowStartPermits
{
public:
    /// `startedAt`: start of this issuer. Permits of an earlier issuer may still be in use then, so
    /// none is granted until they no longer count, unless `onUpstreamUnused` is called.
    explicit SlowStartPermits(TimePoint startedAt);

    /// The upstream has run no request since its start: no earlier permit counts.
    void onUpstreamUnused(TimePoint now);

    /// Decides on a request for a permit. Precondition: `requestsPerSecond` is positive.
    PermitDecision request(double requestsPerSecond, TimePoint now);

    /// True when no earlier permit limits the next one, so that a new object would decide alike.
    bool isIdle(TimePoint now) const
    {
        return now >= this->grantsFrom && now >= this->permitsCountUntil;
    }

private:
    TimePoint grantsFrom;        ///< no permit is granted before this time
    TimePoint permitsCountUntil; ///< end of the span that the last permit counts in
    std::deque<TimePoint> grantedAt;
};

} // namespace egret
