#include "request_cost.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

using namespace egret;

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

/// Finishes responses whose length is log-normal around the hint; `sigma` sets the tail.
void finishResponses(OutputLengths &lengths, const std::string &route, double sigma, int count,
                     std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> exponent(0, sigma);
    std::uniform_real_distribution<double> hint(20, 400);
    for (int i = 0; i < count; ++i) {
        const double hinted = hint(random);
        lengths.onFinished(route, hinted, hinted * std::exp(exponent(random)));
    }
}

} // namespace

// Guards against counting the median where the engine has to do the mean.
TEST(OutputLengths, HintsWithHeavyTailsConvergeToTheMean)
{
    for (const double sigma : { 0.0, 0.6, 0.9 }) {
        const double meanRatio = std::exp(sigma * sigma / 2);
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            OutputLengths lengths;
            lengths.setRoutes({ "check" });
            finishResponses(lengths, "check", sigma, 600, seed);
            EXPECT_NEAR(lengths.expected("check", 100, {}), 100 * meanRatio, 25 * meanRatio)
                    << sigma << " seed " << seed;
        }
    }
}

// Guards against routes that disturb each other, and against a change of the mix that is never
// learned.
TEST(OutputLengths, RoutesAreLearnedApartAndFollowAChange)
{
    OutputLengths lengths;
    lengths.setRoutes({ "check", "digest" });
    const double start = lengths.expected("digest", 100, {});
    for (int i = 0; i < 1000; ++i)
        lengths.onFinished("check", 100, 300);
    EXPECT_NEAR(lengths.expected("check", 100, {}), 300, 10);
    EXPECT_NEAR(lengths.expected("check", {}, {}), 300, 10);
    EXPECT_EQ(lengths.expected("digest", 100, {}), start);
    for (int i = 0; i < 1000; ++i)
        lengths.onFinished("check", 100, 50);
    EXPECT_NEAR(lengths.expected("check", 100, {}), 50, 10);
}

// Guards against a client that spoils the estimate of a route by a few absurd numbers.
TEST(OutputLengths, NonsenseAndOutliersAreBounded)
{
    OutputLengths lengths;
    lengths.setRoutes({ "check" });
    const double start = lengths.expected("check", 100, {});
    EXPECT_GE(start, 100);
    EXPECT_LE(start, 200);
    for (const double tokens : { kInfinity, -kInfinity, kNan, -1.0 })
        lengths.onFinished("check", 100, tokens);
    EXPECT_EQ(lengths.expected("check", 100, {}), start);
    for (const double hint : { 0.0, -5.0, kInfinity, kNan })
        EXPECT_EQ(lengths.expected("check", hint, {}), lengths.expected("check", {}, {})) << hint;
    lengths.onFinished("check", 1e-300, 1e300);
    EXPECT_LE(lengths.expected("check", 100, {}), 2 * start);
    EXPECT_LE(lengths.expected("check", {}, {}), 200);
    EXPECT_TRUE(std::isfinite(lengths.expected("check", 1e308, {})));
}

TEST(OutputLengths, MaximumOfTheClientBoundsTheExpectation)
{
    OutputLengths lengths;
    lengths.setRoutes({ "check" });
    EXPECT_EQ(lengths.expected("check", 100, 60), 60);
    EXPECT_EQ(lengths.expected("check", {}, 10), 10);
    for (const double limit : { 0.0, -1.0, kNan })
        EXPECT_EQ(lengths.expected("check", 100, limit), lengths.expected("check", 100, {}));
}

// Guards against memory that grows with documents whose routes change their names.
TEST(OutputLengths, RoutesThatVanishFromTheDocumentAreForgotten)
{
    OutputLengths lengths;
    lengths.setRoutes({ "check" });
    const double start = lengths.expected("check", 100, {});
    for (int i = 0; i < 100; ++i)
        lengths.onFinished("check", 100, 300);
    lengths.setRoutes({ "check", "digest" });
    EXPECT_GT(lengths.expected("check", 100, {}), 2 * start) << "a new document keeps the rest";
    lengths.setRoutes({ "digest" });
    lengths.onFinished("check", 100, 300);
    EXPECT_EQ(lengths.expected("check", 100, {}), start);
    EXPECT_EQ(lengths.hintRatio("check").responses, 0);
}
