#include "clock.h"
#include "deployment_fixture.h"

#include <algorithm>

using namespace egret;

namespace {

constexpr double kColdRequestsPerSecond = 6;
/// Largest number of requests that an engine in slow start may get within one second.
constexpr std::size_t kMaxRequestsInASecond = 14;
constexpr std::uint32_t kGatewayCount = 24;

/// Largest number of arrivals within any second.
std::size_t peakPerSecond(const std::vector<TimePoint> &arrivals)
{
    std::size_t peak = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + 1s);
        peak = std::max(peak, static_cast<std::size_t>(end - first));
    }
    return peak;
}

class SlowStartFleet : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll({ .coldRequestsPerSecond = kColdRequestsPerSecond }, kGatewayCount);
    }

    /// Sends streams to every gateway for `duration` from one client per gateway, which pauses
    /// `pause` between two requests. Returns the number of complete answers.
    int sendStreams(Milliseconds duration, Milliseconds pause)
    {
        const TimePoint end = std::chrono::steady_clock::now() + duration;
        std::vector<std::future<int>> clients;
        for (std::uint32_t gateway = 0; gateway < kGatewayCount; ++gateway) {
            clients.push_back(std::async(std::launch::async, [this, gateway, end, pause] {
                int completeCount = 0;
                for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                    const std::string id = std::to_string(gateway) + "-" + std::to_string(i);
                    const auto answer =
                            this->deployment->sendRequest(gateway, kStreamPath, id, "key");
                    completeCount += answer.status == 200 && answer.isComplete ? 1 : 0;
                    EXPECT_TRUE(answer.status == 200 || answer.status == 503) << answer.status;
                    std::this_thread::sleep_for(pause);
                }
                return completeCount;
            }));
        }
        int completeCount = 0;
        for (auto &client : clients)
            completeCount += client.get();
        return completeCount;
    }
};

} // namespace

// Guards against a limit per gateway: each gateway alone keeps to it, all together exceed it.
TEST_F(SlowStartFleet, ManyGatewaysTogetherKeepToTheSlowStartRate)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    for (std::uint32_t engine = 0; engine < this->deployment->engineCount(); ++engine)
        this->deployment->startSlowStart(engine, 20s);
    // Announcements are sent every 200 ms.
    std::this_thread::sleep_for(1s);
    const TimePoint loadBegan = bootNow();
    const int completeCount = this->sendStreams(4s, 100ms);
    for (std::uint32_t engine = 0; engine < this->deployment->engineCount(); ++engine) {
        std::vector<TimePoint> arrivals = this->deployment->engineStats(engine).arrivals;
        std::erase_if(arrivals, [loadBegan](TimePoint at) { return at < loadBegan; });
        EXPECT_LE(peakPerSecond(arrivals), kMaxRequestsInASecond) << "engine " << engine;
    }
    // The engines are used at their slow-start rate, less a fifth for the requests in between.
    EXPECT_GE(completeCount, 0.8 * 4 * kColdRequestsPerSecond * this->deployment->engineCount());
}
