#include "quorum.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace egret {

namespace {

constexpr Milliseconds kGreetPeriod = 200ms;
constexpr Milliseconds kGreetingValid = 1s;
constexpr Milliseconds kMarksPeriod = 1s;
/// Time between questions of one that has just started, and random time added.
constexpr Milliseconds kStartPoll = 80ms;
constexpr std::size_t kSnapshotPartBytes = 256U << 10U;
constexpr std::uint64_t kFirstTerm = 1;
constexpr std::uint64_t kFirstIndex = 1;

/// Bytes that an entry adds to a message, beyond its payload.
constexpr std::size_t kEntryOverhead = 32;

} // namespace

Quorum::Quorum(QuorumOptions options, QuorumMemory memory, bool isFresh, std::uint64_t seed,
               TimePoint now)
    : options(std::move(options)), disk(std::move(memory)), random(seed),
      commit(this->disk.snapshot.index), heardAt(now), startedAt(now), isConfirmed(isFresh),
      greetAt(now), marksAt(now)
{
    this->configurations[this->disk.snapshot.index] = this->disk.snapshot.members;
    for (const QuorumEntry &entry : this->disk.entries) {
        if (entry.kind == QuorumEntryKind::members && entry.index > this->disk.snapshot.index)
            this->configurations[entry.index] =
                    decode<QuorumMembers>(entry.payload).value_or(QuorumMembers{});
    }
    if (this->disk.snapshot.index > 0)
        this->actions.emplace_back(RestoreState{ .snapshot = this->disk.snapshot });
    this->resetElection(now);
}

void Quorum::tick(TimePoint now)
{
    // One that was removed hears no leader either: it asks to be added again.
    const bool isAlone = this->disk.cluster == 0 || !this->isConfirmed
                         || (this->options.targetVoters > 0 && !this->hearsLeader(now));
    if (now >= this->greetAt && isAlone)
        this->greet(now);
    if (this->marksChanged && now >= this->marksAt + kMarksPeriod) {
        QuorumWatermarks watermarks;
        for (const auto &[folder, watermark] : this->disk.watermarks)
            watermarks.watermarks.push_back(watermark);
        this->actions.emplace_back(AppendRecords{ .records = { watermarks }, .sync = false });
        this->marksChanged = false;
        this->marksAt = now;
    }
    if (this->role == Role::leader) {
        // A leader that a majority no longer hears stops accepting.
        if (now >= this->quorumHeardAt() + this->options.electionLeast)
            return this->becomeFollower(now, this->disk.term, 0);
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
                if (this->isForUs(body.header)) {
                    this->noteTerm(body.header.folder, body.header.term);
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
    this->appendOwn(QuorumEntryKind::command, commands);
    for (const QuorumMember &to : this->members().members)
        this->replicate(to.folder);
    this->advanceCommit(now);
    return first;
}

void Quorum::read(TimePoint now, std::uint64_t id)
{
    if (!this->leadingTerm(now) || this->commit < this->leaderStart) {
        this->actions.emplace_back(AnswerRead{ .id = id, .isCurrent = false });
        return;
    }
    // Step 1. Under the lease no other member can lead.
    const auto lease = this->options.electionLeast * (100 - this->options.driftPercent) / 100;
    if (now < this->quorumHeardAt() + lease) {
        this->actions.emplace_back(AnswerRead{ .id = id, .isCurrent = true });
        return;
    }
    // Step 2. Else a majority has to confirm a round that starts now.
    this->startRound(now);
    this->reads.push_back({ .id = id, .round = this->round });
    this->answerReads();
}

void Quorum::compact(std::string state)
{
    if (this->commit <= this->disk.snapshot.index)
        return;
    QuorumSnapshot snapshot{ .term = this->termAt(this->commit), .index = this->commit };
    const auto after = this->configurations.upper_bound(this->commit);
    snapshot.members = std::prev(after)->second;
    snapshot.state = std::make_shared<const std::string>(std::move(state));
    this->configurations.erase(this->configurations.begin(), after);
    this->configurations[snapshot.index] = snapshot.members;
    this->disk.snapshot = std::move(snapshot);
    while (!this->disk.entries.empty()
           && this->disk.entries.front().index + this->options.trailingEntries <= this->commit)
        this->disk.entries.pop_front();
    for (auto &[folder, follower] : this->progress)
        follower.snapshotOffset = 0;
    this->actions.emplace_back(RewriteLog{});
}

std::vector<QuorumAction> Quorum::take()
{
    return std::exchange(this->actions, {});
}

std::optional<std::uint64_t> Quorum::leadingTerm(TimePoint now) const
{
    if (this->role != Role::leader || now >= this->quorumHeardAt() + this->options.electionLeast)
        return std::nullopt;
    return this->disk.term;
}

std::string Quorum::leaderEndpoint() const
{
    const QuorumMember *found = this->member(this->leader);
    return found != nullptr ? found->endpoint : "";
}

std::uint64_t Quorum::lastIndex() const
{
    return this->disk.entries.empty() ? this->disk.snapshot.index : this->disk.entries.back().index;
}

bool Quorum::mayVote() const
{
    const QuorumMember *own = this->member(this->disk.folder);
    return own != nullptr && own->voter && this->isConfirmed
           && std::tuple(this->lastTerm(), this->lastIndex())
                      >= std::tuple(this->required.logTerm, this->required.logIndex);
}

std::uint64_t Quorum::matchIndex(std::uint64_t folder) const
{
    const auto found = this->progress.find(folder);
    return found == this->progress.end() ? 0 : found->second.match;
}

// --- identity and membership ---

bool Quorum::isForUs(const QuorumHeader &header)
{
    if (header.group != this->options.group || header.folder == this->disk.folder)
        return false;
    if (header.to != 0 && header.to != this->disk.folder)
        return false;
    // A folder of no group joins the group whose leader addresses it by identity.
    return header.cluster == this->disk.cluster || header.cluster == 0 || this->disk.cluster == 0;
}

void Quorum::greet(TimePoint now)
{
    this->greetAt = now + kGreetPeriod;
    std::set<std::string> endpoints(this->options.controls.begin(), this->options.controls.end());
    for (const QuorumMember &other : this->members().members)
        endpoints.insert(other.endpoint);
    for (const std::string &endpoint : endpoints) {
        if (endpoint != this->options.endpoint)
            this->send(endpoint, QuorumProbe{ .header = this->header(0) });
    }
    if (this->disk.cluster == 0)
        this->formGroup(now);
    else
        this->confirm(QuorumProbe{});
}

void Quorum::on(TimePoint now, const QuorumProbe &greeting)
{
    const QuorumHeader &from = greeting.header;
    this->greetings[from.endpoint] = { .folder = from.folder, .cluster = from.cluster, .at = now };
    if (greeting.isReply) {
        this->confirm(greeting);
        return;
    }
    const auto known = this->disk.watermarks.find(from.folder);
    this->send(from.endpoint, QuorumProbe{ .header = this->header(from.folder),
                                           .isReply = true,
                                           .watermark = known != this->disk.watermarks.end()
                                                                ? known->second
                                                                : QuorumWatermark{} });
    // The first members may have missed that the group was formed.
    const bool isUnchanged = this->lastIndex() == kFirstIndex;
    if (from.cluster == 0 && this->disk.cluster != 0 && isUnchanged
        && this->member(from.folder) != nullptr)
        this->send(from.endpoint, QuorumBootstrap{ .header = this->header(from.folder),
                                                   .members = this->members() });
}

/// Counts who has said what this folder promised before its restart.
void Quorum::confirm(const QuorumProbe &reply)
{
    if (this->isConfirmed || this->disk.cluster == 0)
        return;
    if (reply.isReply && reply.header.cluster == this->disk.cluster) {
        this->confirmedBy.insert(reply.header.folder);
        this->required.term = std::max(this->required.term, reply.watermark.term);
        if (std::tuple(reply.watermark.logTerm, reply.watermark.logIndex)
            > std::tuple(this->required.logTerm, this->required.logIndex)) {
            this->required.logTerm = reply.watermark.logTerm;
            this->required.logIndex = reply.watermark.logIndex;
        }
    }
    std::set<std::uint64_t> heard = this->confirmedBy;
    heard.insert(this->disk.folder);
    if (this->members().members.empty() || this->votersIn(heard) < this->majority())
        return;
    this->isConfirmed = true;
    // A vote in a term that others have heard of may be lost: give none there.
    if (this->required.term > this->disk.term
        || (this->required.term == this->disk.term && this->disk.votedFor == 0)) {
        this->disk.term = std::max(this->required.term, this->disk.term);
        this->disk.votedFor = kUnknownVote;
        this->actions.emplace_back(AppendRecords{ .records = { this->voteRecord() } });
    }
}

/// The first control instance forms the group once every one of them has said
/// that it belongs to none; any that does keeps a second group from forming.
void Quorum::formGroup(TimePoint now)
{
    if (!this->options.mayBootstrap || this->options.controls.empty()
        || this->options.controls.front() != this->options.endpoint)
        return;
    QuorumMembers members;
    members.members.push_back(
            { .folder = this->disk.folder, .endpoint = this->options.endpoint, .voter = true });
    for (const std::string &endpoint : this->options.controls) {
        if (endpoint == this->options.endpoint)
            continue;
        const auto found = this->greetings.find(endpoint);
        if (found == this->greetings.end() || found->second.cluster != 0
            || now > found->second.at + kGreetingValid)
            return;
        members.members.push_back(
                { .folder = found->second.folder, .endpoint = endpoint, .voter = true });
    }
    this->adoptGroup(this->random() | 1U, members);
    for (const QuorumMember &other : members.members) {
        if (other.folder != this->disk.folder)
            this->sendTo(other.folder, QuorumBootstrap{ .header = this->header(other.folder),
                                                        .members = members });
    }
}

void Quorum::on(TimePoint now, const QuorumBootstrap &form)
{
    const bool isMember = std::ranges::any_of(form.members.members, [&](const auto &each) {
        return each.folder == this->disk.folder;
    });
    if (this->disk.cluster != 0 || form.header.cluster == 0 || !isMember)
        return;
    this->adoptGroup(form.header.cluster, form.members);
    this->resetElection(now);
}

void Quorum::adoptGroup(std::uint64_t cluster, const QuorumMembers &members)
{
    this->disk.cluster = cluster;
    this->disk.term = std::max(this->disk.term, kFirstTerm);
    this->disk.snapshot =
            QuorumSnapshot{ .term = kFirstTerm, .index = kFirstIndex, .members = members };
    this->disk.entries.clear();
    this->configurations.clear();
    this->configurations[kFirstIndex] = members;
    this->commit = kFirstIndex;
    this->isConfirmed = true;
    this->actions.emplace_back(RewriteLog{});
    this->actions.emplace_back(RestoreState{ .snapshot = this->disk.snapshot });
}

bool Quorum::addMember(TimePoint now, const std::string &endpoint)
{
    const auto found = this->greetings.find(endpoint);
    if (found == this->greetings.end() || this->member(found->second.folder) != nullptr
        || (found->second.cluster != 0 && found->second.cluster != this->disk.cluster))
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
    const bool leavesVoter =
            std::ranges::any_of(changed.members, [](const auto &each) { return each.voter; });
    return changed.members.size() < this->members().members.size() && leavesVoter
           && this->changeMembers(now, changed);
}

/// Makes a learner that has caught up a voter, then removes the voter whose
/// data folder it replaces: one change at a time, each committed first.
void Quorum::manageMembers(TimePoint now)
{
    if (!this->mayChangeMembers())
        return;
    QuorumMembers changed = this->members();
    for (QuorumMember &learner : changed.members) {
        if (!learner.voter && this->matchIndex(learner.folder) >= this->commit) {
            learner.voter = true;
            this->changeMembers(now, changed);
            return;
        }
    }
    for (std::size_t newer = 0; newer < changed.members.size(); ++newer) {
        for (std::size_t older = 0; older < newer; ++older) {
            const QuorumMember &replaced = changed.members[older];
            if (replaced.endpoint == changed.members[newer].endpoint
                && changed.members[newer].voter) {
                this->removeMember(now, replaced.folder);
                return;
            }
        }
    }
    if (this->options.targetVoters > 0 && !this->removeSilent(now))
        this->addGreeters(now);
}

/// True for a voter that has not answered for so long that it counts as lost.
bool Quorum::isSilent(const QuorumMember &each, TimePoint now) const
{
    const auto known = this->progress.find(each.folder);
    return each.voter && each.folder != this->disk.folder && known != this->progress.end()
           && now > known->second.heardAt + this->options.replaceAfter;
}

/// Removes a silent voter once there are more voters than wanted without it.
bool Quorum::removeSilent(TimePoint now)
{
    const auto &known = this->members().members;
    const auto voters = std::ranges::count_if(known, [](const auto &each) { return each.voter; });
    if (static_cast<std::size_t>(voters) <= this->options.targetVoters)
        return false;
    const auto silent = std::ranges::find_if(
            known, [&](const QuorumMember &each) { return this->isSilent(each, now); });
    return silent != known.end() && this->removeMember(now, silent->folder);
}

/// Adds one instance that greets with a folder of no member: in place of a
/// member of its address whose folder is lost, while voters are wanted, or to
/// take the place of a silent one. Only a fresh folder counts as a replacement
/// of its address: one of this group that was removed is as good as any other.
void Quorum::addGreeters(TimePoint now)
{
    const auto &known = this->members().members;
    const bool isOneSilent = std::ranges::any_of(
            known, [&](const QuorumMember &each) { return this->isSilent(each, now); });
    const std::size_t places = this->options.targetVoters + (isOneSilent ? 1 : 0);
    for (const auto &greeter : this->greetings) {
        const std::string &endpoint = greeter.first;
        const Greeting &greeting = greeter.second;
        if (now > greeting.at + kGreetingValid || this->member(greeting.folder) != nullptr)
            continue;
        const bool isReplacement =
                greeting.cluster == 0 && std::ranges::any_of(known, [&](const QuorumMember &each) {
                    return each.endpoint == endpoint;
                });
        if (!isReplacement && known.size() >= places)
            continue;
        if (this->addMember(now, endpoint))
            return;
    }
}

bool Quorum::mayChangeMembers() const
{
    return this->role == Role::leader && this->commit >= this->leaderStart
           && this->configurations.rbegin()->first <= this->commit;
}

bool Quorum::changeMembers(TimePoint now, const QuorumMembers &members)
{
    if (!this->leadingTerm(now) || !this->mayChangeMembers())
        return false;
    this->appendOwn(QuorumEntryKind::members, { encode(members) });
    std::erase_if(this->progress,
                  [&](const auto &each) { return this->member(each.first) == nullptr; });
    for (const QuorumMember &to : members.members) {
        this->progress.try_emplace(to.folder,
                                   Progress{ .next = this->lastIndex() + 1, .heardAt = now });
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

std::size_t Quorum::majority() const
{
    const auto voters =
            std::ranges::count_if(this->members().members, [](const auto &m) { return m.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

std::size_t Quorum::votersIn(const std::set<std::uint64_t> &folders) const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(this->members().members, [&](const auto &each) {
                return each.voter && folders.contains(each.folder);
            }));
}

void Quorum::noteMark(const QuorumWatermark &watermark)
{
    QuorumWatermark &known = this->disk.watermarks[watermark.folder];
    const QuorumWatermark before = known;
    known.folder = watermark.folder;
    known.term = std::max(known.term, watermark.term);
    if (std::tuple(watermark.logTerm, watermark.logIndex)
        > std::tuple(known.logTerm, known.logIndex)) {
        known.logTerm = watermark.logTerm;
        known.logIndex = watermark.logIndex;
    }
    this->marksChanged = this->marksChanged || known != before;
}

void Quorum::noteTerm(std::uint64_t folder, std::uint64_t term)
{
    if (this->member(folder) != nullptr)
        this->noteMark({ .folder = folder, .term = term });
}

// --- elections ---

/// Whether every voter said that it knew no leader since it started: then none
/// leads, and no promise to an earlier one binds.
bool Quorum::isEveryVoterLeaderless() const
{
    return !this->knewLeader
           && std::ranges::all_of(this->members().members, [this](const QuorumMember &each) {
                  return !each.voter || each.folder == this->disk.folder
                         || this->leaderless.contains(each.folder);
              });
}

void Quorum::campaign(TimePoint now, bool isPreVote, bool noVoterKnowsLeader)
{
    this->role = isPreVote ? Role::preCandidate : Role::candidate;
    this->leader = 0;
    this->votes = { this->disk.folder };
    this->leaderless.clear();
    this->resetElection(now);
    if (!isPreVote) {
        ++this->disk.term;
        this->disk.votedFor = this->disk.folder;
        this->actions.emplace_back(AppendRecords{ .records = { this->voteRecord() } });
    }
    if (this->votersIn(this->votes) >= this->majority()) {
        if (isPreVote)
            this->campaign(now, false);
        else
            this->becomeLeader(now);
        return;
    }
    for (const QuorumMember &to : this->members().members) {
        if (to.voter && to.folder != this->disk.folder)
            this->sendTo(to.folder, VoteRequest{ .header = this->header(to.folder),
                                                 .isPreVote = isPreVote,
                                                 .noVoterKnowsLeader = noVoterKnowsLeader,
                                                 .lastTerm = this->lastTerm(),
                                                 .lastIndex = this->lastIndex() });
    }
}

void Quorum::on(TimePoint now, const VoteRequest &request)
{
    const QuorumHeader &from = request.header;
    if (this->disk.cluster == 0 || from.cluster == 0)
        return;
    const bool isLeaderless = !this->knewLeader && this->role != Role::leader;
    const bool sticksToLeader =
            this->hearsLeader(now) && !(request.noVoterKnowsLeader && isLeaderless);
    // Step 1. A candidate with a newer term is heard only when no leader is.
    if (!request.isPreVote && !sticksToLeader && from.term > this->disk.term)
        this->becomeFollower(now, from.term, 0);
    // Step 2. Would or does it get the vote?
    const std::uint64_t forTerm = request.isPreVote ? from.term + 1 : from.term;
    const bool wouldVote = this->mayVote() && this->isUpToDate(request.lastTerm, request.lastIndex);
    const bool isEligible = wouldVote && !sticksToLeader;
    bool granted = false;
    if (request.isPreVote) {
        granted = isEligible && forTerm > this->disk.term;
    } else if (isEligible && forTerm == this->disk.term
               && (this->disk.votedFor == 0 || this->disk.votedFor == from.folder)) {
        granted = true;
        this->disk.votedFor = from.folder;
        this->actions.emplace_back(AppendRecords{ .records = { this->voteRecord() } });
        this->resetElection(now);
    }
    this->send(from.endpoint,
               VoteReply{ .header = this->header(from.folder),
                          .isPreVote = request.isPreVote,
                          .forTerm = forTerm,
                          .granted = granted,
                          .knowsNoLeader = request.isPreVote && isLeaderless && wouldVote
                                           && forTerm > this->disk.term });
}

void Quorum::on(TimePoint now, const VoteReply &reply)
{
    if (!reply.granted && reply.header.term > this->disk.term)
        return this->becomeFollower(now, reply.header.term, 0);
    const bool answersPreVote = reply.isPreVote && this->role == Role::preCandidate
                                && reply.forTerm == this->disk.term + 1;
    const bool answersVote =
            !reply.isPreVote && this->role == Role::candidate && reply.forTerm == this->disk.term;
    if (answersPreVote && reply.knowsNoLeader) {
        this->leaderless.insert(reply.header.folder);
        if (this->isEveryVoterLeaderless())
            return this->campaign(now, false, true);
    }
    if (!reply.granted || !(answersPreVote || answersVote))
        return;
    this->votes.insert(reply.header.folder);
    if (this->votersIn(this->votes) < this->majority())
        return;
    if (answersPreVote)
        this->campaign(now, false);
    else
        this->becomeLeader(now);
}

void Quorum::becomeLeader(TimePoint now)
{
    this->knewLeader = true;
    this->role = Role::leader;
    this->leader = this->disk.folder;
    this->progress.clear();
    this->roundTimes.clear();
    for (const QuorumMember &each : this->members().members)
        this->progress[each.folder] = Progress{ .next = this->lastIndex() + 1, .heardAt = now };
    this->roundTimes[this->round] = now;
    for (auto &[folder, follower] : this->progress)
        follower.round = this->round;
    // Entries of earlier terms count as committed only behind one of the own term.
    this->leaderStart = this->lastIndex() + 1;
    this->appendOwn(QuorumEntryKind::noop, { "" });
    this->startRound(now);
    this->advanceCommit(now);
}

void Quorum::becomeFollower(TimePoint now, std::uint64_t term, std::uint64_t newLeader)
{
    const bool isNewTerm = term > this->disk.term;
    if (isNewTerm) {
        this->disk.term = term;
        this->disk.votedFor = 0;
        this->actions.emplace_back(AppendRecords{ .records = { this->voteRecord() } });
    }
    if (this->role != Role::follower || isNewTerm)
        this->resetElection(now);
    this->role = Role::follower;
    this->leader = newLeader;
    this->progress.clear();
    this->failReads();
}

bool Quorum::hearsLeader(TimePoint now) const
{
    if (this->role == Role::leader)
        return this->leadingTerm(now).has_value();
    return now < this->heardAt + this->options.electionLeast;
}

void Quorum::resetElection(TimePoint now)
{
    // Until a leader could have been heard, it is asked often whether all of the
    // group have just started; this disturbs nobody.
    const bool isStart = !this->knewLeader && now < this->startedAt + this->options.electionLeast;
    const Milliseconds least = isStart ? kStartPoll : this->options.electionLeast;
    const Milliseconds most = isStart ? kStartPoll : this->options.electionSpread;
    const auto spread = static_cast<std::uint64_t>(most.count());
    this->electionAt = now + least + Milliseconds(this->random() % spread);
}

// --- replication ---

void Quorum::startRound(TimePoint now)
{
    this->heartbeatAt = now + this->options.heartbeat;
    this->roundTimes[++this->round] = now;
    this->roundTimes.erase(this->roundTimes.begin(),
                           this->roundTimes.lower_bound(this->quorumRound()));
    if (const auto own = this->progress.find(this->disk.folder); own != this->progress.end())
        own->second.round = this->round;
    for (const QuorumMember &to : this->members().members)
        this->replicate(to.folder);
}

/// Sends what a follower lacks, or a heartbeat.
void Quorum::replicate(std::uint64_t folder)
{
    const QuorumMember *to = this->member(folder);
    const auto found = this->progress.find(folder);
    if (folder == this->disk.folder || to == nullptr || found == this->progress.end())
        return;
    Progress &follower = found->second;
    // Step 1. Entries that are gone from the log come as a snapshot.
    if (follower.next < this->firstIndex())
        return this->sendSnapshotPart(*to, follower);
    // Step 2. As many entries as fit.
    AppendRequest request{ .header = this->header(folder),
                           .prevTerm = this->termAt(follower.next - 1),
                           .prevIndex = follower.next - 1,
                           .commit = this->commit,
                           .round = this->round };
    std::size_t bytes = 0;
    const std::size_t skip =
            this->disk.entries.empty() ? 0 : follower.next - this->disk.entries.front().index;
    for (std::size_t i = skip; i < this->disk.entries.size(); ++i) {
        const QuorumEntry &entry = this->disk.entries[i];
        bytes += entry.payload.size() + kEntryOverhead;
        if (!request.entries.empty() && bytes > this->options.batchBytes)
            break;
        request.entries.push_back(entry);
    }
    follower.next += request.entries.size();
    // Step 3. What is known of each member, for those that restart.
    for (const QuorumMember &each : this->members().members) {
        const auto watermark = this->disk.watermarks.find(each.folder);
        if (watermark != this->disk.watermarks.end())
            request.watermarks.push_back(watermark->second);
    }
    this->sendTo(folder, std::move(request));
}

void Quorum::sendSnapshotPart(const QuorumMember &to, Progress &follower)
{
    const QuorumSnapshot &snapshot = this->disk.snapshot;
    const std::string &state = *snapshot.state;
    follower.snapshotOffset = std::min(follower.snapshotOffset, state.size());
    this->sendTo(to.folder,
                 SnapshotPart{ .header = this->header(to.folder),
                               .lastTerm = snapshot.term,
                               .lastIndex = snapshot.index,
                               .members = snapshot.members,
                               .offset = follower.snapshotOffset,
                               .size = state.size(),
                               .bytes = state.substr(follower.snapshotOffset, kSnapshotPartBytes),
                               .round = this->round });
}

void Quorum::appendOwn(QuorumEntryKind kind, const std::vector<std::string> &payloads)
{
    std::vector<QuorumEntry> entries;
    entries.reserve(payloads.size());
    for (const std::string &payload : payloads)
        entries.push_back({ .term = this->disk.term,
                            .index = this->lastIndex() + entries.size() + 1,
                            .kind = kind,
                            .payload = payload });
    this->store(entries);
}

/// Appends entries to the log, after dropping those that conflict.
void Quorum::store(const std::vector<QuorumEntry> &entries)
{
    std::vector<QuorumRecord> records;
    for (const QuorumEntry &entry : entries) {
        if (entry.index <= this->lastIndex()) {
            if (entry.index <= this->commit || this->termAt(entry.index) == entry.term)
                continue;
            this->truncate(entry.index, records);
        }
        this->disk.entries.push_back(entry);
        records.emplace_back(entry);
        if (entry.kind == QuorumEntryKind::members)
            this->configurations[entry.index] =
                    decode<QuorumMembers>(entry.payload).value_or(QuorumMembers{});
    }
    if (!records.empty())
        this->actions.emplace_back(AppendRecords{ .records = std::move(records) });
    if (const auto own = this->progress.find(this->disk.folder); own != this->progress.end())
        own->second.match = this->lastIndex();
}

void Quorum::truncate(std::uint64_t from, std::vector<QuorumRecord> &records)
{
    assert(from > this->commit && "a committed entry must not be dropped");
    while (!this->disk.entries.empty() && this->disk.entries.back().index >= from)
        this->disk.entries.pop_back();
    this->configurations.erase(this->configurations.lower_bound(from), this->configurations.end());
    records.emplace_back(QuorumTruncate{ .from = from });
}

void Quorum::on(TimePoint now, const AppendRequest &request)
{
    const QuorumHeader &from = request.header;
    // Step 1. A folder of no group joins the one that names it.
    if (this->disk.cluster == 0 && from.cluster != 0 && from.to == this->disk.folder) {
        this->disk.cluster = from.cluster;
        this->isConfirmed = true;
        this->actions.emplace_back(AppendRecords{ .records = { this->voteRecord() } });
    }
    if (from.cluster != this->disk.cluster || from.cluster == 0)
        return;
    // Step 2. Whoever sends in the current term leads it.
    AppendReply reply{ .success = false, .index = 0, .round = request.round };
    if (from.term >= this->disk.term) {
        this->knewLeader = true;
        this->becomeFollower(now, from.term, from.folder);
        this->heardAt = now;
        this->resetElection(now);
        for (const QuorumWatermark &watermark : request.watermarks)
            this->noteMark(watermark);
        const bool isEmpty = request.entries.empty();
        this->noteMark({ .folder = from.folder,
                         .term = from.term,
                         .logTerm = isEmpty ? request.prevTerm : request.entries.back().term,
                         .logIndex = isEmpty ? request.prevIndex : request.entries.back().index });
        // Step 3. The entry before must match.
        const bool isCovered = request.prevIndex <= this->commit;
        const bool matches = isCovered
                             || (request.prevIndex <= this->lastIndex()
                                 && this->termAt(request.prevIndex) == request.prevTerm);
        if (matches) {
            this->store(request.entries);
            reply.success = true;
            reply.index = request.prevIndex + request.entries.size();
            this->commitTo(std::min(request.commit, reply.index));
        } else {
            reply.index = std::min(this->lastIndex(), request.prevIndex - 1);
            const std::uint64_t conflicting = this->termAt(reply.index);
            while (reply.index > this->commit && this->termAt(reply.index) == conflicting
                   && conflicting > request.prevTerm)
                --reply.index;
        }
    }
    reply.header = this->header(from.folder);
    this->send(from.endpoint, reply);
}

void Quorum::on(TimePoint now, const AppendReply &reply)
{
    if (reply.header.term > this->disk.term)
        return this->becomeFollower(now, reply.header.term, 0);
    const auto found = this->progress.find(reply.header.folder);
    if (this->role != Role::leader || reply.header.term != this->disk.term
        || found == this->progress.end() || reply.round > this->round)
        return;
    Progress &follower = found->second;
    follower.heardAt = now;
    if (reply.success) {
        follower.match = std::max(follower.match, std::min(reply.index, this->lastIndex()));
        follower.next = std::max(follower.next, follower.match + 1);
        this->noteMark({ .folder = reply.header.folder,
                         .term = reply.header.term,
                         .logTerm = this->termAt(follower.match),
                         .logIndex = follower.match });
    } else {
        follower.next = std::min(reply.index, this->lastIndex()) + 1;
        follower.snapshotOffset = 0;
    }
    this->noteRound(reply.header.folder, reply.round);
    this->advanceCommit(now);
    if (this->role == Role::leader && (!reply.success || follower.next <= this->lastIndex()))
        this->replicate(reply.header.folder);
}

void Quorum::on(TimePoint now, const SnapshotPart &part)
{
    const QuorumHeader &from = part.header;
    if (from.cluster != this->disk.cluster || from.cluster == 0 || from.term < this->disk.term)
        return;
    this->knewLeader = true;
    this->becomeFollower(now, from.term, from.folder);
    this->heardAt = now;
    this->resetElection(now);
    // Step 1. Parts are taken in order; another snapshot starts again.
    if (part.lastIndex != this->partIndex || part.offset == 0) {
        this->partIndex = part.lastIndex;
        this->partBytes.clear();
    }
    if (part.offset == this->partBytes.size())
        this->partBytes += part.bytes;
    SnapshotReply reply{ .lastIndex = part.lastIndex,
                         .offset = this->partBytes.size(),
                         .round = part.round };
    const bool isWhole = this->partBytes.size() >= part.size;
    // Step 2. A whole one replaces the log, unless that is further already.
    if (isWhole && part.lastIndex > this->commit) {
        this->disk.snapshot = QuorumSnapshot{ .term = part.lastTerm,
                                              .index = part.lastIndex,
                                              .members = part.members,
                                              .state = std::make_shared<const std::string>(
                                                      std::move(this->partBytes)) };
        this->disk.entries.clear();
        this->configurations.clear();
        this->configurations[part.lastIndex] = part.members;
        this->commit = part.lastIndex;
        this->actions.emplace_back(RewriteLog{});
        this->actions.emplace_back(RestoreState{ .snapshot = this->disk.snapshot });
    }
    if (isWhole) {
        this->partIndex = 0;
        this->partBytes.clear();
        reply.offset = part.size;
    }
    reply.header = this->header(from.folder);
    this->send(from.endpoint, reply);
}

void Quorum::on(TimePoint now, const SnapshotReply &reply)
{
    const auto found = this->progress.find(reply.header.folder);
    if (this->role != Role::leader || reply.header.term != this->disk.term
        || found == this->progress.end() || reply.round > this->round)
        return;
    Progress &follower = found->second;
    follower.heardAt = now;
    this->noteRound(reply.header.folder, reply.round);
    if (reply.lastIndex != this->disk.snapshot.index || this->role != Role::leader)
        return;
    follower.snapshotOffset = reply.offset;
    if (reply.offset >= this->disk.snapshot.state->size()) {
        follower.match = std::max(follower.match, reply.lastIndex);
        follower.next = std::max(follower.next, reply.lastIndex + 1);
        follower.snapshotOffset = 0;
        this->noteMark({ .folder = reply.header.folder,
                         .term = reply.header.term,
                         .logTerm = this->disk.snapshot.term,
                         .logIndex = reply.lastIndex });
    }
    this->replicate(reply.header.folder);
}

void Quorum::advanceCommit(TimePoint now)
{
    std::vector<std::uint64_t> held;
    for (const QuorumMember &each : this->members().members) {
        if (each.voter)
            held.push_back(this->matchIndex(each.folder));
    }
    if (this->role != Role::leader || held.empty())
        return;
    std::ranges::sort(held, std::greater<>());
    const std::uint64_t index = held[this->majority() - 1];
    if (index <= this->commit || this->termAt(index) != this->disk.term)
        return;
    this->commitTo(index);
    // Followers are told at once, not with the next heartbeat.
    this->heartbeatAt = now;
    // A leader that was removed leads until that is committed, and no longer.
    if (this->member(this->disk.folder) == nullptr
        && this->configurations.rbegin()->first <= this->commit)
        this->becomeFollower(now, this->disk.term, 0);
}

void Quorum::commitTo(std::uint64_t index)
{
    index = std::min(index, this->lastIndex());
    if (index <= this->commit)
        return;
    ApplyEntries apply;
    for (const QuorumEntry &entry : this->disk.entries) {
        if (entry.index > this->commit && entry.index <= index)
            apply.entries.push_back(entry);
    }
    this->commit = index;
    this->actions.emplace_back(std::move(apply));
}

void Quorum::noteRound(std::uint64_t folder, std::uint64_t echoed)
{
    Progress &follower = this->progress[folder];
    follower.round = std::max(follower.round, echoed);
    this->answerReads();
}

/// Highest round that a majority of the voters has answered.
std::uint64_t Quorum::quorumRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const QuorumMember &each : this->members().members) {
        const auto found = this->progress.find(each.folder);
        if (each.voter)
            rounds.push_back(found == this->progress.end() ? 0 : found->second.round);
    }
    if (rounds.empty())
        return 0;
    std::ranges::sort(rounds, std::greater<>());
    return rounds[this->majority() - 1];
}

/// When the last round that a majority answered began.
TimePoint Quorum::quorumHeardAt() const
{
    const auto found = this->roundTimes.find(this->quorumRound());
    if (found != this->roundTimes.end())
        return found->second;
    return this->roundTimes.empty() ? TimePoint{} : this->roundTimes.begin()->second;
}

void Quorum::answerReads()
{
    const std::uint64_t heard = this->quorumRound();
    std::erase_if(this->reads, [&](const PendingRead &read) {
        if (read.round > heard)
            return false;
        this->actions.emplace_back(AnswerRead{ .id = read.id, .isCurrent = true });
        return true;
    });
}

void Quorum::failReads()
{
    for (const PendingRead &read : this->reads)
        this->actions.emplace_back(AnswerRead{ .id = read.id, .isCurrent = false });
    this->reads.clear();
}

std::uint64_t Quorum::termAt(std::uint64_t index) const
{
    if (index == this->disk.snapshot.index)
        return this->disk.snapshot.term;
    if (this->disk.entries.empty() || index < this->disk.entries.front().index
        || index > this->disk.entries.back().index)
        return 0;
    return this->disk.entries[index - this->disk.entries.front().index].term;
}

/// First index that can be sent as an entry after one whose term is known.
std::uint64_t Quorum::firstIndex() const
{
    if (this->disk.entries.empty())
        return this->disk.snapshot.index + 1;
    const std::uint64_t first = this->disk.entries.front().index;
    return first == this->disk.snapshot.index + 1 || first == 1 ? first : first + 1;
}

bool Quorum::isUpToDate(std::uint64_t term, std::uint64_t index) const
{
    return std::tuple(term, index) >= std::tuple(this->lastTerm(), this->lastIndex());
}

QuorumHeader Quorum::header(std::uint64_t to) const
{
    return QuorumHeader{ .group = this->options.group,
                         .cluster = this->disk.cluster,
                         .folder = this->disk.folder,
                         .to = to,
                         .endpoint = this->options.endpoint,
                         .term = this->disk.term };
}

QuorumVote Quorum::voteRecord() const
{
    return QuorumVote{ .cluster = this->disk.cluster,
                       .term = this->disk.term,
                       .votedFor = this->disk.votedFor };
}

void Quorum::send(const std::string &endpoint, QuorumMessage message)
{
    this->actions.emplace_back(
            SendQuorumMessage{ .endpoint = endpoint, .message = std::move(message) });
}

void Quorum::sendTo(std::uint64_t folder, QuorumMessage message)
{
    if (const QuorumMember *to = this->member(folder))
        this->send(to->endpoint, std::move(message));
}

} // namespace egret
