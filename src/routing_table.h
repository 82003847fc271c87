#pragma once

#include "guarded.h"
#include "router.h"

#include <atomic>

namespace egret {

/// The directory of upstreams and the router. All requests of an entry instance share both.
struct RoutingTable
{
    UpstreamDirectory directory;
    Router router;

    explicit RoutingTable(std::uint64_t seed, RouterOptions options = {}) : router(seed, options) {}
};

using SharedRoutingTable = Guarded<RoutingTable, LockRank::directory>;

/// Counters of an entry instance's requests and attempts.
struct RequestCounters
{
    std::atomic<std::uint64_t> whole{ 0 };   ///< requests answered completely
    std::atomic<std::uint64_t> refused{ 0 }; ///< requests refused by this instance
    std::atomic<std::uint64_t> failed{ 0 };  ///< requests that ended without a complete answer
    std::atomic<std::uint64_t> retried{ 0 }; ///< retries after a failed attempt
    /// Agent messages with another attempt number, offset or identity than expected.
    std::atomic<std::uint64_t> mismatchedAnswers{ 0 };
    std::atomic<std::uint64_t> brokenAnswers{ 0 }; ///< answers cut off or invalid at an agent
    std::atomic<std::uint64_t> firstSends{ 0 };    ///< first attempts sent
    std::atomic<std::uint64_t> resumed{ 0 };       ///< attempts that resume a started stream
    /// Attempts that an agent refused before doing any work on them.
    std::atomic<std::uint64_t> refusedByAgent{ 0 };
    /// Streams ended because the client read too slowly.
    std::atomic<std::uint64_t> slowCallers{ 0 };
    /// Requests cancelled after their client disconnected or read too slowly.
    std::atomic<std::uint64_t> cancelled{ 0 };
};

} // namespace egret
