#pragma once

#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

struct PieceRelayOptions
{
    double bytesPerMs{ 0 };             ///< share of the machine's link for copies, 0 for no bound
    Milliseconds maxQueueTime{ 300ms }; ///< a copy queued for longer is dropped: by then its
                                        ///< receiver has been informed of other holders
    /// An unacknowledged copy counts as lost after this time.
    Milliseconds acknowledgeTimeout{ 2s };
};

/// A copy to send now.
struct PieceCopy
{
    std::string to; ///< link address of a stager
    std::shared_ptr<const BlockReply> piece;
};

/// Relays a weights piece from the stager of an availability zone that fetched the piece to
/// the zone's other stagers. Stagers have thin links, shared with their engines' responses,
/// so a stager uploads each piece once, whatever the fan-out. A receiver has one in-flight
/// copy, so that requests to its engine never queue behind several. Nothing is stored;
/// stagers fetch lost copies from each other. Deterministic; not thread safe.
class PieceRelay
{
public:
    explicit PieceRelay(PieceRelayOptions options) : options(options) {}

    /// Queues a piece for all of `receivers`.
    void onPiece(const BlockReply &piece, const std::vector<std::string> &receivers, TimePoint now);

    /// A receiver acknowledged the copy sent last.
    void onAcknowledged(const std::string &receiver);

    /// The next copy that is due; empty when there is none.
    std::optional<PieceCopy> next(TimePoint now);

private:
    struct QueuedPiece
    {
        std::shared_ptr<const BlockReply> piece;
        TimePoint queuedAt;
    };
    struct Receiver
    {
        std::deque<QueuedPiece> queue;
        std::optional<TimePoint> sentAt; ///< of the in-flight copy
    };

    PieceRelayOptions options;
    std::map<std::string, Receiver> receivers;
    std::string lastReceiver; ///< for round-robin order
    TimePoint nextSendAt;     ///< the link's share is used up until this time
};

} // namespace egret
