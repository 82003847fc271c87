#include "crashing_clients.h"
#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint32_t kGatewayCount = 8;
constexpr const char *kCrashingBody = "{\"crash\":1}";
/// The bound counts from this number of crashes.
constexpr std::size_t kCrashesBeforeBound = 3;
/// Time after the third crash within which all gateways must have stopped.
constexpr Seconds kContactTime{ 3 };
/// Arrivals of the request at upstreams that are allowed after that.
constexpr std::size_t kMaxLateArrivals = 3;

/// Clients' requests to a deployment whose upstreams crash on one request, which comes again with
/// the same path, key and body. Sound requests have its path, key and shared segment.
class CrashingRequest : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .enginesPerZone = 2, .prefillTime = 60ms, .crashingBody = kCrashingBody },
                       kGatewayCount);
        ASSERT_TRUE(this->putDocument(0, 4, "key"));
        ASSERT_TRUE(this->waitForVersion(1));
        ASSERT_TRUE(this->waitUntilReady());
    }

    /// Sends a request at a random gateway.
    Deployment::Response send(const std::string &path, const std::string &body,
                              std::mt19937 &random)
    {
        const std::string id = "q" + std::to_string(++this->requestCount);
        const std::vector<std::string> segments =
                path == kStreamPath ? std::vector<std::string>{ "shared", "own" }
                                    : std::vector<std::string>{};
        return this->deployment->sendRequest(random() % kGatewayCount, path, id, "key", true,
                                             segments, body);
    }

    /// Sends the crashing request every 150 ms for `duration`, each time without waiting for the
    /// answer to the one before. Returns the statuses of the answers.
    std::vector<int> sendCrashingRequests(const std::string &path, Milliseconds duration)
    {
        return sendAtInterval(150ms, duration, [this, path](std::uint32_t i) {
            std::mt19937 random(i);
            return this->send(path, kCrashingBody, random).status;
        });
    }

    /// Sends sound requests, some of which come again, from several clients for `duration`;
    /// returns the share that is served.
    double sendSoundRequests(const std::string &path, Milliseconds duration)
    {
        return servedShare(duration, [this, path](std::mt19937 &random) {
            const auto answer = this->send(path, std::to_string(random() % 20), random);
            return answer.status == 200 && answer.isComplete;
        });
    }

    void expectFewReachUpstreams(const std::string &path)
    {
        auto crashing = std::async(std::launch::async,
                                   [&] { return this->sendCrashingRequests(path, 9s); });
        this->sendSoundRequests(path, 5s);
        const double soundShare = this->sendSoundRequests(path, 4s);
        const std::vector<int> statuses = crashing.get();
        const CrashStats stats = this->deployment->crashStats();
        const std::size_t late = lateArrivals(stats, kCrashesBeforeBound, kContactTime);
        this->RecordProperty("crashes", static_cast<int>(stats.crashes.size()));
        this->RecordProperty("late_arrivals", static_cast<int>(late));
        this->RecordProperty("served_percent", static_cast<int>(100 * soundShare));
        EXPECT_GE(stats.crashes.size(), 1U);
        EXPECT_LE(late, kMaxLateArrivals)
                << stats.arrivals.size() << " arrivals, " << stats.crashes.size() << " crashes";
        // Requests of the same caller, path and upstreams are served.
        EXPECT_GE(soundShare, 0.95);
        EXPECT_EQ(statuses.back(), 503);
    }

    std::atomic<int> requestCount{ 0 };
};

} // namespace

// Guards against a request without a prompt that crashes one service after the other.
TEST_F(CrashingRequest, FewReachServicesOnceThreeHaveCrashed)
{
    this->expectFewReachUpstreams(kReadPath);
}

TEST_F(CrashingRequest, FewActionsReachServicesOnceThreeHaveCrashed)
{
    this->expectFewReachUpstreams(kActionPath);
}

TEST_F(CrashingRequest, FewStreamsReachEnginesOnceThreeHaveCrashed)
{
    this->expectFewReachUpstreams(kStreamPath);
}

// Guards against a restart that forgets which request crashes services.
TEST_F(CrashingRequest, RestartedGatewaysAndRegistriesKeepToIt)
{
    this->sendCrashingRequests(kReadPath, 3s);
    std::this_thread::sleep_for(kContactTime);
    const std::size_t arrivalsBefore = this->deployment->crashStats().arrivals.size();
    this->restartRegistriesAndGateways();
    ASSERT_TRUE(this->waitUntilReady());
    this->sendCrashingRequests(kReadPath, 3s);
    EXPECT_LE(this->deployment->crashStats().arrivals.size() - arrivalsBefore, kMaxLateArrivals);
    EXPECT_GE(this->sendSoundRequests(kReadPath, 1s), 0.95);
}
