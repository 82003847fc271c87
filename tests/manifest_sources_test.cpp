#include "manifest_sources.h"

#include <gtest/gtest.h>

#include <map>

using namespace egret;

namespace {

std::vector<PeerRecord> fleet(int zoneCount, int stagersPerZone)
{
    std::vector<PeerRecord> stagers;
    for (int zone = 0; zone < zoneCount; ++zone) {
        for (int i = 0; i < stagersPerZone; ++i)
            stagers.push_back({ .endpoint = "10." + std::to_string(zone) + ".0." + std::to_string(i)
                                            + ":7000",
                                .zone = "z" + std::to_string(zone) });
    }
    return stagers;
}

} // namespace

TEST(ManifestSources, AtMostTwelveStagersAskTheOriginFirst)
{
    for (const int stagersPerZone : { 1, 4, 33, 400 }) {
        const auto stagers = fleet(3, stagersPerZone);
        std::map<std::string, int> asked;
        int originCount = 0;
        for (const PeerRecord &self : stagers) {
            ManifestSources sources;
            const auto source = sources.next(stagers, self);
            originCount += source ? 0 : 1;
            if (source)
                ++asked[*source];
        }
        EXPECT_LE(originCount, 12);
        EXPECT_GE(originCount, 3);
        // Those that ask the origin share the requests of the others.
        for (const auto &[endpoint, count] : asked)
            EXPECT_LE(count, (stagersPerZone + 3) / 4) << endpoint;
    }
}

TEST(ManifestSources, EveryStagerAsksOthersOfItsZoneAndInTheEndTheOrigin)
{
    const auto stagers = fleet(4, 25);
    for (const PeerRecord &self : stagers) {
        ManifestSources sources;
        bool hasAskedOrigin = false;
        for (int attempt = 0; attempt < 4; ++attempt) {
            const auto source = sources.next(stagers, self);
            hasAskedOrigin = hasAskedOrigin || !source;
            if (source) {
                EXPECT_NE(*source, self.endpoint);
                EXPECT_EQ(source->substr(0, 5), self.endpoint.substr(0, 5));
            }
        }
        EXPECT_TRUE(hasAskedOrigin);
    }
}

TEST(ManifestSources, StagerThatKnowsNoOtherAsksTheOrigin)
{
    ManifestSources sources;
    EXPECT_FALSE(sources.next({}, { .endpoint = "10.0.0.1:7000", .zone = "z0" }));
}

TEST(ManifestSources, RejectedManifestIsFetchedFromTheOriginOnly)
{
    const auto stagers = fleet(1, 40);
    ManifestSources sources;
    EXPECT_TRUE(sources.next(stagers, stagers.back()));
    sources.reset(true);
    EXPECT_FALSE(sources.next(stagers, stagers.back()));
    EXPECT_FALSE(sources.next(stagers, stagers.back()));
}
