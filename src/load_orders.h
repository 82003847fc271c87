#pragma once

#include "generated/messages.h"
#include "types.h"

#include <optional>
#include <string>

namespace egret {

/// Whether the fencing token `left` belongs to a newer revision than `right`: `left` has the
/// higher epoch, or the same epoch and the higher sequence number. Thread safe.
bool isNewer(const Fence &left, const Fence &right);

/// State that an engine reports.
struct EngineState
{
    std::uint64_t incarnation{ 0 };
    std::string version; ///< served weights version, empty for none
    Fence fence;         ///< fencing token of the newest load order that the engine received
};

/// A load order: the command from an agent to its engine to load a weights version.
struct EngineLoadOrder
{
    std::uint64_t number{ 0 }; ///< distinguishes the orders to one engine
    Fence fence;               ///< fencing token: identifies the configuration revision that
                               ///< names `version`
    std::string version;
    std::string path;
};

/// Result of a load order as observed by its sender.
enum class LoadOrderOutcome {
    loaded,     ///< the engine reported that it serves the version
    notSent,    ///< no byte of the order was sent
    staleFence, ///< the engine refused a stale fencing token
    failed,     ///< the engine responded that it can't load the version
    unknown     ///< the order was sent, but no response came: the engine may have run the order,
                ///< or may run the order later
};

struct LoadOrderOptions
{
    bool engineChecksFences{ false };            ///< the engine refuses stale fencing tokens
    Milliseconds unresolvedOrderLifetime{ 30s }; ///< time after which an unresolved
                                                 ///< order can no longer run
    Milliseconds baseRetryDelay{ 500ms }; ///< base of the backoff, doubled per consecutive failure
    Milliseconds maxRetryDelay{ 30s };
};

/// Scheduler of the load orders from an agent to its engine: decides when the next order is sent.
/// The agent is the only sender of orders to the engine. Orders carry fencing tokens and are sent
/// one at a time; after each order, the engine's state is read before the next order. An order
/// without a response is unresolved: its outcome is unknown, and the engine may still run the
/// order. Until an unresolved order can no longer run, an engine that doesn't check fencing tokens
/// gets only orders for the version of the unresolved order. Deterministic; not thread safe.
class LoadOrderScheduler
{
public:
    explicit LoadOrderScheduler(LoadOrderOptions options) : options(options) {}

    /// Sets the version that the engine has to serve, as named by the revision with the fencing
    /// token `fence`. `path` is the path of the version's weights. The call is ignored unless the
    /// revision is newer than the last accepted revision. Precondition: the weights are complete.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Processes the engine's state as returned by a read that started at `readStartedAt`.
    /// Ignored while an order is running, and when the read started before the last order ended.
    void onState(const EngineState &state, TimePoint readStartedAt);

    /// Records that the engine did not respond to a read of its state.
    void onStateUnavailable();

    /// Processes the end of the order `number`; ignored unless that order is running.
    void onOutcome(std::uint64_t number, LoadOrderOutcome outcome, TimePoint now);

    /// Returns the order to send now, if any. The order counts as running until `onOutcome`.
    std::optional<EngineLoadOrder> next(TimePoint now);

    /// Whether the engine may be loading: an order is running, or an order is unresolved and the
    /// engine's state has not been read since the last order.
    bool mayBeLoading() const
    {
        return this->runningOrder || (this->unresolvedOrder && !this->engineState);
    }

    /// Number of consecutive orders that the engine refused or failed.
    std::uint32_t failures() const { return this->consecutiveFailures; }

    /// Number of version changes of the engine that no order of this agent caused.
    std::uint64_t externalChanges() const { return this->externalChangeCount; }

private:
    bool mayUnresolvedOrderStillRun(TimePoint now) const;
    void countExternalChange(const EngineState &state);

    LoadOrderOptions options;
    EngineLoadOrder wantedOrder;
    std::optional<EngineLoadOrder> runningOrder;
    /// Newest unresolved order; the engine may still run a delayed copy of the order.
    std::optional<EngineLoadOrder> unresolvedOrder;
    TimePoint unresolvedSince;
    /// Incarnation at the first read after `unresolvedOrder` ended without a response, 0 before
    /// that read.
    std::uint64_t incarnationAtFirstRead{ 0 };
    std::optional<EngineState> engineState; ///< state read after the last order ended; empty
                                            ///< before that read, or without a response
    std::string lastVersion; ///< version seen at the last read or loaded by a later order
    std::uint64_t lastIncarnation{ 0 };
    TimePoint lastOrderEndedAt;
    TimePoint retryAt;
    std::uint64_t orderCount{ 0 };
    std::uint32_t consecutiveFailures{ 0 };
    std::uint64_t externalChangeCount{ 0 };
};

} // namespace egret
