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

/// Performance model of the engines of a service, as configured by operators.
struct EngineSpec
{
    std::string model;
    std::uint32_t slots{ 1 };
    std::uint64_t kvCapacityTokens{ 0 };
    FloatMilliseconds step{ 0 };           ///< time to decode one token for each running request
    FloatMilliseconds stepPerRequest{ 0 }; ///< added for each running request
    FloatMilliseconds stepPerThousandTokens{ 0 }; ///< added for each thousand tokens of context
    double prefillTokensPerSecond{ 1 };
    /// Attention time for a million pairs of a prompt token and an earlier one.
    FloatMilliseconds attentionPerMillionPairs{ 0 };
    std::uint32_t stepsPerPass{ 1 };
    std::uint32_t layers{ 0 };
    std::uint32_t chunks{ 0 }; ///< chunks of the weights
    std::uint64_t chunkBytes{ 0 };
    double typicalPromptTokens{ 0 };
    double typicalAnswerTokens{ 0 };
};

/// Origin server of the weights.
struct OriginSpec
{
    Endpoint endpoint;
    std::uint32_t maxConnections{ 1 };
};

struct PlanService
{
    std::string name;
    std::uint32_t maxConnections{ 0 }; ///< of all callers to one upstream, 0: no limit
    double coldRequestsPerSecond{ 0 }; ///< to one upstream in slow start, 0: no limit
    std::optional<EngineSpec> engine;
    std::optional<OriginSpec> origin;
};

struct PlanTarget
{
    std::string service;
    std::uint32_t weight{ 0 };
};

/// How often a request may be executed, and the form of its response.
enum class RequestKind : std::uint8_t {
    idempotent, ///< may be executed any number of times
    once,       ///< may be executed at most once
    stream,     ///< response of server-sent events; idempotent if the stream is resumable
};

struct PlanRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind{ RequestKind::once };
    Milliseconds timeout{ 0 };   ///< maximum time to the end of a request
    Milliseconds objective{ 0 }; ///< target time to the response, or to a stream's first event
    std::uint32_t priority{ 0 }; ///< 0 is the highest
    std::vector<PlanTarget> targets;
    std::uint32_t maxAttempts{ 1 };   ///< maximum attempts of one request
    bool isPublic{ false };           ///< requests need no key
    bool isResumable{ false };        ///< a broken stream may continue at another upstream
    std::vector<std::string> regions; ///< regions whose upstreams may serve the route; empty: all
};

struct PlanCustomer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    std::vector<std::string> regions;
};

/// One revision of the operators' document: routes, services and customers.
struct ServingPlan
{
    std::uint64_t number{ 0 };
    std::vector<PlanRoute> routes;
    std::vector<PlanService> services;
    std::vector<PlanCustomer> customers;
    HttpFrontendBounds bounds;
};

/// First error of an invalid plan; empty when the plan is valid. Thread safe.
std::string planError(const ServingPlan &plan);

/// Finds routes, services and customers of a plan. Immutable; thread safe.
class PlanIndex
{
public:
    explicit PlanIndex(ServingPlan plan);
    PlanIndex(const PlanIndex &) = delete;
    PlanIndex &operator=(const PlanIndex &) = delete;

    const ServingPlan &plan() const { return this->document; }

    /// The route of a host (a port is ignored) with the longest prefix of `path`; null for none.
    const PlanRoute *route(const std::string &host, const std::string &path) const;

    /// The customer that owns a key; null for none.
    const PlanCustomer *customer(const std::string &key) const;

    const PlanService *service(const std::string &name) const;

    /// True when requests on routes that are not public need a key.
    bool needsKeys() const { return !this->document.customers.empty(); }

private:
    ServingPlan document;
    std::map<std::string, std::vector<const PlanRoute *>> routesByHost; ///< longest prefix first
    std::map<std::string, const PlanCustomer *> customersByKey;
    std::map<std::string, const PlanService *> servicesByName;
};

using PlanIndexPtr = std::shared_ptr<const PlanIndex>;

} // namespace egret
