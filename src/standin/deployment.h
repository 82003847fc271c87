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
    std::string prefix{ "127.31" }; ///< first half of the addresses of all instances
    std::uint16_t linkPort{ 0 };
    std::uint16_t operatorPort{ 0 };
    std::uint16_t clientPort{ 0 };
    std::uint16_t upstreamPort{ 0 };
    std::uint32_t zones{ 3 };
    std::uint32_t enginesPerZone{ 1 };
    std::uint32_t chunks{ 12 };
    std::uint64_t chunkBytes{ 4096 };
    Milliseconds pass{ 10 }; ///< time in which an engine makes one event of each stream
};

/// What an upstream of the stand-in deployment has seen.
struct UpstreamRecordOfRuns
{
    std::map<std::string, int> runs; ///< by identity of the request
    std::uint32_t misdirected{ 0 };
    std::uint32_t withKey{ 0 }; ///< requests that still carried a client's key
    std::uint64_t loadedVersion{ 0 };
    std::uint32_t badLoads{ 0 }; ///< loads of pieces that were not whole
};

/// Plays what stands around the system on the users' platform, on loopback
/// addresses: engines with staged weights, plain services, the origin of
/// weights, the operator and clients. All of it runs on one thread of its own;
/// calls may come from any other thread.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Binds all and starts; false when an address is taken.
    bool start();

    /// Settings of the system's instances; numbers count from 0, one a zone.
    NodeSettings registry(std::uint32_t number, const std::string &dataFolder) const;
    NodeSettings gateway(std::uint32_t number) const;
    NodeSettings stager(std::uint32_t number) const;

    /// The document with a number, and a key of its one customer.
    ServingPlan plan(std::uint64_t number, const std::string &key) const;

    /// An answer to a call or a request.
    struct Answer
    {
        bool isWhole{ false };
        int status{ 0 };
        std::string body;
        HttpHeaders headers;
        Milliseconds firstByte{ 0 }; ///< time to the first part of the body
    };

    /// Calls a registry instance as the operator does, and waits for the answer.
    Answer call(std::uint32_t registry, const std::string &method, const std::string &target,
                const std::string &body = "");

    /// Sends a client's request to a gateway and waits for the answer.
    Answer request(std::uint32_t gateway, const std::string &path, const std::string &id,
                   const std::string &key, bool isPost = true);

    /// What an engine, or a plain service, has seen.
    UpstreamRecordOfRuns engineRuns(std::uint32_t engine);
    UpstreamRecordOfRuns serviceRuns(std::uint32_t service);

    /// Bytes of weights that the origin has sent.
    std::uint64_t originBytes();

    /// Bytes of one copy of the weights.
    std::uint64_t copyBytes() const { return this->options.chunks * this->options.chunkBytes; }

    /// Spoils a staged piece of an engine.
    void rot(std::uint32_t engine, std::size_t piece);

    std::uint32_t engines() const { return this->options.zones * this->options.enginesPerZone; }

private:
    class Impl;
    std::string address(int kind, std::uint32_t number) const;
    std::string zoneOf(std::uint32_t number) const;
    NodeSettings common(const std::string &name, int kind, std::uint32_t number) const;

    DeploymentOptions options;
    std::unique_ptr<Impl> impl;
};

/// Paths of the stand-in deployment's three kinds of requests.
inline constexpr const char *kStreamPath = "/chat/1";
inline constexpr const char *kActionPath = "/act/1";
inline constexpr const char *kReadPath = "/read/1";

/// Whole body of a streamed answer after an event (0 for all of it).
std::string expectedStream(std::uint64_t after);

} // namespace egret
