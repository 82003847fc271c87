#include "http_pool.h"

#include "faulty_server.h"
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

constexpr Seconds kWaitTimeout{ 5 };

struct CallRecord
{
    CallEnd end;
    int status{ 0 };
    std::string body;
};

/// Runs an HttpPool and a scripted server that accepts one connection at a time.
class HttpPoolTest : public testing::Test
{
protected:
    HttpPoolTest()
        : pool(1), acceptor(this->serverContext, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->pool.run(
                [this] { this->httpPool = std::make_unique<HttpPool>(this->pool.context()); });
    }

    ~HttpPoolTest() override
    {
        this->pool.run([this] { this->httpPool.reset(); });
        this->pool.stop();
        if (this->server.joinable())
            this->server.join();
    }

    Endpoint endpoint() const
    {
        return { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
    }

    /// Starts the server, which accepts one connection per element of `connections`. Each
    /// element holds the responses to the requests on its connection, in order; an empty
    /// response closes the connection.
    void serveScript(std::vector<std::vector<std::string>> connections)
    {
        this->server = std::thread([this, connections = std::move(connections)] {
            for (const auto &responses : connections) {
                asio::ip::tcp::socket socket(this->serverContext);
                this->acceptor.accept(socket);
                ++this->acceptedConnections;
                for (const std::string &response : responses) {
                    std::string request;
                    std::error_code error;
                    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
                    if (error || response.empty())
                        break;
                    ++this->answeredRequests;
                    asio::write(socket, asio::buffer(response), error);
                }
            }
        });
    }

    /// Sends a request to the server and waits for the end of the call. A response with the
    /// header `Id: other` counts as a response to another request, one with `Id: none` names none.
    CallRecord call(bool mayRunTwice = true) { return this->call({ .mayRunTwice = mayRunTwice }); }

    /// As above; `options` holds the limits of the call and, for another server or an upload, `to`
    /// and `body`.
    CallRecord call(OutboundCall &&options)
    {
        std::promise<CallRecord> done;
        auto record = std::make_shared<CallRecord>();
        const std::string method = options.body.empty() ? "GET" : "POST";
        this->pool.run([&] {
            this->httpPool->start({
                    .to = options.to.port == 0 ? this->endpoint() : options.to,
                    .head = method + " / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                            + std::to_string(options.body.size()) + "\r\n\r\n",
                    .body = options.body,
                    .mayRunTwice = options.mayRunTwice,
                    .timeLimit = options.timeLimit,
                    .maxResponseBytes = options.maxResponseBytes,
                    .matchResponse =
                            [](const HttpHead &head) {
                                const std::string id = headerValue(head.headers, "Id");
                                if (id == "none")
                                    return ResponseMatch::unidentified;
                                return id == "other" ? ResponseMatch::other : ResponseMatch::own;
                            },
                    .onHead = [record](const HttpHead &head) { record->status = head.status; },
                    .onBody = [record](std::string &&part) { record->body += part; },
                    .onEnd =
                            [record, &done](const CallEnd &end) {
                                record->end = end;
                                done.set_value(*record);
                            },
            });
        });
        auto future = done.get_future();
        if (future.wait_for(kWaitTimeout) != std::future_status::ready)
            return { .end = { .outcome = CallOutcome::broken,
                              .detail = "the call did not end in time" } };
        return future.get();
    }

    /// Starts a server that sends `begin` and then `rest` again and again, every `pause`, until
    /// the client closes.
    void serveWithoutEnd(std::string begin, std::string rest, Milliseconds pause = 0ms)
    {
        this->server = std::thread([this, begin = std::move(begin), rest = std::move(rest), pause] {
            asio::ip::tcp::socket socket(this->serverContext);
            this->acceptor.accept(socket);
            std::string request;
            std::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            asio::write(socket, asio::buffer(begin), error);
            while (!error) {
                asio::write(socket, asio::buffer(rest), error);
                std::this_thread::sleep_for(pause);
            }
        });
    }

    WorkerPool pool;
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor;
    std::unique_ptr<HttpPool> httpPool;
    std::thread server;
    std::atomic<int> acceptedConnections{ 0 };
    std::atomic<int> answeredRequests{ 0 };
};

/// An upload that the buffers of the sockets don't hold.
constexpr std::size_t kLongUpload = 4U << 20U;

const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_F(HttpPoolTest, ReusesAConnection)
{
    this->serveScript({ { kResponse, kResponse } });
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->acceptedConnections, 1);
}

TEST_F(HttpPoolTest, NeverResendsARequest)
{
    this->serveScript({ { "" } });
    const CallRecord record = this->call();
    EXPECT_EQ(record.end.outcome, CallOutcome::broken);
    EXPECT_EQ(this->acceptedConnections, 1);
}

TEST_F(HttpPoolTest, ARefusedConnectionLeavesTheRequestUnsent)
{
    this->acceptor.close();
    const Endpoint closed = freeLoopback("127.0.0.1");
    std::promise<CallEnd> done;
    this->pool.run([&] {
        this->httpPool->start({ .to = closed,
                                .head = "GET / HTTP/1.1\r\n\r\n",
                                .onEnd = [&done](const CallEnd &end) { done.set_value(end); } });
    });
    EXPECT_EQ(done.get_future().get().outcome, CallOutcome::unsent);
}

TEST_F(HttpPoolTest, SkipsALateResponseToAnotherRequest)
{
    this->serveScript(
            { { "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong" + kResponse } });
    const CallRecord record = this->call();
    EXPECT_EQ(record.end.outcome, CallOutcome::whole);
    EXPECT_EQ(record.body, "ok");
}

// Guards against an earlier refusal that a faulty server sends once more, and that is taken for the
// refusal of a request that the server runs.
TEST_F(HttpPoolTest, AResponseThatNamesNoRequestIsTakenOnlyOnAFreshConnection)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nId: none\r\nContent-Length: 0\r\n\r\n";
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nxx";
    this->serveScript({ { sound, refusal + sound }, { late + refusal + sound }, { refusal } });
    EXPECT_EQ(this->call().end.outcome, CallOutcome::whole);
    const CallRecord onReused = this->call();
    EXPECT_EQ(onReused.end.outcome, CallOutcome::broken) << "the request may run";
    EXPECT_EQ(onReused.status, 0);
    EXPECT_EQ(this->call().end.outcome, CallOutcome::broken) << "other responses came before";
    const CallRecord onFresh = this->call();
    EXPECT_EQ(onFresh.end.outcome, CallOutcome::whole);
    EXPECT_EQ(onFresh.status, 503);
}

TEST_F(HttpPoolTest, BytesAfterACompleteResponseCloseTheConnection)
{
    this->serveScript({ { kResponse + "HTTP/1.1 200 OK\r\n" }, { kResponse } });
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->call().body, "ok");
    EXPECT_EQ(this->acceptedConnections, 2);
}

TEST_F(HttpPoolTest, ATruncatedResponseIsBroken)
{
    this->serveScript({ { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" } });
    const CallRecord record = this->call();
    EXPECT_EQ(record.end.outcome, CallOutcome::broken);
    EXPECT_EQ(record.end.detail, "truncated");
}

TEST_F(HttpPoolTest, GarbageIsMalformed)
{
    this->serveScript({ { "garbage\r\n\r\n" } });
    EXPECT_EQ(this->call().end.outcome, CallOutcome::malformed);
}

TEST_F(HttpPoolTest, ARequestThatMustNotRunTwiceUsesOnlyARecentConnection)
{
    this->serveScript({ { kResponse }, { kResponse } });
    EXPECT_EQ(this->call().body, "ok");
    std::this_thread::sleep_for(900ms);
    EXPECT_EQ(this->call(false).body, "ok");
    EXPECT_EQ(this->acceptedConnections, 2);
}

TEST_F(HttpPoolTest, AcceptsAResponseBeforeTheRequestBodyIsSent)
{
    const std::string body(3U << 20U, 'b');
    std::string receivedBody;
    this->server = std::thread([&] {
        asio::ip::tcp::socket socket(this->serverContext);
        this->acceptor.accept(socket);
        std::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(receivedBody), "\r\n\r\n", error);
        receivedBody.erase(0, receivedBody.find("\r\n\r\n") + 4);
        asio::write(socket, asio::buffer(kResponse), error);
        // Reads until the body is complete or the pool closes the connection.
        std::array<char, 65536> part{};
        while (receivedBody.size() < body.size()) {
            const std::size_t size = socket.read_some(asio::buffer(part), error);
            if (error)
                break;
            receivedBody.append(part.data(), size);
        }
    });
    std::promise<CallRecord> done;
    auto record = std::make_shared<CallRecord>();
    this->pool.run([&] {
        this->httpPool->start(
                { .to = this->endpoint(),
                  .head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n",
                  .body = body,
                  .onHead = [record](const HttpHead &head) { record->status = head.status; },
                  .onBody = [record](std::string &&part) { record->body += part; },
                  .onEnd =
                          [record, &done](const CallEnd &end) {
                              record->end = end;
                              done.set_value(*record);
                          } });
    });
    auto future = done.get_future();
    ASSERT_EQ(future.wait_for(kWaitTimeout), std::future_status::ready);
    const CallRecord response = future.get();
    EXPECT_EQ(response.end.outcome, CallOutcome::whole);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "ok");
    this->pool.run([this] { this->httpPool.reset(); });
    this->server.join();
    EXPECT_LE(receivedBody.size(), body.size());
    EXPECT_EQ(receivedBody, body.substr(0, receivedBody.size()))
            << "bytes other than the request body were sent";
}

TEST_F(HttpPoolTest, OnlyAnOrderlyCloseCompletesABodyWithoutALength)
{
    for (const bool isReset : { false, true }) {
        std::thread server([&] {
            asio::ip::tcp::socket socket(this->serverContext);
            this->acceptor.accept(socket);
            std::string request;
            std::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nall of it")),
                        error);
            // The pool must read the response before the reset, which discards unread bytes.
            std::this_thread::sleep_for(100ms);
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
        });
        const CallRecord record = this->call();
        server.join();
        EXPECT_EQ(record.body, "all of it");
        EXPECT_EQ(record.end.outcome, isReset ? CallOutcome::broken : CallOutcome::whole);
    }
}

TEST_F(HttpPoolTest, EndlessResponseEndsTheCallAtItsSizeLimit)
{
    const std::string late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno";
    const std::string filler(4096, 'x');
    const std::vector<std::pair<std::string, std::string>> responses = {
        { "HTTP/1.1 200 OK\r\n\r\n", filler },
        { "HTTP/1.1 200 OK\r\nX: ", filler },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
        { late, late },
    };
    for (const auto &[begin, rest] : responses) {
        this->serveWithoutEnd(begin, rest);
        const CallRecord record = this->call({ .maxResponseBytes = 16U << 10U });
        this->server.join();
        EXPECT_EQ(record.end.outcome, CallOutcome::malformed) << begin;
        EXPECT_FALSE(record.end.isServerClose);
        EXPECT_LE(record.body.size(), 16U << 10U);
    }
}

// Guards against a connection that is held forever by a response that trickles in.
TEST_F(HttpPoolTest, TrickleWithoutEndEndsTheCallAtItsTimeLimit)
{
    for (const std::string begin : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX: " }) {
        this->serveWithoutEnd(begin, "x", 10ms);
        const CallRecord record = this->call({ .timeLimit = 300ms });
        this->server.join();
        EXPECT_EQ(record.end.outcome, CallOutcome::broken);
        EXPECT_EQ(record.end.detail, "timed out");
        EXPECT_FALSE(record.end.isServerClose);
    }
}

// Guards against a cut response that passes for a whole one: when the write of the request receives
// the error of the reset, the next read looks like an orderly close.
TEST_F(HttpPoolTest, AResetDuringTheUploadNeverCompletesAResponse)
{
    const std::vector<std::string> cutResponses = {
        "HTTP/1.1 200 OK\r\n\r\na part",
        "HTTP/1.0 200 OK\r\n\r\na part",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 Error\r\n\r\na part",
        "HTTP/1.1 200 O",
    };
    for (const std::string &bytes : cutResponses) {
        for (const Milliseconds pause : { 0ms, 50ms }) {
            for (const std::size_t uploadSize : { std::size_t{ 0 }, kLongUpload }) {
                const FaultyServer faulty(
                        { .bytes = bytes, .pause = pause, .end = AnswerEnd::reset });
                const CallRecord record = this->call(
                        { .to = faulty.endpoint(), .body = std::string(uploadSize, 'u') });
                EXPECT_EQ(record.end.outcome, CallOutcome::broken)
                        << bytes << " after " << pause.count() << " ms, upload " << uploadSize;
                EXPECT_TRUE(record.end.isServerClose);
            }
        }
    }
}

// Guards against an end of the input that is handled before the failed write that explains it: on a
// busy thread, the handler of the write may wait behind that of the read.
TEST_F(HttpPoolTest, AResetOnABusyThreadNeverCompletesAResponse)
{
    constexpr int calls = 400;
    std::atomic<bool> isStopping{ false };
    std::atomic<int> stallMicroseconds{ 0 };
    std::function<void()> stall = [&] {
        std::this_thread::sleep_for(std::chrono::microseconds(stallMicroseconds));
        if (!isStopping)
            asio::post(this->pool.context(), stall);
    };
    asio::post(this->pool.context(), stall);
    for (int i = 0; i < calls; ++i) {
        stallMicroseconds = 100 * (1 + i % 10);
        const FaultyServer faulty({ .bytes = "HTTP/1.1 200 OK\r\n\r\na part",
                                    .pause = Milliseconds(1 + i / 10 % 2),
                                    .end = AnswerEnd::reset });
        const CallRecord record =
                this->call({ .to = faulty.endpoint(), .body = std::string(kLongUpload, 'u') });
        EXPECT_EQ(record.end.outcome, CallOutcome::broken)
                << "stalls of " << stallMicroseconds << " us, pause " << 1 + i / 10 % 2;
    }
    isStopping = true;
    this->pool.run([] {}); // the last stall has ended
}

// Guards against rejecting whole responses together with cut ones.
TEST_F(HttpPoolTest, AnOrderlyCloseCompletesAResponseBeforeAndAfterTheUpload)
{
    for (const AnswerEnd end : { AnswerEnd::orderly, AnswerEnd::orderlyUnread }) {
        for (const bool readsRequest : { false, true }) {
            for (const Milliseconds pause : { 0ms, 50ms }) {
                const FaultyServer sound({ .bytes = "HTTP/1.1 200 OK\r\n\r\nall",
                                           .lateBytes = " of it",
                                           .pause = pause,
                                           .end = end,
                                           .readsRequest = readsRequest });
                const CallRecord record = this->call(
                        { .to = sound.endpoint(), .body = std::string(kLongUpload, 'u') });
                EXPECT_EQ(record.end.outcome, CallOutcome::whole)
                        << record.end.detail << ", request read: " << readsRequest
                        << ", upload read: " << (end == AnswerEnd::orderly);
                EXPECT_EQ(record.body, "all of it");
            }
        }
    }
}

// Guards against a refusal that is lost because the upload can't be written to its end.
TEST_F(HttpPoolTest, AnEarlyRefusalIsReceivedWhileTheUploadRuns)
{
    const std::vector<std::pair<int, std::string>> refusals = {
        { 413, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlong" },
        { 503, "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n" },
        { 503, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Full\r\n\r\nlong" },
    };
    for (const AnswerEnd end : { AnswerEnd::orderly, AnswerEnd::orderlyUnread }) {
        for (const auto &[status, bytes] : refusals) {
            const FaultyServer server({ .bytes = bytes, .end = end });
            const CallRecord record =
                    this->call({ .to = server.endpoint(), .body = std::string(kLongUpload, 'u') });
            EXPECT_EQ(record.end.outcome, CallOutcome::whole) << bytes << record.end.detail;
            EXPECT_EQ(record.status, status);
            EXPECT_EQ(record.body, "long");
        }
    }
}
