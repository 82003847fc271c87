#include "quorum.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace egret;

namespace {

constexpr std::size_t kMembers = 5;
constexpr Milliseconds kTimeStep = 10ms;
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

/// One member with its simulated environment: the durable state, which survives a crash, and a
/// clock with its own rate.
struct Member
{
    std::unique_ptr<Quorum> quorum; ///< null while the member is crashed
    QuorumPersistentState durableState;
    std::uint64_t appliedIndex{ 0 };
    int clockRatePercent{ 100 };
    /// By read id: index of the last entry that the read must include.
    std::map<std::uint64_t, std::uint64_t> minIndexByReadId;
};

/// Members on a simulated network that drops, repeats and reorders messages. Checks the
/// invariants of the protocol: one leader per term, one entry per index, and every read includes
/// all entries that were committed before the read started. Members are numbered from 0.
class Group
{
public:
    /// `members` is the number of simulated members. The first `bootstrapMemberCount` of them
    /// are the initial members. The leader adds members until the group has `targetVoters` voters;
    /// 0: the leader adds members only on request.
    explicit Group(std::size_t members, std::uint64_t seed = 1,
                   std::size_t bootstrapMemberCount = SIZE_MAX, std::size_t targetVoters = 0)
        : members(members), random(seed), bootstrapMemberCount(bootstrapMemberCount),
          targetVoters(targetVoters)
    {
        for (std::size_t i = 0; i < members; ++i) {
            this->members[i].clockRatePercent = 96 + static_cast<int>(i * 2);
            this->members[i].durableState.folder = 100 + i;
            this->start(i, true);
        }
    }

    TimePoint localTime(std::size_t i) const
    {
        return TimePoint{} + 100s + this->elapsed * this->members[i].clockRatePercent / 100;
    }

    /// Starts or restarts a member. `isFresh` is true when its data folder is new.
    void start(std::size_t i, bool isFresh)
    {
        Member &member = this->members[i];
        QuorumOptions options{ .endpoint = endpointOf(i),
                               .targetVoters = this->targetVoters,
                               .trailingEntries = 5 };
        for (std::size_t each = 0;
             each < std::min(this->bootstrapMemberCount, this->members.size()); ++each)
            options.initialEndpoints.push_back(endpointOf(each));
        member.appliedIndex = 0;
        member.quorum = std::make_unique<Quorum>(options, member.durableState, isFresh,
                                                 this->random(), this->localTime(i));
        this->perform(i);
    }

    void crash(std::size_t i) { this->members[i].quorum.reset(); }

    /// Crashes a member and starts it with an empty data folder, which has a new identity.
    void loseDataFolder(std::size_t i)
    {
        this->crash(i);
        this->members[i].durableState = QuorumPersistentState{ .folder = this->random() };
        this->start(i, true);
    }

    /// True when the group keeps its quorum if member `lostMember` loses its data folder. Every
    /// member must be running. For the latest membership known to each member, more than half of
    /// the voters must be members other than `lostMember` that still have the data folder which the
    /// membership names.
    bool mayLoseDataFolder(std::size_t lostMember) const
    {
        for (const Member &observer : this->members) {
            if (!observer.quorum)
                return false;
            std::size_t voters = 0;
            std::size_t remaining = 0;
            for (const QuorumMember &each : observer.quorum->members().members) {
                voters += each.voter ? 1 : 0;
                for (std::size_t i = 0; i < this->members.size(); ++i)
                    remaining +=
                            each.voter && i != lostMember
                                            && this->members[i].durableState.folder == each.folder
                                            && this->members[i].durableState.cluster != 0
                                    ? 1
                                    : 0;
            }
            if (remaining < voters / 2 + 1)
                return false;
        }
        return true;
    }

    /// Executes the pending actions of a member. The member crashes after
    /// `actionsBeforeCrash` actions if more are pending.
    void perform(std::size_t i, std::size_t actionsBeforeCrash = SIZE_MAX)
    {
        Member &member = this->members[i];
        if (!member.quorum)
            return;
        std::vector<QuorumAction> actions = member.quorum->takeActions();
        for (std::size_t position = 0; position < actions.size(); ++position) {
            if (position == actionsBeforeCrash)
                return this->crash(i);
            std::visit([&](const auto &action) { this->execute(i, action); }, actions[position]);
        }
        this->checkLeader(i);
    }

    /// Simulates ticks and message deliveries for `duration`.
    void run(Milliseconds duration)
    {
        for (Milliseconds spent{ 0 }; spent < duration; spent += kTimeStep) {
            this->elapsed += kTimeStep;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                if (this->members[i].quorum)
                    this->members[i].quorum->tick(this->localTime(i));
                this->perform(i);
            }
            this->deliver(this->inFlight.size());
        }
    }

    /// Delivers up to `count` messages in order.
    void deliver(std::size_t count)
    {
        for (; count > 0 && !this->inFlight.empty(); --count) {
            const InFlightMessage inFlightMessage = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            this->deliverMessage(inFlightMessage);
        }
    }

    /// Delivers the in-flight message at `position`, modulo the number of in-flight messages. If
    /// `mustRepeat` is true, the message stays in flight for another delivery.
    void deliverOutOfOrder(std::uint64_t position, bool mustRepeat)
    {
        if (this->inFlight.empty())
            return;
        const auto chosen = this->inFlight.begin()
                            + static_cast<std::ptrdiff_t>(position % this->inFlight.size());
        const InFlightMessage inFlightMessage = *chosen;
        if (!mustRepeat)
            this->inFlight.erase(chosen);
        this->deliverMessage(inFlightMessage);
    }

    void deliverMessage(const InFlightMessage &inFlightMessage)
    {
        const bool isPartitioned = this->partitionSide.contains(inFlightMessage.from)
                                   != this->partitionSide.contains(inFlightMessage.to);
        if (isPartitioned || !this->members[inFlightMessage.to].quorum)
            return;
        this->members[inFlightMessage.to].quorum->receive(this->localTime(inFlightMessage.to),
                                                          inFlightMessage.message);
        this->perform(inFlightMessage.to);
    }

    /// Member that leads in the highest term; empty when no member leads.
    std::optional<std::size_t> leader()
    {
        std::optional<std::size_t> found;
        std::uint64_t term = 0;
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].quorum)
                continue;
            const auto memberTerm = this->members[i].quorum->leadingTerm(this->localTime(i));
            if (memberTerm && *memberTerm > term) {
                found = i;
                term = *memberTerm;
            }
        }
        return found;
    }

    bool propose(std::size_t i, const std::string &command,
                 std::size_t actionsBeforeCrash = SIZE_MAX)
    {
        if (!this->members[i].quorum)
            return false;
        const bool accepted =
                this->members[i].quorum->propose(this->localTime(i), { command }).has_value();
        this->perform(i, actionsBeforeCrash);
        return accepted;
    }

    void read(std::size_t i)
    {
        Member &member = this->members[i];
        if (!member.quorum)
            return;
        member.minIndexByReadId[++this->lastRead] =
                this->appliedEntries.empty() ? 0 : this->appliedEntries.rbegin()->first;
        member.quorum->read(this->localTime(i), this->lastRead);
        this->perform(i);
    }

    void compact(std::size_t i)
    {
        if (!this->members[i].quorum)
            return;
        this->members[i].quorum->compact(std::string(this->members[i].appliedIndex % 7, 's'));
        this->perform(i);
    }

    /// Restarts crashed members and ends the partition. Then checks that a leader accepts a
    /// proposal, and that every member applies every entry.
    void recoverAndCheck()
    {
        this->partitionSide.clear();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].quorum)
                this->start(i, false);
        }
        this->run(kSettleTime);
        this->addMembersWithLostFolderAgain();
        const auto leaderIndex = this->leader();
        this->check(leaderIndex.has_value(), "a leader exists after crashes and partitions end");
        if (!leaderIndex)
            return;
        this->check(this->propose(*leaderIndex, "last"), "the leader accepts a proposal");
        this->run(2s);
        for (const Member &member : this->members)
            this->check(member.appliedIndex == this->appliedEntries.rbegin()->first,
                        "every member has applied every entry");
    }

    /// Adds the members that lost their data folder to the group again, one at a time.
    void addMembersWithLostFolderAgain()
    {
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            const auto leaderIndex = this->leader();
            if (leaderIndex && this->members[i].durableState.cluster == 0
                && this->members[*leaderIndex].durableState.cluster != 0) {
                this->members[*leaderIndex].quorum->addMember(this->localTime(*leaderIndex),
                                                              endpointOf(i));
                this->perform(*leaderIndex);
                this->run(3s);
            }
        }
    }

    /// Adds `property` to `violations` if `holds` is false.
    void check(bool holds, const std::string &property)
    {
        if (!holds)
            this->violations.push_back(property);
    }

    std::vector<Member> members;
    std::set<std::size_t> partitionSide; ///< members on one side; empty: no partition
    std::deque<InFlightMessage> inFlight;
    std::map<std::uint64_t, QuorumEntry> appliedEntries; ///< applied by any member; by index
    /// Id of the leader's data folder by term; the id identifies the member.
    std::map<std::uint64_t, std::uint64_t> leaderFolderIdByTerm;
    std::vector<std::string> violations; ///< properties that did not hold
    std::mt19937_64 random;
    std::size_t bootstrapMemberCount; ///< number of initial members
    std::size_t targetVoters;         ///< 0: the leader adds members only on request
    Milliseconds elapsed{ 0 };
    std::uint64_t lastRead{ 0 };

private:
    void execute(std::size_t i, const AppendRecords &append)
    {
        Member &member = this->members[i];
        for (const QuorumRecord &record : append.records) {
            if (const auto *entry = std::get_if<QuorumEntry>(&record)) {
                member.durableState.entries.push_back(*entry);
            } else if (const auto *vote = std::get_if<QuorumVote>(&record)) {
                member.durableState.cluster = vote->cluster;
                member.durableState.term = vote->term;
                member.durableState.votedFor = vote->votedFor;
            } else if (const auto *truncate = std::get_if<QuorumTruncate>(&record)) {
                while (!member.durableState.entries.empty()
                       && member.durableState.entries.back().index >= truncate->from)
                    member.durableState.entries.pop_back();
            } else if (const auto *watermarks = std::get_if<QuorumWatermarks>(&record)) {
                for (const QuorumWatermark &watermark : watermarks->watermarks)
                    member.durableState.watermarks[watermark.folder] = watermark;
            }
        }
    }

    void execute(std::size_t i, const RewriteLog &)
    {
        this->members[i].durableState = this->members[i].quorum->persistentState();
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
            this->check(entry.index == member.appliedIndex + 1, "entries are applied in log order");
            const auto [known, isNew] = this->appliedEntries.emplace(entry.index, entry);
            this->check(known->second == entry, "one entry per index");
            member.appliedIndex = entry.index;
        }
    }

    void execute(std::size_t i, const RestoreState &restore)
    {
        this->members[i].appliedIndex = restore.snapshot.index;
    }

    void execute(std::size_t i, const AnswerRead &answer)
    {
        Member &member = this->members[i];
        // A read that is answered as current must include every entry that was committed before the
        // read started.
        if (answer.isCurrent)
            this->check(member.appliedIndex >= member.minIndexByReadId[answer.id],
                        "a read answered as current includes every entry committed before");
        member.minIndexByReadId.erase(answer.id);
    }

    void checkLeader(std::size_t i)
    {
        const auto term = this->members[i].quorum->leadingTerm(this->localTime(i));
        if (!term)
            return;
        const std::uint64_t folder = this->members[i].durableState.folder;
        this->check(this->leaderFolderIdByTerm.emplace(*term, folder).first->second == folder,
                    "one leader per term");
    }
};

/// Group checks its own invariants; the stateful test needs no model state.
struct Model
{
};

/// One random event of the stateful test. `kind` selects the event in `run`; an event with
/// several case labels is more frequent. Depending on the event, `parameter` selects a duration,
/// a payload, the number of actions executed before a crash, the second member on one side of a
/// partition, a number of messages, or one of two events.
struct Step : rc::state::Command<Model, Group>
{
    int kind{ *rc::gen::inRange(0, 16) };
    std::size_t targetMember{ *rc::gen::inRange<std::size_t>(0, kMembers) };
    std::size_t parameter{ *rc::gen::inRange<std::size_t>(0, 40) };

    void run(const Model &, Group &group) const override
    {
        switch (this->kind) {
        case 0:
        case 1:
        case 2:
        case 3:
            group.run(kTimeStep * (this->parameter + 1));
            break;
        case 4:
            group.run(kTimeStep * 150);
            break;
        case 5:
        case 6:
            group.propose(group.leader().value_or(this->targetMember),
                          std::to_string(this->parameter));
            break;
        case 7:
            group.propose(group.leader().value_or(this->targetMember), "crash",
                          this->parameter % 5);
            break;
        case 8:
            group.read(group.leader().value_or(this->targetMember));
            group.read(this->targetMember);
            break;
        case 9:
            group.crash(this->targetMember);
            break;
        case 10:
            if (!group.members[this->targetMember].quorum)
                group.start(this->targetMember, false);
            break;
        case 11:
            group.partitionSide = { this->targetMember,
                                    (this->targetMember + this->parameter % 3) % kMembers };
            break;
        case 12:
            group.partitionSide.clear();
            break;
        case 13:
            for (std::size_t i = 0; i < this->parameter; ++i)
                group.deliverOutOfOrder(group.random(), i % 2 == 0);
            break;
        case 14:
            group.compact(this->targetMember);
            break;
        default:
            if (this->parameter % 2 == 0 && group.mayLoseDataFolder(this->targetMember))
                group.loseDataFolder(this->targetMember);
            else
                group.addMembersWithLostFolderAgain();
            break;
        }
        RC_ASSERT(group.violations == std::vector<std::string>{});
    }

    void show(std::ostream &os) const override
    {
        os << "Step(" << this->kind << ", " << this->targetMember << ", " << this->parameter << ")";
    }
};

void checkRandomSteps()
{
    Group group(kMembers, *rc::gen::arbitrary<std::uint32_t>());
    group.run(4s);
    rc::state::check(Model{}, group, rc::state::gen::execOneOfWithArgs<Step>());
    group.recoverAndCheck();
    RC_ASSERT(group.violations == std::vector<std::string>{});
}

std::string violationsOf(const Group &group)
{
    std::string text;
    for (const std::string &violation : group.violations)
        text += violation + "; ";
    return text;
}

} // namespace

namespace {

/// Endpoints of the voters in the leader's latest membership; empty without a leader.
std::set<std::string> votersOf(Group &group)
{
    std::set<std::string> voters;
    const auto leaderIndex = group.leader();
    if (!leaderIndex)
        return voters;
    for (const QuorumMember &each : group.members[*leaderIndex].quorum->members().members) {
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
    EXPECT_EQ(violationsOf(group), "");
}

TEST(QuorumMembership, AMemberWithALostDataFolderRejoinsAtItsEndpoint)
{
    Group group(3, 1, 3, 3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t rejoining = (*group.leader() + 1) % 3;
    group.propose(*group.leader(), "a");
    group.run(1s);
    group.loseDataFolder(rejoining);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U);
    EXPECT_TRUE(group.members[rejoining].quorum->mayVote());
    EXPECT_EQ(group.members[rejoining].appliedIndex, group.appliedEntries.rbegin()->first);
    EXPECT_EQ(violationsOf(group), "");
}

TEST(QuorumMembership, ASilentVoterIsReplacedByANewInstance)
{
    Group group(4, 1, 3, 3);
    group.crash(3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t crashed = (*group.leader() + 1) % 3;
    group.crash(crashed);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U)
            << "the crashed voter must remain while no replacement is available";
    group.start(3, true);
    group.run(8s);
    EXPECT_EQ(votersOf(group).size(), 3U);
    EXPECT_FALSE(votersOf(group).contains(endpointOf(crashed)));
    EXPECT_TRUE(votersOf(group).contains(endpointOf(3)));
    // The replaced member restarts. The leader adds it again only when another voter is silent.
    group.start(crashed, false);
    group.run(4s);
    EXPECT_FALSE(votersOf(group).contains(endpointOf(crashed)));
    group.crash((*group.leader() + 1) % 3 == crashed ? 3 : (*group.leader() + 1) % 3);
    group.run(15s);
    EXPECT_TRUE(votersOf(group).contains(endpointOf(crashed)));
    EXPECT_EQ(violationsOf(group), "");
}

RC_GTEST_PROP(Quorum, AgreesUnderCrashesLossAndPartitions, ())
{
    checkRandomSteps();
}

TEST(Quorum, FormsElectsAndCommits)
{
    Group group(kMembers);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    EXPECT_TRUE(group.propose(*group.leader(), "a"));
    group.run(500ms);
    for (const Member &member : group.members)
        EXPECT_EQ(member.appliedIndex, group.appliedEntries.rbegin()->first);
    EXPECT_EQ(violationsOf(group), "");
}

// After a restart of all members, no leader lease can be valid. A member that has just started
// and has seen no leader since sends pre-vote requests at short intervals. When the replies show
// that no voter has seen a leader since its start, the members must elect a leader without waiting
// for the election timeout.
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
            EXPECT_EQ(member.appliedIndex, group.appliedEntries.rbegin()->first);
        EXPECT_EQ(violationsOf(group), "");
    }
}

// All members except the leader restart. The restarted members must not start an election,
// because the leader still leads.
TEST(Quorum, ARestartedMajorityKeepsTheLeader)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t leaderIndex = *group.leader();
    const auto term = group.members[leaderIndex].quorum->term();
    for (std::size_t i = 0; i < kMembers; ++i) {
        if (i == leaderIndex)
            continue;
        group.crash(i);
        group.start(i, false);
    }
    group.run(3s);
    EXPECT_EQ(group.leader(), leaderIndex);
    EXPECT_EQ(group.members[leaderIndex].quorum->term(), term);
    EXPECT_EQ(violationsOf(group), "");
}

TEST(Quorum, AnIsolatedLeaderStepsDownAndRejoinsWithoutAnElection)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t oldLeader = *group.leader();
    group.partitionSide = { oldLeader };
    group.run(4s);
    EXPECT_FALSE(group.members[oldLeader].quorum->leadingTerm(group.localTime(oldLeader)));
    EXPECT_FALSE(group.propose(oldLeader, "lost"));
    const std::size_t newLeader = *group.leader();
    const auto term = group.members[newLeader].quorum->term();
    group.run(30s);
    group.partitionSide.clear();
    group.run(3s);
    EXPECT_EQ(group.leader(), newLeader);
    EXPECT_EQ(group.members[newLeader].quorum->term(), term);
    EXPECT_EQ(violationsOf(group), "");
}

TEST(Quorum, AMemberWithAnEmptyDataFolderNeitherVotesNorBootstrapsASecondGroup)
{
    Group group(kMembers);
    group.run(4s);
    for (std::size_t i = 2; i < kMembers; ++i)
        group.crash(i);
    group.loseDataFolder(0);
    group.loseDataFolder(1);
    group.run(kSettleTime);
    EXPECT_FALSE(group.leader());
    EXPECT_FALSE(group.members[0].quorum->mayVote());
    EXPECT_EQ(group.members[0].durableState.cluster, 0U);
}

TEST(Quorum, AMemberRestoredFromAnOldCopyDoesNotVoteUntilItHasCaughtUp)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t leaderIndex = *group.leader();
    const std::size_t restored = (leaderIndex + 1) % kMembers;
    const std::size_t absent = (leaderIndex + 2) % kMembers;
    const QuorumPersistentState copy = group.members[restored].durableState;
    for (int i = 0; i < 5; ++i)
        group.propose(leaderIndex, "after the copy");
    group.run(3s);
    // Two members that have the new entries keep running. Their votes and the vote of the restored
    // member would be a majority.
    group.crash(leaderIndex);
    group.crash(absent);
    group.crash(restored);
    group.members[restored].durableState = copy;
    group.start(restored, false);
    group.run(kSettleTime);
    EXPECT_FALSE(group.members[restored].quorum->mayVote());
    EXPECT_FALSE(group.leader());
    group.start(absent, false);
    group.run(kSettleTime);
    EXPECT_TRUE(group.leader());
    EXPECT_TRUE(group.members[restored].quorum->mayVote());
    EXPECT_EQ(violationsOf(group), "");
}

TEST(Quorum, TwoCrashesRightAfterADataFolderReplacementLeaveAQuorum)
{
    Group group(kMembers);
    group.run(4s);
    const std::size_t replaced = (*group.leader() + 1) % kMembers;
    group.loseDataFolder(replaced);
    group.run(1s);
    group.addMembersWithLostFolderAgain();
    const auto &members = group.members[*group.leader()].quorum->members().members;
    EXPECT_EQ(members.size(), kMembers);
    EXPECT_TRUE(group.members[replaced].quorum->mayVote());
    group.crash((replaced + 1) % kMembers);
    group.crash((replaced + 2) % kMembers);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    EXPECT_TRUE(group.propose(*group.leader(), "after two losses"));
    group.run(500ms);
    EXPECT_EQ(group.members[replaced].appliedIndex, group.appliedEntries.rbegin()->first);
    EXPECT_EQ(violationsOf(group), "");
}

/// Member 1 of a group of three, with the given log entries and term. The member is a voter of the
/// group and was started with `isFresh`: the data folder counts as new, not as an older copy, so
/// the member votes without first asking a majority for the folder's watermark. The tests pass
/// single messages from members 2 and 3.
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
        this->quorum = std::make_unique<Quorum>(QuorumOptions{ .endpoint = endpointOf(1) },
                                                persistent, true, 1, this->now);
    }

    /// Header of a message from the member with data folder `folder` in `term`.
    static QuorumHeader headerFrom(std::uint64_t folder, std::uint64_t term)
    {
        return {
            .cluster = 9, .folder = folder, .to = 1, .endpoint = endpointOf(folder), .term = term
        };
    }

    /// Returns the messages of one type sent since the last call, and drops all other actions.
    template <class Message> std::vector<Message> takeSent()
    {
        std::vector<Message> found;
        for (const QuorumAction &action : this->quorum->takeActions()) {
            if (const auto *send = std::get_if<SendQuorumMessage>(&action)) {
                if (const auto *message = std::get_if<Message>(&send->message))
                    found.push_back(*message);
            }
        }
        return found;
    }

    TimePoint now{ TimePoint{} + 100s };
    std::unique_ptr<Quorum> quorum;
};

TEST(Quorum, AnEntryOfAnEarlierTermIsCommittedOnlyWithAnEntryOfTheCurrentTerm)
{
    SingleMember member({ { .term = 1, .index = 2, .payload = "earlier" } }, 1);
    member.now += 5s;
    member.quorum->tick(member.now);
    member.quorum->receive(member.now, VoteReply{ .header = SingleMember::headerFrom(2, 1),
                                                  .isPreVote = true,
                                                  .forTerm = 2,
                                                  .granted = true });
    member.quorum->receive(
            member.now,
            VoteReply{ .header = SingleMember::headerFrom(2, 2), .forTerm = 2, .granted = true });
    ASSERT_TRUE(member.quorum->leadingTerm(member.now));
    const auto requests = member.takeSent<AppendRequest>();
    ASSERT_FALSE(requests.empty());
    AppendReply reply{ .header = SingleMember::headerFrom(2, 2),
                       .success = true,
                       .index = 2,
                       .round = requests.back().round };
    member.quorum->receive(member.now, reply);
    EXPECT_EQ(member.quorum->commitIndex(), 1U);
    reply.index = 3;
    member.quorum->receive(member.now, reply);
    EXPECT_EQ(member.quorum->commitIndex(), 3U);
}

TEST(Quorum, NoVoteIsGrantedWithinTheElectionTimeoutAfterALeaderMessage)
{
    SingleMember member({}, 2);
    member.now += 5s;
    member.quorum->receive(member.now, AppendRequest{ .header = SingleMember::headerFrom(2, 2),
                                                      .prevTerm = 1,
                                                      .prevIndex = 1 });
    for (const bool isPreVote : { true, false }) {
        for (const Milliseconds after : { 799ms, 801ms }) {
            member.takeSent<VoteReply>();
            member.quorum->receive(member.now + after,
                                   VoteRequest{ .header = SingleMember::headerFrom(3, 3),
                                                .isPreVote = isPreVote,
                                                .lastTerm = 2,
                                                .lastIndex = 5 });
            const auto replies = member.takeSent<VoteReply>();
            ASSERT_EQ(replies.size(), 1U);
            EXPECT_EQ(replies.front().granted, after > 800ms) << isPreVote;
        }
    }
}

// Repeats the random test for the number of seconds in the environment variable
// EGRET_FUZZ_SECONDS, each time with the next seed. Without the variable, runs nothing.
TEST(Quorum, AgreesUnderRandomStepsForTheFuzzDuration)
{
    const char *seconds = std::getenv("EGRET_FUZZ_SECONDS");
    if (seconds == nullptr)
        return;
    const auto end = std::chrono::steady_clock::now() + Seconds(std::atoi(seconds));
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    for (; std::chrono::steady_clock::now() < end; ++params.seed) {
        const auto result =
                rc::detail::checkTestable(checkRandomSteps, rc::detail::TestMetadata{}, params);
        rc::detail::SuccessResult success;
        ASSERT_TRUE(result.template is<rc::detail::SuccessResult>())
                << "replay with RC_PARAMS=\"seed=" << params.seed << "\"";
    }
}
