#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <memory>

namespace egret {

/// Simulates the network between availability zones for trials: relays TCP
/// connections and datagrams, each of which starts with a preamble that names source
/// and target. All traffic from one region to another shares one link with a rate
/// limit. Adds latency and injects three faults: datagram loss; cuts, which drop
/// datagrams and hold back TCP traffic until the cut is healed; and silent connections,
/// which stay open but never carry data again. Thread safe.
class RelayStandin
{
public:
    /// Listens on `relayAddress`; throws std::system_error when binding fails.
    RelayStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST /cut {from, to, oneWay}, POST /loss {from, to, share, oneWay}, POST /heal
    /// (ends all cuts and losses), POST /silence {from, to} (silences open connections),
    /// POST /shape {rate, latency}, GET /stats. `from` and `to` are zone names; an empty
    /// name matches all zones. A cut or loss affects both directions unless `oneWay` is
    /// true. `share` is the share of datagrams lost, `rate` is in bytes per second (0 for no
    /// limit) and `latency` is the one-way latency in milliseconds.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
