#include "version_deadlines.h"

#include <utility>

namespace egret {

namespace {

/// A version counts as due this long before its bound ends: attempts that have not
/// begun on an older version are cancelled then, and the cancellation needs a
/// network delay to reach the engine.
constexpr Milliseconds kCancelLead = 250ms;

} // namespace

bool VersionDeadlines::onVersionInForce(std::uint64_t version,
                                        std::optional<TimePoint> inForceSince)
{
    if (!inForceSince)
        return std::exchange(this->preferred, version) != version;
    this->preferred = 0;
    return this->deadlines.insert_or_assign(version, *inForceSince + this->bound - kCancelLead)
            .second;
}

VersionRequirement VersionDeadlines::requirement(TimePoint now) const
{
    VersionRequirement requirement{ .preferred = this->preferred };
    for (const auto &[version, at] : this->deadlines) {
        if (now >= at) {
            requirement.minimum = version;
        } else if (requirement.upcoming == 0 || now + requirement.upcomingIn > at) {
            requirement.upcoming = version;
            requirement.upcomingIn = std::chrono::floor<Milliseconds>(at - now);
        }
    }
    return requirement;
}

} // namespace egret
