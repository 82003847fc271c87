#pragma once

#include "generated/messages.h"
#include "types.h"

#include <optional>
#include <string>

namespace egret {

/// Orders revisions: by epoch, then by sequence. Thread safe.
bool isNewer(const Fence &left, const Fence &right);

/// State reported by an engine.
struct EngineState
{
    std::uint64_t incarnation{ 0 };
    std::string version; ///< served weights version, empty for none
    Fence fence;         ///< fence of the newest order that the engine received
};

/// An order to load a version.
struct EngineOrder
{
    std::uint64_t number{ 0 }; ///< identifies the attempt
    Fence fence;
    std::string version;
    std::string path;
};

/// Result of a load order as observed by its sender.
enum class LoadOrderOutcome {
    loaded,     ///< the engine reported that it serves the version
    notSent,    ///< no byte of the order was sent
    staleFence, ///< the engine refused a stale fencing token
    failed,     ///< the engine responded that it can't load the version
    lost        ///< sent without a response: the order may have run or may still run
};

struct LoadOrderOptions
{
    bool engineChecksFences{ false };      ///< the engine refuses stale fencing tokens
    Milliseconds lostOrderLifetime{ 30s }; ///< time after which a lost order can no longer run
    Milliseconds baseRetryDelay{ 500ms };  ///< base backoff, doubled per consecutive failed order
    Milliseconds maxRetryDelay{ 30s };
};

/// Sequences the load orders to one engine, which has no other sender of orders. Orders are
/// fenced and sent one at a time; after a lost response the engine's state is read before
/// the next order. An engine that ignores fences gets no order for a different version until
/// a lost order can no longer run. Deterministic; not thread safe.
class LoadOrders
{
public:
    explicit LoadOrders(LoadOrderOptions options) : options(options) {}

    /// Sets the version that a revision names. Precondition: all of the version's chunks are
    /// held. A revision that is not newer than the current one is ignored.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Processes the engine's state; its read started at `readBegan`.
    void onState(const EngineState &state, TimePoint readBegan);

    /// Records that the engine did not respond to a read of its state.
    void onStateUnavailable();

    /// Processes the end of an order; any number but that of the running order is ignored.
    void onOutcome(std::uint64_t number, LoadOrderOutcome outcome, TimePoint now);

    /// The order to send now, if any. The order counts as running until `onOutcome`.
    std::optional<EngineOrder> next(TimePoint now);

    /// True while an order runs, or after a lost order while the engine's state is unknown.
    bool isUnsettled() const { return this->running || (this->lost && !this->engine); }

    /// Consecutive orders that the engine refused or failed.
    std::uint32_t failures() const { return this->consecutiveFailures; }

    /// Number of version changes of the engine without an order of this agent.
    std::uint64_t foreignChanges() const { return this->foreignChangeCount; }

private:
    bool mayLostOrderRun(TimePoint now) const;
    void countForeignChange(const EngineState &state);

    LoadOrderOptions options;
    EngineOrder wanted;
    std::optional<EngineOrder> running;
    /// Newest order without a response; a delayed copy may still run.
    std::optional<EngineOrder> lost;
    TimePoint lostAt;
    std::uint64_t lostIncarnation{ 0 }; ///< engine incarnation at the first read after the loss
    std::optional<EngineState> engine;  ///< state read since the last order ended
    std::string lastVersion;            ///< version that the engine served at the last read
    std::uint64_t lastIncarnation{ 0 };
    TimePoint endedAt;
    TimePoint retryAt;
    std::uint64_t orders{ 0 };
    std::uint32_t consecutiveFailures{ 0 };
    std::uint64_t foreignChangeCount{ 0 };
};

} // namespace egret
