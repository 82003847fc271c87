#include "clock.h"
#include "deployment_fixture.h"

using namespace egret;

namespace {

class EndlessAnswers : public DeploymentTest
{
protected:
    static constexpr std::uint32_t kEndlessAnswers = 3;
    static constexpr std::uint32_t kGatewayCount = 1;
    /// Time within which all requests must be answered: half of the client's timeout.
    static constexpr Milliseconds kAnswerTime{ 4000 };
};

} // namespace

// Guards against a gateway that stands still, or runs out of memory, on an event without end.
TEST_F(EndlessAnswers, RequestsAreServedByOtherEngines)
{
    this->startAll({ .enginesPerZone = 3, .endlessAnswers = kEndlessAnswers }, kGatewayCount);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    const TimePoint sentAt = bootNow();
    std::vector<std::future<Deployment::Response>> answers;
    answers.reserve(kEndlessAnswers);
    for (std::uint32_t i = 0; i < kEndlessAnswers; ++i) {
        answers.push_back(std::async(std::launch::async, [this, i] {
            return this->deployment->sendRequest(0, kStreamPath, "q" + std::to_string(i), "key",
                                                 true, {});
        }));
    }
    for (auto &answer : answers) {
        const auto response = answer.get();
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.isComplete);
    }
    EXPECT_LT(bootNow() - sentAt, kAnswerTime);
}
