#pragma once

#include "active_environment.h"
#include "control_client.h"
#include "guarded.h"
#include "http_server.h"
#include "link.h"
#include "protected_action.h"
#include "routing_table.h"

#include <memory>
#include <string>

namespace egret {

/// A client's request for a protected action.
struct ActionRequest
{
    std::string key;         ///< idempotency key as received from the client
    bool withdraw{ false };  ///< the client asks that nothing ever runs under the key
    std::string outcomePath; ///< path of outcome queries; empty if the service has none
    ServeRequest request;
    RouteQuery query;
    ActiveRevisionPtr revision;
    HttpReplyPtr reply;
    TimePoint deadline;
};

/// Runs the state machines of protected actions and performs their commands with links
/// (connections to agents), the quorum and timers. Thread safe.
class ActionRunner
{
public:
    /// `instance` names the entry instance.
    ActionRunner(std::string instance, SharedRoutingTable &routing, ControlClient &control,
                 RequestCounters &counters);
    ~ActionRunner();
    ActionRunner(const ActionRunner &) = delete;
    ActionRunner &operator=(const ActionRunner &) = delete;

    /// Sets the hub that opens links to agents; call once before `begin`.
    void attach(LinkHub &hub);

    /// Serves a protected action.
    void begin(ActionRequest &&request);

    /// Handles an agent's message; false when the message belongs to no action in flight.
    bool onFrame(const Frame &frame);

    /// Ends the attempts on a lost link; the claims of actions that may have run are probed.
    void onLinkDown(const LinkPtr &link);

    /// Handles expired deadlines and sends due probes; call every few tens of milliseconds.
    void tick();

    /// Number of actions in flight, including actions whose client has its answer
    /// while the outcome is still being recorded.
    std::size_t inFlight();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
