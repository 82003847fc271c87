#pragma once

#include "types.h"

#include <optional>
#include <vector>

namespace egret {

/// Chooses among the sources of weights: the origin and the stores. A source that refuses or
/// fails a fetch gets an exponential backoff, and a source that sent corrupt bytes gets a long
/// fixed backoff; a single source gets short backoffs only. No source is chosen while all sources
/// are in backoff. Deterministic; not thread safe.
class SourcePool
{
public:
    /// Sets the number of sources to `count`, and clears all failures and backoffs. Each source
    /// is identified by its index.
    void reset(std::size_t count);

    /// Returns the next source in round-robin order; empty while all are in backoff.
    std::optional<std::size_t> choose(TimePoint now);

    /// Records a successful fetch.
    void onSuccess(std::size_t source);

    /// Records a failed or refused fetch; `retryAfter` is the delay that the source requested,
    /// or zero.
    void onFailure(std::size_t source, Milliseconds retryAfter, TimePoint now);

    /// Records that a source sent bytes that don't match their digest.
    void onCorrupt(std::size_t source, TimePoint now);

private:
    struct Source
    {
        TimePoint backoffUntil;
        std::uint32_t failures{ 0 }; ///< consecutive failures
    };

    std::vector<Source> sources;
    std::size_t nextIndex{ 0 };
};

} // namespace egret
