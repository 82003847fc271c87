#include "clock.h"
#include "deployment_fixture.h"

#include <algorithm>
#include <atomic>
#include <random>

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
        std::vector<std::future<void>> requests;
        const TimePoint end = bootNow() + duration;
        for (std::uint32_t i = 0; bootNow() < end; ++i) {
            requests.push_back(std::async(std::launch::async, [this, i] {
                std::mt19937 random(i);
                this->send(random, { "topic" + std::to_string(i % 3), kBadSegment });
            }));
            std::this_thread::sleep_for(100ms);
        }
    }

    /// Sends sound requests from several clients for `duration`; returns the share that is served.
    double sendSoundRequests(Milliseconds duration)
    {
        constexpr int clientCount = 8;
        std::atomic<int> sent{ 0 };
        std::atomic<int> served{ 0 };
        std::vector<std::future<void>> clients;
        clients.reserve(clientCount);
        const TimePoint end = bootNow() + duration;
        for (int client = 0; client < clientCount; ++client) {
            clients.push_back(std::async(std::launch::async, [&, client] {
                std::mt19937 random(100 + client);
                while (bootNow() < end) {
                    ++sent;
                    const std::string topic = "topic" + std::to_string(random() % 5);
                    served += this->send(random, { topic }) ? 1 : 0;
                    std::this_thread::sleep_for(50ms);
                }
            }));
        }
        for (auto &client : clients)
            client.get();
        return static_cast<double>(served) / sent;
    }

    /// Number of requests with the segment that reached engines later than `kContactTime` after
    /// the fifth crash.
    static std::size_t lateArrivals(const CrashStats &stats)
    {
        if (stats.crashes.size() < kCrashesBeforeBound)
            return 0;
        const TimePoint from = stats.crashes[kCrashesBeforeBound - 1] + kContactTime;
        return static_cast<std::size_t>(
                std::ranges::count_if(stats.arrivals, [from](TimePoint at) { return at > from; }));
    }

    std::atomic<int> requestCount{ 0 };
};

} // namespace

// Guards against gateways that each see too few crashes to tell what the requests had in common.
TEST_F(CrashingSegment, FewRequestsReachEnginesOnceFiveHaveCrashed)
{
    auto crashing = std::async(std::launch::async, [this] { this->sendCrashingRequests(9s); });
    this->sendSoundRequests(5s);
    const double servedShare = this->sendSoundRequests(4s);
    crashing.get();
    const CrashStats stats = this->deployment->crashStats();
    this->RecordProperty("crashes", static_cast<int>(stats.crashes.size()));
    this->RecordProperty("late_arrivals", static_cast<int>(lateArrivals(stats)));
    this->RecordProperty("served_percent", static_cast<int>(100 * servedShare));
    EXPECT_GE(stats.crashes.size(), 1U);
    EXPECT_LE(lateArrivals(stats), kMaxLateArrivals)
            << stats.arrivals.size() << " arrivals, " << stats.crashes.size() << " crashes";
    // Requests with the same key, first segment and topics are served.
    EXPECT_GE(servedShare, 0.95);
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
