#include "member_network.h"

#include <gtest/gtest.h>

using namespace egret;
using Run = MemberNetwork::Run;

namespace {

constexpr std::size_t kMembers = 8;

/// Required time limits from a crash to the first suspicion and to dead at every member.
constexpr Milliseconds kSuspectBound = 2500ms;
constexpr Milliseconds kDeadBound = 6s;

bool allSee(const MemberNetwork &network, std::size_t subject, bool live)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        if (i != subject && network.nodes[i].run == Run::up && network.seesLive(i, subject) != live)
            return false;
    }
    return true;
}

bool anySuspects(const MemberNetwork &network, std::size_t subject)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        const auto record = i == subject ? std::nullopt : network.recordAt(i, subject);
        if (record && record->state != MemberState::alive)
            return true;
    }
    return false;
}

/// True when every running member sees every other running member as live.
bool allAgree(const MemberNetwork &network)
{
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        if (network.nodes[i].run == Run::up && !allSee(network, i, true))
            return false;
    }
    return true;
}

/// A network in which all members have discovered each other.
struct ConvergedNetwork : MemberNetwork
{
    explicit ConvergedNetwork(std::uint64_t seed, std::size_t count = kMembers)
        : MemberNetwork(count, seed)
    {
        this->run(15s);
    }
};

} // namespace

TEST(Membership, DiscoversAllMembersFromSeeds)
{
    EXPECT_TRUE(allAgree(ConvergedNetwork(1)));
    EXPECT_TRUE(allAgree(ConvergedNetwork(2, 40)));
}

TEST(Membership, SuspectsACrashedMemberAndDeclaresItDeadInTime)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConvergedNetwork network(seed);
        network.nodes[3].run = Run::down;
        network.run(kSuspectBound);
        EXPECT_TRUE(anySuspects(network, 3)) << "seed " << seed;
        network.run(kDeadBound - kSuspectBound);
        EXPECT_TRUE(allSee(network, 3, false)) << "seed " << seed;
    }
}

TEST(Membership, RestartedMemberReplacesItsPredecessor)
{
    ConvergedNetwork network(4);
    network.start(3);
    network.run(5s);
    EXPECT_TRUE(allSee(network, 3, true));
    EXPECT_EQ(network.recordAt(0, 3)->incarnation, network.nodes[3].incarnation);
}

TEST(Membership, DoesNotFlapUnderTenPercentLoss)
{
    ConvergedNetwork network(5, 20);
    network.loss = 0.1;
    network.duplicates = 0.05;
    network.reorders = true;
    std::uint64_t deaths = 0;
    for (int second = 0; second < 300; ++second) {
        network.run(1s);
        for (std::size_t i = 0; i < network.nodes.size(); ++i)
            deaths += allSee(network, i, true) ? 0 : 1;
    }
    EXPECT_EQ(deaths, 0U);
    EXPECT_EQ(network.suspicions(), 0U);
}

TEST(Membership, CutOffInstanceSuspectsNobody)
{
    for (const bool losesOutgoing : { true, false }) {
        ConvergedNetwork network(6);
        for (std::size_t i = 0; i < kMembers; ++i)
            network.blockedPaths.insert(losesOutgoing ? std::pair(std::size_t{ 2 }, i)
                                                      : std::pair(i, std::size_t{ 2 }));
        network.run(20s);
        EXPECT_EQ(network.nodes[2].machine->suspicionsRaised(), 0U);
        EXPECT_TRUE(network.nodes[2].machine->isCutOff());
        EXPECT_TRUE(allSee(network, 2, false));
        network.blockedPaths.clear();
        network.run(15s);
        EXPECT_TRUE(allAgree(network));
        EXPECT_FALSE(network.nodes[2].machine->isCutOff());
    }
}

TEST(Membership, IndirectProbesCoverOneBrokenPath)
{
    ConvergedNetwork network(7);
    network.blockedPaths = { { 1, 2 }, { 2, 1 } };
    network.run(60s);
    EXPECT_TRUE(allAgree(network));
    EXPECT_EQ(network.suspicions(), 0U);
}

TEST(Membership, ResumedProcessWithAStaleTableSuspectsNobody)
{
    ConvergedNetwork network(8);
    network.nodes[5].run = Run::paused;
    network.run(30s);
    network.nodes[6].run = Run::down;
    network.run(30s);
    EXPECT_TRUE(allSee(network, 5, false));
    network.nodes[5].run = Run::up;
    network.run(10s);
    EXPECT_TRUE(allAgree(network));
    EXPECT_EQ(network.nodes[5].machine->suspicionsRaised(), 0U);
    EXPECT_TRUE(allSee(network, 6, false));
}

TEST(Membership, BothSidesOfAPartitionRejoin)
{
    ConvergedNetwork network(9);
    for (std::size_t i = 0; i < 3; ++i) {
        for (std::size_t j = 3; j < kMembers; ++j)
            network.blockedPaths.insert({ { i, j }, { j, i } });
    }
    network.run(60s);
    EXPECT_TRUE(network.seesLive(0, 2));
    EXPECT_FALSE(network.seesLive(0, 5));
    EXPECT_FALSE(network.seesLive(5, 0));
    network.blockedPaths.clear();
    network.run(20s);
    EXPECT_TRUE(allAgree(network));
}

TEST(Membership, LateRecordDoesNotReviveALeftMember)
{
    ConvergedNetwork network(10);
    const MemberRecord before = *network.recordAt(0, 4);
    network.leave(4);
    network.run(2s);
    EXPECT_EQ(network.recordAt(0, 4)->state, MemberState::left);
    // A late datagram carries an old record, but with a higher refutation.
    MemberRecord late = before;
    late.refutation = 7;
    MemberPing ping{ .receiverIncarnation = network.nodes[0].incarnation, .updates = { late } };
    ping.self = network.nodes[1].machine->self();
    network.deliver(
            { .from = 1, .to = 0, .incarnation = network.nodes[1].incarnation, .message = ping });
    network.run(5s);
    EXPECT_TRUE(allSee(network, 4, false));
    network.start(4);
    network.run(5s);
    EXPECT_TRUE(allSee(network, 4, true));
}

TEST(Membership, RecordedDatagramsChangeNothingAfterARestart)
{
    ConvergedNetwork network(11);
    const auto recorded = network.recorded;
    network.nodes[4].run = Run::down;
    network.run(10s);
    network.start(0);
    for (const auto &packet : recorded) {
        if (packet.to == 0)
            network.deliver(packet);
    }
    EXPECT_TRUE(network.nodes[0].machine->members().empty());
    network.run(10s);
    EXPECT_FALSE(network.seesLive(0, 4));
}

TEST(Membership, SenderCannotReportAnothersRecordAsItsOwn)
{
    ConvergedNetwork network(12);
    MemberPing ping{ .receiverIncarnation = network.nodes[0].incarnation };
    ping.self = *network.recordAt(0, 2);
    ping.self.state = MemberState::left;
    network.deliver(
            { .from = 1, .to = 0, .incarnation = network.nodes[1].incarnation, .message = ping });
    EXPECT_EQ(network.recordAt(0, 2)->state, MemberState::alive);
}

TEST(Membership, RestartAfterTheClockWasSetBackRejoins)
{
    ConvergedNetwork network(13);
    network.nodes[3].incarnation = 0;
    network.start(3);
    network.run(10s);
    EXPECT_TRUE(allSee(network, 3, true));
    EXPECT_TRUE(allAgree(network));
}

TEST(Membership, RemovesDeadMembersAfterTheRetention)
{
    ConvergedNetwork network(14, 3);
    network.nodes[2].run = Run::down;
    network.run(10s);
    EXPECT_TRUE(network.recordAt(0, 2).has_value());
    network.run(7210s);
    EXPECT_FALSE(network.recordAt(0, 2).has_value());
}
