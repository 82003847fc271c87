#include "version_duty.h"

#include <utility>

namespace egret {

namespace {

/// A version counts as due this long before its bound ends: attempts that have not
/// begun on an older version are cancelled then, and the cancellation needs a
/// network delay to reach the engine.
constexpr Milliseconds kCancelLead = 250ms;

} // namespace

bool VersionDuty::onNamed(std::uint64_t version, std::optional<TimePoint> namedAt)
{
    if (!namedAt)
        return std::exchange(this->preferred, version) != version;
    this->preferred = 0;
    return this->deadlines.insert_or_assign(version, *namedAt + this->bound - kCancelLead).second;
}

VersionNeed VersionDuty::need(TimePoint now) const
{
    VersionNeed need{ .preferred = this->preferred };
    for (const auto &[version, at] : this->deadlines) {
        if (now >= at) {
            need.least = version;
        } else if (need.upcoming == 0 || now + need.upcomingIn > at) {
            need.upcoming = version;
            need.upcomingIn = std::chrono::floor<Milliseconds>(at - now);
        }
    }
    return need;
}

} // namespace egret
