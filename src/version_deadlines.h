#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace egret {

/// Versions of the weights on which a request may start at a given time.
struct VersionRequirement
{
    std::uint64_t minimum{ 0 };   ///< older versions get no requests
    std::uint64_t preferred{ 0 }; ///< older ones get requests only if none has this one
    std::uint64_t upcoming{ 0 };  ///< version whose deadline is next, 0 for none
    Milliseconds upcomingIn{ 0 }; ///< time until that deadline
};

/// Versions of one model's weights that operators put in force, each with the
/// deadline from which no older version may be used. Deterministic; not thread safe.
class VersionDeadlines
{
public:
    /// `bound`: time after being put in force within which a version must be served everywhere.
    explicit VersionDeadlines(Milliseconds bound) : bound(bound) {}

    /// Adds a version put in force at `inForceSince`; empty when that was before this process
    /// could observe it. True when the version is new or its time was not known.
    bool onVersionInForce(std::uint64_t version, std::optional<TimePoint> inForceSince);

    /// Versions on which a request may start at `now`.
    VersionRequirement requirement(TimePoint now) const;

private:
    Milliseconds bound;
    std::uint64_t preferred{ 0 };
    std::map<std::uint64_t, TimePoint> deadlines;
};

} // namespace egret
