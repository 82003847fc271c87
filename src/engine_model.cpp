#include "engine_model.h"

#include <algorithm>

namespace egret {

namespace {

constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;

} // namespace

FloatMilliseconds EngineModel::passTime(double running) const
{
    const double contextTokens =
            this->spec.typicalPromptTokens + this->spec.typicalAnswerTokens / 2;
    const FloatMilliseconds stepTime =
            this->spec.step + running * this->spec.stepPerRequest
            + running * contextTokens / kThousand * this->spec.stepPerThousandTokens;
    return stepTime * static_cast<double>(this->spec.stepsPerPass);
}

FloatMilliseconds EngineModel::prefillTime(double promptTokens) const
{
    const FloatMilliseconds linearTime(promptTokens * kThousand
                                       / this->spec.prefillTokensPerSecond);
    const double tokenPairs = promptTokens * promptTokens / 2;
    return linearTime + this->spec.attentionPerMillionPairs * (tokenPairs / kMillion);
}

FloatMilliseconds EngineModel::typicalServiceTime() const
{
    const double slots = this->spec.slots;
    const double passCount = this->spec.typicalAnswerTokens / std::max(1U, this->spec.stepsPerPass);
    // While a request occupies its slot, each of the other slots gets one new request, whose
    // prefill lengthens a pass for all running requests.
    return passCount * this->passTime(slots)
           + slots * this->prefillTime(this->spec.typicalPromptTokens);
}

FloatMilliseconds EngineModel::slotWaitTime(const EngineLoad &load) const
{
    const double requiredCompletions = load.active + load.queued + 1 - this->spec.slots;
    if (requiredCompletions <= 0)
        return FloatMilliseconds(0);
    return requiredCompletions * this->typicalServiceTime() / static_cast<double>(this->spec.slots)
           * load.slowdownFactor;
}

FloatMilliseconds EngineModel::timeToFirstToken(const EngineLoad &load, double promptTokens) const
{
    const double running = std::min<double>(load.active + load.queued, this->spec.slots);
    const FloatMilliseconds passTime = this->passTime(running);
    // On average half of the current pass remains when the request arrives.
    const FloatMilliseconds remainingPassTime = running > 0 ? passTime / 2 : FloatMilliseconds(0);
    const FloatMilliseconds ownPassTime = this->prefillTime(load.promptTokens)
                                          + this->prefillTime(promptTokens)
                                          + this->passTime(running);
    return this->slotWaitTime(load) + (remainingPassTime + ownPassTime) * load.slowdownFactor;
}

} // namespace egret
