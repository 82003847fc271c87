#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <memory>

namespace egret {

/// Simulates the network between availability zones for trials: relays TCP
/// connections and datagrams whose preamble names source and target. All
/// traffic of a pair of regions shares one rate limit per direction. Injects
/// latency, datagram loss, cuts and silent connections. Thread safe.
class RelayStandin
{
public:
    /// Listens on `relayAddress`; throws std::system_error when binding fails.
    RelayStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST /cut {from, to, oneWay}, /heal, /silence {from, to},
    /// /loss {from, to, share, oneWay}, /shape {rate, latency}; GET /stats.
    /// `from` and `to` are zone names; an empty name matches all zones.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
