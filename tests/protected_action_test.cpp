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

/// Runs and replies of one key, kept by the oracle.
struct KeyHistory
{
    int runs{ 0 };
    bool reportedNotRun{ false };
    bool reportedDone{ false };
    std::string firstAnswer;
};

/// A request at an entry instance.
struct Caller
{
    std::unique_ptr<ProtectedAction> machine;
    std::string requestId;
    TimePoint deadline;
    int key{ 0 };
    int runs{ 0 };
    bool alive{ true };
    bool reportedNotSent{ false };
    int replies{ 0 };
};

using CallerPtr = std::shared_ptr<Caller>;

/// An agent with its gate; a restart loses the gate's claims.
struct Agent
{
    std::uint64_t incarnation;
    std::shared_ptr<Gate> gate;
};

/// State machines, claim table, gates and service. Messages between them can be
/// delayed, lost, duplicated or reordered. Each test step performs one event.
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

    /// Performs one pending step.
    void deliver(std::size_t which)
    {
        if (this->pendingSteps.empty())
            return;
        const auto at =
                this->pendingSteps.begin() + static_cast<long>(which % this->pendingSteps.size());
        const auto work = std::move(*at);
        this->pendingSteps.erase(at);
        work();
        this->check();
    }

    void deliverAll()
    {
        for (int i = 0; i < 400 && !this->pendingSteps.empty(); ++i)
            this->deliver(0);
    }

    void drop(std::size_t which)
    {
        if (!this->pendingSteps.empty())
            this->pendingSteps.erase(this->pendingSteps.begin()
                                     + static_cast<long>(which % this->pendingSteps.size()));
    }

    void crash(std::size_t which)
    {
        if (!this->callers.empty())
            this->callers[which % this->callers.size()]->alive = false;
    }

    void disconnectCaller(std::size_t which)
    {
        if (!this->callers.empty())
            this->event(this->callers[which % this->callers.size()], ActionCallerGone{});
    }

    void restartGate(int index)
    {
        Agent &agent = this->agents[static_cast<std::size_t>(index)];
        agent.incarnation = ++this->lastIncarnation;
        agent.gate = std::make_shared<Gate>(
                GateOptions{ .seed = agent.incarnation, .limit = 2, .maxClaims = 2 });
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
        for (const KeyHistory &history : this->keys) {
            RC_ASSERT(history.runs <= 1);
            RC_ASSERT(!history.reportedNotRun || history.runs == 0);
            RC_ASSERT(!history.reportedDone || history.runs == 1);
        }
        for (const CallerPtr &caller : this->callers) {
            RC_ASSERT(!caller->reportedNotSent || caller->runs == 0);
            RC_ASSERT(caller->replies <= 1);
        }
    }

    const KeyHistory &history(int key) const { return this->keys[static_cast<std::size_t>(key)]; }
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

    void schedule(std::function<void()> work) { this->pendingSteps.push_back(std::move(work)); }

    void run(const CallerPtr &caller, const RouteAction &command)
    {
        ActionRouted routed;
        for (int i = 0; i < kGates; ++i) {
            const std::string name = std::to_string((i + caller->key) % kGates);
            if (!routed.agent && !command.excluded.contains(name))
                routed.agent = AgentRecord{ .agent = name,
                                            .endpoint = name,
                                            .gateIncarnation =
                                                    this->agents[std::stoul(name)].incarnation };
        }
        this->event(caller, routed);
    }

    /// Sends a command to the quorum. The command may arrive twice, late or
    /// never, and its reply may be lost.
    template <class Event> void call(const CallerPtr &caller, const ControlCommand &command)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, caller, done](const std::optional<ControlResult> &result) {
            if (!std::exchange(*done, true))
                this->event(caller, Event{ .result = result });
        };
        const auto arrive = [this, command, finish] {
            const ControlResult result = this->commit(command);
            this->schedule([result, finish] { finish(result); });
        };
        this->schedule(arrive);
        this->schedule(arrive);
        this->schedule([finish] { finish(std::nullopt); });
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
        // A link delivers the request once, possibly late, even after the link is lost.
        this->schedule(arrive);
        this->schedule([finish] { finish({ .reason = "link-down", .isUnanswered = true }); });
    }

    void arrive(const CallerPtr &caller, const ServeRequest &request, std::size_t agent,
                const std::function<void(const ActionServed &)> &finish)
    {
        const std::shared_ptr<Gate> gate = this->agents[agent].gate;
        const GateDecision decision = gate->admit(request);
        if (!decision.admitted) {
            this->schedule([finish, decision] {
                finish({ .actionStatus = decision.actionStatus, .reason = decision.reason });
            });
            return;
        }
        // The service runs the action even if the agent dies meanwhile, or the
        // request never reaches the service, or its answer breaks.
        const bool isNeverSent = ++this->sends % 5 == 0;
        const bool breaks = this->sends % 3 == 0;
        this->schedule([this, caller, request, gate, finish, isNeverSent, breaks] {
            if (isNeverSent) {
                gate->finish(request, ActionStatus::notRun);
                return finish(
                        { .actionStatus = ActionStatus::notRun, .reason = "upstream-unreachable" });
            }
            KeyHistory &history = this->keys[static_cast<std::size_t>(caller->key)];
            ++caller->runs;
            history.firstAnswer = "answer " + std::to_string(++history.runs);
            const StoredAnswer answer{ .status = 201, .body = history.firstAnswer };
            this->schedule([request, gate, finish, breaks, answer] {
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
        this->schedule([this, command, agent, finish] {
            const auto reply = this->agents[agent].gate->probe({ .claim = command.claim });
            this->schedule([reply, finish] { finish({ .reply = reply }); });
        });
        this->schedule([finish] { finish({}); });
    }

    void run(const CallerPtr &caller, const ResolveAction &)
    {
        this->schedule([this, caller] {
            const KeyHistory &history = this->keys[static_cast<std::size_t>(caller->key)];
            ActionResolved resolved;
            if (history.runs > 0)
                resolved.answer = StoredAnswer{ .status = 201, .body = history.firstAnswer };
            this->event(caller, resolved);
        });
    }

    void run(const CallerPtr &caller, const AnswerAction &command)
    {
        ++caller->replies;
        KeyHistory &history = this->keys[static_cast<std::size_t>(caller->key)];
        if (command.answer.status == 200) {
            history.reportedNotRun = true;
            return;
        }
        history.reportedDone = true;
        RC_ASSERT(command.answer.body == history.firstAnswer);
        // The quorum has recorded the outcome before the client receives the answer.
        const ControlResult stored = this->commit(
                OpenClaim{ .claimId = claimId(caller->key), .openedAt = this->wallClock() });
        RC_ASSERT(!!stored.claim);
        RC_ASSERT(stored.claim->state == ClaimState::done);
        RC_ASSERT(stored.claim->answer->body == history.firstAnswer);
    }

    void run(const CallerPtr &caller, const RefuseAction &command)
    {
        ++caller->replies;
        const auto action = command.problem.action;
        if (action == ActionStatus::notRun)
            this->keys[static_cast<std::size_t>(caller->key)].reportedNotRun = true;
        if (action == ActionStatus::notSent)
            caller->reportedNotSent = true;
    }

    TimePoint now{};
    std::uint64_t logIndex{ 0 };
    std::uint64_t lastIncarnation{ 0 };
    std::uint64_t lastRequest{ 0 };
    std::uint64_t sends{ 0 };
    ClaimTable table;
    std::vector<Agent> agents;
    std::vector<CallerPtr> callers;
    std::vector<KeyHistory> keys = std::vector<KeyHistory>(kKeys);
    std::vector<std::function<void()>> pendingSteps;
};

/// Empty model: steps are generated without state.
struct EmptyModel
{
};

using Command = rc::state::Command<EmptyModel, System>;

struct Request : Command
{
    int key = *rc::gen::inRange(0, kKeys);
    int body = *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } });
    bool withdraw = *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
    int entry = *rc::gen::inRange(0, 3);
    void run(const EmptyModel &, System &system) const override
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
    void run(const EmptyModel &, System &system) const override { (system.*step)(this->which); }
    void show(std::ostream &out) const override { out << "step " << this->which; }
};

using Deliver = Numbered<&System::deliver>;
using Drop = Numbered<&System::drop>;
using Crash = Numbered<&System::crash>;
using DisconnectCaller = Numbered<&System::disconnectCaller>;

struct RestartGate : Command
{
    int gate = *rc::gen::inRange(0, kGates);
    void run(const EmptyModel &, System &system) const override { system.restartGate(this->gate); }
    void show(std::ostream &out) const override { out << "RestartGate " << this->gate; }
};

struct Advance : Command
{
    int milliseconds = *rc::gen::weightedElement<int>({ { 4, 100 }, { 1, 6000 }, { 1, 40000 } });
    void run(const EmptyModel &, System &system) const override
    {
        system.advance(Milliseconds{ this->milliseconds });
    }
    void show(std::ostream &out) const override { out << "Advance " << this->milliseconds; }
};

/// Checks a property once, or with increasing seeds for EGRET_FUZZ_SECONDS.
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

TEST(ProtectedActions, RunAtMostOnceUnderLossDelayAndDuplication)
{
    fuzz("at most once", [] {
        const auto commands = *rc::gen::scale(
                4.0,
                rc::state::gen::commands(
                        EmptyModel{},
                        rc::state::gen::execOneOfWithArgs<
                                Request, Deliver, Deliver, Deliver, Deliver, Deliver, Deliver,
                                Deliver, Drop, Crash, DisconnectCaller, RestartGate, Advance>()));
        System system;
        rc::state::runAll(commands, EmptyModel{}, system);
        system.deliverAll();
    });
}
