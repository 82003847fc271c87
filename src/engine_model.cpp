#include "engine_model.h"

#include <algorithm>

namespace egret {

namespace {

constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;

} // namespace

FloatMilliseconds EngineModel::pass(double running) const
{
    const double context = this->spec.usualPrompt + this->spec.usualAnswer / 2;
    const FloatMilliseconds step = this->spec.step + running * this->spec.stepPerRequest
                                   + running * context / kThousand * this->spec.stepPerThousand;
    return step * static_cast<double>(this->spec.stride);
}

FloatMilliseconds EngineModel::reading(double promptTokens) const
{
    const FloatMilliseconds tokens(promptTokens * kThousand / this->spec.readPerSecond);
    const double pairs = promptTokens * promptTokens / 2;
    return tokens + this->spec.perMillionPairs * (pairs / kMillion);
}

FloatMilliseconds EngineModel::usualService() const
{
    const double slots = this->spec.slots;
    const double passes = this->spec.usualAnswer / std::max(1U, this->spec.stride);
    // While one request is served, each of the other places is filled anew once.
    return passes * this->pass(slots) + slots * this->reading(this->spec.usualPrompt);
}

FloatMilliseconds EngineModel::placeWait(const EngineLoad &load) const
{
    const double before = load.active + load.queued + 1 - this->spec.slots;
    if (before <= 0)
        return FloatMilliseconds(0);
    return before * this->usualService() / static_cast<double>(this->spec.slots) * load.pace;
}

FloatMilliseconds EngineModel::firstToken(const EngineLoad &load, double promptTokens) const
{
    const double running = std::min<double>(load.active + load.queued, this->spec.slots);
    const FloatMilliseconds pass = this->pass(running);
    const FloatMilliseconds rest = running > 0 ? pass / 2 : FloatMilliseconds(0);
    const FloatMilliseconds own =
            this->reading(load.promptTokens) + this->reading(promptTokens) + this->pass(running);
    return this->placeWait(load) + (rest + own) * load.pace;
}

} // namespace egret
