#pragma once

#include "guarded.h"
#include "router.h"

#include <atomic>

namespace egret {

/// Upstreams and load estimates shared by all requests of an entry instance.
struct RoutingTable
{
    UpstreamDirectory directory;
    Router router;

    explicit RoutingTable(std::uint64_t seed, RouterOptions options = {}) : router(seed, options) {}
};

using SharedRoutingTable = Guarded<RoutingTable, LockRank::directory>;

/// Counters of an entry instance's requests.
struct RequestCounters
{
    std::atomic<std::uint64_t> whole{ 0 };
    std::atomic<std::uint64_t> refused{ 0 };
    std::atomic<std::uint64_t> failed{ 0 };
    std::atomic<std::uint64_t> retried{ 0 };
    /// Parts of another attempt, offset or identity.
    std::atomic<std::uint64_t> mismatchedAnswers{ 0 };
    std::atomic<std::uint64_t> firstSends{ 0 };
    std::atomic<std::uint64_t> resumed{ 0 };
    /// Attempts refused by an agent before any work.
    std::atomic<std::uint64_t> refusedByAgent{ 0 };
    std::atomic<std::uint64_t> slowCallers{ 0 };
    std::atomic<std::uint64_t> cancelled{ 0 };
};

} // namespace egret
