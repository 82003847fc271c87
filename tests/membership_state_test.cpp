#include "fuzz.h"
#include "member_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/state.h>

#include <tuple>

using namespace egret;
using RunState = MemberNetwork::RunState;

namespace {

constexpr std::size_t kMemberCount = 5;
constexpr Seconds kConvergenceTime = 40s;

/// Oracle: the expected run state of every member. Messages are not modeled.
struct Model
{
    std::array<RunState, kMemberCount> runStates{};

    std::size_t runningCount() const
    {
        return static_cast<std::size_t>(std::ranges::count(this->runStates, RunState::up));
    }
};

/// Rank of a record in the total order of supersedes().
using Rank = std::tuple<std::uint64_t, bool, std::uint32_t, MemberState>;

/// System under test.
struct Sut
{
    explicit Sut(std::uint64_t seed) : network(kMemberCount, seed) { this->network.run(15s); }

    /// Runs the network and calls checkMonotonic() after each step.
    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += MemberNetwork::kStep) {
            this->network.step();
            this->checkMonotonic();
        }
    }

    /// Checks that no running process has replaced a record by a lower-ranked record.
    void checkMonotonic()
    {
        for (std::size_t i = 0; i < kMemberCount; ++i) {
            for (std::size_t j = 0; j < kMemberCount; ++j) {
                const auto record = this->network.recordAt(i, j);
                if (i == j || !record)
                    continue;
                const Rank rank{ record->incarnation, record->state == MemberState::left,
                                 record->refutation, record->state };
                auto &lastRank = this->lastRanks[{ i, this->network.nodes[i].incarnation, j }];
                RC_ASSERT(!(rank < lastRank));
                lastRank = rank;
            }
        }
    }

    /// True when no seed runs, and two running members have never heard of each other: they were
    /// started when no seed was left to answer, so nobody can tell them.
    bool hasStrangers() const
    {
        const auto isUp = [this](std::size_t i) {
            return this->network.nodes[i].runState == RunState::up;
        };
        for (std::size_t i = 0; i < kMemberCount && !isUp(0) && !isUp(1); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (isUp(i) && isUp(j) && !this->network.recordAt(i, j)
                    && !this->network.recordAt(j, i))
                    return true;
            }
        }
        return false;
    }

    /// Ends loss, blocked paths and pauses, and checks that every running member sees exactly the
    /// running members as live.
    void checkConvergence(const Model &model)
    {
        this->network.blockedPaths.clear();
        this->network.lossProbability = 0;
        for (std::size_t i = 0; i < kMemberCount; ++i) {
            if (model.runStates[i] == RunState::paused)
                this->network.nodes[i].runState = RunState::up;
        }
        this->run(kConvergenceTime);
        if (this->hasStrangers()) {
            this->network.start(0);
            this->run(kConvergenceTime);
        }
        for (std::size_t i = 0; i < kMemberCount; ++i) {
            if (this->network.nodes[i].runState != RunState::up)
                continue;
            for (std::size_t j = 0; j < kMemberCount; ++j) {
                if (i != j)
                    RC_ASSERT(this->network.seesLive(i, j)
                              == (this->network.nodes[j].runState == RunState::up));
            }
        }
    }

    MemberNetwork network;
    /// Last seen rank of each record, by observer, incarnation of the observer, and subject.
    std::map<std::tuple<std::size_t, std::uint64_t, std::size_t>, Rank> lastRanks;
};

using Command = rc::state::Command<Model, Sut>;

/// Lets time pass with new probabilities of loss and duplicates, with or without reordering.
struct Advance : Command
{
    int stepCount = *rc::gen::inRange(1, 200);
    double lossProbability = *rc::gen::element(0.0, 0.1, 0.5);
    double duplicateProbability = *rc::gen::element(0.0, 0.3);
    bool isReordering = *rc::gen::arbitrary<bool>();

    void run(const Model &, Sut &sut) const override
    {
        sut.network.lossProbability = this->lossProbability;
        sut.network.duplicateProbability = this->duplicateProbability;
        sut.network.isReordering = this->isReordering;
        sut.run(this->stepCount * MemberNetwork::kStep);
    }
    void show(std::ostream &os) const override
    {
        os << "Advance(" << this->stepCount << ", loss " << this->lossProbability << ")";
    }
};

/// Starts, stops, pauses or resumes one member, or makes the member leave.
struct ChangeRunState : Command
{
    std::size_t member = *rc::gen::inRange<std::size_t>(0, kMemberCount);
    RunState newState =
            *rc::gen::element(RunState::up, RunState::down, RunState::paused, RunState::left);

    void checkPreconditions(const Model &model) const override
    {
        const RunState oldState = model.runStates[this->member];
        RC_PRE(oldState != this->newState);
        RC_PRE(this->newState == RunState::up || model.runningCount() > 2);
        RC_PRE(this->newState == RunState::up || oldState == RunState::up);
    }
    void apply(Model &model) const override { model.runStates[this->member] = this->newState; }
    void run(const Model &model, Sut &sut) const override
    {
        if (this->newState == RunState::left)
            sut.network.leave(this->member);
        else if (this->newState == RunState::up
                 && model.runStates[this->member] != RunState::paused)
            sut.network.start(this->member);
        else
            sut.network.nodes[this->member].runState = this->newState;
    }
    void show(std::ostream &os) const override
    {
        os << "ChangeRunState(" << this->member << " to " << static_cast<int>(this->newState)
           << ")";
    }
};

/// Blocks one direction of a path, or unblocks all paths.
struct ChangePaths : Command
{
    std::size_t sender = *rc::gen::inRange<std::size_t>(0, kMemberCount);
    std::size_t receiver = *rc::gen::inRange<std::size_t>(0, kMemberCount);
    bool unblocksAll = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });

    void run(const Model &, Sut &sut) const override
    {
        if (this->unblocksAll)
            sut.network.blockedPaths.clear();
        else
            sut.network.blockedPaths.insert({ this->sender, this->receiver });
    }
    void show(std::ostream &os) const override
    {
        os << (this->unblocksAll ? "UnblockAllPaths" : "BlockPath") << "(" << this->sender << ","
           << this->receiver << ")";
    }
};

/// Delivers one of the first datagrams of the run again.
struct Replay : Command
{
    std::size_t packetIndex = *rc::gen::inRange<std::size_t>(0, 200);

    void run(const Model &, Sut &sut) const override
    {
        const auto &recordedPackets = sut.network.recordedPackets;
        if (!recordedPackets.empty())
            sut.network.deliver(recordedPackets[this->packetIndex % recordedPackets.size()]);
        sut.checkMonotonic();
    }
    void show(std::ostream &os) const override { os << "Replay(" << this->packetIndex << ")"; }
};

void checkRandomCommands(std::uint64_t seed)
{
    Model initial;
    initial.runStates.fill(RunState::up);
    Sut sut(seed);
    const auto commands = *rc::state::gen::commands(
            initial, rc::state::gen::execOneOfWithArgs<Advance, Advance, ChangeRunState,
                                                       ChangePaths, Replay>());
    rc::state::runAll(commands, initial, sut);
    Model model = initial;
    for (const auto &command : commands)
        command->apply(model);
    sut.checkConvergence(model);
}

} // namespace

TEST(MembershipState, AgreesWithTheOracleAfterFaultsEnd)
{
    fuzz([] { checkRandomCommands(*rc::gen::arbitrary<std::uint64_t>()); });
}
