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
    double bytesPerMs{ 0 }; ///< rate limit of all copies, a share of the bandwidth of the
                            ///< machine's link; 0 for no limit
    /// A copy is dropped after this time in the queue: by then, announcements have told the
    /// receiver which stagers hold the piece.
    Milliseconds maxQueueTime{ 300ms };
    /// An unacknowledged copy counts as lost after this time.
    Milliseconds acknowledgeTimeout{ 2s };
};

/// A copy of a piece to send now.
struct PieceCopy
{
    std::string to; ///< link address of a stager
    std::shared_ptr<const BlockReply> piece;
};

/// Relays the weights pieces that a stager has fetched to the other stagers of its availability
/// zone. A stager's thin link also carries the responses of its engine; with the relay, a stager
/// uploads each piece only once, whatever the fan-out. Each receiver has at most one in-flight
/// copy, so that requests to its engine don't queue behind several copies. Lost copies are not
/// sent again: the receivers fetch the pieces from other stagers. Deterministic; not thread safe.
class PieceRelay
{
public:
    explicit PieceRelay(PieceRelayOptions options) : options(options) {}

    /// Queues a copy of a piece for each of `stagers`, given as link addresses.
    void onPiece(const BlockReply &piece, const std::vector<std::string> &stagers, TimePoint now);

    /// Records that a receiver acknowledged its in-flight copy.
    void onAcknowledged(const std::string &receiver);

    /// Returns the next copy to send, if any. The copy counts as in flight until
    /// `onAcknowledged` or `acknowledgeTimeout`.
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
        std::optional<TimePoint> sentAt; ///< time when the in-flight copy was sent, empty for none
    };

    PieceRelayOptions options;
    std::map<std::string, Receiver> receivers; ///< by link address
    std::string lastReceiver; ///< receiver of the last copy; the round-robin order continues
                              ///< after this receiver
    TimePoint nextSendAt;     ///< earliest time of the next copy, by the rate limit
};

} // namespace egret
