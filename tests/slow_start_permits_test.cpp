#include "arrival_peak.h"
#include "fuzz.h"
#include "slow_start_permits.h"

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
/// Age of an issuer from which it grants permits although an earlier issuer may have.
constexpr Milliseconds kTakeoverTime = 1150ms;

} // namespace

class SlowStartPermitsAtAnyGatewayCount : public testing::TestWithParam<int>
{
};

INSTANTIATE_TEST_SUITE_P(Gateways, SlowStartPermitsAtAnyGatewayCount,
                         testing::Values(1, 8, 41, 300, 2000));

// Guards against a limit that holds per gateway: each of many gateways asks once a second.
TEST_P(SlowStartPermitsAtAnyGatewayCount, KeepToTheRateAndUseIt)
{
    constexpr double rate = 14;
    SlowStartPermits permits(kStart - kTakeoverTime);
    std::vector<TimePoint> grants;
    for (Milliseconds elapsed = 0ms; elapsed < 10s; elapsed += 1s) {
        for (int gateway = 0; gateway < GetParam(); ++gateway) {
            for (int attempt = 0; attempt < 20; ++attempt) {
                const TimePoint now = kStart + elapsed + attempt * 50ms;
                if (permits.request(rate, now).isGranted)
                    grants.push_back(now);
            }
        }
    }
    EXPECT_LE(peakWithin(1s, grants), 1.5 * rate + 5);
    EXPECT_GE(grants.size(), 10 * rate);
}

TEST(SlowStartPermits, RefusalNamesTheTimeOfTheNextPermit)
{
    SlowStartPermits permits(kStart - kTakeoverTime);
    while (permits.request(6, kStart).isGranted) {
    }
    const PermitDecision refusal = permits.request(6, kStart + 300ms);
    EXPECT_FALSE(refusal.isGranted);
    EXPECT_FALSE(permits.request(6, kStart + 300ms + refusal.retryAfter - 1ms).isGranted);
    EXPECT_TRUE(permits.request(6, kStart + 300ms + refusal.retryAfter).isGranted);
}

TEST(SlowStartPermits, RateBelowOneIsKeptToOverLongerSpans)
{
    SlowStartPermits permits(kStart - kTakeoverTime);
    int granted = 0;
    for (Milliseconds elapsed = 0ms; elapsed < 20s; elapsed += 10ms)
        granted += permits.request(0.5, kStart + elapsed).isGranted ? 1 : 0;
    EXPECT_EQ(granted, 10);
}

TEST(SlowStartPermits, RestartedIssuerWaitsForThePermitsOfTheFormerUnlessTheUpstreamRanNothing)
{
    SlowStartPermits permits(kStart);
    const PermitDecision early = permits.request(14, kStart + 10ms);
    EXPECT_FALSE(early.isGranted);
    EXPECT_EQ(early.retryAfter, kTakeoverTime - 10ms);
    EXPECT_TRUE(permits.request(14, kStart + kTakeoverTime).isGranted);

    SlowStartPermits ofUnusedEngine(kStart);
    ofUnusedEngine.onUpstreamUnused(kStart + 100ms);
    EXPECT_TRUE(ofUnusedEngine.request(14, kStart + 100ms).isGranted);
}

/// Gateways come, go and restart, links delay and lose messages, and the issuer restarts: the
/// permits used within any second keep to the rate.
TEST(SlowStartPermits, FuzzedFleetNeverExceedsTheRate)
{
    fuzz([] {
        const auto rate = static_cast<double>(*rc::gen::inRange(1, 40));
        SlowStartPermits permits(kStart - kTakeoverTime);
        std::vector<TimePoint> uses;
        TimePoint now = kStart;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1000)));
        for (const auto &[kind, amount] : steps) {
            if (kind < 2) {
                permits = SlowStartPermits(now);
                continue;
            }
            // A burst of requests from up to a thousand gateways at one moment; each permit is used
            // after the delay of its link, or not at all when it comes too late.
            const Milliseconds linkDelay(amount % 200);
            for (int request = 0; request < amount; ++request) {
                if (permits.request(rate, now).isGranted && linkDelay < kPermitLifetime)
                    uses.push_back(now + linkDelay);
            }
            now += Milliseconds(kind * 5);
        }
        RC_ASSERT(static_cast<double>(peakWithin(1s, uses)) <= rate * 1.5 + 5);
    });
}

// Guards against gateways that know no limit yet and make the issuer forget permits that still
// count.
TEST(SlowStartPermits, PermitsOfAShortWindowCountInALongerOne)
{
    SlowStartPermits permits(kStart - kTakeoverTime);
    EXPECT_TRUE(permits.request(0.5, kStart).isGranted);
    EXPECT_TRUE(permits.request(14, kStart + 1200ms).isGranted);
    const PermitDecision refusal = permits.request(0.5, kStart + 1300ms);
    EXPECT_FALSE(refusal.isGranted);
    EXPECT_EQ(refusal.retryAfter, 1900ms);
    EXPECT_TRUE(permits.request(0.5, kStart + 3200ms).isGranted);
}

TEST(SlowStartPermits, HugeRateIsGranted)
{
    SlowStartPermits permits(kStart - kTakeoverTime);
    EXPECT_TRUE(permits.request(1e300, kStart).isGranted);
}

// Guards against low rates of which a part is lost because a window holds no whole number of
// permits.
TEST(SlowStartPermits, WholeRateIsUsed)
{
    for (const double rate : { 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 7.5, 36.0 }) {
        SlowStartPermits permits(kStart - kTakeoverTime);
        constexpr Seconds duration{ 40 };
        std::vector<TimePoint> grants;
        for (TimePoint now = kStart; now < kStart + duration; now += 5ms) {
            if (permits.request(rate, now).isGranted)
                grants.push_back(now);
        }
        EXPECT_GE(grants.size(), 0.95 * rate * static_cast<double>(duration.count())) << rate;
        EXPECT_LE(peakWithin(1s, grants), 1.5 * rate + 5) << rate;
        EXPECT_LE(peakWithin(4s, grants), 4 * 1.5 * rate + 5) << rate;
    }
}
