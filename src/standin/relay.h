#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <memory>

namespace egret {

/// Simulates the network between availability zones for trials: relays TCP
/// connections and datagrams whose preamble names source and target. All traffic
/// from one region to another shares one link with a rate limit. Injects latency,
/// datagram loss, cuts, and silent connections, which stay open but carry no data.
/// Thread safe.
class RelayStandin
{
public:
    /// Listens on `relayAddress`; throws std::system_error when binding fails.
    RelayStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST /cut {from, to, oneWay}, /heal, /silence {from, to},
    /// /loss {from, to, share, oneWay}, /shape {rate, latency}; GET /stats.
    /// `from` and `to` are zone names; an empty name matches all zones. `share` is the
    /// share of datagrams lost, `rate` is in bytes per second (0 for no limit) and
    /// `latency` is the one-way latency in milliseconds.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
