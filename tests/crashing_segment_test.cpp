#include "crashing_clients.h"
#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint32_t kGatewayCount = 8;
constexpr const char *kBadSegment = "bad0";
/// The bound counts from this number of crashes.
constexpr std::size_t kCrashesBeforeBound = 5;
/// Time after the fifth crash within which all gateways must have stopped.
constexpr Seconds kContactTime{ 3 };
/// Requests with the segment that may reach engines after that.
constexpr std::size_t kMaxLateArrivals = 3;

/// Clients' requests to a deployment whose engines crash on one prompt segment. All requests share
/// the key and the first segment.
class CrashingSegment : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .enginesPerZone = 2, .prefillTime = 60ms, .crashingSegment = kBadSegment },
                       kGatewayCount);
        ASSERT_TRUE(this->putDocument(0, 4, "key"));
        ASSERT_TRUE(this->waitForVersion(1));
        ASSERT_TRUE(this->waitUntilReady());
    }

    /// Sends a request at a random gateway; true when the answer is a whole stream.
    bool send(std::mt19937 &random, const std::vector<std::string> &middleSegments)
    {
        const std::string id = "q" + std::to_string(++this->requestCount);
        std::vector<std::string> segments = { "shared" };
        segments.insert(segments.end(), middleSegments.begin(), middleSegments.end());
        segments.push_back("own" + id);
        const auto answer = this->deployment->sendRequest(random() % kGatewayCount, kStreamPath, id,
                                                          "key", true, segments);
        return answer.status == 200 && answer.isComplete;
    }

    /// Sends requests with the crashing segment every 100 ms for `duration`, each without waiting
    /// for the answer to the one before.
    void sendCrashingRequests(Milliseconds duration)
    {
        sendAtInterval(100ms, duration, [this](std::uint32_t i) {
            std::mt19937 random(i);
            return this->send(random, { "topic" + std::to_string(i % 3), kBadSegment });
        });
    }

    /// Sends sound requests from several clients for `duration`; returns the share that is served.
    double sendSoundRequests(Milliseconds duration)
    {
        return servedShare(duration, [this](std::mt19937 &random) {
            const std::string topic = "topic" + std::to_string(random() % 5);
            return this->send(random, { topic });
        });
    }

    std::atomic<int> requestCount{ 0 };
};

} // namespace

// Guards against gateways that each see too few crashes to tell what the requests had in common.
TEST_F(CrashingSegment, FewRequestsReachEnginesOnceFiveHaveCrashed)
{
    auto crashing = std::async(std::launch::async, [this] { this->sendCrashingRequests(9s); });
    this->sendSoundRequests(5s);
    const double soundShare = this->sendSoundRequests(4s);
    crashing.get();
    const CrashStats stats = this->deployment->crashStats();
    const std::size_t late = lateArrivals(stats, kCrashesBeforeBound, kContactTime);
    this->RecordProperty("crashes", static_cast<int>(stats.crashes.size()));
    this->RecordProperty("late_arrivals", static_cast<int>(late));
    this->RecordProperty("served_percent", static_cast<int>(100 * soundShare));
    EXPECT_GE(stats.crashes.size(), 1U);
    EXPECT_LE(late, kMaxLateArrivals)
            << stats.arrivals.size() << " arrivals, " << stats.crashes.size() << " crashes";
    // Requests with the same key, first segment and topics are served.
    EXPECT_GE(soundShare, 0.95);
}

// Guards against a restart that forgets which segment crashes engines.
TEST_F(CrashingSegment, RestartedGatewaysAndRegistriesKeepToIt)
{
    this->sendCrashingRequests(3s);
    std::this_thread::sleep_for(kContactTime);
    const std::size_t arrivalsBefore = this->deployment->crashStats().arrivals.size();
    this->restartRegistriesAndGateways();
    ASSERT_TRUE(this->waitUntilReady());
    this->sendCrashingRequests(3s);
    EXPECT_LE(this->deployment->crashStats().arrivals.size() - arrivalsBefore, kMaxLateArrivals);
    EXPECT_GE(this->sendSoundRequests(1s), 0.95);
}
