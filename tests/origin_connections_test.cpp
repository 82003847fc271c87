#include "deployment_fixture.h"

using namespace egret;

namespace {

constexpr std::uint32_t kEnginesPerZone = 14;
/// As many connections as the stagers that fetch pieces from the origin may use: twelve, two each.
constexpr std::size_t kOriginConnections = 24;
/// Twelve stagers ask the origin first, and a few more may when an answer is late.
constexpr std::uint32_t kMaxManifestRequests = 16;
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

class WrongManifest : public DeploymentTest
{
protected:
    void SetUp() override { this->startAll({ .enginesPerZone = 6, .wrongManifests = 2 }, 1); }
};

} // namespace

// Guards against idle connections that keep other stagers from the origin.
TEST_F(OriginConnections, MoreStagersThanOriginConnectionsLoadWithoutDelay)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    EXPECT_TRUE(this->waitForVersion(1, kLoadTimeout));
}

// Guards against every stager drawing the manifest over the origin's thin link at the same moment.
TEST_F(OriginConnections, FewStagersFetchTheManifestFromTheOrigin)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    ASSERT_EQ(this->deployment
                      ->callRegistry(1, "POST", platform::kPutVersionPath,
                                     platform::weightsVersionBody("m", 2))
                      .status,
              200);
    ASSERT_TRUE(this->waitForVersion(2));
    EXPECT_LE(this->deployment->manifestRequests(2), kMaxManifestRequests);
}

// Guards against a manifest that was damaged on its way and passed on to other stagers.
TEST_F(WrongManifest, IsFetchedAgainWhenAPieceNeverMatches)
{
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    EXPECT_TRUE(this->waitForVersion(1));
}
