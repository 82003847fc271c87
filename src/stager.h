#pragma once

#include "generated/settings.h"
#include "serving_plan.h"
#include "staging.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// An engine's status report, as `StagerProtocol::parseReport` decodes it.
struct EngineReport
{
    std::string model;              ///< empty for none
    std::uint64_t version{ 0 };     ///< version of which every layer is loaded, 0 for none
    bool isBusy{ false };           ///< an order is being executed
    std::uint64_t startedAtMs{ 0 }; ///< start of the engine in milliseconds since the epoch
    std::uint32_t queued{ 0 };      ///< requests that wait
    std::uint32_t active{ 0 };      ///< requests that run
    std::uint64_t memoryUsed{ 0 };  ///< KV cache tokens that cannot be evicted
    std::uint64_t memoryTotal{ 0 }; ///< capacity of the KV cache in tokens
    double slowdownFactor{ 1 };     ///< factor by which it is slower than usual
};

/// Digests of the pieces of one weights version, as the origin's manifest lists them.
struct PieceDigests
{
    std::uint64_t version{ 0 };
    std::vector<std::string> digests; ///< SHA-256, hexadecimal
};

/// Maps the HTTP calls of one deployment's engines and origin to the stager's types.
/// Members named `...Target` give HTTP request targets.
struct StagerProtocol
{
    std::string reportTarget;
    std::string orderTarget;
    std::function<std::optional<EngineReport>(const std::string &body, std::uint32_t layers)>
            parseReport;
    std::function<std::string(const std::string &model, std::uint64_t version)> manifestTarget;
    std::function<std::optional<PieceDigests>(const std::string &body)> parseManifest;
    std::function<std::string(const std::string &model, std::uint64_t version, std::size_t piece)>
            pieceTarget;
    std::function<std::string(const std::string &model, std::size_t piece)> stagePutTarget;
    std::function<std::string(const std::string &model, std::size_t piece)> stageGetTarget;
    std::function<std::string(const std::string &model)> stageListTarget;
    std::function<std::optional<std::vector<std::size_t>>(const std::string &body)>
            parseStagedPieces;
    std::function<std::string(const std::string &model, std::uint64_t version)> loadOrderBody;
    std::function<OrderReply(int status)> parseOrderStatus;
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

/// The process on an engine's machine that stages weights for the engine, orders the engine
/// to load them and sends load notices to gateways. No other process may send orders to the
/// engine. Call every method except `start` and `stop` on the thread that runs `context`.
class Stager
{
public:
    Stager(const NodeSettings &settings, StagerProtocol protocol);
    ~Stager();
    Stager(const Stager &) = delete;
    Stager &operator=(const Stager &) = delete;

    /// Binds the listening socket and starts. Returns false and sets `problem` on failure.
    bool start(std::string &problem);

    /// Closes all connections and stops the threads. Call from outside the context's thread.
    void stop();

    /// Adds addresses of registry instances.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Returns counters in the Prometheus text format.
    std::string metricsText() const;

    /// The context whose thread runs this stager.
    asio::io_context &context();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
