#pragma once

#include "types.h"

#include <optional>

namespace egret {

struct OrderGateOptions
{
    /// A pause between two turns of the event loop that is longer than this counts as sleep.
    /// Shorter than the time after which a caller gives up and sends its order to another instance.
    Milliseconds maxTurnGap{ 500ms };
    /// Orders that are read within this time after a sleep may have waited in a socket through it.
    Milliseconds backlogTime{ 1s };
    /// Time from the read of an order to `isCurrent`: the close of a caller that gave up long ago
    /// is read meanwhile, because it directly follows the order.
    Milliseconds checkDelay{ 30ms };
};

/// Tells whether an order that names no version of what it changes was sent just now. An order that
/// waited unread while this process was suspended looks like a new one, and its caller may have
/// sent the same order, and later ones, to other instances meanwhile. Deterministic; times are
/// those of `bootNow`, which runs on while the machine is suspended. Not thread safe.
class OrderGate
{
public:
    explicit OrderGate(OrderGateOptions options = {}) : options(options) {}

    /// Records a turn of the event loop; call at intervals well below `maxTurnGap`.
    void onTurn(TimePoint now);

    /// Whether an order that was read at `readAt` was sent just now. Call `checkDelay` after the
    /// read. `isCallerGone`: the caller has closed its connection.
    bool isCurrent(TimePoint readAt, bool isCallerGone, TimePoint now);

    Milliseconds checkDelay() const { return this->options.checkDelay; }

private:
    OrderGateOptions options;
    std::optional<TimePoint> lastTurnAt;
    std::optional<TimePoint> lastWakeAt; ///< end of the last sleep
};

} // namespace egret
