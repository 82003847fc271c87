#pragma once

#include "membership.h"
#include "upstream_directory.h"

#include <random>

namespace egret {

struct ZoneExchangeOptions
{
    std::string zone;
    Milliseconds loadPeriod{ 1s };     ///< between load deltas within the zone
    Milliseconds pullPeriod{ 400ms };  ///< between pulls from other zones
    std::size_t totalSampleSize{ 64 }; ///< records requested from all other zones together
    std::size_t minSampleSize{ 3 };    ///< minimum requested from one zone
    std::size_t maxSampleSize{ 32 };
    std::uint64_t randomSeed{ 1 };
};

/// A live entry instance with which records are exchanged.
struct ExchangePeer
{
    std::string endpoint;
    std::string zone;
    std::uint64_t incarnation{ 0 };
};

/// Synchronizes the upstream directories of entry instances. Within an
/// availability zone an agent's primary target shares state changes at the next
/// tick and loads periodically; the state of the other zones is pulled in
/// round-robin order, from one instance per pull. Deterministic; not thread safe.
class ZoneExchange
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit ZoneExchange(ZoneExchangeOptions options);

    /// Runs the due timers and shares the changes since the last tick.
    Actions tick(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                 TimePoint now);

    /// Handles a record or zone message; ignores messages of other types.
    Actions receive(UpstreamDirectory &directory, const DatagramSender &sender,
                    const Message &message, std::uint64_t ownIncarnation, TimePoint now);

    /// Silence after which a record of another zone is removed.
    Milliseconds otherZonesSilenceTimeout() const;

private:
    void sendDeltas(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                    TimePoint now, Actions &out);
    void pullNextZone(const std::vector<ExchangePeer> &peers, TimePoint now, Actions &out);

    ZoneExchangeOptions options;
    std::mt19937_64 random;
    TimePoint nextLoadsAt;
    TimePoint nextPullAt;
    std::size_t turn{ 0 };
    std::size_t otherZones{ 0 };
};

} // namespace egret
