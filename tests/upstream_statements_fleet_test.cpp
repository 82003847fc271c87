#include "clock.h"
#include "deployment_fixture.h"

#include <algorithm>

using namespace egret;

namespace {

constexpr std::uint32_t kGatewayCount = 12;
constexpr int kLeastPerGateway = 12;
/// Time within which no request that was on its way may still arrive.
constexpr Milliseconds kTimeOnTheWay = 500ms;

/// Clients' requests at all gateways, while upstreams say that they leave or ask to wait.
class UpstreamStatementsFleet : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .enginesPerZone = 2 }, kGatewayCount);
        ASSERT_TRUE(this->putDocument(0, 4, "key"));
        ASSERT_TRUE(this->waitForVersion(1));
        ASSERT_TRUE(this->waitUntilReady());
        this->beganAt = bootNow();
    }

    std::size_t arrivals(const UpstreamStats &stats, Milliseconds from, Milliseconds until) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(stats.arrivals, [&](TimePoint at) {
            return at >= this->beganAt + from && at < this->beganAt + until;
        }));
    }

    static void expectAllServed(const std::map<int, int> &answers)
    {
        EXPECT_EQ(answers.size(), 1U);
        EXPECT_TRUE(answers.contains(200));
    }

    /// Checks that all requests but `maxRefused`, for whose retry the budget may not suffice, were
    /// served.
    static void expectServedBut(int maxRefused, std::map<int, int> answers)
    {
        EXPECT_LE(answers[503], maxRefused);
        answers.erase(503);
        expectAllServed(answers);
    }

    TimePoint beganAt;
};

} // namespace

// Guards against gateways that know only of announcements: DRAIN on an engine that left.
TEST_F(UpstreamStatementsFleet, LeavingEngineGetsNoMoreRequests)
{
    this->deployment->setEngineLeaving(0, "1");
    expectAllServed(this->sendRequests(kStreamPath, 4s));
    EXPECT_EQ(this->arrivals(this->deployment->engineStats(0), 1500ms, 1h), 0U);
    EXPECT_GE(this->arrivals(this->deployment->engineStats(0), 0ms, 1500ms), 1U);
}

// Guards against restarted gateways that each ask a leaving engine once more.
TEST_F(UpstreamStatementsFleet, RestartedGatewayLearnsWhoLeaves)
{
    this->deployment->setEngineLeaving(0, "1");
    this->sendRequests(kStreamPath, 1500ms);
    this->gateways[1]->stop();
    this->gateways[1] = std::make_unique<Gateway>(this->deployment->gatewaySettings(1),
                                                  platform::gatewayProtocol());
    std::string problem;
    ASSERT_TRUE(this->gateways[1]->start(problem)) << problem;
    ASSERT_TRUE(this->waitUntilReady());
    expectAllServed(this->sendRequests(kStreamPath, 1500ms));
    EXPECT_EQ(this->arrivals(this->deployment->engineStats(0), 1500ms, 1h), 0U);
}

TEST_F(UpstreamStatementsFleet, OtherValuesDoNotMeanLeaving)
{
    for (const std::string value : { "0", "", "-1", "no", "1 day" }) {
        this->deployment->setEngineLeaving(0, value);
        const std::size_t before = this->deployment->engineStats(0).arrivals.size();
        // On a loaded machine a second is too short for enough requests to each engine.
        expectAllServed(this->sendRequests(kStreamPath, 1s, kLeastPerGateway));
        // An even share is a sixth of the requests, drawn at random.
        EXPECT_GE(this->deployment->engineStats(0).arrivals.size(),
                  before + kGatewayCount * kLeastPerGateway / 16)
                << value;
    }
}

// Guards against retries, and requests of other clients, that reach an engine that asked to wait.
TEST_F(UpstreamStatementsFleet, EngineThatAsksToWaitIsLeftAlone)
{
    this->deployment->setEngineRefusal(0, "2.5");
    expectServedBut(kGatewayCount, this->sendRequests(kStreamPath, 2400ms));
    const auto stats = this->deployment->engineStats(0);
    // Each gateway learns it from an answer of its own.
    EXPECT_GE(this->arrivals(stats, 0ms, 2400ms), 1U);
    EXPECT_LE(this->arrivals(stats, 0ms, 2400ms), kGatewayCount);
    this->deployment->setEngineRefusal(0, "");
    std::this_thread::sleep_for(3s);
    const std::size_t before = this->deployment->engineStats(0).arrivals.size();
    expectAllServed(this->sendRequests(kStreamPath, 1s, kLeastPerGateway));
    EXPECT_GE(this->deployment->engineStats(0).arrivals.size(),
              before + kGatewayCount * kLeastPerGateway / 16)
            << "it is used again";
}

// Guards against requests that wait for their deadline, and against retries, when all ask to wait.
TEST_F(UpstreamStatementsFleet, RequestsAreRefusedAtOnceWhileTheWholeServiceAsksToWait)
{
    for (std::uint32_t service = 0; service < kZoneCount; ++service)
        this->deployment->setServiceRefusal(service, "3");
    this->sendRequests(kReadPath, 1s);
    const TimePoint askedAt = bootNow();
    const auto answer = this->deployment->sendRequest(0, kReadPath, "late", "key");
    EXPECT_EQ(answer.status, 503);
    EXPECT_LT(bootNow() - askedAt, 200ms);
    EXPECT_GT(std::stod(headerValue(answer.headers, "Retry-After")), 0.5);
    EXPECT_LE(std::stod(headerValue(answer.headers, "Retry-After")), 3.5);
    for (std::uint32_t service = 0; service < kZoneCount; ++service)
        EXPECT_LE(this->deployment->serviceStats(service).arrivals.size(),
                  std::size_t{ 2 } * kGatewayCount);
}

TEST_F(UpstreamStatementsFleet, TimesThatCannotBeReadAskForNoWait)
{
    for (const std::string value :
         { "0", "-5", "inf", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT", "soon" }) {
        this->deployment->setEngineRefusal(0, value);
        const std::size_t before = this->deployment->engineStats(0).arrivals.size();
        const auto answers = this->sendRequests(kStreamPath, 1s, kLeastPerGateway);
        const auto refused = this->deployment->engineStats(0).arrivals.size() - before;
        EXPECT_GE(refused, kGatewayCount * kLeastPerGateway / 16) << value;
        expectServedBut(static_cast<int>(refused), answers);
    }
}
