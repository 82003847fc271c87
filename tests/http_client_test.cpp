#include "http_client.h"

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
