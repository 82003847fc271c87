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

/// Result of routing; empty when no upstream is eligible.
struct ActionRouted
{
    std::optional<AgentRecord> agent;
};

/// Reply of the quorum to a claim; empty after a timeout.
struct ActionClaimed
{
    std::optional<ControlResult> result;
};

/// End of an attempt at an agent, with or without a complete answer.
struct ActionServed
{
    std::optional<StoredAnswer> answer; ///< set when the answer is complete
    ActionStatus actionStatus{ ActionStatus::unknown };
    std::string reason;
    bool isUnanswered{ false }; ///< the link was lost before the agent reported an end
};

/// Reply of a gate to a probe; empty after a timeout.
struct ActionProbed
{
    std::optional<ClaimProbeReply> reply;
};

/// Answer of the service to an outcome query; empty when the service has none.
struct ActionResolved
{
    std::optional<StoredAnswer> answer;
};

/// Reply of the quorum to a recorded outcome; empty after a timeout.
struct ActionRecorded
{
    std::optional<ControlResult> result;
};

/// The request's deadline has passed; may be delivered repeatedly.
struct ActionDeadline
{
};

/// The client has disconnected.
struct ActionCallerGone
{
};

using ActionEvent = std::variant<ActionRouted, ActionClaimed, ActionServed, ActionProbed,
                                 ActionResolved, ActionRecorded, ActionDeadline, ActionCallerGone>;

/// Choose an agent for the action.
struct RouteAction
{
    std::set<std::string> excluded; ///< agents that have refused the action
};

/// Send the request under its claim.
struct SendAction
{
    AgentRecord agent;
    ClaimTag claim;
};

/// Probe the gate of a claim; the gate closes a claim that has not run.
struct ProbeAction
{
    std::string endpoint;
    ClaimTag claim;
    Milliseconds delay{ 0 };
};

/// Query the service behind the claim's agent for the outcome.
struct ResolveAction
{
    std::string agent;
};

/// Send the outcome to the client.
struct AnswerAction
{
    StoredAnswer answer;
    bool isReplay{ false }; ///< the answer belongs to an earlier request under the key
};

/// Send the client a problem that states what is known of the action.
struct RefuseAction
{
    Problem problem;
};

using ActionCommand = std::variant<RouteAction, OpenClaim, SendAction, ProbeAction, ResolveAction,
                                   FinishClaim, AnswerAction, RefuseAction>;
using ActionCommands = std::vector<ActionCommand>;

struct ProtectedActionOptions
{
    std::string requestId;
    std::string instance; ///< entry instance that serves the request
    std::string claimId;  ///< customer and idempotency key
    std::string bodyDigest;
    Milliseconds openedAt{ 0 }; ///< time since the epoch
    TimePoint deadline;
    bool withdraw{ false };   ///< the client withdraws the key: closes it without an action
    bool canResolve{ false }; ///< the service answers outcome queries
};

/// State machine of one client request for a protected action: claims the key at
/// the quorum, sends the request at most once under the claim, and records the
/// outcome before replying. Action status in the reply:
/// - not-run: nothing has run under the key and nothing ever will;
/// - not-sent: nothing has run or will run for this request, the key stays usable;
/// - running, run, unknown: last state known to the gate, the quorum or the service.
/// Deterministic; not thread safe.
class ProtectedAction
{
public:
    explicit ProtectedAction(ProtectedActionOptions options) : options(std::move(options)) {}

    /// Returns the first commands; call once.
    ActionCommands begin();

    /// Handles an event and returns the commands to perform. Events that the
    /// current state does not expect are ignored. The client receives exactly one
    /// reply; the action may continue afterwards until its outcome is recorded.
    ActionCommands on(const ActionEvent &event, TimePoint now);

    /// True once no further event is expected.
    bool ended() const { return this->state == State::ended; }

private:
    enum class State { routing, claiming, serving, probing, resolving, recording, ended };

    ActionCommands onEvent(const ActionRouted &event, TimePoint now);
    ActionCommands onEvent(const ActionClaimed &event, TimePoint now);
    ActionCommands onEvent(const ActionServed &event, TimePoint now);
    ActionCommands onEvent(const ActionProbed &event, TimePoint now);
    ActionCommands onEvent(const ActionResolved &event, TimePoint now);
    ActionCommands onEvent(const ActionRecorded &event, TimePoint now);
    ActionCommands onEvent(const ActionDeadline &event, TimePoint now);
    ActionCommands onEvent(const ActionCallerGone &event, TimePoint now);
    ActionCommands route();
    ActionCommands onClaimGranted(const Claim &granted, TimePoint now);
    ActionCommands onClaimHeld(const Claim &held);
    ActionCommands probe(const Claim &held, Milliseconds delay);
    ActionCommands resolveOutcome(ActionStatus actionStatus);
    ActionCommands record(ClaimState outcome, std::optional<StoredAnswer> answer);
    ActionCommands retryRecord();
    ActionCommands onClaimClosed();
    ActionCommands answer(const StoredAnswer &answer, bool isReplay);
    ActionCommands refuse(Problem problem);
    ActionCommands refuseNotSent(const std::string &reason, const std::string &detail);
    ActionCommands refuseUnknown(const std::string &detail);
    ActionCommands replyOnce(ActionCommand command);

    ProtectedActionOptions options;
    State state{ State::routing };
    bool hasReplied{ false }; ///< the client has been sent its reply
    bool callerGone{ false }; ///< the client has disconnected
    std::uint32_t attempt{ 0 };
    std::uint32_t recordAttempts{ 0 };
    std::set<std::string> excluded;
    AgentRecord agent;         ///< agent named in the requested claim
    Claim claim;               ///< claim being sent, probed or recorded
    bool isOwnClaim{ false };  ///< this request opened `claim`
    FinishClaim outcome;       ///< outcome being recorded
    bool isOwnAnswer{ false }; ///< the recorded answer was received by this request
    std::string refusal;       ///< reason for which this request was refused
};

} // namespace egret
