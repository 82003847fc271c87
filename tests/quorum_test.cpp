#include "quorum.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace egret;

namespace {

constexpr std::size_t kMembers = 5;
constexpr Milliseconds kStep = 10ms;
constexpr Milliseconds kSettleTime = 20s;

struct InFlightMessage
{
    std::size_t from{ 0 };
    std::size_t to{ 0 };
    QuorumMessage message;
};

std::string endpointOf(std::size_t member)
{
    return "127.0.0.1:" + std::to_string(7000 + member);
}

/// One member with its simulated environment: a disk that loses unsynced records, a
/// clock with its own rate and the applied index.
struct Member
{
    std::unique_ptr<Quorum> machine;
    QuorumPersistentState synced;
    std::uint64_t applied{ 0 };
    int ratePercent{ 100 };
    std::map<std::uint64_t, std::uint64_t>
            readFloor; ///< by read id: highest index committed at the request
};

/// Members on a simulated network that drops, repeats and reorders messages. Checks
/// three invariants: one leader per term, one entry per index, reads that are current.
class Group
{
public:
    explicit Group(std::size_t members, std::uint64_t seed = 1,
                   std::size_t bootstrapMembers = SIZE_MAX, std::size_t targetVoters = 0)
        : members(members), random(seed), bootstrapMembers(bootstrapMembers),
          targetVoters(targetVoters)
    {
        for (std::size_t i = 0; i < members; ++i) {
            this->members[i].ratePercent = 96 + static_cast<int>(i * 2);
            this->members[i].synced.folder = 100 + i;
            this->start(i, true);
        }
    }

    TimePoint localTime(std::size_t i) const
    {
        return TimePoint{} + 100s + this->elapsed * this->members[i].ratePercent / 100;
    }

    void start(std::size_t i, bool isFresh)
    {
        Member &member = this->members[i];
        QuorumOptions options{ .endpoint = endpointOf(i),
                               .targetVoters = this->targetVoters,
                               .trailingEntries = 5 };
        for (std::size_t each = 0; each < std::min(this->bootstrapMembers, this->members.size());
             ++each)
            options.controls.push_back(endpointOf(each));
        member.applied = 0;
        member.machine = std::make_unique<Quorum>(options, member.synced, isFresh, this->random(),
                                                  this->localTime(i));
        this->perform(i);
    }

    void crash(std::size_t i) { this->members[i].machine.reset(); }

    void loseFolder(std::size_t i)
    {
        this->crash(i);
        this->members[i].synced = QuorumPersistentState{ .folder = this->random() };
        this->start(i, true);
    }

    /// True when every membership known to a member keeps a majority of its folders
    /// without the folder of `lost`.
    bool mayLoseFolder(std::size_t lost) const
    {
        for (const Member &view : this->members) {
            if (!view.machine)
                return false;
            std::size_t voters = 0;
            std::size_t held = 0;
            for (const QuorumMember &each : view.machine->members().members) {
                voters += each.voter ? 1 : 0;
                for (std::size_t i = 0; i < this->members.size(); ++i)
                    held += each.voter && i != lost && this->members[i].synced.folder == each.folder
                                            && this->members[i].synced.cluster != 0
                                    ? 1
                                    : 0;
            }
            if (held < voters / 2 + 1)
                return false;
        }
        return true;
    }

    /// Executes a member's actions; the member crashes before action `crashAfter`.
    void perform(std::size_t i, std::size_t crashAfter = SIZE_MAX)
    {
        Member &member = this->members[i];
        if (!member.machine)
            return;
        std::vector<QuorumAction> actions = member.machine->takeActions();
        for (std::size_t at = 0; at < actions.size(); ++at) {
            if (at == crashAfter)
                return this->crash(i);
            std::visit([&](const auto &action) { this->execute(i, action); }, actions[at]);
        }
        this->checkLeader(i);
    }

    void run(Milliseconds time)
    {
        for (Milliseconds spent{ 0 }; spent < time; spent += kStep) {
            this->elapsed += kStep;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                if (this->members[i].machine)
                    this->members[i].machine->tick(this->localTime(i));
                this->perform(i);
            }
            this->deliver(this->inFlight.size());
        }
    }

    void deliver(std::size_t count)
    {
        for (; count > 0 && !this->inFlight.empty(); --count) {
            const InFlightMessage delivery = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            this->deliverMessage(delivery);
        }
    }

    /// Delivers one message out of order; `again` keeps the message for a second delivery.
    void deliverOne(std::uint64_t choice, bool again)
    {
        if (this->inFlight.empty())
            return;
        const auto at = this->inFlight.begin()
                        + static_cast<std::ptrdiff_t>(choice % this->inFlight.size());
        const InFlightMessage delivery = *at;
        if (!again)
            this->inFlight.erase(at);
        this->deliverMessage(delivery);
    }

    void deliverMessage(const InFlightMessage &delivery)
    {
        const bool isCut = this->cut.contains(delivery.from) != this->cut.contains(delivery.to);
        if (isCut || !this->members[delivery.to].machine)
            return;
        this->members[delivery.to].machine->receive(this->localTime(delivery.to), delivery.message);
        this->perform(delivery.to);
    }

    std::optional<std::size_t> leader()
    {
        std::optional<std::size_t> found;
        std::uint64_t term = 0;
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].machine)
                continue;
            const auto leads = this->members[i].machine->leadingTerm(this->localTime(i));
            if (leads && *leads > term) {
                found = i;
                term = *leads;
            }
        }
        return found;
    }

    bool propose(std::size_t i, const std::string &command, std::size_t crashAfter = SIZE_MAX)
    {
        if (!this->members[i].machine)
            return false;
        const bool accepted =
                this->members[i].machine->propose(this->localTime(i), { command }).has_value();
        this->perform(i, crashAfter);
        return accepted;
    }

    void read(std::size_t i)
    {
        Member &member = this->members[i];
        if (!member.machine)
            return;
        member.readFloor[++this->lastRead] =
                this->oracle.empty() ? 0 : this->oracle.rbegin()->first;
        member.machine->read(this->localTime(i), this->lastRead);
        this->perform(i);
    }

    void compact(std::size_t i)
    {
        if (!this->members[i].machine)
            return;
        this->members[i].machine->compact(std::string(this->members[i].applied % 7, 's'));
        this->perform(i);
    }

    /// Ends all crashes and partitions; every member must then apply every entry.
    void recoverAndCheck()
    {
        this->cut.clear();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].machine)
                this->start(i, false);
        }
        this->run(kSettleTime);
        this->replaceLost();
        const auto leads = this->leader();
        this->check(leads.has_value(), "a leader exists after crashes and partitions end");
        if (!leads)
            return;
        this->check(this->propose(*leads, "last"), "the leader accepts a proposal");
        this->run(2s);
        for (const Member &member : this->members)
            this->check(member.applied == this->oracle.rbegin()->first,
                        "every member has applied every entry");
    }

    /// Adds instances with a lost folder again, one at a time.
    void replaceLost()
    {
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            const auto leads = this->leader();
            if (leads && this->members[i].synced.cluster == 0
                && this->members[*leads].synced.cluster != 0) {
                this->members[*leads].machine->addMember(this->localTime(*leads), endpointOf(i));
                this->perform(*leads);
                this->run(3s);
            }
        }
    }

    void check(bool held, const std::string &what)
    {
        if (!held)
            this->faults.push_back(what);
    }

    std::vector<Member> members;
    std::set<std::size_t> cut; ///< members of one side of a partition
    std::deque<InFlightMessage> inFlight;
    std::map<std::uint64_t, QuorumEntry> oracle; ///< applied entry by index
    std::map<std::uint64_t, std::uint64_t> leaders;
    std::vector<std::string> faults;
    std::mt19937_64 random;
    std::size_t bootstrapMembers; ///< number of initial members
    std::size_t targetVoters;     ///< 0: the leader adds no instance by itself
    Milliseconds elapsed{ 0 };
    std::uint64_t lastRead{ 0 };

private:
    void execute(std::size_t i, const AppendRecords &append)
    {
        Member &member = this->members[i];
        for (const QuorumRecord &record : append.records) {
            if (const auto *entry = std::get_if<QuorumEntry>(&record)) {
                member.synced.entries.push_back(*entry);
            } else if (const auto *vote = std::get_if<QuorumVote>(&record)) {
                member.synced.cluster = vote->cluster;
                member.synced.term = vote->term;
                member.synced.votedFor = vote->votedFor;
            } else if (const auto *truncate = std::get_if<QuorumTruncate>(&record)) {
                while (!member.synced.entries.empty()
                       && member.synced.entries.back().index >= truncate->from)
                    member.synced.entries.pop_back();
            } else if (const auto *watermarks = std::get_if<QuorumWatermarks>(&record)) {
                for (const QuorumWatermark &watermark : watermarks->watermarks)
                    member.synced.watermarks[watermark.folder] = watermark;
            }
        }
    }

    void execute(std::size_t i, const RewriteLog &)
    {
        this->members[i].synced = this->members[i].machine->persistentState();
    }

    void execute(std::size_t i, const SendQuorumMessage &send)
    {
        for (std::size_t to = 0; to < this->members.size(); ++to) {
            if (endpointOf(to) == send.endpoint)
                this->inFlight.push_back({ .from = i, .to = to, .message = send.message });
        }
    }

    void execute(std::size_t i, const ApplyEntries &apply)
    {
        Member &member = this->members[i];
        for (const QuorumEntry &entry : apply.entries) {
            this->check(entry.index == member.applied + 1, "entries are applied in log order");
            const auto [known, isNew] = this->oracle.emplace(entry.index, entry);
            this->check(known->second == entry, "one entry per index");
            member.applied = entry.index;
        }
    }

    void execute(std::size_t i, const RestoreState &restore)
    {
        this->members[i].applied = restore.snapshot.index;
    }

    void execute(std::size_t i, const AnswerRead &answer)
    {
        Member &member = this->members[i];
        if (answer.isCurrent)
            this->check(member.applied >= member.readFloor[answer.id],
                        "a read answered as current includes every entry committed before");
        member.readFloor.erase(answer.id);
    }

    void checkLeader(std::size_t i)
    {
        const auto term = this->members[i].machine->leadingTerm(this->localTime(i));
        if (!term)
            return;
        const std::uint64_t folder = this->members[i].synced.folder;
        this->check(this->leaders.emplace(*term, folder).first->second == folder,
                    "one leader per term");
    }
};

struct Model
{
};

/// One command of the stateful test: an event kind with its parameters.
struct Step : rc::state::Command<Model, Group>
{
    int kind{ *rc::gen::inRange(0, 16) };
    std::size_t target{ *rc::gen::inRange<std::size_t>(0, kMembers) };
    std::size_t amount{ *rc::gen::inRange<std::size_t>(0, 40) };

    void run(const Model &, Group &group) const override
    {
        switch (this->kind) {
        case 0:
        case 1:
        case 2:
        case 3:
            group.run(kStep * (this->amount + 1));
            break;
        case 4:
            group.run(kStep * 150);
            break;
        case 5:
        case 6:
            group.propose(group.leader().value_or(this->target), std::to_string(this->amount));
            break;
        case 7:
            group.propose(group.leader().value_or(this->target), "crash", this->amount % 5);
            break;
        case 8:
            group.read(group.leader().value_or(this->target));
            group.read(this->target);
            break;
        case 9:
            group.crash(this->target);
            break;
        case 10:
            if (!group.members[this->target].machine)
                group.start(this->target, false);
            break;
        case 11:
            group.cut = { this->target, (this->target + this->amount % 3) % kMembers };
            break;
        case 12:
            group.cut.clear();
            break;
        case 13:
            for (std::size_t i = 0; i < this->amount; ++i)
                group.deliverOne(group.random(), i % 2 == 0);
            break;
        case 14:
            group.compact(this->target);
            break;
        default:
            if (this->amount % 2 == 0 && group.mayLoseFolder(this->target))
                group.loseFolder(this->target);
            else
                group.replaceLost();
            break;
        }
        RC_ASSERT(group.faults == std::vector<std::string>{});
    }

    void show(std::ostream &os) const override
    {
        os << "Step(" << this->kind << ", " << this->target << ", " << this->amount << ")";
    }
};

void checkSteps()
{
    Group group(kMembers, *rc::gen::arbitrary<std::uint32_t>());
    group.run(4s);
    rc::state::check(Model{}, group, rc::state::gen::execOneOfWithArgs<Step>());
    group.recoverAndCheck();
    RC_ASSERT(group.faults == std::vector<std::string>{});
}

std::string faultsOf(const Group &group)
{
    std::string text;
    for (const std::string &fault : group.faults)
        text += fault + "; ";
    return text;
}

} // namespace

namespace {

/// Endpoints of the voters in the leader's membership.
std::set<std::string> votersOf(Group &group)
{
    std::set<std::string> voters;
    const auto leads = group.leader();
    if (!leads)
        return voters;
    for (const QuorumMember &each : group.members[*leads].machine->members().members) {
        if (each.voter)
            voters.insert(each.endpoint);
    }
    return voters;
}

} // namespace

TEST(QuorumMembership, AGroupGrowsToItsTargetVoters)
{
    Group group(5, 1, 3, 5);
    group.run(10s);
    EXPECT_EQ(votersOf(group).size(), 5U);
    EXPECT_EQ(faultsOf(group), "");
}

TEST(QuorumMembership, ALostFolderIsReplacedAtItsAddress)
{
    Group group(3, 1, 3, 3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t lost = (*group.leader() + 1) % 3;
    group.propose(*group.leader(), "a");
    group.run(1s);
    group.loseFolder(lost);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U);
    EXPECT_TRUE(group.members[lost].machine->mayVote());
    EXPECT_EQ(group.members[lost].applied, group.oracle.rbegin()->first);
    EXPECT_EQ(faultsOf(group), "");
}

TEST(QuorumMembership, ASilentVoterIsReplacedByANewInstance)
{
    Group group(4, 1, 3, 3);
    group.crash(3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t lost = (*group.leader() + 1) % 3;
    group.crash(lost);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U) << "no instance is available as a replacement";
    group.start(3, true);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U);
    EXPECT_FALSE(votersOf(group).contains(endpointOf(lost)));
    EXPECT_TRUE(votersOf(group).contains(endpointOf(3)));
    // The restarted instance is added only when a voter is missing.
    group.start(lost, false);
    group.run(4s);
    EXPECT_FALSE(votersOf(group).contains(endpointOf(lost)));
    group.crash((*group.leader() + 1) % 3 == lost ? 3 : (*group.leader() + 1) % 3);
    group.run(15s);
    EXPECT_TRUE(votersOf(group).contains(endpointOf(lost)));
    EXPECT_EQ(faultsOf(group), "");
}

RC_GTEST_PROP(Quorum, AgreesUnderCrashesLossAndPartitions, ())
{
    checkSteps();
}

TEST(Quorum, FormsElectsAndCommits)
{
    Group group(kMembers);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    EXPECT_TRUE(group.propose(*group.leader(), "a"));
    group.run(500ms);
    for (const Member &member : group.members)
        EXPECT_EQ(member.applied, group.oracle.rbegin()->first);
    EXPECT_EQ(faultsOf(group), "");
}

// After a restart of all members no leader lease can hold, so that the group must elect
// a leader before the regular election timeout.
TEST(Quorum, AFullRestartElectsALeaderBeforeTheElectionTimeout)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Group group(kMembers, seed);
        group.run(4s);
        ASSERT_TRUE(group.leader());
        ASSERT_TRUE(group.propose(*group.leader(), "a"));
        group.run(1s);
        for (std::size_t i = 0; i < kMembers; ++i)
            group.crash(i);
        group.run(300ms);
        for (std::size_t i = 0; i < kMembers; ++i) {
            group.start(i, false);
            group.run(20ms);
        }
        group.run(400ms);
        ASSERT_TRUE(group.leader()) << "seed " << seed;
        EXPECT_TRUE(group.propose(*group.leader(), "b"));
        group.run(500ms);
        for (const Member &member : group.members)
            EXPECT_EQ(member.applied, group.oracle.rbegin()->first);
        EXPECT_EQ(faultsOf(group), "");
    }
}

// The leader was not restarted, so that the restarted members must not start an election.
TEST(Quorum, ARestartedMajorityKeepsTheLeader)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t leads = *group.leader();
    const auto term = group.members[leads].machine->term();
    for (std::size_t i = 0; i < kMembers; ++i) {
        if (i == leads)
            continue;
        group.crash(i);
        group.start(i, false);
    }
    group.run(3s);
    EXPECT_EQ(group.leader(), leads);
    EXPECT_EQ(group.members[leads].machine->term(), term);
    EXPECT_EQ(faultsOf(group), "");
}

TEST(Quorum, AnIsolatedLeaderStepsDownAndRejoinsWithoutAnElection)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t old = *group.leader();
    group.cut = { old };
    group.run(4s);
    EXPECT_FALSE(group.members[old].machine->leadingTerm(group.localTime(old)));
    EXPECT_FALSE(group.propose(old, "lost"));
    const std::size_t next = *group.leader();
    const auto term = group.members[next].machine->term();
    group.run(30s);
    group.cut.clear();
    group.run(3s);
    EXPECT_EQ(group.leader(), next);
    EXPECT_EQ(group.members[next].machine->term(), term);
    EXPECT_EQ(faultsOf(group), "");
}

TEST(Quorum, AnEmptyFolderNeitherVotesNorBootstrapsASecondGroup)
{
    Group group(kMembers);
    group.run(4s);
    for (std::size_t i = 2; i < kMembers; ++i)
        group.crash(i);
    group.loseFolder(0);
    group.loseFolder(1);
    group.run(kSettleTime);
    EXPECT_FALSE(group.leader());
    EXPECT_FALSE(group.members[0].machine->mayVote());
    EXPECT_EQ(group.members[0].synced.cluster, 0U);
}

TEST(Quorum, AFolderRestoredFromAnOldCopyDoesNotVoteUntilItHasCaughtUp)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t leads = *group.leader();
    const std::size_t old = (leads + 1) % kMembers;
    const std::size_t absent = (leads + 2) % kMembers;
    const QuorumPersistentState copy = group.members[old].synced;
    for (int i = 0; i < 5; ++i)
        group.propose(leads, "after the copy");
    group.run(3s);
    // Two members with the entries keep running; the restored folder would complete a majority.
    group.crash(leads);
    group.crash(absent);
    group.crash(old);
    group.members[old].synced = copy;
    group.start(old, false);
    group.run(kSettleTime);
    EXPECT_FALSE(group.members[old].machine->mayVote());
    EXPECT_FALSE(group.leader());
    group.start(absent, false);
    group.run(kSettleTime);
    EXPECT_TRUE(group.leader());
    EXPECT_TRUE(group.members[old].machine->mayVote());
    EXPECT_EQ(faultsOf(group), "");
}

TEST(Quorum, TwoCrashesRightAfterAFolderReplacementLeaveAQuorum)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t first = (*group.leader() + 1) % kMembers;
    group.loseFolder(first);
    group.run(1s);
    group.replaceLost();
    const auto &members = group.members[*group.leader()].machine->members().members;
    EXPECT_EQ(members.size(), kMembers);
    EXPECT_TRUE(group.members[first].machine->mayVote());
    group.crash((first + 1) % kMembers);
    group.crash((first + 2) % kMembers);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    EXPECT_TRUE(group.propose(*group.leader(), "after two losses"));
    group.run(500ms);
    EXPECT_EQ(group.members[first].applied, group.oracle.rbegin()->first);
    EXPECT_EQ(faultsOf(group), "");
}

/// Member 1 of a group of three with a given log and term; tests deliver single messages.
struct SingleMember
{
    SingleMember(std::vector<QuorumEntry> entries, std::uint64_t term)
    {
        QuorumPersistentState persistent{ .folder = 1, .cluster = 9, .term = term };
        persistent.snapshot.index = 1;
        persistent.snapshot.term = 1;
        for (std::uint64_t folder = 1; folder <= 3; ++folder)
            persistent.snapshot.members.members.push_back(
                    { .folder = folder, .endpoint = endpointOf(folder), .voter = true });
        persistent.entries.assign(entries.begin(), entries.end());
        this->machine = std::make_unique<Quorum>(QuorumOptions{ .endpoint = endpointOf(1) },
                                                 persistent, true, 1, this->now);
    }

    static QuorumHeader from(std::uint64_t folder, std::uint64_t term)
    {
        return {
            .cluster = 9, .folder = folder, .to = 1, .endpoint = endpointOf(folder), .term = term
        };
    }

    /// Messages of one kind that the machine sent since the last call.
    template <class Message> std::vector<Message> sent()
    {
        std::vector<Message> found;
        for (const QuorumAction &action : this->machine->takeActions()) {
            if (const auto *send = std::get_if<SendQuorumMessage>(&action)) {
                if (const auto *message = std::get_if<Message>(&send->message))
                    found.push_back(*message);
            }
        }
        return found;
    }

    TimePoint now{ TimePoint{} + 100s };
    std::unique_ptr<Quorum> machine;
};

TEST(Quorum, AnEntryOfAnEarlierTermIsCommittedOnlyWithOneOfTheCurrentTerm)
{
    SingleMember member({ { .term = 1, .index = 2, .payload = "earlier" } }, 1);
    member.now += 5s;
    member.machine->tick(member.now);
    member.machine->receive(member.now, VoteReply{ .header = SingleMember::from(2, 1),
                                                   .isPreVote = true,
                                                   .forTerm = 2,
                                                   .granted = true });
    member.machine->receive(
            member.now,
            VoteReply{ .header = SingleMember::from(2, 2), .forTerm = 2, .granted = true });
    ASSERT_TRUE(member.machine->leadingTerm(member.now));
    const auto requests = member.sent<AppendRequest>();
    ASSERT_FALSE(requests.empty());
    AppendReply reply{ .header = SingleMember::from(2, 2),
                       .success = true,
                       .index = 2,
                       .round = requests.back().round };
    member.machine->receive(member.now, reply);
    EXPECT_EQ(member.machine->commitIndex(), 1U);
    reply.index = 3;
    member.machine->receive(member.now, reply);
    EXPECT_EQ(member.machine->commitIndex(), 3U);
}

TEST(Quorum, NoVoteIsGrantedWithinTheElectionTimeoutOfALeader)
{
    SingleMember member({}, 2);
    member.now += 5s;
    member.machine->receive(
            member.now,
            AppendRequest{ .header = SingleMember::from(2, 2), .prevTerm = 1, .prevIndex = 1 });
    for (const bool isPreVote : { true, false }) {
        for (const Milliseconds after : { 799ms, 801ms }) {
            member.sent<VoteReply>();
            member.machine->receive(member.now + after,
                                    VoteRequest{ .header = SingleMember::from(3, 3),
                                                 .isPreVote = isPreVote,
                                                 .lastTerm = 2,
                                                 .lastIndex = 5 });
            const auto replies = member.sent<VoteReply>();
            ASSERT_EQ(replies.size(), 1U);
            EXPECT_EQ(replies.front().granted, after > 800ms) << isPreVote;
        }
    }
}

TEST(Quorum, LongRunsUseIncreasingSeeds)
{
    const char *seconds = std::getenv("EGRET_FUZZ_SECONDS");
    if (seconds == nullptr)
        return;
    const auto end = std::chrono::steady_clock::now() + Seconds(std::atoi(seconds));
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    for (; std::chrono::steady_clock::now() < end; ++params.seed) {
        const auto result =
                rc::detail::checkTestable(checkSteps, rc::detail::TestMetadata{}, params);
        rc::detail::SuccessResult success;
        ASSERT_TRUE(result.template is<rc::detail::SuccessResult>())
                << "replay with RC_PARAMS=\"seed=" << params.seed << "\"";
    }
}
