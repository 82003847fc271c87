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
    double bytesPerMs{ 0 };         ///< that copies may take of the machine's link, 0 for no bound
    Milliseconds patience{ 300ms }; ///< a copy that waits longer is dropped: its receiver has been
                                    ///< told by then who else has it
    Milliseconds takenWithin{ 2s }; ///< after which a copy that was not confirmed counts as lost
};

/// A copy that is to be sent now.
struct PieceCopy
{
    std::string to; ///< link address of a stager
    std::shared_ptr<const BlockReply> piece;
};

/// Passes pieces of weights that one stager of an availability zone has brought
/// in on to the others of the zone. Stagers have thin links, which their engines'
/// answers share: each piece leaves its stager once, however many need it. A
/// receiver has one copy on its way at a time, so that requests to its engine
/// never wait behind many. Keeps nothing; what it loses, stagers fetch from each
/// other. Deterministic; not thread safe.
class PieceRelay
{
public:
    explicit PieceRelay(PieceRelayOptions options) : options(options) {}

    /// Takes a piece for all of `receivers`.
    void onPiece(const BlockReply &piece, const std::vector<std::string> &receivers, TimePoint now);

    /// A receiver has the copy that was sent to it last.
    void onAcknowledged(const std::string &receiver);

    /// The next copy whose time has come; empty when there is none.
    std::optional<PieceCopy> next(TimePoint now);

private:
    struct Waiting
    {
        std::shared_ptr<const BlockReply> piece;
        TimePoint since;
    };
    struct Receiver
    {
        std::deque<Waiting> waiting;
        std::optional<TimePoint> sentAt; ///< of the copy on its way
    };

    PieceRelayOptions options;
    std::map<std::string, Receiver> receivers;
    std::string lastServed; ///< receivers take turns
    TimePoint freeAt;       ///< the link's share is used up until then
};

} // namespace egret
