#pragma once

#include "types.h"

#include <cstdint>

namespace egret {

/// Decides when a stager sends a load notice to one gateway.
///
/// Load: every stager has a link to every gateway, so notices grow with the product of both, and
/// most of them cross regions, between which there is little bandwidth. A gateway in the stager's
/// region gets every change of the load. A gateway in another region, which uses the engine only
/// when its own region is busier, gets the changes that matter to its choice. A slow period of an
/// engine lasts about half a second, so a change of the slowdown factor doesn't wait for a change
/// of the load or for the next repetition. Deterministic; not thread safe.
class LoadNoticeSchedule
{
public:
    /// `isRemote`: the gateway is in another region.
    explicit LoadNoticeSchedule(bool isRemote) : isRemote(isRemote) {}

    /// True when a notice with these numbers of queued and active requests and this slowdown factor
    /// is to be sent now.
    bool isDue(std::uint32_t queued, std::uint32_t active, double slowdownFactor,
               TimePoint now) const;

    /// Records that a notice was sent.
    void onSent(std::uint32_t queued, std::uint32_t active, double slowdownFactor, TimePoint now);

private:
    bool isRemote;
    std::uint32_t sentQueued{ 0 };
    std::uint32_t sentActive{ 0 };
    double sentSlowdownFactor{ 1 };
    TimePoint sentAt;
};

} // namespace egret
