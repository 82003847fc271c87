#pragma once

#include "http_reader.h"
#include "serving_plan.h"

#include <functional>
#include <optional>
#include <string>

namespace egret {

/// What a client's headers say.
struct RequestMetadata
{
    std::string id;                        ///< identity of this attempt of the client
    std::optional<Milliseconds> remaining; ///< time for which the client will wait
    std::string key;                       ///< empty for none
    double promptTokens{ 0 };
    std::optional<std::uint64_t> lastEvent; ///< number of the last event that the client has
};

/// What is told to an upstream besides the client's own words.
struct ForwardMetadata
{
    std::string upstream; ///< the only one that may run the request
    std::string customer; ///< empty for none
    Milliseconds remaining{ 0 };
    std::uint32_t priority{ 0 }; ///< 0 is first
    std::optional<std::uint64_t> lastEvent;
    std::uint64_t version{ 0 }; ///< of the weights that must answer, 0 for any
};

/// What an upstream's headers say.
struct AnswerMetadata
{
    std::string id;             ///< identity of the request that is answered
    bool isMarked{ false };     ///< bears the mark of an upstream
    bool isNotRun{ false };     ///< the upstream says that it did not run the request
    bool isEncoded{ false };    ///< the body is not as the upstream made it
    std::uint64_t version{ 0 }; ///< of the weights, 0 for none
};

/// How one deployment's clients and upstreams speak, for a gateway.
struct GatewayProtocol
{
    std::function<RequestMetadata(const HttpRequest &)> readRequest;
    std::function<HttpHeaders(const HttpRequest &, const ForwardMetadata &)> upstreamHeaders;
    std::function<AnswerMetadata(const HttpHead &)> readAnswer;
    /// Headers of an answer that must not go with a status that the gateway gives.
    std::function<HttpHeaders(const HttpHeaders &)> withoutMark;
    /// Headers of an answer that the gateway gives to the request with this identity.
    std::function<HttpHeaders(const std::string &id)> ownHeaders;
    /// The plan that a document's text states; empty with a problem.
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

} // namespace egret
