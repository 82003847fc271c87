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
    std::string model;                   ///< name of the loaded model, empty for none
    std::uint64_t version{ 0 };          ///< completely loaded weights version, 0 for none
    bool isBusy{ false };                ///< the engine is executing a load order
    std::uint64_t startedAtMs{ 0 };      ///< start of the engine in milliseconds since the epoch
    std::uint32_t queued{ 0 };           ///< requests waiting at the engine
    std::uint32_t active{ 0 };           ///< requests running on the engine
    std::uint64_t kvUsedTokens{ 0 };     ///< tokens in the KV cache that can't be evicted
    std::uint64_t kvCapacityTokens{ 0 }; ///< capacity of the KV cache in tokens
    double slowdownFactor{ 1 };          ///< factor by which the engine is slower than usual
};

/// Digests of the pieces of one weights version, as the origin's manifest lists them.
struct PieceDigests
{
    std::uint64_t version{ 0 };
    std::vector<std::string> digests; ///< SHA-256, hexadecimal
};

/// Maps the HTTP calls of one deployment's engines and origin (the server from which weights are
/// downloaded) to the stager's types. Members named `...Target` give HTTP request targets. The
/// origin serves `manifestTarget` and `pieceTarget`, the engine serves all other targets.
struct StagerProtocol
{
    std::string engineReportTarget;
    std::string loadOrderTarget;
    /// Parses an engine's report. `layers`: number of layers of the engine's model.
    std::function<std::optional<EngineReport>(const std::string &body, std::uint32_t layers)>
            parseReport;
    std::function<std::string(const std::string &model, std::uint64_t version)> manifestTarget;
    std::function<std::optional<PieceDigests>(const std::string &body)> parseManifest;
    std::function<std::string(const std::string &model, std::uint64_t version, std::size_t piece)>
            pieceTarget;
    /// Target for storing a piece in the engine's staging area.
    std::function<std::string(const std::string &model, std::size_t piece)> putStagedPieceTarget;
    /// Target for reading a staged piece back.
    std::function<std::string(const std::string &model, std::size_t piece)> getStagedPieceTarget;
    /// Target for listing the staged pieces.
    std::function<std::string(const std::string &model)> listStagedPiecesTarget;
    /// Parses the list of staged pieces; returns piece indices.
    std::function<std::optional<std::vector<std::size_t>>(const std::string &body)>
            parseStagedPieces;
    std::function<std::string(const std::string &model, std::uint64_t version)> loadOrderBody;
    /// Maps the HTTP status of the engine's answer to a load order.
    std::function<OrderReply(int status)> parseOrderStatus;
    /// Parses the text of the document, that is, of the operators' configuration, in the first
    /// argument; a ServingPlan is the parsed form of one revision of the document. On failure,
    /// returns empty and writes the error message to the second argument.
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

/// The process on an engine's machine that stages weights: it collects the pieces of the weights
/// version in force, stores the pieces at the engine and sends the engine a load order, the command
/// to load the version. The stager also reports the utilisation of the engine to the gateways, in
/// messages named load notices; there, load means utilisation, not the loading of weights. No other
/// process may send load orders to the engine. Call every method except `start` and `stop` on the
/// thread that runs `context`.
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

    /// Adds registry instances by address ("IP:port", any port of the instance). Only the IP
    /// address is used: links (connections between instances) go to the first port of the setting
    /// `linkPorts`.
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
