#pragma once

#include "membership.h"
#include "upstream_directory.h"

#include <random>

namespace egret {

struct ZoneExchangeOptions
{
    std::string zone;
    Milliseconds loadPeriod{ 1s };     ///< time between two transmissions of load deltas
    Milliseconds pullPeriod{ 400ms };  ///< time between two pulls from other zones
    std::size_t totalSampleSize{ 64 }; ///< number of records requested from all other zones
    std::size_t minSampleSize{ 3 };    ///< minimum number of records requested from one zone
    std::size_t maxSampleSize{ 32 };   ///< maximum number of records in one zone report
    std::uint64_t randomSeed{ 1 };
};

/// Another live entry instance, with which this instance exchanges records.
struct ExchangePeer
{
    std::string endpoint;
    std::string zone;
    std::uint64_t incarnation{ 0 }; ///< 0 when not known yet: nothing is sent to the instance
};

/// Synchronizes the upstream directories of entry instances. Each agent has one
/// primary target: the entry instance that shares the agent's record with the other
/// instances of the availability zone. The primary target sends a changed record at
/// the next tick. When only the load has changed, the primary target sends a load delta,
/// at most once per load period. Reports of the other zones are pulled in
/// round-robin order, each from one instance of the zone. Deterministic; not thread safe.
class ZoneExchange
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit ZoneExchange(ZoneExchangeOptions options);

    /// Removes expired records, shares the changes since the last tick with the `peers` of this
    /// instance's zone, and pulls a report from another zone when due.
    Actions tick(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                 TimePoint now);

    /// Handles deltas, zone reports and requests for either; ignores messages of other types and
    /// messages for an incarnation other than `ownIncarnation`, the incarnation of this process.
    Actions receive(UpstreamDirectory &directory, const DatagramSender &sender,
                    const Message &message, std::uint64_t ownIncarnation, TimePoint now);

    /// Time without an update after which a record of another zone is removed.
    Milliseconds otherZonesSilenceTimeout() const;

private:
    void sendDeltas(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                    TimePoint now, Actions &out);
    void pullNextZone(const std::vector<ExchangePeer> &peers, TimePoint now, Actions &out);

    ZoneExchangeOptions options;
    std::mt19937_64 random;
    TimePoint nextLoadsAt;
    TimePoint nextPullAt;
    std::size_t pullTurn{ 0 }; ///< selects the next zone to pull from
    std::size_t otherZoneCount{ 0 };
};

} // namespace egret
