#pragma once

#include "control_client.h"
#include "environment_view.h"
#include "guarded.h"
#include "http_server.h"
#include "link.h"
#include "problem.h"
#include "routing_table.h"

#include <memory>
#include <string>

namespace egret {

struct ServingOptions
{
    std::string instance;
    std::string zone;
    std::uint64_t incarnation{ 0 };
    bool admission{ true };   ///< off, for trials: one long queue, nothing refused early
    bool retryBudget{ true }; ///< off, for trials: extra sends are not bounded
};

/// Takes callers' requests to upstreams and their answers back. Thread safe.
class RequestForwarder
{
public:
    RequestForwarder(ServingOptions options, EnvironmentView &environment,
                     SharedRoutingTable &routing, ControlClient &control);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /// Sets the hub that carries requests; call once before `handle`.
    void attach(LinkHub &hub);

    /// Serves one caller's request.
    void handle(HttpRequest &&request, HttpReplyPtr reply);

    /// Takes a message from an agent.
    void onFrame(const LinkPtr &link, Frame &&frame);

    /// Fails or retries the requests that a lost link carried.
    void onLinkDown(const LinkPtr &link);

    /// Ends requests past their deadline and gives waiting ones to upstreams
    /// that have room again; call every few tens of milliseconds.
    void tick();

    /// Requests in flight.
    std::size_t inFlight();

    const RequestCounters &counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
