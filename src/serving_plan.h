#pragma once

#include "generated/messages.h"
#include "http_front.h"
#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

using Micros = std::chrono::duration<double, std::micro>;

/// How the engines of a service work, as their operator states it.
struct EngineSpec
{
    std::string model;
    std::uint32_t slots{ 1 };
    std::uint64_t kvCapacityTokens{ 0 };
    FloatMilliseconds step{ 0 };                     ///< one token for each running request
    FloatMilliseconds stepPerRequest{ 0 };           ///< added for each of them
    FloatMilliseconds stepPerThousandTokens{ 0 };    ///< added for each thousand tokens of context
    double prefillTokensPerSecond{ 1 };              ///< prompt tokens
    FloatMilliseconds attentionPerMillionPairs{ 0 }; ///< of a prompt token and one before it
    std::uint32_t stepsPerPass{ 1 };                 ///< steps of a pass
    std::uint32_t layers{ 0 };
    std::uint32_t chunks{ 0 }; ///< of its weights
    std::uint64_t chunkBytes{ 0 };
    double typicalPromptTokens{ 0 }; ///< tokens
    double typicalAnswerTokens{ 0 };
};

/// Where weights come from.
struct OriginSpec
{
    Endpoint endpoint;
    std::uint32_t maxConnections{ 1 };
};

struct PlanService
{
    std::string name;
    std::uint32_t maxConnections{ 0 }; ///< of all callers to one upstream, 0 for no bound
    double coldRequestsPerSecond{ 0 }; ///< requests a second that a cold upstream bears, 0: any
    std::optional<EngineSpec> engine;
    std::optional<OriginSpec> origin;
};

struct PlanTarget
{
    std::string service;
    std::uint32_t weight{ 0 };
};

/// What may be repeated.
enum class RequestKind : std::uint8_t {
    idempotent, ///< may run any number of times
    once,       ///< may run once at most
    stream,     ///< answered by events; repeatable where it may be resumed
};

struct PlanRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind{ RequestKind::once };
    Milliseconds timeout{ 0 };   ///< longest time that a request may be kept waiting
    Milliseconds objective{ 0 }; ///< time to the answer, or a stream's first event
    std::uint32_t priority{ 0 }; ///< 0 is first
    std::vector<PlanTarget> targets;
    std::uint32_t maxAttempts{ 1 };   ///< upstreams that one request may be sent to
    bool isPublic{ false };           ///< needs no key
    bool isResumable{ false };        ///< a stream may go on at another upstream
    std::vector<std::string> regions; ///< in which it may be served; empty: all
};

struct PlanCustomer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< goes before the route's
    std::vector<std::string> regions;
};

/// One operator document: what is routed where, for whom.
struct ServingPlan
{
    std::uint64_t number{ 0 };
    std::vector<PlanRoute> routes;
    std::vector<PlanService> services;
    std::vector<PlanCustomer> customers;
    HttpFrontBounds bounds;
};

/// Why a plan makes no sense; empty when it does. Thread safe.
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

    /// The customer that holds a key; null for none.
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
