#include "swarm.h"

#include <algorithm>
#include <utility>

namespace egret {

namespace {

/// Number of hash slots. The slot of a chunk is the chunk number modulo the number of slots.
constexpr std::size_t kSlotCount = 256;
constexpr std::size_t kMaxFullMeshAgents = 12; ///< zones of up to 12 agents form a full mesh
constexpr std::size_t kMaxScannedChunks = 64;  ///< chunks of `peerQueue` examined per tick
/// A super-peer is slow if it gains fewer chunks per period than the median of all super-peers
/// divided by this factor.
constexpr std::size_t kSlowFactor = 8;
/// No super-peer counts as slow while the median is below this number of chunks per period.
constexpr std::size_t kMinMedianChunks = 8;
/// Time between two batches of announcements.
constexpr Milliseconds kHavePeriod = 50ms;
/// Progress messages that each super-peer sends per `stallTimeout`.
constexpr int kProgressMessagesPerStallTimeout = 3;
constexpr Milliseconds kMinExchangePeriod = 500ms; ///< shortest time between holdings exchanges
constexpr Milliseconds kMinTransferTimeout = 4s;
constexpr Milliseconds kTimeoutCooldown = 2s;    ///< of a peer whose transfer was cancelled
constexpr Milliseconds kFailedCooldown = 500ms;  ///< of a peer whose transfer failed
constexpr Milliseconds kCorruptQuarantine = 60s; ///< of a peer that sent corrupt bytes
constexpr int kTransferTimeoutFactor = 6; ///< timeout of a transfer, in average transfer times
constexpr std::uint8_t kMaxRemoteWideningSteps = 2; ///< steps from the zone to other regions

/// Finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Hash of an endpoint: FNV-1a with a final mix.
std::uint64_t hashOf(const std::string &endpoint)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : endpoint)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(hash);
}

/// Rendezvous weight of an agent for a slot; the agent with the highest weight is designated.
/// Called with a chunk number instead of a slot, the function gives each agent its own order of
/// the chunks.
std::uint64_t rendezvousWeight(const std::string &endpoint, std::size_t slot)
{
    return mix(hashOf(endpoint) ^ mix(slot + 1));
}

/// Number of super-peers of each zone: an equal share of `superPeerCount`, but at least two.
std::size_t superPeersPerZone(std::size_t superPeerCount, std::size_t zoneCount)
{
    constexpr std::size_t minPerZone = 2;
    return std::max(minPerZone, superPeerCount / zoneCount);
}

} // namespace

std::vector<PeerRecord> selectSwarmPeers(const std::vector<PeerRecord> &all, const PeerRecord &self)
{
    // Step 1. Sort the agents of each zone by descending hash.
    std::map<std::string, std::vector<std::pair<std::uint64_t, const PeerRecord *>>> zones;
    for (const PeerRecord &peer : all)
        zones[peer.zone].emplace_back(hashOf(peer.endpoint), &peer);
    // Step 2. Select all agents of this zone and the super-peers of every other zone.
    std::vector<PeerRecord> peers;
    for (auto &[zone, agents] : zones) {
        std::ranges::sort(agents, std::greater{});
        const bool isOwn = zone == self.zone;
        const std::size_t count =
                isOwn ? agents.size()
                      : std::min(agents.size(), superPeersPerZone(kMaxSuperPeers, zones.size()));
        for (std::size_t i = 0; i < count; ++i) {
            if (agents[i].second->endpoint != self.endpoint)
                peers.push_back(*agents[i].second);
        }
    }
    return peers;
}

Swarm::Swarm(SwarmOptions options) : options(std::move(options))
{
    this->own.record = this->options.self;
}

void Swarm::start(std::size_t chunkCount, const ChunkSet &heldChunks, std::size_t sourceCount,
                  TimePoint now)
{
    this->held = heldChunks;
    if (this->held.size() != chunkCount)
        this->held = ChunkSet(chunkCount);
    this->heldCount = this->held.count();
    this->sources.reset(sourceCount);
    this->startedAt = this->lastChunkAt = this->periodStartedAt = this->lastTickAt = now;
    this->lastProgressSentAt = this->nextExchangeAt = this->lastHavesAt = now;
    this->exchangePeriod = kMinExchangePeriod;
    this->exchangeCount = 0;
    this->isCompletionSent = false;
    this->wideningSteps = 0;
    this->transfers.clear();
    this->sourceTransfers = this->remoteTransfers = 0;
    this->averageTransferTime = Duration{ 0 };
    this->corruptSenders.clear();
    this->own = { .record = this->options.self,
                  .progress = this->heldCount,
                  .lastProgressAt = now,
                  .lastActivityAt = now,
                  .progressAtPeriodStart = this->heldCount };
    for (auto &[endpoint, member] : this->members) {
        const PeerRecord record = member.record;
        member = { .record = record,
                   .held = ChunkSet(chunkCount),
                   .lastProgressAt = now,
                   .lastActivityAt = now };
    }
    this->updateDesignations();
}

void Swarm::setPeers(const std::vector<PeerRecord> &peers, TimePoint now)
{
    this->arePeersKnown = true;
    std::map<std::string, Member> newMembers;
    bool hasChanged = false;
    for (const PeerRecord &peer : peers) {
        if (peer.endpoint == this->options.self.endpoint)
            continue;
        const bool isKnown = this->members.contains(peer.endpoint);
        hasChanged = hasChanged || !isKnown;
        if (!isKnown)
            newMembers[peer.endpoint] = { .record = peer,
                                          .held = ChunkSet(this->held.size()),
                                          .lastProgressAt = now,
                                          .lastActivityAt = now };
    }
    const auto isListed = [&](const std::string &endpoint) {
        return std::ranges::any_of(
                peers, [&](const PeerRecord &peer) { return peer.endpoint == endpoint; });
    };
    // Step 1. End the transfers from departed peers.
    for (auto &[endpoint, member] : this->members) {
        if (isListed(endpoint))
            continue;
        hasChanged = true;
        std::vector<std::size_t> ended;
        for (const auto &[chunk, transfer] : this->transfers) {
            if (transfer.from == &member)
                ended.push_back(chunk);
        }
        for (const std::size_t chunk : ended)
            this->endTransfer(chunk);
    }
    if (!hasChanged)
        return;
    // Step 2. Apply the list; pointers to remaining members stay valid.
    std::erase_if(this->members, [&](const auto &entry) { return !isListed(entry.first); });
    this->members.merge(newMembers);
    this->peersChangedAt = now;
    this->updateDesignations();
}

void Swarm::onHoldings(const std::string &peer, const ChunkSet &chunks, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end() || chunks.size() != this->held.size())
        return;
    std::vector<std::uint32_t> newChunks;
    for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
        if (chunks.has(chunk) && !found->second.held.has(chunk))
            newChunks.push_back(static_cast<std::uint32_t>(chunk));
    }
    // Backoff: holdings without a new chunk double the time between exchanges.
    if (newChunks.empty())
        this->exchangePeriod =
                std::min<Duration>(2 * this->exchangePeriod, this->options.maxHoldingsPeriod);
    this->onHave(peer, newChunks, now);
}

void Swarm::onHave(const std::string &peer, const std::vector<std::uint32_t> &chunks, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end())
        return;
    Member &member = found->second;
    member.lastActivityAt = now;
    std::size_t gained = 0;
    for (const std::uint32_t chunk : chunks) {
        if (chunk >= member.held.size() || member.held.has(chunk))
            continue;
        member.held.add(chunk);
        ++gained;
        if (this->mayFetchFrom(member, chunk))
            this->addHolder(chunk);
    }
    if (gained > 0) {
        this->exchangePeriod = kMinExchangePeriod;
        this->onProgress(peer, member.progress + gained, now);
    }
}

void Swarm::onProgress(const std::string &peer, std::size_t count, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end())
        return;
    found->second.lastActivityAt = now;
    if (count <= found->second.progress)
        return;
    found->second.progress = std::min(count, this->held.size());
    found->second.lastProgressAt = now;
}

void Swarm::onBlock(std::size_t chunk, TimePoint now)
{
    const auto found = this->transfers.find(chunk);
    if (found != this->transfers.end())
        found->second.lastActivityAt = now;
}

void Swarm::onFetched(std::size_t chunk, FetchOutcome outcome, Milliseconds retryAfter,
                      TimePoint now)
{
    const auto found = this->transfers.find(chunk);
    FetchScope from = FetchScope::zone;
    if (found != this->transfers.end()) {
        const Transfer transfer = found->second;
        from = this->scopeOf(transfer);
        if (transfer.from != nullptr && outcome == FetchOutcome::stored)
            this->averageTransferTime =
                    (3 * this->averageTransferTime + (now - transfer.startedAt)) / 4;
        else if (transfer.from != nullptr)
            transfer.from->cooldownUntil = now + kFailedCooldown;
        else if (outcome == FetchOutcome::stored)
            this->sources.onSuccess(transfer.source);
        else if (outcome == FetchOutcome::corrupt)
            this->sources.onCorrupt(transfer.source, now);
        else
            this->sources.onFailure(transfer.source, retryAfter, now);
        this->endTransfer(chunk);
        if (transfer.from != nullptr && outcome == FetchOutcome::corrupt)
            this->quarantine(*transfer.from, now);
    }
    if (outcome == FetchOutcome::stored)
        this->recordHeld(chunk, from, now);
}

void Swarm::onPushedChunk(std::size_t chunk, TimePoint now)
{
    this->endTransfer(chunk);
    this->recordHeld(chunk, FetchScope::zone, now);
}

/// Records a chunk as held; `from` is the scope from which the chunk was fetched.
void Swarm::recordHeld(std::size_t chunk, FetchScope from, TimePoint now)
{
    if (chunk >= this->held.size() || this->held.has(chunk))
        return;
    this->peerQueue.erase(this->rarityKey(chunk));
    this->held.add(chunk);
    ++this->heldCount;
    this->own.progress = this->heldCount;
    this->own.lastProgressAt = this->lastChunkAt = now;
    if (this->wideningSteps > 0) {
        this->wideningSteps = 0;
        this->refillFetchQueues();
    }
    this->queueHaves(chunk, from, now);
}

std::vector<SwarmAction> Swarm::tick(TimePoint now)
{
    std::vector<SwarmAction> actions;
    if (this->held.size() == 0)
        return actions;
    this->resetTimersAfterMissedTicks(now);
    if (!this->done()) {
        this->cancelOverdueTransfers(now, actions);
        this->evaluateSuperPeers(now);
        this->widenFetchScope(now);
        this->fetchFromPeers(now, actions);
        this->fetchFromSources(now, actions);
        this->exchangeHoldings(now, actions);
    }
    this->announceHaves(now, actions);
    this->announceProgress(now, actions);
    return actions;
}

SwarmStall Swarm::stall(TimePoint now) const
{
    static constexpr const char *scopeNames[] = { "zone", "region", "remote", "source" };
    SwarmStall stall{ .missing = this->held.size() - this->heldCount,
                      .transfers = this->transfers.size(),
                      .sourceTransfers = this->sourceTransfers,
                      .sourceQueueLength = this->sourceQueue.size(),
                      .wideningSteps = this->wideningSteps,
                      .sinceLastChunk = std::chrono::floor<Milliseconds>(now - this->lastChunkAt) };
    while (stall.firstMissing < this->held.size() && this->held.has(stall.firstMissing))
        ++stall.firstMissing;
    if (stall.firstMissing < this->held.size()) {
        stall.holders = this->holderCounts[stall.firstMissing];
        stall.firstMissingScope =
                scopeNames[static_cast<std::size_t>(this->fetchScope(stall.firstMissing))];
    }
    return stall;
}

bool Swarm::isRemote(const std::string &peer) const
{
    const auto found = this->members.find(peer);
    return found != this->members.end() && found->second.record.region != this->options.self.region;
}

/// Recomputes the super-peers, neighbours, tree parent, designations and fetch queues.
void Swarm::updateDesignations()
{
    this->chooseSuperPeers();
    this->chooseNeighbours();
    this->parent = this->findTreeParent();
    this->slots.assign(kSlotCount, Slot{});
    for (std::size_t slot = 0; slot < kSlotCount; ++slot)
        this->fillSlot(slot);
    this->refillFetchQueues();
}

/// Makes the agents with the highest hashes of each zone its super-peers.
void Swarm::chooseSuperPeers()
{
    std::map<std::string, std::vector<Member *>> zones;
    zones[this->options.self.zone].push_back(&this->own);
    for (auto &[endpoint, member] : this->members)
        zones[member.record.zone].push_back(&member);
    const std::size_t perZone = superPeersPerZone(this->options.maxSuperPeers, zones.size());
    this->superPeers.clear();
    for (auto &[zone, agents] : zones) {
        std::ranges::sort(agents, std::greater{},
                          [](const Member *member) { return hashOf(member->record.endpoint); });
        for (std::size_t i = 0; i < agents.size(); ++i) {
            agents[i]->isSuperPeer = i < perZone;
            if (agents[i]->isSuperPeer)
                this->superPeers.push_back(agents[i]);
        }
    }
}

/// Chooses the neighbours of this agent, which get an announcement of every chunk. In a large
/// zone, the neighbours are the agents at distances 1, 2, 4, ... on a hash ring. This relation is
/// symmetric, and announcements reach all agents of the zone in few hops.
void Swarm::chooseNeighbours()
{
    std::vector<Member *> ring;
    for (auto &[endpoint, member] : this->members) {
        member.isNeighbour = false;
        if (member.record.zone == this->options.self.zone)
            ring.push_back(&member);
    }
    if (ring.size() < kMaxFullMeshAgents || this->options.policy == WeightsPolicy::tree) {
        for (Member *member : ring)
            member->isNeighbour = true;
        return;
    }
    ring.push_back(&this->own);
    std::ranges::sort(ring, std::less{},
                      [](const Member *member) { return hashOf(member->record.endpoint); });
    const auto ownIndex =
            static_cast<std::size_t>(std::ranges::find(ring, &this->own) - ring.begin());
    for (std::size_t distance = 1; distance <= ring.size() / 2; distance *= 2) {
        ring[(ownIndex + distance) % ring.size()]->isNeighbour = true;
        ring[(ownIndex + ring.size() - distance) % ring.size()]->isNeighbour = true;
    }
}

/// Finds the designated agents of a slot among the super-peers. Stalled and quarantined
/// super-peers are passed over unless all candidates are stalled or quarantined.
void Swarm::fillSlot(std::size_t slot)
{
    /// A super-peer and its weight. `consider` prefers healthy candidates, then higher weights.
    struct Best
    {
        Member *member{ nullptr };
        std::uint64_t weight{ 0 };
        bool isHealthy{ false };

        void consider(Member *candidate, std::uint64_t candidateWeight)
        {
            const bool isCandidateHealthy = !candidate->isStalled && !candidate->isQuarantined;
            if (this->member == nullptr
                || std::tie(isCandidateHealthy, candidateWeight)
                           > std::tie(this->isHealthy, this->weight))
                *this = { .member = candidate,
                          .weight = candidateWeight,
                          .isHealthy = isCandidateHealthy };
        }
    };
    // A stalled super-peer stays designated in addition to its substitute. Agents may disagree
    // on which super-peers are stalled. If only the substitute were designated, the two
    // super-peers could wait for each other to fetch the chunk.
    struct Designation
    {
        Best healthy;
        Best byHash; ///< by weight alone

        void consider(Member *candidate, std::uint64_t weight)
        {
            this->healthy.consider(candidate, weight);
            if (this->byHash.member == nullptr || weight > this->byHash.weight)
                this->byHash = { .member = candidate, .weight = weight };
        }
        bool contains(const Member *member) const
        {
            return member == this->healthy.member || member == this->byHash.member;
        }
        void addTo(std::vector<Member *> &list) const
        {
            list.push_back(this->healthy.member);
            if (this->byHash.member != this->healthy.member)
                list.push_back(this->byHash.member);
        }
    };
    Designation overall;
    std::map<std::string, Designation> regions;
    std::map<std::string, Designation> zones;
    for (Member *superPeer : this->superPeers) {
        const std::uint64_t weight = rendezvousWeight(superPeer->record.endpoint, slot);
        overall.consider(superPeer, weight);
        regions[superPeer->record.region].consider(superPeer, weight);
        if (superPeer->record.region == this->options.self.region)
            zones[superPeer->record.zone].consider(superPeer, weight);
    }
    Slot &filled = this->slots[slot];
    overall.addTo(filled.sourceFetchers);
    if (overall.contains(&this->own))
        filled.scope = FetchScope::source;
    else if (regions[this->options.self.region].contains(&this->own))
        filled.scope = FetchScope::remote;
    else if (zones[this->options.self.zone].contains(&this->own))
        filled.scope = FetchScope::region;
    for (const auto &[region, designation] : regions) {
        if (region != this->options.self.region)
            designation.addTo(filled.regionFetchers);
    }
    for (const auto &[zone, designation] : zones) {
        if (zone != this->options.self.zone)
            designation.addTo(filled.zoneFetchers);
    }
}

const Swarm::Slot &Swarm::slotOf(std::size_t chunk) const
{
    return this->slots[chunk % kSlotCount];
}

/// The parent of this agent in the binary tree of its zone; null for the root.
Swarm::Member *Swarm::findTreeParent()
{
    std::vector<Member *> zoneAgents{ &this->own };
    for (auto &[endpoint, member] : this->members) {
        if (member.record.zone == this->options.self.zone)
            zoneAgents.push_back(&member);
    }
    std::ranges::sort(zoneAgents, std::less{},
                      [](const Member *member) { return hashOf(member->record.endpoint); });
    const auto ownIndex = static_cast<std::size_t>(std::ranges::find(zoneAgents, &this->own)
                                                   - zoneAgents.begin());
    return ownIndex == 0 ? nullptr : zoneAgents[(ownIndex - 1) / 2];
}

/// Whether another agent that is designated to fetch a chunk from a source sent a message within
/// `stallTimeout`. Always true unless this agent is a super-peer: agents that are not super-peers
/// receive too few messages from the designated agents to detect their silence.
bool Swarm::isSourceFetcherAlive(std::size_t chunk) const
{
    if (!this->own.isSuperPeer)
        return true;
    return std::ranges::any_of(this->slotOf(chunk).sourceFetchers, [this](const Member *fetcher) {
        return fetcher != &this->own
               && this->lastTickAt - fetcher->lastActivityAt <= this->options.stallTimeout;
    });
}

/// The farthest scope from which this agent may fetch a chunk, by designation and widening.
Swarm::FetchScope Swarm::fetchScope(std::size_t chunk) const
{
    const FetchScope designatedScope = this->slotOf(chunk).scope;
    const int sourceSteps =
            this->options.sourceWideningSteps * (this->isSourceFetcherAlive(chunk) ? 2 : 1);
    if (designatedScope == FetchScope::source || this->wideningSteps >= sourceSteps)
        return FetchScope::source;
    const auto widened = static_cast<std::uint8_t>(designatedScope)
                         + std::min<std::uint8_t>(this->wideningSteps, kMaxRemoteWideningSteps);
    return static_cast<FetchScope>(std::min<int>(widened, static_cast<int>(FetchScope::remote)));
}

/// Whether this agent may fetch a chunk from a member.
bool Swarm::mayFetchFrom(const Member &member, std::size_t chunk) const
{
    if (this->options.policy == WeightsPolicy::origin || member.isQuarantined)
        return false;
    if (this->options.policy == WeightsPolicy::tree)
        return &member == this->parent;
    if (member.record.zone == this->options.self.zone)
        return true;
    const FetchScope requiredScope = member.record.region == this->options.self.region
                                             ? FetchScope::region
                                             : FetchScope::remote;
    return this->fetchScope(chunk) >= requiredScope;
}

/// Sort key of a chunk in `peerQueue`. Equally rare chunks have a different order on each agent,
/// so that agents fetch different chunks first.
Swarm::RarityKey Swarm::rarityKey(std::size_t chunk) const
{
    return { this->holderCounts[chunk], rendezvousWeight(this->options.self.endpoint, chunk),
             static_cast<std::uint32_t>(chunk) };
}

/// Counts a new usable holder of a chunk, and queues the chunk or updates its place in the queue.
void Swarm::addHolder(std::size_t chunk)
{
    const bool isQueued = this->peerQueue.erase(this->rarityKey(chunk)) > 0;
    const bool isFirst = this->holderCounts[chunk]++ == 0;
    if (isQueued || (isFirst && !this->held.has(chunk) && !this->transfers.contains(chunk)))
        this->peerQueue.insert(this->rarityKey(chunk));
}

/// Recounts the usable holders of every missing chunk, and refills both fetch queues.
void Swarm::refillFetchQueues()
{
    this->holderCounts.assign(this->held.size(), 0);
    this->peerQueue.clear();
    this->sourceQueue.clear();
    const bool isSourceFetcher =
            this->options.policy == WeightsPolicy::origin
            || (this->options.policy == WeightsPolicy::tree && this->parent == nullptr);
    for (std::size_t chunk = 0; chunk < this->held.size(); ++chunk) {
        if (this->held.has(chunk))
            continue;
        for (const auto &[endpoint, member] : this->members) {
            if (member.held.has(chunk) && this->mayFetchFrom(member, chunk))
                ++this->holderCounts[chunk];
        }
        if (this->holderCounts[chunk] > 0 && !this->transfers.contains(chunk))
            this->peerQueue.insert(this->rarityKey(chunk));
        const bool isFromSource = this->options.policy == WeightsPolicy::swarm
                                          ? this->fetchScope(chunk) == FetchScope::source
                                          : isSourceFetcher;
        if (isFromSource)
            this->sourceQueue.push_back(static_cast<std::uint32_t>(chunk));
    }
    // Agents fetch in different orders; the queue is consumed from its end.
    std::ranges::sort(this->sourceQueue, std::less{}, [this](std::uint32_t chunk) {
        return rendezvousWeight(this->options.self.endpoint, chunk);
    });
}

/// Chooses the nearest usable holder of a chunk, and among equally near holders the holder with
/// the fewest transfers. Null when every holder is in cooldown or at a limit of in-flight
/// transfers.
Swarm::Member *Swarm::chooseHolder(std::size_t chunk, TimePoint now)
{
    Member *best = nullptr;
    std::tuple<int, std::size_t, std::uint64_t> bestOrder;
    for (auto &[endpoint, member] : this->members) {
        const bool isRemoteMember = member.record.region != this->options.self.region;
        if (!member.held.has(chunk) || !this->mayFetchFrom(member, chunk)
            || now < member.cooldownUntil || member.transfers >= this->options.maxPeerTransfers
            || (isRemoteMember && this->remoteTransfers >= this->options.maxRemoteTransfers))
            continue;
        const int distance = isRemoteMember                                  ? 2
                             : member.record.zone != this->options.self.zone ? 1
                                                                             : 0;
        const std::tuple order(
                distance, member.transfers,
                mix(hashOf(endpoint) ^ hashOf(this->options.self.endpoint) ^ mix(chunk + 1)));
        if (best == nullptr || order < bestOrder) {
            best = &member;
            bestOrder = order;
        }
    }
    return best;
}

/// Cancels transfers from peers that got no block within `blockTimeout` or take far longer than
/// the average, and transfers from sources that exceed `sourceTimeout`.
void Swarm::cancelOverdueTransfers(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::size_t> overdue;
    for (const auto &[chunk, transfer] : this->transfers) {
        const bool isSilent = now - transfer.lastActivityAt > this->options.blockTimeout;
        const bool isSlow = now - transfer.startedAt > this->transferTimeout();
        const bool isLate = now - transfer.startedAt > this->options.sourceTimeout;
        if (transfer.from != nullptr ? isSilent || isSlow : isLate)
            overdue.push_back(chunk);
    }
    for (const std::size_t chunk : overdue) {
        const Transfer &transfer = this->transfers.at(chunk);
        if (transfer.from != nullptr)
            transfer.from->cooldownUntil = now + kTimeoutCooldown;
        else
            this->sources.onFailure(transfer.source, 0ms, now);
        this->endTransfer(chunk);
        actions.push_back({ .kind = SwarmAction::Kind::cancel, .chunk = chunk });
    }
}

/// Resets the timers that detect silent agents if `tick` was not called for a long time, for
/// example because this process was paused: the process received no messages in the meantime.
void Swarm::resetTimersAfterMissedTicks(TimePoint now)
{
    if (now - this->lastTickAt > this->options.stallTimeout / kProgressMessagesPerStallTimeout) {
        for (auto &[endpoint, member] : this->members)
            member.lastActivityAt = now;
        this->periodStartedAt = now;
    }
    this->lastTickAt = now;
}

/// Marks super-peers that are silent, behind or far slower than the median as stalled. The same
/// rule applies to all super-peers including this agent, so that all agents come to the same
/// result. A super-peer counts as behind only if another super-peer holds more chunks: while a
/// source is down, no super-peer progresses, and a lack of progress alone shows no stall.
void Swarm::evaluateSuperPeers(TimePoint now)
{
    if (now - this->periodStartedAt < this->options.evaluationPeriod)
        return;
    this->periodStartedAt = now;
    this->own.lastActivityAt = now;
    std::vector<std::size_t> periodGains;
    TimePoint newestProgressAt = this->startedAt;
    std::size_t maxProgress = 0;
    for (Member *superPeer : this->superPeers) {
        maxProgress = std::max(maxProgress, superPeer->progress);
        superPeer->chunksInPeriod = superPeer->progress - superPeer->progressAtPeriodStart;
        superPeer->progressAtPeriodStart = superPeer->progress;
        periodGains.push_back(superPeer->chunksInPeriod);
        newestProgressAt = std::max(newestProgressAt, superPeer->lastProgressAt);
    }
    std::ranges::nth_element(
            periodGains, periodGains.begin() + static_cast<std::ptrdiff_t>(periodGains.size() / 2));
    const std::size_t median = periodGains[periodGains.size() / 2];
    bool hasChanged = false;
    for (auto &[endpoint, member] : this->members) {
        if (member.isQuarantined && now >= member.quarantinedUntil) {
            member.isQuarantined = false;
            hasChanged = true;
        }
    }
    for (Member *superPeer : this->superPeers) {
        const bool isSilent = now - superPeer->lastActivityAt > this->options.stallTimeout;
        const bool isBehind =
                superPeer->progress < maxProgress
                && newestProgressAt - superPeer->lastProgressAt > this->options.stallTimeout;
        const bool isSlow =
                median >= kMinMedianChunks && superPeer->chunksInPeriod * kSlowFactor < median;
        const bool isComplete = superPeer->progress == this->held.size();
        const bool isStalled = !isComplete && (isBehind || isSilent || isSlow);
        hasChanged = hasChanged || isStalled != superPeer->isStalled;
        superPeer->isStalled = isStalled;
    }
    if (hasChanged)
        this->updateDesignations();
}

void Swarm::fetchFromPeers(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::size_t> chosen;
    std::size_t scanned = 0;
    for (const auto &[holderCount, hash, chunk] : this->peerQueue) {
        if (this->transfers.size() >= this->options.maxTransfers || ++scanned > kMaxScannedChunks)
            break;
        Member *from = this->chooseHolder(chunk, now);
        if (from == nullptr)
            continue;
        this->transfers[chunk] = { .from = from, .startedAt = now, .lastActivityAt = now };
        ++from->transfers;
        if (from->record.region != this->options.self.region)
            ++this->remoteTransfers;
        chosen.push_back(chunk);
        actions.push_back({ .kind = SwarmAction::Kind::fetchFromPeer,
                            .chunk = chunk,
                            .peer = from->record.endpoint });
    }
    for (const std::size_t chunk : chosen)
        this->peerQueue.erase(this->rarityKey(chunk));
}

void Swarm::fetchFromSources(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::uint32_t> deferred;
    while (!this->sourceQueue.empty() && this->mayFetchFromSource(now)) {
        const std::size_t chunk = this->sourceQueue.back();
        const bool isObsolete =
                this->held.has(chunk) || this->transfers.contains(chunk)
                || (this->holderCounts[chunk] > 0 && this->options.policy == WeightsPolicy::swarm);
        if (isObsolete) {
            this->sourceQueue.pop_back();
            continue;
        }
        if (this->waitsForSubstitute(chunk, now)) {
            deferred.push_back(this->sourceQueue.back());
            this->sourceQueue.pop_back();
            continue;
        }
        const auto source = this->sources.choose(now);
        if (!source)
            break;
        this->sourceQueue.pop_back();
        this->transfers[chunk] = { .source = *source, .startedAt = now, .lastActivityAt = now };
        ++this->sourceTransfers;
        actions.push_back(
                { .kind = SwarmAction::Kind::fetchFromSource, .chunk = chunk, .source = *source });
    }
    this->sourceQueue.insert(this->sourceQueue.end(), deferred.rbegin(), deferred.rend());
}

/// Whether this agent waits for its substitute to fetch a chunk from a source. A stalled agent that
/// is designated by hash waits as long as the substitute sends messages and the agent stored its
/// last chunk less than `wideningPeriod` ago.
bool Swarm::waitsForSubstitute(std::size_t chunk, TimePoint now) const
{
    if (this->options.policy != WeightsPolicy::swarm)
        return false;
    const std::vector<Member *> &fetchers = this->slotOf(chunk).sourceFetchers;
    if (fetchers.size() < 2 || fetchers.back() != &this->own)
        return false;
    return now - fetchers.front()->lastActivityAt <= this->options.stallTimeout
           && now - this->lastChunkAt < this->options.wideningPeriod;
}

/// Widens the fetch scope by one step per period without a new chunk. The period differs between
/// agents by up to a factor of two, so that the agents don't all widen their scopes at once.
void Swarm::widenFetchScope(TimePoint now)
{
    if (!this->transfers.empty() || this->options.policy != WeightsPolicy::swarm)
        return;
    constexpr std::uint64_t hundred = 100;
    const std::uint64_t extraPercent = hashOf(this->options.self.endpoint) % hundred;
    const Duration period =
            this->options.wideningPeriod + this->options.wideningPeriod * extraPercent / hundred;
    const auto steps =
            std::min<std::int64_t>((now - this->lastChunkAt) / period,
                                   std::int64_t{ 2 } * this->options.sourceWideningSteps);
    if (steps <= this->wideningSteps)
        return;
    this->wideningSteps = static_cast<std::uint8_t>(steps);
    this->refillFetchQueues();
}

void Swarm::announceHaves(TimePoint now, std::vector<SwarmAction> &actions)
{
    if (now - this->lastHavesAt < kHavePeriod)
        return;
    this->lastHavesAt = now;
    for (auto &[endpoint, member] : this->members) {
        std::vector<std::uint32_t> due;
        const ChunkSet &known = member.held;
        std::erase_if(member.pendingHaves, [&due, &known, now](const PendingHave &each) {
            const bool isKnown = known.has(each.chunk);
            if (!isKnown && now >= each.notBefore)
                due.push_back(each.chunk);
            return isKnown || now >= each.notBefore;
        });
        if (!due.empty())
            actions.push_back({ .kind = SwarmAction::Kind::sendHave,
                                .peer = endpoint,
                                .chunks = std::move(due) });
    }
}

/// If this agent is a super-peer, sends the number of its chunks to the other super-peers at a
/// fixed period, which also serves as a heartbeat. The last message is sent on completion.
void Swarm::announceProgress(TimePoint now, std::vector<SwarmAction> &actions)
{
    const bool isDue = now - this->lastProgressSentAt
                       >= this->options.stallTimeout / kProgressMessagesPerStallTimeout;
    if (!this->own.isSuperPeer || this->isCompletionSent || (!isDue && !this->done()))
        return;
    this->lastProgressSentAt = now;
    this->isCompletionSent = this->done();
    for (const Member *superPeer : this->superPeers) {
        if (superPeer != &this->own)
            actions.push_back({ .kind = SwarmAction::Kind::sendProgress,
                                .peer = superPeer->record.endpoint });
    }
}

/// If this agent has no chunk to fetch from a peer, exchanges holdings with neighbours and
/// super-peers in round-robin order: announcements may have been lost, and after a restart this
/// agent has received no announcements.
void Swarm::exchangeHoldings(TimePoint now, std::vector<SwarmAction> &actions)
{
    const bool isRelayExpected = this->exchangeCount > 0 && this->options.haveDelay > 0ms
                                 && now < this->lastChunkAt + this->options.haveDelay;
    if (now < this->nextExchangeAt || !this->peerQueue.empty() || isRelayExpected
        || this->options.policy == WeightsPolicy::origin)
        return;
    this->nextExchangeAt = now + this->exchangePeriod;
    std::vector<const Member *> candidates;
    for (const auto &[endpoint, member] : this->members) {
        if (member.isNeighbour || member.isSuperPeer)
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return;
    // The first exchange includes all candidates, so that a chunk that a candidate holds is
    // fetched from that candidate and not from a source.
    const std::size_t count = this->exchangeCount == 0
                                      ? candidates.size()
                                      : std::min(this->options.holdingsFanOut, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        actions.push_back(
                { .kind = SwarmAction::Kind::exchangeHoldings,
                  .peer = candidates[this->exchangeCount++ % candidates.size()]->record.endpoint });
}

/// Quarantines a peer that sent corrupt bytes, and designates substitutes for the peer.
void Swarm::quarantine(Member &member, TimePoint now)
{
    this->corruptSenders.insert(member.record.endpoint);
    member.isQuarantined = true;
    member.quarantinedUntil = now + kCorruptQuarantine;
    this->updateDesignations();
}

/// The scope from which a transfer fetches its chunk.
Swarm::FetchScope Swarm::scopeOf(const Transfer &transfer) const
{
    if (transfer.from == nullptr)
        return FetchScope::source;
    const PeerRecord &peer = transfer.from->record;
    if (peer.region != this->options.self.region)
        return FetchScope::remote;
    return peer.zone != this->options.self.zone ? FetchScope::region : FetchScope::zone;
}

/// Queues the announcements of a chunk that was fetched from the scope `from`. If this agent
/// fetched the chunk from another region or a source after widening its fetch scope, the copy may
/// be the first copy in this region or in any region. The chunk is then announced as widely as if
/// this agent were designated for that scope.
void Swarm::queueHaves(std::size_t chunk, FetchScope from, TimePoint now)
{
    if (this->options.policy == WeightsPolicy::origin)
        return;
    const auto number = static_cast<std::uint32_t>(chunk);
    for (auto &[endpoint, member] : this->members) {
        if (member.isNeighbour)
            member.pendingHaves.push_back(
                    { .chunk = number, .notBefore = now + this->options.haveDelay });
    }
    const Slot &slot = this->slotOf(chunk);
    const FetchScope scope = std::max(slot.scope, from);
    if (scope >= FetchScope::remote) {
        for (Member *fetcher : slot.zoneFetchers)
            fetcher->pendingHaves.push_back({ .chunk = number, .notBefore = now });
    }
    if (scope == FetchScope::source) {
        for (Member *fetcher : slot.regionFetchers)
            fetcher->pendingHaves.push_back({ .chunk = number, .notBefore = now });
    }
}

/// Removes the transfer of a chunk, if any, and queues the chunk again.
void Swarm::endTransfer(std::size_t chunk)
{
    const auto found = this->transfers.find(chunk);
    if (found == this->transfers.end())
        return;
    const Transfer transfer = found->second;
    this->transfers.erase(found);
    if (transfer.from == nullptr) {
        --this->sourceTransfers;
        this->sourceQueue.insert(this->sourceQueue.begin(), static_cast<std::uint32_t>(chunk));
    } else {
        --transfer.from->transfers;
        if (transfer.from->record.region != this->options.self.region)
            --this->remoteTransfers;
    }
    if (this->holderCounts[chunk] > 0)
        this->peerQueue.insert(this->rarityKey(chunk));
}

/// Whether another transfer from a source may start.
bool Swarm::mayFetchFromSource(TimePoint now) const
{
    const std::size_t limit = this->wideningSteps >= this->options.sourceWideningSteps
                                      ? 1
                                      : this->options.maxSourceTransfers;
    if (this->sourceTransfers >= limit)
        return false;
    if (this->options.policy == WeightsPolicy::origin
        || now - this->startedAt >= this->options.maxSettleTime)
        return true;
    return this->arePeersKnown && now - this->peersChangedAt >= this->options.peerSettleTime
           && now - this->startedAt >= this->options.holdingsWait;
}

/// Duration after which a transfer from a peer is cancelled.
Duration Swarm::transferTimeout() const
{
    if (this->averageTransferTime == Duration{ 0 })
        return kTransferTimeoutFactor * Duration(kMinTransferTimeout);
    return std::max<Duration>(kTransferTimeoutFactor * this->averageTransferTime,
                              kMinTransferTimeout);
}

} // namespace egret
