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

/// An agent was looked for; empty when none may take the action.
struct ActionRouted
{
    std::optional<AgentRecord> agent;
};

/// The quorum answered a claim, or nothing came within the limit.
struct ActionClaimed
{
    std::optional<ControlResult> result;
};

/// The agent's answer ended, or can't come any more.
struct ActionServed
{
    std::optional<StoredAnswer> answer; ///< set when the answer is whole
    ActionStatus actionStatus{ ActionStatus::unknown };
    std::string reason;
    bool isLost{ false }; ///< no word came from the agent
};

/// The gate answered a probe, or nothing came within the limit.
struct ActionProbed
{
    std::optional<ClaimProbeReply> reply;
};

/// The service was asked for the outcome; empty when it knows none.
struct ActionResolved
{
    std::optional<StoredAnswer> answer;
};

/// The quorum answered the record of an outcome, or nothing came within the limit.
struct ActionRecorded
{
    std::optional<ControlResult> result;
};

/// The caller's deadline has passed; may come again.
struct ActionDeadline
{
};

/// The caller's connection is gone.
struct ActionCallerGone
{
};

using ActionEvent = std::variant<ActionRouted, ActionClaimed, ActionServed, ActionProbed,
                                 ActionResolved, ActionRecorded, ActionDeadline, ActionCallerGone>;

/// Look for an agent that may take the action.
struct RouteAction
{
    std::set<std::string> excluded; ///< agents that have refused it
};

/// Send the request under its claim.
struct SendAction
{
    AgentRecord agent;
    ClaimTag claim;
};

/// Ask the gate that holds a claim; it closes the claim where it has not run.
struct ProbeAction
{
    std::string endpoint;
    ClaimTag claim;
    Milliseconds delay{ 0 };
};

/// Ask the service behind the claim's agent for the outcome.
struct ResolveAction
{
    std::string agent;
};

/// Give the caller the outcome.
struct AnswerAction
{
    StoredAnswer answer;
    bool isReplay{ false }; ///< an earlier request under the key had it
};

/// Tell the caller that there is no answer, and what is known.
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
    bool withdraw{ false };   ///< the caller wants the key closed instead
    bool canResolve{ false }; ///< the service can be asked for outcomes
};

/// One caller's request for a protected action: claims its key at the quorum,
/// has it sent at most once under the claim, and records the outcome before
/// the caller is told of it. What the caller is told of the key:
/// - not-run: nothing has run under the key and nothing ever will;
/// - not-sent: nothing has run or will run for this request, the key stays usable;
/// - running, run, unknown: as far as the gate, the quorum or the service know.
/// Deterministic; not thread safe.
class ProtectedAction
{
public:
    explicit ProtectedAction(ProtectedActionOptions options) : options(std::move(options)) {}

    /// First commands; call once.
    ActionCommands begin();

    /// Takes an event and returns what is to be done. Events that the state
    /// does not wait for are ignored. The caller is told exactly once; the
    /// action may go on after that until its outcome is recorded.
    ActionCommands on(const ActionEvent &event, TimePoint now);

    /// True once nothing is waited for any more.
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
    ActionCommands claimGranted(const Claim &granted, TimePoint now);
    ActionCommands claimHeld(const Claim &held);
    ActionCommands probe(const Claim &held, Milliseconds delay);
    ActionCommands unresolved(ActionStatus actionStatus);
    ActionCommands record(ClaimState outcome, std::optional<StoredAnswer> answer);
    ActionCommands recordAgain();
    ActionCommands closed();
    ActionCommands answer(const StoredAnswer &answer, bool isReplay);
    ActionCommands refuse(Problem problem);
    ActionCommands notSent(const std::string &reason, const std::string &detail);
    ActionCommands unknown(const std::string &detail);
    ActionCommands tell(ActionCommand command);

    ProtectedActionOptions options;
    State state{ State::routing };
    bool told{ false };       ///< the caller has its answer
    bool callerGone{ false }; ///< nobody waits for the answer
    std::uint32_t attempt{ 0 };
    std::uint32_t recordTries{ 0 };
    std::set<std::string> excluded;
    AgentRecord agent;         ///< agent of the claim that is asked for
    Claim claim;               ///< claim that is sent, probed or recorded
    bool isOwnClaim{ false };  ///< this request opened `claim`
    FinishClaim outcome;       ///< what is being recorded
    bool isOwnAnswer{ false }; ///< the recorded answer came to this request
    std::string refusal;       ///< why the gate refused this request
};

} // namespace egret
