#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace egret {

/// Limits on the version of a model's weights for a request that starts at a given time.
struct VersionRequirement
{
    std::uint64_t minimum{ 0 }; ///< engines with an older version get no requests
    /// Engines with an older version get requests only while no engine has this version. 0: no
    /// version is preferred.
    std::uint64_t preferred{ 0 };
    std::uint64_t upcomingMinimum{ 0 };  ///< next version to become `minimum`, 0 for none
    Milliseconds timeUntilUpcoming{ 0 }; ///< time until `upcomingMinimum` becomes `minimum`
};

/// Versions of the weights of one model, each with a deadline after which no older version may
/// be used. Operators put a version in force, that is, order all engines to serve it; engines must
/// have loaded the version by its deadline. Deterministic; not thread safe.
class VersionDeadlines
{
public:
    /// `versionBound`: time from putting a version in force until no engine may serve an older
    /// version.
    explicit VersionDeadlines(Milliseconds versionBound) : versionBound(versionBound) {}

    /// Adds a version. `inForceSince`: time at which the version was put in force; empty when the
    /// time is unknown, because the version was in force before this process started. A version
    /// with an unknown time has no deadline and becomes the preferred version. True when the
    /// version is new or its time becomes known only now.
    bool onVersionInForce(std::uint64_t version, std::optional<TimePoint> inForceSince);

    /// Versions that may serve a request which starts at `now`.
    VersionRequirement requirement(TimePoint now) const;

private:
    Milliseconds versionBound;
    std::uint64_t preferred{ 0 }; ///< version in force since an unknown time, 0 for none
    std::map<std::uint64_t, TimePoint> deadlines; ///< by version
};

} // namespace egret
