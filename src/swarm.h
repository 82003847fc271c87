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

/// An action that `Swarm` requests from its caller.
struct SwarmAction
{
    enum class Kind {
        fetchFromSource, ///< fetch `chunk` from `source`
        fetchFromPeer,   ///< fetch `chunk` from `peer`
        cancel,          ///< cancel the transfer of `chunk`
        sendHave,        ///< announce to `peer` that this agent holds `chunks`
        sendProgress,    ///< send `peer` the number of chunks that this agent holds
        exchangeHoldings ///< send `peer` this agent's holdings, and request the peer's holdings
    };
    Kind kind{ Kind::fetchFromSource };
    std::size_t chunk{ 0 };
    std::string peer;        ///< endpoint
    std::size_t source{ 0 }; ///< index in the list of sources
    std::vector<std::uint32_t> chunks;
};

/// Result of the transfer of a chunk.
enum class FetchOutcome {
    stored, ///< received, verified and written
    failed, ///< not received, or not written
    corrupt ///< received with a wrong digest
};

/// State of a `Swarm` that makes no progress, for a log line that shows the reason.
struct SwarmStall
{
    std::size_t missing{ 0 };           ///< number of missing chunks
    std::size_t firstMissing{ 0 };      ///< lowest number of a missing chunk
    std::size_t holders{ 0 };           ///< number of usable holders of `firstMissing`: peers that
                                        ///< hold the chunk and from which this agent may fetch it
    std::string firstMissingScope;      ///< fetch scope of this agent for `firstMissing` (see
                                        ///< `Swarm`): "zone", "region", "remote" or "source"
    std::size_t transfers{ 0 };         ///< number of in-flight transfers from peers and sources
    std::size_t sourceTransfers{ 0 };   ///< number of in-flight transfers from sources
    std::size_t sourceQueueLength{ 0 }; ///< number of chunks queued for a fetch from a source
    std::uint8_t wideningSteps{ 0 };    ///< steps by which the fetch scope is widened
    Milliseconds sinceLastChunk{ 0 };   ///< time since the last chunk was stored
};

/// Maximum number of super-peers (see `Swarm`) over all zones. Each zone has at least two
/// super-peers, even if the total then exceeds this maximum.
inline constexpr std::size_t kMaxSuperPeers = 64;

struct SwarmOptions
{
    PeerRecord self; ///< this agent
    /// `swarm`: agents fetch as described at `Swarm`. `tree`: the agents of each zone form a
    /// binary tree; the root fetches from sources, and every other agent fetches from its parent.
    /// `origin`: every agent fetches from sources.
    WeightsPolicy policy{ WeightsPolicy::swarm };
    std::size_t maxTransfers{ 8 };       ///< limit of in-flight transfers from peers and sources
    std::size_t maxPeerTransfers{ 2 };   ///< limit of in-flight transfers from one peer
    std::size_t maxSourceTransfers{ 2 }; ///< limit of in-flight transfers from sources
    std::size_t maxRemoteTransfers{ 2 }; ///< limit of in-flight transfers from other regions
    /// Limit of super-peers over all zones; each zone has at least two, even beyond the limit.
    std::size_t maxSuperPeers{ kMaxSuperPeers };
    /// The peer list must be unchanged for this time before the first source fetch.
    Milliseconds peerSettleTime{ 1s };
    /// The first source fetch starts no earlier than this time after the start. Peers send their
    /// holdings (see `Swarm`) in the meantime.
    Milliseconds holdingsWait{ 200ms };
    /// Source fetches start at the latest this time after the start, even if `peerSettleTime`
    /// or `holdingsWait` has not passed.
    Milliseconds maxSettleTime{ 3s };
    /// A transfer from a peer is cancelled after this time without a block. A block is a part of a
    /// chunk; a peer sends a chunk block by block.
    Milliseconds blockTimeout{ 5s };
    Milliseconds sourceTimeout{ 30s }; ///< a transfer from a source is cancelled after this time
    /// Longest time between two holdings exchanges of an agent that has no chunk to fetch from a
    /// peer.
    Milliseconds maxHoldingsPeriod{ 4s };
    /// Delay of announcements to neighbours. An announcement is dropped if the neighbour is known
    /// to hold the chunk when the delay ends. The delay is above 0 only for stagers whose fetched
    /// pieces are relayed to the other stagers of the zone: most neighbours then hold the chunk
    /// when the delay ends.
    Milliseconds haveDelay{ 0 };
    std::size_t holdingsFanOut{ 1 }; ///< peers per holdings exchange; the first exchange
                                     ///< includes all neighbours and super-peers
    /// A super-peer counts as stalled and gets a substitute (see `Swarm`) after this time without a
    /// message, or without progress while other super-peers progress.
    Milliseconds stallTimeout{ 6s };
    Milliseconds evaluationPeriod{ 4s }; ///< time between two evaluations of the super-peers
    /// An agent without in-flight transfers widens its fetch scope by one step per period without
    /// a new chunk. The period of an agent is this time multiplied by a factor between 1 and 2 that
    /// depends on the agent.
    Milliseconds wideningPeriod{ 5s };
    /// Widening steps after which an agent may fetch any chunk from a source. The first two steps
    /// widen the fetch scope by one level each, at most to other regions; the later steps have no
    /// effect until the number of steps set here is reached. For a chunk whose
    /// designated source fetcher is alive, twice as many steps are needed: a live fetcher that
    /// gets no chunk indicates that the source is down, and more requests would not help.
    std::uint8_t sourceWideningSteps{ 12 };
};

/// Selects the peers of the agent `self` from the list `all` of agents: the other agents of its
/// zone, and the super-peers of every other zone. Thread safe.
std::vector<PeerRecord> selectSwarmPeers(const std::vector<PeerRecord> &all,
                                         const PeerRecord &self);

/// Decides which chunk of one weights version an agent fetches from which peer or source. Where
/// the agent is a stager, the chunks are the pieces of the version.
///
/// A bounded number of agents in each zone are super-peers, which may fetch chunks from outside
/// their zone. For each chunk, rendezvous hashing designates super-peers in three steps:
/// - One super-peer of the whole swarm fetches the chunk from a source.
/// - In every region without that super-peer, one super-peer fetches the chunk from another
///   region.
/// - In every zone without a super-peer of the first two steps, one super-peer fetches the chunk
///   from another zone of its region.
///
/// All other agents fetch the chunk from agents of their zone. Each agent fetches the rarest
/// chunks first. Designation thus sets the fetch scope of an agent for a chunk: zone, region,
/// other regions or sources. An agent that gets no chunk widens its fetch scope step by step.
///
/// The holdings of an agent are the set of chunks that the agent has stored; two agents exchange
/// holdings when an announcement may have been lost. An agent announces each new chunk to its
/// neighbours, which are some or all agents of its zone. An agent that fetched the chunk from a
/// source or another region also announces the chunk to the super-peers that fetch the chunk in
/// the following steps.
///
/// A super-peer that is stalled (slow or silent) or quarantined (sent corrupt bytes) gets a
/// substitute, the next healthy super-peer by hash. Agents may disagree on which super-peers are
/// stalled, so the first super-peer by hash stays designated in addition to the substitute.
/// Deterministic; not thread safe.
class Swarm
{
public:
    explicit Swarm(SwarmOptions options);

    /// Starts to fetch a version with `chunkCount` chunks, of which those in `held` are already
    /// stored. `sources` is the number of sources.
    void start(std::size_t chunkCount, const ChunkSet &held, std::size_t sources, TimePoint now);

    /// Sets the other agents that fetch the version.
    void setPeers(const std::vector<PeerRecord> &peers, TimePoint now);

    /// Processes the holdings of a peer. In all functions, `peer` is the endpoint of the peer.
    void onHoldings(const std::string &peer, const ChunkSet &chunks, TimePoint now);

    /// Processes a peer's announcement of further chunks that the peer holds.
    void onHave(const std::string &peer, const std::vector<std::uint32_t> &chunks, TimePoint now);

    /// Processes a progress message of a peer, which holds `count` chunks; the message is also a
    /// heartbeat.
    void onProgress(const std::string &peer, std::size_t count, TimePoint now);

    /// Records the arrival of a block of a chunk in flight.
    void onBlock(std::size_t chunk, TimePoint now);

    /// Processes the end of a transfer; `retryAfter` is the delay that a source requested, or
    /// zero.
    void onFetched(std::size_t chunk, FetchOutcome outcome, Milliseconds retryAfter, TimePoint now);

    /// Records a chunk that was received without a request and stored.
    void onPushedChunk(std::size_t chunk, TimePoint now);

    /// Returns the actions that are due; call every few tens of milliseconds.
    std::vector<SwarmAction> tick(TimePoint now);

    /// Returns the state that shows why chunks are missing. Precondition: not done.
    SwarmStall stall(TimePoint now) const;

    /// Whether all chunks are stored.
    bool done() const { return this->held.size() > 0 && this->heldCount == this->held.size(); }
    const PeerRecord &self() const { return this->options.self; }
    const ChunkSet &holdings() const { return this->held; }
    /// Number of chunks that this agent holds.
    std::size_t count() const { return this->heldCount; }

    /// Endpoints of peers that sent corrupt chunks of this version.
    const std::set<std::string> &corruptPeers() const { return this->corruptSenders; }

    /// Whether a peer is in another region.
    bool isRemote(const std::string &peer) const;

private:
    /// Where a chunk may be fetched or was fetched, in order of distance: from this agent's
    /// zone, from this agent's region, from another region, or from a source. An agent that may
    /// fetch from a scope may also fetch from the nearer scopes.
    enum class FetchScope : std::uint8_t { zone, region, remote, source };

    /// A queued announcement of a chunk.
    struct PendingHave
    {
        std::uint32_t chunk{ 0 };
        TimePoint notBefore; ///< earliest time to send
    };

    /// An agent of the swarm as known to this agent.
    struct Member
    {
        PeerRecord record;
        ChunkSet held;
        bool isNeighbour{ false }; ///< gets an announcement of every chunk that this agent stores
        bool isSuperPeer{ false };
        bool isStalled{ false };     ///< super-peer that is silent, behind or far slower than
                                     ///< other super-peers
        bool isQuarantined{ false }; ///< sent corrupt bytes; passed over until `quarantinedUntil`
        TimePoint quarantinedUntil;
        std::size_t progress{ 0 };              ///< number of chunks that the member holds
        TimePoint lastProgressAt;               ///< time when `progress` last increased
        TimePoint lastActivityAt;               ///< time of the last message
        std::size_t progressAtPeriodStart{ 0 }; ///< `progress` at the start of the evaluation
                                                ///< period
        std::size_t chunksInPeriod{ 0 }; ///< chunks gained in the last complete evaluation period
        std::size_t transfers{ 0 };      ///< number of in-flight transfers from this member
        TimePoint cooldownUntil;         ///< no transfer from this member starts earlier
        std::deque<PendingHave> pendingHaves; ///< announcements to send to this member
    };

    struct Transfer
    {
        Member *from{ nullptr }; ///< null for a source
        std::size_t source{ 0 }; ///< index of the source, if `from` is null
        TimePoint startedAt;
        TimePoint lastActivityAt;
    };

    /// Designation for the chunks of one hash slot. Each designation is one super-peer, or two
    /// when the first super-peer by hash is unhealthy (stalled or quarantined): the lists then
    /// hold its substitute, followed by the unhealthy super-peer.
    struct Slot
    {
        FetchScope scope{ FetchScope::zone }; ///< fetch scope of this agent by designation
        std::vector<Member *> sourceFetchers; ///< super-peers that fetch from a source
        /// Designated super-peers of the regions other than this agent's region, which fetch across
        /// regions; at most two per region.
        std::vector<Member *> regionFetchers;
        /// Designated super-peers of the other zones in this agent's region, which fetch across
        /// zones; at most two per zone.
        std::vector<Member *> zoneFetchers;
    };

    /// Sort key of a chunk in rarest-first order: number of usable holders, hash, chunk number.
    using RarityKey = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t>;

    // Designation of agents.
    void updateDesignations();
    void chooseSuperPeers();
    void chooseNeighbours();
    void fillSlot(std::size_t slot);
    const Slot &slotOf(std::size_t chunk) const;
    bool isSourceFetcherAlive(std::size_t chunk) const;
    Member *findTreeParent();

    // Choice of chunks and holders.
    FetchScope fetchScope(std::size_t chunk) const;
    bool mayFetchFrom(const Member &member, std::size_t chunk) const;
    RarityKey rarityKey(std::size_t chunk) const;
    void addHolder(std::size_t chunk);
    void refillFetchQueues();
    Member *chooseHolder(std::size_t chunk, TimePoint now);

    // Steps of a tick.
    void cancelOverdueTransfers(TimePoint now, std::vector<SwarmAction> &actions);
    void evaluateSuperPeers(TimePoint now);
    void fetchFromPeers(TimePoint now, std::vector<SwarmAction> &actions);
    void fetchFromSources(TimePoint now, std::vector<SwarmAction> &actions);
    /// True when this agent, although designated to fetch `chunk` from a source, waits for its
    /// substitute to fetch the chunk.
    bool waitsForSubstitute(std::size_t chunk, TimePoint now) const;
    void widenFetchScope(TimePoint now);
    void announceHaves(TimePoint now, std::vector<SwarmAction> &actions);
    void announceProgress(TimePoint now, std::vector<SwarmAction> &actions);
    void exchangeHoldings(TimePoint now, std::vector<SwarmAction> &actions);

    void quarantine(Member &member, TimePoint now);
    void queueHaves(std::size_t chunk, FetchScope from, TimePoint now);
    FetchScope scopeOf(const Transfer &transfer) const;
    void resetTimersAfterMissedTicks(TimePoint now);
    void recordHeld(std::size_t chunk, FetchScope from, TimePoint now);
    void endTransfer(std::size_t chunk);
    bool mayFetchFromSource(TimePoint now) const;
    Duration transferTimeout() const;

    SwarmOptions options;
    SourcePool sources;
    ChunkSet held;
    std::size_t heldCount{ 0 };
    TimePoint startedAt;
    TimePoint peersChangedAt;              ///< last change of the peer list
    bool arePeersKnown{ false };           ///< the peer list was set
    std::map<std::string, Member> members; ///< the peers, by endpoint
    Member own;                            ///< this agent, evaluated by the same rules as its peers
    std::vector<Member *> superPeers;      ///< of all zones; may include `own`
    Member *parent{ nullptr }; ///< the only peer to fetch from under `WeightsPolicy::tree`
    std::vector<Slot> slots;
    std::vector<std::uint32_t> holderCounts; ///< number of usable holders of each chunk
    std::set<RarityKey> peerQueue; ///< chunks to fetch from peers, rarest first: missing, with a
                                   ///< usable holder, and not in flight
    /// Missing chunks to fetch from sources, the next chunk at the end. A queued chunk that has
    /// been stored, is in flight or has gained a usable holder is dropped when its turn comes.
    std::vector<std::uint32_t> sourceQueue;
    std::map<std::size_t, Transfer> transfers;
    std::size_t sourceTransfers{ 0 };     ///< number of in-flight transfers from sources
    std::size_t remoteTransfers{ 0 };     ///< number of in-flight transfers from other regions
    Duration averageTransferTime{ 0 };    ///< moving average over transfers from peers
    std::set<std::string> corruptSenders; ///< endpoints of peers that sent corrupt chunks
    std::uint8_t wideningSteps{ 0 };      ///< steps by which the fetch scope is widened
    TimePoint lastChunkAt;                ///< time when the last chunk was stored
    TimePoint lastTickAt;
    TimePoint periodStartedAt; ///< start of the current evaluation period
    TimePoint lastHavesAt;     ///< time when announcements were last sent
    TimePoint lastProgressSentAt;
    /// This agent is complete, and has sent the other super-peers its last progress message.
    bool isCompletionSent{ false };
    TimePoint nextExchangeAt;
    Duration exchangePeriod{ 0 };
    std::size_t exchangeCount{ 0 }; ///< number of holdings requests so far, for the round-robin
                                    ///< order of the peers
};

} // namespace egret
