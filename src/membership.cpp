#include "membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace egret {

namespace {

/// Members that this instance watches by their place on the ring.
constexpr std::size_t kWatched = 3;
/// Attempts that must fail before a member is suspected.
constexpr int kAttempts = 2;
constexpr std::size_t kHelpers = 3;
constexpr std::size_t kMaxUpdates = 8;
/// Times that a change is sent, for each doubling of the members.
constexpr int kSpreadFactor = 3;
constexpr std::size_t kTablePart = 100;
constexpr Milliseconds kHelpLimit = 300ms;
/// Gap between ticks, in periods, after which this process was itself paused.
constexpr int kPausePeriods = 3;

/// FNV-1a, the same on every instance.
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

bool replaces(const MemberRecord &a, const MemberRecord &b)
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
    const auto found = this->heardIncarnations.find(instance);
    return found == this->heardIncarnations.end() ? 0 : found->second;
}

Membership::Actions Membership::tick(TimePoint now)
{
    Actions out;
    const bool wasPaused =
            this->started && now - this->lastTick > kPausePeriods * this->options.period;
    if (!this->started || wasPaused) {
        // What went unanswered while this process did not run says nothing of others.
        this->started = true;
        this->probes.clear();
        this->helped.clear();
        this->nextProbes = this->nextReconnect = this->nextPull = now;
        this->lastAnswer = now;
        for (auto &[instance, member] : this->table) {
            if (member.record.state == MemberState::suspect)
                member.changedAt = now;
        }
    }
    this->lastTick = now;
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
    else if (const auto *probe = std::get_if<MemberPingRequest>(&message))
        this->onProbe(sender, *probe, now, out);
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
    this->spread(this->options.self.instance);
    this->refreshOrder();
    Actions out;
    // Half of the members hear it at first hand, at least the watchers.
    const std::size_t told =
            std::min(this->ring.size(), std::max<std::size_t>(16, this->ring.size() / 2));
    for (std::size_t i = 0; i < told; ++i) {
        const std::string &instance = this->ring[this->ring.size() - 1 - i];
        out.push_back(
                this->ping(instance, this->table[instance].record.endpoint, ++this->lastSequence));
    }
    this->lastTick = now;
    return out;
}

/// Answers every ping; takes what it says only when it names this incarnation,
/// so that a recorded datagram changes nothing after a restart.
void Membership::onPing(const DatagramSender &sender, const MemberPing &ping, TimePoint now,
                        Actions &out)
{
    if (ping.self.instance != sender.instance)
        return;
    if (ping.receiverIncarnation == this->processIncarnation) {
        this->heardIncarnations[sender.instance] = sender.incarnation;
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
    this->heardIncarnations[sender.instance] = sender.incarnation;
    this->merge(ack.self, now);
    for (const MemberRecord &record : ack.updates)
        this->merge(record, now);
    this->compareTables(sender, ack.tableDigest, now, out);
    this->lastAnswer = now;
    this->cutOff = false;
    const auto helpedProbe = this->helped.find(ack.sequence);
    if (helpedProbe != this->helped.end()) {
        const HelpedProbe &help = helpedProbe->second;
        MemberAck answer = this->ackFor(help.sequence, {}, true);
        answer.receiverIncarnation = help.requesterIncarnation;
        out.push_back({ .to = help.requester, .message = std::move(answer) });
        this->helped.erase(helpedProbe);
    }
    if (ack.reached)
        this->probes.erase(ack.sequence);
}

void Membership::onProbe(const DatagramSender &sender, const MemberPingRequest &probe,
                         TimePoint now, Actions &out)
{
    if (probe.receiverIncarnation != this->processIncarnation)
        return;
    const std::uint64_t sequence = ++this->lastSequence;
    this->helped[sequence] = HelpedProbe{ .requester = sender.endpoint,
                                          .requesterIncarnation = sender.incarnation,
                                          .sequence = probe.sequence,
                                          .startedAt = now };
    out.push_back(this->ping(probe.instance, probe.endpoint, sequence));
}

void Membership::sendTable(const DatagramSender &to, Actions &out) const
{
    MemberTable part{ .receiverIncarnation = to.incarnation };
    part.records.push_back(this->options.self);
    for (const auto &[instance, member] : this->table) {
        part.records.push_back(member.record);
        if (part.records.size() < kTablePart)
            continue;
        out.push_back({ .to = to.endpoint, .message = part });
        part.records.clear();
    }
    out.push_back({ .to = to.endpoint, .message = std::move(part) });
}

/// Probes one watched member and one in shuffled order by turns.
void Membership::startProbes(TimePoint now, Actions &out)
{
    if (now < this->nextProbes)
        return;
    this->nextProbes = now + this->options.period;
    this->refreshOrder();
    ++this->round;
    const std::string instance = this->round % 2 == 0 ? this->nextShuffled() : this->nextWatched();
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
        if (elapsed >= this->options.ackLimit && !probe.asksHelpers) {
            probe.asksHelpers = true;
            out.push_back(this->ping(probe.instance, found->second.record.endpoint, sequence));
            this->askHelpers(sequence, probe, out);
        }
        if (elapsed < this->options.period)
            continue;
        if (probe.attempt == kAttempts) {
            failed.push_back(sequence);
            this->raiseSuspicion(probe, now);
            continue;
        }
        ++probe.attempt;
        probe.startedAt = now;
        probe.asksHelpers = false;
        out.push_back(this->ping(probe.instance, found->second.record.endpoint, sequence));
    }
    for (const std::uint64_t sequence : failed)
        this->probes.erase(sequence);
    // A helper that gets no answer says so: its own link is seen to work.
    std::erase_if(this->helped, [&](const auto &entry) {
        const HelpedProbe &help = entry.second;
        if (now - help.startedAt < kHelpLimit)
            return false;
        MemberAck answer = this->ackFor(help.sequence, {}, false);
        answer.receiverIncarnation = help.requesterIncarnation;
        out.push_back({ .to = help.requester, .message = std::move(answer) });
        return true;
    });
}

void Membership::askHelpers(std::uint64_t sequence, const Probe &probe, Actions &out)
{
    std::vector<std::string> helpers;
    for (const std::string &instance : this->ring) {
        const bool fits = instance != probe.instance && this->incarnationOf(instance) != 0;
        if (fits && isLive(this->table[instance].record))
            helpers.push_back(instance);
    }
    std::ranges::shuffle(helpers, this->random);
    helpers.resize(std::min(helpers.size(), kHelpers));
    for (const std::string &instance : helpers) {
        MemberPingRequest message{ .sequence = sequence,
                                   .receiverIncarnation = this->incarnationOf(instance),
                                   .instance = probe.instance,
                                   .endpoint = this->table[probe.instance].record.endpoint };
        out.push_back({ .to = this->table[instance].record.endpoint, .message = message });
    }
}

/// Suspects a member only when someone has answered since the probe began;
/// otherwise this instance's own link is the likelier fault.
void Membership::raiseSuspicion(const Probe &probe, TimePoint now)
{
    if (this->lastAnswer<probe.firstAt &&this->liveOthers()> 1) {
        this->cutOff = true;
        return;
    }
    MemberRecord record = this->table[probe.instance].record;
    if (record.state != MemberState::alive)
        return;
    ++this->raised;
    record.state = MemberState::suspect;
    this->merge(record, now);
}

void Membership::expire(TimePoint now)
{
    for (auto &[instance, member] : this->table) {
        const bool isOverdue = member.record.state == MemberState::suspect
                               && now - member.changedAt >= this->options.suspicionLimit;
        if (!isOverdue || this->cutOff)
            continue;
        member.record.state = MemberState::dead;
        member.changedAt = now;
        this->spread(instance);
        this->orderIsStale = true;
    }
    std::erase_if(this->table, [&](const auto &entry) {
        const bool isForgotten = !isLive(entry.second.record)
                                 && now - entry.second.changedAt >= this->options.retention;
        if (isForgotten)
            this->heardIncarnations.erase(entry.first);
        return isForgotten;
    });
}

/// Pings a member that is gone or a seed that is not known alive, so that two
/// sides of a partition find each other when it ends, and a restarted member
/// is found whose seeds are all down.
void Membership::reconnect(TimePoint now, Actions &out)
{
    if (now < this->nextReconnect)
        return;
    // One that knows nobody yet asks more often.
    this->nextReconnect =
            now + (this->table.empty() ? this->options.period / 2 : this->options.reconnectPeriod);
    std::map<std::string, std::string> silent; // endpoint to instance
    for (const std::string &seed : this->options.seeds) {
        if (seed != this->options.self.endpoint)
            silent[seed] = "";
    }
    for (const auto &[instance, member] : this->table) {
        if (!isLive(member.record))
            silent[member.record.endpoint] = instance;
    }
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            silent.erase(member.record.endpoint);
    }
    if (silent.empty())
        return;
    const auto chosen =
            std::next(silent.begin(), static_cast<std::ptrdiff_t>(this->random() % silent.size()));
    out.push_back(this->ping(chosen->second, chosen->first, ++this->lastSequence));
}

void Membership::merge(const MemberRecord &record, TimePoint now)
{
    if (record.instance.empty())
        return;
    if (record.instance == this->options.self.instance)
        return this->refute(record);
    const auto found = this->table.find(record.instance);
    if (found != this->table.end() && !replaces(record, found->second.record))
        return;
    if (found != this->table.end() && found->second.record.state != MemberState::alive
        && record.state == MemberState::alive)
        ++this->refuted;
    this->table[record.instance] = Member{ .record = record, .changedAt = now };
    this->orderIsStale = true;
    this->spread(record.instance);
}

/// Takes a table. What is gone and not known here stays unknown, so that
/// instances don't keep each other's memory of the dead alive for ever.
void Membership::mergeTable(const MemberTable &part, TimePoint now)
{
    for (const MemberRecord &record : part.records) {
        if (isLive(record) || this->table.contains(record.instance))
            this->merge(record, now);
    }
}

/// Raises this instance's own record over a belief that is not true of it.
void Membership::refute(const MemberRecord &record)
{
    MemberRecord &self = this->options.self;
    if (!replaces(record, self) || self.state == MemberState::left)
        return;
    // A clock that was set back gave this process an incarnation below its last one.
    if (record.incarnation > self.incarnation || record.state == MemberState::left)
        self.incarnation = record.incarnation + 1;
    self.refutation = record.refutation + 1;
    this->spread(self.instance);
}

void Membership::spread(const std::string &instance)
{
    const auto doublings = static_cast<int>(std::bit_width(this->table.size() + 1));
    this->spreadsLeft[instance] = kSpreadFactor * doublings;
}

/// Asks for the whole table when the live members differ, at a bounded rate.
void Membership::compareTables(const DatagramSender &sender, std::uint64_t digest, TimePoint now,
                               Actions &out)
{
    if (digest == this->digest() || now < this->nextPull)
        return;
    this->nextPull = now + this->options.pullPeriod;
    out.push_back({ .to = sender.endpoint,
                    .message = MemberTablePull{ .receiverIncarnation = sender.incarnation } });
}

/// The changes that were sent least often, after what the receiver must know of itself.
std::vector<MemberRecord> Membership::takeUpdates(const std::string &forInstance)
{
    std::vector<MemberRecord> updates;
    const auto receiver = this->table.find(forInstance);
    if (receiver != this->table.end() && receiver->second.record.state != MemberState::alive)
        updates.push_back(receiver->second.record);
    std::vector<std::pair<int, std::string>> due;
    for (const auto &[instance, left] : this->spreadsLeft) {
        if (this->table.contains(instance))
            due.emplace_back(left, instance);
    }
    const std::size_t taken = std::min(due.size(), kMaxUpdates);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(taken), due.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < taken; ++i) {
        const std::string &instance = due[i].second;
        updates.push_back(this->table[instance].record);
        if (--this->spreadsLeft[instance] <= 0)
            this->spreadsLeft.erase(instance);
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
                                    .updates = this->takeUpdates(instance) } };
}

MemberAck Membership::ackFor(std::uint64_t sequence, const DatagramSender &to, bool reached)
{
    return { .sequence = sequence,
             .receiverIncarnation = to.incarnation,
             .reached = reached,
             .tableDigest = this->digest(),
             .self = this->options.self,
             .updates = this->takeUpdates(to.instance) };
}

/// Orders the live others by hash, from this instance's own place on.
void Membership::refreshOrder()
{
    if (!this->orderIsStale)
        return;
    this->orderIsStale = false;
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

std::string Membership::nextWatched()
{
    if (this->ring.empty())
        return {};
    return this->ring[++this->watchedTurn % std::min(kWatched, this->ring.size())];
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

/// Digest of the live members, this instance among them; suspicion is left
/// out, since it ends by itself.
std::uint64_t Membership::digest() const
{
    const auto part = [](const MemberRecord &record) {
        return mix(mix(hashOf(record.instance), record.incarnation), record.refutation);
    };
    std::uint64_t sum = isLive(this->options.self) ? part(this->options.self) : 0;
    for (const auto &[instance, member] : this->table) {
        if (isLive(member.record))
            sum ^= part(member.record);
    }
    return sum;
}

} // namespace egret
