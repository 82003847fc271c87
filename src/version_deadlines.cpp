#include "version_deadlines.h"

#include <utility>

namespace egret {

namespace {

/// Time between the deadline of a version and the end of `versionBound`. At the deadline the
/// gateway cancels attempts that are queued at engines with an older version, and the
/// cancellations reach the engines only after a network delay.
constexpr Milliseconds kCancelLead = 250ms;

} // namespace

bool VersionDeadlines::onVersionInForce(std::uint64_t version,
                                        std::optional<TimePoint> inForceSince)
{
    if (!inForceSince)
        return std::exchange(this->preferred, version) != version;
    this->preferred = 0;
    return this->deadlines
            .insert_or_assign(version, *inForceSince + this->versionBound - kCancelLead)
            .second;
}

VersionRequirement VersionDeadlines::requirement(TimePoint now) const
{
    VersionRequirement requirement{ .preferred = this->preferred };
    for (const auto &[version, deadline] : this->deadlines) {
        if (now >= deadline) {
            requirement.minimum = version;
        } else if (requirement.upcomingMinimum == 0
                   || now + requirement.timeUntilUpcoming > deadline) {
            requirement.upcomingMinimum = version;
            requirement.timeUntilUpcoming = std::chrono::floor<Milliseconds>(deadline - now);
        }
    }
    return requirement;
}

} // namespace egret
