#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace egret {

/// Which weights a request may begin on at a time.
struct VersionRequirement
{
    std::uint64_t minimum{ 0 };   ///< older ones get nothing
    std::uint64_t preferred{ 0 }; ///< older ones only where none has it
    std::uint64_t soon{ 0 };      ///< will be the least next, 0 for none
    Milliseconds soonIn{ 0 };     ///< time until then
};

/// The versions of one model's weights that were named, and from when on each
/// must be served. Deterministic; not thread safe.
class VersionDeadlines
{
public:
    /// `bound`: time from its naming in which a version must be served everywhere.
    explicit VersionDeadlines(Milliseconds bound) : bound(bound) {}

    /// A version is named; without a time, it was before this process knew. True
    /// when the version is new or its time was not known.
    bool onVersionInForce(std::uint64_t version, std::optional<TimePoint> inForceSince);

    VersionRequirement requirement(TimePoint now) const;

private:
    Milliseconds bound;
    std::uint64_t preferred{ 0 };
    std::map<std::uint64_t, TimePoint> dueAt;
};

} // namespace egret
