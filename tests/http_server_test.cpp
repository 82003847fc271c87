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

/// A server on a free port that echoes bodies, except where a test holds the reply.
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
            this->held.set_value(std::move(reply));
        else
            reply->send(200, "text/plain", request.body);
    }

    std::string url(const std::string &path) const
    {
        return "http://" + this->address.text() + path;
    }

    /// Sends raw bytes and returns all that comes back until the server closes.
    std::string exchange(const std::string &bytes)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), this->address.port });
        std::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    bool echoes()
    {
        HttpClient client;
        const HttpResult result = client.callAndWait(
                { .method = "POST", .url = this->url("/echo"), .body = "still here" });
        return result.complete && result.body == "still here";
    }

    WorkerPool pool;
    Endpoint address;
    std::unique_ptr<HttpServer> server;
    std::promise<HttpReplyPtr> held;
};

} // namespace

TEST_F(HttpServerTest, RefusesAnOversizeBodyWithoutHarm)
{
    HttpClient client;
    const HttpResult result = client.callAndWait({ .method = "POST",
                                                   .url = this->url("/echo"),
                                                   .body = std::string(kBodyLimit + 1, 'x') });
    EXPECT_FALSE(result.complete && result.status == 200);
    EXPECT_TRUE(this->echoes());
}

TEST_F(HttpServerTest, RefusesAHeaderFlood)
{
    std::string request = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 100000; ++i)
        request += "X-" + std::to_string(i) + ": 1\r\n";
    EXPECT_EQ(this->exchange(request + "\r\n").find("200 OK"), std::string::npos);
    EXPECT_TRUE(this->echoes());
}

TEST_F(HttpServerTest, ClosesAHalfOpenRequest)
{
    // The read returns only when the server gives the connection up.
    EXPECT_EQ(this->exchange("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
                      .find("200 OK"),
              std::string::npos);
    EXPECT_TRUE(this->echoes());
}

TEST_F(HttpServerTest, RefusesGarbage)
{
    EXPECT_EQ(this->exchange(std::string("\x16\x03\x01\x00garbage\r\n\r\n", 14)).find("200 OK"),
              std::string::npos);
    EXPECT_TRUE(this->echoes());
}

TEST_F(HttpServerTest, CountsARequestUntilItsAnswerIsWritten)
{
    HttpClient client;
    std::promise<HttpResult> done;
    client.start({ .url = this->url("/hold"),
                   .onDone = [&done](HttpResult &&result) { done.set_value(std::move(result)); } });
    HttpReplyPtr reply = this->held.get_future().get();
    EXPECT_EQ(this->server->unanswered(), 1U);
    this->server->disableKeepAlive();
    reply->send(200, "text/plain", "late");
    const HttpResult result = done.get_future().get();
    EXPECT_EQ(result.body, "late");
    EXPECT_EQ(headerValue(result.headers, "Connection"), "close");
    reply.reset();
    for (int i = 0; i < 500 && this->server->unanswered() > 0; ++i)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(this->server->unanswered(), 0U);
}
