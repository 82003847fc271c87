#include "version_deadlines.h"

#include <utility>

namespace egret {

namespace {

/// A version counts as due this long before its bound ends: what has not begun
/// at an older one is taken back then, and that takes a way there.
constexpr Milliseconds kRecallLead = 250ms;

} // namespace

bool VersionDeadlines::onVersionInForce(std::uint64_t version,
                                        std::optional<TimePoint> inForceSince)
{
    if (!inForceSince)
        return std::exchange(this->preferred, version) != version;
    this->preferred = 0;
    return this->dueAt.insert_or_assign(version, *inForceSince + this->bound - kRecallLead).second;
}

VersionRequirement VersionDeadlines::requirement(TimePoint now) const
{
    VersionRequirement requirement{ .preferred = this->preferred };
    for (const auto &[version, at] : this->dueAt) {
        if (now >= at) {
            requirement.minimum = version;
        } else if (requirement.soon == 0 || now + requirement.soonIn > at) {
            requirement.soon = version;
            requirement.soonIn = std::chrono::floor<Milliseconds>(at - now);
        }
    }
    return requirement;
}

} // namespace egret
