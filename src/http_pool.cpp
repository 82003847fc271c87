#include "http_pool.h"

#include "buffer_budget.h"
#include "clock.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace egret {

namespace {

constexpr std::size_t kReadBytes = 8U << 10U;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
/// The kernel closes a connection when sent bytes stay unacknowledged for this time.
/// Otherwise an unresponsive server would hold requests until their deadline.
constexpr Milliseconds kTcpUserTimeout = 1500ms;
/// Longest idle time after which a connection is still reused. `reuseTimeLimit` returns a
/// shorter time if the server advertises a short idle timeout.
constexpr Milliseconds kMaxIdleTime = 4s;
/// Longest idle time of a connection that is reused for a request that must not run twice.
/// After a longer idle time, the server is more likely to be closing the connection, and a lost
/// request that must not run twice can't be retried.
constexpr Milliseconds kMaxIdleTimeNonIdempotent = 700ms;
/// Period at which connect deadlines and idle times are checked.
constexpr Milliseconds kDeadlineCheckPeriod = 100ms;

/// Returns half of the idle timeout that the Keep-Alive header advertises, but at most
/// kMaxIdleTime. Returns kMaxIdleTime when the header advertises no timeout.
Milliseconds reuseTimeLimit(const HttpHeaders &headers)
{
    static constexpr std::string_view prefix = "timeout=";
    const std::string text = headerValue(headers, "Keep-Alive");
    const auto position = text.find(prefix);
    if (position == std::string::npos)
        return kMaxIdleTime;
    int seconds = 0;
    std::from_chars(text.data() + position + prefix.size(), text.data() + text.size(), seconds);
    return std::min<Milliseconds>(kMaxIdleTime, Seconds(seconds) / 2);
}

class PooledConnection;
using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

/// Callbacks, counters and the budget of memory that the pool shares with its connections.
struct PoolState
{
    explicit PoolState(const HttpPoolOptions &options)
        : headBuffers(
                { .maxBytesEach = options.maxHeadBytes, .maxBytesTotal = options.maxHeadBytes })
    {}

    std::function<void(const PooledConnectionPtr &)> onIdle;
    std::function<void(const PooledConnectionPtr &)> onClosed;
    HttpPoolCounters counters;
    BufferBudget<PooledConnection *> headBuffers;
};

/// One connection to a server with at most one call at a time.
class PooledConnection : public std::enable_shared_from_this<PooledConnection>
{
public:
    PooledConnection(asio::io_context &context, PoolState &poolState, Endpoint server)
        : server(std::move(server)), socket(context), poolState(poolState),
          reader({ .kind = HttpMessageKind::response, .maxHeadBytes = kMaxHeadBytes })
    {}

    /// Opens the connection and sends `newCall`, its first call.
    void open(std::uint64_t callId, OutboundCall &&newCall)
    {
        this->assign(callId, std::move(newCall));
        this->connectDeadline = bootNow() + this->call.connectTimeout;
        std::error_code error;
        const auto address = asio::ip::make_address(this->server.address, error);
        if (error) {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
                self->fail(CallOutcome::unsent, "server address is not an IP address");
            });
            return;
        }
        this->socket.async_connect(
                { address, this->server.port },
                [self = this->shared_from_this()](const std::error_code &connectError) {
                    if (self->isClosed)
                        return;
                    if (connectError) {
                        ++self->poolState.counters.failed;
                        return self->fail(CallOutcome::unsent, connectError.message());
                    }
                    self->isConnected = true;
                    self->setSocketOptions();
                    self->send();
                });
    }

    /// Sends `newCall` on this idle connection. Returns false, without sending, when the server
    /// has closed the connection or has sent bytes that belong to no call.
    bool tryReuse(std::uint64_t callId, OutboundCall &newCall)
    {
        char byte = 0;
        const auto peekedBytes =
                ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (peekedBytes >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            return false;
        this->assign(callId, std::move(newCall));
        this->send();
        return true;
    }

    bool isIdle() const { return !this->hasCall && !this->isClosed; }
    bool closed() const { return this->isClosed; }
    /// Time after which this connection, if idle, is no longer reused for a request.
    /// `mayRunTwice` means the same as in OutboundCall.
    TimePoint usableUntil(bool mayRunTwice) const
    {
        return this->lastUsed
               + std::min(this->idleTimeLimit,
                          mayRunTwice ? kMaxIdleTime : kMaxIdleTimeNonIdempotent);
    }
    TimePoint lastUsedAt() const { return this->lastUsed; }
    std::uint64_t currentCallId() const { return this->callId; }

    void checkDeadlines(TimePoint now)
    {
        if (this->isClosed)
            return;
        if (!this->isConnected && now >= this->connectDeadline) {
            ++this->poolState.counters.failed;
            this->fail(CallOutcome::unsent, "connect timed out");
        } else if (this->hasCall && this->callDeadline && now >= *this->callDeadline) {
            this->fail(this->isConnected ? CallOutcome::broken : CallOutcome::unsent, "timed out");
        } else if (this->isIdle() && now >= this->usableUntil(true)) {
            this->close();
        }
    }

    void close()
    {
        if (std::exchange(this->isClosed, true))
            return;
        std::error_code ignored;
        this->socket.close(ignored);
        this->call = {};
        this->releaseHead();
        this->poolState.onClosed(this->shared_from_this());
    }

    const Endpoint server;

private:
    void assign(std::uint64_t newCallId, OutboundCall &&newCall)
    {
        this->callId = newCallId;
        this->call = std::move(newCall);
        this->hasCall = true;
        ++this->callCount;
        this->receivedBytes = 0;
        this->callDeadline.reset();
        if (this->call.timeLimit)
            this->callDeadline = bootNow() + *this->call.timeLimit;
        this->reader.setBounds(kMaxHeadBytes, this->call.maxResponseBytes);
    }

    void setSocketOptions()
    {
        std::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const int timeoutMs = static_cast<int>(kTcpUserTimeout.count());
        ::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs,
                     sizeof(timeoutMs));
    }

    void send()
    {
        this->reader.reset();
        if (this->call.isHeadRequest)
            this->reader.expectNoBody();
        this->headDelivered = this->requestWritten = this->isMismatched = false;
        this->writeError.clear();
        const std::array<asio::const_buffer, 2> buffers = {
            asio::buffer(this->call.head),
            asio::buffer(this->call.sharedBody ? *this->call.sharedBody : this->call.body)
        };
        asio::async_write(this->socket, buffers,
                          [self = this->shared_from_this(),
                           callId = this->callId](const std::error_code &error, std::size_t) {
                              if (self->isClosed || self->callId != callId)
                                  return;
                              // A write error doesn't end the call: a response that the server
                              // sent earlier may still be read.
                              self->requestWritten = !error;
                              self->writeError = error;
                          });
        this->read();
    }

    void read()
    {
        if (this->readInFlight || this->isClosed)
            return;
        this->readInFlight = true;
        this->socket.async_read_some(
                asio::buffer(this->input),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    self->readInFlight = false;
                    if (!self->isClosed)
                        self->onRead(error, size);
                });
    }

    void onRead(const std::error_code &error, std::size_t size)
    {
        if (!this->hasCall) {
            if (!error)
                ++this->poolState.counters.surplus;
            return this->close();
        }
        if (error == asio::error::eof)
            return this->deferEndOfInput();
        if (error)
            return this->failOn(error);
        this->receivedBytes += size;
        if (this->receivedBytes > this->call.maxResponseBytes)
            return this->fail(CallOutcome::malformed, "response-too-large");
        if (!this->processInput(std::string_view(this->input.data(), size)))
            return;
        this->limitHeads();
        this->read();
    }

    /// Counts the memory of the head that is being received. Ends the call with the largest head,
    /// which may be this one, when all heads together take too much.
    void limitHeads()
    {
        const std::size_t bytes = this->reader.headCapacity();
        if (bytes == 0 && this->countedHeadBytes == 0)
            return;
        this->countedHeadBytes = bytes;
        if (const auto excessive = this->poolState.headBuffers.set(this, bytes)) {
            const auto connection = (*excessive)->shared_from_this();
            connection->fail(CallOutcome::malformed, "heads-too-large-together");
        }
    }

    /// Releases the memory of a head that is being received.
    void releaseHead()
    {
        this->reader.reset();
        if (std::exchange(this->countedHeadBytes, 0) > 0)
            this->poolState.headBuffers.set(this, 0);
    }

    /// Handles the end of the input behind the handlers that are ready: a write of the request that
    /// has failed may be among them, and its error decides what the end means.
    void deferEndOfInput()
    {
        asio::post(this->socket.get_executor(),
                   [self = this->shared_from_this(), callId = this->callId] {
                       if (!self->isClosed && self->callId == callId)
                           self->onEndOfInput();
                   });
    }

    /// Tells an orderly close, for which a read returns the end of the input, from an error that
    /// the write of the request has received: a socket reports an error only once, and reads then
    /// return the end of the input as well. After an orderly close by the server, a write fails
    /// with `broken_pipe` instead.
    void onEndOfInput()
    {
        if (this->writeError && this->writeError != asio::error::broken_pipe)
            return this->failOn(this->writeError);
        this->reader.finish();
        this->reachedEof = true;
        this->processInput({});
    }

    /// Ends the call because of an error of the socket.
    void failOn(const std::error_code &error)
    {
        this->wasReset = error == asio::error::connection_reset;
        this->fail(CallOutcome::broken, error.message());
    }

    /// Parses bytes of the response. Returns true when more bytes must be read.
    bool processInput(std::string_view bytes)
    {
        while (true) {
            const std::size_t consumed = this->reader.isComplete() ? 0 : this->reader.feed(bytes);
            bytes.remove_prefix(consumed);
            if (!this->deliver())
                return false;
            if (this->reader.fault() != HttpFault::none) {
                const bool isTruncated = this->reader.fault() == HttpFault::truncated;
                this->fail(isTruncated ? CallOutcome::broken : CallOutcome::malformed,
                           this->reader.faultReason());
                return false;
            }
            if (!this->reader.isComplete())
                return true;
            if (!this->isMismatched)
                return this->finish(!bytes.empty());
            // Skip the late response to another request: the expected response may follow.
            ++this->poolState.counters.skipped;
            this->hasSkippedResponse = true;
            if (this->reachedEof || !this->keepsAlive) {
                this->fail(CallOutcome::broken, "response to another request");
                return false;
            }
            this->reader.reset();
            this->headDelivered = this->isMismatched = false;
            if (bytes.empty())
                return true;
        }
    }

    /// Passes the parsed head and body bytes to the callbacks. Returns false when the call has
    /// ended, because a callback cancelled it or the response may belong to another request.
    bool deliver()
    {
        const std::uint64_t callIdBefore = this->callId;
        if (this->reader.hasHead() && !std::exchange(this->headDelivered, true)) {
            const ResponseMatch match = this->call.matchResponse
                                                ? this->call.matchResponse(this->reader.head())
                                                : ResponseMatch::own;
            const bool isOnlyRequest = this->callCount == 1 && !this->hasSkippedResponse;
            if (match == ResponseMatch::unidentified && !isOnlyRequest) {
                this->fail(CallOutcome::broken, "unidentified response");
                return false;
            }
            this->isMismatched = match == ResponseMatch::other;
            this->keepsAlive = this->reader.head().keepsAlive;
            this->idleTimeLimit = reuseTimeLimit(this->reader.head().headers);
            if (!this->isMismatched) {
                HttpHead head = this->reader.takeHead();
                if (const auto callback = this->call.onHead)
                    callback(std::move(head));
            }
        }
        if (this->isClosed || this->callId != callIdBefore)
            return false;
        std::string part = this->reader.takeBody();
        if (!part.empty() && !this->isMismatched && this->call.onBody) {
            const auto callback = this->call.onBody;
            callback(std::move(part));
        }
        return !this->isClosed && this->callId == callIdBefore;
    }

    /// Completes the call. `hasSurplus` says that bytes followed the response. The connection
    /// stays open for reuse when the request was written completely and no bytes other than its
    /// response were received. Returns true when the connection is open: the caller then reads
    /// on to detect a close by the server.
    bool finish(bool hasSurplus)
    {
        const auto onEnd = std::move(this->call.onEnd);
        const bool canReuse = this->call.keepsConnection && this->keepsAlive && this->requestWritten
                              && !hasSurplus && !this->reachedEof && !this->hasSkippedResponse;
        if (hasSurplus)
            ++this->poolState.counters.surplus;
        this->releaseHead();
        this->call = {};
        this->callId = 0;
        this->hasCall = false;
        this->lastUsed = bootNow();
        if (canReuse)
            this->poolState.onIdle(this->shared_from_this());
        else
            this->close();
        if (onEnd)
            onEnd(CallEnd{});
        // `onEnd` may have started another call on this connection.
        return !this->isClosed;
    }

    void fail(CallOutcome outcome, const std::string &detail)
    {
        const auto onEnd = std::move(this->call.onEnd);
        this->hasCall = false;
        this->callId = 0;
        this->close();
        const bool isServerClose =
                outcome == CallOutcome::broken && (this->reachedEof || this->wasReset);
        if (this->receivedBytes > 0)
            ++this->poolState.counters.brokenResponses[detail];
        if (onEnd)
            onEnd({ .outcome = outcome,
                    .detail = detail,
                    .isServerClose = isServerClose,
                    .discardedBytes = this->receivedBytes });
    }

    asio::ip::tcp::socket socket;
    PoolState &poolState;
    HttpReader reader;
    OutboundCall call;
    std::uint64_t callId{ 0 };
    std::array<char, kReadBytes> input{};
    bool isConnected{ false };
    bool hasCall{ false };
    std::uint64_t callCount{ 0 }; ///< calls on this connection until now
    bool readInFlight{ false };
    bool requestWritten{ false };
    std::error_code writeError; ///< of the request of the current call
    bool headDelivered{ false };
    bool keepsAlive{ false }; ///< the head of the current response lets the connection be reused
    std::size_t countedHeadBytes{ 0 }; ///< counted in `PoolState::headBuffers`
    bool isMismatched{ false };        ///< the current response belongs to another request
    bool hasSkippedResponse{ false };
    bool reachedEof{ false };
    bool wasReset{ false };
    bool isClosed{ false };
    std::size_t receivedBytes{ 0 }; ///< bytes received during the call
    TimePoint connectDeadline;
    std::optional<TimePoint> callDeadline;
    TimePoint lastUsed;
    Milliseconds idleTimeLimit{ kMaxIdleTime };
};

} // namespace

class HttpPool::Impl : public std::enable_shared_from_this<HttpPool::Impl>
{
public:
    Impl(asio::io_context &context, const HttpPoolOptions &options)
        : poolState(options), context(context), timer(context)
    {
        this->poolState.onIdle = [](const PooledConnectionPtr &) {};
        this->poolState.onClosed = [this](const PooledConnectionPtr &connection) {
            this->remove(connection);
        };
    }

    std::uint64_t start(OutboundCall &&call)
    {
        const std::uint64_t callId = ++this->lastCallId;
        auto &connections = this->connectionsByServer[call.to];
        if (this->reuseIdle(connections, callId, call))
            return callId;
        if (connections.size() >= call.maxConnections) {
            asio::post(this->context, [onEnd = std::move(call.onEnd)] {
                onEnd({ .outcome = CallOutcome::unsent, .detail = "connection-limit" });
            });
            return callId;
        }
        auto connection =
                std::make_shared<PooledConnection>(this->context, this->poolState, call.to);
        connections.push_back(connection);
        ++this->poolState.counters.opened;
        connection->open(callId, std::move(call));
        return callId;
    }

    void cancel(std::uint64_t callId)
    {
        for (auto &[server, connections] : this->connectionsByServer) {
            for (const PooledConnectionPtr &connection : connections) {
                if (connection->currentCallId() == callId) {
                    // Keeps a copy because `close` erases the element to which `connection` refers.
                    const PooledConnectionPtr cancelledConnection = connection;
                    cancelledConnection->close();
                    return;
                }
            }
        }
    }

    void closeIdleConnections(const Endpoint &server)
    {
        const auto found = this->connectionsByServer.find(server);
        if (found == this->connectionsByServer.end())
            return;
        const auto allConnections = found->second;
        for (const PooledConnectionPtr &connection : allConnections) {
            if (connection->isIdle())
                connection->close();
        }
    }

    void scheduleDeadlineCheck()
    {
        this->timer.expires_after(kDeadlineCheckPeriod);
        this->timer.async_wait([weak = this->weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            const TimePoint now = bootNow();
            std::vector<PooledConnectionPtr> allConnections;
            for (const auto &[server, connections] : self->connectionsByServer)
                allConnections.insert(allConnections.end(), connections.begin(), connections.end());
            for (const PooledConnectionPtr &connection : allConnections)
                connection->checkDeadlines(now);
            self->scheduleDeadlineCheck();
        });
    }

    void stop()
    {
        this->timer.cancel();
        const auto allConnections = std::exchange(this->connectionsByServer, {});
        for (const auto &[server, connections] : allConnections) {
            for (const PooledConnectionPtr &connection : connections)
                connection->close();
        }
    }

    PoolState poolState;

private:
    /// Sends the call on the most recently used idle connection. Returns false when no
    /// connection is usable.
    bool reuseIdle(std::vector<PooledConnectionPtr> &connections, std::uint64_t callId,
                   OutboundCall &call)
    {
        while (true) {
            const TimePoint now = bootNow();
            PooledConnectionPtr mostRecent;
            for (const PooledConnectionPtr &connection : connections) {
                const bool isUsable =
                        connection->isIdle() && now < connection->usableUntil(call.mayRunTwice);
                if (isUsable
                    && (!mostRecent || connection->lastUsedAt() > mostRecent->lastUsedAt()))
                    mostRecent = connection;
            }
            if (!mostRecent)
                return false;
            if (mostRecent->tryReuse(callId, call)) {
                ++this->poolState.counters.reused;
                return true;
            }
            mostRecent->close();
        }
    }

    void remove(const PooledConnectionPtr &connection)
    {
        const auto found = this->connectionsByServer.find(connection->server);
        if (found == this->connectionsByServer.end())
            return;
        std::erase(found->second, connection);
    }

    asio::io_context &context;
    asio::steady_timer timer;
    std::map<Endpoint, std::vector<PooledConnectionPtr>> connectionsByServer;
    std::uint64_t lastCallId{ 0 };
};

HttpPool::HttpPool(asio::io_context &context, HttpPoolOptions options)
    : impl(std::make_shared<Impl>(context, options))
{
    this->impl->scheduleDeadlineCheck();
}

HttpPool::~HttpPool()
{
    this->impl->stop();
}

std::uint64_t HttpPool::start(OutboundCall call)
{
    return this->impl->start(std::move(call));
}

void HttpPool::cancel(std::uint64_t callId)
{
    this->impl->cancel(callId);
}

void HttpPool::closeIdleConnections(const Endpoint &server)
{
    this->impl->closeIdleConnections(server);
}

const HttpPoolCounters &HttpPool::counters() const
{
    return this->impl->poolState.counters;
}

} // namespace egret
