#include "http_frontend.h"
#include "http_pool.h"

#include "loopback.h"
#include "worker_pool.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace egret;

namespace {

constexpr Seconds kWaitTimeout{ 5 };

/// Runs a server on loopback that passes each request to `handler`, which a test may replace.
class HttpFrontendTest : public testing::Test
{
protected:
    HttpFrontendTest() : pool(1)
    {
        this->pool.run([this] {
            this->startFrontend({ .bounds = { .maxHeadBytes = 1024,
                                              .maxBodyBytes = 64,
                                              .headTimeout = 300ms,
                                              .idleTimeout = 1s } });
        });
    }

    /// Replaces the server by one with `options` at a new address.
    void startFrontend(HttpFrontendOptions options)
    {
        this->address = freeLoopback("127.0.0.1");
        options.listen = this->address;
        this->frontend = std::make_unique<HttpFrontend>(
                this->pool.context(), std::move(options),
                [this](HttpRequest &&request, const AbortableReplyPtr &reply) {
                    ++this->handledRequests;
                    this->handler(std::move(request), reply);
                });
        Reason<std::error_code> reason;
        this->started = this->frontend->start(reason);
    }

    ~HttpFrontendTest() override
    {
        this->pool.run([this] { this->frontend.reset(); });
        this->pool.stop();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(this->clientContext);
        socket.connect({ asio::ip::make_address(this->address.address), this->address.port });
        return socket;
    }

    /// Sends `bytes` and reads until the received bytes contain `until` or the connection
    /// closes. If `until` is empty, reads until the connection closes.
    std::string exchange(asio::ip::tcp::socket &socket, const std::string &bytes,
                         const std::string &until = "")
    {
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::error_code error;
        std::array<char, 512> part{};
        while (until.empty() || received.find(until) == std::string::npos) {
            const std::size_t size = socket.read_some(asio::buffer(part), error);
            if (error)
                break;
            received.append(part.data(), size);
        }
        return received;
    }

    /// Sends `bytes` on a new connection and reads until the connection closes.
    std::string exchangeOnce(const std::string &bytes)
    {
        auto socket = this->connect();
        return this->exchange(socket, bytes);
    }

    WorkerPool pool;
    asio::io_context clientContext;
    Endpoint address;
    std::unique_ptr<HttpFrontend> frontend;
    bool started{ false };
    std::atomic<int> handledRequests{ 0 };
    std::function<void(HttpRequest &&, const AbortableReplyPtr &)> handler =
            [](HttpRequest &&request, const AbortableReplyPtr &reply) {
                reply->send(200, "text/plain", request.body, {});
            };
};

} // namespace

TEST_F(HttpFrontendTest, AnswersInvalidRequestsWithAnErrorStatus)
{
    ASSERT_TRUE(this->started);
    EXPECT_TRUE(
            this->exchangeOnce("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400 Bad Request"));
    EXPECT_TRUE(
            this->exchangeOnce("BREW / HTTP/1.1\r\nHost: a\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(this->exchangeOnce("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x'))
                        .starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(this->exchangeOnce("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n")
                        .starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(this->exchangeOnce("GET / HTTP/1.1\r\nHost").starts_with("HTTP/1.1 408"));
    EXPECT_EQ(this->handledRequests, 0);
}

TEST_F(HttpFrontendTest, ConfirmsExpectContinue)
{
    auto socket = this->connect();
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                             "Expect: 100-continue\r\n\r\n";
    EXPECT_EQ(this->exchange(socket, head, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    EXPECT_TRUE(this->exchange(socket, "ok", "ok").starts_with("HTTP/1.1 200 OK"));
}

TEST_F(HttpFrontendTest, ServesSeveralRequestsOnOneConnection)
{
    auto socket = this->connect();
    const std::string first = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1";
    const std::string second = "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "1\r\n2\r\n0\r\n\r\n";
    const std::string received = this->exchange(socket, first + second, "\r\n\r\n2");
    EXPECT_NE(received.find("\r\n\r\n1HTTP/1.1 200"), std::string::npos) << received;
}

// Guards against legal bodies that the limits on memory refuse, and against buffers that mix up the
// parts of a body.
TEST_F(HttpFrontendTest, ServesABodyOfAnySizeInChunksOfAnySize)
{
    constexpr std::size_t maxBodyBytes = 1U << 20U;
    this->pool.run([this] { this->frontend->setBounds({ .maxBodyBytes = maxBodyBytes }); });
    const auto post = [this](const std::string &length, const std::string &content) {
        return this->exchangeOnce("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + length
                                  + "\r\n\r\n" + content);
    };
    for (const std::size_t size : { std::size_t{ 1 }, std::size_t{ 100'000 }, maxBodyBytes }) {
        std::string body(size, ' ');
        for (std::size_t i = 0; i < size; ++i)
            body[i] = static_cast<char>('a' + i % 23);
        EXPECT_TRUE(post("Content-Length: " + std::to_string(size), body).ends_with(body));
        for (const std::size_t chunkSize : { std::size_t{ 1 }, std::size_t{ 4096 }, size }) {
            std::string chunks;
            for (std::size_t i = 0; i < size; i += chunkSize) {
                const std::string chunk = body.substr(i, chunkSize);
                std::array<char, 20> head{};
                std::snprintf(head.data(), head.size(), "%zx\r\n", chunk.size());
                chunks += head.data() + chunk + "\r\n";
            }
            EXPECT_TRUE(post("Transfer-Encoding: chunked", chunks + "0\r\n\r\n").ends_with(body))
                    << size << " in chunks of " << chunkSize;
        }
    }
}

// Guards against clients that stop just short of the end of their bodies and so keep others out.
TEST_F(HttpFrontendTest, AStalledBodyGivesWayToAWaitingOne)
{
    constexpr std::size_t bodyBytes = 150'000;
    this->pool.run([this] {
        // Large bodies may take 196,608 bytes of it, so only one fits.
        this->startFrontend(
                { .maxBufferedBytes = 256U << 10U, .bounds = { .maxBodyBytes = bodyBytes } });
    });
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                "Content-Length: "
                                + std::to_string(bodyBytes) + "\r\n\r\n";
    const std::string body(bodyBytes, 'x');
    auto stalled = this->connect();
    asio::write(stalled, asio::buffer(request + body.substr(1)));
    auto waiting = this->connect();
    EXPECT_TRUE(this->exchange(waiting, request + body).ends_with(body));
    const std::string refusal = this->exchange(stalled, "");
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
    EXPECT_EQ(this->handledRequests, 1) << "the refused request must not run";
}

// Guards against small requests that pass the limit on memory while they run.
TEST_F(HttpFrontendTest, ARequestIsRefusedWhenRunningOnesHoldTheMemory)
{
    constexpr std::size_t bodyBytes = 50'000;
    this->pool.run([this] {
        // Small requests may take 131,072 bytes of it, so two of them fit.
        this->startFrontend(
                { .maxBufferedBytes = 512U << 10U, .bounds = { .maxBodyBytes = bodyBytes } });
    });
    std::vector<AbortableReplyPtr> replies;
    this->handler = [&replies](HttpRequest &&, const AbortableReplyPtr &reply) {
        replies.push_back(reply);
    };
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                "Content-Length: "
                                + std::to_string(bodyBytes) + "\r\n\r\n"
                                + std::string(bodyBytes, 'x');
    auto first = this->connect();
    asio::write(first, asio::buffer(request));
    auto second = this->connect();
    asio::write(second, asio::buffer(request));
    const TimePoint end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (this->handledRequests < 2 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(10ms);
    ASSERT_EQ(this->handledRequests, 2);
    EXPECT_TRUE(this->exchangeOnce(request).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(this->handledRequests, 2);
    this->pool.run([&replies] {
        for (const AbortableReplyPtr &reply : replies)
            reply->send(200, "", "", {});
        replies.clear();
    });
    EXPECT_TRUE(this->exchange(first, "").starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(this->exchange(second, "").starts_with("HTTP/1.1 200"));
}

// Guards against idle connections that take the place of ordinary ones.
TEST_F(HttpFrontendTest, AnIdleConnectionMakesRoomForAnother)
{
    constexpr Milliseconds idleTime{ 1200 };
    this->pool.run([this] { this->startFrontend({ .maxConnections = 2 }); });
    const auto first = this->connect();
    const auto second = this->connect();
    std::this_thread::sleep_for(idleTime);
    EXPECT_TRUE(this->exchangeOnce("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                        .starts_with("HTTP/1.1 200"));
}

TEST_F(HttpFrontendTest, AnAbortedStreamHasNoFinalChunk)
{
    this->handler = [](HttpRequest &&, const AbortableReplyPtr &reply) {
        reply->start(200, "text/event-stream", {});
        reply->write("id: 1\n\n");
        reply->abort();
    };
    EXPECT_EQ(this->exchangeOnce("GET / HTTP/1.1\r\nHost: a\r\n\r\n").find("0\r\n\r\n"),
              std::string::npos);
}

TEST_F(HttpFrontendTest, DetectsAClientDisconnect)
{
    std::promise<void> disconnected;
    AbortableReplyPtr heldReply;
    this->handler = [&](HttpRequest &&, const AbortableReplyPtr &reply) {
        heldReply = reply;
        reply->onClientDisconnected([&disconnected] { disconnected.set_value(); });
    };
    {
        auto socket = this->connect();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        while (this->handledRequests == 0)
            std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(disconnected.get_future().wait_for(kWaitTimeout), std::future_status::ready);
    this->pool.run([&] { heldReply.reset(); });
}

// Guards against requests that go on for a client that has left, because reading is paused.
TEST_F(HttpFrontendTest, DetectsADisconnectBehindPipelinedInput)
{
    // More than is read ahead; the rest fits into the receive buffer. TCP delivers a disconnect
    // only behind the bytes that the client sent before it.
    constexpr std::size_t pipelinedBytes = 110U << 10U;
    std::promise<void> disconnected;
    AbortableReplyPtr heldReply;
    this->handler = [&](HttpRequest &&, const AbortableReplyPtr &reply) {
        heldReply = reply;
        reply->onClientDisconnected([&disconnected] { disconnected.set_value(); });
    };
    {
        auto socket = this->connect();
        asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n"
                                         + std::string(pipelinedBytes, 'x')));
        while (this->handledRequests == 0)
            std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(disconnected.get_future().wait_for(kWaitTimeout), std::future_status::ready);
    this->pool.run([&] { heldReply.reset(); });
}

// Guards against a cut in an answer whose client reads it steadily while memory is short.
TEST_F(HttpFrontendTest, ALargeAnswerIsReadAtTheClientsRate)
{
    constexpr std::size_t answerBytes = 16U << 20U;
    constexpr std::size_t partBytes = 512U << 10U;
    constexpr Milliseconds partPeriod{ 50 };
    this->pool.run([this] { this->startFrontend({ .maxBufferedBytes = 4U << 20U }); });
    this->handler = [](HttpRequest &&, const AbortableReplyPtr &reply) {
        reply->send(200, "text/plain", std::string(answerBytes, 'x'), {});
    };
    auto socket = this->connect();
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(partBytes)));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string part(partBytes, '\0');
    std::size_t received = 0;
    std::error_code error;
    while (received < answerBytes && !error) {
        received += socket.read_some(asio::buffer(part), error);
        std::this_thread::sleep_for(partPeriod);
    }
    EXPECT_FALSE(error) << error.message() << " after " << received << " bytes";
}

TEST_F(HttpFrontendTest, ADroppedReplyClosesTheConnection)
{
    this->handler = [](HttpRequest &&, const AbortableReplyPtr &) {};
    EXPECT_EQ(this->exchangeOnce("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "");
}

TEST_F(HttpFrontendTest, AStoppingServerSendsConnectionCloseAndClosesIdleConnections)
{
    auto idle = this->connect();
    this->exchange(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\n\r\n");
    this->pool.run([this] { this->frontend->disableKeepAlive(); });
    EXPECT_NE(this->exchangeOnce("GET / HTTP/1.1\r\nHost: a\r\n\r\n").find("Connection: close"),
              std::string::npos);
    this->pool.run([this] { this->frontend->closeIdle(); });
    std::array<char, 1> byte{};
    std::error_code error;
    idle.read_some(asio::buffer(byte), error);
    EXPECT_EQ(error, asio::error::eof);
}

TEST_F(HttpFrontendTest, AnIncompleteRequestIsNotHandled)
{
    ASSERT_TRUE(this->started);
    {
        auto socket = this->connect();
        asio::write(socket, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: a\r\n"
                                                     "Content-Length: 20\r\n\r\nhalf of")));
    }
    EXPECT_TRUE(this->exchangeOnce("GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                        .starts_with("HTTP/1.1 200"));
    EXPECT_EQ(this->handledRequests, 1) << "only the complete request";
    this->pool.run([this] { EXPECT_EQ(this->frontend->unansweredCount(), 0U); });
}
