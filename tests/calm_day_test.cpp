#include "standin/deployment.h"

#include "gateway.h"
#include "http_frontend.h"
#include "loopback.h"
#include "names.h"
#include "registry_api.h"
#include "registry_node.h"
#include "stager.h"
#include "standin_protocol.h"
#include "wire_protocol.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <filesystem>
#include <future>
#include <thread>

using namespace egret;

namespace {

constexpr Seconds kStartTimeout{ 15 };
constexpr Seconds kStepTimeout{ 10 };
constexpr std::uint32_t kZoneCount = 3;

/// A registry instance behind an HTTP frontend with the platform's registry API.
struct TestRegistry
{
    explicit TestRegistry(const NodeSettings &settings)
        : node(settings), api(node),
          frontend(std::make_unique<HttpFrontend>(
                  node.context(),
                  HttpFrontendOptions{ .listen = *Endpoint::parse(settings.operatorAddress),
                                       .bounds = { .maxBodyBytes = 1U << 20U } },
                  [this](HttpRequest &&request, const AbortableReplyPtr &reply) {
                      this->api.handle(request, reply);
                  }))
    {
        std::string problem;
        this->isStarted = this->node.start(problem);
        std::promise<void> done;
        asio::post(this->node.context(), [&] {
            Reason<std::error_code> reason;
            this->isStarted = this->frontend->start(reason) && this->isStarted;
            done.set_value();
        });
        done.get_future().wait();
    }
    ~TestRegistry()
    {
        std::promise<void> done;
        asio::post(this->node.context(), [&] {
            this->frontend.reset();
            done.set_value();
        });
        done.get_future().wait();
        this->node.stop();
    }
    TestRegistry(const TestRegistry &) = delete;
    TestRegistry &operator=(const TestRegistry &) = delete;

    RegistryNode node;
    platform::RegistryApi api;
    std::unique_ptr<HttpFrontend> frontend;
    bool isStarted{ false };
};

/// Runs registries, gateways, stagers and the stand-in deployment in one process.
class CalmDay : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = testing::TempDir() + "calm-day-XXXXXX";
        this->folder = mkdtemp(name.data());
        const auto port = [] { return freeLoopback("127.0.0.1").port; };
        this->deployment = std::make_unique<Deployment>(DeploymentOptions{
                .linkPort = port(),
                .operatorPort = port(),
                .clientPort = port(),
                .upstreamPort = port(),
                .zoneCount = kZoneCount,
        });
        ASSERT_TRUE(this->deployment->start());
        for (std::uint32_t i = 0; i < kZoneCount; ++i) {
            this->registries.push_back(std::make_unique<TestRegistry>(
                    this->deployment->registrySettings(i, this->folder + "/" + std::to_string(i))));
            ASSERT_TRUE(this->registries.back()->isStarted);
        }
        std::string problem;
        for (std::uint32_t i = 0; i < kZoneCount; ++i) {
            this->gateways.push_back(std::make_unique<Gateway>(this->deployment->gatewaySettings(i),
                                                               platform::gatewayProtocol()));
            ASSERT_TRUE(this->gateways.back()->start(problem)) << problem;
        }
        for (std::uint32_t i = 0; i < this->deployment->engineCount(); ++i) {
            this->stagers.push_back(std::make_unique<Stager>(this->deployment->stagerSettings(i),
                                                             platform::stagerProtocol()));
            ASSERT_TRUE(this->stagers.back()->start(problem)) << problem;
        }
    }

    void TearDown() override
    {
        for (const auto &stager : this->stagers)
            stager->stop();
        for (const auto &gateway : this->gateways)
            gateway->stop();
        this->registries.clear();
        this->deployment.reset();
        std::filesystem::remove_all(this->folder);
    }

    /// Polls `condition` until it is true; returns false after the timeout.
    static bool waitUntil(Seconds timeout, const std::function<bool()> &condition)
    {
        const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
        while (std::chrono::steady_clock::now() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return condition();
    }

    /// Submits document `number`, whose customer has the API key `key`, repeatedly until
    /// the registry accepts the document; returns false after kStartTimeout.
    bool putDocument(std::uint32_t registry, std::uint64_t number, const std::string &key)
    {
        return waitUntil(kStartTimeout, [&] {
            return this->deployment
                           ->callRegistry(registry, "POST", platform::kReplaceConfigPath,
                                          platform::configText(this->deployment->plan(number, key)))
                           .status
                   == 200;
        });
    }

    /// Waits until every engine serves weights version `version`; returns false after
    /// kStartTimeout.
    bool waitForVersion(std::uint64_t version)
    {
        return waitUntil(kStartTimeout, [&] {
            for (std::uint32_t i = 0; i < this->deployment->engineCount(); ++i) {
                if (this->deployment->engineStats(i).loadedVersion != version)
                    return false;
            }
            return true;
        });
    }

    /// Waits until every gateway serves a stream; returns false after kStartTimeout.
    bool waitUntilReady()
    {
        return waitUntil(kStartTimeout, [&] {
            for (std::uint32_t i = 0; i < kZoneCount; ++i) {
                const auto answer = this->deployment->sendRequest(
                        i, kStreamPath, "probe-" + std::to_string(++this->probeCount), "key");
                if (answer.status != 200)
                    return false;
            }
            return true;
        });
    }

    std::string folder;
    std::unique_ptr<Deployment> deployment;
    std::vector<std::unique_ptr<TestRegistry>> registries;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<std::unique_ptr<Stager>> stagers;
    int probeCount{ 0 };
};

} // namespace

TEST_F(CalmDay, ServesEveryRequestWhileWeightsKeysAndZonesChange)
{
    // Step 1. Gateways answer requests with 503 until a document is in force.
    EXPECT_EQ(this->deployment->sendRequest(0, kActionPath, "early", "key").status, 503);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());

    // Step 2. Send requests of each kind from several clients concurrently.
    std::vector<std::future<int>> clients;
    for (std::uint32_t client = 0; client < kZoneCount; ++client) {
        clients.push_back(std::async(std::launch::async, [this, client] {
            int failedCheckCount = 0;
            for (int i = 0; i < 15; ++i) {
                const std::string id = std::to_string(client) + "-" + std::to_string(i);
                const auto stream =
                        this->deployment->sendRequest(client, kStreamPath, "s" + id, "key");
                const bool isCorrect = stream.isComplete && stream.body == expectedStream(0);
                failedCheckCount += stream.status == 200 && isCorrect ? 0 : 1;
                const auto action =
                        this->deployment->sendRequest(client, kActionPath, "a" + id, "key");
                failedCheckCount += action.status == 200 && action.body == "/act/1 done" ? 0 : 1;
                const auto read =
                        this->deployment->sendRequest(client, kReadPath, "r" + id, "key", false);
                failedCheckCount += read.status == 200 ? 0 : 1;
            }
            return failedCheckCount;
        }));
    }
    // Step 3. Meanwhile roll out new weights and corrupt one staged piece.
    ASSERT_EQ(this->deployment
                      ->callRegistry(1, "POST", platform::kPutVersionPath,
                                     platform::weightsVersionBody("m", 2))
                      .status,
              200);
    this->deployment->corruptStagedPiece(1, 3);
    for (auto &client : clients)
        EXPECT_EQ(client.get(), 0);
    EXPECT_TRUE(this->waitForVersion(2));
    for (std::uint32_t i = 0; i < this->deployment->engineCount(); ++i) {
        EXPECT_EQ(this->deployment->engineStats(i).pieceLoadFailureCount, 0U);
        EXPECT_EQ(this->deployment->engineStats(i).clientKeyCount, 0U);
    }
    for (std::uint32_t i = 0; i < kZoneCount; ++i) {
        for (const auto &[id, count] : this->deployment->serviceStats(i).runsByRequestId)
            EXPECT_TRUE(!id.starts_with("a") || count == 1) << id;
    }
    // One copy of each of the two versions, plus one copy as a margin for pieces that are
    // fetched twice.
    EXPECT_LE(this->deployment->originBytesSent(), 3 * this->deployment->weightsVersionBytes());

    // Step 4. An invalid document is rejected. A document with a lower number than the
    // current document is accepted but has no effect.
    auto invalidPlan = this->deployment->plan(9, "key");
    invalidPlan.routes.front().targets.front().service = "none";
    EXPECT_EQ(this->deployment
                      ->callRegistry(0, "POST", platform::kReplaceConfigPath,
                                     platform::configText(invalidPlan))
                      .status,
              400);
    ASSERT_TRUE(this->putDocument(2, 3, "other"));
    const auto current = this->deployment->callRegistry(1, "GET", platform::kReadConfigPath);
    EXPECT_EQ(current.status, 200);
    EXPECT_EQ(current.body, platform::configText(this->deployment->plan(4, "key")));

    // Step 5. Every gateway refuses a revoked key within the revocation bound of 3 s.
    ASSERT_TRUE(this->putDocument(1, 6, "new"));
    EXPECT_TRUE(waitUntil(3s, [&] {
        for (std::uint32_t i = 0; i < kZoneCount; ++i) {
            const std::string id = "revoked" + std::to_string(++this->probeCount);
            if (this->deployment->sendRequest(i, kReadPath, id, "key", false).status != 401)
                return false;
        }
        return true;
    }));

    // Step 6. Upstreams in the evacuated zone z1 receive no new requests.
    ASSERT_TRUE(waitUntil(kStepTimeout, [&] {
        return this->deployment
                       ->callRegistry(2, "POST", std::string(platform::kBeginEvacuationPath) + "z1")
                       .status
               == 200;
    }));
    // Gives the evacuation time to reach the gateways.
    std::this_thread::sleep_for(300ms);
    const auto requestCountBefore = this->deployment->serviceStats(1).runsByRequestId.size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(
                this->deployment->sendRequest(1, kReadPath, "out" + std::to_string(i), "new", false)
                        .status,
                200);
    EXPECT_EQ(this->deployment->serviceStats(1).runsByRequestId.size(), requestCountBefore);
}

// A gateway that reaches no majority of the registries can't learn which keys were
// revoked, so the gateway must refuse all keys.
TEST_F(CalmDay, GatewayRefusesKeysWithoutRegistryMajority)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    this->registries.erase(this->registries.begin(), this->registries.begin() + 2);
    EXPECT_TRUE(waitUntil(kStepTimeout, [&] {
        const std::string id = "late" + std::to_string(++this->probeCount);
        return this->deployment->sendRequest(0, kReadPath, id, "key", false).status == 503;
    }));
    EXPECT_FALSE(this->gateways[0]->isReady());
}

TEST_F(CalmDay, DrainCompletesInFlightStreams)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    auto stream = std::async(std::launch::async, [this] {
        return this->deployment->sendRequest(0, kStreamPath, "last", "key");
    });
    // The stream of 12 events at intervals of 10 ms is still in flight after 30 ms.
    std::this_thread::sleep_for(30ms);
    EXPECT_TRUE(this->gateways[0]->drain());
    const auto answer = stream.get();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(answer.body, expectedStream(0));
    EXPECT_FALSE(this->gateways[0]->isReady());
}
