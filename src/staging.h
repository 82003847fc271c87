#pragma once

#include "swarm.h"
#include "types.h"

#include <cstdint>
#include <optional>

namespace egret {

/// Time for an answer of the origin.
inline constexpr Milliseconds kOriginTimeout = 3s;
/// The origin's link is as thin as a stager's: one piece on the way and one waiting.
inline constexpr std::size_t kMaxOriginTransfers = 2;
/// Requests of peers that waited longer have been given up by them.
inline constexpr Milliseconds kUploadQueueTimeout = 2500ms;

/// How stagers bring in the pieces of a version whose bound is a few seconds
/// long. `isNew`: nothing of it can be anywhere yet. `isRelayed`: gateways pass
/// pieces on within the zone.
SwarmOptions stagingSwarmOptions(const PeerRecord &self, bool isNew, bool isRelayed);

struct StagingOptions
{
    Milliseconds bound{ 8s };          ///< time in which a named version is to be served
    Milliseconds lastLead{ 800ms };    ///< the last engine loads this long before the bound ends
    Milliseconds retry{ 300ms };       ///< after a failure
    Milliseconds verifiedFor{ 700ms }; ///< pieces read back longer ago are read back again
    Milliseconds orderPatience{ 1s };  ///< time for an order to show in the engine's report
};

/// What an engine says of itself.
struct EngineStanding
{
    std::uint64_t version{ 0 }; ///< of which it holds every layer, 0 for none
    bool isBusy{ false };       ///< carries out an order
};

/// How an order ended.
enum class OrderReply : std::uint8_t { started, alreadyLoaded, refused, unknown };

/// What the engine holds of the target version before collecting begins.
enum class HeldPieces : std::uint8_t {
    unknown, ///< it did not answer
    some,    ///< some of the pieces, or none
    all
};

/// What the shell is to do next.
enum class StagingTask : std::uint8_t {
    none,
    fetchManifest, ///< of the target version
    checkHeld,     ///< verify the pieces that are staged already
    collect,       ///< bring the missing pieces in, tick by tick
    readBack,      ///< read every staged piece back and verify it
    order,         ///< order the engine to load what is staged
};

/// Brings one engine to the version of its weights that is named: pieces are
/// collected, read back right before the order, since staged bytes may rot and
/// the engine doesn't check them, and loaded when the engine's turn has come.
/// Engines load one after the other over the time that is left, so that the
/// others serve meanwhile.
/// Deterministic; not thread safe.
class Staging
{
public:
    explicit Staging(StagingOptions options = {}) : options(options) {}

    /// Sets the version to be served. `isNew`: it was named just now.
    void setTarget(std::uint64_t version, bool isNew, TimePoint now);

    /// The engine's place among those that load: 0 for the first, 1 for the last.
    void setRolloutPosition(double place) { this->turn = place; }

    void onEngineStatus(const EngineStanding &standing, TimePoint now);

    /// The engine did not answer; nothing is ordered meanwhile.
    void onEngineUnreachable() { this->engine.reset(); }

    /// What is to be done now; the shell reports the end of every task but
    /// `collect` before it asks again.
    StagingTask next(TimePoint now);

    void onManifest(bool isTaken, TimePoint now);

    /// The staged pieces were read and verified; collecting begins.
    void onHeldChecked(HeldPieces held, TimePoint now);
    void onCollected(TimePoint now);

    /// Every piece was read back; `isWhole` when all were as they should be.
    void onReadBack(bool isWhole, TimePoint now);

    /// The engine did not answer while its pieces were read back.
    void onReadBackUnanswered(TimePoint now);

    void onOrdered(OrderReply outcome, TimePoint now);

    std::uint64_t target() const { return this->version; }
    bool isLoaded() const { return this->engine && this->engine->version >= this->version; }

private:
    enum class Phase : std::uint8_t { none, manifest, held, collecting, staged, ordered };

    bool isTurn(TimePoint now) const;
    void retryLater(TimePoint now);
    StagingTask run(StagingTask task);

    StagingOptions options;
    std::uint64_t version{ 0 };
    TimePoint namedAt;
    bool isNew{ false };
    double turn{ 0 };
    TimePoint stagedAt;
    Phase phase{ Phase::none };
    bool isRunning{ false }; ///< a task is under way
    TimePoint notBefore;
    std::optional<TimePoint> verifiedAt;
    TimePoint orderedAt;
    std::optional<EngineStanding> engine;
};

} // namespace egret
