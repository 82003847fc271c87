#include "quorum.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace egret {

namespace {

constexpr Milliseconds kProbeInterval = 200ms;
constexpr Milliseconds kMaxProbeAge = 1s;
/// A leader that was named in a reply to a probe counts as known for this time: three probes.
constexpr Milliseconds kReportedLeaderLifetime = 600ms;
constexpr std::size_t kMaxReportedEndpoints = 64;
constexpr Milliseconds kWatermarkSaveInterval = 1s;
/// Election timeout, and bound on the jitter, of a member that started recently and has seen no
/// leader since its start. See `resetElectionTimer`.
constexpr Milliseconds kRestartElectionTimeout = 80ms;
constexpr std::size_t kSnapshotPartBytes = 256U << 10U;
/// Term and index of the snapshot that bootstraps a group.
constexpr std::uint64_t kFirstTerm = 1;
constexpr std::uint64_t kFirstIndex = 1;

/// Bytes of an entry in a message in addition to the payload.
constexpr std::size_t kEntryOverheadBytes = 32;

} // namespace

Quorum::Quorum(QuorumOptions options, QuorumPersistentState persistentState, bool isFresh,
               std::uint64_t seed, TimePoint now)
    : options(std::move(options)), persistent(std::move(persistentState)), random(seed),
      durableIndex(this->lastIndex()), commit(this->persistent.snapshot.index),
      lastLeaderMessageAt(now), startedAt(now), isWatermarkConfirmed(isFresh), nextProbeAt(now),
      watermarksSavedAt(now)
{
    this->membershipsByIndex[this->persistent.snapshot.index] = this->persistent.snapshot.members;
    for (const QuorumEntry &entry : this->persistent.entries) {
        if (entry.kind == QuorumEntryKind::members && entry.index > this->persistent.snapshot.index)
            this->membershipsByIndex[entry.index] =
                    decode<QuorumMembers>(entry.payload).value_or(QuorumMembers{});
    }
    if (this->persistent.snapshot.index > 0)
        this->actions.emplace_back(RestoreState{ .snapshot = this->persistent.snapshot });
    this->resetElectionTimer(now);
}

void Quorum::tick(TimePoint now)
{
    if (this->reportedLeader && now > this->reportedLeader->receivedAt + kReportedLeaderLifetime)
        this->reportedLeader.reset();
    // A removed member receives no messages from the leader, and sends probes to be added
    // again.
    const bool mustProbe = !this->isLeaving
                           && (this->persistent.cluster == 0 || !this->isWatermarkConfirmed
                               || (this->options.targetVoters > 0 && !this->hasRecentLeader(now)));
    if (now >= this->nextProbeAt && mustProbe)
        this->sendProbes(now);
    if (this->hasUnsavedWatermarks && now >= this->watermarksSavedAt + kWatermarkSaveInterval) {
        QuorumWatermarks watermarks;
        for (const auto &[folder, watermark] : this->persistent.watermarks)
            watermarks.watermarks.push_back(watermark);
        this->write({ watermarks }, false);
        this->hasUnsavedWatermarks = false;
        this->watermarksSavedAt = now;
    }
    if (this->role == Role::leader) {
        // A leader without replies from a majority within the election timeout steps down.
        if (now >= this->majorityRoundStartedAt() + this->options.electionTimeout)
            return this->becomeFollower(now, this->persistent.term, 0);
        this->manageMembers(now);
        if (now >= this->heartbeatAt)
            this->startRound(now);
    } else if (now >= this->electionAt && this->mayVote()) {
        this->campaign(now, true);
    }
}

void Quorum::receive(TimePoint now, const QuorumMessage &message)
{
    std::visit(
            [&](const auto &body) {
                if (this->isAddressedHere(body.header)) {
                    this->raiseTermWatermark(body.header.folder, body.header.term);
                    this->on(now, body);
                }
            },
            message);
}

std::optional<std::uint64_t> Quorum::propose(TimePoint now,
                                             const std::vector<std::string> &commands)
{
    if (!this->leadingTerm(now) || commands.empty())
        return std::nullopt;
    const std::uint64_t first = this->lastIndex() + 1;
    this->appendAsLeader(QuorumEntryKind::command, commands);
    for (const QuorumMember &to : this->members().members)
        this->replicate(to.folder);
    this->advanceCommit(now);
    return first;
}

void Quorum::read(TimePoint now, std::uint64_t id)
{
    if (!this->leadingTerm(now) || this->commit < this->firstIndexOfTerm) {
        this->actions.emplace_back(AnswerRead{ .id = id, .isCurrent = false });
        return;
    }
    // Step 1. While the lease is valid, no other member can lead. The lease is shorter than the
    // election timeout by `maxClockDriftPercent`, because the clocks of the voters may run faster.
    const auto lease =
            this->options.electionTimeout * (100 - this->options.maxClockDriftPercent) / 100;
    if (now < this->majorityRoundStartedAt() + lease) {
        this->actions.emplace_back(AnswerRead{ .id = id, .isCurrent = true });
        return;
    }
    // Step 2. Without the lease, a majority must reply to a round that starts now.
    this->startRound(now);
    this->pendingReads.push_back({ .id = id, .requiredRound = this->round });
    this->answerReads();
}

void Quorum::compact(std::string state)
{
    if (this->commit <= this->persistent.snapshot.index)
        return;
    QuorumSnapshot snapshot{ .term = this->termAt(this->commit), .index = this->commit };
    const auto after = this->membershipsByIndex.upper_bound(this->commit);
    snapshot.members = std::prev(after)->second;
    snapshot.state = std::make_shared<const std::string>(std::move(state));
    this->membershipsByIndex.erase(this->membershipsByIndex.begin(), after);
    this->membershipsByIndex[snapshot.index] = snapshot.members;
    this->persistent.snapshot = std::move(snapshot);
    std::size_t committedBytes = 0;
    for (const QuorumEntry &entry : this->persistent.entries)
        committedBytes += entry.index <= this->commit ? entry.payload.size() : 0;
    while (!this->persistent.entries.empty()
           && this->persistent.entries.front().index <= this->commit
           && (this->persistent.entries.front().index + this->options.trailingEntries
                       <= this->commit
               || committedBytes > this->options.trailingBytes)) {
        committedBytes -= this->persistent.entries.front().payload.size();
        this->persistent.entries.pop_front();
    }
    for (auto &[folder, follower] : this->progress)
        follower.snapshotOffset = 0;
    this->rewriteLog(true);
}

void Quorum::logSynced(TimePoint now, std::uint64_t write)
{
    this->syncedWrite = std::max(this->syncedWrite, write);
    while (!this->pendingWrites.empty() && this->isSynced(this->pendingWrites.front().number)) {
        this->durableIndex = std::max(this->durableIndex, this->pendingWrites.front().lastIndex);
        this->pendingWrites.pop_front();
    }
    while (!this->heldMessages.empty() && this->isSynced(this->heldMessages.front().write)) {
        this->actions.emplace_back(std::move(this->heldMessages.front().message));
        this->heldMessages.pop_front();
    }
    if (this->role == Role::candidate && this->isSynced(this->voteWrite)) {
        if (this->countVoters(this->votes) >= this->majoritySize())
            return this->becomeLeader(now);
        // The requests for votes are sent only now.
        if (this->votes.size() == 1)
            this->resetElectionTimer(now);
    }
    this->acknowledgeSyncedEntries();
    this->advanceCommit(now);
}

/// Counts the entries that are on disk as acknowledged, on the leader by itself and on a follower
/// in a reply to the leader.
void Quorum::acknowledgeSyncedEntries()
{
    if (this->role == Role::leader) {
        const auto own = this->progress.find(this->persistent.folder);
        if (own != this->progress.end())
            own->second.acknowledgedIndex =
                    std::max(own->second.acknowledgedIndex, this->durableIndex);
        this->raiseWatermark({ .folder = this->persistent.folder,
                               .term = this->persistent.term,
                               .logTerm = this->termAt(this->durableIndex),
                               .logIndex = this->durableIndex });
        return;
    }
    const std::uint64_t index = std::min(this->matchedIndex, this->durableIndex);
    if (this->role != Role::follower || this->leader == 0 || index <= this->reportedIndex)
        return;
    this->reportedIndex = index;
    this->send(this->leaderAddress, AppendReply{ .header = this->header(this->leader),
                                                 .success = true,
                                                 .index = index,
                                                 .round = this->leaderRound,
                                                 .isLeaving = this->isLeaving });
}

std::vector<QuorumAction> Quorum::takeActions()
{
    return std::exchange(this->actions, {});
}

std::optional<std::uint64_t> Quorum::leadingTerm(TimePoint now) const
{
    if (this->role != Role::leader
        || now >= this->majorityRoundStartedAt() + this->options.electionTimeout)
        return std::nullopt;
    return this->persistent.term;
}

std::string Quorum::leaderEndpoint() const
{
    const QuorumMember *found = this->member(this->leader);
    if (found != nullptr)
        return found->endpoint;
    return this->reportedLeader ? this->reportedLeader->endpoint : "";
}

std::set<std::string> Quorum::knownEndpoints() const
{
    std::set<std::string> endpoints = this->reportedEndpoints;
    for (const QuorumMember &each : this->members().members)
        endpoints.insert(each.endpoint);
    return endpoints;
}

std::uint64_t Quorum::lastIndex() const
{
    return this->persistent.entries.empty() ? this->persistent.snapshot.index
                                            : this->persistent.entries.back().index;
}

bool Quorum::mayVote() const
{
    const QuorumMember *own = this->member(this->persistent.folder);
    return own != nullptr && own->voter && this->hasCaughtUpWithWatermark();
}

std::uint64_t Quorum::matchIndex(std::uint64_t folder) const
{
    const auto found = this->progress.find(folder);
    return found == this->progress.end() ? 0 : found->second.acknowledgedIndex;
}

// --- identity and membership ---

bool Quorum::isAddressedHere(const QuorumHeader &header)
{
    if (header.group != this->options.group || header.folder == this->persistent.folder)
        return false;
    if (header.to != 0 && header.to != this->persistent.folder)
        return false;
    // A member without a group accepts messages of any group, because the leader of a group
    // may be adding the member.
    return header.cluster == this->persistent.cluster || header.cluster == 0
           || this->persistent.cluster == 0;
}

void Quorum::sendProbes(TimePoint now)
{
    this->nextProbeAt = now + kProbeInterval;
    std::set<std::string> endpoints;
    if (this->reportedLeader && this->isWatermarkConfirmed) {
        endpoints.insert(this->reportedLeader->endpoint);
    } else {
        endpoints = this->knownEndpoints();
        endpoints.insert(this->options.initialEndpoints.begin(),
                         this->options.initialEndpoints.end());
    }
    for (const std::string &endpoint : endpoints) {
        if (endpoint != this->options.endpoint)
            this->send(endpoint, QuorumProbe{ .header = this->header(0) });
    }
    if (this->persistent.cluster == 0)
        this->bootstrapGroup(now);
    else
        this->confirmWatermark(QuorumProbe{});
}

void Quorum::on(TimePoint now, const QuorumProbe &probe)
{
    const QuorumHeader &from = probe.header;
    this->probesByEndpoint[from.endpoint] = { .folder = from.folder,
                                              .cluster = from.cluster,
                                              .receivedAt = now };
    if (probe.isReply) {
        this->learnFromProbeReply(now, probe);
        this->confirmWatermark(probe);
        return;
    }
    QuorumProbe reply{ .header = this->header(from.folder), .isReply = true };
    const auto known = this->persistent.watermarks.find(from.folder);
    if (known != this->persistent.watermarks.end())
        reply.watermark = known->second;
    if (const QuorumMember *leaderMember = this->member(this->leader);
        leaderMember != nullptr && this->hasRecentLeader(now))
        reply.leader = leaderMember->endpoint;
    const std::set<std::string> endpoints = this->knownEndpoints();
    reply.endpoints.assign(endpoints.begin(), endpoints.end());
    this->send(from.endpoint, reply);
    // The sender may be an initial member that missed the QuorumBootstrap message. While the log
    // is empty, the message can be repeated.
    const bool isLogEmpty = this->lastIndex() == kFirstIndex;
    if (from.cluster == 0 && this->persistent.cluster != 0 && isLogEmpty
        && this->member(from.folder) != nullptr)
        this->send(from.endpoint, QuorumBootstrap{ .header = this->header(from.folder),
                                                   .members = this->members() });
}

/// Stores the leader and the endpoints that a reply to a probe names. The leader of an earlier term
/// doesn't replace the leader of a later one.
void Quorum::learnFromProbeReply(TimePoint now, const QuorumProbe &reply)
{
    for (const std::string &endpoint : reply.endpoints) {
        if (this->reportedEndpoints.size() < kMaxReportedEndpoints)
            this->reportedEndpoints.insert(endpoint);
    }
    const std::uint64_t term = reply.header.term;
    const bool isOutdated = this->reportedLeader && term < this->reportedLeader->term;
    if (!reply.leader.empty() && reply.leader != this->options.endpoint && !isOutdated)
        this->reportedLeader =
                ReportedLeader{ .endpoint = reply.leader, .term = term, .receivedAt = now };
}

/// Adds the watermark in `reply`, and confirms the watermark of this folder when a majority has
/// reported. A member whose folder was restored from an older copy must not vote before its
/// log again contains every entry that the member had acknowledged, and must not vote in a term
/// in which the member may already have voted. An empty `reply` adds no watermark.
void Quorum::confirmWatermark(const QuorumProbe &reply)
{
    if (this->isWatermarkConfirmed || this->persistent.cluster == 0)
        return;
    if (reply.isReply && reply.header.cluster == this->persistent.cluster) {
        this->watermarkReporters.insert(reply.header.folder);
        this->requiredWatermark.term = std::max(this->requiredWatermark.term, reply.watermark.term);
        if (std::tuple(reply.watermark.logTerm, reply.watermark.logIndex)
            > std::tuple(this->requiredWatermark.logTerm, this->requiredWatermark.logIndex)) {
            this->requiredWatermark.logTerm = reply.watermark.logTerm;
            this->requiredWatermark.logIndex = reply.watermark.logIndex;
        }
    }
    std::set<std::uint64_t> reporters = this->watermarkReporters;
    reporters.insert(this->persistent.folder);
    if (this->members().members.empty() || this->countVoters(reporters) < this->majoritySize())
        return;
    this->isWatermarkConfirmed = true;
    // Other members have seen this member in the watermark's term, and this folder may have lost
    // the record of a vote in the watermark's term. Grant no vote in the watermark's term.
    if (this->requiredWatermark.term > this->persistent.term
        || (this->requiredWatermark.term == this->persistent.term
            && this->persistent.votedFor == 0)) {
        this->persistent.term = std::max(this->requiredWatermark.term, this->persistent.term);
        this->persistent.votedFor = kUnknownVote;
        this->writeVote();
    }
}

/// Bootstraps the group if this member is the first initial member and every other initial
/// member has recently sent a probe with an empty folder. An initial member that belongs to a
/// group therefore prevents the bootstrap of a second group.
void Quorum::bootstrapGroup(TimePoint now)
{
    if (!this->options.mayBootstrap || this->options.initialEndpoints.empty()
        || this->options.initialEndpoints.front() != this->options.endpoint)
        return;
    QuorumMembers members;
    members.members.push_back({ .folder = this->persistent.folder,
                                .endpoint = this->options.endpoint,
                                .voter = true });
    for (const std::string &endpoint : this->options.initialEndpoints) {
        if (endpoint == this->options.endpoint)
            continue;
        const auto found = this->probesByEndpoint.find(endpoint);
        if (found == this->probesByEndpoint.end() || found->second.cluster != 0
            || now > found->second.receivedAt + kMaxProbeAge)
            return;
        members.members.push_back(
                { .folder = found->second.folder, .endpoint = endpoint, .voter = true });
    }
    this->adoptGroup(this->random() | 1U, members);
    for (const QuorumMember &other : members.members) {
        if (other.folder != this->persistent.folder)
            this->sendWhenSynced(
                    other.endpoint, this->lastWrite,
                    QuorumBootstrap{ .header = this->header(other.folder), .members = members });
    }
}

void Quorum::on(TimePoint now, const QuorumBootstrap &bootstrap)
{
    const bool isMember = std::ranges::any_of(bootstrap.members.members, [&](const auto &each) {
        return each.folder == this->persistent.folder;
    });
    if (this->persistent.cluster != 0 || bootstrap.header.cluster == 0 || !isMember)
        return;
    this->adoptGroup(bootstrap.header.cluster, bootstrap.members);
    this->resetElectionTimer(now);
}

void Quorum::adoptGroup(std::uint64_t cluster, const QuorumMembers &members)
{
    this->persistent.cluster = cluster;
    this->persistent.term = std::max(this->persistent.term, kFirstTerm);
    this->persistent.snapshot =
            QuorumSnapshot{ .term = kFirstTerm, .index = kFirstIndex, .members = members };
    this->persistent.entries.clear();
    this->membershipsByIndex.clear();
    this->membershipsByIndex[kFirstIndex] = members;
    this->commit = kFirstIndex;
    this->isWatermarkConfirmed = true;
    this->rewriteLog(false);
    this->voteWrite = this->lastWrite;
    this->actions.emplace_back(RestoreState{ .snapshot = this->persistent.snapshot });
}

bool Quorum::addMember(TimePoint now, const std::string &endpoint)
{
    const auto found = this->probesByEndpoint.find(endpoint);
    if (found == this->probesByEndpoint.end() || this->member(found->second.folder) != nullptr
        || (found->second.cluster != 0 && found->second.cluster != this->persistent.cluster))
        return false;
    QuorumMembers changed = this->members();
    changed.members.push_back(
            { .folder = found->second.folder, .endpoint = endpoint, .voter = false });
    return this->changeMembers(now, changed);
}

bool Quorum::removeMember(TimePoint now, std::uint64_t folder)
{
    QuorumMembers changed = this->members();
    std::erase_if(changed.members, [&](const auto &each) { return each.folder == folder; });
    const bool hasVoterLeft =
            std::ranges::any_of(changed.members, [](const auto &each) { return each.voter; });
    return changed.members.size() < this->members().members.size() && hasVoterLeft
           && this->changeMembers(now, changed);
}

/// Starts the next membership change. A change starts only after the previous change is committed.
void Quorum::manageMembers(TimePoint now)
{
    if (!this->mayChangeMembers())
        return;
    if (this->removeReplacedMember(now) || this->promoteLearner(now))
        return;
    if (this->options.targetVoters > 0 && !this->removeDepartingVoter(now)
        && !this->removeDepartingStandby(now))
        this->addProbingInstance(now);
}

std::size_t Quorum::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->members().members, [](const auto &each) { return each.voter; }));
}

/// True when the data folder `folder` takes the place of a member with the same endpoint, whose
/// folder is lost.
bool Quorum::isReplacement(const std::string &endpoint, std::uint64_t folder) const
{
    return std::ranges::any_of(this->members().members, [&](const QuorumMember &each) {
        return each.endpoint == endpoint && each.folder != folder;
    });
}

/// Removes the older of two members with the same endpoint, a voter only once the newer member is a
/// voter. Returns true when a removal has started.
bool Quorum::removeReplacedMember(TimePoint now)
{
    const auto &current = this->members().members;
    for (std::size_t newer = 0; newer < current.size(); ++newer) {
        for (std::size_t older = 0; older < newer; ++older) {
            if (current[older].endpoint == current[newer].endpoint
                && (current[newer].voter || !current[older].voter))
                return this->removeMember(now, current[older].folder);
        }
    }
    return false;
}

/// Makes a learner that holds all committed entries a voter, if a place is free or a voter departs.
/// Any other learner remains a standby. Returns true when the change has started.
bool Quorum::promoteLearner(TimePoint now)
{
    const bool isManaged = this->options.targetVoters > 0;
    if (isManaged && this->voterCount() > this->options.targetVoters)
        return false;
    QuorumMembers changed = this->members();
    const bool hasPlace = !isManaged || this->voterCount() < this->options.targetVoters
                          || std::ranges::any_of(changed.members, [&](const QuorumMember &each) {
                                 return each.voter && this->isDeparting(each, now);
                             });
    for (QuorumMember &learner : changed.members) {
        const bool isReady = !learner.voter && this->matchIndex(learner.folder) >= this->commit
                             && !(isManaged && this->isDeparting(learner, now));
        if (!isReady || !(hasPlace || this->isReplacement(learner.endpoint, learner.folder)))
            continue;
        learner.voter = true;
        return this->changeMembers(now, changed);
    }
    return false;
}

/// True for a member that has announced its departure, for another member without a reply
/// within the time that its kind is given, and for a voter that lacks committed entries and has
/// acknowledged none for that time, for instance because its disk is full. The time of a learner is
/// short: a learner that has just failed must not become a voter.
bool Quorum::isDeparting(const QuorumMember &member, TimePoint now) const
{
    if (member.folder == this->persistent.folder)
        return this->isLeaving;
    const auto found = this->progress.find(member.folder);
    if (found == this->progress.end())
        return false;
    const MemberProgress &progress = found->second;
    const Milliseconds timeout =
            member.voter ? this->options.silentVoterTimeout : this->options.electionTimeout;
    const bool isStuck = member.voter && progress.acknowledgedIndex < this->commit
                         && now > progress.progressedAt + this->options.silentVoterTimeout;
    return progress.isLeaving || now > progress.lastReplyAt + timeout || isStuck;
}

/// Removes a departing voter when there are more than `targetVoters` voters. Returns true when a
/// removal has started.
bool Quorum::removeDepartingVoter(TimePoint now)
{
    if (this->voterCount() <= this->options.targetVoters)
        return false;
    const auto &current = this->members().members;
    const auto departing = std::ranges::find_if(current, [&](const QuorumMember &each) {
        return each.voter && this->isDeparting(each, now);
    });
    return departing != current.end() && this->removeMember(now, departing->folder);
}

/// Removes a standby that departs when another instance asks for its place. Returns true when a
/// removal has started.
bool Quorum::removeDepartingStandby(TimePoint now)
{
    const auto &current = this->members().members;
    const auto departing = std::ranges::find_if(current, [&](const QuorumMember &each) {
        return !each.voter && this->isDeparting(each, now);
    });
    if (departing == current.end())
        return false;
    const bool hasCandidate = std::ranges::any_of(this->probesByEndpoint, [&](const auto &each) {
        return now <= each.second.receivedAt + kMaxProbeAge
               && this->member(each.second.folder) == nullptr;
    });
    return hasCandidate && this->removeMember(now, departing->folder);
}

/// Adds one instance that has recently sent a probe and whose folder is not a member. An instance
/// with an empty folder and the endpoint of a member is always added, because that member's
/// folder is lost; the older member is removed later. Any other instance, such as a removed
/// member, is added only to reach the target number of voters or as the standby.
void Quorum::addProbingInstance(TimePoint now)
{
    const std::size_t targetSize = this->options.targetVoters + 1;
    for (const auto &endpointProbe : this->probesByEndpoint) {
        const std::string &endpoint = endpointProbe.first;
        const ProbeRecord &probe = endpointProbe.second;
        if (now > probe.receivedAt + kMaxProbeAge || this->member(probe.folder) != nullptr)
            continue;
        const bool replacesMember =
                probe.cluster == 0 && this->isReplacement(endpoint, probe.folder);
        if (!replacesMember && this->members().members.size() >= targetSize)
            continue;
        if (this->addMember(now, endpoint))
            return;
    }
}

bool Quorum::mayChangeMembers() const
{
    return this->role == Role::leader && this->commit >= this->firstIndexOfTerm
           && this->membershipsByIndex.rbegin()->first <= this->commit;
}

bool Quorum::changeMembers(TimePoint now, const QuorumMembers &members)
{
    if (!this->leadingTerm(now) || !this->mayChangeMembers())
        return false;
    const QuorumMembers previous = this->members();
    this->appendAsLeader(QuorumEntryKind::members, { encode(members) });
    // A removed member gets the entry too: a member that leaves waits for its removal.
    for (const QuorumMember &each : previous.members) {
        const auto follower = this->progress.find(each.folder);
        if (this->member(each.folder) == nullptr && each.folder != this->persistent.folder
            && follower != this->progress.end())
            this->replicateTo(each, follower->second);
    }
    std::erase_if(this->progress,
                  [&](const auto &each) { return this->member(each.first) == nullptr; });
    for (const QuorumMember &to : members.members) {
        this->progress.try_emplace(to.folder, MemberProgress{ .nextIndex = this->lastIndex() + 1,
                                                              .inFlightFrom = this->lastIndex() + 1,
                                                              .lastReplyAt = now,
                                                              .progressedAt = now });
        this->replicate(to.folder);
    }
    this->advanceCommit(now);
    return true;
}

const QuorumMember *Quorum::member(std::uint64_t folder) const
{
    for (const QuorumMember &each : this->members().members) {
        if (each.folder == folder)
            return &each;
    }
    return nullptr;
}

std::size_t Quorum::majoritySize() const
{
    const auto voters =
            std::ranges::count_if(this->members().members, [](const auto &m) { return m.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

std::size_t Quorum::countVoters(const std::set<std::uint64_t> &folders) const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(this->members().members, [&](const auto &each) {
                return each.voter && folders.contains(each.folder);
            }));
}

void Quorum::raiseWatermark(const QuorumWatermark &watermark)
{
    QuorumWatermark &stored = this->persistent.watermarks[watermark.folder];
    const QuorumWatermark previous = stored;
    stored.folder = watermark.folder;
    stored.term = std::max(stored.term, watermark.term);
    if (std::tuple(watermark.logTerm, watermark.logIndex)
        > std::tuple(stored.logTerm, stored.logIndex)) {
        stored.logTerm = watermark.logTerm;
        stored.logIndex = watermark.logIndex;
    }
    this->hasUnsavedWatermarks = this->hasUnsavedWatermarks || stored != previous;
}

void Quorum::raiseTermWatermark(std::uint64_t folder, std::uint64_t term)
{
    if (this->member(folder) != nullptr)
        this->raiseWatermark({ .folder = folder, .term = term });
}

// --- elections ---

bool Quorum::hasCaughtUpWithWatermark() const
{
    return this->isWatermarkConfirmed
           && std::tuple(this->lastTerm(), this->lastIndex()) >= std::tuple(
                      this->requiredWatermark.logTerm, this->requiredWatermark.logIndex);
}

/// True when no voter, including this member, has seen a leader since the voter's start. In
/// that case no member leads, and no lease of an earlier leader is valid.
bool Quorum::isEveryVoterLeaderless() const
{
    return !this->hasSeenLeader
           && std::ranges::all_of(this->members().members, [this](const QuorumMember &each) {
                  return !each.voter || each.folder == this->persistent.folder
                         || this->leaderlessVoters.contains(each.folder);
              });
}

void Quorum::campaign(TimePoint now, bool isPreVote, bool noVoterKnowsLeader)
{
    this->role = isPreVote ? Role::preCandidate : Role::candidate;
    this->leader = 0;
    this->votes = { this->persistent.folder };
    this->leaderlessVoters.clear();
    this->resetElectionTimer(now);
    if (!isPreVote) {
        ++this->persistent.term;
        this->persistent.votedFor = this->persistent.folder;
        this->writeVote();
    }
    if (this->countVoters(this->votes) >= this->majoritySize()) {
        // The only voter leads when its vote is on disk, see `logSynced`.
        if (isPreVote)
            this->campaign(now, false);
        return;
    }
    for (const QuorumMember &to : this->members().members) {
        if (to.voter && to.folder != this->persistent.folder)
            this->sendWhenSynced(to.endpoint, isPreVote ? 0 : this->voteWrite,
                                 VoteRequest{ .header = this->header(to.folder),
                                              .isPreVote = isPreVote,
                                              .noVoterKnowsLeader = noVoterKnowsLeader,
                                              .lastTerm = this->lastTerm(),
                                              .lastIndex = this->lastIndex() });
    }
}

void Quorum::on(TimePoint now, const VoteRequest &request)
{
    const QuorumHeader &from = request.header;
    if (this->persistent.cluster == 0 || from.cluster == 0)
        return;
    const bool isLeaderless = !this->hasSeenLeader && this->role != Role::leader;
    const bool mustWithholdVote =
            this->hasRecentLeader(now) && !(request.noVoterKnowsLeader && isLeaderless);
    // Step 1. Adopt a newer term only if this member has no recent leader. Otherwise a candidate
    // that was partitioned could depose the leader.
    if (!request.isPreVote && !mustWithholdVote && from.term > this->persistent.term)
        this->becomeFollower(now, from.term, 0);
    // Step 2. Decide on the vote or pre-vote. A request is qualified if this member has caught up
    // with its watermark and the log of the candidate is up to date. A member that isn't a voter in
    // its own latest membership grants votes too, because the candidate may know a later
    // membership. A qualified request is eligible unless a recent leader forbids the vote.
    const std::uint64_t forTerm = request.isPreVote ? from.term + 1 : from.term;
    const bool isQualified = this->hasCaughtUpWithWatermark()
                             && this->isUpToDate(request.lastTerm, request.lastIndex);
    const bool isEligible = isQualified && !mustWithholdVote;
    bool granted = false;
    if (request.isPreVote) {
        granted = isEligible && forTerm > this->persistent.term;
    } else if (isEligible && forTerm == this->persistent.term
               && (this->persistent.votedFor == 0 || this->persistent.votedFor == from.folder)) {
        granted = true;
        if (this->persistent.votedFor != from.folder) {
            this->persistent.votedFor = from.folder;
            this->writeVote();
        }
        this->resetElectionTimer(now);
    }
    const bool isVote = granted && !request.isPreVote;
    this->sendWhenSynced(from.endpoint, isVote ? this->voteWrite : 0,
                         VoteReply{ .header = this->header(from.folder),
                                    .isPreVote = request.isPreVote,
                                    .forTerm = forTerm,
                                    .granted = granted,
                                    .knowsNoLeader = request.isPreVote && isLeaderless
                                                     && isQualified
                                                     && forTerm > this->persistent.term });
}

void Quorum::on(TimePoint now, const VoteReply &reply)
{
    if (!reply.granted && reply.header.term > this->persistent.term)
        return this->becomeFollower(now, reply.header.term, 0);
    const bool isPreVoteReply = reply.isPreVote && this->role == Role::preCandidate
                                && reply.forTerm == this->persistent.term + 1;
    const bool isVoteReply = !reply.isPreVote && this->role == Role::candidate
                             && reply.forTerm == this->persistent.term;
    if (isPreVoteReply && reply.knowsNoLeader) {
        this->leaderlessVoters.insert(reply.header.folder);
        if (this->isEveryVoterLeaderless())
            return this->campaign(now, false, true);
    }
    if (!reply.granted || !(isPreVoteReply || isVoteReply))
        return;
    this->votes.insert(reply.header.folder);
    if (this->countVoters(this->votes) < this->majoritySize())
        return;
    if (isPreVoteReply)
        this->campaign(now, false);
    else
        this->becomeLeader(now);
}

void Quorum::becomeLeader(TimePoint now)
{
    this->hasSeenLeader = true;
    this->role = Role::leader;
    this->leader = this->persistent.folder;
    this->progress.clear();
    this->roundStartTimes.clear();
    // The latest leader has been silent since its last message.
    for (const QuorumMember &each : this->members().members)
        this->progress[each.folder] = MemberProgress{
            .nextIndex = this->lastIndex() + 1,
            .inFlightFrom = this->lastIndex() + 1,
            .lastReplyAt = each.folder == this->lastLeader ? this->lastLeaderMessageAt : now,
            .progressedAt = now
        };
    this->roundStartTimes[this->round] = now;
    for (auto &[folder, follower] : this->progress)
        follower.repliedRound = this->round;
    // Append an entry of the new term, because entries of earlier terms are committed only
    // together with an entry of the current term.
    this->firstIndexOfTerm = this->lastIndex() + 1;
    this->appendAsLeader(QuorumEntryKind::noop, { "" });
    this->acknowledgeSyncedEntries();
    this->startRound(now);
    this->advanceCommit(now);
}

void Quorum::becomeFollower(TimePoint now, std::uint64_t term, std::uint64_t newLeader)
{
    const bool isNewTerm = term > this->persistent.term;
    if (isNewTerm) {
        this->persistent.term = term;
        this->persistent.votedFor = 0;
        this->writeVote();
    }
    if (this->role != Role::follower || isNewTerm)
        this->resetElectionTimer(now);
    if (this->role != Role::follower || this->leader != newLeader || isNewTerm) {
        this->matchedIndex = 0;
        this->reportedIndex = 0;
        this->leaderRound = 0;
    }
    this->role = Role::follower;
    this->leader = newLeader;
    if (newLeader != 0)
        this->lastLeader = newLeader;
    this->progress.clear();
    this->failReads();
}

/// Follows the sender of a message that only the leader of a term sends.
void Quorum::followLeader(TimePoint now, const QuorumHeader &from)
{
    this->hasSeenLeader = true;
    this->becomeFollower(now, from.term, from.folder);
    this->leaderAddress = from.endpoint;
    this->lastLeaderMessageAt = now;
    this->resetElectionTimer(now);
}

bool Quorum::hasRecentLeader(TimePoint now) const
{
    if (this->role == Role::leader)
        return this->leadingTerm(now).has_value();
    return now < this->lastLeaderMessageAt + this->options.electionTimeout;
}

void Quorum::resetElectionTimer(TimePoint now)
{
    // For one election timeout after its start, a member that has seen no leader sends pre-votes
    // more often, to find out whether all members have restarted. A pre-vote deposes no leader.
    const bool hasJustStarted =
            !this->hasSeenLeader && now < this->startedAt + this->options.electionTimeout;
    const Milliseconds timeout =
            hasJustStarted ? kRestartElectionTimeout : this->options.electionTimeout;
    const Milliseconds jitter =
            hasJustStarted ? kRestartElectionTimeout : this->options.electionJitter;
    const auto jitterMs = static_cast<std::uint64_t>(jitter.count());
    this->electionAt = now + timeout + Milliseconds(this->random() % jitterMs);
}

// --- replication ---

void Quorum::startRound(TimePoint now)
{
    this->heartbeatAt = now + this->options.heartbeatInterval;
    this->nextRound(now);
    for (const QuorumMember &to : this->members().members)
        this->replicate(to.folder);
}

/// Gives the messages from now on the number of a new round.
void Quorum::nextRound(TimePoint now)
{
    this->roundStartTimes[++this->round] = now;
    this->roundStartTimes.erase(this->roundStartTimes.begin(),
                                this->roundStartTimes.lower_bound(this->majorityRound()));
    if (const auto own = this->progress.find(this->persistent.folder); own != this->progress.end())
        own->second.repliedRound = this->round;
}

/// Size of the entries that were sent to a follower and are not acknowledged.
std::size_t Quorum::inFlightBytes(const MemberProgress &follower) const
{
    if (this->persistent.entries.empty())
        return 0;
    const std::uint64_t first = this->persistent.entries.front().index;
    std::size_t bytes = 0;
    for (std::uint64_t index = std::max(follower.inFlightFrom, first); index < follower.nextIndex;
         ++index)
        bytes += this->persistent.entries[index - first].payload.size() + kEntryOverheadBytes;
    return bytes;
}

/// Sends a follower the missing entries, a part of the snapshot or a heartbeat.
void Quorum::replicate(std::uint64_t folder)
{
    const QuorumMember *to = this->member(folder);
    const auto found = this->progress.find(folder);
    if (folder == this->persistent.folder || to == nullptr || found == this->progress.end())
        return;
    this->replicateTo(*to, found->second);
}

void Quorum::replicateTo(const QuorumMember &to, MemberProgress &follower)
{
    // Step 1. When compaction has removed the missing entries, send the snapshot instead.
    if (follower.nextIndex < this->firstSendableIndex())
        return this->sendSnapshotPart(to, follower);
    // Step 2. Add as many entries as fit into a batch.
    AppendRequest request{ .header = this->header(to.folder),
                           .prevTerm = this->termAt(follower.nextIndex - 1),
                           .prevIndex = follower.nextIndex - 1,
                           .commit = this->commit,
                           .round = this->round };
    std::size_t bytes = 0;
    const std::size_t firstPosition =
            this->persistent.entries.empty()
                    ? 0
                    : follower.nextIndex - this->persistent.entries.front().index;
    const bool isFull = this->inFlightBytes(follower) >= this->options.maxInFlightBytes;
    for (std::size_t i = firstPosition; !isFull && i < this->persistent.entries.size(); ++i) {
        const QuorumEntry &entry = this->persistent.entries[i];
        bytes += entry.payload.size() + kEntryOverheadBytes;
        if (!request.entries.empty() && bytes > this->options.maxBatchBytes)
            break;
        request.entries.push_back(entry);
    }
    follower.nextIndex += request.entries.size();
    // Step 3. Add the watermarks of the members. Followers store the watermarks and send them
    // to restarted members.
    for (const QuorumMember &each : this->members().members) {
        const auto watermark = this->persistent.watermarks.find(each.folder);
        if (watermark != this->persistent.watermarks.end())
            request.watermarks.push_back(watermark->second);
    }
    this->send(to.endpoint, std::move(request));
}

void Quorum::sendSnapshotPart(const QuorumMember &to, MemberProgress &follower)
{
    const QuorumSnapshot &snapshot = this->persistent.snapshot;
    const std::string &state = *snapshot.state;
    follower.snapshotOffset = std::min(follower.snapshotOffset, state.size());
    this->send(to.endpoint,
               SnapshotPart{ .header = this->header(to.folder),
                             .lastTerm = snapshot.term,
                             .lastIndex = snapshot.index,
                             .members = snapshot.members,
                             .offset = follower.snapshotOffset,
                             .size = state.size(),
                             .bytes = state.substr(follower.snapshotOffset, kSnapshotPartBytes),
                             .round = this->round });
}

void Quorum::appendAsLeader(QuorumEntryKind kind, const std::vector<std::string> &payloads)
{
    std::vector<QuorumEntry> entries;
    entries.reserve(payloads.size());
    for (const std::string &payload : payloads)
        entries.push_back({ .term = this->persistent.term,
                            .index = this->lastIndex() + entries.size() + 1,
                            .kind = kind,
                            .payload = payload });
    this->appendEntries(entries);
}

/// Appends the given entries that the log doesn't contain. If the log contains an entry of a
/// different term at the index of a given entry, first truncates the log at this index.
void Quorum::appendEntries(const std::vector<QuorumEntry> &entries)
{
    std::vector<QuorumRecord> records;
    for (const QuorumEntry &entry : entries) {
        if (entry.index <= this->lastIndex()) {
            if (entry.index <= this->commit || this->termAt(entry.index) == entry.term)
                continue;
            this->truncate(entry.index, records);
        }
        this->persistent.entries.push_back(entry);
        records.emplace_back(entry);
        if (entry.kind == QuorumEntryKind::members)
            this->membershipsByIndex[entry.index] =
                    decode<QuorumMembers>(entry.payload).value_or(QuorumMembers{});
    }
    if (!records.empty())
        this->write(std::move(records));
}

/// Drops the entries with the index `from` and higher, and adds a record of the truncation to
/// `records`.
void Quorum::truncate(std::uint64_t from, std::vector<QuorumRecord> &records)
{
    assert(from > this->commit && "a committed entry must not be dropped");
    while (!this->persistent.entries.empty() && this->persistent.entries.back().index >= from)
        this->persistent.entries.pop_back();
    this->membershipsByIndex.erase(this->membershipsByIndex.lower_bound(from),
                                   this->membershipsByIndex.end());
    this->durableIndex = std::min(this->durableIndex, from - 1);
    for (PendingWrite &pending : this->pendingWrites)
        pending.lastIndex = std::min(pending.lastIndex, from - 1);
    records.emplace_back(QuorumTruncate{ .from = from });
}

void Quorum::on(TimePoint now, const AppendRequest &request)
{
    const QuorumHeader &from = request.header;
    // Step 1. A member without a group joins the group whose leader addresses the member's folder.
    if (this->persistent.cluster == 0 && from.cluster != 0 && from.to == this->persistent.folder) {
        this->persistent.cluster = from.cluster;
        this->isWatermarkConfirmed = true;
        this->writeVote();
    }
    if (from.cluster != this->persistent.cluster || from.cluster == 0)
        return;
    // Step 2. Follow the sender unless its term is outdated, because only the leader of a term
    // sends append requests.
    AppendReply reply{
        .success = false, .index = 0, .round = request.round, .isLeaving = this->isLeaving
    };
    if (from.term >= this->persistent.term) {
        this->followLeader(now, from);
        for (const QuorumWatermark &watermark : request.watermarks)
            this->raiseWatermark(watermark);
        // Step 3. Append only if the entry before the new entries matches the leader's log.
        const bool isPrevCommitted = request.prevIndex <= this->commit;
        const bool matches = isPrevCommitted
                             || (request.prevIndex <= this->lastIndex()
                                 && this->termAt(request.prevIndex) == request.prevTerm);
        if (matches) {
            this->appendEntries(request.entries);
            const std::uint64_t matched = request.prevIndex + request.entries.size();
            this->matchedIndex = std::max(this->matchedIndex, matched);
            this->leaderRound = std::max(this->leaderRound, request.round);
            this->commitTo(std::min(request.commit, matched));
            // New entries are acknowledged when they are on disk, see `logSynced`. Until then, the
            // leader's heartbeats are replied to.
            if (!request.entries.empty() && this->durableIndex < matched)
                return;
            reply.success = true;
            reply.index = std::min(matched, this->durableIndex);
            this->reportedIndex = std::max(this->reportedIndex, reply.index);
        } else {
            // The leader retries after `reply.index`. Skip all entries of a conflicting later term
            // at once.
            reply.index = std::min(this->lastIndex(), request.prevIndex - 1);
            const std::uint64_t conflictingTerm = this->termAt(reply.index);
            while (reply.index > this->commit && this->termAt(reply.index) == conflictingTerm
                   && conflictingTerm > request.prevTerm)
                --reply.index;
        }
    }
    reply.header = this->header(from.folder);
    this->send(from.endpoint, reply);
}

void Quorum::on(TimePoint now, const AppendReply &reply)
{
    if (reply.header.term > this->persistent.term)
        return this->becomeFollower(now, reply.header.term, 0);
    const auto found = this->progress.find(reply.header.folder);
    if (this->role != Role::leader || reply.header.term != this->persistent.term
        || found == this->progress.end() || reply.round > this->round)
        return;
    MemberProgress &follower = found->second;
    this->recordReply(follower, now);
    follower.isLeaving = reply.isLeaving;
    if (reply.success) {
        const std::uint64_t acknowledged = std::min(reply.index, this->lastIndex());
        if (acknowledged > follower.acknowledgedIndex || acknowledged >= this->commit)
            follower.progressedAt = now;
        follower.acknowledgedIndex = std::max(follower.acknowledgedIndex, acknowledged);
        follower.nextIndex = std::max(follower.nextIndex, follower.acknowledgedIndex + 1);
        follower.inFlightFrom = std::max(follower.inFlightFrom, follower.acknowledgedIndex + 1);
        this->raiseWatermark({ .folder = reply.header.folder,
                               .term = reply.header.term,
                               .logTerm = this->termAt(follower.acknowledgedIndex),
                               .logIndex = follower.acknowledgedIndex });
    }
    const bool isMovedBack = !reply.success && reply.round > follower.movedBackInRound;
    if (isMovedBack) {
        // The requests that follow belong to a new round, so that refusals of those which are on
        // their way move nothing and send nothing again.
        follower.movedBackInRound = this->round;
        this->nextRound(now);
        follower.nextIndex = std::min(reply.index, this->lastIndex()) + 1;
        follower.inFlightFrom = follower.nextIndex;
        follower.snapshotOffset = 0;
    }
    this->recordRound(reply.header.folder, reply.round);
    this->advanceCommit(now);
    const bool hasMore = reply.success && follower.nextIndex <= this->lastIndex()
                         && this->inFlightBytes(follower) < this->options.maxInFlightBytes;
    if (this->role == Role::leader && (isMovedBack || hasMore))
        this->replicate(reply.header.folder);
}

void Quorum::on(TimePoint now, const SnapshotPart &part)
{
    const QuorumHeader &from = part.header;
    if (from.cluster != this->persistent.cluster || from.cluster == 0
        || from.term < this->persistent.term)
        return;
    this->followLeader(now, from);
    // Step 1. A snapshot that this member has is acknowledged once it is on disk. Until then, the
    // reply tells only that this member runs.
    this->leaderRound = std::max(this->leaderRound, part.round);
    if (part.lastIndex <= this->commit) {
        const bool isDurable = part.lastIndex <= this->durableIndex;
        this->send(from.endpoint, SnapshotReply{ .header = this->header(from.folder),
                                                 .lastIndex = isDurable ? part.lastIndex : 0,
                                                 .offset = isDurable ? part.size : 0,
                                                 .round = part.round });
        return;
    }
    // Step 2. Append the part if it starts at the end of the received bytes. A part of another
    // snapshot restarts the transfer.
    if (part.lastIndex != this->incomingSnapshotIndex || part.offset == 0) {
        this->incomingSnapshotIndex = part.lastIndex;
        this->incomingSnapshotBytes.clear();
    }
    if (part.offset == this->incomingSnapshotBytes.size())
        this->incomingSnapshotBytes += part.bytes;
    SnapshotReply reply{ .lastIndex = part.lastIndex,
                         .offset = this->incomingSnapshotBytes.size(),
                         .round = part.round };
    const bool isComplete = this->incomingSnapshotBytes.size() >= part.size;
    // Step 3. A complete snapshot replaces the log. `logSynced` acknowledges it.
    if (isComplete) {
        this->persistent.snapshot = QuorumSnapshot{
            .term = part.lastTerm,
            .index = part.lastIndex,
            .members = part.members,
            .state = std::make_shared<const std::string>(std::move(this->incomingSnapshotBytes))
        };
        this->persistent.entries.clear();
        this->membershipsByIndex.clear();
        this->membershipsByIndex[part.lastIndex] = part.members;
        this->durableIndex = std::min(this->durableIndex, this->commit);
        for (PendingWrite &pending : this->pendingWrites)
            pending.lastIndex = std::min(pending.lastIndex, this->commit);
        this->commit = part.lastIndex;
        this->matchedIndex = std::max(this->matchedIndex, part.lastIndex);
        this->rewriteLog(false);
        this->actions.emplace_back(RestoreState{ .snapshot = this->persistent.snapshot });
    }
    if (isComplete) {
        this->incomingSnapshotIndex = 0;
        this->incomingSnapshotBytes.clear();
        reply.lastIndex = 0;
        reply.offset = 0;
    }
    reply.header = this->header(from.folder);
    this->send(from.endpoint, reply);
}

void Quorum::on(TimePoint now, const SnapshotReply &reply)
{
    const auto found = this->progress.find(reply.header.folder);
    if (this->role != Role::leader || reply.header.term != this->persistent.term
        || found == this->progress.end() || reply.round > this->round)
        return;
    MemberProgress &follower = found->second;
    this->recordReply(follower, now);
    this->recordRound(reply.header.folder, reply.round);
    if (reply.lastIndex != this->persistent.snapshot.index || this->role != Role::leader)
        return;
    if (reply.offset > follower.snapshotOffset)
        follower.progressedAt = now;
    follower.snapshotOffset = reply.offset;
    if (reply.offset >= this->persistent.snapshot.state->size()) {
        follower.acknowledgedIndex = std::max(follower.acknowledgedIndex, reply.lastIndex);
        follower.nextIndex = std::max(follower.nextIndex, reply.lastIndex + 1);
        follower.inFlightFrom = std::max(follower.inFlightFrom, reply.lastIndex + 1);
        follower.snapshotOffset = 0;
        this->raiseWatermark({ .folder = reply.header.folder,
                               .term = reply.header.term,
                               .logTerm = this->persistent.snapshot.term,
                               .logIndex = reply.lastIndex });
    }
    this->replicate(reply.header.folder);
}

/// Commits the entries that a majority of the voters has acknowledged, if the last of these
/// entries is of the current term.
void Quorum::advanceCommit(TimePoint now)
{
    std::vector<std::uint64_t> matchIndexes;
    for (const QuorumMember &each : this->members().members) {
        if (each.voter)
            matchIndexes.push_back(this->matchIndex(each.folder));
    }
    if (this->role != Role::leader || matchIndexes.empty())
        return;
    std::ranges::sort(matchIndexes, std::greater<>());
    const std::uint64_t index = matchIndexes[this->majoritySize() - 1];
    if (index <= this->commit || this->termAt(index) != this->persistent.term)
        return;
    this->commitTo(index);
    // Send the new commit index at the next tick instead of after the heartbeat interval.
    this->heartbeatAt = now;
    // A leader that is being removed steps down when its removal is committed.
    if (this->member(this->persistent.folder) == nullptr
        && this->membershipsByIndex.rbegin()->first <= this->commit)
        this->becomeFollower(now, this->persistent.term, 0);
}

void Quorum::commitTo(std::uint64_t index)
{
    index = std::min(index, this->lastIndex());
    if (index <= this->commit)
        return;
    ApplyEntries apply;
    for (const QuorumEntry &entry : this->persistent.entries) {
        if (entry.index > this->commit && entry.index <= index)
            apply.entries.push_back(entry);
    }
    this->commit = index;
    this->actions.emplace_back(std::move(apply));
}

/// Records the time of a reply. A member that was silent is given time for its next progress.
void Quorum::recordReply(MemberProgress &follower, TimePoint now) const
{
    if (now > follower.lastReplyAt + this->options.electionTimeout)
        follower.progressedAt = now;
    follower.lastReplyAt = now;
}

void Quorum::recordRound(std::uint64_t folder, std::uint64_t answeredRound)
{
    MemberProgress &follower = this->progress[folder];
    follower.repliedRound = std::max(follower.repliedRound, answeredRound);
    this->answerReads();
}

/// Latest round that a majority of the voters has replied to.
std::uint64_t Quorum::majorityRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const QuorumMember &each : this->members().members) {
        const auto found = this->progress.find(each.folder);
        if (each.voter)
            rounds.push_back(found == this->progress.end() ? 0 : found->second.repliedRound);
    }
    if (rounds.empty())
        return 0;
    std::ranges::sort(rounds, std::greater<>());
    return rounds[this->majoritySize() - 1];
}

/// Start time of the latest round that a majority of the voters has replied to.
TimePoint Quorum::majorityRoundStartedAt() const
{
    const auto found = this->roundStartTimes.find(this->majorityRound());
    if (found != this->roundStartTimes.end())
        return found->second;
    return this->roundStartTimes.empty() ? TimePoint{} : this->roundStartTimes.begin()->second;
}

void Quorum::answerReads()
{
    const std::uint64_t answeredRound = this->majorityRound();
    std::erase_if(this->pendingReads, [&](const PendingRead &read) {
        if (read.requiredRound > answeredRound)
            return false;
        this->actions.emplace_back(AnswerRead{ .id = read.id, .isCurrent = true });
        return true;
    });
}

void Quorum::failReads()
{
    for (const PendingRead &read : this->pendingReads)
        this->actions.emplace_back(AnswerRead{ .id = read.id, .isCurrent = false });
    this->pendingReads.clear();
}

std::uint64_t Quorum::termAt(std::uint64_t index) const
{
    if (index == this->persistent.snapshot.index)
        return this->persistent.snapshot.term;
    if (this->persistent.entries.empty() || index < this->persistent.entries.front().index
        || index > this->persistent.entries.back().index)
        return 0;
    return this->persistent.entries[index - this->persistent.entries.front().index].term;
}

/// Index of the first entry that can be sent to a follower. The term of the preceding entry must
/// be known, because an AppendRequest contains this term.
std::uint64_t Quorum::firstSendableIndex() const
{
    if (this->persistent.entries.empty())
        return this->persistent.snapshot.index + 1;
    const std::uint64_t first = this->persistent.entries.front().index;
    return first == this->persistent.snapshot.index + 1 || first == 1 ? first : first + 1;
}

/// True when a log whose last entry has this term and index is at least as up to date as the
/// log of this member.
bool Quorum::isUpToDate(std::uint64_t term, std::uint64_t index) const
{
    return std::tuple(term, index) >= std::tuple(this->lastTerm(), this->lastIndex());
}

QuorumHeader Quorum::header(std::uint64_t to) const
{
    return QuorumHeader{ .group = this->options.group,
                         .cluster = this->persistent.cluster,
                         .folder = this->persistent.folder,
                         .to = to,
                         .endpoint = this->options.endpoint,
                         .term = this->persistent.term };
}

std::size_t Quorum::entryBytes() const
{
    std::size_t bytes = 0;
    for (const QuorumEntry &entry : this->persistent.entries)
        bytes += entry.index > this->persistent.snapshot.index ? entry.payload.size() : 0;
    return bytes;
}

void Quorum::write(std::vector<QuorumRecord> records, bool sync)
{
    if (sync)
        this->pendingWrites.push_back(
                { .number = ++this->lastWrite, .lastIndex = this->lastIndex() });
    this->actions.emplace_back(
            AppendRecords{ .records = std::move(records), .sync = sync, .write = this->lastWrite });
}

void Quorum::writeVote()
{
    this->write({ QuorumVote{ .cluster = this->persistent.cluster,
                              .term = this->persistent.term,
                              .votedFor = this->persistent.votedFor } });
    this->voteWrite = this->lastWrite;
}

/// `isOptional`: see RewriteLog.
void Quorum::rewriteLog(bool isOptional)
{
    this->pendingWrites.push_back({ .number = ++this->lastWrite, .lastIndex = this->lastIndex() });
    this->actions.emplace_back(RewriteLog{ .write = this->lastWrite, .isOptional = isOptional });
}

void Quorum::send(const std::string &endpoint, QuorumMessage message)
{
    this->actions.emplace_back(
            SendQuorumMessage{ .endpoint = endpoint, .message = std::move(message) });
}

/// Sends a message as soon as the write with the number `write` is on disk.
void Quorum::sendWhenSynced(const std::string &endpoint, std::uint64_t write, QuorumMessage message)
{
    if (this->isSynced(write))
        return this->send(endpoint, std::move(message));
    const auto after = std::ranges::upper_bound(this->heldMessages, write, {}, &HeldMessage::write);
    this->heldMessages.insert(
            after,
            { .write = write, .message = { .endpoint = endpoint, .message = std::move(message) } });
}

void Quorum::sendToMember(std::uint64_t folder, QuorumMessage message)
{
    if (const QuorumMember *to = this->member(folder))
        this->send(to->endpoint, std::move(message));
}

} // namespace egret
