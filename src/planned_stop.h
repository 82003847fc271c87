#pragma once

#include "request_lifecycle.h"
#include "types.h"

namespace egret {

/// Decides what a gateway that stops as planned still accepts. At the end of the grace period the
/// process is killed, and a request in flight gets no answer. A request that may run only once and
/// a stream are therefore accepted only if their deadline comes before the last answers are due;
/// any other request is accepted for some time and must be answered by then. Clients repeat a
/// refused request at another gateway. Deterministic; not thread safe.
class PlannedStop
{
public:
    /// `grace`: time from the beginning of the stop until the process is killed.
    PlannedStop(TimePoint beganAt, Milliseconds grace) : beganAt(beganAt), grace(grace) {}

    bool accepts(const RequestTraits &request, TimePoint now) const;

    /// Time at which each request has its answer, if need be a failure status.
    TimePoint answersDueAt() const;

    /// Time at which the process ends also if requests are in flight.
    TimePoint endsAt() const;

    /// True when the load balancer sends no clients to this instance any more.
    bool isOutOfBalancer(TimePoint now) const;

private:
    TimePoint beganAt;
    Milliseconds grace;
};

} // namespace egret
