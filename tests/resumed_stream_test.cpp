#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint64_t kBreakAfter = 4;
constexpr std::uint32_t kEngines = 3;

class ResumedStream : public DeploymentTest, public testing::WithParamInterface<ResumedAnswer>
{
protected:
    /// Number of engines that ran the request.
    int runs(const std::string &id) const
    {
        int count = 0;
        for (std::uint32_t engine = 0; engine < kEngines; ++engine) {
            const auto runsByRequest = this->deployment->engineStats(engine).runsByRequestId;
            count += runsByRequest.contains(id) ? runsByRequest.at(id) : 0;
        }
        return count;
    }
};

} // namespace

// Guards against a broken stream that is continued with something else, or ends as if complete.
TEST_P(ResumedStream, OnlyTheRestOfTheStreamReachesTheClient)
{
    this->startAll({ .enginesPerZone = 1,
                     .breakAfterEvents = kBreakAfter,
                     .resumedAnswer = this->GetParam() },
                   1);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_TRUE(this->waitUntilReady());
    const std::string whole = expectedStream(0);
    Deployment::Response response;
    int requests = 0;
    // A gateway resumes no stream before its retry budget has begun to fill.
    const bool isResumed = waitUntil(kStartTimeout, [&] {
        const std::string id = "q" + std::to_string(++requests);
        response = this->deployment->sendRequest(0, kStreamPath, id, "key", true, {});
        EXPECT_TRUE(whole.starts_with(response.body)) << response.body;
        return this->runs(id) == 2;
    });
    ASSERT_TRUE(isResumed) << requests << " requests";
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.isComplete, this->GetParam() == ResumedAnswer::sound);
    EXPECT_EQ(response.body == whole, this->GetParam() == ResumedAnswer::sound);
    EXPECT_FALSE(response.body.empty());
}

INSTANTIATE_TEST_SUITE_P(Answers, ResumedStream,
                         testing::Values(ResumedAnswer::sound, ResumedAnswer::failure,
                                         ResumedAnswer::otherType, ResumedAnswer::empty,
                                         ResumedAnswer::skipsEvents, ResumedAnswer::containsHead,
                                         ResumedAnswer::plainText));
