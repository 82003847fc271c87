#include "order_gate.h"

namespace egret {

void OrderGate::onTurn(TimePoint now)
{
    if (this->lastTurnAt && now > *this->lastTurnAt + this->options.maxTurnGap)
        this->lastWakeAt = now;
    this->lastTurnAt = now;
}

bool OrderGate::isCurrent(TimePoint readAt, bool isCallerGone, TimePoint now)
{
    // The timer of the turns may fire later than the reads after a sleep.
    this->onTurn(now);
    const bool hasSlept =
            this->lastWakeAt && readAt < *this->lastWakeAt + this->options.backlogTime;
    return !isCallerGone && !hasSlept && now <= readAt + this->options.maxTurnGap;
}

} // namespace egret
