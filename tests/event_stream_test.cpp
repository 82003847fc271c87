#include "event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace egret;

namespace {

std::string event(const std::string &id, const std::string &version, int token)
{
    return R"(data: {"id":")" + id + R"(","system_fingerprint":")" + version
           + R"(","choices":[{"index":0,"delta":{"content":")" + std::to_string(token)
           + "\"}}]}\n\n";
}

} // namespace

TEST(EventStream, PassesOnCompleteEventsAndHoldsBackTheEndMark)
{
    EventStream stream;
    stream.begin("r.1");
    const std::string first = event("r.1", "v", 0);
    EXPECT_EQ(stream.consume(first.substr(0, 20)), "");
    EXPECT_EQ(stream.consume(first.substr(20) + event("r.1", "v", 1).substr(0, 5)), first);
    EXPECT_EQ(stream.tokens(), 1U);
    EXPECT_FALSE(stream.ended());
    EXPECT_EQ(stream.consume(event("r.1", "v", 1).substr(5) + kEndMark), event("r.1", "v", 1));
    EXPECT_TRUE(stream.ended());
    EXPECT_EQ(stream.version(), "v");
}

TEST(EventStream, RefusesAnotherRequestsAnswer)
{
    EventStream stream;
    stream.begin("r.1");
    EXPECT_EQ(stream.consume(event("r.2", "v", 0)), "");
    EXPECT_EQ(stream.fault(), StreamFault::wrongIdentity);
}

TEST(EventStream, ResumesOnlyOnTheSameVersion)
{
    EventStream stream;
    stream.begin("r.1");
    stream.consume(event("r.1", "v", 0));
    stream.begin("r.2");
    stream.consume(event("r.2", "w", 1));
    EXPECT_EQ(stream.fault(), StreamFault::versionChanged);
}

/// Oracle: each token is passed on once and in order, however the bytes are split and
/// wherever an attempt breaks off.
RC_GTEST_PROP(EventStreamProperty, EachTokenOnceOverAllAttempts, ())
{
    const int tokens = *rc::gen::inRange(1, 20);
    const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 200));
    EventStream stream;
    std::string out;
    std::size_t nextSize = 0;
    int attempt = 0;
    while (!stream.ended() && attempt < 50) {
        const std::string identity = "r." + std::to_string(++attempt);
        stream.begin(identity);
        std::string bytes;
        for (auto token = static_cast<int>(stream.tokens()); token < tokens; ++token)
            bytes += event(identity, "v", token);
        bytes += kEndMark;
        // A size between 151 and 200 simulates a broken connection.
        for (std::size_t at = 0; at < bytes.size();) {
            const int size = nextSize < sizes.size() ? sizes[nextSize++] : 1000000;
            if (size > 150 && size <= 200)
                break;
            out += stream.consume(bytes.substr(at, static_cast<std::size_t>(size)));
            at += static_cast<std::size_t>(size);
        }
    }
    RC_ASSERT(stream.tokens() == static_cast<std::uint64_t>(tokens));
    std::size_t at = 0;
    for (int token = 0; token < tokens; ++token) {
        at = out.find("\"content\":\"" + std::to_string(token) + "\"", at);
        RC_ASSERT(at != std::string::npos);
    }
    RC_ASSERT(std::count(out.begin(), out.end(), '\n') == 2 * tokens);
}
