#pragma once

#include "types.h"

#include <optional>

namespace egret {

/// What one answer of an upstream says of the limit on the rate of its requests.
struct RequestLimitObservation
{
    /// Requests that the upstream takes from all gateways together; empty: no limit.
    std::optional<double> requestsPerSecond;
    TimePoint requestSentAt; ///< time at which the request was sent to the upstream
    TimePoint answeredAt;    ///< time at which the answer arrived
};

/// The limit that an upstream has on the rate of its requests, from its answers. A limit is in
/// force as long as answers name it. Answers may overtake each other: a limit ends only with an
/// answer to a request that was sent after the last answer that named the limit, and does not
/// return with an answer to an earlier request. Deterministic; not thread safe.
class RequestLimit
{
public:
    /// Applies an answer, seen by this instance or reported by another; true when the limit
    /// changed. The same answer may be applied several times.
    bool onAnswer(const RequestLimitObservation &answer);

    /// The latest answer that named the limit in force; empty: no limit.
    const std::optional<RequestLimitObservation> &inForce() const { return this->latest; }

private:
    std::optional<RequestLimitObservation> latest;
    TimePoint endedBySentAt{
        TimePoint::min()
    }; ///< sending of the request that ended the last limit
};

} // namespace egret
