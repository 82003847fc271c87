#include "fuzz.h"
#include "upstream_statements.h"

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

UpstreamStatement answer(Milliseconds sentAt, Milliseconds answeredAt)
{
    return { .requestSentAt = kStart + sentAt, .answeredAt = kStart + answeredAt };
}

UpstreamStatement withWait(Milliseconds wait, Milliseconds answeredAt)
{
    UpstreamStatement statement = answer(answeredAt - 5ms, answeredAt);
    statement.wait = wait;
    return statement;
}

} // namespace

// Guards against an answer that overtook the statement and takes it back.
TEST(UpstreamStatements, LeavingIsFinal)
{
    UpstreamStatements statements;
    UpstreamStatement leaving = answer(0ms, 20ms);
    leaving.isLeaving = true;
    EXPECT_TRUE(statements.onAnswer(leaving));
    EXPECT_FALSE(statements.onAnswer(leaving));
    EXPECT_FALSE(statements.onAnswer(answer(30ms, 40ms)));
    EXPECT_FALSE(statements.takesRequests(kStart + 10min));
}

TEST(UpstreamStatements, LongestWaitHoldsFromItsAnswer)
{
    UpstreamStatements statements;
    EXPECT_FALSE(statements.onAnswer(withWait(3s, 0ms)));
    statements.onAnswer(withWait(1s, 500ms));
    EXPECT_FALSE(statements.takesRequests(kStart + 2999ms));
    EXPECT_TRUE(statements.takesRequests(kStart + 3s));
}

// Guards against a faulty upstream that empties its service for good.
TEST(UpstreamStatements, WaitIsBounded)
{
    UpstreamStatements statements;
    statements.onAnswer(withWait(24h, 0ms));
    EXPECT_FALSE(statements.takesRequests(kStart + 9min));
    EXPECT_TRUE(statements.takesRequests(kStart + 10min));
}

// Guards against a refusal without a limit that ends the limit.
TEST(UpstreamStatements, OnlyARunRequestEndsALimit)
{
    UpstreamStatements statements;
    UpstreamStatement limited = answer(0ms, 20ms);
    limited.requestsPerSecond = 2;
    EXPECT_TRUE(statements.onAnswer(limited));
    EXPECT_FALSE(statements.onAnswer(answer(30ms, 40ms)));
    EXPECT_TRUE(statements.requestLimit());
    UpstreamStatement run = answer(50ms, 60ms);
    run.endsLimit = true;
    EXPECT_TRUE(statements.onAnswer(run));
    EXPECT_FALSE(statements.requestLimit());
}

// Guards against a departure that brings along what its answer says of a limit, out of date here.
TEST(UpstreamStatements, AnOutdatedLimitIsNotToldWithADeparture)
{
    UpstreamStatements statements;
    UpstreamStatement limited = answer(0ms, 50ms);
    limited.requestsPerSecond = 2;
    statements.onAnswer(limited);
    UpstreamStatement late = answer(20ms, 90ms);
    late.endsLimit = true;
    late.isLeaving = true;
    const auto news = statements.onAnswer(late);
    ASSERT_TRUE(news);
    EXPECT_TRUE(news->isLeaving);
    EXPECT_FALSE(news->endsLimit) << "the limit was named after the request was sent";
    EXPECT_TRUE(statements.requestLimit());
}

// Guards against reports that lose or invent a statement on their way to another instance.
TEST(UpstreamStatements, FuzzedAnswersInAnyOrderSayTheSameElsewhere)
{
    fuzz([] {
        UpstreamStatements here;
        UpstreamStatements elsewhere;
        bool hasLeft = false;
        TimePoint waitEnd = TimePoint::min();
        for (int step = 0; step < 40; ++step) {
            const auto sentAt = Milliseconds(*rc::gen::inRange(0, 10000));
            UpstreamStatement each =
                    answer(sentAt, sentAt + Milliseconds(*rc::gen::inRange(1, 900)));
            each.isLeaving = *rc::gen::inRange(0, 30) == 0;
            each.wait = Milliseconds(*rc::gen::inRange(0, 5) == 0 ? *rc::gen::inRange(0, 4000) : 0);
            if (*rc::gen::inRange(0, 4) == 0)
                each.requestsPerSecond = *rc::gen::inRange(0, 9);
            each.endsLimit = *rc::gen::inRange(0, 2) == 0;
            hasLeft = hasLeft || each.isLeaving;
            if (each.wait > 0ms)
                waitEnd = std::max(waitEnd, each.answeredAt + each.wait);
            const TimePoint toldAt = each.answeredAt;
            if (const auto news = here.onAnswer(each))
                elsewhere.onAnswer(statementOf(upstreamReport("u", 1, *news, toldAt), toldAt));
            const TimePoint now = kStart + Milliseconds(*rc::gen::inRange(0, 15000));
            RC_ASSERT(here.takesRequests(now) == (!hasLeft && now >= waitEnd));
            RC_ASSERT(elsewhere.isLeaving() == here.isLeaving());
            RC_ASSERT(elsewhere.requestLimit().has_value() == here.requestLimit().has_value());
            RC_ASSERT(elsewhere.takesRequests(now) == !hasLeft);
        }
        UpstreamStatements late;
        const TimePoint now = kStart + 20s;
        late.onAnswer(statementOf(here.report("u", 1, now), now));
        RC_ASSERT(late.isLeaving() == here.isLeaving());
        RC_ASSERT(late.requestLimit().has_value() == here.requestLimit().has_value());
    });
}
