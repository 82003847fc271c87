#include "engine_model.h"

#include <algorithm>

namespace egret {

namespace {

constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;

} // namespace

FloatMilliseconds EngineModel::passTime(double running) const
{
    const double context = this->spec.typicalPromptTokens + this->spec.typicalAnswerTokens / 2;
    const FloatMilliseconds step =
            this->spec.step + running * this->spec.stepPerRequest
            + running * context / kThousand * this->spec.stepPerThousandTokens;
    return step * static_cast<double>(this->spec.stepsPerPass);
}

FloatMilliseconds EngineModel::prefillTime(double promptTokens) const
{
    const FloatMilliseconds tokens(promptTokens * kThousand / this->spec.prefillTokensPerSecond);
    const double pairs = promptTokens * promptTokens / 2;
    return tokens + this->spec.attentionPerMillionPairs * (pairs / kMillion);
}

FloatMilliseconds EngineModel::typicalServiceTime() const
{
    const double slots = this->spec.slots;
    const double passes = this->spec.typicalAnswerTokens / std::max(1U, this->spec.stepsPerPass);
    // While one request is processed, each other slot is refilled once, with one prefill.
    return passes * this->passTime(slots)
           + slots * this->prefillTime(this->spec.typicalPromptTokens);
}

FloatMilliseconds EngineModel::slotWaitTime(const EngineLoad &load) const
{
    const double requestsAhead = load.active + load.queued + 1 - this->spec.slots;
    if (requestsAhead <= 0)
        return FloatMilliseconds(0);
    return requestsAhead * this->typicalServiceTime() / static_cast<double>(this->spec.slots)
           * load.slowdownFactor;
}

FloatMilliseconds EngineModel::timeToFirstToken(const EngineLoad &load, double promptTokens) const
{
    const double running = std::min<double>(load.active + load.queued, this->spec.slots);
    const FloatMilliseconds passTime = this->passTime(running);
    const FloatMilliseconds restOfPass = running > 0 ? passTime / 2 : FloatMilliseconds(0);
    const FloatMilliseconds ownPass = this->prefillTime(load.promptTokens)
                                      + this->prefillTime(promptTokens) + this->passTime(running);
    return this->slotWaitTime(load) + (restOfPass + ownPass) * load.slowdownFactor;
}

} // namespace egret
