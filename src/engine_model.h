#pragma once

#include "serving_plan.h"

namespace egret {

/// Estimated load of an engine.
struct EngineLoad
{
    double active{ 0 };         ///< requests being processed
    double queued{ 0 };         ///< requests waiting for a slot
    double promptTokens{ 0 };   ///< prompt tokens of recently sent requests, not yet prefilled
    double slowdownFactor{ 1 }; ///< factor by which the engine is slower than usual
};

/// Predicts the latency of a request at an engine with continuous batching: each pass
/// prefills the prompts admitted since the last one and decodes `stepsPerPass` tokens for
/// every running request. Immutable; thread safe.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpec &spec) : spec(spec) {}

    /// Time of a pass with `running` requests, without prefill.
    FloatMilliseconds passTime(double running) const;

    /// Time to prefill a prompt.
    FloatMilliseconds prefillTime(double promptTokens) const;

    /// Time that a typical request is processed in a full engine.
    FloatMilliseconds typicalServiceTime() const;

    /// Time from arrival to the first token.
    FloatMilliseconds timeToFirstToken(const EngineLoad &load, double promptTokens) const;

    /// Time until a slot becomes free, after all requests ahead in the queue.
    FloatMilliseconds slotWaitTime(const EngineLoad &load) const;

private:
    EngineSpec spec;
};

} // namespace egret
