#pragma once

#include "gateway_protocol.h"
#include "generated/settings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace egret {

/// A gateway process: accepts clients' requests and forwards them to upstreams according to
/// the document in force, which is the operators' configuration of routes, services and
/// customers. Call every method except `start`, `drain` and `stop` on the thread that runs
/// `context`.
class Gateway
{
public:
    Gateway(const NodeSettings &settings, GatewayProtocol protocol);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Binds the listening sockets and starts. Returns false and sets `problem` on failure.
    bool start(std::string &problem);

    /// True when clients should connect: a document is in force, a majority of the registries
    /// has confirmed the operators' state recently and no stop was requested.
    bool isReady() const;

    /// Begins a planned stop: the gateway reports that it is not ready and closes each
    /// connection after the answer to its request. Blocks until every answer is written or the
    /// grace period (setting `stopGrace`) is nearly over. Returns false when requests were
    /// still unanswered by then. Call from outside the context's thread.
    bool drain();

    /// Closes all connections and stops the threads. Call from outside the context's thread.
    void stop();

    /// Adds registry instances by address ("IP:port"); the configured link port replaces the
    /// port.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Returns counters and latencies in the Prometheus text format.
    std::string metricsText() const;

    /// The context whose thread runs this gateway.
    asio::io_context &context();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
