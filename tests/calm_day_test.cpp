#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr Seconds kStepTimeout{ 10 };

class CalmDay : public DeploymentTest
{
protected:
    void SetUp() override { this->startAll({}, kZoneCount); }
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
