#pragma once

#include "generated/settings.h"
#include "guarded.h"
#include "http_client.h"
#include "load_orders.h"

#include <functional>
#include <string>

namespace egret {

/// Last known state of the upstream.
struct UpstreamStatus
{
    bool isResponding{ false };
    bool loading{ false };
    std::uint64_t incarnation{ 0 };
    std::string version; ///< weights version that an engine serves
};

struct UpstreamMonitorOptions
{
    std::string upstream; ///< address and port
    LoadOrderOptions orders;
};

/// Polls the state of the upstream beside this agent and sends load orders to an engine.
/// Thread safe.
class UpstreamMonitor
{
public:
    /// Called after each poll that the upstream answered.
    using StatusHandler = std::function<void(const UpstreamStatus &)>;

    /// Precondition: the client is destroyed before the monitor.
    UpstreamMonitor(UpstreamMonitorOptions options, HttpClient &http, StatusHandler onStatus);

    /// Requests the state; call every few hundred milliseconds.
    void poll();

    /// Sets the version that the engine must load. Precondition: the version is complete on
    /// disk. See LoadOrders::setWantedVersion.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Last known state.
    UpstreamStatus status();

private:
    struct MonitorTable
    {
        explicit MonitorTable(LoadOrderOptions options) : orders(options) {}
        UpstreamStatus status;
        LoadOrders orders;
        std::uint64_t foreignChanges{ 0 };
    };

    void onState(const HttpResult &result, TimePoint readBegan);
    void sendNextOrder();
    void onOrderEnd(const EngineOrder &order, const HttpResult &result);

    UpstreamMonitorOptions options;
    HttpClient &http;
    StatusHandler onStatus;
    Guarded<MonitorTable, LockRank::gate> table;
};

} // namespace egret
