#include "member_network.h"

#include <gtest/gtest.h>

using namespace egret;
using RunState = MemberNetwork::RunState;

namespace {

constexpr std::size_t kMemberCount = 8;

/// Required time limits after a crash: until the first member suspects the crashed member, and
/// until every member has declared the crashed member dead.
constexpr Milliseconds kSuspicionTimeLimit = 2500ms;
constexpr Milliseconds kDeadTimeLimit = 6s;

/// True when `expected` equals seesLive(observer, subject) for every other running member as
/// observer.
bool allSeeLive(const MemberNetwork &network, std::size_t subject, bool expected)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        if (i != subject && network.nodes[i].runState == RunState::up
            && network.seesLive(i, subject) != expected)
            return false;
    }
    return true;
}

/// True when any other member has a record of `subject` with a state other than alive.
bool anySeesNotAlive(const MemberNetwork &network, std::size_t subject)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        const auto record = i == subject ? std::nullopt : network.recordAt(i, subject);
        if (record && record->state != MemberState::alive)
            return true;
    }
    return false;
}

/// True when every running member sees every other running member as live.
bool allSeeEachOther(const MemberNetwork &network)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        if (network.nodes[i].runState == RunState::up && !allSeeLive(network, i, true))
            return false;
    }
    return true;
}

/// A network in which all members have discovered each other.
struct ConvergedNetwork : MemberNetwork
{
    explicit ConvergedNetwork(std::uint64_t seed, std::size_t memberCount = kMemberCount)
        : MemberNetwork(memberCount, seed)
    {
        this->run(15s);
    }
};

} // namespace

TEST(Membership, DiscoversAllMembersFromSeeds)
{
    EXPECT_TRUE(allSeeEachOther(ConvergedNetwork(1)));
    EXPECT_TRUE(allSeeEachOther(ConvergedNetwork(2, 40)));
}

TEST(Membership, CrashedMemberIsSuspectedAndDeclaredDeadWithinTheLimits)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConvergedNetwork network(seed);
        network.nodes[3].runState = RunState::down;
        network.run(kSuspicionTimeLimit);
        EXPECT_TRUE(anySeesNotAlive(network, 3)) << "seed " << seed;
        network.run(kDeadTimeLimit - kSuspicionTimeLimit);
        EXPECT_TRUE(allSeeLive(network, 3, false)) << "seed " << seed;
    }
}

TEST(Membership, RestartedMemberReplacesItsPredecessor)
{
    ConvergedNetwork network(4);
    network.start(3);
    network.run(5s);
    EXPECT_TRUE(allSeeLive(network, 3, true));
    EXPECT_EQ(network.recordAt(0, 3)->incarnation, network.nodes[3].incarnation);
}

TEST(Membership, TenPercentLossCausesNoSuspicion)
{
    ConvergedNetwork network(5, 20);
    network.lossProbability = 0.1;
    network.duplicateProbability = 0.05;
    network.isReordering = true;
    std::uint64_t falseDeathCount = 0;
    for (int second = 0; second < 300; ++second) {
        network.run(1s);
        for (std::size_t i = 0; i < network.nodes.size(); ++i)
            falseDeathCount += allSeeLive(network, i, true) ? 0 : 1;
    }
    EXPECT_EQ(falseDeathCount, 0U);
    EXPECT_EQ(network.suspicionCount(), 0U);
}

TEST(Membership, CutOffInstanceSuspectsNobody)
{
    for (const bool blocksOutgoing : { true, false }) {
        ConvergedNetwork network(6);
        for (std::size_t i = 0; i < kMemberCount; ++i)
            network.blockedPaths.insert(blocksOutgoing ? std::pair(std::size_t{ 2 }, i)
                                                       : std::pair(i, std::size_t{ 2 }));
        network.run(20s);
        EXPECT_EQ(network.nodes[2].membership->suspicionsRaised(), 0U);
        EXPECT_TRUE(network.nodes[2].membership->isCutOff());
        EXPECT_TRUE(allSeeLive(network, 2, false));
        network.blockedPaths.clear();
        network.run(15s);
        EXPECT_TRUE(allSeeEachOther(network));
        EXPECT_FALSE(network.nodes[2].membership->isCutOff());
    }
}

TEST(Membership, IndirectProbesAvoidSuspicionWhenOnePathIsBlocked)
{
    ConvergedNetwork network(7);
    network.blockedPaths = { { 1, 2 }, { 2, 1 } };
    network.run(60s);
    EXPECT_TRUE(allSeeEachOther(network));
    EXPECT_EQ(network.suspicionCount(), 0U);
}

TEST(Membership, ResumedProcessWithAStaleTableSuspectsNobody)
{
    ConvergedNetwork network(8);
    network.nodes[5].runState = RunState::paused;
    network.run(30s);
    network.nodes[6].runState = RunState::down;
    network.run(30s);
    EXPECT_TRUE(allSeeLive(network, 5, false));
    network.nodes[5].runState = RunState::up;
    network.run(10s);
    EXPECT_TRUE(allSeeEachOther(network));
    EXPECT_EQ(network.nodes[5].membership->suspicionsRaised(), 0U);
    EXPECT_TRUE(allSeeLive(network, 6, false));
}

TEST(Membership, BothSidesOfAPartitionRejoin)
{
    ConvergedNetwork network(9);
    for (std::size_t i = 0; i < 3; ++i) {
        for (std::size_t j = 3; j < kMemberCount; ++j)
            network.blockedPaths.insert({ { i, j }, { j, i } });
    }
    network.run(60s);
    EXPECT_TRUE(network.seesLive(0, 2));
    EXPECT_FALSE(network.seesLive(0, 5));
    EXPECT_FALSE(network.seesLive(5, 0));
    network.blockedPaths.clear();
    network.run(20s);
    EXPECT_TRUE(allSeeEachOther(network));
}

TEST(Membership, DelayedOldRecordDoesNotReviveALeftMember)
{
    ConvergedNetwork network(10);
    const MemberRecord aliveRecord = *network.recordAt(0, 4);
    network.leave(4);
    network.run(2s);
    EXPECT_EQ(network.recordAt(0, 4)->state, MemberState::left);
    // A delayed datagram carries a record from before the departure, with a higher refutation.
    MemberRecord oldRecord = aliveRecord;
    oldRecord.refutation = 7;
    MemberPing ping{ .receiverIncarnation = network.nodes[0].incarnation,
                     .updates = { oldRecord } };
    ping.self = network.nodes[1].membership->self();
    network.deliver(
            { .from = 1, .to = 0, .incarnation = network.nodes[1].incarnation, .message = ping });
    network.run(5s);
    EXPECT_TRUE(allSeeLive(network, 4, false));
    network.start(4);
    network.run(5s);
    EXPECT_TRUE(allSeeLive(network, 4, true));
}

TEST(Membership, ReplayedDatagramsChangeNothingAfterARestart)
{
    ConvergedNetwork network(11);
    const auto replayedPackets = network.recordedPackets;
    network.nodes[4].runState = RunState::down;
    network.run(10s);
    network.start(0);
    for (const auto &packet : replayedPackets) {
        if (packet.to == 0)
            network.deliver(packet);
    }
    EXPECT_TRUE(network.nodes[0].membership->members().empty());
    network.run(10s);
    EXPECT_FALSE(network.seesLive(0, 4));
}

TEST(Membership, IgnoresPingWhoseOwnRecordNamesAnotherInstance)
{
    ConvergedNetwork network(12);
    MemberPing ping{ .receiverIncarnation = network.nodes[0].incarnation };
    ping.self = *network.recordAt(0, 2);
    ping.self.state = MemberState::left;
    network.deliver(
            { .from = 1, .to = 0, .incarnation = network.nodes[1].incarnation, .message = ping });
    EXPECT_EQ(network.recordAt(0, 2)->state, MemberState::alive);
}

TEST(Membership, MemberRestartedAfterTheClockWasSetBackRejoins)
{
    ConvergedNetwork network(13);
    network.nodes[3].incarnation = 0;
    network.start(3);
    network.run(10s);
    EXPECT_TRUE(allSeeLive(network, 3, true));
    EXPECT_TRUE(allSeeEachOther(network));
}

TEST(Membership, RemovesDeadMembersAfterTheRetention)
{
    ConvergedNetwork network(14, 3);
    network.nodes[2].runState = RunState::down;
    network.run(10s);
    EXPECT_TRUE(network.recordAt(0, 2).has_value());
    network.run(7210s);
    EXPECT_FALSE(network.recordAt(0, 2).has_value());
}
