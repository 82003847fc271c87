#include "swarm.h"

#include <algorithm>
#include <utility>

namespace egret {

namespace {

constexpr std::size_t kSlots = 256;
constexpr std::size_t kSmallZone = 12;  ///< in a zone no larger, all are neighbours
constexpr std::size_t kMaxScan = 64;    ///< ready chunks looked at in one tick
constexpr std::size_t kSlowFactor = 8;  ///< a head this many times below the median is slow
constexpr std::size_t kLeastMedian = 8; ///< chunks in a window below which rates tell nothing
constexpr Milliseconds kNewsPeriod = 50ms;
/// Heads are heard this many times within the limit of silence.
constexpr int kToldPerStall = 3;
constexpr Milliseconds kFirstAsk = 500ms;
constexpr Milliseconds kLeastTransferLimit = 4s;
constexpr Milliseconds kSlowAvoid = 2s;
constexpr Milliseconds kFailedAvoid = 500ms;
constexpr Milliseconds kCorruptAvoid = 60s;
constexpr int kTransferFactor = 6;
constexpr std::uint8_t kRemoteWidening = 2;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Hash of an endpoint (FNV-1a, mixed).
std::uint64_t hashOf(const std::string &endpoint)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : endpoint)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(hash);
}

/// Weight of an agent for a slot; the highest is designated.
std::uint64_t rendezvousWeight(const std::string &endpoint, std::size_t slot)
{
    return mix(hashOf(endpoint) ^ mix(slot + 1));
}

std::size_t headsPerZone(std::size_t heads, std::size_t zones)
{
    constexpr std::size_t least = 2;
    return std::max(least, heads / zones);
}

} // namespace

std::vector<PeerRecord> selectSwarmPeers(const std::vector<PeerRecord> &all, const PeerRecord &self)
{
    // Step 1. The agents of each zone, the highest hashes first.
    std::map<std::string, std::vector<std::pair<std::uint64_t, const PeerRecord *>>> zones;
    for (const PeerRecord &peer : all)
        zones[peer.zone].emplace_back(hashOf(peer.endpoint), &peer);
    // Step 2. All of the own zone, and of the others as many as are heads.
    std::vector<PeerRecord> peers;
    for (auto &[zone, list] : zones) {
        std::ranges::sort(list, std::greater{});
        const bool isOwn = zone == self.zone;
        const std::size_t count =
                isOwn ? list.size()
                      : std::min(list.size(), headsPerZone(kSwarmHeads, zones.size()));
        for (std::size_t i = 0; i < count; ++i) {
            if (list[i].second->endpoint != self.endpoint)
                peers.push_back(*list[i].second);
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
    this->startedAt = this->gainedAt = this->windowAt = this->tickedAt = now;
    this->progressToldAt = this->askAt = this->newsAt = now;
    this->askPeriod = kFirstAsk;
    this->askTurn = 0;
    this->wholeTold = false;
    this->widening = 0;
    this->transfers.clear();
    this->sourceTransfers = this->remoteTransfers = 0;
    this->averageTransfer = Duration{ 0 };
    this->corrupt.clear();
    this->own = { .record = this->options.self,
                  .progress = this->heldCount,
                  .progressAt = now,
                  .heardAt = now,
                  .windowStart = this->heldCount };
    for (auto &[endpoint, member] : this->members) {
        const PeerRecord record = member.record;
        member = {
            .record = record, .held = ChunkSet(chunkCount), .progressAt = now, .heardAt = now
        };
    }
    this->rebuild();
}

void Swarm::setPeers(const std::vector<PeerRecord> &peers, TimePoint now)
{
    this->peersKnown = true;
    std::map<std::string, Member> next;
    bool changed = false;
    for (const PeerRecord &peer : peers) {
        if (peer.endpoint == this->options.self.endpoint)
            continue;
        const bool known = this->members.contains(peer.endpoint);
        changed = changed || !known;
        if (!known)
            next[peer.endpoint] = { .record = peer,
                                    .held = ChunkSet(this->held.size()),
                                    .progressAt = now,
                                    .heardAt = now };
    }
    const auto isListed = [&](const std::string &endpoint) {
        return std::ranges::any_of(
                peers, [&](const PeerRecord &peer) { return peer.endpoint == endpoint; });
    };
    // Step 1. End transfers from those who left.
    for (auto &[endpoint, member] : this->members) {
        if (isListed(endpoint))
            continue;
        changed = true;
        std::vector<std::size_t> ended;
        for (const auto &[chunk, transfer] : this->transfers) {
            if (transfer.from == &member)
                ended.push_back(chunk);
        }
        for (const std::size_t chunk : ended)
            this->endTransfer(chunk);
    }
    if (!changed)
        return;
    // Step 2. Take the list; members that stay keep their address.
    std::erase_if(this->members, [&](const auto &entry) { return !isListed(entry.first); });
    this->members.merge(next);
    this->peersAt = now;
    this->rebuild();
}

void Swarm::onHoldings(const std::string &peer, const ChunkSet &chunks, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end() || chunks.size() != this->held.size())
        return;
    std::vector<std::uint32_t> list;
    for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
        if (chunks.has(chunk) && !found->second.held.has(chunk))
            list.push_back(static_cast<std::uint32_t>(chunk));
    }
    // What was pulled in vain is pulled less often.
    if (list.empty())
        this->askPeriod = std::min<Duration>(2 * this->askPeriod, this->options.longestAsk);
    this->onHave(peer, list, now);
}

void Swarm::onHave(const std::string &peer, const std::vector<std::uint32_t> &chunks, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end())
        return;
    Member &member = found->second;
    member.heardAt = now;
    std::size_t gained = 0;
    for (const std::uint32_t chunk : chunks) {
        if (chunk >= member.held.size() || member.held.has(chunk))
            continue;
        member.held.add(chunk);
        ++gained;
        if (this->usable(member, chunk))
            this->addHolder(chunk);
    }
    if (gained > 0) {
        this->askPeriod = kFirstAsk;
        this->onProgress(peer, member.progress + gained, now);
    }
}

void Swarm::onProgress(const std::string &peer, std::size_t count, TimePoint now)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end())
        return;
    found->second.heardAt = now;
    if (count <= found->second.progress)
        return;
    found->second.progress = std::min(count, this->held.size());
    found->second.progressAt = now;
}

void Swarm::onBlock(std::size_t chunk, TimePoint now)
{
    const auto found = this->transfers.find(chunk);
    if (found != this->transfers.end())
        found->second.heardAt = now;
}

void Swarm::onFetched(std::size_t chunk, FetchOutcome outcome, Milliseconds retryAfter,
                      TimePoint now)
{
    const auto found = this->transfers.find(chunk);
    Reach from = Reach::zone;
    if (found != this->transfers.end()) {
        const Transfer transfer = found->second;
        from = this->distanceOf(transfer);
        if (transfer.from != nullptr && outcome == FetchOutcome::kept)
            this->averageTransfer = (3 * this->averageTransfer + (now - transfer.startedAt)) / 4;
        else if (transfer.from != nullptr)
            transfer.from->avoidUntil = now + kFailedAvoid;
        else if (outcome == FetchOutcome::kept)
            this->sources.onSuccess(transfer.source);
        else if (outcome == FetchOutcome::corrupt)
            this->sources.onCorrupt(transfer.source, now);
        else
            this->sources.onFailure(transfer.source, retryAfter, now);
        this->endTransfer(chunk);
        if (transfer.from != nullptr && outcome == FetchOutcome::corrupt)
            this->distrust(*transfer.from, now);
    }
    if (outcome == FetchOutcome::kept)
        this->keep(chunk, from, now);
}

void Swarm::onPushedChunk(std::size_t chunk, TimePoint now)
{
    this->endTransfer(chunk);
    this->keep(chunk, Reach::zone, now);
}

/// Notes that a chunk is held, which came from so far.
void Swarm::keep(std::size_t chunk, Reach from, TimePoint now)
{
    if (chunk >= this->held.size() || this->held.has(chunk))
        return;
    this->ready.erase(this->readyKey(chunk));
    this->held.add(chunk);
    ++this->heldCount;
    this->own.progress = this->heldCount;
    this->own.progressAt = this->gainedAt = now;
    if (this->widening > 0) {
        this->widening = 0;
        this->countHolders();
    }
    this->announce(chunk, from, now);
}

std::vector<SwarmAction> Swarm::tick(TimePoint now)
{
    std::vector<SwarmAction> actions;
    if (this->held.size() == 0)
        return actions;
    this->noticePause(now);
    if (!this->done()) {
        this->expireTransfers(now, actions);
        this->judgeHeads(now);
        this->widenReach(now);
        this->fetchFromPeers(now, actions);
        this->fetchFromSources(now, actions);
        this->exchangeHoldings(now, actions);
    }
    this->tellNews(now, actions);
    this->tellProgress(now, actions);
    return actions;
}

SwarmStall Swarm::stall(TimePoint now) const
{
    static constexpr const char *reaches[] = { "zone", "region", "remote", "source" };
    SwarmStall stall{ .missing = this->held.size() - this->heldCount,
                      .transfers = this->transfers.size(),
                      .sourceTransfers = this->sourceTransfers,
                      .designated = this->designated.size(),
                      .widening = this->widening,
                      .sinceLastChunk = std::chrono::floor<Milliseconds>(now - this->gainedAt) };
    while (stall.firstMissing < this->held.size() && this->held.has(stall.firstMissing))
        ++stall.firstMissing;
    if (stall.firstMissing < this->held.size()) {
        stall.holders = this->holders[stall.firstMissing];
        stall.reach = reaches[static_cast<std::size_t>(this->reachOf(stall.firstMissing))];
    }
    return stall;
}

bool Swarm::isRemote(const std::string &peer) const
{
    const auto found = this->members.find(peer);
    return found != this->members.end() && found->second.record.region != this->options.self.region;
}

/// Works out anew who is designated for what.
void Swarm::rebuild()
{
    this->chooseHeads();
    this->chooseNeighbours();
    this->parent = this->parentInTree();
    this->slots.assign(kSlots, Slot{});
    for (std::size_t slot = 0; slot < kSlots; ++slot)
        this->fillSlot(slot);
    this->countHolders();
}

/// The heads of each zone are the agents with the highest hashes.
void Swarm::chooseHeads()
{
    std::map<std::string, std::vector<Member *>> zones;
    zones[this->options.self.zone].push_back(&this->own);
    for (auto &[endpoint, member] : this->members)
        zones[member.record.zone].push_back(&member);
    const std::size_t perZone = headsPerZone(this->options.heads, zones.size());
    this->heads.clear();
    for (auto &[zone, list] : zones) {
        std::ranges::sort(list, std::greater{},
                          [](const Member *member) { return hashOf(member->record.endpoint); });
        for (std::size_t i = 0; i < list.size(); ++i) {
            list[i]->head = i < perZone;
            if (list[i]->head)
                this->heads.push_back(list[i]);
        }
    }
}

/// Neighbours in a large zone are those at distances 1, 2, 4, ... on a ring;
/// so each pair agrees, and news reach all in few steps.
void Swarm::chooseNeighbours()
{
    std::vector<Member *> ring;
    for (auto &[endpoint, member] : this->members) {
        member.neighbour = false;
        if (member.record.zone == this->options.self.zone)
            ring.push_back(&member);
    }
    if (ring.size() < kSmallZone || this->options.policy == WeightsPolicy::tree) {
        for (Member *member : ring)
            member->neighbour = true;
        return;
    }
    ring.push_back(&this->own);
    std::ranges::sort(ring, std::less{},
                      [](const Member *member) { return hashOf(member->record.endpoint); });
    const auto at = static_cast<std::size_t>(std::ranges::find(ring, &this->own) - ring.begin());
    for (std::size_t distance = 1; distance <= ring.size() / 2; distance *= 2) {
        ring[(at + distance) % ring.size()]->neighbour = true;
        ring[(at + ring.size() - distance) % ring.size()]->neighbour = true;
    }
}

/// Finds the designated agents of a slot among the heads. Stalled ones are
/// passed over unless all are.
void Swarm::fillSlot(std::size_t slot)
{
    struct First
    {
        Member *member{ nullptr };
        std::uint64_t weight{ 0 };
        bool standing{ false };

        void take(Member *candidate, std::uint64_t weightOf)
        {
            const bool stands = !candidate->stalled && !candidate->distrusted;
            if (this->member == nullptr
                || std::tie(stands, weightOf) > std::tie(this->standing, this->weight))
                *this = { .member = candidate, .weight = weightOf, .standing = stands };
        }
    };
    // One that others take for stalled keeps its duty: views of who is differ,
    // and each could wait for another.
    struct Firsts
    {
        First standing;
        First natural; ///< by weight alone

        void take(Member *candidate, std::uint64_t weight)
        {
            this->standing.take(candidate, weight);
            if (this->natural.member == nullptr || weight > this->natural.weight)
                this->natural = { .member = candidate, .weight = weight };
        }
        bool include(const Member *member) const
        {
            return member == this->standing.member || member == this->natural.member;
        }
        void addTo(std::vector<Member *> &list) const
        {
            list.push_back(this->standing.member);
            if (this->natural.member != this->standing.member)
                list.push_back(this->natural.member);
        }
    };
    Firsts overall;
    std::map<std::string, Firsts> regions;
    std::map<std::string, Firsts> zones;
    for (Member *head : this->heads) {
        const std::uint64_t weight = rendezvousWeight(head->record.endpoint, slot);
        overall.take(head, weight);
        regions[head->record.region].take(head, weight);
        if (head->record.region == this->options.self.region)
            zones[head->record.zone].take(head, weight);
    }
    Slot &filled = this->slots[slot];
    overall.addTo(filled.sourceFirsts);
    if (overall.include(&this->own))
        filled.reach = Reach::source;
    else if (regions[this->options.self.region].include(&this->own))
        filled.reach = Reach::remote;
    else if (zones[this->options.self.zone].include(&this->own))
        filled.reach = Reach::region;
    for (const auto &[region, firsts] : regions) {
        if (region != this->options.self.region)
            firsts.addTo(filled.regionFirsts);
    }
    for (const auto &[zone, firsts] : zones) {
        if (zone != this->options.self.zone)
            firsts.addTo(filled.zoneFirsts);
    }
}

const Swarm::Slot &Swarm::slotOf(std::size_t chunk) const
{
    return this->slots[chunk % kSlots];
}

/// The parent of this agent in the binary tree of its zone; null for the root.
Swarm::Member *Swarm::parentInTree()
{
    std::vector<Member *> order{ &this->own };
    for (auto &[endpoint, member] : this->members) {
        if (member.record.zone == this->options.self.zone)
            order.push_back(&member);
    }
    std::ranges::sort(order, std::less{},
                      [](const Member *member) { return hashOf(member->record.endpoint); });
    const auto at = static_cast<std::size_t>(std::ranges::find(order, &this->own) - order.begin());
    return at == 0 ? nullptr : order[(at - 1) / 2];
}

/// Whether an agent that is to fetch a chunk from a source was heard of late. Who
/// is no head hears of them too little to tell.
bool Swarm::isFetcherHeard(std::size_t chunk) const
{
    if (!this->own.head)
        return true;
    return std::ranges::any_of(this->slotOf(chunk).sourceFirsts, [this](const Member *first) {
        return first != &this->own && this->tickedAt - first->heardAt <= this->options.stallLimit;
    });
}

/// How far this agent may go for a chunk.
Swarm::Reach Swarm::reachOf(std::size_t chunk) const
{
    const Reach reach = this->slotOf(chunk).reach;
    const int patience = this->options.sourceWidening * (this->isFetcherHeard(chunk) ? 2 : 1);
    if (reach == Reach::source || this->widening >= patience)
        return Reach::source;
    const auto widened = static_cast<std::uint8_t>(reach)
                         + std::min<std::uint8_t>(this->widening, kRemoteWidening);
    return static_cast<Reach>(std::min<int>(widened, static_cast<int>(Reach::remote)));
}

/// Whether this agent may fetch a chunk from a member.
bool Swarm::usable(const Member &member, std::size_t chunk) const
{
    if (this->options.policy == WeightsPolicy::origin || member.distrusted)
        return false;
    if (this->options.policy == WeightsPolicy::tree)
        return &member == this->parent;
    if (member.record.zone == this->options.self.zone)
        return true;
    const Reach needed =
            member.record.region == this->options.self.region ? Reach::region : Reach::remote;
    return this->reachOf(chunk) >= needed;
}

/// Rarest first; among equals each agent has an order of its own.
Swarm::ReadyKey Swarm::readyKey(std::size_t chunk) const
{
    return { this->holders[chunk], rendezvousWeight(this->options.self.endpoint, chunk),
             static_cast<std::uint32_t>(chunk) };
}

void Swarm::addHolder(std::size_t chunk)
{
    const bool isReady = this->ready.erase(this->readyKey(chunk)) > 0;
    const bool isFirst = this->holders[chunk]++ == 0;
    if (isReady || (isFirst && !this->held.has(chunk) && !this->transfers.contains(chunk)))
        this->ready.insert(this->readyKey(chunk));
}

/// Counts the usable holders of every chunk anew.
void Swarm::countHolders()
{
    this->holders.assign(this->held.size(), 0);
    this->ready.clear();
    this->designated.clear();
    const bool fromSource =
            this->options.policy == WeightsPolicy::origin
            || (this->options.policy == WeightsPolicy::tree && this->parent == nullptr);
    for (std::size_t chunk = 0; chunk < this->held.size(); ++chunk) {
        if (this->held.has(chunk))
            continue;
        for (const auto &[endpoint, member] : this->members) {
            if (member.held.has(chunk) && this->usable(member, chunk))
                ++this->holders[chunk];
        }
        if (this->holders[chunk] > 0 && !this->transfers.contains(chunk))
            this->ready.insert(this->readyKey(chunk));
        const bool mine = this->options.policy == WeightsPolicy::swarm
                                  ? this->reachOf(chunk) == Reach::source
                                  : fromSource;
        if (mine)
            this->designated.push_back(static_cast<std::uint32_t>(chunk));
    }
    // Each agent begins at a place of its own; the list is used from its end.
    std::ranges::sort(this->designated, std::less{}, [this](std::uint32_t chunk) {
        return rendezvousWeight(this->options.self.endpoint, chunk);
    });
}

/// The usable holder of a chunk with the fewest transfers from it; the nearest first.
Swarm::Member *Swarm::chooseHolder(std::size_t chunk, TimePoint now)
{
    Member *best = nullptr;
    std::tuple<int, std::size_t, std::uint64_t> bestOrder;
    for (auto &[endpoint, member] : this->members) {
        const bool isRemoteMember = member.record.region != this->options.self.region;
        if (!member.held.has(chunk) || !this->usable(member, chunk) || now < member.avoidUntil
            || member.transfers >= this->options.maxPeerTransfers
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

/// Gives up transfers that are silent, or far slower than the others.
void Swarm::expireTransfers(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::size_t> expired;
    for (const auto &[chunk, transfer] : this->transfers) {
        const bool isSilent = now - transfer.heardAt > this->options.idleLimit;
        const bool isSlow = now - transfer.startedAt > this->transferLimit();
        const bool isLate = now - transfer.startedAt > this->options.sourceLimit;
        if (transfer.from != nullptr ? isSilent || isSlow : isLate)
            expired.push_back(chunk);
    }
    for (const std::size_t chunk : expired) {
        const Transfer &transfer = this->transfers.at(chunk);
        if (transfer.from != nullptr)
            transfer.from->avoidUntil = now + kSlowAvoid;
        else
            this->sources.onFailure(transfer.source, 0ms, now);
        this->endTransfer(chunk);
        actions.push_back({ .kind = SwarmAction::Kind::cancel, .chunk = chunk });
    }
}

/// After time in which this agent itself stood still, nobody else counts as silent.
void Swarm::noticePause(TimePoint now)
{
    if (now - this->tickedAt > this->options.stallLimit / kToldPerStall) {
        for (auto &[endpoint, member] : this->members)
            member.heardAt = now;
        this->windowAt = now;
    }
    this->tickedAt = now;
}

/// Marks heads that are silent or far slower than the median; all heads are
/// judged by the same rule, this agent among them, so that views agree. While a
/// source is down nobody is behind but who has less than others.
void Swarm::judgeHeads(TimePoint now)
{
    if (now - this->windowAt < this->options.judgePeriod)
        return;
    this->windowAt = now;
    this->own.heardAt = now;
    std::vector<std::size_t> gains;
    TimePoint newest = this->startedAt;
    std::size_t most = 0;
    for (Member *head : this->heads) {
        most = std::max(most, head->progress);
        head->windowGain = head->progress - head->windowStart;
        head->windowStart = head->progress;
        gains.push_back(head->windowGain);
        newest = std::max(newest, head->progressAt);
    }
    std::ranges::nth_element(gains, gains.begin() + static_cast<std::ptrdiff_t>(gains.size() / 2));
    const std::size_t median = gains[gains.size() / 2];
    bool changed = false;
    for (auto &[endpoint, member] : this->members) {
        if (member.distrusted && now >= member.trustedAt) {
            member.distrusted = false;
            changed = true;
        }
    }
    for (Member *head : this->heads) {
        const bool isSilent = now - head->heardAt > this->options.stallLimit;
        const bool isBehind =
                head->progress < most && newest - head->progressAt > this->options.stallLimit;
        const bool isSlow = median >= kLeastMedian && head->windowGain * kSlowFactor < median;
        const bool isWhole = head->progress == this->held.size();
        const bool stalled = !isWhole && (isBehind || isSilent || isSlow);
        changed = changed || stalled != head->stalled;
        head->stalled = stalled;
    }
    if (changed)
        this->rebuild();
}

void Swarm::fetchFromPeers(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::size_t> chosen;
    std::size_t scanned = 0;
    for (const auto &[count, order, chunk] : this->ready) {
        if (this->transfers.size() >= this->options.maxTransfers || ++scanned > kMaxScan)
            break;
        Member *from = this->chooseHolder(chunk, now);
        if (from == nullptr)
            continue;
        this->transfers[chunk] = { .from = from, .startedAt = now, .heardAt = now };
        ++from->transfers;
        if (from->record.region != this->options.self.region)
            ++this->remoteTransfers;
        chosen.push_back(chunk);
        actions.push_back({ .kind = SwarmAction::Kind::fetchFromPeer,
                            .chunk = chunk,
                            .peer = from->record.endpoint });
    }
    for (const std::size_t chunk : chosen)
        this->ready.erase(this->readyKey(chunk));
}

void Swarm::fetchFromSources(TimePoint now, std::vector<SwarmAction> &actions)
{
    std::vector<std::uint32_t> left;
    while (!this->designated.empty() && this->maySource(now)) {
        const std::size_t chunk = this->designated.back();
        const bool isTaken =
                this->held.has(chunk) || this->transfers.contains(chunk)
                || (this->holders[chunk] > 0 && this->options.policy == WeightsPolicy::swarm);
        if (isTaken) {
            this->designated.pop_back();
            continue;
        }
        if (this->leavesToOther(chunk, now)) {
            left.push_back(this->designated.back());
            this->designated.pop_back();
            continue;
        }
        const auto source = this->sources.choose(now);
        if (!source)
            break;
        this->designated.pop_back();
        this->transfers[chunk] = { .source = *source, .startedAt = now, .heardAt = now };
        ++this->sourceTransfers;
        actions.push_back(
                { .kind = SwarmAction::Kind::fetchFromSource, .chunk = chunk, .source = *source });
    }
    this->designated.insert(this->designated.end(), left.rbegin(), left.rend());
}

/// Whether a chunk that is this agent's by hash is left to the one that stands in
/// for it, which is there and may be at it; not for long without any gain.
bool Swarm::leavesToOther(std::size_t chunk, TimePoint now) const
{
    if (this->options.policy != WeightsPolicy::swarm)
        return false;
    const std::vector<Member *> &firsts = this->slotOf(chunk).sourceFirsts;
    if (firsts.size() < 2 || firsts.back() != &this->own)
        return false;
    return now - firsts.front()->heardAt <= this->options.stallLimit
           && now - this->gainedAt < this->options.patience;
}

/// An agent that is long starved asks further away, in steps. Agents differ in
/// their patience, so that they don't all do so at once.
void Swarm::widenReach(TimePoint now)
{
    if (!this->transfers.empty() || this->options.policy != WeightsPolicy::swarm)
        return;
    constexpr std::uint64_t hundred = 100;
    const std::uint64_t share = hashOf(this->options.self.endpoint) % hundred;
    const Duration patience = this->options.patience + this->options.patience * share / hundred;
    const auto steps = std::min<std::int64_t>((now - this->gainedAt) / patience,
                                              std::int64_t{ 2 } * this->options.sourceWidening);
    if (steps <= this->widening)
        return;
    this->widening = static_cast<std::uint8_t>(steps);
    this->countHolders();
}

void Swarm::tellNews(TimePoint now, std::vector<SwarmAction> &actions)
{
    if (now - this->newsAt < kNewsPeriod)
        return;
    this->newsAt = now;
    for (auto &[endpoint, member] : this->members) {
        std::vector<std::uint32_t> due;
        const ChunkSet &known = member.held;
        std::erase_if(member.news, [&due, &known, now](const News &each) {
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

/// Heads tell each other how far they are, and that they are there, until they
/// are whole.
void Swarm::tellProgress(TimePoint now, std::vector<SwarmAction> &actions)
{
    const bool isDue = now - this->progressToldAt >= this->options.stallLimit / kToldPerStall;
    if (!this->own.head || this->wholeTold || (!isDue && !this->done()))
        return;
    this->progressToldAt = now;
    this->wholeTold = this->done();
    for (const Member *head : this->heads) {
        if (head != &this->own)
            actions.push_back(
                    { .kind = SwarmAction::Kind::sendProgress, .peer = head->record.endpoint });
    }
}

/// A starved agent pulls the holdings of neighbours and heads, in turn: this
/// repairs lost news, and tells a restarted agent what there is.
void Swarm::exchangeHoldings(TimePoint now, std::vector<SwarmAction> &actions)
{
    const bool isGiven = this->askTurn > 0 && this->options.newsDelay > 0ms
                         && now < this->gainedAt + this->options.newsDelay;
    if (now < this->askAt || !this->ready.empty() || isGiven
        || this->options.policy == WeightsPolicy::origin)
        return;
    this->askAt = now + this->askPeriod;
    std::vector<const Member *> candidates;
    for (const auto &[endpoint, member] : this->members) {
        if (member.neighbour || member.head)
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return;
    // The first round asks all, so that nothing is drawn that is already there.
    const std::size_t count = this->askTurn == 0
                                      ? candidates.size()
                                      : std::min(this->options.asksAtOnce, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        actions.push_back(
                { .kind = SwarmAction::Kind::exchangeHoldings,
                  .peer = candidates[this->askTurn++ % candidates.size()]->record.endpoint });
}

/// Notes by name a peer that sent damaged bytes; its duties pass to others.
void Swarm::distrust(Member &member, TimePoint now)
{
    this->corrupt.insert(member.record.endpoint);
    member.distrusted = true;
    member.trustedAt = now + kCorruptAvoid;
    this->rebuild();
}

/// From how far a transfer brings its chunk.
Swarm::Reach Swarm::distanceOf(const Transfer &transfer) const
{
    if (transfer.from == nullptr)
        return Reach::source;
    const PeerRecord &peer = transfer.from->record;
    if (peer.region != this->options.self.region)
        return Reach::remote;
    return peer.zone != this->options.self.zone ? Reach::region : Reach::zone;
}

/// Notes whom to tell of a chunk that is now held and came from so far: also one
/// that was fetched without duty is the first in its region, or of all.
void Swarm::announce(std::size_t chunk, Reach from, TimePoint now)
{
    if (this->options.policy == WeightsPolicy::origin)
        return;
    const auto number = static_cast<std::uint32_t>(chunk);
    for (auto &[endpoint, member] : this->members) {
        if (member.neighbour)
            member.news.push_back({ .chunk = number, .notBefore = now + this->options.newsDelay });
    }
    const Slot &slot = this->slotOf(chunk);
    const Reach reach = std::max(slot.reach, from);
    if (reach >= Reach::remote) {
        for (Member *first : slot.zoneFirsts)
            first->news.push_back({ .chunk = number, .notBefore = now });
    }
    if (reach == Reach::source) {
        for (Member *first : slot.regionFirsts)
            first->news.push_back({ .chunk = number, .notBefore = now });
    }
}

void Swarm::endTransfer(std::size_t chunk)
{
    const auto found = this->transfers.find(chunk);
    if (found == this->transfers.end())
        return;
    const Transfer transfer = found->second;
    this->transfers.erase(found);
    if (transfer.from == nullptr) {
        --this->sourceTransfers;
        this->designated.insert(this->designated.begin(), static_cast<std::uint32_t>(chunk));
    } else {
        --transfer.from->transfers;
        if (transfer.from->record.region != this->options.self.region)
            --this->remoteTransfers;
    }
    if (this->holders[chunk] > 0)
        this->ready.insert(this->readyKey(chunk));
}

/// Whether one more transfer from a source may start.
bool Swarm::maySource(TimePoint now) const
{
    const std::size_t limit =
            this->widening >= this->options.sourceWidening ? 1 : this->options.maxSourceTransfers;
    if (this->sourceTransfers >= limit)
        return false;
    if (this->options.policy == WeightsPolicy::origin
        || now - this->startedAt >= this->options.settleLimit)
        return true;
    return this->peersKnown && now - this->peersAt >= this->options.settleTime
           && now - this->startedAt >= this->options.answerTime;
}

/// Time that a transfer from a peer may take.
Duration Swarm::transferLimit() const
{
    if (this->averageTransfer == Duration{ 0 })
        return kTransferFactor * Duration(kLeastTransferLimit);
    return std::max<Duration>(kTransferFactor * this->averageTransfer, kLeastTransferLimit);
}

} // namespace egret
