#pragma once

#include "serving_plan.h"

namespace egret {

/// What is believed to be at work at an engine.
struct EngineLoad
{
    double active{ 0 };         ///< requests that it works on
    double queued{ 0 };         ///< requests that wait for a place
    double promptTokens{ 0 };   ///< of requests sent of late, not yet read
    double slowdownFactor{ 1 }; ///< times by which it is slower than usual
};

/// Predicts what a request meets at an engine: requests are worked on in
/// passes; each pass reads the prompts that were admitted and makes `stepsPerPass`
/// tokens for every running request. Immutable; thread safe.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpec &spec) : spec(spec) {}

    /// Time of a pass with that many running requests, prompts aside.
    FloatMilliseconds pass(double running) const;

    /// Time to read a prompt.
    FloatMilliseconds reading(double promptTokens) const;

    /// Time that a usual request spends at work in a full engine.
    FloatMilliseconds usualService() const;

    /// Time from arrival to the first token.
    FloatMilliseconds firstToken(const EngineLoad &load, double promptTokens) const;

    /// Time until a place becomes free, given those before it.
    FloatMilliseconds placeWait(const EngineLoad &load) const;

private:
    EngineSpec spec;
};

} // namespace egret
