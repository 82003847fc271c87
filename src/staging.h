#pragma once

#include "swarm.h"
#include "types.h"

#include <cstdint>
#include <optional>

namespace egret {

/// Time limit for a response of the origin.
inline constexpr Milliseconds kOriginTimeout = 3s;
/// Pieces requested from the origin at once. The origin's link is as thin as a stager's: one
/// piece is in transit and one is queued.
inline constexpr std::size_t kMaxOriginTransfers = 2;
/// Time after which a queued piece request is dropped: the peer has cancelled the transfer by
/// then.
inline constexpr Milliseconds kUploadQueueTimeout = 2500ms;

/// Swarm options for stagers, which have a few seconds to distribute a version. `isNew`: no
/// stager can hold a piece of the version yet. `hasRelay`: gateways relay pieces within the
/// zone.
SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool hasRelay);

struct StagingOptions
{
    Milliseconds bound{ 8s }; ///< time within which a newly named version has to be served
    /// The last engine starts to load this long before `bound` ends.
    Milliseconds lastLoadLead{ 800ms };
    Milliseconds retryDelay{ 300ms };           ///< after a failure
    Milliseconds verificationLifetime{ 700ms }; ///< older read-backs are repeated before an order
    /// Time for the effect of an order to appear in the engine's report.
    Milliseconds orderTimeout{ 1s };
};

/// State reported by an engine.
struct EngineStatus
{
    std::uint64_t version{ 0 }; ///< version of which the engine holds every layer, 0 for none
    bool isBusy{ false };       ///< the engine is executing an order
};

/// The engine's response to a load order.
enum class OrderReply : std::uint8_t { started, alreadyLoaded, refused, unknown };

/// Pieces of the target version at the engine before collecting starts.
enum class HeldPieces : std::uint8_t {
    unknown, ///< the engine did not respond
    some,    ///< some of the pieces, or none
    all
};

/// The task that the caller has to run next.
enum class StagingTask : std::uint8_t {
    none,
    fetchManifest, ///< of the target version
    checkHeld,     ///< verify the pieces that are already staged
    collect,       ///< fetch the missing pieces, one tick per call
    readBack,      ///< read back and verify every staged piece
    order,         ///< order the engine to load the staged pieces
};

/// Stages and loads the named weights version on one engine. Pieces are collected, read
/// back and verified right before the load order, because staged bytes may become corrupt and
/// the engine doesn't verify them, and loaded at the engine's position in the rollout. Engines load
/// one after the other over the remaining time, so that the others keep serving. Deterministic; not
/// thread safe.
class Staging
{
public:
    explicit Staging(StagingOptions options = {}) : options(options) {}

    /// Sets the target version; one that is not newer is ignored. `isNew`: the version was
    /// named just now.
    void setTarget(std::uint64_t version, bool isNew, TimePoint now);

    /// Sets the engine's position among the engines that load: 0 for the first, 1 for the last.
    void setRolloutPosition(double position) { this->rolloutPosition = position; }

    void onEngineStatus(const EngineStatus &status, TimePoint now);

    /// The engine did not respond; no order is given until the next status.
    void onEngineUnreachable() { this->engine.reset(); }

    /// Returns the task to run now. The caller reports the end of every task except `collect`
    /// before the next call has an effect.
    StagingTask next(TimePoint now);

    void onManifest(bool isAccepted, TimePoint now);

    /// The staged pieces were read and verified; collecting starts.
    void onHeldChecked(HeldPieces held, TimePoint now);
    void onCollected(TimePoint now);

    /// Every piece was read back; `isIntact` when all match their digests.
    void onReadBack(bool isIntact, TimePoint now);

    /// The engine did not respond to every read of the read-back.
    void onReadBackUnanswered(TimePoint now);

    void onOrdered(OrderReply reply, TimePoint now);

    std::uint64_t target() const { return this->version; }
    bool isLoaded() const { return this->engine && this->engine->version >= this->version; }

private:
    enum class Phase : std::uint8_t { none, manifest, held, collecting, staged, ordered };

    bool isDue(TimePoint now) const;
    void scheduleRetry(TimePoint now);
    StagingTask run(StagingTask task);

    StagingOptions options;
    std::uint64_t version{ 0 };
    TimePoint namedAt;
    bool isNew{ false };
    double rolloutPosition{ 0 };
    TimePoint stagedAt;
    Phase phase{ Phase::none };
    bool isRunning{ false }; ///< a task is in progress
    TimePoint notBefore;
    std::optional<TimePoint> verifiedAt;
    TimePoint orderedAt;
    std::optional<EngineStatus> engine;
};

} // namespace egret
