#include "quorum.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace egret;

namespace {

constexpr std::size_t kMembers = 5;
constexpr Milliseconds kStep = 10ms;
constexpr Milliseconds kSettle = 20s;

struct Flight
{
    std::size_t from{ 0 };
    std::size_t to{ 0 };
    QuorumMessage message;
};

std::string endpointOf(std::size_t member)
{
    return "127.0.0.1:" + std::to_string(7000 + member);
}

/// One member with the fakes of its shell: a disk that forgets what was not
/// synced, a clock with its own rate and the indices that were applied.
struct Member
{
    std::unique_ptr<Quorum> machine;
    QuorumMemory synced;
    std::uint64_t applied{ 0 };
    int ratePercent{ 100 };
    std::map<std::uint64_t, std::uint64_t> readFloor; ///< read id: committed when it was asked
};

/// Members over a network that loses, repeats and reorders, held against an
/// oracle: one leader a term, one entry an index, reads that are current.
class Group
{
public:
    explicit Group(std::size_t members, std::uint64_t seed = 1, std::size_t seeds = SIZE_MAX,
                   std::size_t targetVoters = 0)
        : members(members), random(seed), seeds(seeds), targetVoters(targetVoters)
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
        for (std::size_t each = 0; each < std::min(this->seeds, this->members.size()); ++each)
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
        this->members[i].synced = QuorumMemory{ .folder = this->random() };
        this->start(i, true);
    }

    /// True when a majority of every known membership would keep its folders.
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

    /// Carries out a member's actions. A crash before the last actions is a
    /// crash of the process at that point.
    void perform(std::size_t i, std::size_t crashAfter = SIZE_MAX)
    {
        Member &member = this->members[i];
        if (!member.machine)
            return;
        std::vector<QuorumAction> actions = member.machine->take();
        for (std::size_t at = 0; at < actions.size(); ++at) {
            if (at == crashAfter)
                return this->crash(i);
            std::visit([&](const auto &action) { this->carryOut(i, action); }, actions[at]);
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
            this->deliver(this->flights.size());
        }
    }

    void deliver(std::size_t count)
    {
        for (; count > 0 && !this->flights.empty(); --count) {
            const Flight flight = std::move(this->flights.front());
            this->flights.pop_front();
            this->hand(flight);
        }
    }

    /// Delivers any message in flight, out of order, perhaps twice.
    void deliverOne(std::uint64_t choice, bool again)
    {
        if (this->flights.empty())
            return;
        const auto at =
                this->flights.begin() + static_cast<std::ptrdiff_t>(choice % this->flights.size());
        const Flight flight = *at;
        if (!again)
            this->flights.erase(at);
        this->hand(flight);
    }

    void hand(const Flight &flight)
    {
        const bool isCut = this->cut.contains(flight.from) != this->cut.contains(flight.to);
        if (isCut || !this->members[flight.to].machine)
            return;
        this->members[flight.to].machine->receive(this->localTime(flight.to), flight.message);
        this->perform(flight.to);
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
        const bool taken =
                this->members[i].machine->propose(this->localTime(i), { command }).has_value();
        this->perform(i, crashAfter);
        return taken;
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

    /// Everything works again: all must agree, and what was applied stays.
    void settle()
    {
        this->cut.clear();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].machine)
                this->start(i, false);
        }
        this->run(kSettle);
        this->replaceLost();
        const auto leads = this->leader();
        this->check(leads.has_value(), "a leader after everything works again");
        if (!leads)
            return;
        this->check(this->propose(*leads, "last"), "the leader accepts");
        this->run(2s);
        for (const Member &member : this->members)
            this->check(member.applied == this->oracle.rbegin()->first, "all have applied all");
    }

    /// Re-admits instances whose folder was lost, one at a time.
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
    std::set<std::size_t> cut; ///< members on the far side of a partition
    std::deque<Flight> flights;
    std::map<std::uint64_t, QuorumEntry> oracle; ///< what was applied at each index
    std::map<std::uint64_t, std::uint64_t> leaders;
    std::vector<std::string> faults;
    std::mt19937_64 random;
    std::size_t seeds;        ///< members that form the group
    std::size_t targetVoters; ///< of a group that looks after itself
    Milliseconds elapsed{ 0 };
    std::uint64_t lastRead{ 0 };

private:
    void carryOut(std::size_t i, const AppendRecords &append)
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

    void carryOut(std::size_t i, const RewriteLog &)
    {
        this->members[i].synced = this->members[i].machine->memory();
    }

    void carryOut(std::size_t i, const SendQuorumMessage &send)
    {
        for (std::size_t to = 0; to < this->members.size(); ++to) {
            if (endpointOf(to) == send.endpoint)
                this->flights.push_back({ .from = i, .to = to, .message = send.message });
        }
    }

    void carryOut(std::size_t i, const ApplyEntries &apply)
    {
        Member &member = this->members[i];
        for (const QuorumEntry &entry : apply.entries) {
            this->check(entry.index == member.applied + 1, "entries are applied in order");
            const auto [known, isNew] = this->oracle.emplace(entry.index, entry);
            this->check(known->second == entry, "one entry an index, for good");
            member.applied = entry.index;
        }
    }

    void carryOut(std::size_t i, const RestoreState &restore)
    {
        this->members[i].applied = restore.snapshot.index;
    }

    void carryOut(std::size_t i, const AnswerRead &answer)
    {
        Member &member = this->members[i];
        if (answer.isCurrent)
            this->check(member.applied >= member.readFloor[answer.id],
                        "a read that says current is");
        member.readFloor.erase(answer.id);
    }

    void checkLeader(std::size_t i)
    {
        const auto term = this->members[i].machine->leadingTerm(this->localTime(i));
        if (!term)
            return;
        const std::uint64_t folder = this->members[i].synced.folder;
        this->check(this->leaders.emplace(*term, folder).first->second == folder,
                    "one leader a term");
    }
};

struct Model
{
};

/// One command of the stateful test: a kind of event with its choices.
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
    group.settle();
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

/// Endpoints of the voters as the leader knows them.
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

TEST(QuorumMembership, AGroupGrowsToTheVotersItWants)
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

TEST(QuorumMembership, ASilentVoterGivesItsPlaceToANewInstance)
{
    Group group(4, 1, 3, 3);
    group.crash(3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t lost = (*group.leader() + 1) % 3;
    group.crash(lost);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U) << "nobody is there to take the place";
    group.start(3, true);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U);
    EXPECT_FALSE(votersOf(group).contains(endpointOf(lost)));
    EXPECT_TRUE(votersOf(group).contains(endpointOf(3)));
    // Back again, it waits until a place is free.
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

// All instances are killed at once and start again: none can hold a promise to
// a leader, so the group has one again well before the usual patience is over.
TEST(Quorum, AGroupThatStartsAgainAsAWholeHasALeaderSoon)
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

// One instance was not killed: it may lead, so the others keep their promises.
TEST(Quorum, AMajorityThatStartsAgainLeavesTheLeaderInPeace)
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

TEST(Quorum, AnIsolatedLeaderStopsAcceptingAndDisturbsNobody)
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

TEST(Quorum, AnEmptyFolderNeitherVotesNorFormsASecondGroup)
{
    Group group(kMembers);
    group.run(4s);
    for (std::size_t i = 2; i < kMembers; ++i)
        group.crash(i);
    group.loseFolder(0);
    group.loseFolder(1);
    group.run(kSettle);
    EXPECT_FALSE(group.leader());
    EXPECT_FALSE(group.members[0].machine->mayVote());
    EXPECT_EQ(group.members[0].synced.cluster, 0U);
}

TEST(Quorum, AFolderThatIsOlderThanItsPromisesDoesNotVoteUntilItHasCaughtUp)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t leads = *group.leader();
    const std::size_t old = (leads + 1) % kMembers;
    const std::size_t absent = (leads + 2) % kMembers;
    const QuorumMemory copy = group.members[old].synced;
    for (int i = 0; i < 5; ++i)
        group.propose(leads, "after the copy");
    group.run(3s);
    // Two who know of the entries stay; the restored folder would make a majority.
    group.crash(leads);
    group.crash(absent);
    group.crash(old);
    group.members[old].synced = copy;
    group.start(old, false);
    group.run(kSettle);
    EXPECT_FALSE(group.members[old].machine->mayVote());
    EXPECT_FALSE(group.leader());
    group.start(absent, false);
    group.run(kSettle);
    EXPECT_TRUE(group.leader());
    EXPECT_TRUE(group.members[old].machine->mayVote());
    EXPECT_EQ(faultsOf(group), "");
}

TEST(Quorum, ASecondLossRightAfterARepairIsSurvived)
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

/// A machine of three that was told by its disk what it holds, and answers to crafted messages.
struct Crafted
{
    Crafted(std::vector<QuorumEntry> entries, std::uint64_t term)
    {
        QuorumMemory memory{ .folder = 1, .cluster = 9, .term = term };
        memory.snapshot.index = 1;
        memory.snapshot.term = 1;
        for (std::uint64_t folder = 1; folder <= 3; ++folder)
            memory.snapshot.members.members.push_back(
                    { .folder = folder, .endpoint = endpointOf(folder), .voter = true });
        memory.entries.assign(entries.begin(), entries.end());
        this->machine = std::make_unique<Quorum>(QuorumOptions{ .endpoint = endpointOf(1) }, memory,
                                                 true, 1, this->now);
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
        for (const QuorumAction &action : this->machine->take()) {
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

TEST(Quorum, AnEntryOfAnEarlierTermIsCommittedOnlyBehindOneOfTheOwn)
{
    Crafted member({ { .term = 1, .index = 2, .payload = "earlier" } }, 1);
    member.now += 5s;
    member.machine->tick(member.now);
    member.machine->receive(member.now, VoteReply{ .header = Crafted::from(2, 1),
                                                   .isPreVote = true,
                                                   .forTerm = 2,
                                                   .granted = true });
    member.machine->receive(
            member.now, VoteReply{ .header = Crafted::from(2, 2), .forTerm = 2, .granted = true });
    ASSERT_TRUE(member.machine->leadingTerm(member.now));
    const auto requests = member.sent<AppendRequest>();
    ASSERT_FALSE(requests.empty());
    AppendReply reply{
        .header = Crafted::from(2, 2), .success = true, .index = 2, .round = requests.back().round
    };
    member.machine->receive(member.now, reply);
    EXPECT_EQ(member.machine->commitIndex(), 1U);
    reply.index = 3;
    member.machine->receive(member.now, reply);
    EXPECT_EQ(member.machine->commitIndex(), 3U);
}

TEST(Quorum, NoVoteIsGivenWhileALeaderIsHeard)
{
    Crafted member({}, 2);
    member.now += 5s;
    member.machine->receive(
            member.now,
            AppendRequest{ .header = Crafted::from(2, 2), .prevTerm = 1, .prevIndex = 1 });
    for (const bool isPreVote : { true, false }) {
        for (const Milliseconds after : { 799ms, 801ms }) {
            member.sent<VoteReply>();
            member.machine->receive(member.now + after, VoteRequest{ .header = Crafted::from(3, 3),
                                                                     .isPreVote = isPreVote,
                                                                     .lastTerm = 2,
                                                                     .lastIndex = 5 });
            const auto replies = member.sent<VoteReply>();
            ASSERT_EQ(replies.size(), 1U);
            EXPECT_EQ(replies.front().granted, after > 800ms) << isPreVote;
        }
    }
}

TEST(Quorum, LongerRunsTakeGrowingSeeds)
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
