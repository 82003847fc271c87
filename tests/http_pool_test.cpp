#include "http_pool.h"

#include "loopback.h"
#include "worker_pool.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace egret;

namespace {

constexpr Seconds kTestLimit{ 5 };

struct Ended
{
    CallEnd end;
    int status{ 0 };
    std::string body;
};

/// A pool against a server that a script plays, one connection after the other.
class HttpPoolTest : public testing::Test
{
protected:
    HttpPoolTest()
        : pool(1), acceptor(this->serverContext, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->pool.run([this] { this->calls = std::make_unique<HttpPool>(this->pool.context()); });
    }

    ~HttpPoolTest() override
    {
        this->pool.run([this] { this->calls.reset(); });
        this->pool.stop();
        if (this->server.joinable())
            this->server.join();
    }

    Endpoint endpoint() const
    {
        return { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
    }

    /// Answers the requests of each connection with the script's texts in turn;
    /// after an empty text the connection is closed.
    void play(std::vector<std::vector<std::string>> connections)
    {
        this->server = std::thread([this, connections = std::move(connections)] {
            for (const auto &answers : connections) {
                asio::ip::tcp::socket socket(this->serverContext);
                this->acceptor.accept(socket);
                ++this->accepted;
                for (const std::string &answer : answers) {
                    std::string read;
                    std::error_code error;
                    asio::read_until(socket, asio::dynamic_buffer(read), "\r\n\r\n", error);
                    if (error || answer.empty())
                        break;
                    ++this->requests;
                    asio::write(socket, asio::buffer(answer), error);
                }
            }
        });
    }

    Ended call(bool mayRunTwice = true)
    {
        std::promise<Ended> done;
        auto ended = std::make_shared<Ended>();
        this->pool.run([&] {
            this->calls->start({
                    .to = this->endpoint(),
                    .head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                    .mayRunTwice = mayRunTwice,
                    .matchesRequest =
                            [](const HttpHead &head) {
                                return headerValue(head.headers, "Id") != "other";
                            },
                    .onHead = [ended](const HttpHead &head) { ended->status = head.status; },
                    .onBody = [ended](std::string &&part) { ended->body += part; },
                    .onEnd =
                            [ended, &done](const CallEnd &end) {
                                ended->end = end;
                                done.set_value(*ended);
                            },
            });
        });
        auto future = done.get_future();
        if (future.wait_for(kTestLimit) != std::future_status::ready)
            return { .end = { .outcome = CallOutcome::broken, .detail = "no end" } };
        return future.get();
    }

    WorkerPool pool;
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor;
    std::unique_ptr<HttpPool> calls;
    std::thread server;
    std::atomic<int> accepted{ 0 };
    std::atomic<int> requests{ 0 };
};

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_F(HttpPoolTest, KeepsAConnectionForTheNextCall)
{
    this->play({ { kAnswer, kAnswer } });
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->accepted, 1);
}

TEST_F(HttpPoolTest, NeverSendsARequestAgainByItself)
{
    this->play({ { "" } });
    const Ended ended = this->call();
    EXPECT_EQ(ended.end.outcome, CallOutcome::broken);
    EXPECT_EQ(this->accepted, 1);
}

TEST_F(HttpPoolTest, AServerThatDoesNotListenWasNotSentTo)
{
    this->acceptor.close();
    const Endpoint closed = freeLoopback("127.0.0.1");
    std::promise<CallEnd> done;
    this->pool.run([&] {
        this->calls->start({ .to = closed,
                             .head = "GET / HTTP/1.1\r\n\r\n",
                             .onEnd = [&done](const CallEnd &end) { done.set_value(end); } });
    });
    EXPECT_EQ(done.get_future().get().outcome, CallOutcome::unsent);
}

TEST_F(HttpPoolTest, ALateAnswerToAnotherRequestIsSkipped)
{
    this->play({ { "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong" + kAnswer } });
    const Ended ended = this->call();
    EXPECT_EQ(ended.end.outcome, CallOutcome::whole);
    EXPECT_EQ(ended.body, "ok");
}

TEST_F(HttpPoolTest, BytesAfterAWholeAnswerEndTheConnection)
{
    this->play({ { kAnswer + "HTTP/1.1 200 OK\r\n" }, { kAnswer } });
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpPoolTest, ATruncatedAnswerIsBroken)
{
    this->play({ { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" } });
    const Ended ended = this->call();
    EXPECT_EQ(ended.end.outcome, CallOutcome::broken);
    EXPECT_EQ(ended.end.detail, "truncated");
}

TEST_F(HttpPoolTest, GarbageIsNoAnswer)
{
    this->play({ { "garbage\r\n\r\n" } });
    EXPECT_EQ(this->call().end.outcome, CallOutcome::malformed);
}

TEST_F(HttpPoolTest, AnActionGoesOnlyOverAConnectionThatWasUsedJustNow)
{
    this->play({ { kAnswer }, { kAnswer } });
    EXPECT_EQ(this->call().body, "ok");
    std::this_thread::sleep_for(900ms);
    EXPECT_EQ(this->call(false).body, "ok");
    EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpPoolTest, AnAnswerWhileTheBodyIsOnItsWayIsTakenAndTheRestOfTheBodyFollows)
{
    const std::string body(3U << 20U, 'b');
    std::string rest;
    this->server = std::thread([&] {
        asio::ip::tcp::socket socket(this->serverContext);
        this->acceptor.accept(socket);
        std::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(rest), "\r\n\r\n", error);
        rest.erase(0, rest.find("\r\n\r\n") + 4);
        asio::write(socket, asio::buffer(kAnswer), error);
        // What comes where the rest of the body is due is the body, or the end.
        std::array<char, 65536> part{};
        while (rest.size() < body.size()) {
            const std::size_t size = socket.read_some(asio::buffer(part), error);
            if (error)
                break;
            rest.append(part.data(), size);
        }
    });
    std::promise<Ended> done;
    auto ended = std::make_shared<Ended>();
    this->pool.run([&] {
        this->calls->start(
                { .to = this->endpoint(),
                  .head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n",
                  .body = body,
                  .onHead = [ended](const HttpHead &head) { ended->status = head.status; },
                  .onBody = [ended](std::string &&part) { ended->body += part; },
                  .onEnd =
                          [ended, &done](const CallEnd &end) {
                              ended->end = end;
                              done.set_value(*ended);
                          } });
    });
    auto future = done.get_future();
    ASSERT_EQ(future.wait_for(kTestLimit), std::future_status::ready);
    const Ended answer = future.get();
    EXPECT_EQ(answer.end.outcome, CallOutcome::whole);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "ok");
    this->pool.run([this] { this->calls.reset(); });
    this->server.join();
    EXPECT_LE(rest.size(), body.size());
    EXPECT_EQ(rest, body.substr(0, rest.size())) << "no other bytes than the body's";
}

TEST_F(HttpPoolTest, ABodyThatEndsWithItsConnectionIsWholeOnlyWhenThatEndsInOrder)
{
    for (const bool isReset : { false, true }) {
        std::thread server([&] {
            asio::ip::tcp::socket socket(this->serverContext);
            this->acceptor.accept(socket);
            std::string read;
            std::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(read), "\r\n\r\n", error);
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nall of it")),
                        error);
            // The part must have been read before a reset can discard it.
            std::this_thread::sleep_for(100ms);
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
        });
        const Ended ended = this->call();
        server.join();
        EXPECT_EQ(ended.body, "all of it");
        EXPECT_EQ(ended.end.outcome, isReset ? CallOutcome::broken : CallOutcome::whole);
    }
}
