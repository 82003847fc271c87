#pragma once

#include "serving_plan.h"

namespace egret {

/// Estimated load of an engine.
struct EngineLoad
{
    double active{ 0 }; ///< requests being processed
    double queued{ 0 }; ///< requests waiting for a slot
    /// Prompt tokens of recently sent requests that the engine has not prefilled yet.
    double promptTokens{ 0 };
    double slowdownFactor{ 1 }; ///< factor by which the engine is slower than predicted
};

/// Predicts the latency of a request at an engine with continuous batching. The engine works in
/// passes: each pass prefills the prompts that got a slot since the previous pass and decodes
/// `stepsPerPass` tokens for every running request. Immutable; thread safe.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpec &spec) : spec(spec) {}

    /// Duration of a pass without prefill. `running`: number of running requests.
    FloatMilliseconds passTime(double running) const;

    /// Time to prefill a prompt.
    FloatMilliseconds prefillTime(double promptTokens) const;

    /// Time for which a typical request occupies a slot of a full engine.
    FloatMilliseconds typicalServiceTime() const;

    /// Time from the arrival of a request with `promptTokens` to its first token.
    FloatMilliseconds timeToFirstToken(const EngineLoad &load, double promptTokens) const;

    /// Time for which a new request, the last in the queue, waits for a slot.
    FloatMilliseconds slotWaitTime(const EngineLoad &load) const;

private:
    EngineSpec spec;
};

} // namespace egret
