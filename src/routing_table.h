#pragma once

#include "guarded.h"
#include "router.h"

#include <atomic>

namespace egret {

/// Directory of upstreams and router, shared by all requests of an entry instance.
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
    /// Messages of an agent that belong to another attempt, offset or identity than expected.
    std::atomic<std::uint64_t> mismatchedAnswers{ 0 };
    std::atomic<std::uint64_t> firstSends{ 0 }; ///< first attempts sent
    std::atomic<std::uint64_t> resumed{ 0 };    ///< attempts that resume a started stream
    /// Attempts that an agent refused before any work.
    std::atomic<std::uint64_t> refusedByAgent{ 0 };
    /// Streams ended because the client read too slowly.
    std::atomic<std::uint64_t> slowCallers{ 0 };
    /// Requests cancelled after their client disconnected or read too slowly.
    std::atomic<std::uint64_t> cancelled{ 0 };
};

} // namespace egret
