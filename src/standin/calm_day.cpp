#include "standin/calm_day.h"

#include "clock.h"
#include "log.h"
#include "names.h"
#include "standin/deployment.h"
#include "standin_protocol.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <random>
#include <thread>

namespace egret {

namespace {

constexpr Seconds kStartTimeout{ 20 };
constexpr Seconds kRolloutTimeout{ 15 };
constexpr const char *kClientApiKey = "key-1";
constexpr std::uint32_t kClientCount = 32;
constexpr Milliseconds kStreamFirstByteObjective = 500ms;
constexpr Milliseconds kNonStreamFirstByteObjective = 100ms;

/// Request counts of all clients together; the mutex guards the other members.
struct ClientStats
{
    std::mutex mutex;
    std::uint64_t sentCount{ 0 };
    std::uint64_t servedCount{ 0 }; ///< complete answers with status 200 and the expected body
    std::uint64_t inTimeCount{ 0 }; ///< served requests whose first byte met the objective
    /// Complete answers with status 200 and an unexpected body.
    std::uint64_t mismatchedBodyCount{ 0 };
    /// Requests answered with 503 or 429. Both statuses state that no upstream ran the
    /// request.
    std::set<std::string> refusedRequestIds;
};

/// Polls `condition` until it is true; returns false after the timeout.
bool waitUntil(Seconds timeout, const std::function<bool()> &condition)
{
    const TimePoint deadline = bootNow() + timeout;
    while (bootNow() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

DeploymentOptions optionsOf(const DeploymentSettings &settings)
{
    return { .addressPrefix = settings.prefix,
             .linkPort = static_cast<std::uint16_t>(settings.linkPort),
             .operatorPort = static_cast<std::uint16_t>(settings.operatorPort),
             .clientPort = static_cast<std::uint16_t>(settings.clientPort),
             .upstreamPort = static_cast<std::uint16_t>(settings.upstreamPort),
             .zoneCount = settings.zones,
             .enginesPerZone = settings.enginesPerZone,
             .pieceCount = 96 };
}

void recordAnswer(ClientStats &stats, const std::string &id, const std::string &path,
                  const Deployment::Response &answer)
{
    const bool isStream = path == kStreamPath;
    const std::string expected = isStream ? expectedStream(0) : path + " done";
    const bool isSuccess = answer.isComplete && answer.status == 200;
    const std::lock_guard lock(stats.mutex);
    ++stats.sentCount;
    stats.mismatchedBodyCount += isSuccess && answer.body != expected ? 1 : 0;
    if (answer.status == 503 || answer.status == 429)
        stats.refusedRequestIds.insert(id);
    if (!isSuccess || answer.body != expected)
        return;
    ++stats.servedCount;
    stats.inTimeCount += answer.timeToFirstByte <= (isStream ? kStreamFirstByteObjective
                                                             : kNonStreamFirstByteObjective)
                                 ? 1
                                 : 0;
}

/// Sends the requests of client `clientNumber` (from 0) at random intervals until
/// `endsAt`. `seed` is the same for all clients.
void runClient(Deployment &deployment, const DeploymentSettings &settings, ClientStats &stats,
               std::uint32_t clientNumber, std::uint64_t seed, TimePoint endsAt)
{
    std::mt19937_64 random(seed * kClientCount + clientNumber);
    std::exponential_distribution<double> interval(static_cast<double>(settings.rate)
                                                   / kClientCount);
    // On average, eight of ten requests are streams, one is an action and one is a read.
    std::discrete_distribution<int> pathIndex({ 8, 1, 1 });
    const char *const paths[] = { kStreamPath, kActionPath, kReadPath };
    for (std::uint64_t requestNumber = 0;; ++requestNumber) {
        std::this_thread::sleep_for(std::chrono::duration<double>(interval(random)));
        if (bootNow() >= endsAt)
            return;
        const std::string path = paths[pathIndex(random)];
        // The prefix of a request ID is "once-" for an action, which must run at most once, and
        // "any-" for a request that may run any number of times.
        const std::string id = (path == kActionPath ? "once-" : "any-")
                               + std::to_string(clientNumber) + "-" + std::to_string(requestNumber);
        const auto gateway = static_cast<std::uint32_t>(random() % settings.gateways);
        recordAnswer(stats, id, path,
                     deployment.sendRequest(gateway, path, id, kClientApiKey, path != kReadPath));
    }
}

bool allEnginesServe(Deployment &deployment, std::uint64_t minVersion)
{
    for (std::uint32_t i = 0; i < deployment.engineCount(); ++i) {
        if (deployment.engineStats(i).loadedVersion < minVersion)
            return false;
    }
    return true;
}

nlohmann::json summarize(Deployment &deployment, const DeploymentSettings &settings,
                         ClientStats &stats)
{
    std::uint64_t duplicateRunCount = 0;
    std::uint64_t falseRefusalCount = 0;
    std::uint64_t pieceLoadFailureCount = 0;
    // An action must run at most once, and a refused action must not run at all. The IDs
    // of actions start with "once-".
    const auto addUpstream = [&](const UpstreamStats &upstream) {
        pieceLoadFailureCount += upstream.pieceLoadFailureCount;
        for (const auto &[id, runCount] : upstream.runsByRequestId) {
            duplicateRunCount += id.starts_with("once-") && runCount > 1 ? 1 : 0;
            falseRefusalCount +=
                    id.starts_with("once-") && stats.refusedRequestIds.contains(id) ? 1 : 0;
        }
    };
    for (std::uint32_t i = 0; i < deployment.engineCount(); ++i)
        addUpstream(deployment.engineStats(i));
    for (std::uint32_t i = 0; i < settings.zones; ++i)
        addUpstream(deployment.serviceStats(i));
    const double requestCount = static_cast<double>(std::max<std::uint64_t>(1, stats.sentCount));
    return { { "asked", stats.sentCount },
             { "served_share", static_cast<double>(stats.servedCount) / requestCount },
             { "in_time_share", static_cast<double>(stats.inTimeCount) / requestCount },
             { "twice", duplicateRunCount },
             { "mixed", stats.mismatchedBodyCount },
             { "false_refusals", falseRefusalCount },
             { "damaged_loads", pieceLoadFailureCount },
             { "origin_copies", static_cast<double>(deployment.originBytesSent())
                                        / static_cast<double>(deployment.weightsVersionBytes()) } };
}

} // namespace

/// Runs the calm-day scenario: client load and one rollout of model weights, without injected
/// faults.
int runCalmDay(const StandinSettings &settings)
{
    const DeploymentSettings &deploymentSettings = settings.deployment;
    Deployment deployment(optionsOf(deploymentSettings));
    if (!deployment.start()) {
        logError("stand-in deployment failed to bind an address");
        return 1;
    }
    // Step 1. Wait until a registry has accepted the configuration document and every engine serves
    // weights version 1.
    const std::string config = platform::configText(deployment.plan(1, kClientApiKey));
    const bool isUp =
            waitUntil(kStartTimeout,
                      [&] {
                          return deployment
                                         .callRegistry(0, "POST", platform::kReplaceConfigPath,
                                                       config)
                                         .status
                                 == 200;
                      })
            && waitUntil(kStartTimeout, [&] { return allEnginesServe(deployment, 1); });
    if (!isUp) {
        logError("system did not become ready within the start timeout");
        return 1;
    }
    // Step 2. Send requests from all clients and start the rollout of weights version 2 halfway.
    ClientStats stats;
    const TimePoint startedAt = bootNow();
    std::vector<std::thread> clients;
    for (std::uint32_t i = 0; i < kClientCount; ++i)
        clients.emplace_back([&, i] {
            runClient(deployment, deploymentSettings, stats, i, settings.seed,
                      startedAt + deploymentSettings.duration);
        });
    std::this_thread::sleep_for(deploymentSettings.duration / 2);
    deployment.callRegistry(0, "POST", platform::kPutVersionPath,
                            platform::weightsVersionBody("m", 2));
    const TimePoint versionRequestedAt = bootNow();
    const bool isRolledOut =
            waitUntil(kRolloutTimeout, [&] { return allEnginesServe(deployment, 2); });
    const auto rolloutSeconds =
            std::chrono::duration<double>(bootNow() - versionRequestedAt).count();
    for (std::thread &client : clients)
        client.join();
    // Step 3. Write the results.
    nlohmann::json result = summarize(deployment, deploymentSettings, stats);
    result["rollout_s"] = isRolledOut ? rolloutSeconds : -1.0;
    std::ofstream(deploymentSettings.resultFile) << result.dump() << "\n";
    return isRolledOut ? 0 : 1;
}

} // namespace egret
