#include "claim_table.h"
#include "gate.h"
#include "protected_action.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <functional>
#include <memory>

using namespace egret;

namespace {

constexpr int kKeys = 2;
constexpr int kGates = 2;
constexpr Milliseconds kDeadline = 5s;

/// What the oracle knows of one key.
struct KeyFacts
{
    int runs{ 0 };
    bool toldNotRun{ false };
    bool toldDone{ false };
    std::string firstAnswer;
};

/// One entry instance's request.
struct Caller
{
    std::unique_ptr<ProtectedAction> machine;
    std::string requestId;
    TimePoint deadline;
    int key{ 0 };
    int runs{ 0 };
    bool alive{ true };
    bool toldNotSent{ false };
    int timesTold{ 0 };
};

using CallerPtr = std::shared_ptr<Caller>;

/// A gate with its agent, which can restart and forget.
struct Agent
{
    std::uint64_t seed;
    std::shared_ptr<Gate> gate;
};

/// Machines, claim table, gates and service with everything between them that
/// can be late, lost, doubled or out of order. Each test step does one thing.
class System
{
public:
    System()
    {
        for (int i = 0; i < kGates; ++i)
            this->agents.push_back(Agent{});
        for (int i = 0; i < kGates; ++i)
            this->restartGate(i);
    }

    void request(int key, int body, bool withdraw, int entry)
    {
        auto caller = std::make_shared<Caller>();
        caller->key = key;
        caller->deadline = this->now + kDeadline;
        caller->requestId = "request-" + std::to_string(++this->lastRequest);
        caller->machine = std::make_unique<ProtectedAction>(
                ProtectedActionOptions{ .requestId = caller->requestId,
                                        .instance = "entry-" + std::to_string(entry),
                                        .claimId = claimId(key),
                                        .bodyDigest = std::to_string(body),
                                        .openedAt = this->wallClock(),
                                        .deadline = caller->deadline,
                                        .withdraw = withdraw,
                                        .canResolve = true });
        this->callers.push_back(caller);
        this->perform(caller, caller->machine->begin());
    }

    /// Does one of the things that are under way.
    void deliver(std::size_t which)
    {
        if (this->underWay.empty())
            return;
        const auto at = this->underWay.begin() + static_cast<long>(which % this->underWay.size());
        const auto work = std::move(*at);
        this->underWay.erase(at);
        work();
        this->check();
    }

    void deliverAll()
    {
        for (int i = 0; i < 400 && !this->underWay.empty(); ++i)
            this->deliver(0);
    }

    void lose(std::size_t which)
    {
        if (!this->underWay.empty())
            this->underWay.erase(this->underWay.begin()
                                 + static_cast<long>(which % this->underWay.size()));
    }

    void crash(std::size_t which)
    {
        if (!this->callers.empty())
            this->callers[which % this->callers.size()]->alive = false;
    }

    void callerLeaves(std::size_t which)
    {
        if (!this->callers.empty())
            this->event(this->callers[which % this->callers.size()], ActionCallerGone{});
    }

    void restartGate(int index)
    {
        Agent &agent = this->agents[static_cast<std::size_t>(index)];
        agent.seed = ++this->lastSeed;
        agent.gate = std::make_shared<Gate>(
                GateOptions{ .seed = agent.seed, .limit = 2, .maxClaims = 2 });
    }

    void advance(Milliseconds step)
    {
        this->now += step;
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            if (this->now >= this->callers[i]->deadline)
                this->event(this->callers[i], ActionDeadline{});
        }
        this->check();
    }

    void check() const
    {
        for (const KeyFacts &facts : this->keys) {
            RC_ASSERT(facts.runs <= 1);
            RC_ASSERT(!facts.toldNotRun || facts.runs == 0);
            RC_ASSERT(!facts.toldDone || facts.runs == 1);
        }
        for (const CallerPtr &caller : this->callers) {
            RC_ASSERT(!caller->toldNotSent || caller->runs == 0);
            RC_ASSERT(caller->timesTold <= 1);
        }
    }

    const KeyFacts &facts(int key) const { return this->keys[static_cast<std::size_t>(key)]; }
    const std::vector<CallerPtr> &all() const { return this->callers; }

private:
    static std::string claimId(int key) { return "customer/key-" + std::to_string(key); }

    Milliseconds wallClock() const
    {
        return std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch()) + 24h;
    }

    void event(const CallerPtr &caller, const ActionEvent &event)
    {
        if (caller->alive)
            this->perform(caller, caller->machine->on(event, this->now));
    }

    void perform(const CallerPtr &caller, const ActionCommands &commands)
    {
        for (const ActionCommand &command : commands)
            std::visit([&](const auto &body) { this->run(caller, body); }, command);
    }

    void later(std::function<void()> work) { this->underWay.push_back(std::move(work)); }

    void run(const CallerPtr &caller, const RouteAction &command)
    {
        ActionRouted routed;
        for (int i = 0; i < kGates; ++i) {
            const std::string name = std::to_string((i + caller->key) % kGates);
            if (!routed.agent && !command.excluded.contains(name))
                routed.agent =
                        AgentRecord{ .agent = name,
                                     .endpoint = name,
                                     .gateIncarnation = this->agents[std::stoul(name)].seed };
        }
        this->event(caller, routed);
    }

    /// Sends a command to the quorum: it may arrive twice, late, or not at
    /// all, and its answer may be lost.
    template <class Event> void call(const CallerPtr &caller, const ControlCommand &command)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, caller, done](const std::optional<ControlResult> &result) {
            if (!std::exchange(*done, true))
                this->event(caller, Event{ .result = result });
        };
        const auto arrive = [this, command, finish] {
            const ControlResult result = this->commit(command);
            this->later([result, finish] { finish(result); });
        };
        this->later(arrive);
        this->later(arrive);
        this->later([finish] { finish(std::nullopt); });
    }

    ControlResult commit(const ControlCommand &command)
    {
        ++this->logIndex;
        if (const auto *open = std::get_if<OpenClaim>(&command))
            return this->table.open(this->logIndex, *open);
        return this->table.finish(std::get<FinishClaim>(command));
    }

    void run(const CallerPtr &caller, const OpenClaim &command)
    {
        this->call<ActionClaimed>(caller, command);
    }

    void run(const CallerPtr &caller, const FinishClaim &command)
    {
        this->call<ActionRecorded>(caller, command);
    }

    void run(const CallerPtr &caller, const SendAction &command)
    {
        ServeRequest request;
        request.claim = command.claim;
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, caller, done](const ActionServed &served) {
            if (!std::exchange(*done, true))
                this->event(caller, served);
        };
        const std::size_t agent = std::stoul(command.agent.endpoint);
        const auto arrive = [this, caller, request, agent, finish] {
            this->arrive(caller, request, agent, finish);
        };
        // A link carries it once; it may come late, also after its link is lost.
        this->later(arrive);
        this->later([finish] { finish({ .reason = "link-down", .isLost = true }); });
    }

    void arrive(const CallerPtr &caller, const ServeRequest &request, std::size_t agent,
                const std::function<void(const ActionServed &)> &finish)
    {
        const std::shared_ptr<Gate> gate = this->agents[agent].gate;
        const GateDecision verdict = gate->admit(request);
        if (!verdict.admitted) {
            this->later([finish, verdict] {
                finish({ .actionStatus = verdict.actionStatus, .reason = verdict.reason });
            });
            return;
        }
        // The service runs it even if the agent dies meanwhile; or nothing
        // reached it; or its answer breaks.
        const bool neverLeft = ++this->sends % 5 == 0;
        const bool breaks = this->sends % 3 == 0;
        this->later([this, caller, request, gate, finish, neverLeft, breaks] {
            if (neverLeft) {
                gate->finish(request, ActionStatus::notRun);
                return finish(
                        { .actionStatus = ActionStatus::notRun, .reason = "upstream-unreachable" });
            }
            KeyFacts &facts = this->keys[static_cast<std::size_t>(caller->key)];
            ++caller->runs;
            facts.firstAnswer = "answer " + std::to_string(++facts.runs);
            const StoredAnswer answer{ .status = 201, .body = facts.firstAnswer };
            this->later([request, gate, finish, breaks, answer] {
                gate->finish(request, breaks ? ActionStatus::unknown : ActionStatus::run,
                             breaks ? std::nullopt : std::optional(answer));
                ActionServed served;
                if (!breaks)
                    served.answer = answer;
                finish(served);
            });
        });
    }

    void run(const CallerPtr &caller, const ProbeAction &command)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, caller, done](const ActionProbed &probed) {
            if (!std::exchange(*done, true))
                this->event(caller, probed);
        };
        const std::size_t agent = std::stoul(command.endpoint);
        this->later([this, command, agent, finish] {
            const auto reply = this->agents[agent].gate->probe({ .claim = command.claim });
            this->later([reply, finish] { finish({ .reply = reply }); });
        });
        this->later([finish] { finish({}); });
    }

    void run(const CallerPtr &caller, const ResolveAction &)
    {
        this->later([this, caller] {
            const KeyFacts &facts = this->keys[static_cast<std::size_t>(caller->key)];
            ActionResolved resolved;
            if (facts.runs > 0)
                resolved.answer = StoredAnswer{ .status = 201, .body = facts.firstAnswer };
            this->event(caller, resolved);
        });
    }

    void run(const CallerPtr &caller, const AnswerAction &command)
    {
        ++caller->timesTold;
        KeyFacts &facts = this->keys[static_cast<std::size_t>(caller->key)];
        if (command.answer.status == 200) {
            facts.toldNotRun = true;
            return;
        }
        facts.toldDone = true;
        RC_ASSERT(command.answer.body == facts.firstAnswer);
        // An accepted outcome stands at the quorum before the caller hears of it.
        const ControlResult stored = this->commit(
                OpenClaim{ .claimId = claimId(caller->key), .openedAt = this->wallClock() });
        RC_ASSERT(!!stored.claim);
        RC_ASSERT(stored.claim->state == ClaimState::done);
        RC_ASSERT(stored.claim->answer->body == facts.firstAnswer);
    }

    void run(const CallerPtr &caller, const RefuseAction &command)
    {
        ++caller->timesTold;
        const auto action = command.problem.action;
        if (action == ActionStatus::notRun)
            this->keys[static_cast<std::size_t>(caller->key)].toldNotRun = true;
        if (action == ActionStatus::notSent)
            caller->toldNotSent = true;
    }

    TimePoint now{};
    std::uint64_t logIndex{ 0 };
    std::uint64_t lastSeed{ 0 };
    std::uint64_t lastRequest{ 0 };
    std::uint64_t sends{ 0 };
    ClaimTable table;
    std::vector<Agent> agents;
    std::vector<CallerPtr> callers;
    std::vector<KeyFacts> keys = std::vector<KeyFacts>(kKeys);
    std::vector<std::function<void()>> underWay;
};

/// The oracle needs no state to choose steps.
struct Nothing
{
};

using Command = rc::state::Command<Nothing, System>;

struct Request : Command
{
    int key = *rc::gen::inRange(0, kKeys);
    int body = *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } });
    bool withdraw = *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
    int entry = *rc::gen::inRange(0, 3);
    void run(const Nothing &, System &system) const override
    {
        system.request(this->key, this->body, this->withdraw, this->entry);
    }
    void show(std::ostream &out) const override
    {
        out << "Request " << this->key << " body " << this->body << " withdraw " << this->withdraw;
    }
};

template <void (System::*step)(std::size_t)> struct Numbered : Command
{
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 1000);
    void run(const Nothing &, System &system) const override { (system.*step)(this->which); }
    void show(std::ostream &out) const override { out << "step " << this->which; }
};

using Deliver = Numbered<&System::deliver>;
using Lose = Numbered<&System::lose>;
using Crash = Numbered<&System::crash>;
using CallerLeaves = Numbered<&System::callerLeaves>;

struct RestartGate : Command
{
    int gate = *rc::gen::inRange(0, kGates);
    void run(const Nothing &, System &system) const override { system.restartGate(this->gate); }
    void show(std::ostream &out) const override { out << "RestartGate " << this->gate; }
};

struct Advance : Command
{
    int milliseconds = *rc::gen::weightedElement<int>({ { 4, 100 }, { 1, 6000 }, { 1, 40000 } });
    void run(const Nothing &, System &system) const override
    {
        system.advance(Milliseconds{ this->milliseconds });
    }
    void show(std::ostream &out) const override { out << "Advance " << this->milliseconds; }
};

/// Runs a property for a set time with growing seeds, or once.
template <class Property> void fuzz(const char *name, Property property)
{
    const char *seconds = std::getenv("EGRET_FUZZ_SECONDS");
    if (seconds == nullptr) {
        EXPECT_TRUE(rc::check(name, property));
        return;
    }
    const auto end = std::chrono::steady_clock::now() + Seconds(std::atoi(seconds));
    for (std::uint64_t seed = 1; std::chrono::steady_clock::now() < end; ++seed) {
        rc::detail::TestParams params;
        params.seed = seed;
        const auto result =
                rc::detail::checkTestable(property, rc::detail::TestMetadata{ name, name }, params);
        if (!result.template is<rc::detail::SuccessResult>()) {
            rc::detail::printResultMessage(result, std::cerr);
            ADD_FAILURE() << "replay: RC_PARAMS=\"seed=" << seed << "\"";
            return;
        }
    }
}

} // namespace

TEST(ProtectedActions, RunAtMostOnceWhateverIsLostLateOrDoubled)
{
    fuzz("at most once", [] {
        const auto commands = *rc::gen::scale(
                4.0, rc::state::gen::commands(
                             Nothing{},
                             rc::state::gen::execOneOfWithArgs<
                                     Request, Deliver, Deliver, Deliver, Deliver, Deliver, Deliver,
                                     Deliver, Lose, Crash, CallerLeaves, RestartGate, Advance>()));
        System system;
        rc::state::runAll(commands, Nothing{}, system);
        system.deliverAll();
    });
}
