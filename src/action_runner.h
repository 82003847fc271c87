#pragma once

#include "control_client.h"
#include "environment_view.h"
#include "guarded.h"
#include "http_server.h"
#include "link.h"
#include "protected_action.h"
#include "routing_table.h"

#include <memory>
#include <string>

namespace egret {

/// What the shell needs to serve one caller's protected action.
struct ActionRequest
{
    std::string key;         ///< idempotency key as the caller sent it
    bool withdraw{ false };  ///< the caller wants the key closed for good
    std::string outcomePath; ///< where the service tells outcomes, empty for nowhere
    ServeRequest request;
    RouteQuery query;
    ActiveRevisionPtr revision;
    HttpReplyPtr reply;
    TimePoint deadline;
};

/// Runs the machines of protected actions: holds their requests, links and
/// timers. Thread safe.
class ActionRunner
{
public:
    /// `instance` names the entry instance.
    ActionRunner(std::string instance, SharedRoutingTable &routing, ControlClient &control,
                 RequestCounters &counters);
    ~ActionRunner();
    ActionRunner(const ActionRunner &) = delete;
    ActionRunner &operator=(const ActionRunner &) = delete;

    /// Sets the hub that carries requests; call once before `begin`.
    void attach(LinkHub &hub);

    /// Serves a protected action.
    void begin(ActionRequest &&request);

    /// Takes an agent's message; false when it belongs to no action in flight.
    bool onFrame(const Frame &frame);

    /// Has the actions that a lost link carried probed.
    void onLinkDown(const LinkPtr &link);

    /// Ends waits past their deadline; call every few tens of milliseconds.
    void tick();

    /// Actions in flight, also those whose callers are answered and whose
    /// outcomes are still being recorded.
    std::size_t inFlight();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
