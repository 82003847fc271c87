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
    std::string reason;                                ///< machine-readable reason of a refusal
    ActionStatus actionStatus{ ActionStatus::notRun }; ///< known status of a refused claim
};

struct GateOptions
{
    std::uint64_t seed{ 0 };        ///< incarnation of the gate; its claims don't survive a restart
    std::uint32_t limit{ 16 };      ///< limit on requests in flight
    std::size_t maxClaims{ 65536 }; ///< limit on ended claims kept
    std::size_t maxAnswerBytes{ 16U << 20 }; ///< limit on bytes of kept answers
};

/// Last check before an upstream: bounds concurrency and admits each key at most
/// once. A claim on another incarnation of the gate is refused, because this
/// gate doesn't know which claims the other one admitted. Ended claims are evicted in
/// order of their fencing tokens; the highest evicted fence is a watermark. Every
/// claim at or below the watermark is refused, so that an evicted claim can't run
/// again. Deterministic; not thread safe.
class Gate
{
public:
    explicit Gate(GateOptions options) : options(options) {}

    /// Decides on a request; an admitted request counts as running until `finish`.
    GateDecision admit(const ServeRequest &request);

    /// Ends an admitted request. Its claim ends as `run` with the answer, as
    /// `unknown`, or as `notRun` if nothing was sent to the upstream.
    void finish(const ServeRequest &request, ActionStatus actionStatus,
                const std::optional<StoredAnswer> &answer = std::nullopt);

    /// Returns the status of a claim. A claim that was never admitted is closed,
    /// so that a delayed copy of its request is refused.
    ClaimProbeReply probe(const ClaimProbe &probe);

    /// Number of requests in flight.
    std::uint32_t inFlight() const { return this->running; }

    /// Number of claims kept.
    std::size_t claimCount() const { return this->claims.size(); }

private:
    struct GateClaim
    {
        std::uint64_t fence{ 0 };
        ActionStatus actionStatus{ ActionStatus::unknown };
        std::optional<StoredAnswer> answer;
    };

    void recordEnded(const std::string &claimId);
    void forgetOldest();

    GateOptions options;
    std::uint32_t running{ 0 };
    std::uint64_t watermark{ 0 }; ///< highest evicted fence
    std::map<std::string, GateClaim> claims;
    std::set<std::pair<std::uint64_t, std::string>> endedByFence;
    std::set<std::pair<std::uint64_t, std::string>> answersByFence;
    std::size_t answerBytes{ 0 };
};

} // namespace egret
