#pragma once

#include "request_cost.h"
#include "serving_plan.h"

namespace egret {

/// Estimated load of an engine.
struct EngineLoad
{
    double active{ 0 };         ///< requests being processed
    double queued{ 0 };         ///< requests waiting for a slot
    double slowdownFactor{ 1 }; ///< factor by which the engine is slower than predicted
    double contextTokens{ 0 };  ///< context tokens of the requests being processed; 0: unknown
    /// Requests counted in `queued` whose cost is known; all others are assumed to be typical.
    double knownRequests{ 0 };
    FloatMilliseconds knownEngineTime{ 0 }; ///< sum of `EngineModel::engineTime` of `knownRequests`
    /// Prefill time of the prompts of recently sent requests that the engine has not prefilled yet.
    FloatMilliseconds pendingPrefill{ 0 };
    /// Requests that were in the queue although slots were free: they join the next pass.
    double joining{ 0 };
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

    /// Time of a full engine that a request takes: its prefill plus its share of the passes. A
    /// request with unknown output is assumed to have a typical one. A full engine completes one
    /// request in the mean engine time of its requests.
    FloatMilliseconds engineTime(const RequestCost &cost) const;

    /// Time from the arrival of a request with `promptTokens` to its first token.
    FloatMilliseconds timeToFirstToken(const EngineLoad &load, double promptTokens) const;

    /// Time for which a new request, the last in the queue, waits for a slot.
    FloatMilliseconds slotWaitTime(const EngineLoad &load) const;

    /// Longest pause of the streams at the engine once a request with `promptTokens` joins: the
    /// duration of the pass that prefills it, together with the other prompts that are due. Without
    /// other requests the prefill delays no stream, and the result is the duration of a pass.
    FloatMilliseconds longestPause(const EngineLoad &load, double promptTokens) const;

private:
    RequestCost typicalCost(const EngineLoad &load) const;
    double contextOf(const RequestCost &cost) const;
    FloatMilliseconds passTime(double running, double contextTokens) const;

    EngineSpec spec;
};

} // namespace egret
