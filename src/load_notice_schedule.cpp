#include "load_notice_schedule.h"

#include <cstdlib>

namespace egret {

namespace {

// An unchanged load notice is repeated at this interval to show gateways that the notice is still
// valid.
constexpr Milliseconds kRepeatPeriod = 500ms;
constexpr Milliseconds kRemoteRepeatPeriod = 1s;
/// Shortest interval between notices to a gateway in another region.
constexpr Milliseconds kRemoteMinPeriod = 300ms;
/// Change of the number of requests at an engine that matters to gateways in other regions. A
/// smaller one changes the predicted time to the first token by less than the penalty of an engine
/// in another zone.
constexpr std::int64_t kRemoteLoadChange = 3;

} // namespace

bool LoadNoticeSchedule::isDue(std::uint32_t queued, std::uint32_t active, TimePoint now) const
{
    const Duration sinceSent = now - this->sentAt;
    if (!this->isRemote)
        return queued != this->sentQueued || active != this->sentActive
               || sinceSent >= kRepeatPeriod;
    const std::int64_t change =
            std::int64_t{ queued } + active - this->sentQueued - this->sentActive;
    // A queue that forms or clears decides whether the engine can take a request at once.
    const bool isNotable =
            std::abs(change) >= kRemoteLoadChange || (queued == 0) != (this->sentQueued == 0);
    return sinceSent >= (isNotable ? kRemoteMinPeriod : kRemoteRepeatPeriod);
}

void LoadNoticeSchedule::onSent(std::uint32_t queued, std::uint32_t active, TimePoint now)
{
    this->sentQueued = queued;
    this->sentActive = active;
    this->sentAt = now;
}

} // namespace egret
