#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace egret {

struct OutlierOptions
{
    std::uint32_t consecutiveFailures{ 3 }; ///< consecutive failures that eject the upstream
    /// Duration of the first ejection; doubles with each consecutive ejection.
    Milliseconds baseEjectionTime{ 1s };
    Milliseconds maxEjectionTime{ 30s }; ///< upper bound on the duration of an ejection
    Milliseconds penaltyHalfLife{ 1s };  ///< half-life of a failure's penalty
};

/// Outlier ejection of upstreams. An upstream is identified by the name of its agent. A failure
/// adds a decaying penalty that counts as load; without the penalty, an upstream that fails fast
/// would look idle and attract requests. Consecutive failures eject the upstream temporarily.
/// Deterministic; not thread safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {}) : options(options) {}

    /// Counts a complete answer: resets the count of consecutive failures and the doubling
    /// of the ejection time. A running ejection continues.
    void onSuccess(const std::string &agent);

    /// Counts a failure caused by the upstream. If `mayEject` is false, the failure does
    /// not eject the upstream.
    void onFailure(const std::string &agent, TimePoint now, bool mayEject = true);

    /// True while the upstream is ejected.
    bool isEjected(const std::string &agent, TimePoint now) const;

    /// Penalty of the upstream's recent failures, as a number of requests.
    double penalty(const std::string &agent, TimePoint now) const;

    /// Removes the history of upstreams whose last failure is older than twice the longest
    /// ejection.
    void expire(TimePoint now);

private:
    struct History
    {
        std::uint32_t failureCount{ 0 }; ///< consecutive failures
        std::uint32_t consecutiveEjections{ 0 };
        double penalty{ 0 };
        TimePoint failedAt;
        TimePoint ejectedUntil;
    };

    double decayedPenalty(const History &history, TimePoint now) const;

    OutlierOptions options;
    std::map<std::string, History> historyByAgent;
};

} // namespace egret
