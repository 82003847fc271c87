#pragma once

#include "generated/settings.h"
#include "guarded.h"
#include "http_client.h"
#include "load_orders.h"

#include <functional>
#include <string>

namespace egret {

/// What an agent knows of its upstream.
struct UpstreamStatus
{
    bool answers{ false };
    bool loading{ false };
    std::uint64_t incarnation{ 0 };
    std::string version; ///< weights an engine serves
};

struct UpstreamMonitorOptions
{
    std::string upstream; ///< address and port
    LoadOrderOptions orders;
};

/// Reads the state of the upstream beside this agent and gives an engine its
/// load orders. Thread safe.
class UpstreamMonitor
{
public:
    /// Called after each read of the state that the upstream answered.
    using Answered = std::function<void(const UpstreamStatus &)>;

    /// Precondition: the client is destroyed before the monitor.
    UpstreamMonitor(UpstreamMonitorOptions options, HttpClient &http, Answered answered);

    /// Reads the state; call every few hundred milliseconds.
    void poll();

    /// Has the engine load a version that is held whole; see LoadOrders::want.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// What is known now.
    UpstreamStatus status();

private:
    struct MonitorTable
    {
        explicit MonitorTable(LoadOrderOptions options) : orders(options) {}
        UpstreamStatus status;
        LoadOrders orders;
        std::uint64_t foreignChanges{ 0 };
    };

    void onState(const HttpResult &result, TimePoint began);
    void giveNext();
    void onOrderEnd(const EngineOrder &order, const HttpResult &result);

    UpstreamMonitorOptions options;
    HttpClient &http;
    Answered answered;
    Guarded<MonitorTable, LockRank::gate> table;
};

} // namespace egret
