#pragma once

#include "generated/messages.h"
#include "generated/settings.h"
#include "manifest.h"
#include "source_pool.h"
#include "types.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace egret {

/// An action that the swarm state machine requests from its caller.
struct SwarmAction
{
    enum class Kind {
        fetchFromSource, ///< fetch `chunk` from `source`
        fetchFromPeer,   ///< fetch `chunk` from `peer`
        cancel,          ///< cancel the transfer of `chunk`
        sendHave,        ///< announce to `peer` that `chunks` are held
        sendProgress,    ///< send `peer` the number of chunks held
        exchangeHoldings ///< send `peer` the set of chunks held, and request the peer's set
    };
    Kind kind{ Kind::fetchFromSource };
    std::size_t chunk{ 0 };
    std::string peer; ///< endpoint
    std::size_t source{ 0 };
    std::vector<std::uint32_t> chunks;
};

/// Result of the transfer of a chunk.
enum class FetchOutcome { kept, failed, corrupt };

/// Reasons for a lack of progress, for a log line.
struct SwarmStall
{
    std::size_t missing{ 0 };
    std::size_t firstMissing{ 0 };    ///< number of the first missing chunk
    std::size_t holders{ 0 };         ///< usable holders of the first missing chunk
    std::string reach;                ///< farthest place from which this agent may fetch that chunk
    std::size_t transfers{ 0 };       ///< in flight
    std::size_t sourceTransfers{ 0 }; ///< in-flight transfers from sources
    std::size_t designated{ 0 };      ///< chunks that this agent has to fetch from sources
    std::uint8_t widening{ 0 };       ///< steps by which the reach is widened
    Milliseconds sinceLastChunk{ 0 }; ///< time since the last chunk was stored
};

/// Maximum number of super-peers over all zones.
inline constexpr std::size_t kMaxSuperPeers = 64;

struct SwarmOptions
{
    PeerRecord self;
    WeightsPolicy policy{ WeightsPolicy::swarm };
    std::size_t maxTransfers{ 8 };       ///< chunks in flight at once
    std::size_t maxPeerTransfers{ 2 };   ///< in-flight chunks from one peer
    std::size_t maxSourceTransfers{ 2 }; ///< in-flight chunks from sources
    std::size_t maxRemoteTransfers{ 2 }; ///< in-flight chunks from other regions
    /// Agents over all zones that may fetch across zones.
    std::size_t maxSuperPeers{ kMaxSuperPeers };
    /// The peer list must be unchanged for this long before the first source fetch.
    Milliseconds peerSettleTime{ 1s };
    Milliseconds holdingsWait{ 200ms }; ///< time for peers to send their holdings before the
                                        ///< first source fetch
    Milliseconds maxSettleTime{ 3s };   ///< upper bound of both waits before the first source fetch
    Milliseconds blockTimeout{ 5s };    ///< a transfer from a peer is cancelled after this long
                                        ///< without a block
    Milliseconds sourceTimeout{ 30s };  ///< a transfer from a source is cancelled after this time
    Milliseconds maxHoldingsPeriod{ 4s }; ///< longest time between two holdings exchanges of a
                                          ///< starved agent
    /// Delay before neighbours receive the announcement of a chunk. Where chunks are
    /// relayed within the zone, most neighbours hold the chunk by then.
    Milliseconds haveDelay{ 0 };
    std::size_t holdingsFanOut{ 1 };     ///< peers per holdings exchange after the first
    Milliseconds stallTimeout{ 6s };     ///< a super-peer is passed over after this time without a
                                         ///< message, or without progress while others progress
    Milliseconds evaluationPeriod{ 4s }; ///< time between two evaluations of the super-peers
    /// The reach of an agent without transfers widens by one step per period without a chunk.
    Milliseconds wideningPeriod{ 5s };
    /// Widening steps after which any agent fetches from a source; twice as many while
    /// the designated fetcher still sends messages, because the source then serves no agent.
    std::uint8_t sourceWideningSteps{ 12 };
};

/// Selects the peers that an agent has to know: all agents of its own zone, and the
/// super-peers of every other zone. Thread safe.
std::vector<PeerRecord> selectSwarmPeers(const std::vector<PeerRecord> &all,
                                         const PeerRecord &self);

/// Decides which chunk of one weights version is fetched from which peer or source.
/// Super-peers are a bounded number of agents per zone, one of which is designated for
/// each chunk by rendezvous hashing: the first of all fetches the chunk from a source,
/// the first of each region from another region, the first of each zone from its region.
/// All other agents fetch from neighbours in their zone, rarest first. A slow or silent
/// super-peer is passed over; because agents may disagree on which super-peers are slow
/// or silent, the first by hash stays designated in addition to its substitute.
/// Deterministic; not thread safe.
class Swarm
{
public:
    explicit Swarm(SwarmOptions options);

    /// Starts on a version of which the chunks in `held` are already stored.
    void start(std::size_t chunkCount, const ChunkSet &held, std::size_t sources, TimePoint now);

    /// Sets the other agents that want the version.
    void setPeers(const std::vector<PeerRecord> &peers, TimePoint now);

    /// Processes the complete set of chunks that a peer holds.
    void onHoldings(const std::string &peer, const ChunkSet &chunks, TimePoint now);

    /// Processes additional chunks that a peer holds.
    void onHave(const std::string &peer, const std::vector<std::uint32_t> &chunks, TimePoint now);

    /// Processes the number of chunks that a peer holds.
    void onProgress(const std::string &peer, std::size_t count, TimePoint now);

    /// Records the arrival of a part of a chunk.
    void onBlock(std::size_t chunk, TimePoint now);

    /// Processes the end of a transfer; `retryAfter` is the delay that a source requested, or
    /// zero.
    void onFetched(std::size_t chunk, FetchOutcome outcome, Milliseconds retryAfter, TimePoint now);

    /// Records a chunk that was received without a request and stored.
    void onPushedChunk(std::size_t chunk, TimePoint now);

    /// Returns the actions that are due; call every few tens of milliseconds.
    std::vector<SwarmAction> tick(TimePoint now);

    /// Describes the chunks that this agent waits for. Precondition: not done.
    SwarmStall stall(TimePoint now) const;

    bool done() const { return this->held.size() > 0 && this->heldCount == this->held.size(); }
    const PeerRecord &self() const { return this->options.self; }
    const ChunkSet &holdings() const { return this->held; }
    std::size_t count() const { return this->heldCount; }

    /// Endpoints of peers that sent corrupt chunks of this version.
    const std::set<std::string> &corruptPeers() const { return this->corrupt; }

    /// Whether a peer is in another region.
    bool isRemote(const std::string &peer) const;

private:
    /// The farthest place from which an agent may fetch a chunk.
    enum class Reach : std::uint8_t { zone, region, remote, source };

    struct PendingHave
    {
        std::uint32_t chunk{ 0 };
        TimePoint notBefore;
    };

    struct Member
    {
        PeerRecord record;
        ChunkSet held;
        bool neighbour{ false };
        bool isSuperPeer{ false };
        bool stalled{ false };
        bool quarantined{ false }; ///< sent corrupt bytes; passed over until `quarantinedUntil`
        TimePoint quarantinedUntil;
        std::size_t progress{ 0 };
        TimePoint lastProgressAt;
        TimePoint lastActivityAt;
        std::size_t windowStart{ 0 };  ///< `progress` at the start of the evaluation period
        std::size_t windowChunks{ 0 }; ///< chunks gained in the last complete evaluation period
        std::size_t transfers{ 0 };    ///< in flight from this member
        TimePoint cooldownUntil;
        std::deque<PendingHave> pendingHaves; ///< held chunks to announce to this member
    };

    struct Transfer
    {
        Member *from{ nullptr }; ///< null for a source
        std::size_t source{ 0 };
        TimePoint startedAt;
        TimePoint lastActivityAt;
    };

    /// The agents designated for the chunks of one hash slot.
    struct Slot
    {
        Reach reach{ Reach::zone };
        std::vector<Member *> sourceFetchers; ///< the healthy one, then the one by hash
        std::vector<Member *> regionFetchers; ///< of the other regions, at most two per region
        std::vector<Member *> zoneFetchers;   ///< of the region's other zones, at most two per zone
    };

    using ReadyKey = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t>;

    // Designation of agents.
    void rebuild();
    void chooseSuperPeers();
    void chooseNeighbours();
    void fillSlot(std::size_t slot);
    const Slot &slotOf(std::size_t chunk) const;
    bool isFetcherAlive(std::size_t chunk) const;
    Member *treeParent();

    // Choice of chunks and holders.
    Reach reachOf(std::size_t chunk) const;
    bool usable(const Member &member, std::size_t chunk) const;
    ReadyKey readyKey(std::size_t chunk) const;
    void addHolder(std::size_t chunk);
    void countHolders();
    Member *chooseHolder(std::size_t chunk, TimePoint now);

    // Steps of a tick.
    void expireTransfers(TimePoint now, std::vector<SwarmAction> &actions);
    void evaluateSuperPeers(TimePoint now);
    void fetchFromPeers(TimePoint now, std::vector<SwarmAction> &actions);
    void fetchFromSources(TimePoint now, std::vector<SwarmAction> &actions);
    bool defersToSubstitute(std::size_t chunk, TimePoint now) const;
    void widenReach(TimePoint now);
    void announceHaves(TimePoint now, std::vector<SwarmAction> &actions);
    void announceProgress(TimePoint now, std::vector<SwarmAction> &actions);
    void exchangeHoldings(TimePoint now, std::vector<SwarmAction> &actions);

    void quarantine(Member &member, TimePoint now);
    void queueHaves(std::size_t chunk, Reach from, TimePoint now);
    Reach distanceOf(const Transfer &transfer) const;
    void detectPause(TimePoint now);
    void keep(std::size_t chunk, Reach from, TimePoint now);
    void endTransfer(std::size_t chunk);
    bool mayFetchFromSource(TimePoint now) const;
    Duration transferTimeout() const;

    SwarmOptions options;
    SourcePool sources;
    ChunkSet held;
    std::size_t heldCount{ 0 };
    TimePoint startedAt;
    TimePoint peersChangedAt; ///< last change of the peer list
    bool peersKnown{ false };
    std::map<std::string, Member> members;
    Member own; ///< this agent, evaluated by the same rules
    std::vector<Member *> superPeers;
    Member *parent{ nullptr };
    std::vector<Slot> slots;
    std::vector<std::uint32_t> holders;    ///< number of usable holders by chunk
    std::set<ReadyKey> ready;              ///< missing chunks with a usable holder, rarest first
    std::vector<std::uint32_t> designated; ///< missing chunks to fetch from sources
    std::map<std::size_t, Transfer> transfers;
    std::size_t sourceTransfers{ 0 };
    std::size_t remoteTransfers{ 0 };
    Duration averageTransfer{ 0 };
    std::set<std::string> corrupt;
    std::uint8_t widening{ 0 }; ///< steps by which the reach is widened
    TimePoint lastChunkAt;      ///< time when the last chunk was stored
    TimePoint lastTickAt;
    TimePoint windowStartedAt;
    TimePoint lastHavesAt;
    TimePoint progressSentAt;
    bool completionSent{ false }; ///< super-peers were informed of the completion
    TimePoint nextExchangeAt;
    Duration exchangePeriod{ 0 };
    std::size_t exchangeTurn{ 0 };
};

} // namespace egret
