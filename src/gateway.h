#pragma once

#include "gateway_protocol.h"
#include "generated/settings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace egret {

/// A gateway process: accepts clients' requests and forwards them to upstreams
/// according to the operators' document in force. Call every method except `start`,
/// `drain` and `stop` on the thread that runs `context`.
class Gateway
{
public:
    Gateway(const NodeSettings &settings, GatewayProtocol protocol);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Binds the listening sockets and starts. Returns false and sets `problem` on failure.
    bool start(std::string &problem);

    /// True when clients should connect: a document is in force, the operators' state is
    /// confirmed by a quorum and no stop was requested.
    bool isReady() const;

    /// Begins a planned stop: the gateway reports unready and closes each connection
    /// after its answer. Call from outside the context's thread. Blocks until every
    /// answer is written or the grace period is nearly over. Returns false when
    /// requests were still unanswered at the end.
    bool drain();

    /// Closes all connections and stops the threads. Call from outside the context's thread.
    void stop();

    /// Adds addresses of registry instances.
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
