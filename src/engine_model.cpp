#include "engine_model.h"

#include <algorithm>

namespace egret {

namespace {

constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;
/// Bound on the ratio, either way, of the prompt length derived from the engine's memory to the
/// typical one. The memory also grows with the outputs, which are estimated.
constexpr double kMaxPromptRatio = 3;

} // namespace

/// Cost of a request at the engine of which nothing is known but the memory that all take.
RequestCost EngineModel::typicalCost(const EngineLoad &load) const
{
    RequestCost cost{ .promptTokens = this->spec.typicalPromptTokens,
                      .outputTokens = this->spec.typicalAnswerTokens };
    if (load.contextTokens <= 0 || load.active <= 0 || cost.promptTokens <= 0)
        return cost;
    const double prompt = load.contextTokens / load.active - cost.outputTokens / 2;
    cost.promptTokens = std::clamp(prompt, cost.promptTokens / kMaxPromptRatio,
                                   cost.promptTokens * kMaxPromptRatio);
    return cost;
}

/// Mean context of a request while it runs.
double EngineModel::contextOf(const RequestCost &cost) const
{
    return cost.promptTokens + cost.outputTokens / 2;
}

FloatMilliseconds EngineModel::passTime(double running) const
{
    return this->passTime(running, this->contextOf(this->typicalCost({})));
}

FloatMilliseconds EngineModel::passTime(double running, double contextTokens) const
{
    const FloatMilliseconds stepTime =
            this->spec.step + running * this->spec.stepPerRequest
            + running * contextTokens / kThousand * this->spec.stepPerThousandTokens;
    return stepTime * static_cast<double>(this->spec.stepsPerPass);
}

FloatMilliseconds EngineModel::prefillTime(double promptTokens) const
{
    // A document may give 0, which would make every predicted time infinite or NaN.
    const FloatMilliseconds linearTime(promptTokens * kThousand
                                       / std::max(1.0, this->spec.prefillTokensPerSecond));
    const double tokenPairs = promptTokens * promptTokens / 2;
    return linearTime + this->spec.attentionPerMillionPairs * (tokenPairs / kMillion);
}

FloatMilliseconds EngineModel::engineTime(const RequestCost &cost) const
{
    RequestCost known = cost;
    if (known.outputTokens <= 0)
        known.outputTokens = this->spec.typicalAnswerTokens;
    const double slots = std::max(1U, this->spec.slots);
    // A step generates one token for each running request.
    const FloatMilliseconds stepShare =
            this->spec.step / slots + this->spec.stepPerRequest
            + this->spec.stepPerThousandTokens * (this->contextOf(known) / kThousand);
    return this->prefillTime(known.promptTokens) + stepShare * known.outputTokens;
}

FloatMilliseconds EngineModel::slotWaitTime(const EngineLoad &load) const
{
    const double requests = load.active + load.queued;
    const double requiredCompletions = requests + 1 - this->spec.slots;
    if (requiredCompletions <= 0)
        return FloatMilliseconds(0);
    FloatMilliseconds meanTime = this->engineTime(this->typicalCost(load));
    if (requests > 0) {
        const double knownShare = std::min(1.0, load.knownRequests / requests);
        meanTime *= 1 - knownShare;
        meanTime += load.knownEngineTime / std::max(requests, load.knownRequests);
    }
    return requiredCompletions * meanTime * load.slowdownFactor;
}

FloatMilliseconds EngineModel::timeToFirstToken(const EngineLoad &load, double promptTokens) const
{
    const double running = std::min<double>(load.active + load.queued, this->spec.slots);
    const FloatMilliseconds passTime =
            this->passTime(running, this->contextOf(this->typicalCost(load)));
    // On average half of the current pass remains when the request arrives.
    const FloatMilliseconds remainingPassTime = running > 0 ? passTime / 2 : FloatMilliseconds(0);
    const FloatMilliseconds ownPassTime =
            load.pendingPrefill + this->prefillTime(promptTokens) + passTime;
    return this->slotWaitTime(load) + (remainingPassTime + ownPassTime) * load.slowdownFactor;
}

FloatMilliseconds EngineModel::longestPause(const EngineLoad &load, double promptTokens) const
{
    const RequestCost typical = this->typicalCost(load);
    const double others = load.active + load.queued;
    const double running = std::min<double>(others + 1, this->spec.slots);
    FloatMilliseconds pause = this->passTime(running, this->contextOf(typical));
    if (others > 0)
        pause += load.pendingPrefill + load.joining * this->prefillTime(typical.promptTokens)
                 + this->prefillTime(promptTokens);
    return pause * load.slowdownFactor;
}

} // namespace egret
