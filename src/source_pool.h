#pragma once

#include "types.h"

#include <optional>
#include <vector>

namespace egret {

/// Chooses among the sources of weights: the origin and the stores. A source that refuses or
/// fails gets an exponential backoff, one that sent corrupt bytes a long backoff. No source
/// is chosen while all are backing off. Deterministic; not thread safe.
class SourcePool
{
public:
    /// Replaces the pool by `count` sources without failures or backoff.
    void reset(std::size_t count);

    /// The next source in round-robin order; empty while all are backing off.
    std::optional<std::size_t> choose(TimePoint now);

    /// Records a successful fetch.
    void onSuccess(std::size_t source);

    /// Records a failure or refusal; `retryAfter` is the delay that the source requested, or
    /// zero.
    void onFailure(std::size_t source, Milliseconds retryAfter, TimePoint now);

    /// Records bytes that don't match their digest.
    void onCorrupt(std::size_t source, TimePoint now);

private:
    struct Source
    {
        TimePoint notBefore;
        std::uint32_t failures{ 0 };
    };

    std::vector<Source> sources;
    std::size_t turn{ 0 };
};

} // namespace egret
