#include "fuzz.h"
#include "member_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/state.h>

#include <tuple>

using namespace egret;
using Run = MemberNetwork::Run;

namespace {

constexpr std::size_t kMembers = 5;
constexpr Seconds kSettleTime = 40s;

/// The oracle's state: which members run. The oracle does not model messages.
struct Model
{
    std::array<Run, kMembers> run{};

    std::size_t running() const
    {
        return static_cast<std::size_t>(std::ranges::count(this->run, Run::up));
    }
};

using Rank = std::tuple<std::uint64_t, bool, std::uint32_t, MemberState>;

struct Sut
{
    explicit Sut(std::uint64_t seed) : network(kMembers, seed) { this->network.run(15s); }

    /// Runs and checks that no known record is replaced by a lower one within one process.
    void run(Duration length)
    {
        for (Duration passed{}; passed < length; passed += MemberNetwork::kStep) {
            this->network.step();
            this->checkMonotonic();
        }
    }

    void checkMonotonic()
    {
        for (std::size_t i = 0; i < kMembers; ++i) {
            for (std::size_t j = 0; j < kMembers; ++j) {
                const auto record = this->network.recordAt(i, j);
                if (i == j || !record)
                    continue;
                const Rank rank{ record->incarnation, record->state == MemberState::left,
                                 record->refutation, record->state };
                auto &last = this->highest[{ i, this->network.nodes[i].incarnation, j }];
                RC_ASSERT(!(rank < last));
                last = rank;
            }
        }
    }

    /// Ends all faults and checks that every member's view matches the oracle.
    void settle(const Model &model)
    {
        this->network.blockedPaths.clear();
        this->network.loss = 0;
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (model.run[i] == Run::paused)
                this->network.nodes[i].run = Run::up;
        }
        this->run(kSettleTime);
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (this->network.nodes[i].run != Run::up)
                continue;
            for (std::size_t j = 0; j < kMembers; ++j) {
                if (i != j)
                    RC_ASSERT(this->network.seesLive(i, j)
                              == (this->network.nodes[j].run == Run::up));
            }
        }
    }

    MemberNetwork network;
    std::map<std::tuple<std::size_t, std::uint64_t, std::size_t>, Rank> highest;
};

using Command = rc::state::Command<Model, Sut>;

struct Advance : Command
{
    int steps = *rc::gen::inRange(1, 200);
    double loss = *rc::gen::element(0.0, 0.1, 0.5);
    double duplicates = *rc::gen::element(0.0, 0.3);
    bool reorders = *rc::gen::arbitrary<bool>();

    void run(const Model &, Sut &sut) const override
    {
        sut.network.loss = this->loss;
        sut.network.duplicates = this->duplicates;
        sut.network.reorders = this->reorders;
        sut.run(this->steps * MemberNetwork::kStep);
    }
    void show(std::ostream &os) const override
    {
        os << "Advance(" << this->steps << ", loss " << this->loss << ")";
    }
};

/// Starts, stops, pauses or resumes one member, or lets it leave.
struct Change : Command
{
    std::size_t who = *rc::gen::inRange<std::size_t>(0, kMembers);
    Run to = *rc::gen::element(Run::up, Run::down, Run::paused, Run::left);

    void checkPreconditions(const Model &model) const override
    {
        const Run from = model.run[this->who];
        RC_PRE(from != this->to);
        RC_PRE(this->to == Run::up || model.running() > 2);
        RC_PRE(this->to == Run::up || from == Run::up);
    }
    void apply(Model &model) const override { model.run[this->who] = this->to; }
    void run(const Model &model, Sut &sut) const override
    {
        if (this->to == Run::left)
            sut.network.leave(this->who);
        else if (this->to == Run::up && model.run[this->who] != Run::paused)
            sut.network.start(this->who);
        else
            sut.network.nodes[this->who].run = this->to;
    }
    void show(std::ostream &os) const override
    {
        os << "Change(" << this->who << " to " << static_cast<int>(this->to) << ")";
    }
};

/// Blocks one direction of a path, or unblocks all paths.
struct Cut : Command
{
    std::size_t from = *rc::gen::inRange<std::size_t>(0, kMembers);
    std::size_t to = *rc::gen::inRange<std::size_t>(0, kMembers);
    bool clearsAll = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });

    void run(const Model &, Sut &sut) const override
    {
        if (this->clearsAll)
            sut.network.blockedPaths.clear();
        else
            sut.network.blockedPaths.insert({ this->from, this->to });
    }
    void show(std::ostream &os) const override
    {
        os << (this->clearsAll ? "Heal" : "Cut") << "(" << this->from << "," << this->to << ")";
    }
};

/// Delivers a recorded old datagram.
struct Replay : Command
{
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 200);

    void run(const Model &, Sut &sut) const override
    {
        const auto &recorded = sut.network.recorded;
        if (!recorded.empty())
            sut.network.deliver(recorded[this->which % recorded.size()]);
        sut.checkMonotonic();
    }
    void show(std::ostream &os) const override { os << "Replay(" << this->which << ")"; }
};

void checkOnce(std::uint64_t seed)
{
    Model initial;
    initial.run.fill(Run::up);
    Sut sut(seed);
    const auto commands = *rc::state::gen::commands(
            initial, rc::state::gen::execOneOfWithArgs<Advance, Advance, Change, Cut, Replay>());
    rc::state::runAll(commands, initial, sut);
    Model model = initial;
    for (const auto &command : commands)
        command->apply(model);
    sut.settle(model);
}

} // namespace

TEST(MembershipState, AgreesWithTheOracleAfterFaultsEnd)
{
    fuzz([] { checkOnce(*rc::gen::arbitrary<std::uint64_t>()); });
}
