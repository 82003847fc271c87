#pragma once

#include "control_node.h"
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

/// Names of the numbered texts in the replicated control state. A numbered text is a versioned
/// configuration text; the text with the highest number is in force. One name holds the document,
/// which is the operators' configuration of routes, services and customers. In addition, each model
/// has a text named by the prefix and the model's name; the number of this text is the weights
/// version in force.
inline constexpr const char *kDocumentText = "document";
inline constexpr const char *kWeightsTextPrefix = "weights/";

/// Bound on the size of the document. A document that is accepted fits into an entry of the quorum
/// log and, beside the changed upstreams, into a view.
inline constexpr std::size_t kMaxDocumentBytes = 2U << 20U;

/// A registry process: a member of the control quorum. It replicates the operators' commands,
/// collects upstreams' announcements and sends views to gateways and stagers. A view contains
/// the operators' state and the upstreams that changed since the receiver's last view. Call
/// every method except `start` and `stop` on the thread that runs `context`.
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

    /// Processes an announcement that the upstream itself sent. Returns why the announcement is not
    /// acceptable, empty when it was accepted.
    std::string announce(const UpstreamRecord &record);

    /// Processes the departure of upstream `id`. `startedAtMs`: start of the departing upstream
    /// process in milliseconds since the epoch. When the upstream did not state its start,
    /// `startedAtMs` is empty and the departure is taken for that of the present one.
    void markDeparted(const std::string &id, std::optional<std::uint64_t> startedAtMs);

    /// Runs a command or query at the quorum's leader. When no leader answers in time, the
    /// result has the reason "unavailable", and a command may still take effect afterwards.
    void call(const ControlCommand &command, Done done);

    /// Takes an availability zone out of service or puts it back, on an operator's order. The order
    /// names no version of the zone's state: it is refused with the reason "outdated-order" when it
    /// may be an old copy that waited while this process or its caller went on, and when the zone
    /// was changed after the state that this instance knows. `isCallerGone` returns whether the
    /// operator has closed the connection that carried the order; called on the context's thread.
    void changeZoneService(const std::string &zone, bool isOut, std::function<bool()> isCallerGone,
                           Done done);

    /// Returns this instance's role in the control quorum, and the leader as known here.
    QuorumStatus quorumStatus();

    /// Adds other registry instances by address ("IP:port", any port of the instance). Only
    /// the IP address is used: links (connections between instances) go to the first port of the
    /// setting `linkPorts`.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Returns counters in the Prometheus text format.
    std::string metricsText();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
