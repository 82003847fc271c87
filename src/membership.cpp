#include "membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace egret {

namespace {

/// Number of ring neighbors: members after this instance in the ring, which this instance probes in
/// turn.
constexpr std::size_t kRingNeighborCount = 3;
/// Number of failed attempts of a probe after which the member is suspected.
constexpr int kMaxProbeAttempts = 2;
/// Number of members (helpers) that are asked to ping an unresponsive member.
constexpr std::size_t kIndirectProbeHelperCount = 3;
constexpr std::size_t kMaxUpdatesPerMessage = 8;
/// The number of transmissions of an update is this factor times the binary logarithm of the number
/// of members.
constexpr int kRetransmitFactor = 3;
constexpr std::size_t kMaxRecordsPerTablePart = 100;
/// Time without an ack after which a helper reports the failure to the requester.
constexpr Milliseconds kIndirectProbeTimeout = 300ms;
/// Maximum time between two ticks, in probe periods. A longer time means that this process was
/// paused.
constexpr int kMaxTickGapPeriods = 3;

/// FNV-1a. All instances must compute the same hash: they compare digests that are built from it.
std::uint64_t hashOf(std::string_view text, std::uint64_t hash = 0xcbf29ce484222325ULL)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

std::uint64_t combineHash(std::uint64_t hash, std::uint64_t value)
{
    hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 32U);
}

/// Position of a record in the total order, see supersedes().
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
            this->hasStarted
            && now - this->lastTickAt > kMaxTickGapPeriods * this->options.probePeriod;
    if (!this->hasStarted || wasPaused) {
        // Missing answers during a pause of this process are no evidence against other members.
        this->hasStarted = true;
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
    // At least half of the members receive the departure directly, starting from the end of the
    // ring: the last members of the ring probe this instance as their ring neighbor.
    const std::size_t receiverCount =
            std::min(this->ring.size(), std::max<std::size_t>(16, this->ring.size() / 2));
    for (std::size_t i = 0; i < receiverCount; ++i) {
        const std::string &instance = this->ring[this->ring.size() - 1 - i];
        out.push_back(this->makePing(instance, this->table[instance].record.endpoint,
                                     ++this->lastSequence));
    }
    this->lastTickAt = now;
    return out;
}

/// Answers every ping, but merges the records in the ping only when the ping names
/// the incarnation of this process: a datagram recorded before a restart and
/// replayed later must change nothing.
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
        this->pullTableOnMismatch(sender, ping.tableDigest, now, out);
    }
    out.push_back({ .to = sender.endpoint, .message = this->makeAck(ping.sequence, sender, true) });
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
    this->pullTableOnMismatch(sender, ack.tableDigest, now, out);
    this->lastAckAt = now;
    this->cutOff = false;
    const auto found = this->indirectProbes.find(ack.sequence);
    if (found != this->indirectProbes.end()) {
        const IndirectProbe &indirectProbe = found->second;
        MemberAck answer = this->makeAck(indirectProbe.requesterSequence, {}, true);
        answer.receiverIncarnation = indirectProbe.requesterIncarnation;
        out.push_back({ .to = indirectProbe.requester, .message = std::move(answer) });
        this->indirectProbes.erase(found);
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
                                                    .requesterSequence = request.sequence,
                                                    .startedAt = now };
    out.push_back(this->makePing(request.instance, request.endpoint, sequence));
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

/// Starts at most one probe per period, alternately of a ring neighbor and of the
/// next member in shuffled order.
void Membership::startProbes(TimePoint now, Actions &out)
{
    if (now < this->nextProbeAt)
        return;
    this->nextProbeAt = now + this->options.probePeriod;
    this->rebuildRing();
    ++this->probeRound;
    const std::string instance =
            this->probeRound % 2 == 0 ? this->nextShuffledMember() : this->nextRingNeighbor();
    const bool isAlreadyProbed = std::ranges::any_of(this->probes, [&instance](const auto &entry) {
        return entry.second.instance == instance;
    });
    if (instance.empty() || isAlreadyProbed)
        return;
    const std::uint64_t sequence = ++this->lastSequence;
    this->probes[sequence] =
            Probe{ .instance = instance, .attemptStartedAt = now, .firstAttemptStartedAt = now };
    out.push_back(this->makePing(instance, this->table[instance].record.endpoint, sequence));
}

void Membership::advanceProbes(TimePoint now, Actions &out)
{
    std::vector<std::uint64_t> finished;
    for (auto &[sequence, probe] : this->probes) {
        const auto found = this->table.find(probe.instance);
        if (found == this->table.end() || !isLive(found->second.record)) {
            finished.push_back(sequence);
            continue;
        }
        const Duration elapsed = now - probe.attemptStartedAt;
        if (elapsed >= this->options.ackTimeout && !probe.hasRequestedIndirectProbes) {
            probe.hasRequestedIndirectProbes = true;
            out.push_back(this->makePing(probe.instance, found->second.record.endpoint, sequence));
            this->requestIndirectProbes(sequence, probe, out);
        }
        if (elapsed < this->options.probePeriod)
            continue;
        if (probe.attempt == kMaxProbeAttempts) {
            finished.push_back(sequence);
            this->raiseSuspicion(probe, now);
            continue;
        }
        ++probe.attempt;
        probe.attemptStartedAt = now;
        probe.hasRequestedIndirectProbes = false;
        out.push_back(this->makePing(probe.instance, found->second.record.endpoint, sequence));
    }
    for (const std::uint64_t sequence : finished)
        this->probes.erase(sequence);
    // When a helper gets no ack, the helper reports this to the requester. The report shows the
    // requester that the requester's own network path works.
    std::erase_if(this->indirectProbes, [&](const auto &entry) {
        const IndirectProbe &indirectProbe = entry.second;
        if (now - indirectProbe.startedAt < kIndirectProbeTimeout)
            return false;
        MemberAck answer = this->makeAck(indirectProbe.requesterSequence, {}, false);
        answer.receiverIncarnation = indirectProbe.requesterIncarnation;
        out.push_back({ .to = indirectProbe.requester, .message = std::move(answer) });
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
    helpers.resize(std::min(helpers.size(), kIndirectProbeHelperCount));
    for (const std::string &instance : helpers) {
        MemberPingRequest message{ .sequence = sequence,
                                   .receiverIncarnation = this->incarnationOf(instance),
                                   .instance = probe.instance,
                                   .endpoint = this->table[probe.instance].record.endpoint };
        out.push_back({ .to = this->table[instance].record.endpoint, .message = message });
    }
}

/// Suspects the probed member. When this instance knows several live members and
/// none of them has sent an ack since the probe began, a fault of this instance's
/// own network path is more likely, and no member is suspected.
void Membership::raiseSuspicion(const Probe &probe, TimePoint now)
{
    if (this->lastAckAt<probe.firstAttemptStartedAt &&this->livePeerCount()> 1) {
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

/// Declares suspects dead after the suspicion timeout, and removes dead and left
/// members after the retention.
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

/// Pings a random endpoint among the dead and left members and the seeds not known
/// to be alive. Without these pings, the two sides of a partition would not rejoin
/// after the partition heals, and a restarted member whose seeds are all down
/// would not be found.
void Membership::reconnect(TimePoint now, Actions &out)
{
    if (now < this->nextReconnectAt)
        return;
    // An instance that knows no other member yet retries faster.
    this->nextReconnectAt =
            now
            + (this->table.empty() ? this->options.probePeriod / 2 : this->options.reconnectPeriod);
    std::map<std::string, std::string> notKnownLive; // instance name by endpoint; empty for a seed
    for (const std::string &seed : this->options.seeds) {
        if (seed != this->options.self.endpoint)
            notKnownLive[seed] = "";
    }
    for (const auto &[instance, member] : this->table) {
        if (!isLive(member.record))
            notKnownLive[member.record.endpoint] = instance;
    }
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            notKnownLive.erase(member.record.endpoint);
    }
    if (notKnownLive.empty())
        return;
    const auto chosen =
            std::next(notKnownLive.begin(),
                      static_cast<std::ptrdiff_t>(this->random() % notKnownLive.size()));
    out.push_back(this->makePing(chosen->second, chosen->first, ++this->lastSequence));
}

/// Stores a received record when the record supersedes the known record of the same
/// member, and refutes a false record about this instance.
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

/// Merges one part of a received table. Skips dead and left members that are not in
/// this instance's table: otherwise instances would restore each other's expired
/// records forever.
void Membership::mergeTable(const MemberTable &part, TimePoint now)
{
    for (const MemberRecord &record : part.records) {
        if (isLive(record) || this->table.contains(record.instance))
            this->merge(record, now);
    }
}

/// Makes this instance's own record rank higher than a false record about this instance.
void Membership::refute(const MemberRecord &record)
{
    MemberRecord &self = this->options.self;
    if (!supersedes(record, self) || self.state == MemberState::left)
        return;
    // The incarnation comes from the clock: when the clock was set back, this process has a lower
    // incarnation than the process before the restart.
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

/// Requests the sender's full table when the sender's digest of the live members differs
/// from this instance's digest, at most once per pull period.
void Membership::pullTableOnMismatch(const DatagramSender &sender, std::uint64_t tableDigest,
                                     TimePoint now, Actions &out)
{
    if (tableDigest == this->digest() || now < this->nextPullAt)
        return;
    this->nextPullAt = now + this->options.pullPeriod;
    out.push_back({ .to = sender.endpoint,
                    .message = MemberTablePull{ .receiverIncarnation = sender.incarnation } });
}

/// Returns the queued updates with the most transmissions left. When the known state of
/// `receiver` is not alive, the known record of the receiver comes first: the receiver
/// may have to refute this record.
std::vector<MemberRecord> Membership::nextUpdates(const std::string &receiver)
{
    std::vector<MemberRecord> updates;
    const auto found = this->table.find(receiver);
    if (found != this->table.end() && found->second.record.state != MemberState::alive)
        updates.push_back(found->second.record);
    std::vector<std::pair<int, std::string>> queuedUpdates;
    for (const auto &[instance, remaining] : this->transmissionsLeft) {
        if (this->table.contains(instance))
            queuedUpdates.emplace_back(remaining, instance);
    }
    const std::size_t sentCount = std::min(queuedUpdates.size(), kMaxUpdatesPerMessage);
    std::partial_sort(queuedUpdates.begin(),
                      queuedUpdates.begin() + static_cast<std::ptrdiff_t>(sentCount),
                      queuedUpdates.end(), std::greater<>());
    for (std::size_t i = 0; i < sentCount; ++i) {
        const std::string &instance = queuedUpdates[i].second;
        updates.push_back(this->table[instance].record);
        if (--this->transmissionsLeft[instance] <= 0)
            this->transmissionsLeft.erase(instance);
    }
    return updates;
}

SendDatagram Membership::makePing(const std::string &instance, const std::string &endpoint,
                                  std::uint64_t sequence)
{
    return { .to = endpoint,
             .message = MemberPing{ .sequence = sequence,
                                    .receiverIncarnation = this->incarnationOf(instance),
                                    .tableDigest = this->digest(),
                                    .self = this->options.self,
                                    .updates = this->nextUpdates(instance) } };
}

/// Builds the ack of the ping with number `sequence` for the sender `to`. `isReached` is
/// false only in the report of a helper that got no ack from the probed member.
MemberAck Membership::makeAck(std::uint64_t sequence, const DatagramSender &to, bool isReached)
{
    return { .sequence = sequence,
             .receiverIncarnation = to.incarnation,
             .reached = isReached,
             .tableDigest = this->digest(),
             .self = this->options.self,
             .updates = this->nextUpdates(to.instance) };
}

/// Rebuilds the ring when the table has changed since the last call.
void Membership::rebuildRing()
{
    if (!this->ringIsStale)
        return;
    this->ringIsStale = false;
    const std::uint64_t ownHash = hashOf(this->options.self.instance);
    std::vector<std::pair<std::uint64_t, std::string>> byDistance;
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            byDistance.emplace_back(hashOf(instance) - ownHash, instance);
    }
    std::ranges::sort(byDistance);
    this->ring.clear();
    for (auto &[distance, instance] : byDistance)
        this->ring.push_back(std::move(instance));
}

std::string Membership::nextRingNeighbor()
{
    if (this->ring.empty())
        return {};
    return this->ring[++this->neighborTurn % std::min(kRingNeighborCount, this->ring.size())];
}

std::string Membership::nextShuffledMember()
{
    while (!this->shuffledMembers.empty()) {
        std::string instance = this->shuffledMembers.back();
        this->shuffledMembers.pop_back();
        const auto found = this->table.find(instance);
        if (found != this->table.end() && isLive(found->second.record))
            return instance;
    }
    this->shuffledMembers = this->ring;
    std::ranges::shuffle(this->shuffledMembers, this->random);
    if (this->shuffledMembers.empty())
        return {};
    std::string instance = this->shuffledMembers.back();
    this->shuffledMembers.pop_back();
    return instance;
}

/// Digest of the live members including this instance. The digest does not tell alive
/// from suspect members: updates resolve a suspicion, without a table pull.
std::uint64_t Membership::digest() const
{
    const auto recordDigest = [](const MemberRecord &record) {
        return combineHash(combineHash(hashOf(record.instance), record.incarnation),
                           record.refutation);
    };
    std::uint64_t combinedDigest =
            isLive(this->options.self) ? recordDigest(this->options.self) : 0;
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            combinedDigest ^= recordDigest(member.record);
    }
    return combinedDigest;
}

} // namespace egret
