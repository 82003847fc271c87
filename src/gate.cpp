#include "gate.h"

namespace egret {

namespace {

/// True when the action of a claim with this status may have reached the upstream.
bool mayHaveRun(ActionStatus actionStatus)
{
    return actionStatus != ActionStatus::notRun;
}

} // namespace

GateDecision Gate::admit(const ServeRequest &request)
{
    if (this->inFlightCount >= this->options.limit)
        return { .reason = "upstream-full" };
    if (request.claim) {
        const ClaimTag &claimTag = *request.claim;
        if (claimTag.gateIncarnation != this->options.seed)
            return { .reason = "claim-of-another-gate" };
        const auto found = this->claims.find(claimTag.claimId);
        const bool isKnown = found != this->claims.end();
        if (isKnown
            && (mayHaveRun(found->second.actionStatus) || found->second.fence >= claimTag.fence))
            return { .reason = "claim-closed", .actionStatus = found->second.actionStatus };
        if (claimTag.fence <= this->watermark)
            return { .reason = "claim-too-old", .actionStatus = ActionStatus::unknown };
        if (isKnown)
            this->endedClaims.erase({ found->second.fence, claimTag.claimId });
        this->claims[claimTag.claimId] =
                GateClaim{ .fence = claimTag.fence, .actionStatus = ActionStatus::running };
    }
    ++this->inFlightCount;
    return { .admitted = true };
}

void Gate::finish(const ServeRequest &request, ActionStatus actionStatus,
                  const std::optional<StoredAnswer> &answer)
{
    --this->inFlightCount;
    if (!request.claim)
        return;
    const std::string &claimId = request.claim->claimId;
    GateClaim &claim = this->claims[claimId];
    claim.actionStatus = actionStatus;
    claim.answer = answer;
    if (answer) {
        this->answerBytes += answer->body.size();
        this->answersByFence.emplace(claim.fence, claimId);
    }
    this->recordEnded(claimId);
}

ClaimProbeReply Gate::probe(const ClaimProbe &probe)
{
    const ClaimTag &claimTag = probe.claim;
    ClaimProbeReply reply{ .probeId = probe.probeId,
                           .gateIncarnation = this->options.seed,
                           .actionStatus = ActionStatus::unknown };
    if (claimTag.gateIncarnation != this->options.seed)
        return reply;
    const auto found = this->claims.find(claimTag.claimId);
    if (found != this->claims.end() && mayHaveRun(found->second.actionStatus)) {
        reply.actionStatus = found->second.actionStatus;
        reply.answer = found->second.answer;
        return reply;
    }
    if (found == this->claims.end() && claimTag.fence <= this->watermark)
        return reply; // the action may have run before the claim was evicted
    reply.actionStatus = ActionStatus::notRun;
    if (found != this->claims.end() && found->second.fence >= claimTag.fence)
        return reply;
    if (found != this->claims.end())
        this->endedClaims.erase({ found->second.fence, claimTag.claimId });
    this->claims[claimTag.claimId] =
            GateClaim{ .fence = claimTag.fence, .actionStatus = ActionStatus::notRun };
    this->recordEnded(claimTag.claimId);
    return reply;
}

/// Records the end of a claim, then evicts answers above the limit `maxAnswerBytes` and claims
/// above the limit `maxClaims`, the lowest fences first.
void Gate::recordEnded(const std::string &claimId)
{
    this->endedClaims.emplace(this->claims[claimId].fence, claimId);
    while (this->answerBytes > this->options.maxAnswerBytes) {
        const auto oldest = this->answersByFence.begin();
        GateClaim &claim = this->claims[oldest->second];
        this->answerBytes -= claim.answer->body.size();
        claim.answer.reset();
        this->answersByFence.erase(oldest);
    }
    while (this->endedClaims.size() > this->options.maxClaims)
        this->evictOldestClaim();
}

void Gate::evictOldestClaim()
{
    const auto oldest = this->endedClaims.begin();
    const auto found = this->claims.find(oldest->second);
    if (found->second.answer) {
        this->answerBytes -= found->second.answer->body.size();
        this->answersByFence.erase(*oldest);
    }
    this->watermark = std::max(this->watermark, oldest->first);
    this->claims.erase(found);
    this->endedClaims.erase(oldest);
}

} // namespace egret
