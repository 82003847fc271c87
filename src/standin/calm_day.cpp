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

/// What clients saw.
struct Seen
{
    std::mutex mutex;
    std::uint64_t asked{ 0 };
    std::uint64_t served{ 0 };
    std::uint64_t inTime{ 0 };
    std::uint64_t mixed{ 0 };      ///< successes with another body than the upstream's
    std::set<std::string> refused; ///< told that they have not run
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

void note(Seen &seen, const std::string &id, const std::string &path,
          const Deployment::Answer &answer)
{
    const bool isStream = path == kStreamPath;
    const std::string expected = isStream ? expectedStream(0) : path + " done";
    const bool isGood = answer.isWhole && answer.status == 200;
    const std::lock_guard lock(seen.mutex);
    ++seen.asked;
    seen.mixed += isGood && answer.body != expected ? 1 : 0;
    if (answer.status == 503 || answer.status == 429)
        seen.refused.insert(id);
    if (!isGood || answer.body != expected)
        return;
    ++seen.served;
    seen.inTime += answer.firstByte <= (isStream ? kStreamObjective : kPlainObjective) ? 1 : 0;
}

/// One client: asks at random times until the end of the day.
void runClient(Deployment &deployment, const DeploymentSettings &settings, Seen &seen,
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
        note(seen, id, path, deployment.request(gateway, path, id, kKey, path != kReadPath));
    }
}

bool allServe(Deployment &deployment, std::uint64_t version)
{
    for (std::uint32_t i = 0; i < deployment.engines(); ++i) {
        if (deployment.engineRuns(i).loadedVersion < version)
            return false;
    }
    return true;
}

nlohmann::json resultOf(Deployment &deployment, const DeploymentSettings &settings, Seen &seen)
{
    std::uint64_t twice = 0;
    std::uint64_t falseRefusals = 0;
    std::uint64_t badLoads = 0;
    const auto count = [&](const UpstreamRecordOfRuns &runs) {
        badLoads += runs.badLoads;
        for (const auto &[id, times] : runs.runs) {
            twice += id.starts_with("once-") && times > 1 ? 1 : 0;
            falseRefusals += id.starts_with("once-") && seen.refused.contains(id) ? 1 : 0;
        }
    };
    for (std::uint32_t i = 0; i < deployment.engines(); ++i)
        count(deployment.engineRuns(i));
    for (std::uint32_t i = 0; i < settings.zones; ++i)
        count(deployment.serviceRuns(i));
    const double asked = static_cast<double>(std::max<std::uint64_t>(1, seen.asked));
    return { { "asked", seen.asked },
             { "served_share", static_cast<double>(seen.served) / asked },
             { "in_time_share", static_cast<double>(seen.inTime) / asked },
             { "twice", twice },
             { "mixed", seen.mixed },
             { "false_refusals", falseRefusals },
             { "damaged_loads", badLoads },
             { "origin_copies", static_cast<double>(deployment.originBytes())
                                        / static_cast<double>(deployment.copyBytes()) } };
}

} // namespace

int runCalmDay(const StandinSettings &settings)
{
    const DeploymentSettings &day = settings.deployment;
    Deployment deployment(optionsOf(day));
    if (!deployment.start()) {
        logError("an address of the stand-in deployment is taken");
        return 1;
    }
    // Step 1. A document in force and every engine at its first weights.
    const std::string config = platform::configText(deployment.plan(1, kKey));
    const bool isUp =
            eventually(kStartLimit,
                       [&] {
                           return deployment.call(0, "POST", platform::kReplaceConfigPath, config)
                                          .status
                                  == 200;
                       })
            && eventually(kStartLimit, [&] { return allServe(deployment, 1); });
    if (!isUp) {
        logError("the system did not come up");
        return 1;
    }
    // Step 2. The load, and new weights halfway.
    Seen seen;
    const TimePoint began = bootNow();
    std::vector<std::thread> clients;
    for (std::uint32_t i = 0; i < kClients; ++i)
        clients.emplace_back([&, i] {
            runClient(deployment, day, seen, i, settings.seed, began + day.duration);
        });
    std::this_thread::sleep_for(day.duration / 2);
    deployment.call(0, "POST", platform::kPutVersionPath, platform::weightsVersionBody("m", 2));
    const TimePoint named = bootNow();
    const bool isRolledOut = eventually(kRolloutLimit, [&] { return allServe(deployment, 2); });
    const auto rollout = std::chrono::duration<double>(bootNow() - named).count();
    for (std::thread &client : clients)
        client.join();
    // Step 3. What was seen.
    nlohmann::json result = resultOf(deployment, day, seen);
    result["rollout_s"] = isRolledOut ? rollout : -1.0;
    std::ofstream(day.resultFile) << result.dump() << "\n";
    return isRolledOut ? 0 : 1;
}

} // namespace egret
