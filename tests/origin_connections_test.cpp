#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint32_t kEnginesPerZone = 14;
/// As many connections as the stagers that fetch pieces from the origin may use: twelve, two each.
constexpr std::size_t kOriginConnections = 24;
/// Shorter than the 4 s for which an idle connection is kept for reuse.
constexpr Seconds kLoadTimeout{ 3 };

class OriginConnections : public DeploymentTest
{
protected:
    void SetUp() override
    {
        this->startAll(
                { .enginesPerZone = kEnginesPerZone, .originConnections = kOriginConnections }, 1);
    }
};

} // namespace

// Guards against idle connections that keep other stagers from the origin.
TEST_F(OriginConnections, MoreStagersThanOriginConnectionsLoadWithoutDelay)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    EXPECT_TRUE(this->waitForVersion(1, kLoadTimeout));
}
