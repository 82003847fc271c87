#pragma once

#include "types.h"

#include <vector>

namespace egret {

/// An engine as a gateway sees it by the latest load notice.
struct SpreadTarget
{
    FloatMilliseconds wait{ 0 }; ///< predicted time to the first token of the next request
    double freeSlots{ 0 };       ///< requests that begin without a wait for a slot
    /// Increase of `wait` with each request that gets a free slot.
    FloatMilliseconds waitPerStart{ 1 };
    /// Increase of `wait` with each request that waits for a slot.
    FloatMilliseconds waitPerQueued{ 1 };
    bool isLocal{ true }; ///< in the availability zone of the gateway
};

/// Requests that gateways are expected to send before newer load notices arrive.
struct SpreadDemand
{
    double ofZone{ 1 }; ///< by the gateways of this gateway's zone
    double ofAll{ 1 };  ///< by all gateways
};

/// Number of requests that `target` can get before its wait exceeds `limit`. Thread safe.
double requestsWithin(const SpreadTarget &target, FloatMilliseconds limit);

/// Wait that all targets reach when `requests` are spread so that the waits become equal. Thread
/// safe.
/// Preconditions: `targets` isn't empty; each `waitPerStart` and `waitPerQueued` is positive.
FloatMilliseconds waitAfter(const std::vector<SpreadTarget> &targets, double requests);

/// Returns the relative probability with which each target is to be selected.
///
/// Load: many gateways decide by the same load notices, which are up to some hundred milliseconds
/// old. If all of them took the engine with the shortest wait, that engine would get the requests
/// of a whole notice period. Here every gateway spreads the expected requests of all gateways over
/// the engines until the waits are equal, and selects each engine with its share. Engines in other
/// zones get requests only as far as the own zone's wait would exceed theirs by
/// `crossZonePenalty`. The sum of the result is positive. Thread safe.
/// Preconditions: as of `waitAfter`.
std::vector<double> spreadWeights(const std::vector<SpreadTarget> &targets,
                                  const SpreadDemand &demand, FloatMilliseconds crossZonePenalty);

} // namespace egret
