#include "staging.h"
#include "swarm.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

using namespace egret;

namespace {

constexpr std::size_t kChunks = 24;
constexpr Milliseconds kTick = 20ms;

/// `Swarm` state machines connected by a simulated network that drops messages, corrupts chunks
/// and can be partitioned. The content of a chunk is modelled by the number of its version, 0 for
/// corrupt bytes.
class Fleet
{
public:
    /// End of the transfer of a chunk.
    struct Delivery
    {
        TimePoint at;
        std::size_t to; ///< index of the receiving node
        std::size_t chunk;
        int contentVersion; ///< version of the bytes, 0 for corrupt bytes, -1 for a failed transfer
        std::string from;   ///< endpoint of the sending peer, empty for the source
        int version;        ///< version that the receiver requested
    };

    struct Node
    {
        PeerRecord record;
        std::unique_ptr<Swarm> swarm;
        int version{ 0 };               ///< version to fetch, 0 for none
        std::vector<int> chunkVersions; ///< version of the bytes stored for each chunk, 0 for none
        bool isAlive{ true };
        bool isFrozen{ false };     ///< receives and sends nothing, without an error
        bool isCorrupting{ false }; ///< sends corrupt chunks
        bool isSourceSilent{ false };
    };

    std::vector<Node> nodes;
    std::vector<Delivery> deliveries;
    std::vector<Delivery> pastDeliveries; ///< deliveries that a test may replay
    TimePoint now{ 1s };
    std::size_t sourceFetches{ 0 };
    std::size_t remoteFetches{ 0 };
    bool isSourceDown{ false };
    std::string partitionedZone; ///< zone cut off from the other zones, empty for none

    /// Options of every node; only `self` differs.
    SwarmOptions options;
    Duration chunkTime{ 0 }; ///< transmission time of a chunk on the link of the source, which
                             ///< all nodes share
    TimePoint sourceFreeAt;  ///< time when the source's link has sent all requested chunks
    Duration sourceTimeout{ 2 * kTick }; ///< a source fetch fails after this time while the source
                                         ///< is down

    explicit Fleet(std::size_t count, std::size_t zones = 3, SwarmOptions options = {},
                   const std::string &name = "node-")
        : options(std::move(options))
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::string zoneNumber = std::to_string(i % zones);
            this->nodes.push_back({ .record = { .endpoint = name + std::to_string(i),
                                                .zone = "zone-" + zoneNumber,
                                                .region = "region-" + zoneNumber } });
            this->restart(i, false);
        }
    }

    void restart(std::size_t i, bool keepsDisk)
    {
        Node &node = this->nodes[i];
        node.isAlive = true;
        node.isFrozen = false;
        this->options.self = node.record;
        node.swarm = std::make_unique<Swarm>(this->options);
        if (!keepsDisk)
            node.chunkVersions.assign(kChunks, 0);
        if (node.version != 0)
            this->switchTo(i, node.version);
    }

    void switchTo(std::size_t i, int version)
    {
        Node &node = this->nodes[i];
        node.version = version;
        ChunkSet held(kChunks);
        for (std::size_t chunk = 0; chunk < kChunks; ++chunk) {
            if (node.chunkVersions[chunk] == version)
                held.add(chunk);
            else
                node.chunkVersions[chunk] = 0;
        }
        node.swarm->setPeers(this->peersOf(i), this->now);
        node.swarm->start(kChunks, held, 1, this->now);
    }

    std::vector<PeerRecord> peersOf(std::size_t self) const
    {
        std::vector<PeerRecord> peers;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (i != self && this->nodes[i].isAlive)
                peers.push_back(this->nodes[i].record);
        }
        return peers;
    }

    bool isReachable(const Node &from, const Node &to) const
    {
        const bool isPartitioned = !this->partitionedZone.empty()
                                   && from.record.zone != to.record.zone
                                   && (from.record.zone == this->partitionedZone
                                       || to.record.zone == this->partitionedZone);
        return from.isAlive && to.isAlive && !from.isFrozen && !to.isFrozen && !isPartitioned;
    }

    Node *nodeAt(const std::string &endpoint)
    {
        for (Node &node : this->nodes) {
            if (node.record.endpoint == endpoint)
                return &node;
        }
        return nullptr;
    }

    void step()
    {
        this->now += kTick;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            Node &node = this->nodes[i];
            if (!node.isAlive || node.isFrozen || node.version == 0)
                continue;
            node.swarm->setPeers(this->peersOf(i), this->now);
            for (const SwarmAction &action : node.swarm->tick(this->now))
                this->execute(i, action);
        }
        std::vector<Delivery> due;
        std::erase_if(this->deliveries, [&](const Delivery &delivery) {
            if (delivery.at <= this->now)
                due.push_back(delivery);
            return delivery.at <= this->now;
        });
        for (const Delivery &delivery : due)
            this->deliver(delivery);
    }

    void execute(std::size_t self, const SwarmAction &action)
    {
        Node &node = this->nodes[self];
        Delivery delivery{
            .at = this->now + 2 * kTick, .to = self, .chunk = action.chunk, .version = node.version
        };
        if (action.kind == SwarmAction::Kind::fetchFromSource) {
            ++this->sourceFetches;
            delivery.contentVersion = this->isSourceDown ? -1 : node.version;
            this->sourceFreeAt = std::max(this->sourceFreeAt, this->now) + this->chunkTime;
            if (this->isSourceDown)
                delivery.at = this->now + this->sourceTimeout;
            else
                delivery.at = std::max(delivery.at, this->sourceFreeAt);
            this->deliveries.push_back(delivery);
            return;
        }
        Node *peer = this->nodeAt(action.peer);
        if (peer == nullptr || !this->isReachable(node, *peer))
            return;
        const bool isSameVersion = peer->version == node.version;
        switch (action.kind) {
        case SwarmAction::Kind::fetchFromPeer:
            if (node.record.region != peer->record.region)
                ++this->remoteFetches;
            delivery.from = action.peer;
            delivery.contentVersion = peer->isCorrupting ? 0
                                      : isSameVersion && peer->chunkVersions[action.chunk] > 0
                                              ? peer->chunkVersions[action.chunk]
                                              : -1;
            this->deliveries.push_back(delivery);
            break;
        case SwarmAction::Kind::sendHave:
            if (isSameVersion)
                peer->swarm->onHave(node.record.endpoint, action.chunks, this->now);
            break;
        case SwarmAction::Kind::sendProgress:
            if (isSameVersion)
                peer->swarm->onProgress(node.record.endpoint, node.swarm->count(), this->now);
            break;
        case SwarmAction::Kind::exchangeHoldings:
            if (!isSameVersion)
                break;
            peer->swarm->onHoldings(node.record.endpoint, node.swarm->holdings(), this->now);
            node.swarm->onHoldings(peer->record.endpoint, peer->swarm->holdings(), this->now);
            break;
        default:
            break;
        }
    }

    /// Takes the source down; in-flight transfers from the source fail.
    void takeSourceDown()
    {
        this->isSourceDown = true;
        for (Delivery &delivery : this->deliveries) {
            if (delivery.from.empty())
                delivery = { .at = this->now + this->sourceTimeout,
                             .to = delivery.to,
                             .chunk = delivery.chunk,
                             .contentVersion = -1,
                             .version = delivery.version };
        }
    }

    /// Ends a transfer as an agent does: only bytes of the node's version are stored.
    void deliver(const Delivery &delivery)
    {
        Node &node = this->nodes[delivery.to];
        if (!node.isAlive || node.isFrozen || node.version != delivery.version)
            return;
        this->pastDeliveries.push_back(delivery);
        if (delivery.contentVersion == node.version)
            node.chunkVersions[delivery.chunk] = delivery.contentVersion;
        node.swarm->onFetched(delivery.chunk,
                              delivery.contentVersion == node.version ? FetchOutcome::stored
                              : delivery.contentVersion < 0           ? FetchOutcome::failed
                                                                      : FetchOutcome::corrupt,
                              0ms, this->now);
    }

    bool areAllComplete() const
    {
        return std::ranges::all_of(
                this->nodes, [](const Node &node) { return !node.isAlive || node.swarm->done(); });
    }

    /// Whether every node stores the right bytes for each chunk that its `Swarm` counts as held.
    bool areHeldChunksVerified() const
    {
        return std::ranges::all_of(this->nodes, [](const Node &node) {
            for (std::size_t chunk = 0; chunk < kChunks; ++chunk) {
                if (node.version != 0 && node.swarm->holdings().has(chunk)
                    && node.chunkVersions[chunk] != node.version)
                    return false;
            }
            return true;
        });
    }

    bool runUntilComplete(Duration limit)
    {
        const TimePoint deadline = this->now + limit;
        while (this->now < deadline && !this->areAllComplete())
            this->step();
        return this->areAllComplete();
    }
};

} // namespace

TEST(Swarm, FetchesOneCopyFromTheSourceAndOneIntoEachOtherRegion)
{
    Fleet fleet(12);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.switchTo(i, 1);
    ASSERT_TRUE(fleet.runUntilComplete(60s));
    EXPECT_EQ(fleet.sourceFetches, kChunks);
    EXPECT_EQ(fleet.remoteFetches, 2 * kChunks);
}

TEST(Swarm, WaitsForItsPeersBeforeTheFirstSourceFetch)
{
    Swarm swarm(SwarmOptions{ .self = { .endpoint = "a", .zone = "z", .region = "r" } });
    TimePoint now{ 1s };
    swarm.start(kChunks, ChunkSet(kChunks), 1, now);
    EXPECT_TRUE(swarm.tick(now + 2900ms).empty());
    EXPECT_FALSE(swarm.tick(now + 3s).empty()) << "the wait for peers is bounded";
}

TEST(Swarm, ReplacesASilentDesignatedFetcher)
{
    Fleet fleet(9);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.switchTo(i, 1);
    fleet.nodes[4].isFrozen = true; // remains in the peer lists of the other nodes
    const TimePoint deadline = fleet.now + 120s;
    const auto areOthersComplete = [&] {
        return std::ranges::all_of(fleet.nodes, [](const Fleet::Node &node) {
            return node.isFrozen || node.swarm->done();
        });
    };
    while (fleet.now < deadline && !areOthersComplete())
        fleet.step();
    EXPECT_TRUE(areOthersComplete());
    EXPECT_LE(fleet.sourceFetches, kChunks + kChunks / 4);
}

TEST(Swarm, ReportsAndQuarantinesACorruptingPeer)
{
    Fleet fleet(6);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.switchTo(i, 1);
    fleet.nodes[2].isCorrupting = true;
    ASSERT_TRUE(fleet.runUntilComplete(120s));
    const bool isReported = std::ranges::any_of(fleet.nodes, [](const Fleet::Node &node) {
        return node.swarm->corruptPeers().contains("node-2");
    });
    EXPECT_TRUE(isReported);
    EXPECT_TRUE(fleet.areHeldChunksVerified());
}

TEST(Swarm, ResumesWhenALostSourceReturns)
{
    Fleet fleet(6);
    fleet.isSourceDown = true;
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.switchTo(i, 1);
    EXPECT_FALSE(fleet.runUntilComplete(60s));
    fleet.isSourceDown = false;
    EXPECT_TRUE(fleet.runUntilComplete(60s));
}

// Under any sequence of crashes, freezes, corruption, replays, partitions and version changes, a
// node counts only chunks of its version as held. Once the faults end, every node completes.
TEST(Swarm, EveryReachableReplicaCompletes)
{
    const bool isPassed = rc::check([] {
        Fleet fleet(*rc::gen::inRange<std::size_t>(2, 10));
        int version = 1;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
            fleet.switchTo(i, version);
        const auto commands = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 11), rc::gen::inRange(0, 1000)));
        for (const auto &[command, number] : commands) {
            const std::size_t i = static_cast<std::size_t>(number) % fleet.nodes.size();
            Fleet::Node &node = fleet.nodes[i];
            switch (command) {
            case 0:
                node.isAlive = false;
                break;
            case 1:
                fleet.restart(i, number % 2 == 0);
                break;
            case 2:
                node.isFrozen = !node.isFrozen;
                break;
            case 3:
                node.isCorrupting = !node.isCorrupting;
                break;
            case 4:
                fleet.isSourceDown = !fleet.isSourceDown;
                break;
            case 5:
                fleet.partitionedZone = fleet.partitionedZone.empty() ? node.record.zone : "";
                break;
            case 6: // a version change reaches some nodes now, and the other nodes later
                version = number % 2 == 0 ? version + 1 : std::max(1, version - 1);
                for (std::size_t j = 0; j < fleet.nodes.size(); ++j) {
                    if (fleet.nodes[j].isAlive && (number >> (j % 8U)) % 2 == 0)
                        fleet.switchTo(j, version);
                }
                break;
            case 7: // an old delivery is replayed
                if (!fleet.pastDeliveries.empty())
                    fleet.deliver(fleet.pastDeliveries[static_cast<std::size_t>(number)
                                                       % fleet.pastDeliveries.size()]);
                break;
            default:
                for (int step = 0; step < number; step += 10)
                    fleet.step();
            }
            RC_ASSERT(fleet.areHeldChunksVerified());
        }
        // End all faults.
        fleet.isSourceDown = false;
        fleet.partitionedZone.clear();
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            fleet.nodes[i].isFrozen = fleet.nodes[i].isCorrupting = false;
            if (!fleet.nodes[i].isAlive)
                fleet.restart(i, false);
            if (fleet.nodes[i].version != version)
                fleet.switchTo(i, version);
        }
        RC_ASSERT(fleet.runUntilComplete(300s));
        RC_ASSERT(fleet.areHeldChunksVerified());
    });
    EXPECT_TRUE(isPassed);
}

TEST(Swarm, AStalledSuperPeerStillFetchesChunksDesignatedByHash)
{
    // Every source fetch of this agent fails while the other agents progress, so this agent
    // counts itself as stalled. The other agents may not detect the stall, and may wait for this
    // agent to fetch its designated chunks. This agent must therefore continue to try.
    const PeerRecord self{ .endpoint = "node-0", .zone = "z", .region = "r" };
    Swarm swarm({ .self = self, .peerSettleTime = 0ms, .holdingsWait = 0ms, .stallTimeout = 1s });
    std::vector<PeerRecord> peers = { self };
    for (int i = 1; i < 6; ++i)
        peers.push_back({ .endpoint = "node-" + std::to_string(i), .zone = "z", .region = "r" });
    TimePoint now{ 1s };
    swarm.setPeers(peers, now);
    swarm.start(kChunks, ChunkSet(kChunks), 1, now);
    std::size_t lateFetches = 0;
    for (int step = 0; step < 400; ++step) {
        now += kTick;
        for (std::size_t i = 1; i < peers.size() && step % 10 == 0; ++i)
            swarm.onProgress(peers[i].endpoint, 1 + static_cast<std::size_t>(step) / 20, now);
        for (const SwarmAction &action : swarm.tick(now)) {
            if (action.kind != SwarmAction::Kind::fetchFromSource)
                continue;
            lateFetches += step > 250 ? 1 : 0;
            swarm.onFetched(action.chunk, FetchOutcome::failed, 0ms, now);
        }
    }
    EXPECT_GT(lateFetches, 0U);
}

// Guards against regions that wait for each other after an outage of the source. Soon after the
// nodes start to fetch a version, three nodes freeze for four seconds, and the source goes down
// before all chunks have been fetched. Once the source is up again, every region completes within
// one second plus the time that the source's link takes to send the missing chunks.
TEST(Swarm, EveryRegionCompletesSoonAfterALostSourceReturns)
{
    constexpr Milliseconds chunkTime = 100ms;
    for (int nameSet = 0; nameSet < 12; ++nameSet) {
        Fleet fleet(18, 3, stagingSwarmOptions({}, true, false),
                    "fleet-" + std::to_string(nameSet) + "-");
        fleet.chunkTime = chunkTime;
        fleet.sourceTimeout = 400ms;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
            fleet.switchTo(i, 1);
        const auto runFor = [&fleet](Duration time) {
            for (const TimePoint deadline = fleet.now + time; fleet.now < deadline;)
                fleet.step();
        };
        const auto setFrozen = [&fleet](bool isFrozen) {
            for (const std::size_t i : { 0, 4, 8 })
                fleet.nodes[i].isFrozen = isFrozen;
        };
        runFor(600ms);
        setFrozen(true);
        runFor(1500ms);
        fleet.takeSourceDown();
        runFor(2500ms);
        setFrozen(false);
        runFor(3500ms);
        ASSERT_FALSE(fleet.areAllComplete());
        std::size_t unheldChunkCount = 0;
        std::vector<bool> isHeldAnywhere(kChunks, false);
        for (const Fleet::Node &node : fleet.nodes) {
            for (std::size_t chunk = 0; chunk < kChunks; ++chunk)
                isHeldAnywhere[chunk] = isHeldAnywhere[chunk] || node.swarm->holdings().has(chunk);
        }
        unheldChunkCount = static_cast<std::size_t>(std::ranges::count(isHeldAnywhere, false));
        fleet.isSourceDown = false;
        fleet.sourceFreeAt = fleet.now;
        EXPECT_TRUE(fleet.runUntilComplete(1s + unheldChunkCount * chunkTime))
                << "name set " << nameSet;
    }
}
