#include "http_client.h"

#include "broken_responses.h"
#include "endless_server.h"
#include "faulty_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <future>
#include <thread>
#include <vector>

using namespace egret;

namespace {

/// An upload that the buffers of the sockets don't hold.
constexpr std::size_t kLongUpload = 4U << 20U;

std::string urlOf(const EndlessServer &server)
{
    return "http://" + server.endpoint().text() + "/";
}

HttpResult callFaulty(const FaultyServer &server, std::size_t uploadSize,
                      const std::string &method = "POST")
{
    HttpClient client;
    return client.callAndWait({ .method = method,
                                .url = "http://" + server.endpoint().text() + "/",
                                .body = std::string(uploadSize, 'u'),
                                .timeout = 5s });
}

/// Expects that no response completes a call.
void expectIncomplete(const std::vector<std::string> &responses)
{
    for (const std::string &response : responses) {
        const FaultyServer server({ .bytes = response });
        EXPECT_FALSE(callFaulty(server, 0, "GET").complete) << response;
    }
}

} // namespace

// Guards against a process that runs out of memory on a response without end.
TEST(HttpClient, EndlessResponseEndsTheCallAtItsLimits)
{
    const std::vector<std::array<std::string, 3>> responses = {
        { "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'), "body-too-large" },
        { "HTTP/1.1 200 OK\r\n", "X: " + std::string(1024, 'x') + "\r\n", "head-too-large" },
        { "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "head-too-large" },
    };
    HttpClient client;
    for (const auto &[begin, rest, fault] : responses) {
        const EndlessServer server({ .begin = begin, .part = rest });
        const HttpResult result = client.callAndWait(
                { .url = urlOf(server), .timeout = 5s, .maxBodyBytes = 16U << 10U });
        EXPECT_FALSE(result.complete);
        EXPECT_EQ(result.error, fault);
        EXPECT_LE(result.body.size(), 16U << 10U);
    }
}

// Guards against a process that runs out of memory on many responses, each within its limit.
TEST(HttpClient, ResponsesTogetherKeepToTheBufferLimit)
{
    constexpr std::size_t limit = 1U << 20U;
    constexpr std::size_t callCount = 8;
    const EndlessServer server({ .begin = "HTTP/1.1 200 OK\r\n\r\n",
                                 .part = std::string(limit / 2, 'x'),
                                 .maxParts = 1 });
    HttpClient client({ .maxBufferedBytes = limit });
    std::vector<std::future<HttpResult>> results;
    for (std::size_t i = 0; i < callCount; ++i)
        results.push_back(std::async(std::launch::async, [&] {
            return client.callAndWait({ .url = urlOf(server), .timeout = 1s });
        }));
    std::size_t buffered = 0;
    std::size_t ended = 0;
    for (auto &each : results) {
        const HttpResult result = each.get();
        EXPECT_FALSE(result.complete);
        if (result.error == "too-large-together")
            ++ended;
        else
            buffered += result.body.size();
    }
    EXPECT_LE(buffered, limit);
    EXPECT_GE(ended, callCount - 2);
}

TEST(HttpClient, BodyLimitHoldsForPartsAsWell)
{
    const EndlessServer server(
            { .begin = "HTTP/1.1 200 OK\r\n\r\n", .part = std::string(4096, 'x') });
    std::size_t received = 0;
    HttpClient client;
    const HttpResult result = client.callAndWait(
            { .url = urlOf(server),
              .timeout = 5s,
              .maxBodyBytes = 16U << 10U,
              .onData = [&received](const std::string &part) { received += part.size(); } });
    EXPECT_FALSE(result.complete);
    EXPECT_LE(received, 16U << 10U);
}

// Guards against a cut response that passes for a whole one.
TEST(HttpClient, AResetNeverCompletesAResponse)
{
    const std::vector<std::string> cutResponses = {
        "HTTP/1.1 200 OK\r\n\r\na part",
        "HTTP/1.1 500 Error\r\n\r\na part",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
    };
    for (const std::string &bytes : cutResponses) {
        for (const Milliseconds pause : { 0ms, 50ms }) {
            for (const std::size_t uploadSize : { std::size_t{ 0 }, kLongUpload }) {
                const FaultyServer server(
                        { .bytes = bytes, .pause = pause, .end = AnswerEnd::reset });
                const HttpResult result = callFaulty(server, uploadSize);
                EXPECT_FALSE(result.complete)
                        << bytes << " after " << pause.count() << " ms, upload " << uploadSize;
                EXPECT_TRUE(result.requestSent);
            }
        }
    }
}

// Guards against losing whole responses together with cut ones.
TEST(HttpClient, WholeResponsesAreReceivedBeforeAndAfterTheUpload)
{
    const std::vector<std::pair<int, std::string>> responses = {
        { 200, "HTTP/1.1 200 OK\r\n\r\nwhole" },
        { 200, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole" },
        { 413, "HTTP/1.1 413 Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole" },
        { 503, "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    };
    for (const bool readsRequest : { false, true }) {
        for (const auto &[status, bytes] : responses) {
            for (const AnswerEnd end : { AnswerEnd::orderly, AnswerEnd::orderlyUnread }) {
                const FaultyServer server(
                        { .bytes = bytes, .end = end, .readsRequest = readsRequest });
                const HttpResult result = callFaulty(server, kLongUpload);
                EXPECT_TRUE(result.complete) << bytes << ": " << result.error;
                EXPECT_EQ(result.status, status);
                EXPECT_EQ(result.body, "whole");
            }
        }
    }
}

// Guards against a status that is none, which a client would get as an answer.
TEST(HttpClient, RejectsBrokenStatusLines)
{
    expectIncomplete(responsesWithBrokenStatusLine());
}

// Guards against names and values that no field may have, and that are passed on.
TEST(HttpClient, RejectsBrokenFields)
{
    expectIncomplete(responsesWithBrokenFields());
}

// Guards against fields that a response doesn't have: those of interim heads and of trailers, and a
// status line with a colon.
TEST(HttpClient, ReturnsTheFieldsOfTheFinalHeadOnly)
{
    const FaultyServer server({ .bytes = "HTTP/1.1 103 Early Hints\r\nEarly: 1\r\n\r\n"
                                         "HTTP/1.1 200 O: K\r\nEmpty:\r\nFull: \ta b \r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "2\r\nok\r\n0\r\nLate: 1\r\n\r\n" });
    const HttpResult result = callFaulty(server, 0, "GET");
    EXPECT_TRUE(result.complete) << result.error;
    const HttpHeaders expected = { { "Empty", "" },
                                   { "Full", "a b" },
                                   { "Transfer-Encoding", "chunked" } };
    EXPECT_EQ(result.headers, expected);
}

// Guards against a body that ends where the server never meant it to end.
TEST(HttpClient, RejectsBrokenFraming)
{
    expectIncomplete(responsesWithBrokenFraming());
    expectIncomplete(responsesWithBrokenTrailer());
}
