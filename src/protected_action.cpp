#include "protected_action.h"

namespace egret {

namespace {

constexpr Seconds kRetrySoon = 1s;
constexpr Milliseconds kProbeAgain = 200ms;
constexpr std::uint32_t kMaxAttempts = 3;
/// Tries to record an outcome, most of them after the caller was answered.
constexpr std::uint32_t kMaxRecordTries = 10;
/// Time after the deadline for which a sent action is still waited for.
constexpr Milliseconds kLateLimit = 30s;
/// Least time that a service is given to answer.
constexpr Milliseconds kLeastServing = 100ms;
constexpr int kStatusGone = 410;

} // namespace

ActionCommands ProtectedAction::begin()
{
    return this->route();
}

ActionCommands ProtectedAction::on(const ActionEvent &event, TimePoint now)
{
    return std::visit([&](const auto &body) { return this->onEvent(body, now); }, event);
}

ActionCommands ProtectedAction::onEvent(const ActionRouted &event, TimePoint)
{
    if (this->state != State::routing)
        return {};
    // Without an agent the claim names none; only a withdrawal goes on.
    if (!event.agent && !this->options.withdraw)
        return this->notSent("no-upstream", "no upstream can take the action");
    this->agent = event.agent.value_or(AgentRecord{});
    this->state = State::claiming;
    return { OpenClaim{ .claimId = this->options.claimId,
                        .opener = this->options.requestId + "/" + std::to_string(this->attempt),
                        .bodyDigest = this->options.bodyDigest,
                        .agent = this->agent.agent,
                        .endpoint = this->agent.endpoint,
                        .gateIncarnation = this->agent.gateIncarnation,
                        .openedAt = this->options.openedAt,
                        .proposer = this->options.instance,
                        .withdraw = this->options.withdraw } };
}

ActionCommands ProtectedAction::onEvent(const ActionClaimed &event, TimePoint now)
{
    if (this->state != State::claiming)
        return {};
    if (!event.result)
        return this->notSent("claims-unreachable", "the owner of the claim can't be reached");
    if (!event.result->claim)
        return this->notSent(event.result->reason, "the key can't be claimed now");
    const Claim &held = *event.result->claim;
    const bool isBodyBound = !this->options.withdraw && held.state != ClaimState::withdrawn;
    if (isBodyBound && held.bodyDigest != this->options.bodyDigest)
        return this->refuse({ .status = 422,
                              .reason = "key-reused",
                              .detail = "the key is bound to another request; this one has no "
                                        "effect under it" });
    return event.result->accepted ? this->claimGranted(held, now) : this->claimHeld(held);
}

ActionCommands ProtectedAction::onEvent(const ActionServed &event, TimePoint)
{
    if (this->state != State::serving)
        return {};
    if (event.answer) {
        this->isOwnAnswer = true;
        return this->record(ClaimState::done, event.answer);
    }
    if (event.actionStatus == ActionStatus::notRun) {
        this->refusal = event.reason;
        this->excluded.insert(this->agent.agent);
        return this->record(ClaimState::closed, std::nullopt);
    }
    // The gate may know: the probe closes the claim or finds the answer.
    const bool gateKnows = event.isLost || event.actionStatus == ActionStatus::run
                           || event.actionStatus == ActionStatus::running;
    return gateKnows ? this->probe(this->claim, 0ms) : this->unresolved(event.actionStatus);
}

ActionCommands ProtectedAction::onEvent(const ActionProbed &event, TimePoint)
{
    if (this->state != State::probing)
        return {};
    if (!event.reply)
        return this->unknown("the gate that holds the claim can't be reached");
    const ClaimProbeReply &reply = *event.reply;
    if (reply.actionStatus == ActionStatus::running && this->isOwnClaim)
        return this->probe(this->claim, kProbeAgain);
    if (reply.actionStatus == ActionStatus::running)
        return this->refuse({ .status = 409,
                              .reason = "action-running",
                              .detail = "an earlier request under the key is running",
                              .action = ActionStatus::running,
                              .retryAfter = kRetrySoon });
    if (reply.actionStatus == ActionStatus::notRun)
        return this->record(ClaimState::closed, std::nullopt);
    if (reply.actionStatus == ActionStatus::run && reply.answer)
        return this->record(ClaimState::done, reply.answer);
    return this->unresolved(reply.actionStatus);
}

ActionCommands ProtectedAction::onEvent(const ActionResolved &event, TimePoint)
{
    if (this->state != State::resolving)
        return {};
    // Only a positive word counts: a request that the service has not read
    // yet may still run.
    if (event.answer)
        return this->record(ClaimState::done, event.answer);
    if (this->claim.state == ClaimState::unknown)
        return this->unknown("the service does not know the outcome yet");
    return this->record(ClaimState::unknown, std::nullopt);
}

ActionCommands ProtectedAction::onEvent(const ActionRecorded &event, TimePoint)
{
    if (this->state != State::recording)
        return {};
    if (!event.result)
        return this->recordAgain();
    if (!event.result->claim)
        return this->unknown("the key has expired at the owner of the claim");
    const Claim &held = *event.result->claim;
    if (event.result->accepted && held.state == ClaimState::closed)
        return this->closed();
    // Another request under the key was faster, or the outcome stands now. An
    // answer that was too large to keep is given to the caller who waited.
    if (event.result->accepted && held.state == ClaimState::done && this->outcome.answer)
        return this->answer(*this->outcome.answer, !this->isOwnAnswer);
    if (held.state == ClaimState::open)
        return this->refuse({ .status = 409,
                              .reason = "action-running",
                              .detail = "another request under the key has claimed it",
                              .action = ActionStatus::running,
                              .retryAfter = kRetrySoon });
    if (held.state == ClaimState::closed)
        return this->closed();
    if (held.state == ClaimState::unknown)
        return this->unknown("the outcome of an earlier attempt is not known");
    return this->claimHeld(held);
}

ActionCommands ProtectedAction::onEvent(const ActionDeadline &, TimePoint now)
{
    // Before anything was sent the end is certain; what is sent goes on, so
    // that its outcome is recorded.
    switch (this->state) {
    case State::routing:
    case State::claiming:
        return this->notSent("deadline", "the deadline has passed before the action was sent");
    case State::serving:
    case State::recording:
        if (now >= this->options.deadline + kLateLimit)
            this->state = State::ended;
        break;
    case State::probing:
    case State::resolving:
        this->state = State::ended;
        break;
    case State::ended:
        return {};
    }
    return this->tell(RefuseAction{ .problem = { .status = 504,
                                                 .reason = "deadline",
                                                 .detail = "the outcome is not known yet",
                                                 .action = ActionStatus::unknown,
                                                 .retryAfter = kRetrySoon } });
}

ActionCommands ProtectedAction::onEvent(const ActionCallerGone &, TimePoint)
{
    this->callerGone = true;
    return {};
}

ActionCommands ProtectedAction::route()
{
    this->state = State::routing;
    return { RouteAction{ .excluded = this->excluded } };
}

ActionCommands ProtectedAction::claimGranted(const Claim &granted, TimePoint now)
{
    if (granted.state == ClaimState::withdrawn)
        return this->claimHeld(granted);
    this->claim = granted;
    this->isOwnClaim = true;
    const bool isLate = now + kLeastServing >= this->options.deadline;
    if (isLate || this->callerGone) {
        // Nobody waits any more: the key is left to the caller's next request.
        this->refusal = isLate ? "deadline" : "caller-gone";
        this->attempt = kMaxAttempts;
        return this->record(ClaimState::closed, std::nullopt);
    }
    this->state = State::serving;
    return { SendAction{ .agent = this->agent,
                         .claim = { .claimId = granted.claimId,
                                    .fence = granted.fence,
                                    .gateIncarnation = granted.gateIncarnation } } };
}

/// Goes on from a claim that another request opened.
ActionCommands ProtectedAction::claimHeld(const Claim &held)
{
    this->isOwnClaim = false;
    this->claim = held;
    switch (held.state) {
    case ClaimState::done:
        if (held.answer)
            return this->answer(*held.answer, true);
        return this->refuse({ .status = kStatusGone,
                              .reason = "answer-not-kept",
                              .detail = "the action has run; its answer is not kept any more",
                              .action = ActionStatus::run });
    case ClaimState::withdrawn:
        if (this->options.withdraw)
            return this->answer({ .status = 200,
                                  .contentType = "application/json",
                                  .body = R"({"action":"not-run"})" },
                                false);
        return this->refuse({ .status = 409,
                              .reason = "key-withdrawn",
                              .detail = "the key is closed for good; nothing has run under it",
                              .action = ActionStatus::notRun });
    case ClaimState::unknown:
        return this->unresolved(ActionStatus::unknown);
    case ClaimState::open:
    case ClaimState::closed:
        break;
    }
    return this->probe(held, 0ms);
}

ActionCommands ProtectedAction::probe(const Claim &held, Milliseconds delay)
{
    this->claim = held;
    this->state = State::probing;
    return { ProbeAction{ .endpoint = held.endpoint,
                          .claim = { .claimId = held.claimId,
                                     .fence = held.fence,
                                     .gateIncarnation = held.gateIncarnation },
                          .delay = delay } };
}

/// The gate can't give the outcome: the service may.
ActionCommands ProtectedAction::unresolved(ActionStatus actionStatus)
{
    if (this->options.canResolve) {
        this->state = State::resolving;
        return { ResolveAction{ .agent = this->claim.agent } };
    }
    if (this->claim.state == ClaimState::unknown)
        return this->unknown("the outcome of an earlier attempt is not known");
    return this->record(actionStatus == ActionStatus::run ? ClaimState::done : ClaimState::unknown,
                        std::nullopt);
}

ActionCommands ProtectedAction::record(ClaimState outcome, std::optional<StoredAnswer> answer)
{
    this->state = State::recording;
    this->recordTries = 1;
    this->outcome = FinishClaim{ .claimId = this->claim.claimId,
                                 .fence = this->claim.fence,
                                 .state = outcome,
                                 .answer = std::move(answer) };
    return { this->outcome };
}

/// The quorum did not answer: the caller is told what is certain, and an
/// outcome is offered again for a while.
ActionCommands ProtectedAction::recordAgain()
{
    const bool isClosed = this->outcome.state == ClaimState::closed;
    if (isClosed && this->isOwnClaim)
        return this->notSent(this->refusal.empty() ? "claims-unreachable" : this->refusal,
                             "the action was not run for this request");
    const bool goesOn =
            this->outcome.state == ClaimState::done && ++this->recordTries <= kMaxRecordTries;
    ActionCommands commands = this->unknown("the outcome can't be recorded now");
    if (goesOn) {
        this->state = State::recording;
        commands.emplace_back(this->outcome);
    }
    return commands;
}

/// The claim is closed without a run: another attempt may follow.
ActionCommands ProtectedAction::closed()
{
    if (++this->attempt < kMaxAttempts && !this->told)
        return this->route();
    return this->notSent(this->refusal.empty() ? "claim-closed" : this->refusal,
                         "the action was not run for this request");
}

ActionCommands ProtectedAction::answer(const StoredAnswer &answer, bool isReplay)
{
    this->state = State::ended;
    return this->tell(AnswerAction{ .answer = answer, .isReplay = isReplay });
}

ActionCommands ProtectedAction::refuse(Problem problem)
{
    this->state = State::ended;
    return this->tell(RefuseAction{ .problem = std::move(problem) });
}

ActionCommands ProtectedAction::notSent(const std::string &reason, const std::string &detail)
{
    return this->refuse({ .status = 503,
                          .reason = reason,
                          .detail = detail,
                          .action = ActionStatus::notSent,
                          .retryAfter = kRetrySoon });
}

ActionCommands ProtectedAction::unknown(const std::string &detail)
{
    return this->refuse({ .status = 504,
                          .reason = "outcome-unknown",
                          .detail = detail,
                          .action = ActionStatus::unknown,
                          .retryAfter = kRetrySoon });
}

/// Tells the caller, unless it has been told.
ActionCommands ProtectedAction::tell(ActionCommand command)
{
    if (this->told)
        return {};
    this->told = true;
    return { std::move(command) };
}

} // namespace egret
