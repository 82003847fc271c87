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

constexpr int kKeyCount = 2;
constexpr int kGateCount = 2;
constexpr Milliseconds kDeadline = 5s;

/// The oracle's record of one idempotency key: runs of the action and replies to clients.
struct KeyHistory
{
    int runs{ 0 };
    bool reportedNotRun{ false };
    bool reportedDone{ false };
    std::string firstAnswer;
};

/// A client request at an entry instance with its state machine.
struct ClientRequest
{
    std::unique_ptr<ProtectedAction> machine;
    std::string requestId;
    TimePoint deadline;
    int key{ 0 };
    int runs{ 0 };        ///< runs of the action for this request
    bool isAlive{ true }; ///< the entry instance has not crashed
    bool reportedNotSent{ false };
    int replies{ 0 };
};

using ClientRequestPtr = std::shared_ptr<ClientRequest>;

/// An agent with its gate. A restarted gate has a new incarnation and no claims.
struct Agent
{
    std::uint64_t incarnation;
    std::shared_ptr<Gate> gate;
};

/// State machines, claim table, gates and service in one simulation. Messages between
/// them can be delayed, lost, duplicated or reordered. Each test step performs one event.
class Simulation
{
public:
    Simulation()
    {
        for (int i = 0; i < kGateCount; ++i)
            this->agents.push_back(Agent{});
        for (int i = 0; i < kGateCount; ++i)
            this->restartGate(i);
    }

    void request(int key, int body, bool withdraw, int entry)
    {
        auto client = std::make_shared<ClientRequest>();
        client->key = key;
        client->deadline = this->now + kDeadline;
        client->requestId = "request-" + std::to_string(++this->lastRequest);
        client->machine = std::make_unique<ProtectedAction>(
                ProtectedActionOptions{ .requestId = client->requestId,
                                        .instance = "entry-" + std::to_string(entry),
                                        .claimId = claimId(key),
                                        .bodyDigest = std::to_string(body),
                                        .openedAt = this->wallClock(),
                                        .deadline = client->deadline,
                                        .withdraw = withdraw,
                                        .canResolve = true });
        this->clientRequests.push_back(client);
        this->perform(client, client->machine->begin());
    }

    /// Performs the pending step number `which`, modulo the number of pending steps.
    void performStep(std::size_t which)
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

    void performAllSteps()
    {
        for (int i = 0; i < 400 && !this->pendingSteps.empty(); ++i)
            this->performStep(0);
    }

    void dropStep(std::size_t which)
    {
        if (!this->pendingSteps.empty())
            this->pendingSteps.erase(this->pendingSteps.begin()
                                     + static_cast<long>(which % this->pendingSteps.size()));
    }

    /// Stops the state machine of a request, as a crash of its entry instance does.
    void crash(std::size_t which)
    {
        if (!this->clientRequests.empty())
            this->clientRequests[which % this->clientRequests.size()]->isAlive = false;
    }

    void disconnectClient(std::size_t which)
    {
        if (!this->clientRequests.empty())
            this->event(this->clientRequests[which % this->clientRequests.size()],
                        ActionClientDisconnected{});
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
        for (std::size_t i = 0; i < this->clientRequests.size(); ++i) {
            if (this->now >= this->clientRequests[i]->deadline)
                this->event(this->clientRequests[i], ActionDeadline{});
        }
        this->check();
    }

    void check() const
    {
        for (const KeyHistory &history : this->histories) {
            RC_ASSERT(history.runs <= 1);
            RC_ASSERT(!history.reportedNotRun || history.runs == 0);
            RC_ASSERT(!history.reportedDone || history.runs == 1);
        }
        for (const ClientRequestPtr &client : this->clientRequests) {
            RC_ASSERT(!client->reportedNotSent || client->runs == 0);
            RC_ASSERT(client->replies <= 1);
        }
    }

    const KeyHistory &history(int key) const
    {
        return this->histories[static_cast<std::size_t>(key)];
    }
    const std::vector<ClientRequestPtr> &all() const { return this->clientRequests; }

private:
    static std::string claimId(int key) { return "customer/key-" + std::to_string(key); }

    Milliseconds wallClock() const
    {
        return std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch()) + 24h;
    }

    void event(const ClientRequestPtr &client, const ActionEvent &event)
    {
        if (client->isAlive)
            this->perform(client, client->machine->on(event, this->now));
    }

    void perform(const ClientRequestPtr &client, const ActionCommands &commands)
    {
        for (const ActionCommand &command : commands)
            std::visit([&](const auto &body) { this->run(client, body); }, command);
    }

    void schedule(std::function<void()> work) { this->pendingSteps.push_back(std::move(work)); }

    void run(const ClientRequestPtr &client, const RouteAction &command)
    {
        ActionRouted routed;
        for (int i = 0; i < kGateCount; ++i) {
            const std::string name = std::to_string((i + client->key) % kGateCount);
            if (!routed.agent && !command.excluded.contains(name))
                routed.agent = AgentRecord{ .agent = name,
                                            .endpoint = name,
                                            .gateIncarnation =
                                                    this->agents[std::stoul(name)].incarnation };
        }
        this->event(client, routed);
    }

    /// Sends a command to the quorum. The command may arrive twice, late or never, and its
    /// reply may be lost. The timeout is a step that may run before the reply arrives.
    template <class Event> void call(const ClientRequestPtr &client, const ControlCommand &command)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, client, done](const std::optional<ControlResult> &result) {
            if (!std::exchange(*done, true))
                this->event(client, Event{ .result = result });
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
            return this->claimTable.open(this->logIndex, *open);
        return this->claimTable.finish(std::get<FinishClaim>(command));
    }

    void run(const ClientRequestPtr &client, const OpenClaim &command)
    {
        this->call<ActionClaimed>(client, command);
    }

    void run(const ClientRequestPtr &client, const FinishClaim &command)
    {
        this->call<ActionRecorded>(client, command);
    }

    void run(const ClientRequestPtr &client, const SendAction &command)
    {
        ServeRequest request;
        request.claim = command.claim;
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, client, done](const ActionAttemptEnded &attemptEnd) {
            if (!std::exchange(*done, true))
                this->event(client, attemptEnd);
        };
        const std::size_t agent = std::stoul(command.agent.endpoint);
        const auto arrive = [this, client, request, agent, finish] {
            this->arrive(client, request, agent, finish);
        };
        // A connection delivers the request once, possibly after the loss of the
        // connection has been reported.
        this->schedule(arrive);
        this->schedule([finish] { finish({ .reason = "link-down", .isConnectionLost = true }); });
    }

    void arrive(const ClientRequestPtr &client, const ServeRequest &request, std::size_t agent,
                const std::function<void(const ActionAttemptEnded &)> &finish)
    {
        const std::shared_ptr<Gate> gate = this->agents[agent].gate;
        const GateDecision decision = gate->admit(request);
        if (!decision.admitted) {
            this->schedule([finish, decision] {
                finish({ .actionStatus = decision.actionStatus, .reason = decision.reason });
            });
            return;
        }
        // Three cases are simulated: the request never reaches the service; the service
        // runs the action, even if the gate restarts meanwhile; the action runs, but its
        // answer breaks off.
        const bool isNeverSent = ++this->sendCount % 5 == 0;
        const bool answerBreaks = this->sendCount % 3 == 0;
        this->schedule([this, client, request, gate, finish, isNeverSent, answerBreaks] {
            if (isNeverSent) {
                gate->finish(request, ActionStatus::notRun);
                return finish(
                        { .actionStatus = ActionStatus::notRun, .reason = "upstream-unreachable" });
            }
            KeyHistory &history = this->histories[static_cast<std::size_t>(client->key)];
            ++client->runs;
            history.firstAnswer = "answer " + std::to_string(++history.runs);
            const StoredAnswer answer{ .status = 201, .body = history.firstAnswer };
            this->schedule([request, gate, finish, answerBreaks, answer] {
                gate->finish(request, answerBreaks ? ActionStatus::unknown : ActionStatus::run,
                             answerBreaks ? std::nullopt : std::optional(answer));
                ActionAttemptEnded attemptEnd;
                if (!answerBreaks)
                    attemptEnd.answer = answer;
                finish(attemptEnd);
            });
        });
    }

    void run(const ClientRequestPtr &client, const ProbeOrCloseClaim &command)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, client, done](const ActionProbed &probed) {
            if (!std::exchange(*done, true))
                this->event(client, probed);
        };
        const std::size_t agent = std::stoul(command.endpoint);
        this->schedule([this, command, agent, finish] {
            const auto reply = this->agents[agent].gate->probe({ .claim = command.claim });
            this->schedule([reply, finish] { finish({ .reply = reply }); });
        });
        this->schedule([finish] { finish({}); });
    }

    void run(const ClientRequestPtr &client, const ResolveAction &)
    {
        this->schedule([this, client] {
            const KeyHistory &history = this->histories[static_cast<std::size_t>(client->key)];
            ActionOutcomeQueried resolved;
            if (history.runs > 0)
                resolved.answer = StoredAnswer{ .status = 201, .body = history.firstAnswer };
            this->event(client, resolved);
        });
    }

    void run(const ClientRequestPtr &client, const AnswerAction &command)
    {
        ++client->replies;
        KeyHistory &history = this->histories[static_cast<std::size_t>(client->key)];
        if (command.answer.status == 200) {
            history.reportedNotRun = true;
            return;
        }
        history.reportedDone = true;
        RC_ASSERT(command.answer.body == history.firstAnswer);
        // The quorum has recorded the outcome before the client receives the answer.
        const ControlResult stored = this->commit(
                OpenClaim{ .claimId = claimId(client->key), .openedAt = this->wallClock() });
        RC_ASSERT(!!stored.claim);
        RC_ASSERT(stored.claim->state == ClaimState::done);
        RC_ASSERT(stored.claim->answer->body == history.firstAnswer);
    }

    void run(const ClientRequestPtr &client, const ReplyWithProblem &command)
    {
        ++client->replies;
        const auto action = command.problem.action;
        if (action == ActionStatus::notRun)
            this->histories[static_cast<std::size_t>(client->key)].reportedNotRun = true;
        if (action == ActionStatus::notSent)
            client->reportedNotSent = true;
    }

    TimePoint now{};
    std::uint64_t logIndex{ 0 };
    std::uint64_t lastIncarnation{ 0 };
    std::uint64_t lastRequest{ 0 };
    std::uint64_t sendCount{ 0 };
    ClaimTable claimTable;
    std::vector<Agent> agents;
    std::vector<ClientRequestPtr> clientRequests;
    std::vector<KeyHistory> histories = std::vector<KeyHistory>(kKeyCount);
    std::vector<std::function<void()>> pendingSteps;
};

/// Model without state: rapidcheck generates the steps independently of each other.
struct EmptyModel
{
};

using Command = rc::state::Command<EmptyModel, Simulation>;

struct Request : Command
{
    int key = *rc::gen::inRange(0, kKeyCount);
    int body = *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } });
    bool withdraw = *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
    int entry = *rc::gen::inRange(0, 3);
    void run(const EmptyModel &, Simulation &simulation) const override
    {
        simulation.request(this->key, this->body, this->withdraw, this->entry);
    }
    void show(std::ostream &out) const override
    {
        out << "Request " << this->key << " body " << this->body << " withdraw " << this->withdraw;
    }
};

template <void (Simulation::*step)(std::size_t)> struct StepCommand : Command
{
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 1000);
    void run(const EmptyModel &, Simulation &simulation) const override
    {
        (simulation.*step)(this->which);
    }
    void show(std::ostream &out) const override { out << "step " << this->which; }
};

using PerformStep = StepCommand<&Simulation::performStep>;
using DropStep = StepCommand<&Simulation::dropStep>;
using Crash = StepCommand<&Simulation::crash>;
using DisconnectClient = StepCommand<&Simulation::disconnectClient>;

struct RestartGate : Command
{
    int gate = *rc::gen::inRange(0, kGateCount);
    void run(const EmptyModel &, Simulation &simulation) const override
    {
        simulation.restartGate(this->gate);
    }
    void show(std::ostream &out) const override { out << "RestartGate " << this->gate; }
};

struct Advance : Command
{
    int milliseconds = *rc::gen::weightedElement<int>({ { 4, 100 }, { 1, 6000 }, { 1, 40000 } });
    void run(const EmptyModel &, Simulation &simulation) const override
    {
        simulation.advance(Milliseconds{ this->milliseconds });
    }
    void show(std::ostream &out) const override { out << "Advance " << this->milliseconds; }
};

/// Checks a property with the configured seed. If EGRET_FUZZ_SECONDS is set, checks the
/// property with increasing seeds for this number of seconds instead.
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
                4.0, rc::state::gen::commands(
                             EmptyModel{},
                             rc::state::gen::execOneOfWithArgs<
                                     Request, PerformStep, PerformStep, PerformStep, PerformStep,
                                     PerformStep, PerformStep, PerformStep, DropStep, Crash,
                                     DisconnectClient, RestartGate, Advance>()));
        Simulation simulation;
        rc::state::runAll(commands, EmptyModel{}, simulation);
        simulation.performAllSteps();
    });
}
