#include "http_frontend.h"

#include "clock.h"
#include "log.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace egret {

namespace {

constexpr std::size_t kReadBytes = 8U << 10U;
/// Reading from a connection pauses while more unparsed bytes than this are buffered.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
/// Period at which the phase deadlines of all connections are checked.
constexpr Milliseconds kDeadlineCheckPeriod = 250ms;
/// Limit from the end of a request's head to the end of its body.
constexpr Milliseconds kBodyTimeout = 30s;
/// Limit on the wait for the client to close the connection after the last response.
constexpr Milliseconds kLingerTimeout = 1s;

/// State of a connection. Every phase except `serving` and `closed` has a deadline.
enum class Phase : std::uint8_t {
    idle,      ///< waits for the first byte of a request
    head,      ///< receives the head of a request
    body,      ///< receives the body of a request
    serving,   ///< the response to a request is produced or written
    lingering, ///< waits for the client to close the connection
    closed,
};

/// State that the server shares with its connections.
struct SharedState
{
    HttpFrontendOptions options;
    HttpFrontendHandler handler;
    bool isKeepAliveDisabled{ false };
    std::size_t bufferedBytes{ 0 }; ///< body bytes of all requests not yet answered
};

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// One client connection.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<SharedState> shared)
        : socket(std::move(socket)), shared(std::move(shared)),
          reader({ .kind = HttpMessageKind::request })
    {}

    void start()
    {
        std::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->enterPhase(Phase::idle);
        this->scheduleRead();
    }

    bool isClosed() const { return this->phase == Phase::closed; }
    bool isUnanswered() const
    {
        return this->phase == Phase::head || this->phase == Phase::body
               || this->phase == Phase::serving;
    }

    /// Closes this connection if no byte of a request is received or buffered.
    void closeIfIdle()
    {
        if (this->phase == Phase::idle && this->unparsedInput.empty())
            this->linger();
    }

    void checkDeadline(TimePoint now)
    {
        if (now < this->phaseDeadline || this->phase == Phase::serving)
            return;
        if (this->phase == Phase::head || this->phase == Phase::body)
            this->rejectRequest(408);
        else
            this->close();
    }

    void close()
    {
        if (this->phase == Phase::closed)
            return;
        const bool wasServing = this->phase == Phase::serving;
        this->enterPhase(Phase::closed);
        this->releaseBody();
        std::error_code ignored;
        this->socket.close(ignored);
        if (wasServing && this->disconnectHandler)
            std::exchange(this->disconnectHandler, nullptr)();
    }

    // ConnectionReply uses the following members; `requestNumber` identifies a request of
    // this connection.
    bool isServing(std::uint64_t requestNumber) const
    {
        return this->phase == Phase::serving && this->requestNumber == requestNumber;
    }
    void setDisconnectHandler(std::function<void()> handler)
    {
        this->disconnectHandler = std::move(handler);
    }
    std::size_t pendingBytes() const
    {
        return this->queuedOutput.size() + this->outputInFlight.size();
    }

    /// Queues the head of the response. `length` is the size of the body; if empty, the body is
    /// sent with chunked transfer coding.
    void writeHead(int status, const std::string &contentType, const HttpHeaders &headers,
                   std::optional<std::size_t> length)
    {
        this->isChunked = !length;
        this->keepsAlive = this->keepsAlive && !this->shared->isKeepAliveDisabled;
        std::string head =
                "HTTP/1.1 " + std::to_string(status) + " " + statusPhrase(status) + "\r\n";
        if (!contentType.empty())
            head += "Content-Type: " + contentType + "\r\n";
        for (const auto &[name, value] : headers)
            head += name + ": " + value + "\r\n";
        head += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                       : std::string("Transfer-Encoding: chunked\r\n");
        if (!this->keepsAlive)
            head += "Connection: close\r\n";
        this->queueOutput(head + "\r\n");
    }

    void writeBody(const std::string &bytes)
    {
        if (bytes.empty())
            return;
        if (!this->isChunked)
            return this->queueOutput(bytes);
        std::array<char, 20> chunkHead{};
        const int headSize =
                std::snprintf(chunkHead.data(), chunkHead.size(), "%zx\r\n", bytes.size());
        this->queueOutput(std::string(chunkHead.data(), static_cast<std::size_t>(headSize)) + bytes
                          + "\r\n");
    }

    bool isHeadRequest() const { return this->reader.head().method == "HEAD"; }

    void endResponse()
    {
        if (this->isChunked)
            this->queueOutput("0\r\n\r\n");
        this->disconnectHandler = nullptr;
        this->responseEnded = true;
        if (this->outputInFlight.empty() && this->queuedOutput.empty())
            this->onResponseWritten();
    }

private:
    void enterPhase(Phase next)
    {
        this->phase = next;
        const HttpFrontendBounds &bounds = this->shared->options.bounds;
        const Milliseconds limit = next == Phase::idle        ? bounds.idleTimeout
                                   : next == Phase::head      ? bounds.headTimeout
                                   : next == Phase::lingering ? kLingerTimeout
                                                              : kBodyTimeout;
        this->phaseDeadline = bootNow() + limit;
    }

    void scheduleRead()
    {
        if (this->readInFlight || this->phase == Phase::closed
            || this->unparsedInput.size() > kMaxPipelinedBytes)
            return;
        this->readInFlight = true;
        this->socket.async_read_some(
                asio::buffer(this->input),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    self->readInFlight = false;
                    self->onRead(error, size);
                });
    }

    void onRead(const std::error_code &error, std::size_t size)
    {
        if (this->phase == Phase::closed)
            return;
        if (error)
            return this->close();
        if (this->phase == Phase::lingering)
            return this->scheduleRead();
        this->unparsedInput.append(this->input.data(), size);
        if (this->phase != Phase::serving)
            this->parseInput();
        this->scheduleRead();
    }

    /// Parses the received bytes and dispatches the request once it is complete.
    void parseInput()
    {
        if (this->unparsedInput.empty())
            return;
        if (this->phase == Phase::idle) {
            this->reader.reset();
            this->reader.setBounds(this->shared->options.bounds.maxHeadBytes,
                                   this->shared->options.bounds.maxBodyBytes);
            this->enterPhase(Phase::head);
        }
        const std::size_t consumed = this->reader.feed(this->unparsedInput);
        this->unparsedInput.erase(0, consumed);
        if (this->phase == Phase::head && this->reader.hasHead()) {
            this->enterPhase(Phase::body);
            if (!this->validateHead())
                return;
        }
        if (this->phase == Phase::body)
            this->bufferBody();
        switch (this->reader.fault()) {
        case HttpFault::none:
            break;
        case HttpFault::headTooLarge:
            return this->rejectRequest(431);
        case HttpFault::bodyTooLarge:
            return this->rejectRequest(413);
        default:
            return this->rejectRequest(400);
        }
        if (this->reader.isComplete())
            this->dispatch();
    }

    /// Validates the head and answers `Expect: 100-continue`. Returns false after
    /// rejecting the request.
    bool validateHead()
    {
        const HttpHead &head = this->reader.head();
        const auto hostCount = std::ranges::count_if(head.headers, [](const auto &header) {
            return isSameHeaderName(header.first, "host");
        });
        if (this->reader.fault() == HttpFault::none
            && (hostCount != 1 || head.method == "CONNECT")) {
            this->rejectRequest(400);
            return false;
        }
        if (head.hasBody && this->shared->bufferedBytes > this->shared->options.maxBufferedBytes) {
            this->rejectRequest(503);
            return false;
        }
        if (head.hasBody && !this->reader.isComplete()
            && isSameHeaderName(headerValue(head.headers, "Expect"), "100-continue"))
            this->queueOutput("HTTP/1.1 100 Continue\r\n\r\n");
        return true;
    }

    /// Moves the parsed body bytes to `body` and counts them towards maxBufferedBytes.
    void bufferBody()
    {
        const std::string part = this->reader.takeBody();
        this->body += part;
        this->bodyBytes += part.size();
        this->shared->bufferedBytes += part.size();
    }

    /// Discards `body` and stops counting its bytes as buffered.
    void releaseBody()
    {
        this->shared->bufferedBytes -= std::exchange(this->bodyBytes, 0);
        this->body.clear();
    }

    /// Passes the complete request to the handler.
    void dispatch();

    /// Sends an error status for a request that was not dispatched, then closes the connection.
    void rejectRequest(int status)
    {
        logInfo("request rejected before dispatch",
                { { "status", status }, { "fault", httpFaultName(this->reader.fault()) } });
        this->keepsAlive = false;
        this->unparsedInput.clear();
        this->enterPhase(Phase::serving);
        ++this->requestNumber;
        HttpHeaders headers;
        if (status == 503)
            headers.emplace_back("Retry-After", "1");
        this->writeHead(status, "", headers, 0);
        this->endResponse();
    }

    void queueOutput(std::string_view bytes)
    {
        this->queuedOutput.append(bytes);
        this->flush();
    }

    /// Starts writing the queued output unless a write is in flight.
    void flush()
    {
        if (!this->outputInFlight.empty() || this->queuedOutput.empty()
            || this->phase == Phase::closed)
            return;
        this->outputInFlight.swap(this->queuedOutput);
        asio::async_write(
                this->socket, asio::buffer(this->outputInFlight),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
                    self->outputInFlight.clear();
                    if (error)
                        return self->close();
                    self->flush();
                    if (self->responseEnded && self->outputInFlight.empty())
                        self->onResponseWritten();
                });
    }

    void onResponseWritten()
    {
        if (this->phase != Phase::serving)
            return;
        this->responseEnded = false;
        this->releaseBody();
        if (!this->keepsAlive)
            return this->linger();
        this->enterPhase(Phase::idle);
        this->parseInput();
        this->scheduleRead();
    }

    /// Shuts down sending and waits for the client to close the connection. If the server closed
    /// the connection with unread input, the kernel would reset the connection, and the client
    /// would lose the response bytes that it has not read.
    void linger()
    {
        this->enterPhase(Phase::lingering);
        std::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->unparsedInput.clear();
        this->scheduleRead();
    }

    asio::ip::tcp::socket socket;
    std::shared_ptr<SharedState> shared;
    HttpReader reader;
    Phase phase{ Phase::idle };
    TimePoint phaseDeadline;
    std::array<char, kReadBytes> input{};
    bool readInFlight{ false };
    std::string unparsedInput;
    std::string body;
    std::size_t bodyBytes{ 0 }; ///< this connection's part of SharedState::bufferedBytes
    std::string queuedOutput;
    std::string outputInFlight;
    bool isChunked{ false };
    bool keepsAlive{ true };
    bool responseEnded{ false };      ///< the complete response is queued or written
    std::uint64_t requestNumber{ 0 }; ///< number of the last dispatched or rejected request
    std::function<void()> disconnectHandler;
};

/// The response to one request of a connection.
class ConnectionReply : public AbortableReply
{
public:
    ConnectionReply(ConnectionPtr connection, std::uint64_t requestNumber)
        : connection(std::move(connection)), requestNumber(requestNumber)
    {}
    ~ConnectionReply() override
    {
        // If the handler drops the reply before the response is complete, the client must not
        // wait for the rest.
        if (this->connection->isServing(this->requestNumber) && !this->isEnded)
            this->connection->close();
    }
    ConnectionReply(const ConnectionReply &) = delete;
    ConnectionReply &operator=(const ConnectionReply &) = delete;

    void send(int status, const std::string &contentType, const std::string &body,
              const HttpHeaders &headers) override
    {
        if (!this->isServing() || this->isStarted)
            return;
        this->isStarted = this->isEnded = true;
        this->connection->writeHead(status, contentType, headers, body.size());
        if (!this->connection->isHeadRequest())
            this->connection->writeBody(body);
        this->connection->endResponse();
    }

    void start(int status, const std::string &contentType, const HttpHeaders &headers) override
    {
        if (!this->isServing() || this->isStarted)
            return;
        this->isStarted = true;
        this->connection->writeHead(status, contentType, headers, std::nullopt);
    }

    void write(const std::string &bytes) override
    {
        if (this->isServing() && this->isStarted && !this->isEnded)
            this->connection->writeBody(bytes);
    }

    void finish() override
    {
        if (!this->isServing() || !this->isStarted || this->isEnded)
            return;
        this->isEnded = true;
        this->connection->endResponse();
    }

    void abort() override
    {
        if (!this->isServing() || this->isEnded)
            return;
        this->isEnded = true;
        this->connection->setDisconnectHandler(nullptr);
        this->connection->close();
    }

    bool gone() const override { return !this->connection->isServing(this->requestNumber); }
    std::size_t pendingBytes() const override { return this->connection->pendingBytes(); }

    void onClientDisconnected(std::function<void()> handler) override
    {
        if (this->isServing())
            this->connection->setDisconnectHandler(std::move(handler));
    }

private:
    bool isServing() const { return this->connection->isServing(this->requestNumber); }

    ConnectionPtr connection;
    std::uint64_t requestNumber;
    bool isStarted{ false };
    bool isEnded{ false };
};

void Connection::dispatch()
{
    const HttpHead &head = this->reader.head();
    this->keepsAlive = head.keepsAlive && !this->shared->isKeepAliveDisabled;
    this->enterPhase(Phase::serving);
    const auto query = head.target.find('?');
    HttpRequest request{ .method = head.method,
                         .target = head.target,
                         .path = head.target.substr(0, query),
                         .headers = head.headers,
                         .body = std::move(this->body) };
    this->body.clear();
    this->shared->handler(
            std::move(request),
            std::make_shared<ConnectionReply>(this->shared_from_this(), ++this->requestNumber));
}

} // namespace

const char *statusPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

class HttpFrontend::Impl : public std::enable_shared_from_this<HttpFrontend::Impl>
{
public:
    Impl(asio::io_context &context, HttpFrontendOptions options, HttpFrontendHandler handler)
        : context(context), acceptor(context), timer(context),
          shared(std::make_shared<SharedState>())
    {
        this->shared->options = std::move(options);
        this->shared->handler = std::move(handler);
    }

    bool start(Reason<std::error_code> &reason)
    {
        const Endpoint &listen = this->shared->options.listen;
        const auto address = asio::ip::make_address(listen.address, reason.code);
        if (reason.code)
            return false;
        const asio::ip::tcp::endpoint endpoint(address, listen.port);
        this->acceptor.open(endpoint.protocol(), reason.code);
        if (!reason.code)
            this->acceptor.set_option(asio::socket_base::reuse_address(true), reason.code);
        if (!reason.code)
            this->acceptor.bind(endpoint, reason.code);
        if (!reason.code)
            this->acceptor.listen(asio::socket_base::max_listen_connections, reason.code);
        if (reason.code)
            return false;
        this->scheduleAccept();
        this->scheduleDeadlineCheck();
        return true;
    }

    void stop()
    {
        std::error_code ignored;
        this->acceptor.close(ignored);
        this->timer.cancel();
        this->stopped = true;
        for (const ConnectionPtr &connection : std::exchange(this->connections, {}))
            connection->close();
    }

    void closeIdle()
    {
        for (const ConnectionPtr &connection : this->connections)
            connection->closeIfIdle();
    }

    std::size_t unansweredCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                this->connections, [](const auto &each) { return each->isUnanswered(); }));
    }

    std::shared_ptr<SharedState> sharedState() const { return this->shared; }

private:
    void scheduleAccept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](
                                            const std::error_code &error,
                                            asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || self->stopped)
                return;
            if (!error && self->connections.size() < self->shared->options.maxConnections) {
                auto connection = std::make_shared<Connection>(std::move(socket), self->shared);
                self->connections.insert(connection);
                connection->start();
            }
            self->scheduleAccept();
        });
    }

    void scheduleDeadlineCheck()
    {
        this->timer.expires_after(kDeadlineCheckPeriod);
        this->timer.async_wait([self = this->shared_from_this()](const std::error_code &error) {
            if (error || self->stopped)
                return;
            const TimePoint now = bootNow();
            // Iterates over a copy because the disconnect handler of a closed connection may
            // change the set.
            const auto currentConnections = self->connections;
            for (const ConnectionPtr &connection : currentConnections)
                connection->checkDeadline(now);
            std::erase_if(self->connections, [](const auto &each) { return each->isClosed(); });
            self->scheduleDeadlineCheck();
        });
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    std::shared_ptr<SharedState> shared;
    std::set<ConnectionPtr> connections;
    bool stopped{ false };
};

HttpFrontend::HttpFrontend(asio::io_context &context, HttpFrontendOptions options,
                           HttpFrontendHandler handler)
    : impl(std::make_shared<Impl>(context, std::move(options), std::move(handler)))
{}

HttpFrontend::~HttpFrontend()
{
    this->impl->stop();
}

bool HttpFrontend::start(Reason<std::error_code> &reason)
{
    return this->impl->start(reason);
}

void HttpFrontend::setBounds(const HttpFrontendBounds &bounds)
{
    this->impl->sharedState()->options.bounds = bounds;
}

void HttpFrontend::disableKeepAlive()
{
    this->impl->sharedState()->isKeepAliveDisabled = true;
}

void HttpFrontend::closeIdle()
{
    this->impl->closeIdle();
}

std::size_t HttpFrontend::unansweredCount() const
{
    return this->impl->unansweredCount();
}

void HttpFrontend::stop()
{
    this->impl->stop();
}

} // namespace egret
