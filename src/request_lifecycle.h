#pragma once

#include "types.h"

#include <cstdint>
#include <set>
#include <string>

namespace egret {

/// What is known of a request when it has been read.
struct RequestTraits
{
    bool isIdempotent{ false }; ///< may run more than once
    bool isStream{ false };
    bool isResumable{ false }; ///< a broken stream may go on elsewhere
    std::uint32_t maxAttempts{ 1 };
    TimePoint deadline; ///< the client's, or the route's timeout where that is sooner
};

/// What is to be done next with a request.
enum class NextStep : std::uint8_t {
    wait,            ///< an attempt is under way
    choose,          ///< choose an upstream and send
    resume,          ///< choose an upstream of the same weights and go on after the last event
    answer,          ///< answer with `status`; nothing has been passed on
    closeConnection, ///< close the client's connection: the answer can't be completed
    done,            ///< the answer is complete, or nobody waits for it
};

struct LifecycleDecision
{
    NextStep step{ NextStep::wait };
    int status{ 0 };
    std::string reason; ///< machine-readable
    bool notRun{ false };
};

/// One request's life: which attempt follows which event and what its client is
/// told in the end. A status that says "not run" is given only when no attempt
/// can have run: its bytes never left, or its upstream has said so. An attempt
/// that may have run ends a request that may run once. Deterministic; not
/// thread safe.
class RequestLifecycle
{
public:
    explicit RequestLifecycle(RequestTraits facts) : facts(facts) {}

    /// The request is sent to an upstream. Precondition: the last verdict was
    /// `choose` or `resume`.
    void onSend(const std::string &upstream);

    /// There is no upstream to send it to.
    LifecycleDecision onNoUpstream(const std::string &reason);

    /// The budget allows no further send.
    LifecycleDecision onRetryBudgetExhausted() { return this->giveUp("retry-budget"); }

    /// The attempt did not run: no byte of it left, or its upstream said so.
    /// `wasSent`: bytes reached the upstream.
    LifecycleDecision onAttemptNotRun(const std::string &reason, bool wasSent, TimePoint now);

    /// The upstream has begun to answer with a status that is not passed on yet.
    LifecycleDecision onFailureStatus(int status, TimePoint now);

    /// A part of the answer has been passed on.
    void onForwarded() { this->passedOn = this->begun = true; }

    /// The attempt broke off: it may have run.
    LifecycleDecision onAttemptBroken(const std::string &reason, TimePoint now);

    /// The attempt's answer is whole and passed on.
    LifecycleDecision onComplete();

    /// The client is gone.
    LifecycleDecision onGone();

    /// The deadline has passed.
    LifecycleDecision onDeadline();

    TimePoint deadline() const { return this->facts.deadline; }
    std::uint32_t attempts() const { return this->sends; }
    bool hasForwarded() const { return this->passedOn; }

    /// Whether a part of the answer has come from the attempt under way: one that
    /// resumes a stream may still wait at its upstream.
    bool hasBegun() const { return this->begun; }
    bool mayHaveRun() const { return this->ranMaybe || this->inFlight; }
    bool isOver() const { return this->over; }

    /// Upstreams that have had the request.
    const std::set<std::string> &attemptedUpstreams() const { return this->triedUpstreams; }

private:
    bool mayRepeat() const;
    bool hasAttemptLeft(TimePoint now) const;
    LifecycleDecision giveUp(const std::string &reason);
    LifecycleDecision end(NextStep step);

    RequestTraits facts;
    std::set<std::string> triedUpstreams;
    std::uint32_t sends{ 0 }; ///< attempts whose bytes may have reached an upstream
    bool inFlight{ false };   ///< an attempt is under way
    bool ranMaybe{ false };   ///< an ended attempt may have run
    bool passedOn{ false };
    bool begun{ false }; ///< the attempt under way has given a part of the answer
    bool over{ false };
};

} // namespace egret
