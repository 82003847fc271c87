#pragma once

#include "types.h"

#include <cstdint>
#include <set>
#include <string>

namespace egret {

/// Properties of a request that decide whether and how often it may be attempted.
struct RequestTraits
{
    bool isIdempotent{ false }; ///< may be executed more than once
    bool isStream{ false };
    bool isResumable{ false }; ///< a broken stream may continue at another upstream
    std::uint32_t maxAttempts{ 1 };
    TimePoint deadline; ///< earlier of the client's deadline and the route's timeout
};

/// Next action for a request.
enum class NextStep : std::uint8_t {
    wait,            ///< no action: an attempt is in flight
    choose,          ///< choose an upstream and send the request
    resume,          ///< continue after the last event at an upstream with the same weights
    answer,          ///< respond with `status`; no part of a response was forwarded before
    closeConnection, ///< a partly forwarded response can't be completed
    done,            ///< the response is complete, or the client is gone
};

struct LifecycleDecision
{
    NextStep step{ NextStep::wait };
    int status{ 0 };
    std::string reason;   ///< machine-readable
    bool notRun{ false }; ///< no attempt can have been executed
};

/// Lifecycle state machine of one request: decides after each event whether to
/// attempt the request again and how to respond to the client. `notRun` is set
/// only when no attempt can have been executed: its bytes were never sent, or its
/// upstream reported that it did not execute the request. A request that may run
/// only once gets no further attempt after one that may have been executed.
/// Deterministic; not thread safe.
class RequestLifecycle
{
public:
    explicit RequestLifecycle(RequestTraits traits) : traits(traits) {}

    /// Starts an attempt at an upstream. Precondition: the last decision was
    /// `choose` or `resume`.
    void onSend(const std::string &upstream);

    /// No upstream can accept the request.
    LifecycleDecision onNoUpstream(const std::string &reason);

    /// The retry budget allows no further attempt.
    LifecycleDecision onRetryBudgetExhausted() { return this->giveUp("retry-budget"); }

    /// The attempt was not executed: none of its bytes was sent, or its upstream
    /// reported so. `wasSent`: bytes reached the upstream.
    LifecycleDecision onAttemptNotRun(const std::string &reason, bool wasSent, TimePoint now);

    /// The upstream responded with a failure status that is not forwarded yet.
    LifecycleDecision onFailureStatus(int status, TimePoint now);

    /// A part of the response was forwarded to the client.
    void onForwarded() { this->forwarded = this->responseBegun = true; }

    /// The attempt broke off; the upstream may have executed the request.
    LifecycleDecision onAttemptBroken(const std::string &reason, TimePoint now);

    /// The complete response of the attempt was forwarded.
    LifecycleDecision onComplete();

    /// The client closed the connection.
    LifecycleDecision onClientDisconnected();

    /// The deadline passed.
    LifecycleDecision onDeadline();

    TimePoint deadline() const { return this->traits.deadline; }
    std::uint32_t attempts() const { return this->sentAttempts; }
    bool hasForwarded() const { return this->forwarded; }

    /// True when the attempt in flight has returned part of its response. An attempt
    /// that resumes a stream may still be queued at its upstream.
    bool hasBegun() const { return this->responseBegun; }

    /// True when the request may have been executed.
    bool mayHaveRun() const { return this->endedMayHaveRun || this->inFlight; }
    bool isOver() const { return this->finished; }

    /// Upstreams at which the request was attempted.
    const std::set<std::string> &attemptedUpstreams() const { return this->triedUpstreams; }

private:
    bool mayRunAgain() const;
    bool hasAttemptLeft(TimePoint now) const;
    LifecycleDecision giveUp(const std::string &reason);
    LifecycleDecision end(NextStep step);

    RequestTraits traits;
    std::set<std::string> triedUpstreams;
    std::uint32_t sentAttempts{ 0 }; ///< attempts whose bytes may have reached an upstream
    bool inFlight{ false };          ///< an attempt is in flight
    bool endedMayHaveRun{ false };   ///< an attempt that ended may have been executed
    bool forwarded{ false };
    bool responseBegun{ false }; ///< the attempt in flight has returned part of its response
    bool finished{ false };
};

} // namespace egret
