#pragma once

#include "generated/messages.h"
#include "types.h"

#include <optional>
#include <string>

namespace egret {

/// Orders revisions: by epoch, then by sequence. Thread safe.
bool isNewer(const Fence &left, const Fence &right);

/// What an engine says of itself.
struct EngineState
{
    std::uint64_t incarnation{ 0 };
    std::string version; ///< weights it serves, empty for none
    Fence fence;         ///< newest order it knows of
};

/// An order to load a version.
struct EngineOrder
{
    std::uint64_t number{ 0 }; ///< identity of the attempt
    Fence fence;
    std::string version;
    std::string path;
};

/// How an order ended, as far as its sender can tell.
enum class LoadOrderOutcome {
    loaded,     ///< the engine says that it serves the version
    notSent,    ///< no byte of the order left
    staleFence, ///< the engine refused an old fencing number
    failed,     ///< the engine answered that it can't load the version
    lost        ///< sent, and no answer: it may have run, or may run yet
};

struct LoadOrderOptions
{
    bool engineChecksFences{ false }; ///< the engine refuses old fencing numbers
    Milliseconds settleTime{ 30s };   ///< time after which a lost order can't run any more
    Milliseconds firstRetry{ 500ms }; ///< wait after the first failed order, then doubled
    Milliseconds longestRetry{ 30s };
};

/// Gives load orders to one engine as its only orderer: one at a time, fenced,
/// and never another after a lost answer before the engine's state was read.
/// An engine that ignores fences is given no other version until a lost order
/// can't run any more. Deterministic; not thread safe.
class LoadOrders
{
public:
    explicit LoadOrders(LoadOrderOptions options) : options(options) {}

    /// Takes the version that a revision names, once it is held whole. A
    /// revision that is not newer than the one wanted is ignored.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Takes the engine's state, read since `readBegan`.
    void onState(const EngineState &state, TimePoint readBegan);

    /// Notes that the engine did not answer a read of its state.
    void onStateUnavailable();

    /// Takes the end of an order; one that is not the running order is ignored.
    void onOutcome(std::uint64_t number, LoadOrderOutcome outcome, TimePoint now);

    /// The order to give now, if any. It runs until `onOutcome`.
    std::optional<EngineOrder> next(TimePoint now);

    /// True while an order runs or its effect has not been read.
    bool isUnsettled() const { return this->running || (this->lost && !this->engine); }

    /// Orders in a row that the engine answered with a failure.
    std::uint32_t failures() const { return this->failedOrders; }

    /// Times that the engine changed its version without an order of this agent.
    std::uint64_t foreignChanges() const { return this->foreign; }

private:
    bool lostOrderMayRun(TimePoint now) const;
    void noteForeignChange(const EngineState &state);

    LoadOrderOptions options;
    EngineOrder wanted;
    std::optional<EngineOrder> running;
    std::optional<EngineOrder> lost; ///< newest one sent without an answer; a copy may run late
    TimePoint lostAt;
    std::uint64_t lostIncarnation{ 0 }; ///< engine at the first read after the loss
    std::optional<EngineState> engine;  ///< state read since the last order ended
    std::string lastVersion;            ///< version that the engine served when last read
    std::uint64_t lastIncarnation{ 0 };
    TimePoint endedAt;
    TimePoint retryAt;
    std::uint64_t orders{ 0 };
    std::uint32_t failedOrders{ 0 };
    std::uint64_t foreign{ 0 };
};

} // namespace egret
