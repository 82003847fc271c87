#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace egret {

struct OutlierOptions
{
    std::uint32_t failuresInRow{ 3 }; ///< failures in a row that eject
    Milliseconds firstEjection{ 1s }; ///< doubles with each ejection in a row
    Milliseconds longestEjection{ 30s };
    Milliseconds penaltyHalfLife{ 1s }; ///< a failure's penalty halves in this time
};

/// Remembers which upstreams fail. A failure adds a penalty that counts as
/// load, so that fast errors do not attract requests; failures in a row eject
/// the upstream for a while. Deterministic; not thread safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {}) : options(options) {}

    /// A request to the upstream ended whole.
    void onSuccess(const std::string &agent);

    /// A request to the upstream failed through the upstream's fault. Without
    /// `mayEject` the failure adds its penalty only.
    void onFailure(const std::string &agent, TimePoint now, bool mayEject = true);

    /// True while the upstream is ejected.
    bool isEjected(const std::string &agent, TimePoint now) const;

    /// Requests that the upstream's late failures count as.
    double penalty(const std::string &agent, TimePoint now) const;

    /// Forgets upstreams whose last failure no longer matters.
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
