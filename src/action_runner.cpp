#include "action_runner.h"

#include "digest.h"
#include "log.h"
#include "upstream_proxy.h"

#include <algorithm>
#include <map>

namespace egret {

namespace {

/// Timeout of a quorum call, long enough for the election of a new leader.
constexpr Milliseconds kControlTimeout = 2s;
/// Timeout of a request for a claim after the previous request timed out. Clients are
/// refused sooner while the quorum does not reply.
constexpr Milliseconds kControlTimeoutWhenUnresponsive = 500ms;
constexpr Milliseconds kProbeTimeout = 2s;
constexpr Milliseconds kResolveTimeout = 2s;
constexpr std::uint32_t kStatusOk = 200;
constexpr std::size_t kMaxBufferedAnswerBytes = 8U << 20U;

/// One protected action from its request to its recorded outcome.
struct Action
{
    Action(ProtectedActionOptions options, ActionRequest &&request)
        : machine(std::move(options)), request(std::move(request))
    {}

    ProtectedAction machine;
    ActionRequest request;
    AgentRecord agent;
    LinkPtr link; ///< link of the attempt in flight; null between attempts
    std::uint32_t attempt{ 0 };
    StoredAnswer received;     ///< answer received so far in the attempt in flight
    bool isResolving{ false }; ///< the attempt in flight is an outcome query
    TimePoint resolveDeadline;
    std::uint64_t probeId{ 0 };
    ProbeOrCloseClaim probe;
    TimePoint probeDue; ///< time at which a delayed probe is sent
    TimePoint probeDeadline;
};

using ActionPtr = std::shared_ptr<Action>;

struct ActionTable
{
    std::map<std::string, ActionPtr> byRequest;
    std::map<std::uint64_t, ActionPtr> byProbe;
    std::uint64_t lastProbeId{ 0 };
};

/// Wall-clock time since the epoch. The system clock is read only at the first call, so
/// later steps of the system clock have no effect.
Milliseconds steadyTimeSinceEpoch()
{
    static const auto offset = std::chrono::system_clock::now().time_since_epoch()
                               - std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch() + offset);
}

/// Percent-encodes a key as one path segment.
std::string percentEncoded(const std::string &key)
{
    std::string text;
    for (const char c : key) {
        const bool isPlain = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-'
                             || c == '_' || c == '.' || c == '~';
        if (isPlain)
            text += c;
        else
            text += "%" + toHex(std::string(1, c));
    }
    return text;
}

ProtectedActionOptions machineOptions(const std::string &instance, const ActionRequest &request)
{
    const ServeRequest &serve = request.request;
    return { .requestId = serve.requestId,
             .instance = instance,
             .claimId = serve.customer + "/" + request.key,
             .bodyDigest = digestOf(serve.method + " " + serve.path + "\n" + serve.body),
             .openedAt = steadyTimeSinceEpoch(),
             .deadline = request.deadline,
             .withdraw = request.withdraw,
             .canResolve = !request.outcomePath.empty() };
}

} // namespace

class ActionRunner::Impl
{
public:
    Impl(std::string instance, SharedRoutingTable &routing, ControlClient &control,
         RequestCounters &counters)
        : instance(std::move(instance)), routing(routing), control(control), counters(counters)
    {}

    void begin(ActionRequest &&request)
    {
        ProtectedActionOptions options = machineOptions(this->instance, request);
        request.request.headers.push_back({ .name = "Idempotency-Key", .value = request.key });
        // The service scopes idempotency keys to the customer, as the entry instance does.
        request.request.headers.push_back(
                { .name = "X-Customer", .value = request.request.customer });
        auto action = std::make_shared<Action>(std::move(options), std::move(request));
        this->table.with([&](ActionTable &actions) {
            actions.byRequest[action->request.request.requestId] = action;
        });
        action->request.reply->onClientDisconnected([this, weak = std::weak_ptr<Action>(action)] {
            if (const auto locked = weak.lock())
                this->handleEvent(locked, ActionClientDisconnected{});
        });
        this->perform(action, action->machine.begin());
    }

    bool onFrame(const Frame &frame)
    {
        if (const auto *head = std::get_if<ServeHead>(&frame.message))
            return this->onHead(*head);
        if (const auto *part = std::get_if<ServePart>(&frame.message))
            return this->onPart(*part);
        if (const auto *end = std::get_if<ServeEnd>(&frame.message))
            return this->onEnd(*end);
        if (const auto *probe = std::get_if<ClaimProbeReply>(&frame.message))
            return this->onProbeReply(*probe);
        return false;
    }

    void onLinkDown(const LinkPtr &link)
    {
        const auto affected = this->table.with([&](ActionTable &actions) {
            std::vector<ActionPtr> found;
            for (const auto &[id, action] : actions.byRequest) {
                if (action->link == link)
                    found.push_back(action);
            }
            return found;
        });
        // A request queued on a link that was never established has not been sent.
        const bool mayHaveBeenSent = link->established();
        for (const ActionPtr &action : affected)
            this->endAttempt(action, { .actionStatus = mayHaveBeenSent ? ActionStatus::unknown
                                                                       : ActionStatus::notRun,
                                       .reason = "link-down",
                                       .isConnectionLost = mayHaveBeenSent });
    }

    void tick()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        std::vector<ActionPtr> expired;
        std::vector<ActionPtr> unanswered;
        std::vector<ActionPtr> unresolved;
        std::vector<std::pair<std::uint64_t, ProbeOrCloseClaim>> dueProbes;
        this->table.with([&](ActionTable &actions) {
            for (const auto &[id, action] : actions.byRequest) {
                if (now >= action->request.deadline)
                    expired.push_back(action);
                if (action->isResolving && now >= action->resolveDeadline)
                    unresolved.push_back(action);
            }
            for (const auto &[id, action] : actions.byProbe) {
                if (action->probe.delay > 0ms && now >= action->probeDue) {
                    dueProbes.emplace_back(id, action->probe);
                    action->probe.delay = 0ms;
                }
            }
            std::erase_if(actions.byProbe, [&](const auto &entry) {
                const bool isExpired = now >= entry.second->probeDeadline;
                if (isExpired)
                    unanswered.push_back(entry.second);
                return isExpired;
            });
        });
        for (const auto &[id, probe] : dueProbes)
            this->sendProbe(id, probe);
        for (const ActionPtr &action : expired)
            this->handleEvent(action, ActionDeadline{});
        for (const ActionPtr &action : unanswered)
            this->handleEvent(action, ActionProbed{});
        for (const ActionPtr &action : unresolved)
            this->endAttempt(action, { .reason = "timeout" });
    }

    std::size_t inFlight()
    {
        return this->table.with([](ActionTable &actions) { return actions.byRequest.size(); });
    }

    LinkHub *hub{ nullptr };

private:
    /// Passes an event to the state machine and performs the returned commands.
    void handleEvent(const ActionPtr &action, const ActionEvent &event)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const auto [commands, ended] = this->table.with([&](ActionTable &) {
            ActionCommands requested = action->machine.on(event, now);
            return std::pair{ std::move(requested), action->machine.ended() };
        });
        if (ended)
            this->removeAction(action);
        this->perform(action, commands);
    }

    void perform(const ActionPtr &action, const ActionCommands &commands)
    {
        for (const ActionCommand &command : commands)
            std::visit([&](const auto &body) { this->run(action, body); }, command);
    }

    void run(const ActionPtr &action, const RouteAction &command)
    {
        ActionRequest &request = action->request;
        request.query.excluded = command.excluded;
        const RouteChoice choice = this->routing.with([&](RoutingTable &routes) {
            return routes.router.choose(request.query, routes.directory, request.revision->document,
                                        std::chrono::steady_clock::now());
        });
        const bool isChosen = choice.outcome == RouteOutcome::chosen;
        this->handleEvent(action, ActionRouted{ .agent = isChosen ? std::optional(choice.agent)
                                                                  : std::nullopt });
    }

    void run(const ActionPtr &action, const OpenClaim &command)
    {
        this->control.call(command, this->controlTimeout(), [this, action](const auto &result) {
            this->isQuorumUnresponsive = !result;
            this->handleEvent(action, ActionClaimed{ .result = result });
        });
    }

    void run(const ActionPtr &action, const SendAction &command)
    {
        const auto endpoint = Endpoint::parse(command.agent.endpoint);
        const LinkPtr link = endpoint ? this->hub->open(*endpoint, Channel::serve) : nullptr;
        ServeRequest &request = action->request.request;
        this->table.with([&](ActionTable &) {
            action->agent = command.agent;
            action->request.reply->labels.zone = command.agent.zone;
            action->request.reply->labels.upstream = command.agent.agent;
            action->link = link;
            action->received = {};
            action->isResolving = false;
            request.claim = command.claim;
            request.attempt = ++action->attempt;
            request.upstreamIncarnation = command.agent.upstreamIncarnation;
            request.remaining = std::chrono::duration_cast<Milliseconds>(
                    action->request.deadline - std::chrono::steady_clock::now());
        });
        this->routing.with([&](RoutingTable &routes) { routes.router.sent(command.agent.agent); });
        if (!link || !link->send(request))
            this->endAttempt(action,
                             { .actionStatus = ActionStatus::notRun, .reason = "link-down" });
    }

    void run(const ActionPtr &action, const ProbeOrCloseClaim &command)
    {
        const std::uint64_t id = this->table.with([&](ActionTable &actions) {
            actions.byProbe.erase(action->probeId);
            action->probeId = ++actions.lastProbeId;
            action->probe = command;
            action->probeDue = std::chrono::steady_clock::now() + command.delay;
            action->probeDeadline = action->probeDue + kProbeTimeout;
            actions.byProbe[action->probeId] = action;
            return action->probeId;
        });
        if (command.delay == 0ms)
            this->sendProbe(id, command);
    }

    void sendProbe(std::uint64_t id, const ProbeOrCloseClaim &command)
    {
        this->hub->send(command.endpoint, Channel::serve,
                        ClaimProbe{ .probeId = id, .claim = command.claim });
    }

    /// Queries the agent's service for the outcome with a GET request.
    void run(const ActionPtr &action, const ResolveAction &command)
    {
        const auto agent = this->routing.with([&](RoutingTable &routes) {
            const auto found = routes.directory.upstreams().find(command.agent);
            return found == routes.directory.upstreams().end()
                           ? std::nullopt
                           : std::optional<AgentRecord>(found->second.record);
        });
        const auto endpoint = agent ? Endpoint::parse(agent->endpoint) : std::nullopt;
        if (!endpoint)
            return this->handleEvent(action, ActionOutcomeQueried{});
        const LinkPtr link = this->hub->open(*endpoint, Channel::serve);
        const ServeRequest &request = action->request.request;
        ServeRequest outcomeQuery{
            .requestId = request.requestId,
            .customer = request.customer,
            .method = "GET",
            .path = action->request.outcomePath + "/" + percentEncoded(action->request.key),
            .headers = { { .name = "X-Customer", .value = request.customer } },
            .remaining = kResolveTimeout,
            .upstreamIncarnation = agent->upstreamIncarnation
        };
        this->table.with([&](ActionTable &) {
            action->agent = *agent;
            action->link = link;
            action->received = {};
            action->isResolving = true;
            action->resolveDeadline = std::chrono::steady_clock::now() + kResolveTimeout;
            outcomeQuery.attempt = ++action->attempt;
        });
        this->routing.with([&](RoutingTable &routes) { routes.router.sent(agent->agent); });
        if (!link->send(outcomeQuery))
            this->endAttempt(action, { .reason = "link-down" });
    }

    void run(const ActionPtr &action, const FinishClaim &command)
    {
        this->control.call(command, kControlTimeout, [this, action](const auto &result) {
            this->handleEvent(action, ActionRecorded{ .result = result });
        });
    }

    void run(const ActionPtr &action, const AnswerAction &command)
    {
        ++this->counters.whole;
        const HttpHeaders headers =
                command.isReplay
                        ? HttpHeaders{ { "Idempotent-Replay", "true" } }
                        : HttpHeaders{ { "X-Request-Id", action->request.request.requestId } };
        action->request.reply->send(static_cast<int>(command.answer.status),
                                    command.answer.contentType, command.answer.body, headers);
    }

    void run(const ActionPtr &action, const ReplyWithProblem &command)
    {
        const bool isFailure = command.problem.status == 504;
        ++(isFailure ? this->counters.failed : this->counters.refused);
        sendProblem(*action->request.reply, command.problem);
    }

    Milliseconds controlTimeout() const
    {
        return this->isQuorumUnresponsive ? kControlTimeoutWhenUnresponsive : kControlTimeout;
    }

    /// Removes an ended action.
    void removeAction(const ActionPtr &action)
    {
        this->detachLink(action);
        this->table.with([&](ActionTable &actions) {
            actions.byRequest.erase(action->request.request.requestId);
            actions.byProbe.erase(action->probeId);
        });
    }

    /// Detaches the action from its link; false if another thread has detached the
    /// action.
    bool detachLink(const ActionPtr &action)
    {
        const bool wasAttached = this->table.with(
                [&](ActionTable &) { return std::exchange(action->link, nullptr) != nullptr; });
        if (wasAttached)
            this->routing.with(
                    [&](RoutingTable &routes) { routes.router.ended(action->agent.agent); });
        return wasAttached;
    }

    /// Ends the attempt in flight.
    void endAttempt(const ActionPtr &action, const ActionAttemptEnded &event)
    {
        if (!event.answer)
            logDebug("attempt failed", { { "requestId", action->request.request.requestId },
                                         { "reason", event.reason } });
        if (!this->detachLink(action))
            return;
        const bool isResolving = this->table.with(
                [&](ActionTable &) { return std::exchange(action->isResolving, false); });
        if (!isResolving)
            return this->handleEvent(action, event);
        const bool isKnown = event.answer && event.answer->status == kStatusOk;
        this->handleEvent(action,
                          ActionOutcomeQueried{ .answer = isKnown ? event.answer : std::nullopt });
    }

    /// Finds the action that an agent's message belongs to; null unless the message
    /// belongs to the attempt in flight.
    ActionPtr find(const std::string &requestId, std::uint32_t attempt)
    {
        return this->table.with([&](ActionTable &actions) -> ActionPtr {
            const auto found = actions.byRequest.find(requestId);
            const bool isCurrent = found != actions.byRequest.end()
                                   && found->second->attempt == attempt && found->second->link;
            return isCurrent ? found->second : nullptr;
        });
    }

    bool onHead(const ServeHead &head)
    {
        const ActionPtr action = this->find(head.requestId, head.attempt);
        if (!action)
            return false;
        action->received.status = head.status;
        action->received.contentType = head.contentType;
        return true;
    }

    bool onPart(const ServePart &part)
    {
        const ActionPtr action = this->find(part.requestId, part.attempt);
        if (!action)
            return false;
        const bool isNext = part.offset == action->received.body.size();
        const bool fits = part.offset + part.bytes.size() <= kMaxBufferedAnswerBytes;
        if (!isNext)
            ++this->counters.mismatchedAnswers;
        if (!isNext || !fits)
            this->endAttempt(action, { .reason = isNext ? "answer-too-large" : "part-missing" });
        else
            action->received.body += part.bytes;
        return true;
    }

    bool onEnd(const ServeEnd &end)
    {
        const ActionPtr action = this->find(end.requestId, end.attempt);
        if (!action)
            return false;
        const bool isWhole =
                end.outcome == ServeOutcome::whole && end.total == action->received.body.size();
        if (end.reason == kBrokenAnswer)
            ++this->counters.brokenAnswers;
        ActionAttemptEnded event{ .actionStatus = end.actionStatus, .reason = end.reason };
        if (isWhole)
            event.answer = action->received;
        this->endAttempt(action, event);
        return true;
    }

    bool onProbeReply(const ClaimProbeReply &reply)
    {
        const ActionPtr action = this->table.with([&](ActionTable &actions) -> ActionPtr {
            const auto found = actions.byProbe.find(reply.probeId);
            if (found == actions.byProbe.end())
                return nullptr;
            ActionPtr probed = found->second;
            actions.byProbe.erase(found);
            return probed;
        });
        if (!action)
            return false;
        this->handleEvent(action, ActionProbed{ .reply = reply });
        return true;
    }

    std::string instance;
    SharedRoutingTable &routing;
    ControlClient &control;
    RequestCounters &counters;
    std::atomic<bool> isQuorumUnresponsive{ false }; ///< the last request for a claim timed out
    Guarded<ActionTable, LockRank::serving> table;
};

ActionRunner::ActionRunner(std::string instance, SharedRoutingTable &routing,
                           ControlClient &control, RequestCounters &counters)
    : impl(std::make_unique<Impl>(std::move(instance), routing, control, counters))
{}

ActionRunner::~ActionRunner() = default;

void ActionRunner::attach(LinkHub &hub)
{
    this->impl->hub = &hub;
}

void ActionRunner::begin(ActionRequest &&request)
{
    this->impl->begin(std::move(request));
}

bool ActionRunner::onFrame(const Frame &frame)
{
    return this->impl->onFrame(frame);
}

void ActionRunner::onLinkDown(const LinkPtr &link)
{
    this->impl->onLinkDown(link);
}

void ActionRunner::tick()
{
    this->impl->tick();
}

std::size_t ActionRunner::inFlight()
{
    return this->impl->inFlight();
}

} // namespace egret
