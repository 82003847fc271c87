#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace egret {

struct OutlierOptions
{
    std::uint32_t failuresInRow{ 3 }; ///< failures in a row that eject the upstream
    Milliseconds firstEjection{ 1s }; ///< doubles with each consecutive ejection
    Milliseconds longestEjection{ 30s };
    Milliseconds penaltyHalfLife{ 1s }; ///< half-life of a failure's penalty
};

/// Outlier ejection of upstreams. A failure adds a decaying penalty that counts
/// as load, so that an upstream that fails fast does not look idle and attract
/// requests; failures in a row eject the upstream temporarily. Deterministic;
/// not thread safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {}) : options(options) {}

    /// Counts a complete answer; resets the failures in a row and the ejections.
    void onSuccess(const std::string &agent);

    /// Counts a failure caused by the upstream. Without `mayEject` the failure
    /// only adds its penalty.
    void onFailure(const std::string &agent, TimePoint now, bool mayEject = true);

    /// True while the upstream is ejected.
    bool isEjected(const std::string &agent, TimePoint now) const;

    /// Penalty of the upstream's recent failures, as a number of requests.
    double penalty(const std::string &agent, TimePoint now) const;

    /// Removes upstreams whose last failure is older than twice the longest ejection.
    void expire(TimePoint now);

private:
    struct History
    {
        std::uint32_t failedInRow{ 0 };
        std::uint32_t ejections{ 0 };
        double penalty{ 0 };
        TimePoint failedAt;
        TimePoint ejectedUntil;
    };

    double decayed(const History &history, TimePoint now) const;

    OutlierOptions options;
    std::map<std::string, History> byAgent;
};

} // namespace egret
