#pragma once

#include "active_environment.h"
#include "control_client.h"
#include "guarded.h"
#include "http_server.h"
#include "link.h"
#include "problem.h"
#include "routing_table.h"

#include <memory>
#include <string>

namespace egret {

struct RequestForwarderOptions
{
    std::string instance;
    std::string zone;
    std::uint64_t incarnation{ 0 };
    bool admission{ true };   ///< off, for trials: one long queue, no early refusals
    bool retryBudget{ true }; ///< off, for trials: extra sends are unbounded
};

/// Forwards client requests to upstreams and returns their answers. Thread safe.
class RequestForwarder
{
public:
    RequestForwarder(RequestForwarderOptions options, ActiveEnvironment &environment,
                     SharedRoutingTable &routing, ControlClient &control);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /// Sets the hub for links to agents; call once before `handle`.
    void attach(LinkHub &hub);

    /// Serves one client request.
    void handle(HttpRequest &&request, HttpReplyPtr reply);

    /// Handles a message from an agent.
    void onFrame(const LinkPtr &link, Frame &&frame);

    /// Fails or retries the attempts sent over a lost link.
    void onLinkDown(const LinkPtr &link);

    /// Ends requests past their deadline and dispatches waiting requests to
    /// upstreams with room; call every few tens of milliseconds.
    void tick();

    /// Number of requests in flight, waiting ones included.
    std::size_t inFlight();

    const RequestCounters &counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
