#include "deployment_fixture.h"

#include <regex>

using namespace egret;

namespace {

/// Answers by which a gateway has estimated speeds, by upstream.
std::map<std::string, int> samplesAt(Gateway &gateway)
{
    std::promise<std::string> text;
    asio::post(gateway.context(), [&] { text.set_value(gateway.metricsText()); });
    const std::string metrics = text.get_future().get();
    const std::regex line(R"re(egret_server_speed_samples\{upstream="([^"]*)"\} (\d+))re");
    std::map<std::string, int> samples;
    for (std::sregex_iterator each(metrics.begin(), metrics.end(), line), end; each != end; ++each)
        samples[(*each)[1]] = std::stoi((*each)[2]);
    return samples;
}

} // namespace

class ServerSpeedFleet : public DeploymentTest
{
};

// Guards against gateways that learn only from their own answers: the second gateway gets none.
TEST_F(ServerSpeedFleet, GatewaysLearnThroughTheRegistries)
{
    this->startAll({ .enginesPerZone = 1 }, 2);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    std::map<std::string, int> before = samplesAt(*this->gateways[1]);
    for (int i = 0; i < 40; ++i) {
        const std::string id = "speed-" + std::to_string(i);
        ASSERT_EQ(this->deployment->sendRequest(0, kReadPath, id, "key").status, 200);
    }
    const auto isShared = [&] {
        int learned = 0;
        int shared = 0;
        for (const auto &[upstream, count] : samplesAt(*this->gateways[0]))
            learned += count;
        for (const auto &[upstream, count] : samplesAt(*this->gateways[1]))
            shared += count - before[upstream];
        return learned >= 40 && shared >= 40;
    };
    EXPECT_TRUE(this->waitUntil(10s, isShared));
}
