#pragma once

#include "generated/settings.h"
#include "guarded.h"
#include "http_client.h"
#include "load_orders.h"

#include <functional>
#include <string>

namespace egret {

/// Last known status of the upstream. A load order is a request to an engine to load a version
/// of the weights.
struct UpstreamStatus
{
    bool isResponding{ false };
    bool isLoading{ false };        ///< a load order was sent and its outcome is not yet known
    std::uint64_t incarnation{ 0 }; ///< changes when the upstream restarts
    std::string version;            ///< weights version that an engine serves, empty for none
};

struct UpstreamMonitorOptions
{
    std::string upstream; ///< address and port
    LoadOrderOptions loadOrders;
};

/// Polls the status of this agent's upstream and, if the upstream is an engine, sends load
/// orders. Thread safe.
class UpstreamMonitor
{
public:
    /// Called with the new status after each poll that the upstream answered.
    using StatusHandler = std::function<void(const UpstreamStatus &)>;

    /// Precondition: `http` is destroyed before the monitor, because its callbacks use the
    /// monitor.
    UpstreamMonitor(UpstreamMonitorOptions options, HttpClient &http, StatusHandler onStatus);

    /// Sends a request for the upstream's status. Call every few hundred milliseconds.
    void poll();

    /// Sets the version that the engine must load. `fence` is the fencing token of the
    /// configuration revision that names the version; `path` is the location of the weights.
    /// Precondition: the weights are complete on disk. See LoadOrderScheduler::setWantedVersion.
    void setWantedVersion(const Fence &fence, const std::string &version, const std::string &path);

    /// Last known status of the upstream.
    UpstreamStatus status();

private:
    struct MonitorState
    {
        explicit MonitorState(LoadOrderOptions options) : loadOrders(options) {}
        UpstreamStatus status;
        LoadOrderScheduler loadOrders;
        /// LoadOrderScheduler::externalChanges at the last poll.
        std::uint64_t externalChanges{ 0 };
    };

    /// Processes the result of a poll that was sent at `readStartedAt`.
    void onStatusResponse(const HttpResult &result, TimePoint readStartedAt);
    void sendNextLoadOrder();
    void onLoadOrderEnd(const EngineLoadOrder &order, const HttpResult &result);

    UpstreamMonitorOptions options;
    HttpClient &http;
    StatusHandler onStatus;
    Guarded<MonitorState, LockRank::gate> monitorState;
};

} // namespace egret
