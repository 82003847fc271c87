#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <set>
#include <string>

namespace egret {

/// Whether a gate lets a request through.
struct GateDecision
{
    bool admitted{ false };
    std::string reason; ///< machine-readable, where it is refused
    ActionStatus actionStatus{
        ActionStatus::notRun
    }; ///< what is known of the claim, where it is refused
};

struct GateOptions
{
    std::uint64_t seed{ 0 };                 ///< incarnation of this gate's memory
    std::uint32_t limit{ 16 };               ///< requests that run at once
    std::size_t maxClaims{ 65536 };          ///< ended claims that are remembered
    std::size_t maxAnswerBytes{ 16U << 20 }; ///< bytes of answers that are kept
};

/// The last gate before an upstream: bounds concurrency and lets each key
/// through at most once. A claim made against another gate memory is refused,
/// for this gate can't know what the earlier one let through. Ended claims are
/// forgotten from the lowest fence; the highest forgotten fence is a watermark
/// at and under which every claim is refused, so that a forgotten claim can't
/// run again. Deterministic; not thread safe.
class Gate
{
public:
    explicit Gate(GateOptions options) : options(options) {}

    /// Decides on a request; an admitted one counts as running until `finish`.
    GateDecision admit(const ServeRequest &request);

    /// Ends an admitted request. A claim ends as run with its answer, as
    /// unknown, or as not run where nothing of it left for the upstream.
    void finish(const ServeRequest &request, ActionStatus actionStatus,
                const std::optional<StoredAnswer> &answer = std::nullopt);

    /// What became of a claim; one that was never let through is closed, so
    /// that a late copy of it is refused.
    ClaimProbeReply probe(const ClaimProbe &probe);

    /// Requests that run now.
    std::uint32_t inFlight() const { return this->running; }

    /// Claims that are remembered.
    std::size_t claimCount() const { return this->claims.size(); }

private:
    struct GateClaim
    {
        std::uint64_t fence{ 0 };
        ActionStatus actionStatus{ ActionStatus::unknown };
        std::optional<StoredAnswer> answer;
    };

    void ended(const std::string &claimId);
    void forgetOldest();

    GateOptions options;
    std::uint32_t running{ 0 };
    std::uint64_t watermark{ 0 }; ///< highest fence that was forgotten
    std::map<std::string, GateClaim> claims;
    std::set<std::pair<std::uint64_t, std::string>> endedByFence;
    std::set<std::pair<std::uint64_t, std::string>> answersByFence;
    std::size_t answerBytes{ 0 };
};

} // namespace egret
