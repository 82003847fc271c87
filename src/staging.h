#pragma once

#include "swarm.h"
#include "types.h"

#include <cstdint>
#include <optional>

namespace egret {

/// Time limit for a response of the origin.
inline constexpr Milliseconds kOriginTimeout = 3s;
/// In-flight piece requests of a stager to the origin. The origin's link is as thin as a
/// stager's, so two suffice: one piece is in transit while the other is queued.
inline constexpr std::size_t kMaxOriginTransfers = 2;
/// A stager drops a peer's piece request that was queued for longer: by then, the peer has
/// cancelled the transfer.
inline constexpr Milliseconds kUploadQueueTimeout = 2500ms;

/// Returns swarm options for the stager `self`; stagers have a few seconds to distribute a
/// version. `isNew`: no stager can hold a piece of the version yet. `hasRelay`: gateways relay
/// pieces between the stagers of the zone.
SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool hasRelay);

struct StagingOptions
{
    Milliseconds rolloutLimit{ 8s }; ///< all engines serve a newly named version within this time
    /// The last engine starts to load this long before `rolloutLimit` ends.
    Milliseconds lastLoadLead{ 800ms };
    Milliseconds retryDelay{ 300ms };           ///< after a failed task
    Milliseconds verificationLifetime{ 700ms }; ///< an older verification is repeated before the
                                                ///< load order
    /// Time for the effect of a load order to appear in the engine's status.
    Milliseconds orderTimeout{ 1s };
};

/// Status reported by an engine.
struct EngineStatus
{
    std::uint64_t version{ 0 }; ///< version of which the engine has loaded every layer, 0 for none
    bool isBusy{ false };       ///< the engine is executing a load order
};

/// The engine's response to a load order; `unknown` if the engine did not respond.
enum class OrderReply : std::uint8_t { started, alreadyLoaded, refused, unknown };

/// Which pieces of the target version are already staged when the stager checks the engine.
enum class HeldPieces : std::uint8_t {
    unknown, ///< the engine did not respond
    some,    ///< not all pieces, perhaps none
    all
};

/// The task that the caller has to run next.
enum class StagingTask : std::uint8_t {
    none,
    fetchManifest, ///< fetch the manifest of the target version
    checkHeld,     ///< read and verify the pieces that are already staged
    collect,       ///< fetch the missing pieces, one tick per call
    readBack,      ///< read back and verify every staged piece
    order,         ///< order the engine to load the staged pieces
};

/// Decides how a stager brings one engine to the target version of its weights, which is the
/// version that the operator's configuration names. First the stager collects all pieces (the
/// chunks of `Swarm`) from peers and the origin, and stages them: writes them to the engine,
/// without effect on the loaded version. Right before the load order, the staged pieces are read
/// back and verified: staged bytes may become corrupt, and the engine doesn't verify them. Engines
/// load one after the other over the remaining time, in rollout order, so that the others keep
/// serving. Deterministic; not thread safe.
class Staging
{
public:
    explicit Staging(StagingOptions options = {}) : options(options) {}

    /// Sets the target version; a version that is not newer than the target is ignored. `isNew`:
    /// the version was named just now. Otherwise the time when it was named is unknown, and the
    /// engine loads without waiting for its position in the rollout.
    void setTarget(std::uint64_t version, bool isNew, TimePoint now);

    /// Sets the engine's position in the rollout: 0 for the first engine to load, 1 for the last.
    void setRolloutPosition(double position) { this->rolloutPosition = position; }

    void onEngineStatus(const EngineStatus &status, TimePoint now);

    /// Records that the engine did not respond; no load order is sent until the next status.
    void onEngineUnreachable() { this->engineStatus.reset(); }

    /// Returns the task to run now: `none` until the caller has reported the end of the last
    /// task. `collect` is returned on every call until `onCollected`.
    StagingTask next(TimePoint now);

    /// Ends `fetchManifest`. `isAccepted`: the manifest was received and is valid.
    void onManifest(bool isAccepted, TimePoint now);

    /// Ends `checkHeld`. Collecting starts unless the engine did not respond.
    void onHeldChecked(HeldPieces held, TimePoint now);

    /// Ends `collect`: all pieces are staged.
    void onCollected(TimePoint now);

    /// Ends `readBack`. `isIntact`: all pieces match their digests.
    void onReadBack(bool isIntact, TimePoint now);

    /// Ends `readBack` after the engine left at least one read unanswered.
    void onReadBackUnanswered(TimePoint now);

    /// Ends `order`.
    void onOrdered(OrderReply reply, TimePoint now);

    std::uint64_t target() const { return this->version; }
    bool isLoaded() const
    {
        return this->engineStatus && this->engineStatus->version >= this->version;
    }

private:
    /// What the staging waits for or does next.
    enum class Phase : std::uint8_t {
        none,
        fetchingManifest,
        checkingHeld,
        collecting,
        staged,
        ordered
    };

    bool isLoadDue(TimePoint now) const;
    void scheduleRetry(TimePoint now);
    StagingTask start(StagingTask task);

    StagingOptions options;
    std::uint64_t version{ 0 };
    TimePoint namedAt;   ///< time when the target was set
    bool isNew{ false }; ///< the target was named just now
    double rolloutPosition{ 0 };
    TimePoint stagedAt;
    Phase phase{ Phase::none };
    bool isRunning{ false };             ///< a task is in progress
    TimePoint notBefore;                 ///< earliest time of the next task
    std::optional<TimePoint> verifiedAt; ///< time when all staged pieces were last found intact
    TimePoint orderedAt;
    std::optional<EngineStatus> engineStatus; ///< empty while the engine doesn't respond
};

} // namespace egret
