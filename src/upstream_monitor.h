#pragma once

#include "generated/settings.h"
#include "guarded.h"
#include "http_client.h"
#include "load_orders.h"

#include <functional>
#include <string>

namespace egret {

/// Last known status of the upstream.
struct UpstreamStatus
{
    bool isResponding{ false };
    bool isLoading{ false }; ///< the outcome of a load order is not yet known
    std::uint64_t incarnation{ 0 };
    std::string version; ///< weights version that an engine serves, empty for none
};

struct UpstreamMonitorOptions
{
    std::string upstream; ///< address and port
    LoadOrderOptions loadOrders;
};

/// Polls the state of this agent's upstream and sends load orders to an engine, which ask
/// the engine to load a version of the weights. Thread safe.
class UpstreamMonitor
{
public:
    /// Called with the new status after each poll that the upstream answered.
    using StatusHandler = std::function<void(const UpstreamStatus &)>;

    /// Precondition: `http` is destroyed before the monitor, because its callbacks use the
    /// monitor.
    UpstreamMonitor(UpstreamMonitorOptions options, HttpClient &http, StatusHandler onStatus);

    /// Sends a request for the upstream's state. Call every few hundred milliseconds.
    void poll();

    /// Sets the version that the engine must load. `fence` is the fencing token of the revision
    /// that names the version, `path` the location of its weights. Precondition: the weights
    /// are complete on disk. See LoadOrders::setWantedVersion.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Last known status of the upstream.
    UpstreamStatus status();

private:
    struct MonitorState
    {
        explicit MonitorState(LoadOrderOptions options) : loadOrders(options) {}
        UpstreamStatus status;
        LoadOrders loadOrders;
        std::uint64_t foreignChanges{ 0 }; ///< LoadOrders::foreignChanges at the last read
    };

    void onState(const HttpResult &result, TimePoint readBegan);
    void sendNextLoadOrder();
    void onLoadOrderEnd(const EngineOrder &order, const HttpResult &result);

    UpstreamMonitorOptions options;
    HttpClient &http;
    StatusHandler onStatus;
    Guarded<MonitorState, LockRank::gate> monitorState;
};

} // namespace egret
