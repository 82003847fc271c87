#pragma once

#include "types.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace egret {

/// Properties of a request that decide whether and how often it may be attempted.
struct RequestTraits
{
    bool isIdempotent{ false };     ///< the request may be executed more than once
    bool isStream{ false };         ///< the response is a stream of server-sent events
    bool isResumable{ false };      ///< a broken stream may continue at another upstream
    std::uint32_t maxAttempts{ 1 }; ///< limit on `RequestLifecycle::attempts`
    TimePoint deadline; ///< earlier of the client's deadline and the end of the route's timeout
};

/// What the gateway does next with a request.
enum class NextStep : std::uint8_t {
    wait,   ///< nothing to do before the next event
    choose, ///< choose an upstream and send the request
    /// Continue the stream after the last forwarded event, at an upstream with the same weights.
    resume,
    answer,          ///< respond with `status`; no part of a response has been forwarded
    closeConnection, ///< close the connection to the client: the response can't be completed
    done,            ///< the response is complete, or the client disconnected
};

/// Next step of a request, with the details of a failure.
struct LifecycleDecision
{
    NextStep step{ NextStep::wait };
    int status{ 0 };      ///< HTTP status for `NextStep::answer`
    std::string reason;   ///< machine-readable reason of a retry or failure
    bool notRun{ false }; ///< no upstream can have executed the request
};

/// Lifecycle state machine of one request: decides after each event whether to
/// attempt the request again and how to respond to the client. An attempt is one
/// transmission of the request to one upstream; an attempt has run when the upstream
/// executed the request. An attempt certainly did not run when none of its bytes were
/// sent or the upstream reported that the request was not executed; `LifecycleDecision::notRun`
/// is set only when all attempts certainly did not run. A request that may run at most once is not
/// attempted again after an attempt that may have run. Parameters named `reason` become the reason
/// of the decision. Deterministic; not thread safe.
class RequestLifecycle
{
public:
    explicit RequestLifecycle(RequestTraits traits) : traits(traits) {}

    /// An attempt at an upstream starts. Precondition: the last decision was `choose` or
    /// `resume`, or this is the first attempt.
    void onSend(const std::string &upstream);

    /// No upstream can accept the request.
    LifecycleDecision onNoUpstream(const std::string &reason);

    /// The retry budget allows no further attempt.
    LifecycleDecision onRetryBudgetExhausted() { return this->giveUp("retry-budget"); }

    /// The attempt did not run. `wasSent`: true when bytes reached the upstream, which then
    /// reported that the request was not executed. Only a sent attempt counts towards
    /// `maxAttempts`.
    LifecycleDecision onAttemptNotRun(const std::string &reason, bool wasSent, TimePoint now);

    /// The upstream responded with a failure status that is not forwarded yet. Returns `choose`
    /// when another attempt may start, otherwise `wait`.
    LifecycleDecision onFailureStatus(int status, TimePoint now);

    /// A part of the response was forwarded to the client.
    void onForwarded() { this->forwarded = this->responseBegun = true; }

    /// The attempt failed before its response was complete; the attempt may have run.
    LifecycleDecision onAttemptBroken(const std::string &reason, TimePoint now);

    /// The complete response of the attempt was forwarded.
    LifecycleDecision onComplete();

    /// The client closed the connection.
    LifecycleDecision onClientDisconnected();

    /// The deadline of the request passed.
    LifecycleDecision onDeadline();

    /// Brings the deadline forward to `latest`, if it is later.
    void limitDeadline(TimePoint latest)
    {
        this->traits.deadline = std::min(this->traits.deadline, latest);
    }

    TimePoint deadline() const { return this->traits.deadline; }

    /// Number of attempts whose bytes may have reached an upstream.
    std::uint32_t attempts() const { return this->sentAttemptCount; }

    /// True when a part of the response was forwarded to the client.
    bool hasForwarded() const { return this->forwarded; }

    /// True when the latest attempt has returned part of its response. After a stream is resumed,
    /// false until the new upstream responds; `hasForwarded` stays true.
    bool hasResponseBegun() const { return this->responseBegun; }

    /// True when an attempt may have run.
    bool mayHaveRun() const { return this->endedAttemptMayHaveRun || this->inFlight; }

    /// True when the last decision was final: `answer`, `closeConnection` or `done`.
    bool isOver() const { return this->finished; }

    /// Ids of the upstreams at which the request was attempted.
    const std::set<std::string> &attemptedUpstreams() const { return this->attemptedUpstreamIds; }

private:
    bool mayRunAgain() const;
    bool hasAttemptLeft(TimePoint now) const;
    /// Ends the request with an error that names `reason`.
    LifecycleDecision giveUp(const std::string &reason);
    LifecycleDecision finish(NextStep step);

    RequestTraits traits;
    std::set<std::string> attemptedUpstreamIds;
    std::uint32_t sentAttemptCount{ 0 };  ///< attempts whose bytes may have reached an upstream
    bool inFlight{ false };               ///< an attempt is in flight
    bool endedAttemptMayHaveRun{ false }; ///< an attempt that is no longer in flight may have run
    bool forwarded{ false };              ///< a part of the response was forwarded to the client
    bool responseBegun{ false };          ///< the latest attempt has returned part of its response
    bool finished{ false };
};

} // namespace egret
