#pragma once

#include "gateway_protocol.h"
#include "generated/settings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace egret {

/// A gateway process: accepts clients' requests and forwards the requests to upstreams according
/// to the document in force. The document is the operators' configuration of routes, services
/// and customers. Call every method except `start`, `drain` and `stop` on the thread that runs
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

    /// True when clients should connect: a document is in force, the gateway's lease on the
    /// operators' state is valid and no stop was requested. The lease is extended each time a
    /// registry reports that a majority of the registries has confirmed the state.
    bool isReady() const;

    /// Begins a planned stop: the gateway reports that it is not ready and closes each
    /// connection after the answer to the connection's current request. Blocks until every answer
    /// is written or the grace period (setting `stopGrace`) is nearly over. Returns false when
    /// requests were still unanswered at the end. Call from outside the context's thread.
    bool drain();

    /// Closes all connections and stops the threads. Call from outside the context's thread.
    void stop();

    /// Adds registry instances by address ("IP:port", any port of the instance). Only the IP
    /// address is used: links (connections between instances) go to the first port of the setting
    /// `linkPorts`.
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
