#pragma once

#include "generated/settings.h"
#include "http_frontend.h"
#include "http_pool.h"
#include "serving_plan.h"
#include "types.h"
#include "worker_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// What an engine answers to the resumption of a broken stream.
enum class ResumedAnswer : std::uint8_t {
    sound,        ///< the rest of the stream
    failure,      ///< a failure status with a text
    otherType,    ///< a success that is no stream
    empty,        ///< a stream without an event
    skipsEvents,  ///< a stream that goes on at a later event
    containsHead, ///< a stream that contains the head of another answer
    plainText,    ///< a stream that contains the text of an error
};

struct DeploymentOptions
{
    std::string addressPrefix{ "127.31" }; ///< first two octets of all IPv4 addresses
    /// First of the two ports of each registry, gateway and stager. The first port is for
    /// connections between instances, the second one serves metrics.
    std::uint16_t linkPort{ 0 };
    std::uint16_t operatorPort{ 0 }; ///< HTTP port of registries
    std::uint16_t clientPort{ 0 };   ///< port on which gateways accept clients
    std::uint16_t upstreamPort{ 0 }; ///< port of engines, services and the origin
    std::uint32_t zoneCount{ 3 };
    std::uint32_t enginesPerZone{ 1 };
    std::uint32_t pieceCount{ 12 }; ///< pieces of each weights version
    std::uint64_t bytesPerPiece{ 4096 };
    std::size_t originConnections{ 1000 }; ///< the origin closes further connections at once
    std::uint32_t wrongManifests{ 0 };     ///< first manifests that have a wrong digest
    Milliseconds stepInterval{ 10 }; ///< interval at which an engine emits one event per stream
    /// Limit in the plan on the request rate to an upstream in slow start; 0: no limit.
    double coldRequestsPerSecond{ 0 };
    /// Time from the arrival at an engine to the first event, or at a service to the answer.
    Milliseconds prefillTime{ 0 };
    /// An engine crashes when it begins an answer to a prompt with this segment; empty for none.
    std::string crashingSegment;
    /// An engine or service crashes when it begins an answer to a request with this body; empty for
    /// none.
    std::string crashingBody;
    Milliseconds crashDownTime{ 500 }; ///< time from a crash to the restart
    /// The engines' first answers are one event each, which has no end.
    std::uint32_t endlessAnswers{ 0 };
    /// Engines break off a stream that is not resumed after this number of events; 0 for never.
    std::uint64_t breakAfterEvents{ 0 };
    ResumedAnswer resumedAnswer{ ResumedAnswer::sound };
    /// Endpoints that the services announce instead of their own, by number.
    std::vector<Endpoint> serviceEndpoints;
};

/// Counters of one simulated upstream: an engine, which serves model weights, or a service, which
/// is an upstream that is not an engine.
struct UpstreamStats
{
    std::map<std::string, int> runsByRequestId; ///< number of runs by request ID
    /// Requests that were meant for another instance or another weights version.
    std::uint32_t misdirectedCount{ 0 };
    /// Requests with a client's API key, which gateways must remove.
    std::uint32_t clientKeyCount{ 0 };
    std::uint64_t loadedVersion{ 0 }; ///< weights version of the last successful load; 0 for none
    /// Load orders (requests to an engine to load a weights version) that failed because a staged
    /// piece was missing or corrupt.
    std::uint32_t pieceLoadFailureCount{ 0 };
    /// Arrival times of clients' requests, without misdirected ones.
    std::vector<TimePoint> arrivals;
};

/// Body of a client's POST request.
inline constexpr const char *kDefaultBody = "{\"a\":1}";

/// What the engines and services saw of requests that crash them.
struct CrashStats
{
    std::vector<TimePoint> arrivals; ///< of crashing requests, at any upstream
    std::vector<TimePoint> crashes;
};

/// Simulated environment, called stand-in deployment in log lines. Simulates, on loopback
/// addresses, the systems around registries, gateways and stagers: engines with staged weights,
/// services, the origin of weights, the operator and clients. All simulated systems
/// run on one dedicated thread; the public methods may be called from any other thread. Registries,
/// gateways, engines and services are each numbered from 0; number N is in zone N modulo the zone
/// count.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Binds all addresses and starts the simulation; false when an address can't
    /// be bound.
    bool start();

    /// Settings of registry, gateway or stager `number`. Stager N serves engine N.
    /// `dataFolder` holds the registry's durable state.
    NodeSettings registrySettings(std::uint32_t number, const std::string &dataFolder) const;
    NodeSettings gatewaySettings(std::uint32_t number) const;
    NodeSettings stagerSettings(std::uint32_t number) const;

    /// Serving plan, the parsed content of configuration document `number`: one route of each
    /// request kind and one customer, whose API key is `key`.
    ServingPlan plan(std::uint64_t number, const std::string &key) const;

    /// HTTP response to a registry call or to a client's request.
    struct Response
    {
        bool isComplete{ false }; ///< the whole response arrived
        int status{ 0 };
        std::string body;
        HttpHeaders headers;
        Milliseconds timeToFirstByte{ 0 }; ///< time from the request to the first byte of the body
    };

    /// Sends an operator's call to a registry and waits for the response. `target` is
    /// the path with the query. Returns an incomplete Response after a timeout.
    Response callRegistry(std::uint32_t registry, const std::string &method,
                          const std::string &target, const std::string &body = "");

    /// Sends a client's request to a gateway and waits for the response. `id` is the
    /// request ID and `key` the client's API key; `isPost` selects POST with a body
    /// instead of GET. `segments`: ids of the prompt's segments, the last one of this request
    /// alone. Returns an incomplete Response after a timeout.
    Response sendRequest(std::uint32_t gateway, const std::string &path, const std::string &id,
                         const std::string &key, bool isPost = true,
                         const std::vector<std::string> &segments = {},
                         const std::string &postBody = kDefaultBody);

    /// Counters of an engine or a service.
    UpstreamStats engineStats(std::uint32_t engine);
    UpstreamStats serviceStats(std::uint32_t service);

    CrashStats crashStats();

    /// Bytes of pieces that the origin sent.
    std::uint64_t originBytesSent();

    /// Number of requests for the manifest of a weights version that the origin answered.
    std::uint32_t manifestRequests(std::uint64_t version);

    /// Size of one weights version in bytes.
    std::uint64_t weightsVersionBytes() const
    {
        return this->options.pieceCount * this->options.bytesPerPiece;
    }

    /// Overwrites one staged piece of an engine with invalid bytes.
    void corruptStagedPiece(std::uint32_t engine, std::size_t piece);

    /// The answers of an engine, or of a service, limit the rate of its requests by a header with
    /// each of these values. No value: no limit.
    void setEngineRequestLimit(std::uint32_t engine, const std::vector<std::string> &values);
    void setServiceRequestLimit(std::uint32_t service, const std::vector<std::string> &values);

    /// All answers of an engine say, by a header with this value, whether the engine is about to
    /// end. Empty: no header.
    void setEngineLeaving(std::uint32_t engine, const std::string &value);

    /// An engine, or a service, refuses all requests and asks, by a header with this value, for no
    /// request for some time. Empty: it runs them again.
    void setEngineRefusal(std::uint32_t engine, const std::string &retryAfter);
    void setServiceRefusal(std::uint32_t service, const std::string &retryAfter);

    /// Puts all engines and services in slow start; their announcements say so for `duration`.
    void startSlowStart(Milliseconds duration);

    /// Number of engines in all zones.
    std::uint32_t engineCount() const
    {
        return this->options.zoneCount * this->options.enginesPerZone;
    }

private:
    class Impl;
    /// IP address of instance `number`. The third octet is `kind`, which numbers the kinds of
    /// instances (registries, gateways and so on).
    std::string address(int kind, std::uint32_t number) const;
    std::string zoneOf(std::uint32_t number) const;
    NodeSettings commonSettings(const std::string &name, int kind, std::uint32_t number) const;

    DeploymentOptions options;
    std::unique_ptr<Impl> impl;
};

inline constexpr const char *kStreamPath = "/chat/1"; ///< resumable stream
inline constexpr const char *kActionPath = "/act/1";  ///< action that must run at most once
inline constexpr const char *kReadPath = "/read/1";   ///< idempotent read

/// Expected body of a streamed answer that resumes after event `lastEvent`; 0 for
/// the whole answer.
std::string expectedStream(std::uint64_t lastEvent);

} // namespace egret
