#pragma once

#include "generated/messages.h"
#include "problem.h"
#include "types.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egret {

/// Event: the router has chosen an agent; empty when no upstream is eligible.
struct ActionRouted
{
    std::optional<AgentRecord> agent;
};

/// Event: the quorum has replied to a request for a claim; empty after a timeout.
struct ActionClaimed
{
    std::optional<ControlResult> result;
};

/// Event: an attempt at an agent has ended, with or without a complete answer.
struct ActionAttemptEnded
{
    std::optional<StoredAnswer> answer; ///< set when the answer is complete
    ActionStatus actionStatus{ ActionStatus::unknown };
    std::string reason; ///< machine-readable reason of a failure
    /// The connection to the agent broke after the request may have been sent.
    bool isConnectionLost{ false };
};

/// Event: a gate has replied to a probe of a claim; empty after a timeout.
struct ActionProbed
{
    std::optional<ClaimProbeReply> reply;
};

/// Event: a query of the service for the outcome has ended; `answer` is empty when the
/// service reports no outcome or can't be reached.
struct ActionOutcomeQueried
{
    std::optional<StoredAnswer> answer;
};

/// Event: the quorum has replied to a request to record an outcome; empty after a timeout.
struct ActionRecorded
{
    std::optional<ControlResult> result;
};

/// Event: the request's deadline has passed; may be delivered repeatedly.
struct ActionDeadline
{
};

/// Event: the client has disconnected.
struct ActionClientDisconnected
{
};

using ActionEvent = std::variant<ActionRouted, ActionClaimed, ActionAttemptEnded, ActionProbed,
                                 ActionOutcomeQueried, ActionRecorded, ActionDeadline,
                                 ActionClientDisconnected>;

/// Command: choose an agent for the action.
struct RouteAction
{
    /// Agents at which an attempt has ended without running the action.
    std::set<std::string> excluded;
};

/// Command: send the request under its claim.
struct SendAction
{
    AgentRecord agent;
    ClaimTag claim;
};

/// Command: ask the gate that is named in the claim for the status of the action. The gate closes
/// the claim if the action has not run, so this probe is not read-only.
struct ProbeOrCloseClaim
{
    std::string endpoint;
    ClaimTag claim;
    Milliseconds delay{ 0 }; ///< time to wait before the probe is sent
};

/// Command: query the service of the claim's agent, through the agent, for the outcome.
struct ResolveAction
{
    std::string agent;
};

/// Command: send the answer to the client.
struct AnswerAction
{
    StoredAnswer answer;
    /// The answer belongs to an earlier request with the same idempotency key.
    bool isReplay{ false };
};

/// Command: send the client a problem document with the known status of the action.
struct ReplyWithProblem
{
    Problem problem;
};

using ActionCommand = std::variant<RouteAction, OpenClaim, SendAction, ProbeOrCloseClaim,
                                   ResolveAction, FinishClaim, AnswerAction, ReplyWithProblem>;
using ActionCommands = std::vector<ActionCommand>;

struct ProtectedActionOptions
{
    std::string requestId;
    std::string instance;       ///< entry instance that serves the request
    std::string claimId;        ///< customer and idempotency key, joined by a slash
    std::string bodyDigest;     ///< digest of method, path and body
    Milliseconds openedAt{ 0 }; ///< wall-clock time of the request for the claim, since the epoch
    TimePoint deadline;
    bool withdraw{ false };   ///< the client asks that nothing ever runs under the key
    bool canResolve{ false }; ///< the service can be queried for outcomes
};

/// State machine of one client request for a protected action, which runs at most once
/// per idempotency key. The machine opens a claim on the key at the quorum, sends the
/// request at most once under the claim and records the outcome before replying. A claim
/// binds the key to one agent and its gate, the admission check of the agent, and carries a
/// fencing token (fence). Requests with the same key share the outcome. Action status in the reply:
/// - not-run: nothing has run under the key and nothing ever will;
/// - not-sent: nothing has run or will run for this request; the key stays usable;
/// - running or run: as reported by the gate, the quorum or the service;
/// - unknown: the action may have run.
/// Deterministic; not thread safe.
class ProtectedAction
{
public:
    explicit ProtectedAction(ProtectedActionOptions options) : options(std::move(options)) {}

    /// Starts the machine and returns the first commands; call once.
    ActionCommands begin();

    /// Handles an event and returns the commands to perform. Events that the
    /// current state does not expect are ignored. The client receives exactly one
    /// reply; the action may continue afterwards until its outcome is recorded.
    ActionCommands on(const ActionEvent &event, TimePoint now);

    /// True when the machine has ended and ignores all further events.
    bool ended() const { return this->state == State::ended; }

private:
    enum class State {
        routing,    ///< waits for the choice of an agent
        claiming,   ///< waits for the quorum to grant the claim
        attempting, ///< waits for the end of the attempt at the agent
        probing,    ///< waits for the gate's reply to a probe
        resolving,  ///< waits for the end of the query of the service for the outcome
        recording,  ///< waits for the quorum to record the outcome
        ended
    };

    ActionCommands onEvent(const ActionRouted &event, TimePoint now);
    ActionCommands onEvent(const ActionClaimed &event, TimePoint now);
    ActionCommands onEvent(const ActionAttemptEnded &event, TimePoint now);
    ActionCommands onEvent(const ActionProbed &event, TimePoint now);
    ActionCommands onEvent(const ActionOutcomeQueried &event, TimePoint now);
    ActionCommands onEvent(const ActionRecorded &event, TimePoint now);
    ActionCommands onEvent(const ActionDeadline &event, TimePoint now);
    ActionCommands onEvent(const ActionClientDisconnected &event, TimePoint now);
    ActionCommands route();
    ActionCommands onClaimGranted(const Claim &grantedClaim, TimePoint now);
    ActionCommands onExistingClaim(const Claim &currentClaim);
    ActionCommands probe(const Claim &currentClaim, Milliseconds delay);
    ActionCommands resolveOutcome(ActionStatus actionStatus);
    ActionCommands recordOutcome(ClaimState outcome, std::optional<StoredAnswer> answer);
    ActionCommands onRecordTimeout();
    ActionCommands onClaimClosed();
    ActionCommands answer(const StoredAnswer &answer, bool isReplay);
    ActionCommands replyWithProblem(Problem problem);
    ActionCommands replyNotSent(const std::string &reason, const std::string &detail);
    ActionCommands replyUnknown(const std::string &detail);
    ActionCommands replyOnce(ActionCommand command);

    ProtectedActionOptions options;
    State state{ State::routing };
    bool hasReplied{ false };              ///< the client has been sent its reply
    bool isClientDisconnected{ false };    ///< the client has disconnected
    std::uint32_t attemptsWithoutRun{ 0 }; ///< attempts that ended without running the action
    std::uint32_t recordAttempts{ 0 };
    std::set<std::string> excluded; ///< see `RouteAction`
    AgentRecord agent;              ///< agent named in the requested claim
    Claim claim;                    ///< granted or existing claim on which the machine acts
    bool isOwnClaim{ false };       ///< `claim` was opened by this request
    FinishClaim outcome;            ///< outcome being recorded
    bool isOwnAnswer{ false };      ///< the answer was received by an attempt of this request
    std::string refusalReason;      ///< reason for which the last attempt was refused or stopped
};

} // namespace egret
