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
    bool admission{ true }; ///< false in trials: one long queue without early refusals
    /// False in trials: retries are limited only by the number of attempts.
    bool retryBudget{ true };
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

    /// Sets the hub that opens links (connections) to agents; call once before `handle`.
    void attach(LinkHub &hub);

    /// Serves one client request.
    void handle(HttpRequest &&request, HttpReplyPtr reply);

    /// Handles a message from an agent.
    void onFrame(const LinkPtr &link, Frame &&frame);

    /// Ends the attempts in flight on a lost link and retries their requests where allowed.
    void onLinkDown(const LinkPtr &link);

    /// Ends requests past their deadline and dispatches waiting requests to
    /// upstreams with room; call every few tens of milliseconds.
    void tick();

    /// Number of requests in flight, including waiting requests.
    std::size_t inFlight();

    const RequestCounters &counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
