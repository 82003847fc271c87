#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <set>
#include <string>

namespace egret {

/// Decision of a gate on a request.
struct GateDecision
{
    bool admitted{ false };
    std::string reason; ///< machine-readable reason of a refusal
    /// Status of the action, as far as the gate knows, when the request is refused.
    ActionStatus actionStatus{ ActionStatus::notRun };
};

struct GateOptions
{
    std::uint64_t seed{ 0 };        ///< incarnation of the gate; claims do not survive a restart
    std::uint32_t limit{ 16 };      ///< limit on requests in flight
    std::size_t maxClaims{ 65536 }; ///< limit on stored claims that have ended
    std::size_t maxAnswerBytes{ 16U << 20 }; ///< limit on the total size of stored answers
};

/// Admission check of an agent in front of its upstream. The gate limits the requests in
/// flight. A protected action is sent under a claim, which carries a fencing token (fence).
/// The gate admits a claim once. If nothing was sent to the upstream, the key of the claim is
/// admitted again, but only with a higher fence. A claim that names another incarnation of the
/// gate is refused, because only that incarnation knows whether the claim was admitted.
/// Ended claims are evicted in the order of their fences; the highest evicted fence is the
/// watermark. An unknown claim with a fence at or below the watermark is refused, because the claim
/// may have been admitted and evicted. Deterministic; not thread safe.
class Gate
{
public:
    explicit Gate(GateOptions options) : options(options) {}

    /// Decides on a request; an admitted request is in flight until `finish`.
    GateDecision admit(const ServeRequest &request);

    /// Ends an admitted request and sets the status of the claimed action: `run` with the answer,
    /// `unknown`, or `notRun` if nothing was sent to the upstream.
    void finish(const ServeRequest &request, ActionStatus actionStatus,
                const std::optional<StoredAnswer> &answer = std::nullopt);

    /// Returns the status of the action under a claim. A claim that has not been admitted is
    /// closed; a delayed copy of its request is then refused.
    ClaimProbeReply probe(const ClaimProbe &probe);

    /// Number of requests in flight.
    std::uint32_t inFlight() const { return this->inFlightCount; }

    /// Number of stored claims.
    std::size_t claimCount() const { return this->claims.size(); }

private:
    struct GateClaim
    {
        std::uint64_t fence{ 0 };
        ActionStatus actionStatus{ ActionStatus::unknown };
        std::optional<StoredAnswer> answer;
    };

    void recordEnded(const std::string &claimId);
    void evictOldestClaim();

    GateOptions options;
    std::uint32_t inFlightCount{ 0 };
    std::uint64_t watermark{ 0 }; ///< highest evicted fence
    std::map<std::string, GateClaim> claims;
    /// Fence and claim id of the claims that have ended.
    std::set<std::pair<std::uint64_t, std::string>> endedClaims;
    /// Fence and claim id of the claims with a stored answer.
    std::set<std::pair<std::uint64_t, std::string>> answersByFence;
    std::size_t answerBytes{ 0 };
};

} // namespace egret
