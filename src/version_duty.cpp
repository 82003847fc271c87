#include "version_duty.h"

#include <utility>

namespace egret {

namespace {

/// A version counts as due this long before its bound ends: what has not begun
/// at an older one is taken back then, and that takes a way there.
constexpr Milliseconds kRecallLead = 250ms;

} // namespace

bool VersionDuty::onNamed(std::uint64_t version, std::optional<TimePoint> namedAt)
{
    if (!namedAt)
        return std::exchange(this->preferred, version) != version;
    this->preferred = 0;
    return this->dueAt.insert_or_assign(version, *namedAt + this->bound - kRecallLead).second;
}

VersionNeed VersionDuty::need(TimePoint now) const
{
    VersionNeed need{ .preferred = this->preferred };
    for (const auto &[version, at] : this->dueAt) {
        if (now >= at) {
            need.least = version;
        } else if (need.soon == 0 || now + need.soonIn > at) {
            need.soon = version;
            need.soonIn = std::chrono::floor<Milliseconds>(at - now);
        }
    }
    return need;
}

} // namespace egret
