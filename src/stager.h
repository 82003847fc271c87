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

/// What an engine reports, as its deployment's words are decoded.
struct EngineReport
{
    std::string model;          ///< empty for none
    std::uint64_t version{ 0 }; ///< of which it holds every layer, 0 for none
    bool isBusy{ false };
    std::uint64_t startedAtMs{ 0 };
    std::uint32_t queued{ 0 };
    std::uint32_t active{ 0 };
    std::uint64_t memoryUsed{ 0 };
    std::uint64_t memoryTotal{ 0 };
    double slowdownFactor{ 1 };
};

/// Digests of the pieces of one version of a model's weights.
struct PieceDigests
{
    std::uint64_t version{ 0 };
    std::vector<std::string> digests; ///< SHA-256, hexadecimal
};

/// How one deployment's engines and origin are spoken to, for a stager.
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
    std::function<std::string(const std::string &model, std::size_t piece)> putTarget;
    std::function<std::string(const std::string &model, std::size_t piece)> getTarget;
    std::function<std::string(const std::string &model)> listTarget;
    std::function<std::optional<std::vector<std::size_t>>(const std::string &body)> parseHeld;
    std::function<std::string(const std::string &model, std::uint64_t version)> startOrder;
    std::function<OrderReply(int status)> readOrderStatus;
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

/// The process beside an engine: brings weights to it, orders it to load them
/// and tells gateways how it stands. The engine gets orders from it alone. Calls
/// are made on the thread that runs `context`, but for `start` and `stop`.
class Stager
{
public:
    Stager(const NodeSettings &settings, StagerProtocol dialect);
    ~Stager();
    Stager(const Stager &) = delete;
    Stager &operator=(const Stager &) = delete;

    /// Binds and starts; false with a problem when it can't.
    bool start(std::string &problem);

    /// Stops everything; call from outside the context's thread.
    void stop();

    /// Adds addresses at which registry instances may be found.
    void addSeeds(const std::vector<std::string> &seeds);

    /// Counters in the Prometheus text format.
    std::string metricsText() const;

    /// The context whose thread runs this stager.
    asio::io_context &context();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
