#include "fuzz.h"
#include "request_limit.h"

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

RequestLimitObservation answer(std::optional<double> limit, Milliseconds sentAt,
                               Milliseconds answeredAt)
{
    return { .requestsPerSecond = limit,
             .requestSentAt = kStart + sentAt,
             .answeredAt = kStart + answeredAt };
}

} // namespace

TEST(RequestLimit, HoldsFromTheFirstAnswerThatNamesItAndFollowsItsValue)
{
    RequestLimit limit;
    EXPECT_FALSE(limit.onAnswer(answer(std::nullopt, 0ms, 10ms)));
    EXPECT_TRUE(limit.onAnswer(answer(2, 0ms, 20ms)));
    EXPECT_FALSE(limit.onAnswer(answer(2, 5ms, 30ms)));
    EXPECT_TRUE(limit.onAnswer(answer(0, 5ms, 40ms)));
    EXPECT_EQ(limit.inForce()->requestsPerSecond, 0);
    EXPECT_FALSE(limit.onAnswer(answer(2, 5ms, 30ms)));
    EXPECT_EQ(limit.inForce()->requestsPerSecond, 0);
}

// Guards against a late answer from before the limit that ends the limit.
TEST(RequestLimit, EndsOnlyWithAnAnswerToALaterRequest)
{
    RequestLimit limit;
    limit.onAnswer(answer(2, 0ms, 20ms));
    EXPECT_FALSE(limit.onAnswer(answer(std::nullopt, 10ms, 200ms)));
    EXPECT_TRUE(limit.inForce().has_value());
    EXPECT_TRUE(limit.onAnswer(answer(std::nullopt, 21ms, 30ms)));
    EXPECT_FALSE(limit.inForce().has_value());
}

// Guards against a late answer from the time of the limit that brings the limit back.
TEST(RequestLimit, DoesNotReturnWithAnAnswerToAnEarlierRequest)
{
    RequestLimit limit;
    limit.onAnswer(answer(2, 0ms, 20ms));
    limit.onAnswer(answer(std::nullopt, 50ms, 60ms));
    EXPECT_FALSE(limit.onAnswer(answer(2, 40ms, 70ms)));
    EXPECT_FALSE(limit.inForce().has_value());
    EXPECT_TRUE(limit.onAnswer(answer(2, 61ms, 70ms)));
    EXPECT_TRUE(limit.inForce().has_value());
}

// Guards against a belief that depends on the order in which gateways hear of answers.
TEST(RequestLimit, FuzzedOrderEndsWithWhatTheUpstreamSaidLast)
{
    fuzz([] {
        RequestLimit limit;
        std::optional<double> named;
        for (int step = 0; step < 40; ++step) {
            const int change = *rc::gen::inRange(0, 8);
            if (change < 4)
                named = change == 3 ? std::nullopt : std::optional<double>(change);
            // Answers of one step overlap, so they may be heard in any order.
            for (int i = 0; i < 4; ++i) {
                const Milliseconds begin = step * 1s;
                limit.onAnswer(answer(named, begin + Milliseconds(*rc::gen::inRange(0, 400)),
                                      begin + Milliseconds(*rc::gen::inRange(500, 900))));
            }
            const auto believed =
                    limit.inForce() ? limit.inForce()->requestsPerSecond : std::nullopt;
            RC_ASSERT(believed == named);
        }
    });
}
