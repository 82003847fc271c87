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
/// Bytes that a client may send ahead while its request is served.
constexpr std::size_t kMaxAhead = 64U << 10U;
constexpr Milliseconds kSweepPeriod = 250ms;
/// A body must arrive within this time, and a closed connection end.
constexpr Milliseconds kBodyTimeout = 30s;
constexpr Milliseconds kLinger = 1s;

enum class Phase : std::uint8_t { idle, head, body, serving, lingering, closed };

struct FrontShared
{
    HttpFrontendOptions options;
    HttpFrontendHandler handler;
    bool closing{ false };
    std::size_t heldBytes{ 0 };
};

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// One client connection.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<FrontShared> shared)
        : socket(std::move(socket)), shared(std::move(shared)),
          reader({ .side = HttpSide::request })
    {}

    void start()
    {
        std::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->enter(Phase::idle);
        this->readMore();
    }

    bool isClosed() const { return this->phase == Phase::closed; }
    bool isUnanswered() const
    {
        return this->phase == Phase::head || this->phase == Phase::body
               || this->phase == Phase::serving;
    }

    void closeIfIdle()
    {
        if (this->phase == Phase::idle && this->pending.empty())
            this->linger();
    }

    void sweep(TimePoint now)
    {
        if (now < this->expiresAt || this->phase == Phase::serving)
            return;
        if (this->phase == Phase::head || this->phase == Phase::body)
            this->refuse(408);
        else
            this->close();
    }

    void close()
    {
        if (this->phase == Phase::closed)
            return;
        const bool wasServing = this->phase == Phase::serving;
        this->enter(Phase::closed);
        this->release();
        std::error_code ignored;
        this->socket.close(ignored);
        if (wasServing && this->goneWork)
            std::exchange(this->goneWork, nullptr)();
    }

    // What a reply does; `turn` tells the answers of one connection apart.
    bool serves(std::uint64_t turn) const
    {
        return this->phase == Phase::serving && this->turn == turn;
    }
    void setGoneWork(std::function<void()> work) { this->goneWork = std::move(work); }
    std::size_t pendingBytes() const { return this->outgoing.size() + this->writing.size(); }

    void writeHead(int status, const std::string &contentType, const HttpHeaders &headers,
                   std::optional<std::size_t> length)
    {
        this->isChunked = !length;
        this->keepsAlive = this->keepsAlive && !this->shared->closing;
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
        this->queue(head + "\r\n");
    }

    void writeBody(const std::string &bytes)
    {
        if (bytes.empty())
            return;
        if (!this->isChunked)
            return this->queue(bytes);
        std::array<char, 20> size{};
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        this->queue(std::string(size.data(), static_cast<std::size_t>(digits)) + bytes + "\r\n");
    }

    bool isForHead() const { return this->reader.head().method == "HEAD"; }

    void endAnswer()
    {
        if (this->isChunked)
            this->queue("0\r\n\r\n");
        this->goneWork = nullptr;
        this->answered = true;
        if (this->writing.empty() && this->outgoing.empty())
            this->afterAnswer();
    }

private:
    void enter(Phase next)
    {
        this->phase = next;
        const HttpFrontendBounds &bounds = this->shared->options.bounds;
        const Milliseconds limit = next == Phase::idle        ? bounds.idleTimeout
                                   : next == Phase::head      ? bounds.headTimeout
                                   : next == Phase::lingering ? kLinger
                                                              : kBodyTimeout;
        this->expiresAt = bootNow() + limit;
    }

    void readMore()
    {
        if (this->reading || this->phase == Phase::closed || this->pending.size() > kMaxAhead)
            return;
        this->reading = true;
        this->socket.async_read_some(
                asio::buffer(this->input),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    self->reading = false;
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
            return this->readMore();
        this->pending.append(this->input.data(), size);
        if (this->phase != Phase::serving)
            this->process();
        this->readMore();
    }

    /// Reads as much of a request as has arrived.
    void process()
    {
        if (this->pending.empty())
            return;
        if (this->phase == Phase::idle) {
            this->reader.reset();
            this->reader.setBounds(this->shared->options.bounds.maxHeadBytes,
                                   this->shared->options.bounds.maxBodyBytes);
            this->enter(Phase::head);
        }
        const std::size_t used = this->reader.feed(this->pending);
        this->pending.erase(0, used);
        if (this->phase == Phase::head && this->reader.headDone()) {
            this->enter(Phase::body);
            if (!this->admitBody())
                return;
        }
        if (this->phase == Phase::body)
            this->hold();
        switch (this->reader.fault()) {
        case HttpFault::none:
            break;
        case HttpFault::headTooLarge:
            return this->refuse(431);
        case HttpFault::bodyTooLarge:
            return this->refuse(413);
        default:
            return this->refuse(400);
        }
        if (this->reader.whole())
            this->dispatch();
    }

    /// Checks a head; false when the request was refused.
    bool admitBody()
    {
        const HttpHead &head = this->reader.head();
        const auto hosts = std::ranges::count_if(
                head.headers, [](const auto &header) { return sameHeader(header.first, "host"); });
        if (this->reader.fault() == HttpFault::none && (hosts != 1 || head.method == "CONNECT")) {
            this->refuse(400);
            return false;
        }
        if (head.hasBody && this->shared->heldBytes > this->shared->options.maxHeldBytes) {
            this->refuse(503);
            return false;
        }
        if (head.hasBody && !this->reader.whole()
            && sameHeader(headerValue(head.headers, "Expect"), "100-continue"))
            this->queue("HTTP/1.1 100 Continue\r\n\r\n");
        return true;
    }

    /// Moves body bytes from the reader and counts them.
    void hold()
    {
        const std::string part = this->reader.takeBody();
        this->body += part;
        this->held += part.size();
        this->shared->heldBytes += part.size();
    }

    void release()
    {
        this->shared->heldBytes -= std::exchange(this->held, 0);
        this->body.clear();
    }

    void dispatch();

    /// Answers a request that could not be read, and closes.
    void refuse(int status)
    {
        logInfo("request was not read",
                { { "status", status }, { "fault", httpFaultName(this->reader.fault()) } });
        this->keepsAlive = false;
        this->pending.clear();
        this->enter(Phase::serving);
        ++this->turn;
        HttpHeaders headers;
        if (status == 503)
            headers.emplace_back("Retry-After", "1");
        this->writeHead(status, "", headers, 0);
        this->endAnswer();
    }

    void queue(std::string_view bytes)
    {
        this->outgoing.append(bytes);
        this->flush();
    }

    void flush()
    {
        if (!this->writing.empty() || this->outgoing.empty() || this->phase == Phase::closed)
            return;
        this->writing.swap(this->outgoing);
        asio::async_write(
                this->socket, asio::buffer(this->writing),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
                    self->writing.clear();
                    if (error)
                        return self->close();
                    self->flush();
                    if (self->answered && self->writing.empty())
                        self->afterAnswer();
                });
    }

    void afterAnswer()
    {
        if (this->phase != Phase::serving)
            return;
        this->answered = false;
        this->release();
        if (!this->keepsAlive)
            return this->linger();
        this->enter(Phase::idle);
        this->process();
        this->readMore();
    }

    /// Says that no more comes and waits for the client to close, so that
    /// unread bytes don't reset what it has yet to read.
    void linger()
    {
        this->enter(Phase::lingering);
        std::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->pending.clear();
        this->readMore();
    }

    asio::ip::tcp::socket socket;
    std::shared_ptr<FrontShared> shared;
    HttpReader reader;
    Phase phase{ Phase::idle };
    TimePoint expiresAt;
    std::array<char, kReadBytes> input{};
    bool reading{ false };
    std::string pending; ///< read and not yet parsed
    std::string body;
    std::size_t held{ 0 };
    std::string outgoing;
    std::string writing;
    bool isChunked{ false };
    bool keepsAlive{ true };
    bool answered{ false };
    std::uint64_t turn{ 0 };
    std::function<void()> goneWork;
};

/// The answer to one request of a connection.
class ConnectionReply : public AbortableReply
{
public:
    ConnectionReply(ConnectionPtr connection, std::uint64_t turn)
        : connection(std::move(connection)), turn(turn)
    {}
    ~ConnectionReply() override
    {
        // A request that nobody answers must not hold its client.
        if (this->connection->serves(this->turn) && !this->ended)
            this->connection->close();
    }
    ConnectionReply(const ConnectionReply &) = delete;
    ConnectionReply &operator=(const ConnectionReply &) = delete;

    void send(int status, const std::string &contentType, const std::string &body,
              const HttpHeaders &headers) override
    {
        if (!this->serves() || this->started)
            return;
        this->started = this->ended = true;
        this->connection->writeHead(status, contentType, headers, body.size());
        if (!this->connection->isForHead())
            this->connection->writeBody(body);
        this->connection->endAnswer();
    }

    void start(int status, const std::string &contentType, const HttpHeaders &headers) override
    {
        if (!this->serves() || this->started)
            return;
        this->started = true;
        this->connection->writeHead(status, contentType, headers, std::nullopt);
    }

    void write(const std::string &bytes) override
    {
        if (this->serves() && this->started && !this->ended)
            this->connection->writeBody(bytes);
    }

    void finish() override
    {
        if (!this->serves() || !this->started || this->ended)
            return;
        this->ended = true;
        this->connection->endAnswer();
    }

    void abort() override
    {
        if (!this->serves() || this->ended)
            return;
        this->ended = true;
        this->connection->setGoneWork(nullptr);
        this->connection->close();
    }

    bool gone() const override { return !this->connection->serves(this->turn); }
    std::size_t pendingBytes() const override { return this->connection->pendingBytes(); }

    void onClientDisconnected(std::function<void()> work) override
    {
        if (this->serves())
            this->connection->setGoneWork(std::move(work));
    }

private:
    bool serves() const { return this->connection->serves(this->turn); }

    ConnectionPtr connection;
    std::uint64_t turn;
    bool started{ false };
    bool ended{ false };
};

void Connection::dispatch()
{
    const HttpHead &head = this->reader.head();
    this->keepsAlive = head.keepsAlive && !this->shared->closing;
    this->enter(Phase::serving);
    const auto query = head.target.find('?');
    HttpRequest request{ .method = head.method,
                         .target = head.target,
                         .path = head.target.substr(0, query),
                         .headers = head.headers,
                         .body = std::move(this->body) };
    this->body.clear();
    this->shared->handler(std::move(request), std::make_shared<ConnectionReply>(
                                                      this->shared_from_this(), ++this->turn));
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
          shared(std::make_shared<FrontShared>())
    {
        this->shared->options = std::move(options);
        this->shared->handler = std::move(handler);
    }

    bool start(Reason<std::error_code> &reason)
    {
        const Endpoint &at = this->shared->options.listen;
        const auto address = asio::ip::make_address(at.address, reason.code);
        if (reason.code)
            return false;
        const asio::ip::tcp::endpoint endpoint(address, at.port);
        this->acceptor.open(endpoint.protocol(), reason.code);
        if (!reason.code)
            this->acceptor.set_option(asio::socket_base::reuse_address(true), reason.code);
        if (!reason.code)
            this->acceptor.bind(endpoint, reason.code);
        if (!reason.code)
            this->acceptor.listen(asio::socket_base::max_listen_connections, reason.code);
        if (reason.code)
            return false;
        this->acceptNext();
        this->sweepNext();
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

    std::size_t unanswered() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                this->connections, [](const auto &each) { return each->isUnanswered(); }));
    }

    std::shared_ptr<FrontShared> sharedState() const { return this->shared; }

private:
    void acceptNext()
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
            self->acceptNext();
        });
    }

    void sweepNext()
    {
        this->timer.expires_after(kSweepPeriod);
        this->timer.async_wait([self = this->shared_from_this()](const std::error_code &error) {
            if (error || self->stopped)
                return;
            const TimePoint now = bootNow();
            const auto all = self->connections;
            for (const ConnectionPtr &connection : all)
                connection->sweep(now);
            std::erase_if(self->connections, [](const auto &each) { return each->isClosed(); });
            self->sweepNext();
        });
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    std::shared_ptr<FrontShared> shared;
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
    this->impl->sharedState()->closing = true;
}

void HttpFrontend::closeIdle()
{
    this->impl->closeIdle();
}

std::size_t HttpFrontend::unanswered() const
{
    return this->impl->unanswered();
}

void HttpFrontend::stop()
{
    this->impl->stop();
}

} // namespace egret
