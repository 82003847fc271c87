#pragma once

#include "http_reader.h"
#include "serving_plan.h"

#include <functional>
#include <optional>
#include <string>

namespace egret {

/// Fields parsed from the headers of a client's request.
struct RequestMetadata
{
    std::string id;                        ///< identity of the client's attempt
    std::optional<Milliseconds> remaining; ///< time for which the client will wait
    std::string key;                       ///< API key, empty for none
    double promptTokens{ 0 };
    std::optional<std::uint64_t> lastEvent; ///< number of the last event the client received
};

/// Fields that the gateway adds to a request before sending it to an upstream.
struct ForwardMetadata
{
    std::string upstream;                   ///< the only upstream that may run the request
    std::string customer;                   ///< empty for none
    Milliseconds remaining{ 0 };            ///< time left until the deadline
    std::uint32_t priority{ 0 };            ///< 0 is the most urgent
    std::optional<std::uint64_t> lastEvent; ///< number of the last event sent to the client
    std::uint64_t version{ 0 };             ///< required weights version, 0 for any
};

/// Fields parsed from the status and headers of an upstream's answer.
struct AnswerMetadata
{
    std::string id;               ///< identity of the answered request
    bool hasServerStamp{ false }; ///< the answer has the stamp header that upstreams add
    bool isNotRun{ false };       ///< the upstream states that it did not run the request
    bool isEncoded{ false };      ///< a content encoding was applied to the upstream's body
    std::uint64_t version{ 0 };   ///< version of the weights, 0 for none
};

/// Maps one deployment's HTTP headers and document format to the gateway's types.
struct GatewayProtocol
{
    std::function<RequestMetadata(const HttpRequest &)> parseRequest;
    std::function<HttpHeaders(const HttpRequest &, const ForwardMetadata &)> upstreamHeaders;
    std::function<AnswerMetadata(const HttpHead &)> parseAnswerHead;
    /// Removes the upstream's stamp from the headers of an answer whose status the gateway
    /// replaces.
    std::function<HttpHeaders(const HttpHeaders &)> withoutServerStamp;
    /// Headers of an answer that the gateway itself sends to the request with this identity.
    std::function<HttpHeaders(const std::string &id)> gatewayAnswerHeaders;
    /// Parses a document's text; returns empty and sets the second argument to the problem
    /// on failure.
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

} // namespace egret
