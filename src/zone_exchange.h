#pragma once

#include "membership.h"
#include "upstream_directory.h"

#include <random>

namespace egret {

struct ZoneExchangeOptions
{
    std::string zone;
    Milliseconds loadPeriod{ 1s };    ///< between shares of loads within the zone
    Milliseconds pullPeriod{ 400ms }; ///< between pulls from other zones
    std::size_t sampleTotal{ 64 };    ///< records wanted of all other zones together
    std::size_t sampleLeast{ 3 };     ///< records wanted of one zone
    std::size_t sampleMost{ 32 };
    std::uint64_t randomSeed{ 1 };
};

/// A live entry instance to exchange records with.
struct ExchangePeer
{
    std::string endpoint;
    std::string zone;
    std::uint64_t incarnation{ 0 };
};

/// Keeps the directories of entry instances alike: within an availability
/// zone an agent's first home shares changes at once and loads by period;
/// other zones are asked for their state by turns, one instance each turn.
/// Deterministic; not thread safe.
class ZoneExchange
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit ZoneExchange(ZoneExchangeOptions options);

    /// Runs what is due; changes are shared at the next tick.
    Actions tick(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                 TimePoint now);

    /// Takes a message; others than this machine's are ignored.
    Actions receive(UpstreamDirectory &directory, const DatagramSender &sender,
                    const Message &message, std::uint64_t ownIncarnation, TimePoint now);

    /// Time after which a record of another zone counts as lost.
    Milliseconds othersSilenceLimit() const;

private:
    void share(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers, TimePoint now,
               Actions &out);
    void pull(const std::vector<ExchangePeer> &peers, TimePoint now, Actions &out);

    ZoneExchangeOptions options;
    std::mt19937_64 random;
    TimePoint nextLoads;
    TimePoint nextPull;
    std::size_t turn{ 0 };
    std::size_t otherZones{ 0 };
};

} // namespace egret
