#include "http_server.h"

#include "http_client.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <future>

using namespace egret;

namespace {

constexpr std::size_t kBodyLimit = 4096;

/// Runs a server on a free port that echoes request bodies. The server passes the
/// reply to a request for /hold to the test, which sends the response through `heldReply`.
class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest() : pool(2)
    {
        for (int attempt = 0; attempt < 50 && !this->server; ++attempt) {
            this->address = Endpoint{ .address = "127.0.0.1", .port = freePort() };
            auto candidate = std::make_unique<HttpServer>(
                    this->pool,
                    HttpServerOptions{ .listen = this->address,
                                       .maxBodyBytes = kBodyLimit,
                                       .readTimeout = 500ms },
                    [this](HttpRequest &&request, HttpReplyPtr reply) {
                        this->handle(std::move(request), std::move(reply));
                    });
            Reason<int> reason;
            if (candidate->start(reason))
                this->server = std::move(candidate);
        }
    }

    ~HttpServerTest() override
    {
        this->server->stop();
        this->pool.stop();
    }

    static std::uint16_t freePort()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        return acceptor.local_endpoint().port();
    }

    void handle(HttpRequest &&request, HttpReplyPtr reply)
    {
        if (request.path == "/hold")
            this->heldReply.set_value(std::move(reply));
        else
            reply->send(200, "text/plain", request.body);
    }

    std::string url(const std::string &path) const
    {
        return "http://" + this->address.text() + path;
    }

    /// Sends raw bytes and returns all bytes received until the server closes.
    std::string exchange(const std::string &bytes)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->address.port });
        std::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }

    bool isStillEchoing()
    {
        HttpClient client;
        const HttpResult result = client.callAndWait(
                { .method = "POST", .url = this->url("/echo"), .body = "still here" });
        return result.complete && result.body == "still here";
    }

    WorkerPool pool;
    Endpoint address;
    std::unique_ptr<HttpServer> server;
    std::promise<HttpReplyPtr> heldReply;
};

} // namespace

TEST_F(HttpServerTest, RejectsAnOversizeBodyAndKeepsServing)
{
    HttpClient client;
    const HttpResult result = client.callAndWait({ .method = "POST",
                                                   .url = this->url("/echo"),
                                                   .body = std::string(kBodyLimit + 1, 'x') });
    EXPECT_FALSE(result.complete && result.status == 200);
    EXPECT_TRUE(this->isStillEchoing());
}

TEST_F(HttpServerTest, RejectsTooManyHeaders)
{
    std::string request = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 100000; ++i)
        request += "X-" + std::to_string(i) + ": 1\r\n";
    EXPECT_EQ(this->exchange(request + "\r\n").find("200 OK"), std::string::npos);
    EXPECT_TRUE(this->isStillEchoing());
}

TEST_F(HttpServerTest, ClosesAnIncompleteRequest)
{
    // The read returns only when the server closes the connection.
    EXPECT_EQ(this->exchange("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
                      .find("200 OK"),
              std::string::npos);
    EXPECT_TRUE(this->isStillEchoing());
}

TEST_F(HttpServerTest, RejectsGarbage)
{
    EXPECT_EQ(this->exchange(std::string("\x16\x03\x01\x00garbage\r\n\r\n", 14)).find("200 OK"),
              std::string::npos);
    EXPECT_TRUE(this->isStillEchoing());
}

TEST_F(HttpServerTest, CountsARequestUntilItsResponseIsWritten)
{
    HttpClient client;
    std::promise<HttpResult> done;
    client.start({ .url = this->url("/hold"),
                   .onDone = [&done](HttpResult &&result) { done.set_value(std::move(result)); } });
    HttpReplyPtr reply = this->heldReply.get_future().get();
    EXPECT_EQ(this->server->unansweredCount(), 1U);
    this->server->disableKeepAlive();
    reply->send(200, "text/plain", "late");
    const HttpResult result = done.get_future().get();
    EXPECT_EQ(result.body, "late");
    EXPECT_EQ(headerValue(result.headers, "Connection"), "close");
    reply.reset();
    for (int i = 0; i < 500 && this->server->unansweredCount() > 0; ++i)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(this->server->unansweredCount(), 0U);
}
