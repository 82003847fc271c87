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
    std::string id;                        ///< id of the client's attempt
    std::optional<Milliseconds> remaining; ///< time that the client still waits
    std::string key;                       ///< API key, empty for none
    double promptTokens{ 0 };              ///< tokens in the prompt, as stated by the client
    std::optional<double> maxOutputTokens; ///< maximum tokens of the answer that the client allows
    std::optional<double> expectedOutputTokens; ///< the client's estimate of the answer's tokens
    /// Ids of the segments of the prompt that other prompts may share, in order.
    std::vector<std::string> promptSegments;
    std::optional<std::uint64_t> lastEvent; ///< number of the last event the client received
};

/// Fields that the gateway adds to a request before sending it to an upstream.
struct ForwardMetadata
{
    std::string upstream;                   ///< id of the only upstream that may run the request
    std::string customer;                   ///< name of the customer, empty for none
    Milliseconds remaining{ 0 };            ///< time left until the deadline
    std::uint32_t priority{ 0 };            ///< 0 is the most urgent
    std::optional<std::uint64_t> lastEvent; ///< number of the last event sent to the client
    std::uint64_t version{ 0 };             ///< required weights version, 0 for any
};

/// Fields parsed from the status and headers of an upstream's answer.
struct AnswerMetadata
{
    std::string id;               ///< id of the answered attempt
    bool hasServerStamp{ false }; ///< the answer has the stamp, a header that only upstreams add
    bool isNotRun{ false };       ///< the upstream states that it did not run the request
    bool isEncoded{ false };      ///< a content encoding was applied to the upstream's body
    std::uint64_t version{ 0 };   ///< weights version that generated the answer, 0 for none
    /// Requests a second that the upstream takes from all gateways together; empty: no limit.
    std::optional<double> requestLimit;
    bool isLeaving{ false }; ///< the upstream states that it is about to end
    Milliseconds wait{ 0 };  ///< time for which a refusal asks for no further requests; 0: none
};

/// Maps one deployment's HTTP headers and document (the operators' configuration of routes,
/// services and customers) to the gateway's types.
struct GatewayProtocol
{
    /// Parses the headers of a client's request.
    std::function<RequestMetadata(const HttpRequest &)> parseRequest;
    /// Returns the headers with which a client's request is sent to an upstream.
    std::function<HttpHeaders(const HttpRequest &, const ForwardMetadata &)> upstreamHeaders;
    /// Parses the status and headers of an upstream's answer.
    std::function<AnswerMetadata(const HttpHead &)> parseAnswerHead;
    /// Returns the given headers of an upstream's answer without the stamp header. The gateway
    /// calls this function when the gateway replaces the status of the answer.
    std::function<HttpHeaders(const HttpHeaders &)> withoutServerStamp;
    /// Returns the headers of an answer that the gateway itself generates for attempt `id`.
    std::function<HttpHeaders(const std::string &id)> gatewayAnswerHeaders;
    /// Parses the document from the text in the first argument. On failure, returns empty and
    /// writes the error message to the second argument.
    std::function<std::optional<ServingPlan>(const std::string &, std::string &)> parsePlan;
};

} // namespace egret
