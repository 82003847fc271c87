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

constexpr Seconds kStartLimit{ 20 };
constexpr Seconds kRolloutLimit{ 15 };
constexpr const char *kKey = "key-1";
constexpr std::uint32_t kClients = 32;
constexpr Milliseconds kStreamObjective = 500ms;
constexpr Milliseconds kPlainObjective = 100ms;

/// Counts over the requests of all clients; the mutex guards the other members.
struct ClientStats
{
    std::mutex mutex;
    std::uint64_t sent{ 0 };
    std::uint64_t served{ 0 };
    std::uint64_t inTime{ 0 };
    std::uint64_t mismatchedBodies{ 0 }; ///< successes whose body differs from the upstream's
    std::set<std::string> refusedIds;    ///< answered 503 or 429, which claims no run
};

bool eventually(Seconds limit, const std::function<bool()> &holds)
{
    const TimePoint end = bootNow() + limit;
    while (bootNow() < end) {
        if (holds())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

DeploymentOptions optionsOf(const DeploymentSettings &settings)
{
    return { .prefix = settings.prefix,
             .linkPort = static_cast<std::uint16_t>(settings.linkPort),
             .operatorPort = static_cast<std::uint16_t>(settings.operatorPort),
             .clientPort = static_cast<std::uint16_t>(settings.clientPort),
             .upstreamPort = static_cast<std::uint16_t>(settings.upstreamPort),
             .zones = settings.zones,
             .enginesPerZone = settings.enginesPerZone,
             .chunks = 96 };
}

void recordAnswer(ClientStats &stats, const std::string &id, const std::string &path,
                  const Deployment::Answer &answer)
{
    const bool isStream = path == kStreamPath;
    const std::string expected = isStream ? expectedStream(0) : path + " done";
    const bool isSuccess = answer.isComplete && answer.status == 200;
    const std::lock_guard lock(stats.mutex);
    ++stats.sent;
    stats.mismatchedBodies += isSuccess && answer.body != expected ? 1 : 0;
    if (answer.status == 503 || answer.status == 429)
        stats.refusedIds.insert(id);
    if (!isSuccess || answer.body != expected)
        return;
    ++stats.served;
    stats.inTime += answer.firstByte <= (isStream ? kStreamObjective : kPlainObjective) ? 1 : 0;
}

/// One client: sends requests at random intervals until `end`.
void runClient(Deployment &deployment, const DeploymentSettings &settings, ClientStats &stats,
               std::uint32_t number, std::uint64_t seed, TimePoint end)
{
    std::mt19937_64 random(seed * kClients + number);
    std::exponential_distribution<double> pause(static_cast<double>(settings.rate) / kClients);
    std::discrete_distribution<int> kind({ 8, 1, 1 });
    const char *const paths[] = { kStreamPath, kActionPath, kReadPath };
    for (std::uint64_t count = 0;; ++count) {
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
        if (bootNow() >= end)
            return;
        const std::string path = paths[kind(random)];
        const std::string id = (path == kActionPath ? "once-" : "any-") + std::to_string(number)
                               + "-" + std::to_string(count);
        const auto gateway = static_cast<std::uint32_t>(random() % settings.gateways);
        recordAnswer(stats, id, path,
                     deployment.sendRequest(gateway, path, id, kKey, path != kReadPath));
    }
}

bool allServe(Deployment &deployment, std::uint64_t version)
{
    for (std::uint32_t i = 0; i < deployment.engines(); ++i) {
        if (deployment.engineStats(i).loadedVersion < version)
            return false;
    }
    return true;
}

nlohmann::json summarize(Deployment &deployment, const DeploymentSettings &settings,
                         ClientStats &stats)
{
    std::uint64_t duplicateRuns = 0;
    std::uint64_t falseRefusals = 0;
    std::uint64_t damagedLoads = 0;
    const auto count = [&](const UpstreamStats &upstream) {
        damagedLoads += upstream.damagedLoads;
        for (const auto &[id, times] : upstream.runsByRequestId) {
            duplicateRuns += id.starts_with("once-") && times > 1 ? 1 : 0;
            falseRefusals += id.starts_with("once-") && stats.refusedIds.contains(id) ? 1 : 0;
        }
    };
    for (std::uint32_t i = 0; i < deployment.engines(); ++i)
        count(deployment.engineStats(i));
    for (std::uint32_t i = 0; i < settings.zones; ++i)
        count(deployment.serviceStats(i));
    const double sent = static_cast<double>(std::max<std::uint64_t>(1, stats.sent));
    return { { "asked", stats.sent },
             { "served_share", static_cast<double>(stats.served) / sent },
             { "in_time_share", static_cast<double>(stats.inTime) / sent },
             { "twice", duplicateRuns },
             { "mixed", stats.mismatchedBodies },
             { "false_refusals", falseRefusals },
             { "damaged_loads", damagedLoads },
             { "origin_copies", static_cast<double>(deployment.originBytes())
                                        / static_cast<double>(deployment.copyBytes()) } };
}

} // namespace

int runCalmDay(const StandinSettings &settings)
{
    const DeploymentSettings &day = settings.deployment;
    Deployment deployment(optionsOf(day));
    if (!deployment.start()) {
        logError("stand-in deployment failed to bind an address");
        return 1;
    }
    // Step 1. Wait until a document is in force and every engine serves weights version 1.
    const std::string config = platform::configText(deployment.plan(1, kKey));
    const bool isUp =
            eventually(kStartLimit,
                       [&] {
                           return deployment
                                          .callRegistry(0, "POST", platform::kReplaceConfigPath,
                                                        config)
                                          .status
                                  == 200;
                       })
            && eventually(kStartLimit, [&] { return allServe(deployment, 1); });
    if (!isUp) {
        logError("system did not become ready within the start limit");
        return 1;
    }
    // Step 2. Run the load and start the rollout of weights version 2 halfway.
    ClientStats stats;
    const TimePoint startedAt = bootNow();
    std::vector<std::thread> clients;
    for (std::uint32_t i = 0; i < kClients; ++i)
        clients.emplace_back([&, i] {
            runClient(deployment, day, stats, i, settings.seed, startedAt + day.duration);
        });
    std::this_thread::sleep_for(day.duration / 2);
    deployment.callRegistry(0, "POST", platform::kPutVersionPath,
                            platform::weightsVersionBody("m", 2));
    const TimePoint versionRequestedAt = bootNow();
    const bool isRolledOut = eventually(kRolloutLimit, [&] { return allServe(deployment, 2); });
    const auto rollout = std::chrono::duration<double>(bootNow() - versionRequestedAt).count();
    for (std::thread &client : clients)
        client.join();
    // Step 3. Write the results.
    nlohmann::json result = summarize(deployment, day, stats);
    result["rollout_s"] = isRolledOut ? rollout : -1.0;
    std::ofstream(day.resultFile) << result.dump() << "\n";
    return isRolledOut ? 0 : 1;
}

} // namespace egret
