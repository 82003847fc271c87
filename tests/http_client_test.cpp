#include "http_client.h"

#include "broken_responses.h"
#include "faulty_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <thread>
#include <vector>

using namespace egret;

namespace {

/// A server that sends `begin` and then `rest` again and again until the client closes.
class EndlessServer
{
public:
    EndlessServer(std::string begin, std::string rest)
        : acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 }),
          thread([this, begin = std::move(begin), rest = std::move(rest)] {
              asio::ip::tcp::socket socket(this->context);
              this->acceptor.accept(socket);
              std::string request;
              std::error_code error;
              asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
              asio::write(socket, asio::buffer(begin), error);
              while (!error)
                  asio::write(socket, asio::buffer(rest), error);
          })
    {}
    ~EndlessServer() { this->thread.join(); }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
    }

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

/// An upload that the buffers of the sockets don't hold.
constexpr std::size_t kLongUpload = 4U << 20U;

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
        const EndlessServer server(begin, rest);
        const HttpResult result = client.callAndWait(
                { .url = server.url(), .timeout = 5s, .maxBodyBytes = 16U << 10U });
        EXPECT_FALSE(result.complete);
        EXPECT_EQ(result.error, fault);
        EXPECT_LE(result.body.size(), 16U << 10U);
    }
}

TEST(HttpClient, BodyLimitHoldsForPartsAsWell)
{
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'));
    std::size_t received = 0;
    HttpClient client;
    const HttpResult result = client.callAndWait(
            { .url = server.url(),
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
            const FaultyServer server({ .bytes = bytes, .readsRequest = readsRequest });
            const HttpResult result = callFaulty(server, kLongUpload);
            EXPECT_TRUE(result.complete) << bytes << ": " << result.error;
            EXPECT_EQ(result.status, status);
            EXPECT_EQ(result.body, "whole");
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
