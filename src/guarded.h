#pragma once

#include <cassert>
#include <mutex>

namespace egret {

/// Lock order of the tables that threads share: a thread that holds the lock of
/// a table may lock only tables of higher rank. Debug builds check the order.
enum class LockRank : int {
    control = 1, ///< state of the control quorum at this instance
    environment, ///< revision in force
    members,     ///< entry instances and the state exchanged with them
    directory,   ///< upstreams
    serving,     ///< requests in flight
    gate,        ///< claims that the gate of an agent has admitted
    swarm,       ///< chunks and their transfers
    metrics,     ///< counters and quantiles
};

namespace detail {
/// Highest rank among the tables that this thread has locked, 0 for none.
inline thread_local int heldLockRank = 0;
} // namespace detail

/// A table that the threads of a worker pool share. `with` locks the table for one call.
/// Thread safe.
template <class T, LockRank rank> class Guarded
{
public:
    Guarded() = default;
    template <class... Args> explicit Guarded(Args &&...args) : table(std::forward<Args>(args)...)
    {}

    /// Runs `work` on the table under its lock and returns its result. `work`
    /// must not block and must lock only tables of higher rank.
    template <class Work> decltype(auto) with(Work &&work)
    {
        const std::lock_guard lock(this->mutex);
        const RankScope scope;
        return work(this->table);
    }

private:
    /// Checks the lock order on construction and restores the previous rank on destruction.
    struct RankScope
    {
        RankScope() : previousRank(detail::heldLockRank)
        {
            assert(this->previousRank < static_cast<int>(rank) && "lock order violated");
            detail::heldLockRank = static_cast<int>(rank);
        }
        ~RankScope() { detail::heldLockRank = this->previousRank; }
        RankScope(const RankScope &) = delete;
        RankScope &operator=(const RankScope &) = delete;
        int previousRank;
    };

    std::mutex mutex;
    T table;
};

} // namespace egret
