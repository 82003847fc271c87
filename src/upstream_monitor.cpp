#include "upstream_monitor.h"

#include "log.h"

#include <nlohmann/json.hpp>

namespace egret {

namespace {

constexpr Milliseconds kStatusTimeout = 1s;
/// Timeout of a load order, the request to an engine to load a weights version.
constexpr Milliseconds kLoadOrderTimeout = 30s;
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

LoadOrderOutcome outcomeOf(const HttpResult &result)
{
    if (!result.complete)
        return result.requestSent ? LoadOrderOutcome::unknown : LoadOrderOutcome::notSent;
    if (result.status == kStatusOk)
        return LoadOrderOutcome::loaded;
    return result.status == kStatusConflict ? LoadOrderOutcome::staleFence
                                            : LoadOrderOutcome::failed;
}

} // namespace

UpstreamMonitor::UpstreamMonitor(UpstreamMonitorOptions options, HttpClient &http,
                                 StatusHandler onStatus)
    : options(std::move(options)), http(http), onStatus(std::move(onStatus)),
      monitorState(this->options.loadOrders)
{}

void UpstreamMonitor::poll()
{
    HttpCall call{ .url = "http://" + this->options.upstream + "/status",
                   .timeout = kStatusTimeout };
    call.onDone = [this, readStartedAt = std::chrono::steady_clock::now()](HttpResult &&result) {
        this->onStatusResponse(result, readStartedAt);
    };
    this->http.start(std::move(call));
}

void UpstreamMonitor::setWantedVersion(const Fence &fence, const std::string &version,
                                       const std::string &path)
{
    this->monitorState.with(
            [&](MonitorState &state) { state.loadOrders.setWantedVersion(fence, version, path); });
    this->sendNextLoadOrder();
}

UpstreamStatus UpstreamMonitor::status()
{
    return this->monitorState.with([](MonitorState &state) {
        state.status.isLoading = state.loadOrders.mayBeLoading();
        return state.status;
    });
}

void UpstreamMonitor::onStatusResponse(const HttpResult &result, TimePoint readStartedAt)
{
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    const bool isResponding = result.complete && result.status == kStatusOk && body.is_object();
    bool hasExternalChange = false;
    const UpstreamStatus status = this->monitorState.with([&](MonitorState &state) {
        state.status.isResponding = isResponding;
        if (!isResponding) {
            state.loadOrders.onStateUnavailable();
            return state.status;
        }
        state.status.incarnation = body.value("incarnation", std::uint64_t{ 0 });
        state.status.version = body.value("version", "");
        state.loadOrders.onState(
                { .incarnation = state.status.incarnation,
                  .version = state.status.version,
                  .fence = { .epoch = body.value("epoch", std::uint64_t{ 0 }),
                             .sequence = body.value("sequence", std::uint64_t{ 0 }) } },
                readStartedAt);
        hasExternalChange = state.externalChanges != state.loadOrders.externalChanges();
        state.externalChanges = state.loadOrders.externalChanges();
        return state.status;
    });
    if (!isResponding)
        return;
    if (hasExternalChange)
        logWarn("engine weights changed without a load order from this agent",
                { { "version", status.version } });
    this->onStatus(status);
    this->sendNextLoadOrder();
}

void UpstreamMonitor::sendNextLoadOrder()
{
    const auto order = this->monitorState.with([](MonitorState &state) {
        return state.loadOrders.next(std::chrono::steady_clock::now());
    });
    if (!order)
        return;
    const nlohmann::json body = { { "version", order->version },
                                  { "path", order->path },
                                  { "epoch", order->fence.epoch },
                                  { "sequence", order->fence.sequence } };
    HttpCall call{ .method = "POST",
                   .url = "http://" + this->options.upstream + "/load",
                   .headers = { { "Content-Type", "application/json" } },
                   .body = body.dump(),
                   .timeout = kLoadOrderTimeout,
                   .freshConnection = true };
    call.onDone = [this, order = *order](HttpResult &&result) {
        this->onLoadOrderEnd(order, result);
    };
    this->http.start(std::move(call));
}

void UpstreamMonitor::onLoadOrderEnd(const EngineLoadOrder &order, const HttpResult &result)
{
    const LoadOrderOutcome outcome = outcomeOf(result);
    this->monitorState.with([&](MonitorState &state) {
        state.loadOrders.onOutcome(order.number, outcome, std::chrono::steady_clock::now());
    });
    if (outcome != LoadOrderOutcome::loaded)
        logWarn("load order failed", { { "version", order.version },
                                       { "status", result.status },
                                       { "error", result.error } });
    this->poll();
}

} // namespace egret
