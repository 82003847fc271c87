#pragma once

#include "swarm.h"
#include "types.h"

#include <cstdint>
#include <optional>

namespace egret {

/// Time limit for a response of the origin.
inline constexpr Milliseconds kOriginTimeout = 3s;
/// Maximum number of in-flight piece requests of a stager to the origin. The origin's link is as
/// thin as a stager's link, so two requests suffice: one piece is in transit while the next piece
/// is queued.
inline constexpr std::size_t kMaxOriginTransfers = 2;
/// A stager drops a piece request of a peer after this time in the queue, because the peer has
/// cancelled the transfer by then.
inline constexpr Milliseconds kUploadQueueTimeout = 2500ms;

/// Returns swarm options for the stager `self`. The timeouts are short, because stagers have only
/// a few seconds to distribute a version. `isNew`: the version was named just now, so no stager
/// can hold a piece of it yet. `hasRelay`: gateways relay pieces between the stagers of the zone.
SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool hasRelay);

struct StagingOptions
{
    /// All engines serve a new target version within this time after the version was named.
    Milliseconds rolloutLimit{ 8s };
    /// The last engine starts to load this long before `rolloutLimit` ends.
    Milliseconds lastLoadLead{ 800ms };
    Milliseconds retryDelay{ 300ms };           ///< after a failed task
    Milliseconds verificationLifetime{ 700ms }; ///< a verification older than this is repeated
                                                ///< before the load order
    /// A load order whose effect does not appear in the engine's status within this time counts
    /// as lost.
    Milliseconds orderTimeout{ 1s };
    /// A write that the engine left unanswered may be stored within this time after its end.
    Milliseconds writeTimeout{ 1s };
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
    collect,       ///< run one tick of the swarm that fetches the missing pieces
    readBack,      ///< read back and verify every staged piece
    order,         ///< order the engine to load the staged pieces
};

/// Decides how a stager brings one engine to the target version of its weights, which is the
/// version that the operator's configuration names. First the stager collects all pieces (the
/// chunks of `Swarm`) from peers and the origin, and stages each piece: writes the piece to the
/// engine, without effect on the loaded version. Right before the load order, the staged pieces
/// are read back and verified: staged bytes may become corrupt, and the engine doesn't verify the
/// bytes. The engine takes the staged bytes at the moment it accepts an order, and staged pieces
/// are overwritten. So no piece of a new target is staged while an order for an earlier target may
/// still be accepted, and pieces are read back only when no write can still be stored. The engines
/// load one after another over the time that remains until `rolloutLimit`, so that most engines
/// serve at any time. Deterministic; not thread safe.
class Staging
{
public:
    explicit Staging(StagingOptions options = {}) : options(options) {}

    /// Sets the target version; a version that is not newer than the target is ignored. `isNew`:
    /// the version was named just now. If false, the time when the version was named is unknown,
    /// and the engine loads without waiting for its position in the rollout.
    void setTarget(std::uint64_t version, bool isNew, TimePoint now);

    /// Sets the engine's position in the rollout: 0 for the first engine to load, 1 for the last.
    void setRolloutPosition(double position) { this->rolloutPosition = position; }

    void onEngineStatus(const EngineStatus &status, TimePoint now);

    /// Records that the engine did not respond; no load order is sent until the next status.
    void onEngineUnreachable() { this->engineStatus.reset(); }

    /// Returns the task to run now, or `none` while the last task is running or nothing is due.
    /// `collect` does not count as running: it is returned on every call until `onCollected`.
    StagingTask next(TimePoint now);

    /// Number of the task that `next` returned last, other than `collect`. The caller passes the
    /// number to the method that ends the task: the end of an earlier task, which may have been
    /// started for another target, doesn't end the present one.
    std::uint64_t taskNumber() const { return this->lastTask; }

    /// True while the task with this number is the running one.
    bool isRunning(std::uint64_t task) const { return this->runningTask == task; }

    /// Records that the manifest of the target version was received and is valid.
    void onManifest();

    /// Ends `fetchManifest` without a manifest.
    void onManifestFailed(std::uint64_t task, TimePoint now);

    /// The manifest in use is wrong: it is fetched again.
    void onManifestRejected(TimePoint now);

    /// True while the manifest of the target version is missing.
    bool lacksManifest() const { return this->phase == Phase::fetchingManifest; }

    /// Ends `checkHeld`. Collecting starts unless the engine did not respond.
    void onHeldChecked(std::uint64_t task, HeldPieces held, TimePoint now);

    /// Records that the caller began to write a piece to the engine.
    void onWriteStarted() { ++this->writesInFlight; }

    /// Records the end of a write, of any target. The engine may still store the piece later if
    /// it did not answer.
    void onWriteEnded(bool isAnswered, TimePoint now);

    /// Ends `collect`: all pieces are staged.
    void onCollected(TimePoint now);

    /// Ends `readBack`. `isIntact`: all pieces match their digests.
    void onReadBack(std::uint64_t task, bool isIntact, TimePoint now);

    /// Ends `readBack` after the engine left at least one read unanswered.
    void onReadBackUnanswered(std::uint64_t task, TimePoint now);

    /// Ends `order`. The order may have been sent for an earlier target.
    void onOrdered(std::uint64_t task, OrderReply reply, TimePoint now);

    std::uint64_t target() const { return this->version; }
    bool isLoaded() const
    {
        return this->engineStatus && this->engineStatus->version >= this->version;
    }

private:
    /// Current step on the way to the target version.
    enum class Phase : std::uint8_t {
        none,
        fetchingManifest,
        checkingHeld,
        collecting,
        staged,
        ordered
    };

    bool isLoadDue(TimePoint now) const;
    bool mayOrderBeAccepted(TimePoint now) const;
    bool mayWriteBeStored(TimePoint now) const;
    void scheduleRetry(TimePoint now);
    StagingTask start(StagingTask task);
    bool end(std::uint64_t task);

    StagingOptions options;
    std::uint64_t version{ 0 }; ///< target version, 0 for none
    TimePoint namedAt;          ///< time when the target was set
    bool isNew{ false };        ///< the target was named just now
    double rolloutPosition{ 0 };
    TimePoint stagedAt; ///< time when all pieces were staged
    Phase phase{ Phase::none };
    std::uint64_t lastTask{ 0 };    ///< number of the last task
    std::uint64_t runningTask{ 0 }; ///< number of the task in progress, 0 for none
    /// Number of the order that has not ended, 0 for none. It outlives a change of the target.
    std::uint64_t orderInFlight{ 0 };
    TimePoint orderExpiresAt; ///< an order without an answer takes no effect after this time
    std::size_t writesInFlight{ 0 };
    TimePoint writesExpireAt; ///< a write without an answer takes no effect after this time
    TimePoint notBefore;      ///< earliest time of the next task
    std::optional<TimePoint> verifiedAt; ///< time when all staged pieces were last found intact
    TimePoint orderedAt;
    std::optional<EngineStatus> engineStatus; ///< empty while the engine doesn't respond
};

} // namespace egret
