#include "protected_action.h"

namespace egret {

namespace {

constexpr Seconds kRetryAfter = 1s;
constexpr Milliseconds kProbeInterval = 200ms;
constexpr std::uint32_t kMaxAttempts = 3;
/// Limit on attempts to record an outcome. The client receives a reply after the first
/// failed attempt; later attempts continue in the background.
constexpr std::uint32_t kMaxRecordAttempts = 10;
/// Longest wait after the deadline for the outcome of a sent action, which is still recorded.
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
    // Only a withdrawal continues without an agent; its claim names none.
    if (!event.agent && !this->options.withdraw)
        return this->refuseNotSent("no-upstream", "no upstream can take the action");
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
        return this->refuseNotSent("claims-unreachable", "the owner of the claim can't be reached");
    if (!event.result->claim)
        return this->refuseNotSent(event.result->reason, "the key can't be claimed now");
    const Claim &held = *event.result->claim;
    const bool isBodyBound = !this->options.withdraw && held.state != ClaimState::withdrawn;
    if (isBodyBound && held.bodyDigest != this->options.bodyDigest)
        return this->refuse({ .status = 422,
                              .reason = "key-reused",
                              .detail = "the key is bound to another request; this one has no "
                                        "effect under it" });
    return event.result->accepted ? this->onClaimGranted(held, now) : this->onClaimHeld(held);
}

ActionCommands ProtectedAction::onEvent(const ActionAttemptEnded &event, TimePoint)
{
    if (this->state != State::serving)
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
    // Probe a gate that may know the outcome: the probe closes the claim or finds the answer.
    const bool gateMayKnow = event.isConnectionLost || event.actionStatus == ActionStatus::run
                             || event.actionStatus == ActionStatus::running;
    return gateMayKnow ? this->probe(this->claim, 0ms) : this->resolveOutcome(event.actionStatus);
}

ActionCommands ProtectedAction::onEvent(const ActionProbed &event, TimePoint)
{
    if (this->state != State::probing)
        return {};
    if (!event.reply)
        return this->refuseUnknown("the gate that holds the claim can't be reached");
    const ClaimProbeReply &reply = *event.reply;
    if (reply.actionStatus == ActionStatus::running && this->isOwnClaim)
        return this->probe(this->claim, kProbeInterval);
    if (reply.actionStatus == ActionStatus::running)
        return this->refuse({ .status = 409,
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

ActionCommands ProtectedAction::onEvent(const ActionResolved &event, TimePoint)
{
    if (this->state != State::resolving)
        return {};
    // Only an outcome that the service reports is conclusive: without one, a request on its
    // way to the service may still run.
    if (event.answer)
        return this->recordOutcome(ClaimState::done, event.answer);
    if (this->claim.state == ClaimState::unknown)
        return this->refuseUnknown("the service does not know the outcome yet");
    return this->recordOutcome(ClaimState::unknown, std::nullopt);
}

ActionCommands ProtectedAction::onEvent(const ActionRecorded &event, TimePoint)
{
    if (this->state != State::recording)
        return {};
    if (!event.result)
        return this->onRecordTimeout();
    if (!event.result->claim)
        return this->refuseUnknown("the key has expired at the owner of the claim");
    const Claim &held = *event.result->claim;
    if (event.result->accepted && held.state == ClaimState::closed)
        return this->onClaimClosed();
    // Either this request has recorded the outcome or another request with the same key was
    // faster. An answer too large for the claim table is still sent to the waiting client.
    if (event.result->accepted && held.state == ClaimState::done && this->outcome.answer)
        return this->answer(*this->outcome.answer, !this->isOwnAnswer);
    if (held.state == ClaimState::open)
        return this->refuse({ .status = 409,
                              .reason = "action-running",
                              .detail = "another request under the key has claimed it",
                              .action = ActionStatus::running,
                              .retryAfter = kRetryAfter });
    if (held.state == ClaimState::closed)
        return this->onClaimClosed();
    if (held.state == ClaimState::unknown)
        return this->refuseUnknown("the outcome of an earlier attempt is not known");
    return this->onClaimHeld(held);
}

ActionCommands ProtectedAction::onEvent(const ActionDeadline &, TimePoint now)
{
    // Nothing can run for this request before the action is sent. An action that has been
    // sent continues, and its outcome is recorded.
    switch (this->state) {
    case State::routing:
    case State::claiming:
        return this->refuseNotSent("deadline",
                                   "the deadline has passed before the action was sent");
    case State::serving:
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
    return this->replyOnce(RefuseAction{ .problem = { .status = 504,
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
        return this->onClaimHeld(grantedClaim);
    this->claim = grantedClaim;
    this->isOwnClaim = true;
    const bool isLate = now + kMinServingTime >= this->options.deadline;
    if (isLate || this->isClientDisconnected) {
        // No client waits for the answer. Closing the claim leaves the key usable for
        // another request.
        this->refusalReason = isLate ? "deadline" : "caller-gone";
        this->attempt = kMaxAttempts;
        return this->recordOutcome(ClaimState::closed, std::nullopt);
    }
    this->state = State::serving;
    return { SendAction{ .agent = this->agent,
                         .claim = { .claimId = grantedClaim.claimId,
                                    .fence = grantedClaim.fence,
                                    .gateIncarnation = grantedClaim.gateIncarnation } } };
}

/// Continues with a claim that another request opened or that has already ended.
ActionCommands ProtectedAction::onClaimHeld(const Claim &held)
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
        return this->resolveOutcome(ActionStatus::unknown);
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

/// Handles an outcome that the gate does not know: queries the service if possible,
/// otherwise records the status that the gate reported.
ActionCommands ProtectedAction::resolveOutcome(ActionStatus actionStatus)
{
    if (this->options.canResolve) {
        this->state = State::resolving;
        return { ResolveAction{ .agent = this->claim.agent } };
    }
    if (this->claim.state == ClaimState::unknown)
        return this->refuseUnknown("the outcome of an earlier attempt is not known");
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

/// Handles the timeout of a request to record an outcome: replies to the client with the
/// certain part of the outcome and sends a `done` outcome again, up to kMaxRecordAttempts
/// attempts in total.
ActionCommands ProtectedAction::onRecordTimeout()
{
    const bool isClosed = this->outcome.state == ClaimState::closed;
    if (isClosed && this->isOwnClaim)
        return this->refuseNotSent(this->refusalReason.empty() ? "claims-unreachable"
                                                               : this->refusalReason,
                                   "the action was not run for this request");
    const bool mayRetry =
            this->outcome.state == ClaimState::done && ++this->recordAttempts <= kMaxRecordAttempts;
    ActionCommands commands = this->refuseUnknown("the outcome can't be recorded now");
    if (mayRetry) {
        this->state = State::recording;
        commands.emplace_back(this->outcome);
    }
    return commands;
}

/// Handles a claim that was closed before its action ran; another attempt may follow.
ActionCommands ProtectedAction::onClaimClosed()
{
    if (++this->attempt < kMaxAttempts && !this->hasReplied)
        return this->route();
    return this->refuseNotSent(this->refusalReason.empty() ? "claim-closed" : this->refusalReason,
                               "the action was not run for this request");
}

ActionCommands ProtectedAction::answer(const StoredAnswer &answer, bool isReplay)
{
    this->state = State::ended;
    return this->replyOnce(AnswerAction{ .answer = answer, .isReplay = isReplay });
}

ActionCommands ProtectedAction::refuse(Problem problem)
{
    this->state = State::ended;
    return this->replyOnce(RefuseAction{ .problem = std::move(problem) });
}

ActionCommands ProtectedAction::refuseNotSent(const std::string &reason, const std::string &detail)
{
    return this->refuse({ .status = 503,
                          .reason = reason,
                          .detail = detail,
                          .action = ActionStatus::notSent,
                          .retryAfter = kRetryAfter });
}

ActionCommands ProtectedAction::refuseUnknown(const std::string &detail)
{
    return this->refuse({ .status = 504,
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
