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

/// Names under which numbered texts stand in the control state.
inline constexpr const char *kDocumentText = "document";
inline constexpr const char *kWeightsTextPrefix = "weights/";

/// A registry instance: a member of the control quorum that takes operators'
/// orders and upstreams' announcements and tells gateways and stagers of both.
/// All calls are made on the thread that runs `context`.
class RegistryNode
{
public:
    /// Called once, on the context's thread.
    using Done = std::function<void(const ControlResult &)>;

    explicit RegistryNode(const NodeSettings &settings);
    ~RegistryNode();
    RegistryNode(const RegistryNode &) = delete;
    RegistryNode &operator=(const RegistryNode &) = delete;

    /// Reads the log, binds and starts; false with a problem when it can't.
    bool start(std::string &problem);

    /// Stops everything; call from outside the context's thread.
    void stop();

    /// The context whose thread runs this instance.
    asio::io_context &context();

    /// Takes an upstream's announcement of itself.
    void announce(const UpstreamRecord &record);

    /// Takes an upstream's departure. `startedAtMs` is its start where it says so.
    void depart(const std::string &id, std::optional<std::uint64_t> startedAtMs);

    /// Runs a command or query at the leader. Refused with "unavailable" when
    /// none answers in time; a command may then still take effect.
    void call(const ControlCommand &command, Done done);

    /// Adds addresses at which other registry instances may be found.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Counters in the Prometheus text format.
    std::string metricsText();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
