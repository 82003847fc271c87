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

struct DeploymentOptions
{
    std::string prefix{ "127.31" }; ///< first two octets of every instance's IPv4 address
    std::uint16_t linkPort{ 0 };
    std::uint16_t operatorPort{ 0 };
    std::uint16_t clientPort{ 0 };
    std::uint16_t upstreamPort{ 0 };
    std::uint32_t zones{ 3 };
    std::uint32_t enginesPerZone{ 1 };
    std::uint32_t chunks{ 12 };
    std::uint64_t chunkBytes{ 4096 };
    Milliseconds stepInterval{ 10 }; ///< interval at which an engine emits one event per stream
};

/// Counts of what one upstream of the stand-in deployment received.
struct UpstreamStats
{
    std::map<std::string, int> runsByRequestId; ///< number of runs by request ID
    std::uint32_t misdirected{ 0 };   ///< requests for another instance or weights version
    std::uint32_t withClientKey{ 0 }; ///< requests that still carried a client's API key
    std::uint64_t loadedVersion{ 0 };
    std::uint32_t damagedLoads{ 0 }; ///< load orders with a missing or corrupt staged piece
};

/// Simulates the systems outside egretpulley on the users' platform, on loopback
/// addresses: engines with staged weights, plain services, the origin of
/// weights, the operator and clients. Everything runs on one dedicated thread;
/// the public methods may be called from any other thread.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Binds all addresses and starts; false when a bind fails.
    bool start();

    /// Settings of one instance of the system. Numbers start at 0 and are
    /// assigned to the zones in turn.
    NodeSettings registrySettings(std::uint32_t number, const std::string &dataFolder) const;
    NodeSettings gatewaySettings(std::uint32_t number) const;
    NodeSettings stagerSettings(std::uint32_t number) const;

    /// Serving plan with document number `number` and one customer with API key `key`.
    ServingPlan plan(std::uint64_t number, const std::string &key) const;

    /// Response to a registry call or a client request.
    struct Answer
    {
        bool isComplete{ false };
        int status{ 0 };
        std::string body;
        HttpHeaders headers;
        Milliseconds firstByte{ 0 }; ///< time to the first byte of the body
    };

    /// Sends an operator's call to a registry instance and waits for the answer;
    /// the answer is empty after a timeout.
    Answer callRegistry(std::uint32_t registry, const std::string &method,
                        const std::string &target, const std::string &body = "");

    /// Sends a client's request to a gateway and waits for the answer, which is
    /// empty after a timeout.
    Answer sendRequest(std::uint32_t gateway, const std::string &path, const std::string &id,
                       const std::string &key, bool isPost = true);

    /// Counters of an engine or a plain service.
    UpstreamStats engineStats(std::uint32_t engine);
    UpstreamStats serviceStats(std::uint32_t service);

    /// Bytes of weights that the origin sent.
    std::uint64_t originBytes();

    /// Size of one copy of the weights in bytes.
    std::uint64_t copyBytes() const { return this->options.chunks * this->options.chunkBytes; }

    /// Overwrites one staged piece of an engine with invalid bytes.
    void corruptStagedPiece(std::uint32_t engine, std::size_t piece);

    /// Number of engines in all zones.
    std::uint32_t engines() const { return this->options.zones * this->options.enginesPerZone; }

private:
    class Impl;
    std::string address(int kind, std::uint32_t number) const;
    std::string zoneOf(std::uint32_t number) const;
    NodeSettings commonSettings(const std::string &name, int kind, std::uint32_t number) const;

    DeploymentOptions options;
    std::unique_ptr<Impl> impl;
};

/// Request paths: a resumable stream, a run-once action and an idempotent read.
inline constexpr const char *kStreamPath = "/chat/1";
inline constexpr const char *kActionPath = "/act/1";
inline constexpr const char *kReadPath = "/read/1";

/// Events of a streamed answer that follow event `lastEvent`; 0 for all events.
std::string expectedStream(std::uint64_t lastEvent);

} // namespace egret
