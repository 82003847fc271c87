#pragma once

#include "generated/messages.h"
#include "generated/settings.h"
#include "types.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Names of the numbered texts in the replicated control state.
inline constexpr const char *kDocumentText = "document";
inline constexpr const char *kWeightsTextPrefix = "weights/";

/// A registry process: a member of the control quorum that accepts operators' orders and
/// upstreams' announcements and sends both to gateways and stagers. Call every method
/// except `start` and `stop` on the thread that runs `context`.
class RegistryNode
{
public:
    /// Completion handler of `call`; called once, on the context's thread.
    using Done = std::function<void(const ControlResult &)>;

    explicit RegistryNode(const NodeSettings &settings);
    ~RegistryNode();
    RegistryNode(const RegistryNode &) = delete;
    RegistryNode &operator=(const RegistryNode &) = delete;

    /// Reads the log, binds the listening socket and starts. Returns false and sets `problem`
    /// on failure.
    bool start(std::string &problem);

    /// Closes all connections and stops the threads. Call from outside the context's thread.
    void stop();

    /// The context whose thread runs this instance.
    asio::io_context &context();

    /// Processes an announcement that the upstream itself sent.
    void announce(const UpstreamRecord &record);

    /// Processes an upstream's departure. `startedAtMs`: its start in milliseconds since the epoch,
    /// where the upstream stated the time.
    void depart(const std::string &id, std::optional<std::uint64_t> startedAtMs);

    /// Runs a command or query at the leader. The reason is "unavailable" when no leader
    /// answers in time; a command may still take effect afterwards.
    void call(const ControlCommand &command, Done done);

    /// Adds addresses of other registry instances.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Returns counters in the Prometheus text format.
    std::string metricsText();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
