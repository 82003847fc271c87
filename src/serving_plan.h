#pragma once

#include "generated/messages.h"
#include "http_frontend.h"
#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

using Micros = std::chrono::duration<double, std::micro>;

/// Parameters of the engines of a service, as configured by operators: the model that they serve
/// and the coefficients of `EngineModel`, which predicts their latency.
struct EngineSpec
{
    std::string model;
    std::uint32_t slots{ 1 };            ///< number of requests that an engine processes at once
    std::uint64_t kvCapacityTokens{ 0 }; ///< capacity of the KV cache
    /// Base time of a decoding step, which generates one token per running request.
    FloatMilliseconds step{ 0 };
    FloatMilliseconds stepPerRequest{ 0 }; ///< added to a step for each running request
    /// Added to a step for each thousand context tokens of all running requests.
    FloatMilliseconds stepPerThousandTokens{ 0 };
    double prefillTokensPerSecond{ 1 };
    /// Prefill time for the attention between a million pairs of prompt tokens.
    FloatMilliseconds attentionPerMillionPairs{ 0 };
    std::uint32_t stepsPerPass{ 1 }; ///< decoding steps between two admissions of requests
    std::uint32_t layers{ 0 };       ///< number of layers of the model
    std::uint32_t chunks{ 0 };       ///< number of chunks that make up the weights
    std::uint64_t chunkBytes{ 0 };
    double typicalPromptTokens{ 0 };
    double typicalAnswerTokens{ 0 };
};

/// Origin server, from which the weights of a service are fetched.
struct OriginSpec
{
    Endpoint endpoint;
    std::uint32_t maxConnections{ 1 };
};

/// A service: a group of upstreams that serve the same requests. A service without `engine` is
/// a plain service.
struct PlanService
{
    std::string name;
    /// Limit on the connections of all gateways together to one upstream; 0: no limit.
    std::uint32_t maxConnections{ 0 };
    /// Limit on the requests of all gateways together to one upstream in slow start; 0: no limit.
    double coldRequestsPerSecond{ 0 };
    std::optional<EngineSpec> engine;
    std::optional<OriginSpec> origin;
};

/// Service to which a route sends a share of its requests.
struct PlanTarget
{
    std::string service;
    std::uint32_t weight{ 0 }; ///< share, relative to the other targets of the route
};

/// How often a request may be executed, and the form of its response.
enum class RequestKind : std::uint8_t {
    idempotent, ///< may be executed any number of times
    once,       ///< may be executed at most once
    /// The response is a stream of server-sent events; the request may be executed again if the
    /// route is resumable.
    stream,
};

/// Requests to one host with one path prefix, and how they are served.
struct PlanRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< prefix of the path; begins and ends with a slash
    RequestKind kind{ RequestKind::once };
    /// Limit on the time from the arrival of a request to the end of its response.
    Milliseconds timeout{ 0 };
    /// Latency objective: time to the response, or to the first event of a stream.
    Milliseconds objective{ 0 };
    /// Objective for the longest pause between the events of a stream; 0: none.
    Milliseconds maxPause{ 0 };
    std::uint32_t priority{ 0 }; ///< 0 is the highest
    std::vector<PlanTarget> targets;
    std::uint32_t maxAttempts{ 1 };   ///< maximum number of attempts of one request
    bool isPublic{ false };           ///< requests need no key
    bool isResumable{ false };        ///< a broken stream may continue at another upstream
    std::vector<std::string> regions; ///< regions whose upstreams may serve the route; empty: all
};

struct PlanCustomer
{
    std::string name;
    std::vector<std::string> keys;         ///< API keys
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    /// Regions whose upstreams may serve the customer; empty: all.
    std::vector<std::string> regions;
};

/// One revision of the document in which operators configure routes, services and customers.
struct ServingPlan
{
    std::uint64_t number{ 0 }; ///< revision number; higher numbers replace lower ones
    std::vector<PlanRoute> routes;
    std::vector<PlanService> services;
    std::vector<PlanCustomer> customers;
    HttpFrontendBounds bounds; ///< limits of the HTTP server for clients
};

/// Text of the first error found in a plan; empty when the plan is valid. Thread safe.
std::string planError(const ServingPlan &plan);

/// Finds routes, services and customers of a plan. Immutable; thread safe.
class PlanIndex
{
public:
    explicit PlanIndex(ServingPlan plan);
    PlanIndex(const PlanIndex &) = delete;
    PlanIndex &operator=(const PlanIndex &) = delete;

    const ServingPlan &plan() const { return this->servingPlan; }

    /// The route of `host` with the longest prefix that `path` begins with; null for none. A port
    /// in `host` is ignored.
    const PlanRoute *route(const std::string &host, const std::string &path) const;

    /// The customer that owns the API key `key`; null for none.
    const PlanCustomer *customer(const std::string &key) const;

    /// The service named `name`; null for none.
    const PlanService *service(const std::string &name) const;

    /// Lowest pause limit of the routes that lead to the service named `name`, whose streams share
    /// its engines; 0: none.
    Milliseconds pauseLimit(const std::string &name) const;

    /// True when requests to routes that are not public need a key; false in a plan without
    /// customers.
    bool needsKeys() const { return !this->servingPlan.customers.empty(); }

private:
    ServingPlan servingPlan;
    std::map<std::string, std::vector<const PlanRoute *>> routesByHost; ///< longest prefix first
    std::map<std::string, const PlanCustomer *> customersByKey;
    std::map<std::string, const PlanService *> servicesByName;
    std::map<std::string, Milliseconds> pauseLimits; ///< by service
};

using PlanIndexPtr = std::shared_ptr<const PlanIndex>;

} // namespace egret
