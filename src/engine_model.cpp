#include "engine_model.h"

#include <algorithm>

namespace egret {

namespace {

constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;

} // namespace

FloatMilliseconds EngineModel::pass(double running) const
{
    const double context = this->spec.typicalPromptTokens + this->spec.typicalAnswerTokens / 2;
    const FloatMilliseconds step =
            this->spec.step + running * this->spec.stepPerRequest
            + running * context / kThousand * this->spec.stepPerThousandTokens;
    return step * static_cast<double>(this->spec.stepsPerPass);
}

FloatMilliseconds EngineModel::reading(double promptTokens) const
{
    const FloatMilliseconds tokens(promptTokens * kThousand / this->spec.prefillTokensPerSecond);
    const double pairs = promptTokens * promptTokens / 2;
    return tokens + this->spec.attentionPerMillionPairs * (pairs / kMillion);
}

FloatMilliseconds EngineModel::usualService() const
{
    const double slots = this->spec.slots;
    const double passes = this->spec.typicalAnswerTokens / std::max(1U, this->spec.stepsPerPass);
    // While one request is served, each of the other places is filled anew once.
    return passes * this->pass(slots) + slots * this->reading(this->spec.typicalPromptTokens);
}

FloatMilliseconds EngineModel::placeWait(const EngineLoad &load) const
{
    const double before = load.active + load.queued + 1 - this->spec.slots;
    if (before <= 0)
        return FloatMilliseconds(0);
    return before * this->usualService() / static_cast<double>(this->spec.slots)
           * load.slowdownFactor;
}

FloatMilliseconds EngineModel::firstToken(const EngineLoad &load, double promptTokens) const
{
    const double running = std::min<double>(load.active + load.queued, this->spec.slots);
    const FloatMilliseconds pass = this->pass(running);
    const FloatMilliseconds rest = running > 0 ? pass / 2 : FloatMilliseconds(0);
    const FloatMilliseconds own =
            this->reading(load.promptTokens) + this->reading(promptTokens) + this->pass(running);
    return this->placeWait(load) + (rest + own) * load.slowdownFactor;
}

} // namespace egret
