#include "quorum_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace egret;

namespace {

constexpr std::size_t kMembers = 5;

/// QuorumGroup checks its own invariants; the stateful test needs no model state.
struct Model
{
};

/// One random event of the stateful test. `kind` selects the event in `run`; an event with
/// several case labels is more frequent. Depending on the event, `parameter` selects a duration,
/// a payload, the number of actions executed before a crash, the second member on one side of a
/// partition, a number of messages, or one of two events.
struct Step : rc::state::Command<Model, QuorumGroup>
{
    int kind{ *rc::gen::inRange(0, 16) };
    std::size_t targetMember{ *rc::gen::inRange<std::size_t>(0, kMembers) };
    std::size_t parameter{ *rc::gen::inRange<std::size_t>(0, 40) };

    void run(const Model &, QuorumGroup &group) const override
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

/// With `hasSlowDisks`, the disk of each member takes up to 450 ms for a sync.
void checkRandomSteps(bool hasSlowDisks)
{
    QuorumGroup group(kMembers, *rc::gen::arbitrary<std::uint32_t>());
    if (hasSlowDisks) {
        for (SimulatedMember &member : group.members)
            member.syncTime = kTimeStep * (group.random() % 46);
    }
    group.run(4s);
    rc::state::check(Model{}, group, rc::state::gen::execOneOfWithArgs<Step>());
    group.recoverAndCheck();
    RC_ASSERT(group.violations == std::vector<std::string>{});
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
        for (const QuorumAction &action : takeSyncedActions(*this->quorum, this->now)) {
            if (const auto *send = std::get_if<SendQuorumMessage>(&action)) {
                if (const auto *message = std::get_if<Message>(&send->message))
                    found.push_back(*message);
            }
        }
        return found;
    }

    /// Lets the member win the election of term 2 with the votes of member 2.
    void lead()
    {
        this->now += 5s;
        this->quorum->tick(this->now);
        for (const bool isPreVote : { true, false }) {
            this->quorum->receive(this->now, VoteReply{ .header = headerFrom(2, isPreVote ? 1 : 2),
                                                        .isPreVote = isPreVote,
                                                        .forTerm = 2,
                                                        .granted = true });
            for (const AppendRequest &request : this->takeSent<AppendRequest>())
                this->lastRound = std::max(this->lastRound, request.round);
        }
    }

    TimePoint now{ TimePoint{} + 100s };
    std::uint64_t lastRound{ 0 }; ///< latest round of the requests seen by `lead` or by a test
    std::unique_ptr<Quorum> quorum;
};

} // namespace

RC_GTEST_PROP(Quorum, AgreesUnderCrashesLossAndPartitions, ())
{
    checkRandomSteps(false);
}

// Guards against promises that no disk holds: votes and entries whose sync has not ended at a
// crash.
RC_GTEST_PROP(Quorum, AgreesUnderCrashesWhileDisksAreSlow, ())
{
    checkRandomSteps(true);
}

// Guards against a group that finds no leader, or loses it under load, because its disks are slow.
TEST(Quorum, ALeaderLastsWhileSyncsTakeHalfAnElectionTimeout)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        QuorumGroup group(3, seed);
        for (SimulatedMember &member : group.members)
            member.syncTime = 400ms;
        group.run(10s);
        ASSERT_TRUE(group.leader()) << "seed " << seed;
        const std::size_t leaderIndex = *group.leader();
        const auto term = group.members[leaderIndex].quorum->term();
        for (int change = 0; change < 200; ++change) {
            ASSERT_TRUE(group.propose(leaderIndex, "change")) << "seed " << seed;
            group.run(50ms);
        }
        group.run(2s);
        EXPECT_EQ(group.members[leaderIndex].quorum->term(), term) << "seed " << seed;
        for (const SimulatedMember &member : group.members)
            EXPECT_GE(member.appliedIndex, 200U) << "seed " << seed;
        EXPECT_EQ(violationsOf(group), "");
    }
}

// Guards against changes that wait for the end of a full disk although a majority has room.
TEST(Quorum, ChangesAreCommittedWhileOneDiskAfterAnotherIsFull)
{
    QuorumGroup group(3);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    const std::size_t leaderIndex = *group.leader();
    const auto term = group.members[leaderIndex].quorum->term();
    for (SimulatedMember &member : group.members) {
        member.syncTime = 1h;
        for (int change = 0; change < 20; ++change) {
            ASSERT_TRUE(group.propose(leaderIndex, "change"));
            group.run(100ms);
        }
        for (const SimulatedMember &each : group.members)
            EXPECT_EQ(each.appliedIndex, group.members[leaderIndex].quorum->lastIndex());
        member.syncTime = 0ms;
        for (UnsyncedJob &job : member.unsyncedJobs)
            job.dueAt = 0ms;
        group.run(50ms);
        EXPECT_TRUE(member.unsyncedJobs.empty());
    }
    EXPECT_EQ(group.members[leaderIndex].quorum->term(), term);
    EXPECT_EQ(violationsOf(group), "");
}

// Guards against a follower that gets the tail of the log once for each message that it refused.
TEST(Quorum, ManyRefusalsOfOneGapSendTheEntriesOnce)
{
    SingleMember leader({ { .term = 1, .index = 2, .payload = std::string(1000, 'x') } }, 1);
    leader.lead();
    AppendReply refusal{ .header = SingleMember::headerFrom(3, 2), .index = 1 };
    std::vector<std::uint64_t> rounds;
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        leader.now += 100ms;
        leader.quorum->receive(leader.now, AppendReply{ .header = SingleMember::headerFrom(2, 2),
                                                        .success = true,
                                                        .index = 3,
                                                        .round = leader.lastRound });
        leader.quorum->tick(leader.now);
        for (const AppendRequest &request : leader.takeSent<AppendRequest>())
            leader.lastRound = std::max(leader.lastRound, request.round);
        rounds.push_back(leader.lastRound);
    }
    std::size_t sentEntries = 0;
    for (const std::uint64_t round : rounds) {
        refusal.round = round;
        leader.quorum->receive(leader.now, refusal);
        for (const AppendRequest &request : leader.takeSent<AppendRequest>())
            sentEntries += request.header.to == 3 ? request.entries.size() : 0;
    }
    EXPECT_EQ(sentEntries, 2U) << "the entry and the first one of the term";
}

// Guards against a follower that is sent entries without bound while it stands still.
TEST(Quorum, AFollowerThatDoesNotAnswerGetsFewBytes)
{
    SingleMember leader({}, 1);
    leader.lead();
    constexpr std::size_t payloadBytes = 1U << 20U;
    std::size_t sentBytes = 0;
    for (std::uint64_t change = 0; change < 40; ++change) {
        leader.now += 20ms;
        ASSERT_TRUE(leader.quorum->propose(leader.now, { std::string(payloadBytes, 'x') }));
        leader.quorum->receive(leader.now, AppendReply{ .header = SingleMember::headerFrom(2, 2),
                                                        .success = true,
                                                        .index = leader.quorum->lastIndex(),
                                                        .round = leader.lastRound });
        leader.quorum->tick(leader.now);
        for (const AppendRequest &request : leader.takeSent<AppendRequest>()) {
            leader.lastRound = std::max(leader.lastRound, request.round);
            if (request.header.to == 3)
                sentBytes += request.entries.size() * payloadBytes;
        }
    }
    EXPECT_EQ(leader.quorum->commitIndex(), leader.quorum->lastIndex());
    EXPECT_LE(sentBytes, QuorumOptions{}.maxInFlightBytes + payloadBytes);
}

TEST(Quorum, FormsElectsAndCommits)
{
    QuorumGroup group(kMembers);
    group.run(4s);
    ASSERT_TRUE(group.leader());
    EXPECT_TRUE(group.propose(*group.leader(), "a"));
    group.run(500ms);
    for (const SimulatedMember &member : group.members)
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
        QuorumGroup group(kMembers, seed);
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
        for (const SimulatedMember &member : group.members)
            EXPECT_EQ(member.appliedIndex, group.appliedEntries.rbegin()->first);
        EXPECT_EQ(violationsOf(group), "");
    }
}

// All members except the leader restart. The restarted members must not start an election,
// because the leader still leads.
TEST(Quorum, ARestartedMajorityKeepsTheLeader)
{
    QuorumGroup group(kMembers);
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
    QuorumGroup group(kMembers);
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
    QuorumGroup group(kMembers);
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
    QuorumGroup group(kMembers);
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
    QuorumGroup group(kMembers);
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

// Guards against a log whose size is bounded by the number of its entries only.
TEST(Quorum, CompactionKeepsFewBytesOfCommittedEntries)
{
    QuorumPersistentState persistent{ .folder = 1, .cluster = 9, .term = 1 };
    persistent.snapshot.index = 1;
    persistent.snapshot.term = 1;
    persistent.snapshot.members.members = { { .folder = 1, .endpoint = "a", .voter = true } };
    TimePoint now = TimePoint{} + 100s;
    Quorum quorum(QuorumOptions{ .endpoint = "a", .trailingBytes = 1000 }, persistent, true, 1,
                  now);
    now += 5s;
    quorum.tick(now);
    takeSyncedActions(quorum, now);
    ASSERT_TRUE(quorum.leadingTerm(now));
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(quorum.propose(now, { std::string(300, 'x') }));
        takeSyncedActions(quorum, now);
    }
    quorum.compact("state");
    EXPECT_EQ(quorum.persistentState().entries.size(), 3U);
    EXPECT_EQ(quorum.lastIndex(), quorum.commitIndex());
    EXPECT_TRUE(quorum.propose(now, { "next" }));
}

TEST(Quorum, AnEntryOfAnEarlierTermIsCommittedOnlyWithAnEntryOfTheCurrentTerm)
{
    SingleMember member({ { .term = 1, .index = 2, .payload = "earlier" } }, 1);
    member.now += 5s;
    member.quorum->tick(member.now);
    member.quorum->receive(member.now, VoteReply{ .header = SingleMember::headerFrom(2, 1),
                                                  .isPreVote = true,
                                                  .forTerm = 2,
                                                  .granted = true });
    EXPECT_EQ(member.takeSent<VoteRequest>().size(), 4U) << "two of each vote";
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
        const auto result = rc::detail::checkTestable([] { checkRandomSteps(false); },
                                                      rc::detail::TestMetadata{}, params);
        rc::detail::SuccessResult success;
        ASSERT_TRUE(result.template is<rc::detail::SuccessResult>())
                << "replay with RC_PARAMS=\"seed=" << params.seed << "\"";
    }
}
