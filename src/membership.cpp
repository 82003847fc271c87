#include "membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace egret {

namespace {

/// Ring neighbors that this instance probes in turn.
constexpr std::size_t kRingNeighbors = 3;
/// Failed attempts after which a member is suspected.
constexpr int kProbeAttempts = 2;
constexpr std::size_t kIndirectProbeHelpers = 3;
constexpr std::size_t kMaxUpdatesPerMessage = 8;
/// Transmissions of an update per doubling of the number of members.
constexpr int kRetransmitFactor = 3;
constexpr std::size_t kMaxRecordsPerTablePart = 100;
constexpr Milliseconds kIndirectProbeTimeout = 300ms;
/// Gap between ticks, in probe periods, above which this process itself was paused.
constexpr int kPausePeriods = 3;

/// FNV-1a; all instances must compute the same hash.
std::uint64_t hashOf(std::string_view text, std::uint64_t hash = 0xcbf29ce484222325ULL)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

std::uint64_t mix(std::uint64_t hash, std::uint64_t value)
{
    hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 32U);
}

auto rankOf(const MemberRecord &record)
{
    return std::make_tuple(record.incarnation, record.state == MemberState::left, record.refutation,
                           record.state);
}

} // namespace

bool supersedes(const MemberRecord &a, const MemberRecord &b)
{
    return rankOf(a) > rankOf(b);
}

bool isLive(const MemberRecord &record)
{
    return record.state == MemberState::alive || record.state == MemberState::suspect;
}

Membership::Membership(MembershipOptions options)
    : options(std::move(options)), processIncarnation(this->options.self.incarnation),
      random(this->options.randomSeed)
{}

std::uint64_t Membership::incarnationOf(const std::string &instance) const
{
    const auto found = this->directIncarnations.find(instance);
    return found == this->directIncarnations.end() ? 0 : found->second;
}

Membership::Actions Membership::tick(TimePoint now)
{
    Actions out;
    const bool wasPaused =
            this->started && now - this->lastTickAt > kPausePeriods * this->options.period;
    if (!this->started || wasPaused) {
        // Missing answers during a pause of this process are no evidence against other members.
        this->started = true;
        this->probes.clear();
        this->indirectProbes.clear();
        this->nextProbeAt = this->nextReconnectAt = this->nextPullAt = now;
        this->lastAckAt = now;
        for (auto &[instance, member] : this->table) {
            if (member.record.state == MemberState::suspect)
                member.changedAt = now;
        }
    }
    this->lastTickAt = now;
    this->expire(now);
    this->advanceProbes(now, out);
    this->startProbes(now, out);
    this->reconnect(now, out);
    return out;
}

Membership::Actions Membership::receive(const DatagramSender &sender, const Message &message,
                                        TimePoint now)
{
    Actions out;
    if (sender.instance == this->options.self.instance)
        return out;
    if (const auto *ping = std::get_if<MemberPing>(&message))
        this->onPing(sender, *ping, now, out);
    else if (const auto *ack = std::get_if<MemberAck>(&message))
        this->onAck(sender, *ack, now, out);
    else if (const auto *request = std::get_if<MemberPingRequest>(&message))
        this->onPingRequest(sender, *request, now, out);
    else if (const auto *pull = std::get_if<MemberTablePull>(&message)) {
        if (pull->receiverIncarnation == this->processIncarnation)
            this->sendTable(sender, out);
    } else if (const auto *part = std::get_if<MemberTable>(&message)) {
        if (part->receiverIncarnation == this->processIncarnation)
            this->mergeTable(*part, now);
    }
    return out;
}

Membership::Actions Membership::leave(TimePoint now)
{
    this->options.self.state = MemberState::left;
    this->queueUpdate(this->options.self.instance);
    this->rebuildRing();
    Actions out;
    // Half of the members, and at least the instances that probe this one as a ring
    // neighbor, receive the departure directly.
    const std::size_t receiverCount =
            std::min(this->ring.size(), std::max<std::size_t>(16, this->ring.size() / 2));
    for (std::size_t i = 0; i < receiverCount; ++i) {
        const std::string &instance = this->ring[this->ring.size() - 1 - i];
        out.push_back(
                this->ping(instance, this->table[instance].record.endpoint, ++this->lastSequence));
    }
    this->lastTickAt = now;
    return out;
}

/// Answers every ping, but merges its records only when the ping names this
/// incarnation, so that a replayed datagram changes nothing after a restart.
void Membership::onPing(const DatagramSender &sender, const MemberPing &ping, TimePoint now,
                        Actions &out)
{
    if (ping.self.instance != sender.instance)
        return;
    if (ping.receiverIncarnation == this->processIncarnation) {
        this->directIncarnations[sender.instance] = sender.incarnation;
        this->merge(ping.self, now);
        for (const MemberRecord &record : ping.updates)
            this->merge(record, now);
        this->compareTables(sender, ping.tableDigest, now, out);
    }
    out.push_back({ .to = sender.endpoint, .message = this->ackFor(ping.sequence, sender, true) });
}

void Membership::onAck(const DatagramSender &sender, const MemberAck &ack, TimePoint now,
                       Actions &out)
{
    if (ack.receiverIncarnation != this->processIncarnation || ack.self.instance != sender.instance)
        return;
    this->directIncarnations[sender.instance] = sender.incarnation;
    this->merge(ack.self, now);
    for (const MemberRecord &record : ack.updates)
        this->merge(record, now);
    this->compareTables(sender, ack.tableDigest, now, out);
    this->lastAckAt = now;
    this->cutOff = false;
    const auto pending = this->indirectProbes.find(ack.sequence);
    if (pending != this->indirectProbes.end()) {
        const IndirectProbe &indirect = pending->second;
        MemberAck answer = this->ackFor(indirect.sequence, {}, true);
        answer.receiverIncarnation = indirect.requesterIncarnation;
        out.push_back({ .to = indirect.requester, .message = std::move(answer) });
        this->indirectProbes.erase(pending);
    }
    if (ack.reached)
        this->probes.erase(ack.sequence);
}

void Membership::onPingRequest(const DatagramSender &sender, const MemberPingRequest &request,
                               TimePoint now, Actions &out)
{
    if (request.receiverIncarnation != this->processIncarnation)
        return;
    const std::uint64_t sequence = ++this->lastSequence;
    this->indirectProbes[sequence] = IndirectProbe{ .requester = sender.endpoint,
                                                    .requesterIncarnation = sender.incarnation,
                                                    .sequence = request.sequence,
                                                    .startedAt = now };
    out.push_back(this->ping(request.instance, request.endpoint, sequence));
}

void Membership::sendTable(const DatagramSender &to, Actions &out) const
{
    MemberTable part{ .receiverIncarnation = to.incarnation };
    part.records.push_back(this->options.self);
    for (const auto &[instance, member] : this->table) {
        part.records.push_back(member.record);
        if (part.records.size() < kMaxRecordsPerTablePart)
            continue;
        out.push_back({ .to = to.endpoint, .message = part });
        part.records.clear();
    }
    out.push_back({ .to = to.endpoint, .message = std::move(part) });
}

/// Probes alternately a ring neighbor and a member in shuffled order.
void Membership::startProbes(TimePoint now, Actions &out)
{
    if (now < this->nextProbeAt)
        return;
    this->nextProbeAt = now + this->options.period;
    this->rebuildRing();
    ++this->round;
    const std::string instance =
            this->round % 2 == 0 ? this->nextShuffled() : this->nextRingNeighbor();
    const bool isProbed = std::ranges::any_of(this->probes, [&instance](const auto &entry) {
        return entry.second.instance == instance;
    });
    if (instance.empty() || isProbed)
        return;
    const std::uint64_t sequence = ++this->lastSequence;
    this->probes[sequence] = Probe{ .instance = instance, .startedAt = now, .firstAt = now };
    out.push_back(this->ping(instance, this->table[instance].record.endpoint, sequence));
}

void Membership::advanceProbes(TimePoint now, Actions &out)
{
    std::vector<std::uint64_t> failed;
    for (auto &[sequence, probe] : this->probes) {
        const auto found = this->table.find(probe.instance);
        if (found == this->table.end() || !isLive(found->second.record)) {
            failed.push_back(sequence);
            continue;
        }
        const Duration elapsed = now - probe.startedAt;
        if (elapsed >= this->options.ackTimeout && !probe.hasIndirectProbes) {
            probe.hasIndirectProbes = true;
            out.push_back(this->ping(probe.instance, found->second.record.endpoint, sequence));
            this->requestIndirectProbes(sequence, probe, out);
        }
        if (elapsed < this->options.period)
            continue;
        if (probe.attempt == kProbeAttempts) {
            failed.push_back(sequence);
            this->raiseSuspicion(probe, now);
            continue;
        }
        ++probe.attempt;
        probe.startedAt = now;
        probe.hasIndirectProbes = false;
        out.push_back(this->ping(probe.instance, found->second.record.endpoint, sequence));
    }
    for (const std::uint64_t sequence : failed)
        this->probes.erase(sequence);
    // A helper also reports an unanswered probe, which proves to the requester that its own
    // network path works.
    std::erase_if(this->indirectProbes, [&](const auto &entry) {
        const IndirectProbe &indirect = entry.second;
        if (now - indirect.startedAt < kIndirectProbeTimeout)
            return false;
        MemberAck answer = this->ackFor(indirect.sequence, {}, false);
        answer.receiverIncarnation = indirect.requesterIncarnation;
        out.push_back({ .to = indirect.requester, .message = std::move(answer) });
        return true;
    });
}

void Membership::requestIndirectProbes(std::uint64_t sequence, const Probe &probe, Actions &out)
{
    std::vector<std::string> helpers;
    for (const std::string &instance : this->ring) {
        const bool isEligible = instance != probe.instance && this->incarnationOf(instance) != 0;
        if (isEligible && isLive(this->table[instance].record))
            helpers.push_back(instance);
    }
    std::ranges::shuffle(helpers, this->random);
    helpers.resize(std::min(helpers.size(), kIndirectProbeHelpers));
    for (const std::string &instance : helpers) {
        MemberPingRequest message{ .sequence = sequence,
                                   .receiverIncarnation = this->incarnationOf(instance),
                                   .instance = probe.instance,
                                   .endpoint = this->table[probe.instance].record.endpoint };
        out.push_back({ .to = this->table[instance].record.endpoint, .message = message });
    }
}

/// Suspects a member only when another member has answered since the probe
/// began; otherwise a fault of this instance's own network path is more likely.
void Membership::raiseSuspicion(const Probe &probe, TimePoint now)
{
    if (this->lastAckAt<probe.firstAt &&this->livePeerCount()> 1) {
        this->cutOff = true;
        return;
    }
    MemberRecord record = this->table[probe.instance].record;
    if (record.state != MemberState::alive)
        return;
    ++this->suspicionCount;
    record.state = MemberState::suspect;
    this->merge(record, now);
}

void Membership::expire(TimePoint now)
{
    for (auto &[instance, member] : this->table) {
        const bool isOverdue = member.record.state == MemberState::suspect
                               && now - member.changedAt >= this->options.suspicionTimeout;
        if (!isOverdue || this->cutOff)
            continue;
        member.record.state = MemberState::dead;
        member.changedAt = now;
        this->queueUpdate(instance);
        this->ringIsStale = true;
    }
    std::erase_if(this->table, [&](const auto &entry) {
        const bool isExpired = !isLive(entry.second.record)
                               && now - entry.second.changedAt >= this->options.retention;
        if (isExpired)
            this->directIncarnations.erase(entry.first);
        return isExpired;
    });
}

/// Pings a dead or left member, or a seed that is not known to be alive, so
/// that both sides of a partition rejoin after the partition heals, and so that
/// a restarted member is found even when all its seeds are down.
void Membership::reconnect(TimePoint now, Actions &out)
{
    if (now < this->nextReconnectAt)
        return;
    // An instance that knows no member yet retries faster.
    this->nextReconnectAt =
            now + (this->table.empty() ? this->options.period / 2 : this->options.reconnectPeriod);
    std::map<std::string, std::string> unreachable; // instance by endpoint
    for (const std::string &seed : this->options.seeds) {
        if (seed != this->options.self.endpoint)
            unreachable[seed] = "";
    }
    for (const auto &[instance, member] : this->table) {
        if (!isLive(member.record))
            unreachable[member.record.endpoint] = instance;
    }
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            unreachable.erase(member.record.endpoint);
    }
    if (unreachable.empty())
        return;
    const auto chosen = std::next(unreachable.begin(),
                                  static_cast<std::ptrdiff_t>(this->random() % unreachable.size()));
    out.push_back(this->ping(chosen->second, chosen->first, ++this->lastSequence));
}

void Membership::merge(const MemberRecord &record, TimePoint now)
{
    if (record.instance.empty())
        return;
    if (record.instance == this->options.self.instance)
        return this->refute(record);
    const auto found = this->table.find(record.instance);
    if (found != this->table.end() && !supersedes(record, found->second.record))
        return;
    if (found != this->table.end() && found->second.record.state != MemberState::alive
        && record.state == MemberState::alive)
        ++this->refutationCount;
    this->table[record.instance] = Member{ .record = record, .changedAt = now };
    this->ringIsStale = true;
    this->queueUpdate(record.instance);
}

/// Merges a received table, except for dead and left members that are unknown
/// here: otherwise instances would restore each other's expired records forever.
void Membership::mergeTable(const MemberTable &part, TimePoint now)
{
    for (const MemberRecord &record : part.records) {
        if (isLive(record) || this->table.contains(record.instance))
            this->merge(record, now);
    }
}

/// Raises this instance's own record above a false record about this instance.
void Membership::refute(const MemberRecord &record)
{
    MemberRecord &self = this->options.self;
    if (!supersedes(record, self) || self.state == MemberState::left)
        return;
    // A clock that was set back gave this process a lower incarnation than its predecessor.
    if (record.incarnation > self.incarnation || record.state == MemberState::left)
        self.incarnation = record.incarnation + 1;
    self.refutation = record.refutation + 1;
    this->queueUpdate(self.instance);
}

void Membership::queueUpdate(const std::string &instance)
{
    const auto doublings = static_cast<int>(std::bit_width(this->table.size() + 1));
    this->transmissionsLeft[instance] = kRetransmitFactor * doublings;
}

/// Requests the full table when the live members differ, at a bounded rate.
void Membership::compareTables(const DatagramSender &sender, std::uint64_t digest, TimePoint now,
                               Actions &out)
{
    if (digest == this->digest() || now < this->nextPullAt)
        return;
    this->nextPullAt = now + this->options.pullPeriod;
    out.push_back({ .to = sender.endpoint,
                    .message = MemberTablePull{ .receiverIncarnation = sender.incarnation } });
}

/// Returns the least-sent updates, preceded by the receiver's own record when the
/// receiver may have to refute it.
std::vector<MemberRecord> Membership::nextUpdates(const std::string &forInstance)
{
    std::vector<MemberRecord> updates;
    const auto receiver = this->table.find(forInstance);
    if (receiver != this->table.end() && receiver->second.record.state != MemberState::alive)
        updates.push_back(receiver->second.record);
    std::vector<std::pair<int, std::string>> due;
    for (const auto &[instance, left] : this->transmissionsLeft) {
        if (this->table.contains(instance))
            due.emplace_back(left, instance);
    }
    const std::size_t taken = std::min(due.size(), kMaxUpdatesPerMessage);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(taken), due.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < taken; ++i) {
        const std::string &instance = due[i].second;
        updates.push_back(this->table[instance].record);
        if (--this->transmissionsLeft[instance] <= 0)
            this->transmissionsLeft.erase(instance);
    }
    return updates;
}

SendDatagram Membership::ping(const std::string &instance, const std::string &endpoint,
                              std::uint64_t sequence)
{
    return { .to = endpoint,
             .message = MemberPing{ .sequence = sequence,
                                    .receiverIncarnation = this->incarnationOf(instance),
                                    .tableDigest = this->digest(),
                                    .self = this->options.self,
                                    .updates = this->nextUpdates(instance) } };
}

MemberAck Membership::ackFor(std::uint64_t sequence, const DatagramSender &to, bool reached)
{
    return { .sequence = sequence,
             .receiverIncarnation = to.incarnation,
             .reached = reached,
             .tableDigest = this->digest(),
             .self = this->options.self,
             .updates = this->nextUpdates(to.instance) };
}

/// Orders the live members by hash, starting after this instance.
void Membership::rebuildRing()
{
    if (!this->ringIsStale)
        return;
    this->ringIsStale = false;
    const std::uint64_t own = hashOf(this->options.self.instance);
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            order.emplace_back(hashOf(instance) - own, instance);
    }
    std::ranges::sort(order);
    this->ring.clear();
    for (auto &[distance, instance] : order)
        this->ring.push_back(std::move(instance));
}

std::string Membership::nextRingNeighbor()
{
    if (this->ring.empty())
        return {};
    return this->ring[++this->neighborTurn % std::min(kRingNeighbors, this->ring.size())];
}

std::string Membership::nextShuffled()
{
    while (!this->shuffled.empty()) {
        std::string instance = this->shuffled.back();
        this->shuffled.pop_back();
        const auto found = this->table.find(instance);
        if (found != this->table.end() && isLive(found->second.record))
            return instance;
    }
    this->shuffled = this->ring;
    std::ranges::shuffle(this->shuffled, this->random);
    if (this->shuffled.empty())
        return {};
    std::string instance = this->shuffled.back();
    this->shuffled.pop_back();
    return instance;
}

/// Digest of the live members including this instance; leaves out suspicion,
/// which resolves without a table pull.
std::uint64_t Membership::digest() const
{
    const auto recordDigest = [](const MemberRecord &record) {
        return mix(mix(hashOf(record.instance), record.incarnation), record.refutation);
    };
    std::uint64_t sum = isLive(this->options.self) ? recordDigest(this->options.self) : 0;
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            sum ^= recordDigest(member.record);
    }
    return sum;
}

} // namespace egret
