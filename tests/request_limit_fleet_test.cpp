#include "arrival_peak.h"
#include "clock.h"
#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint32_t kGatewayCount = 16;
/// Time after which every gateway keeps to a limit that an upstream has named.
constexpr Seconds kContactTime{ 3 };
constexpr Seconds kLimitWindow{ 4 };
constexpr double kRequestsPerSecond = 2;
/// Requests within `kLimitWindow` that an upstream with the limit may get.
constexpr std::size_t kMaxRequestsInWindow = 17;

/// Clients' requests at all gateways, while one engine and one service limit their requests.
class RequestLimitFleet : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .enginesPerZone = 2 }, kGatewayCount);
        ASSERT_TRUE(this->putDocument(0, 4, "key"));
        ASSERT_TRUE(this->waitForVersion(1));
        ASSERT_TRUE(this->waitUntilReady());
    }

    void setLimits(const std::vector<std::string> &values)
    {
        this->deployment->setEngineRequestLimit(0, values);
        this->deployment->setServiceRequestLimit(0, values);
        this->limitedAt = bootNow();
    }

    std::vector<TimePoint> arrivalsSince(const UpstreamStats &stats, Milliseconds sinceLimit) const
    {
        std::vector<TimePoint> arrivals = stats.arrivals;
        std::erase_if(arrivals, [&](TimePoint at) { return at < this->limitedAt + sinceLimit; });
        return arrivals;
    }

    /// Checks that the limited upstream gets as many requests as it takes, and not more.
    void expectKeepsToLimit(const UpstreamStats &stats) const
    {
        const auto arrivals = this->arrivalsSince(stats, kContactTime);
        EXPECT_LE(peakWithin(kLimitWindow, arrivals), kMaxRequestsInWindow);
        EXPECT_GE(arrivals.size(), 2U);
    }

    /// Checks that all requests were answered and at least 95 of 100 served.
    static void expectServed(std::map<int, int> answers)
    {
        const int served = answers[200];
        const int refused = answers[503];
        EXPECT_GE(served, 0.95 * (served + refused));
        answers.erase(200);
        answers.erase(503);
        EXPECT_TRUE(answers.empty());
    }

    TimePoint limitedAt;
};

} // namespace

// Guards against gateways that each send as many requests as the engine takes from all of them.
TEST_F(RequestLimitFleet, ManyGatewaysTogetherKeepToTheLimitOfAnEngine)
{
    this->setLimits({ "2" });
    expectServed(this->sendRequests(kStreamPath, 9s));
    this->expectKeepsToLimit(this->deployment->engineStats(0));
}

TEST_F(RequestLimitFleet, ManyGatewaysTogetherKeepToTheLimitOfAService)
{
    this->setLimits({ "2" });
    expectServed(this->sendRequests(kReadPath, 9s));
    this->expectKeepsToLimit(this->deployment->serviceStats(0));
}

// Guards against requests that are lost to asking limited engines while the others have room.
TEST_F(RequestLimitFleet, OtherEnginesTakeTheRestWhenHalfAreLimited)
{
    this->setLimits({ "1" });
    this->deployment->setEngineRequestLimit(1, { "1" });
    this->deployment->setEngineRequestLimit(2, { "1" });
    expectServed(this->sendRequests(kStreamPath, 6s));
}

// Guards against processes that forget a limit on a restart and allow the rate once more.
TEST_F(RequestLimitFleet, RestartedGatewaysAndStagersKeepToTheLimit)
{
    this->setLimits({ "2" });
    auto load =
            std::async(std::launch::async, [this] { return this->sendRequests(kStreamPath, 9s); });
    std::this_thread::sleep_for(kContactTime);
    std::string problem;
    for (std::uint32_t i = 0; i < kGatewayCount; i += 2) {
        std::this_thread::sleep_for(250ms);
        this->gateways[i]->stop();
        this->gateways[i] = std::make_unique<Gateway>(this->deployment->gatewaySettings(i),
                                                      platform::gatewayProtocol());
        ASSERT_TRUE(this->gateways[i]->start(problem)) << problem;
        if (i != kGatewayCount / 2)
            continue;
        this->stagers[0]->stop();
        this->stagers[0] = std::make_unique<Stager>(this->deployment->stagerSettings(0),
                                                    platform::stagerProtocol());
        ASSERT_TRUE(this->stagers[0]->start(problem)) << problem;
    }
    EXPECT_GT(load.get()[200], 0);
    this->expectKeepsToLimit(this->deployment->engineStats(0));
}

// Guards against a limit that stays because an upstream without requests can't end it.
TEST_F(RequestLimitFleet, EndedLimitIsForgotten)
{
    for (const std::string limit : { "0.5", "0" }) {
        this->setLimits({ limit });
        expectServed(this->sendRequests(kStreamPath, 2s));
        this->setLimits({});
        constexpr Seconds relearnTime{ 6 };
        expectServed(this->sendRequests(kStreamPath, relearnTime + 2s));
        std::size_t arrivals = 0;
        for (std::uint32_t engine = 0; engine < this->deployment->engineCount(); ++engine)
            arrivals +=
                    this->arrivalsSince(this->deployment->engineStats(engine), relearnTime).size();
        const std::size_t atLimited =
                this->arrivalsSince(this->deployment->engineStats(0), relearnTime).size();
        this->RecordProperty("arrivals_after_" + limit, static_cast<int>(arrivals));
        this->RecordProperty("at_limited_after_" + limit, static_cast<int>(atLimited));
        // Half of an equal share: the clients' rate depends on how fast the machine is.
        EXPECT_GE(2 * atLimited * this->deployment->engineCount(), arrivals)
                << atLimited << " of " << arrivals;
        EXPECT_GE(atLimited, 2 * kRequestsPerSecond) << "more than the limit lets through";
    }
}

// Guards against limits that can't be read but keep requests from an engine.
TEST_F(RequestLimitFleet, UnreadableLimitsDoNoHarm)
{
    for (const std::string limit : { "NaN", "-1", "inf", "1e999", "2 a second", "" }) {
        this->setLimits({ limit });
        // On a loaded machine a second is too short for enough requests to each engine.
        constexpr int leastPerGateway = 10;
        expectServed(this->sendRequests(kStreamPath, 1s, leastPerGateway));
        // An even share is a sixth of the requests, drawn at random.
        EXPECT_GE(this->arrivalsSince(this->deployment->engineStats(0), 0ms).size(),
                  kGatewayCount * leastPerGateway / 16)
                << limit;
    }
}
