#include "upstream_proxy.h"

#include "broken_responses.h"
#include "faulty_server.h"

#include <gmock/gmock.h>

#include <future>

using namespace egret;

namespace {

constexpr Seconds kWaitTimeout{ 5 };
constexpr std::uint64_t kIncarnation = 7;

class MockLink : public Link
{
public:
    MOCK_METHOD(bool, send, (const Message &), (override));
    MOCK_METHOD(void, close, (const std::string &), (override));
    MOCK_METHOD(bool, established, (), (const, override));
    MOCK_METHOD(Hello, peer, (), (const, override));
    MOCK_METHOD(const std::string &, target, (), (const, override));
    MOCK_METHOD(std::size_t, queuedBytes, (), (const, override));
    MOCK_METHOD(Duration, roundTrip, (), (const, override));
};

/// Sends a request through a proxy to an upstream that gives `answer`; returns how it ends.
ServeEnd endOf(const FaultyAnswer &answer)
{
    FaultyServer upstream(answer);
    HttpClient http;
    UpstreamProxy proxy({ .upstream = upstream.endpoint().text(), .slowStart = false }, http);
    proxy.setUpstreamIncarnation(kIncarnation);
    const auto link = std::make_shared<testing::NiceMock<MockLink>>();
    std::promise<ServeEnd> done;
    ON_CALL(*link, send).WillByDefault([&done](const Message &message) {
        if (const auto *end = std::get_if<ServeEnd>(&message))
            done.set_value(*end);
        return true;
    });
    proxy.onFrame(link, { .message = ServeRequest{ .requestId = "r",
                                                   .attempt = 1,
                                                   .method = "POST",
                                                   .path = "/",
                                                   .body = "{}",
                                                   .remaining = kWaitTimeout,
                                                   .upstreamIncarnation = kIncarnation } });
    auto future = done.get_future();
    if (future.wait_for(kWaitTimeout) != std::future_status::ready)
        return { .reason = "no end" };
    EXPECT_EQ(upstream.requestCount(), 1);
    return future.get();
}

} // namespace

// Guards against a broken answer that an entry instance passes on, and against a retry of an action
// that may have run.
TEST(UpstreamProxy, ABrokenAnswerIsNoAnswerAndMayHaveRun)
{
    const std::vector<FaultyAnswer> answers = {
        { .bytes = "HTTP/1.1 200 OK\r\n\r\na part", .pause = 50ms, .end = AnswerEnd::reset },
        { .bytes = "HTTP/1.1 000 OK\r\n" + std::string(kSizedRest) },
        { .bytes = "HTTP/1.1 200 OK\r\nNa me: v\r\n" + std::string(kSizedRest) },
        { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok" },
    };
    for (const FaultyAnswer &answer : answers) {
        const ServeEnd end = endOf(answer);
        EXPECT_EQ(end.outcome, ServeOutcome::broken) << answer.bytes;
        EXPECT_EQ(end.actionStatus, ActionStatus::unknown) << answer.bytes;
        EXPECT_EQ(end.reason, kBrokenAnswer) << answer.bytes;
    }
}

// Guards against losing whole answers together with broken ones.
TEST(UpstreamProxy, AWholeAnswerWithoutALengthIsAnAnswer)
{
    const ServeEnd end = endOf({ .bytes = "HTTP/1.1 200 OK\r\n\r\nok", .readsRequest = true });
    EXPECT_EQ(end.outcome, ServeOutcome::whole) << end.reason;
    EXPECT_EQ(end.total, 2U);
}
