#include "protected_action.h"

namespace egret {

namespace {

constexpr Seconds kRetryAfter = 1s;
constexpr Milliseconds kProbeInterval = 200ms;
constexpr std::uint32_t kMaxAttempts = 3;
/// Limit on attempts to record an outcome. The client receives a reply after the first
/// failed attempt; later attempts continue in the background.
constexpr std::uint32_t kMaxRecordAttempts = 10;
/// Longest wait after the deadline for the outcome of an action that has been sent. An
/// outcome that arrives within this time is still recorded.
constexpr Milliseconds kMaxWaitAfterDeadline = 30s;
/// Minimum time left before the deadline for sending an action; the service needs time to
/// answer.
constexpr Milliseconds kMinServingTime = 100ms;
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
    // Only a withdrawal continues without an agent: the claim of a withdrawal names no agent.
    if (!event.agent && !this->options.withdraw)
        return this->replyNotSent("no-upstream", "no upstream can take the action");
    this->agent = event.agent.value_or(AgentRecord{});
    this->state = State::claiming;
    return { OpenClaim{ .claimId = this->options.claimId,
                        .opener = this->options.requestId + "/"
                                  + std::to_string(this->attemptsWithoutRun),
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
        return this->replyNotSent("claims-unreachable", "the owner of the claim can't be reached");
    if (!event.result->claim)
        return this->replyNotSent(event.result->reason, "the key can't be claimed now");
    const Claim &currentClaim = *event.result->claim;
    const bool isBodyBound = !this->options.withdraw && currentClaim.state != ClaimState::withdrawn;
    if (isBodyBound && currentClaim.bodyDigest != this->options.bodyDigest)
        return this->replyWithProblem(
                { .status = 422,
                  .reason = "key-reused",
                  .detail = "the key is bound to another request; this one has no "
                            "effect under it" });
    return event.result->accepted ? this->onClaimGranted(currentClaim, now)
                                  : this->onExistingClaim(currentClaim);
}

ActionCommands ProtectedAction::onEvent(const ActionAttemptEnded &event, TimePoint)
{
    if (this->state != State::attempting)
        return {};
    if (event.answer) {
        this->isOwnAnswer = true;
        return this->recordOutcome(ClaimState::done, event.answer);
    }
    if (event.actionStatus == ActionStatus::notRun) {
        this->refusalReason = event.reason;
        this->excluded.insert(this->agent.agent);
        return this->recordOutcome(ClaimState::closed, std::nullopt);
    }
    // Probe a gate that may know the outcome: the probe closes the claim or returns the
    // status and any answer.
    const bool gateMayKnow = event.isConnectionLost || event.actionStatus == ActionStatus::run
                             || event.actionStatus == ActionStatus::running;
    return gateMayKnow ? this->probe(this->claim, 0ms) : this->resolveOutcome(event.actionStatus);
}

ActionCommands ProtectedAction::onEvent(const ActionProbed &event, TimePoint)
{
    if (this->state != State::probing)
        return {};
    if (!event.reply)
        return this->replyUnknown("the gate that holds the claim can't be reached");
    const ClaimProbeReply &reply = *event.reply;
    if (reply.actionStatus == ActionStatus::running && this->isOwnClaim)
        return this->probe(this->claim, kProbeInterval);
    if (reply.actionStatus == ActionStatus::running)
        return this->replyWithProblem({ .status = 409,
                                        .reason = "action-running",
                                        .detail = "an earlier request under the key is running",
                                        .action = ActionStatus::running,
                                        .retryAfter = kRetryAfter });
    if (reply.actionStatus == ActionStatus::notRun)
        return this->recordOutcome(ClaimState::closed, std::nullopt);
    if (reply.actionStatus == ActionStatus::run && reply.answer)
        return this->recordOutcome(ClaimState::done, reply.answer);
    return this->resolveOutcome(reply.actionStatus);
}

ActionCommands ProtectedAction::onEvent(const ActionOutcomeQueried &event, TimePoint)
{
    if (this->state != State::resolving)
        return {};
    // If the service reports no outcome, the action may still run, because the request may
    // be on its way to the service.
    if (event.answer)
        return this->recordOutcome(ClaimState::done, event.answer);
    if (this->claim.state == ClaimState::unknown)
        return this->replyUnknown("the service does not know the outcome yet");
    return this->recordOutcome(ClaimState::unknown, std::nullopt);
}

ActionCommands ProtectedAction::onEvent(const ActionRecorded &event, TimePoint)
{
    if (this->state != State::recording)
        return {};
    if (!event.result)
        return this->onRecordTimeout();
    if (!event.result->claim)
        return this->replyUnknown("the key has expired at the owner of the claim");
    const Claim &currentClaim = *event.result->claim;
    if (event.result->accepted && currentClaim.state == ClaimState::closed)
        return this->onClaimClosed();
    // Either this request has recorded the outcome, or another request with the same key has
    // changed the claim first. An answer too large for the claim table is still sent to the
    // waiting client.
    if (event.result->accepted && currentClaim.state == ClaimState::done && this->outcome.answer)
        return this->answer(*this->outcome.answer, !this->isOwnAnswer);
    if (currentClaim.state == ClaimState::open)
        return this->replyWithProblem({ .status = 409,
                                        .reason = "action-running",
                                        .detail = "another request under the key has claimed it",
                                        .action = ActionStatus::running,
                                        .retryAfter = kRetryAfter });
    if (currentClaim.state == ClaimState::closed)
        return this->onClaimClosed();
    if (currentClaim.state == ClaimState::unknown)
        return this->replyUnknown("the outcome of an earlier attempt is not known");
    return this->onExistingClaim(currentClaim);
}

ActionCommands ProtectedAction::onEvent(const ActionDeadline &, TimePoint now)
{
    // Nothing can run for this request before the action is sent. An action that has been
    // sent continues, and its outcome is recorded.
    switch (this->state) {
    case State::routing:
    case State::claiming:
        return this->replyNotSent("deadline", "the deadline has passed before the action was sent");
    case State::attempting:
    case State::recording:
        if (now >= this->options.deadline + kMaxWaitAfterDeadline)
            this->state = State::ended;
        break;
    case State::probing:
    case State::resolving:
        this->state = State::ended;
        break;
    case State::ended:
        return {};
    }
    return this->replyOnce(ReplyWithProblem{ .problem = { .status = 504,
                                                          .reason = "deadline",
                                                          .detail = "the outcome is not known yet",
                                                          .action = ActionStatus::unknown,
                                                          .retryAfter = kRetryAfter } });
}

ActionCommands ProtectedAction::onEvent(const ActionClientDisconnected &, TimePoint)
{
    this->isClientDisconnected = true;
    return {};
}

ActionCommands ProtectedAction::route()
{
    this->state = State::routing;
    return { RouteAction{ .excluded = this->excluded } };
}

ActionCommands ProtectedAction::onClaimGranted(const Claim &grantedClaim, TimePoint now)
{
    if (grantedClaim.state == ClaimState::withdrawn)
        return this->onExistingClaim(grantedClaim);
    this->claim = grantedClaim;
    this->isOwnClaim = true;
    const bool isLate = now + kMinServingTime >= this->options.deadline;
    if (isLate || this->isClientDisconnected) {
        // No client would receive the answer in time. Closing the claim leaves the key usable
        // for another request.
        this->refusalReason = isLate ? "deadline" : "caller-gone";
        this->attemptsWithoutRun = kMaxAttempts;
        return this->recordOutcome(ClaimState::closed, std::nullopt);
    }
    this->state = State::attempting;
    return { SendAction{ .agent = this->agent,
                         .claim = { .claimId = grantedClaim.claimId,
                                    .fence = grantedClaim.fence,
                                    .gateIncarnation = grantedClaim.gateIncarnation } } };
}

/// Continues with a claim that another request opened or that has already ended.
ActionCommands ProtectedAction::onExistingClaim(const Claim &currentClaim)
{
    this->isOwnClaim = false;
    this->claim = currentClaim;
    switch (currentClaim.state) {
    case ClaimState::done:
        if (currentClaim.answer)
            return this->answer(*currentClaim.answer, true);
        return this->replyWithProblem(
                { .status = kStatusGone,
                  .reason = "answer-not-kept",
                  .detail = "the action has run; its answer is not kept any more",
                  .action = ActionStatus::run });
    case ClaimState::withdrawn:
        if (this->options.withdraw)
            return this->answer({ .status = 200,
                                  .contentType = "application/json",
                                  .body = R"({"action":"not-run"})" },
                                false);
        return this->replyWithProblem(
                { .status = 409,
                  .reason = "key-withdrawn",
                  .detail = "the key is closed for good; nothing has run under it",
                  .action = ActionStatus::notRun });
    case ClaimState::unknown:
        return this->resolveOutcome(ActionStatus::unknown);
    case ClaimState::open:
    case ClaimState::closed:
        break;
    }
    return this->probe(currentClaim, 0ms);
}

ActionCommands ProtectedAction::probe(const Claim &currentClaim, Milliseconds delay)
{
    this->claim = currentClaim;
    this->state = State::probing;
    return { ProbeOrCloseClaim{ .endpoint = currentClaim.endpoint,
                                .claim = { .claimId = currentClaim.claimId,
                                           .fence = currentClaim.fence,
                                           .gateIncarnation = currentClaim.gateIncarnation },
                                .delay = delay } };
}

/// Handles an outcome that the gate does not know: queries the service if possible,
/// otherwise records the status that the gate reported.
ActionCommands ProtectedAction::resolveOutcome(ActionStatus actionStatus)
{
    if (this->options.canResolve) {
        this->state = State::resolving;
        return { ResolveAction{ .agent = this->claim.agent } };
    }
    if (this->claim.state == ClaimState::unknown)
        return this->replyUnknown("the outcome of an earlier attempt is not known");
    return this->recordOutcome(actionStatus == ActionStatus::run ? ClaimState::done
                                                                 : ClaimState::unknown,
                               std::nullopt);
}

ActionCommands ProtectedAction::recordOutcome(ClaimState outcome,
                                              std::optional<StoredAnswer> answer)
{
    this->state = State::recording;
    this->recordAttempts = 1;
    this->outcome = FinishClaim{ .claimId = this->claim.claimId,
                                 .fence = this->claim.fence,
                                 .state = outcome,
                                 .answer = std::move(answer) };
    return { this->outcome };
}

/// Handles the timeout of a request to record an outcome: replies to the client that the
/// action was not run or that its outcome is unknown, and sends a `done` outcome again, up to
/// kMaxRecordAttempts attempts in total.
ActionCommands ProtectedAction::onRecordTimeout()
{
    const bool isClosed = this->outcome.state == ClaimState::closed;
    if (isClosed && this->isOwnClaim)
        return this->replyNotSent(this->refusalReason.empty() ? "claims-unreachable"
                                                              : this->refusalReason,
                                  "the action was not run for this request");
    const bool mayRetry =
            this->outcome.state == ClaimState::done && ++this->recordAttempts <= kMaxRecordAttempts;
    ActionCommands commands = this->replyUnknown("the outcome can't be recorded now");
    if (mayRetry) {
        this->state = State::recording;
        commands.emplace_back(this->outcome);
    }
    return commands;
}

/// Handles a claim that was closed before its action ran; another attempt may follow.
ActionCommands ProtectedAction::onClaimClosed()
{
    if (++this->attemptsWithoutRun < kMaxAttempts && !this->hasReplied)
        return this->route();
    return this->replyNotSent(this->refusalReason.empty() ? "claim-closed" : this->refusalReason,
                              "the action was not run for this request");
}

ActionCommands ProtectedAction::answer(const StoredAnswer &answer, bool isReplay)
{
    this->state = State::ended;
    return this->replyOnce(AnswerAction{ .answer = answer, .isReplay = isReplay });
}

ActionCommands ProtectedAction::replyWithProblem(Problem problem)
{
    this->state = State::ended;
    return this->replyOnce(ReplyWithProblem{ .problem = std::move(problem) });
}

ActionCommands ProtectedAction::replyNotSent(const std::string &reason, const std::string &detail)
{
    return this->replyWithProblem({ .status = 503,
                                    .reason = reason,
                                    .detail = detail,
                                    .action = ActionStatus::notSent,
                                    .retryAfter = kRetryAfter });
}

ActionCommands ProtectedAction::replyUnknown(const std::string &detail)
{
    return this->replyWithProblem({ .status = 504,
                                    .reason = "outcome-unknown",
                                    .detail = detail,
                                    .action = ActionStatus::unknown,
                                    .retryAfter = kRetryAfter });
}

/// Returns the command unless the client already has a reply.
ActionCommands ProtectedAction::replyOnce(ActionCommand command)
{
    if (this->hasReplied)
        return {};
    this->hasReplied = true;
    return { std::move(command) };
}

} // namespace egret
