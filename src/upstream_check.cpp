#include "upstream_check.h"

#include <asio/ip/address_v4.hpp>

#include <algorithm>

namespace egret {

namespace {

/// A start that lies further ahead can't be an error of clocks. An accepted one would keep the
/// later starts of the same id away until then.
constexpr Milliseconds kMaxStartAhead = 24h;
/// Time of day of a machine whose clock was never set lies before this: no start is compared with
/// it.
constexpr Milliseconds kEarliestWallTime = 50 * 365 * 24h;
/// Longest slow start. Far longer than any service needs.
constexpr Milliseconds kMaxSlowStart = 1h;
/// An upstream that announces itself ten times a second reaches this after three million years.
constexpr std::uint64_t kMaxSequence = std::uint64_t{ 1 } << 50U;
constexpr std::uint32_t kMaxSlots = 65535;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= kMaxAnnouncedName
           && std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

/// True for a dotted IPv4 address with a port.
bool isReachable(const std::string &text)
{
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint || endpoint->port == 0)
        return false;
    std::error_code error;
    const auto address = asio::ip::make_address_v4(endpoint->address, error);
    return !error && !address.is_unspecified() && !address.is_multicast();
}

} // namespace

std::string announcementError(const UpstreamRecord &record, const std::vector<ZoneRegion> &regions,
                              Milliseconds wallTime)
{
    if (!isName(record.id) || !isName(record.service) || !isName(record.zone))
        return "id, service or zone is no name";
    if (!record.model.empty() && !isName(record.model))
        return "model is no name";
    if (!regions.empty()
        && std::ranges::find(regions, record.zone, &ZoneRegion::zone) == regions.end())
        return "unknown availability zone";
    if (!isReachable(record.endpoint))
        return "address is no IP address and port";
    if (record.slots > kMaxSlots)
        return "slots out of range";
    if (record.sequence > kMaxSequence)
        return "sequence out of range";
    if (record.coldFor < 0ms || record.coldFor > kMaxSlowStart)
        return "slow start out of range";
    const bool isClockSet = wallTime > kEarliestWallTime;
    const auto latestStart = static_cast<std::uint64_t>((wallTime + kMaxStartAhead).count());
    if (isClockSet && record.startedAtMs > latestStart)
        return "start lies in the future";
    return "";
}

} // namespace egret
