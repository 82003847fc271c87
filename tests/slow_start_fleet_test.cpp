#include "arrival_peak.h"
#include "clock.h"
#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr double kColdRequestsPerSecond = 6;
/// Largest number of requests that an engine in slow start may get within one second.
constexpr std::size_t kMaxRequestsInASecond = 14;
constexpr std::uint32_t kGatewayCount = 24;

class SlowStartFleet : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .coldRequestsPerSecond = kColdRequestsPerSecond }, kGatewayCount);
        ASSERT_TRUE(this->putDocument(0, 4, "key"));
        ASSERT_TRUE(this->waitForVersion(1));
        ASSERT_TRUE(this->waitUntilReady());
        this->deployment->startSlowStart(60s);
        // Announcements are sent every 200 ms.
        std::this_thread::sleep_for(1s);
        this->loadBegan = bootNow();
    }

    /// Checks the peak of the arrivals since the begin of the load.
    void expectKeepsToRate(const UpstreamStats &stats) const
    {
        std::vector<TimePoint> arrivals = stats.arrivals;
        std::erase_if(arrivals, [this](TimePoint at) { return at < this->loadBegan; });
        EXPECT_LE(peakWithin(1s, arrivals), kMaxRequestsInASecond);
    }

    TimePoint loadBegan;
};

} // namespace

// Guards against a limit per gateway: each gateway alone keeps to it, all together exceed it.
TEST_F(SlowStartFleet, ManyGatewaysTogetherKeepToTheSlowStartRate)
{
    auto answers = this->sendRequests(kStreamPath, 4s);
    for (std::uint32_t engine = 0; engine < this->deployment->engineCount(); ++engine)
        this->expectKeepsToRate(this->deployment->engineStats(engine));
    // The engines are used at their slow-start rate, less a fifth for the requests in between.
    EXPECT_GE(answers[200], 0.8 * 4 * kColdRequestsPerSecond * this->deployment->engineCount());
    answers.erase(200);
    answers.erase(503);
    EXPECT_TRUE(answers.empty());
}

TEST_F(SlowStartFleet, ManyGatewaysKeepToTheSlowStartRateOfPlainServices)
{
    auto answers = this->sendRequests(kActionPath, 4s);
    for (std::uint32_t service = 0; service < kZoneCount; ++service)
        this->expectKeepsToRate(this->deployment->serviceStats(service));
    EXPECT_GE(answers[200], 0.8 * 4 * kColdRequestsPerSecond * kZoneCount);
    answers.erase(200);
    answers.erase(503);
    EXPECT_TRUE(answers.empty());
}

// Guards against processes that forget, on a restart, what was sent within the last second.
TEST_F(SlowStartFleet, RestartedGatewaysAndStagersKeepToTheSlowStartRate)
{
    auto load =
            std::async(std::launch::async, [this] { return this->sendRequests(kStreamPath, 5s); });
    std::string problem;
    for (std::uint32_t i = 0; i < kGatewayCount; i += 2) {
        std::this_thread::sleep_for(150ms);
        this->gateways[i]->stop();
        this->gateways[i] = std::make_unique<Gateway>(this->deployment->gatewaySettings(i),
                                                      platform::gatewayProtocol());
        ASSERT_TRUE(this->gateways[i]->start(problem)) << problem;
        if (i % 8 != 0)
            continue;
        const std::uint32_t engine = i / 8;
        this->stagers[engine]->stop();
        this->stagers[engine] = std::make_unique<Stager>(this->deployment->stagerSettings(engine),
                                                         platform::stagerProtocol());
        ASSERT_TRUE(this->stagers[engine]->start(problem)) << problem;
    }
    auto answers = load.get();
    EXPECT_GT(answers[200], 0);
    for (std::uint32_t engine = 0; engine < this->deployment->engineCount(); ++engine)
        this->expectKeepsToRate(this->deployment->engineStats(engine));
}
