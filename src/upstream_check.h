#pragma once

#include "generated/messages.h"
#include "generated/settings.h"
#include "types.h"

#include <string>
#include <vector>

namespace egret {

/// Bound on each name in an announcement: id, service, model and availability zone. All records
/// together must stay small in every view and in every gateway's memory.
inline constexpr std::size_t kMaxAnnouncedName = 128;

/// Returns why an announcement is not acceptable, empty for an acceptable one. Anybody may write
/// announcements, and each accepted one reaches all gateways, which connect to its address and put
/// it into the heads of requests. `regions`: the known availability zones, empty when none is
/// known. `wallTime`: this machine's time since the Unix epoch. Thread safe.
std::string announcementError(const UpstreamRecord &record, const std::vector<ZoneRegion> &regions,
                              Milliseconds wallTime);

} // namespace egret
