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

/// What the swarm machine asks its shell to do.
struct SwarmAction
{
    enum class Kind {
        fetchFromSource, ///< fetch `chunk` from `source`
        fetchFromPeer,   ///< fetch `chunk` from `peer`
        cancel,          ///< give up the transfer of `chunk`
        sendHave,        ///< tell `peer` that `chunks` are held
        sendProgress,    ///< tell `peer` how many chunks are held
        exchangeHoldings ///< tell `peer` which chunks are held, and ask for its own
    };
    Kind kind{ Kind::fetchFromSource };
    std::size_t chunk{ 0 };
    std::string peer; ///< endpoint
    std::size_t source{ 0 };
    std::vector<std::uint32_t> chunks;
};

/// How the transfer of a chunk ended.
enum class FetchOutcome { kept, failed, corrupt };

/// Why chunks don't come, for a log line.
struct SwarmStall
{
    std::size_t missing{ 0 };
    std::size_t firstMissing{ 0 };    ///< number of a missing chunk
    std::size_t holders{ 0 };         ///< usable holders of that chunk
    std::string reach;                ///< from how far this agent may fetch that chunk
    std::size_t transfers{ 0 };       ///< under way
    std::size_t sourceTransfers{ 0 }; ///< of these from sources
    std::size_t designated{ 0 };      ///< chunks that this agent is to fetch from sources
    std::uint8_t widening{ 0 };       ///< steps by which the reach is widened
    Milliseconds sinceLastChunk{ 0 }; ///< time since a chunk was kept
};

/// Most heads over all zones.
inline constexpr std::size_t kSwarmHeads = 64;

struct SwarmOptions
{
    PeerRecord self;
    WeightsPolicy policy{ WeightsPolicy::swarm };
    std::size_t maxTransfers{ 8 };       ///< chunks fetched at once
    std::size_t maxPeerTransfers{ 2 };   ///< of these from one peer
    std::size_t maxSourceTransfers{ 2 }; ///< of these from sources
    std::size_t maxRemoteTransfers{ 2 }; ///< of these from other regions
    std::size_t heads{ kSwarmHeads };    ///< agents that may fetch across zones, over all zones
    Milliseconds settleTime{ 1s }; ///< peers must stand unchanged before the first source fetch
    Milliseconds answerTime{
        200ms
    }; ///< time for peers to say what they hold, before a source is asked
    Milliseconds settleLimit{ 3s };  ///< and this is the longest wait for it
    Milliseconds idleLimit{ 5s };    ///< time without a block after which a transfer is given up
    Milliseconds sourceLimit{ 30s }; ///< time after which a source's answer is given up
    Milliseconds longestAsk{ 4s };   ///< longest time between two questions while starved
    /// Before neighbours are told of a chunk: where chunks are passed on to them,
    /// most have it by then.
    Milliseconds newsDelay{ 0 };
    std::size_t asksAtOnce{ 1 };    ///< peers that are asked each time after the first
    Milliseconds stallLimit{ 6s };  ///< time of silence, or without progress while others
                                    ///< progress, after which a head is passed over
    Milliseconds judgePeriod{ 4s }; ///< heads are judged this often
    Milliseconds patience{ 5s };    ///< starved time after which the rules on whom to ask widen
    /// Steps of that after which any agent asks a source, and twice as many where
    /// the agent that is to ask it is still heard: then the source gives nobody anything.
    std::uint8_t sourceWidening{ 12 };
};

/// The peers that an agent must know: all of its zone, and of every other zone
/// the heads. Thread safe.
std::vector<PeerRecord> selectSwarmPeers(const std::vector<PeerRecord> &all,
                                         const PeerRecord &self);

/// Decides which chunk of one weights version is fetched from whom. Of the
/// heads, a bounded number of agents in each zone, one is designated for each
/// chunk by rendezvous hashing: the first of all fetches it from a source, the
/// first of each region across regions, the first of each zone within its
/// region; everyone else from neighbours in the zone, rarest first. A head
/// that is slow or silent is passed over; since views of that differ, the one
/// that comes first by hash keeps its duty besides. Deterministic; not thread safe.
class Swarm
{
public:
    explicit Swarm(SwarmOptions options);

    /// Turns to a version of which `held` chunks are there already.
    void start(std::size_t chunkCount, const ChunkSet &held, std::size_t sources, TimePoint now);

    /// Sets the other agents that want the version.
    void setPeers(const std::vector<PeerRecord> &peers, TimePoint now);

    /// Takes a peer's whole list of held chunks.
    void onHoldings(const std::string &peer, const ChunkSet &chunks, TimePoint now);

    /// Takes chunks that a peer holds besides those known.
    void onHave(const std::string &peer, const std::vector<std::uint32_t> &chunks, TimePoint now);

    /// Takes the number of chunks that a peer holds.
    void onProgress(const std::string &peer, std::size_t count, TimePoint now);

    /// Notes that a part of a chunk has arrived.
    void onBlock(std::size_t chunk, TimePoint now);

    /// Takes the end of a transfer; `retryAfter` is what a source asked for, or zero.
    void onFetched(std::size_t chunk, FetchOutcome outcome, Milliseconds retryAfter, TimePoint now);

    /// Takes a chunk that came without being asked for, and is kept.
    void onPushedChunk(std::size_t chunk, TimePoint now);

    /// Decides what to do now; call every few tens of milliseconds.
    std::vector<SwarmAction> tick(TimePoint now);

    /// What this agent waits for. Precondition: not done.
    SwarmStall stall(TimePoint now) const;

    bool done() const { return this->held.size() > 0 && this->heldCount == this->held.size(); }
    const PeerRecord &self() const { return this->options.self; }
    const ChunkSet &holdings() const { return this->held; }
    std::size_t count() const { return this->heldCount; }

    /// Endpoints of peers that sent damaged chunks of this version.
    const std::set<std::string> &corruptPeers() const { return this->corrupt; }

    /// Whether a peer is in another region.
    bool isRemote(const std::string &peer) const;

private:
    /// How far an agent may reach for a chunk.
    enum class Reach : std::uint8_t { zone, region, remote, source };

    struct News
    {
        std::uint32_t chunk{ 0 };
        TimePoint notBefore;
    };

    struct Member
    {
        PeerRecord record;
        ChunkSet held;
        bool neighbour{ false };
        bool head{ false };
        bool stalled{ false };
        bool distrusted{ false }; ///< sent damaged bytes; passed over until `trustedAt`
        TimePoint trustedAt;
        std::size_t progress{ 0 };
        TimePoint progressAt;
        TimePoint heardAt;
        std::size_t windowStart{ 0 }; ///< progress at the start of the window
        std::size_t windowGain{ 0 };  ///< chunks gained in the last whole window
        std::size_t transfers{ 0 };   ///< running from this member
        TimePoint avoidUntil;
        std::deque<News> news; ///< held chunks that it is to be told of
    };

    struct Transfer
    {
        Member *from{ nullptr }; ///< null for a source
        std::size_t source{ 0 };
        TimePoint startedAt;
        TimePoint heardAt;
    };

    /// The agents designated for the chunks of one slot.
    struct Slot
    {
        Reach reach{ Reach::zone };
        std::vector<Member *> sourceFirsts; ///< the standing one, then the one by hash
        std::vector<Member *> regionFirsts; ///< of the other regions, up to two of each
        std::vector<Member *> zoneFirsts;   ///< of the other zones of the region, up to two of each
    };

    using ReadyKey = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t>;

    // Who is designated.
    void rebuild();
    void chooseHeads();
    void chooseNeighbours();
    void fillSlot(std::size_t slot);
    const Slot &slotOf(std::size_t chunk) const;
    bool isFetcherHeard(std::size_t chunk) const;
    Member *parentInTree();

    // Which chunks can be fetched.
    Reach reachOf(std::size_t chunk) const;
    bool usable(const Member &member, std::size_t chunk) const;
    ReadyKey readyKey(std::size_t chunk) const;
    void addHolder(std::size_t chunk);
    void countHolders();
    Member *chooseHolder(std::size_t chunk, TimePoint now);

    // Steps of a tick.
    void expireTransfers(TimePoint now, std::vector<SwarmAction> &actions);
    void judgeHeads(TimePoint now);
    void fetchFromPeers(TimePoint now, std::vector<SwarmAction> &actions);
    void fetchFromSources(TimePoint now, std::vector<SwarmAction> &actions);
    bool leavesToOther(std::size_t chunk, TimePoint now) const;
    void widenReach(TimePoint now);
    void tellNews(TimePoint now, std::vector<SwarmAction> &actions);
    void tellProgress(TimePoint now, std::vector<SwarmAction> &actions);
    void exchangeHoldings(TimePoint now, std::vector<SwarmAction> &actions);

    void distrust(Member &member, TimePoint now);
    void announce(std::size_t chunk, Reach from, TimePoint now);
    Reach distanceOf(const Transfer &transfer) const;
    void noticePause(TimePoint now);
    void keep(std::size_t chunk, Reach from, TimePoint now);
    void endTransfer(std::size_t chunk);
    bool maySource(TimePoint now) const;
    Duration transferLimit() const;

    SwarmOptions options;
    SourcePool sources;
    ChunkSet held;
    std::size_t heldCount{ 0 };
    TimePoint startedAt;
    TimePoint peersAt; ///< last change of the peers
    bool peersKnown{ false };
    std::map<std::string, Member> members;
    Member own; ///< own standing, judged by the same rules
    std::vector<Member *> heads;
    Member *parent{ nullptr };
    std::vector<Slot> slots;
    std::vector<std::uint32_t> holders;    ///< usable holders by chunk
    std::set<ReadyKey> ready;              ///< missing chunks with a usable holder, rarest first
    std::vector<std::uint32_t> designated; ///< missing chunks to fetch from sources
    std::map<std::size_t, Transfer> transfers;
    std::size_t sourceTransfers{ 0 };
    std::size_t remoteTransfers{ 0 };
    Duration averageTransfer{ 0 };
    std::set<std::string> corrupt;
    std::uint8_t widening{ 0 }; ///< steps by which the reach is widened
    TimePoint gainedAt;         ///< last chunk kept
    TimePoint tickedAt;
    TimePoint windowAt;
    TimePoint newsAt;
    TimePoint progressToldAt;
    bool wholeTold{ false }; ///< the heads were told that nothing is missing
    TimePoint askAt;
    Duration askPeriod{ 0 };
    std::size_t askTurn{ 0 };
};

} // namespace egret
