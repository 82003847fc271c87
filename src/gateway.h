#pragma once

#include "gateway_protocol.h"
#include "generated/settings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace egret {

/// A gateway: takes clients' requests and has them answered by upstreams, as the
/// document in force says. All calls but `start` and `stop` are made on the
/// thread that runs `context`.
class Gateway
{
public:
    Gateway(const NodeSettings &settings, GatewayProtocol dialect);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Binds and starts; false with a problem when it can't.
    bool start(std::string &problem);

    /// True when clients should connect: a confirmed document is in force and no stop was asked
    /// for.
    bool isReady() const;

    /// Begins a planned stop: unready, connections closed with their answers.
    /// Call from outside the context's thread; returns when every answer is
    /// written or the grace time has nearly passed. False when some were cut off.
    bool drain();

    /// Stops everything; call from outside the context's thread.
    void stop();

    /// Adds addresses at which registry instances may be found.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Counters and latencies in the Prometheus text format.
    std::string metricsText() const;

    /// The context whose thread runs this gateway.
    asio::io_context &context();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
