#include "http_pool.h"

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
#include <map>

namespace egret {

namespace {

constexpr std::size_t kReadBytes = 8U << 10U;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;
/// Unacknowledged bytes end a connection after this time: a silent one must not
/// hold requests until their deadline.
constexpr Milliseconds kUnacknowledgedLimit = 1500ms;
/// A kept connection is used again for this time, or half of what its server says.
constexpr Milliseconds kKeepLimit = 4s;
/// And for a request that may run once, only for this time after its last use.
constexpr Milliseconds kKeepOnceLimit = 700ms;
constexpr Milliseconds kSweepPeriod = 100ms;

/// Half of the time for which a server says that it keeps idle connections.
Milliseconds statedKeep(const HttpHeaders &headers)
{
    static constexpr std::string_view mark = "timeout=";
    const std::string text = headerValue(headers, "Keep-Alive");
    const auto at = text.find(mark);
    if (at == std::string::npos)
        return kKeepLimit;
    int seconds = 0;
    std::from_chars(text.data() + at + mark.size(), text.data() + text.size(), seconds);
    return std::min<Milliseconds>(kKeepLimit, Seconds(seconds) / 2);
}

class Outbound;
using OutboundPtr = std::shared_ptr<Outbound>;

/// What the pool does when a connection has something to tell.
struct PoolHooks
{
    std::function<void(const OutboundPtr &)> freed;
    std::function<void(const OutboundPtr &)> closed;
    HttpPoolCounters counters;
};

/// One connection to a server and the call that it carries.
class Outbound : public std::enable_shared_from_this<Outbound>
{
public:
    Outbound(asio::io_context &context, PoolHooks &hooks, Endpoint server)
        : server(std::move(server)), socket(context), hooks(hooks),
          reader({ .side = HttpSide::response,
                   .maxHeadBytes = kMaxHeadBytes,
                   .maxBodyBytes = kMaxAnswerBytes })
    {}

    /// Opens the connection for a first call.
    void open(std::uint64_t number, OutboundCall &&first)
    {
        this->number = number;
        this->call = std::move(first);
        this->busy = true;
        this->connectUntil = bootNow() + this->call.connectTimeout;
        std::error_code error;
        const auto address = asio::ip::make_address(this->server.address, error);
        if (error) {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
                self->fail(CallOutcome::unsent, "no IP address");
            });
            return;
        }
        this->socket.async_connect(
                { address, this->server.port },
                [self = this->shared_from_this()](const std::error_code &failed) {
                    if (self->isClosed)
                        return;
                    if (failed) {
                        ++self->hooks.counters.failed;
                        return self->fail(CallOutcome::unsent, failed.message());
                    }
                    self->connected = true;
                    self->setOptions();
                    self->send();
                });
    }

    /// Carries another call; false when the server has closed or sent something.
    bool carry(std::uint64_t number, OutboundCall &next)
    {
        char byte = 0;
        const auto peeked = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            return false;
        this->number = number;
        this->call = std::move(next);
        this->busy = true;
        this->send();
        return true;
    }

    bool isIdle() const { return !this->busy && !this->isClosed; }
    bool closed() const { return this->isClosed; }
    TimePoint usableUntil(bool mayRunTwice) const
    {
        return this->lastUsed + std::min(this->keepFor, mayRunTwice ? kKeepLimit : kKeepOnceLimit);
    }
    TimePoint usedAt() const { return this->lastUsed; }
    std::uint64_t callNumber() const { return this->number; }

    void sweep(TimePoint now)
    {
        if (this->isClosed)
            return;
        if (!this->connected && now >= this->connectUntil) {
            ++this->hooks.counters.failed;
            this->fail(CallOutcome::unsent, "connect timed out");
        } else if (this->isIdle() && now >= this->usableUntil(true)) {
            this->shut();
        }
    }

    void shut()
    {
        if (std::exchange(this->isClosed, true))
            return;
        std::error_code ignored;
        this->socket.close(ignored);
        this->call = {};
        this->hooks.closed(this->shared_from_this());
    }

    const Endpoint server;

private:
    void setOptions()
    {
        std::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const int limit = static_cast<int>(kUnacknowledgedLimit.count());
        ::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                     sizeof(limit));
    }

    void send()
    {
        this->reader.reset();
        if (this->call.isHeadRequest)
            this->reader.expectNoBody();
        this->headTold = this->written = this->foreign = false;
        const std::array<asio::const_buffer, 2> parts = { asio::buffer(this->call.head),
                                                          asio::buffer(this->call.body) };
        asio::async_write(this->socket, parts,
                          [self = this->shared_from_this(),
                           number = this->number](const std::error_code &error, std::size_t) {
                              if (self->isClosed || self->number != number)
                                  return;
                              // What has been answered already may still be read.
                              self->written = !error;
                          });
        this->read();
    }

    void read()
    {
        if (this->reading || this->isClosed)
            return;
        this->reading = true;
        this->socket.async_read_some(
                asio::buffer(this->input),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    self->reading = false;
                    if (!self->isClosed)
                        self->onRead(error, size);
                });
    }

    void onRead(const std::error_code &error, std::size_t size)
    {
        if (!this->busy) {
            if (!error)
                ++this->hooks.counters.surplus;
            return this->shut();
        }
        if (error == asio::error::eof) {
            this->reader.finish();
            this->sawEnd = true;
        } else if (error) {
            return this->fail(CallOutcome::broken, error.message());
        }
        if (this->take(std::string_view(this->input.data(), size)))
            this->read();
    }

    /// Takes bytes of the answer; true when more are to be read.
    bool take(std::string_view bytes)
    {
        while (true) {
            const std::size_t used = this->reader.whole() ? 0 : this->reader.feed(bytes);
            bytes.remove_prefix(used);
            if (!this->tell())
                return false;
            if (this->reader.fault() != HttpFault::none) {
                const bool isCut = this->reader.fault() == HttpFault::truncated;
                this->fail(isCut ? CallOutcome::broken : CallOutcome::malformed,
                           httpFaultName(this->reader.fault()));
                return false;
            }
            if (!this->reader.whole())
                return true;
            if (!this->foreign)
                return this->finish(!bytes.empty());
            // A late answer to another request: the right one may follow.
            ++this->hooks.counters.skipped;
            this->skippedOne = true;
            if (this->sawEnd || !this->reader.head().keepsAlive) {
                this->fail(CallOutcome::broken, "answer of another request");
                return false;
            }
            this->reader.reset();
            this->headTold = this->foreign = false;
            if (bytes.empty())
                return true;
        }
    }

    /// Passes on what the reader has; false when a callback ended the call.
    bool tell()
    {
        const std::uint64_t before = this->number;
        if (this->reader.headDone() && !std::exchange(this->headTold, true)) {
            this->foreign =
                    this->call.matchesRequest && !this->call.matchesRequest(this->reader.head());
            if (!this->foreign && this->call.onHead) {
                const auto keep = this->call.onHead;
                keep(this->reader.head());
            }
        }
        if (this->isClosed || this->number != before)
            return false;
        std::string part = this->reader.takeBody();
        if (!part.empty() && !this->foreign && this->call.onBody) {
            const auto keep = this->call.onBody;
            keep(std::move(part));
        }
        return !this->isClosed && this->number == before;
    }

    /// The answer is whole; keeps the connection where that is safe.
    bool finish(bool hasSurplus)
    {
        const auto done = std::move(this->call.onEnd);
        const bool keeps = this->reader.head().keepsAlive && this->written && !hasSurplus
                           && !this->sawEnd && !this->skippedOne;
        if (hasSurplus)
            ++this->hooks.counters.surplus;
        this->keepFor = statedKeep(this->reader.head().headers);
        this->call = {};
        this->number = 0;
        this->busy = false;
        this->lastUsed = bootNow();
        if (keeps)
            this->hooks.freed(this->shared_from_this());
        else
            this->shut();
        if (done)
            done(CallEnd{});
        // The connection may have begun another call meanwhile.
        return !this->isClosed;
    }

    void fail(CallOutcome outcome, const std::string &detail)
    {
        const auto done = std::move(this->call.onEnd);
        this->busy = false;
        this->number = 0;
        this->shut();
        if (done)
            done(CallEnd{ .outcome = outcome, .detail = detail });
    }

    asio::ip::tcp::socket socket;
    PoolHooks &hooks;
    HttpReader reader;
    OutboundCall call;
    std::uint64_t number{ 0 };
    std::array<char, kReadBytes> input{};
    bool connected{ false };
    bool busy{ false };
    bool reading{ false };
    bool written{ false };
    bool headTold{ false };
    bool foreign{ false };
    bool skippedOne{ false };
    bool sawEnd{ false };
    bool isClosed{ false };
    TimePoint connectUntil;
    TimePoint lastUsed;
    Milliseconds keepFor{ kKeepLimit };
};

} // namespace

class HttpPool::Impl : public std::enable_shared_from_this<HttpPool::Impl>
{
public:
    explicit Impl(asio::io_context &context) : context(context), timer(context)
    {
        this->hooks.freed = [](const OutboundPtr &) {};
        this->hooks.closed = [this](const OutboundPtr &connection) { this->drop(connection); };
    }

    std::uint64_t start(OutboundCall &&call)
    {
        const std::uint64_t number = ++this->lastNumber;
        auto &connections = this->servers[call.to];
        if (this->takeIdle(connections, number, call))
            return number;
        if (connections.size() >= call.maxConnections) {
            asio::post(this->context, [done = std::move(call.onEnd)] {
                done({ .outcome = CallOutcome::unsent, .detail = "connection-limit" });
            });
            return number;
        }
        auto connection = std::make_shared<Outbound>(this->context, this->hooks, call.to);
        connections.push_back(connection);
        ++this->hooks.counters.opened;
        connection->open(number, std::move(call));
        return number;
    }

    void cancel(std::uint64_t number)
    {
        for (auto &[server, connections] : this->servers) {
            for (const OutboundPtr &connection : connections) {
                if (connection->callNumber() == number) {
                    const OutboundPtr kept = connection;
                    kept->shut();
                    return;
                }
            }
        }
    }

    void closeIdleConnections(const Endpoint &server)
    {
        const auto found = this->servers.find(server);
        if (found == this->servers.end())
            return;
        const auto all = found->second;
        for (const OutboundPtr &connection : all) {
            if (connection->isIdle())
                connection->shut();
        }
    }

    void sweepNext()
    {
        this->timer.expires_after(kSweepPeriod);
        this->timer.async_wait([weak = this->weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            const TimePoint now = bootNow();
            std::vector<OutboundPtr> all;
            for (const auto &[server, connections] : self->servers)
                all.insert(all.end(), connections.begin(), connections.end());
            for (const OutboundPtr &connection : all)
                connection->sweep(now);
            self->sweepNext();
        });
    }

    void stop()
    {
        this->timer.cancel();
        const auto all = std::exchange(this->servers, {});
        for (const auto &[server, connections] : all) {
            for (const OutboundPtr &connection : connections)
                connection->shut();
        }
    }

    PoolHooks hooks;

private:
    bool takeIdle(std::vector<OutboundPtr> &connections, std::uint64_t number, OutboundCall &call)
    {
        while (true) {
            const TimePoint now = bootNow();
            OutboundPtr best;
            for (const OutboundPtr &connection : connections) {
                const bool isUsable =
                        connection->isIdle() && now < connection->usableUntil(call.mayRunTwice);
                if (isUsable && (!best || connection->usedAt() > best->usedAt()))
                    best = connection;
            }
            if (!best)
                return false;
            if (best->carry(number, call)) {
                ++this->hooks.counters.reused;
                return true;
            }
            best->shut();
        }
    }

    void drop(const OutboundPtr &connection)
    {
        const auto found = this->servers.find(connection->server);
        if (found == this->servers.end())
            return;
        std::erase(found->second, connection);
    }

    asio::io_context &context;
    asio::steady_timer timer;
    std::map<Endpoint, std::vector<OutboundPtr>> servers;
    std::uint64_t lastNumber{ 0 };
};

HttpPool::HttpPool(asio::io_context &context) : impl(std::make_shared<Impl>(context))
{
    this->impl->sweepNext();
}

HttpPool::~HttpPool()
{
    this->impl->stop();
}

std::uint64_t HttpPool::start(OutboundCall call)
{
    return this->impl->start(std::move(call));
}

void HttpPool::cancel(std::uint64_t call)
{
    this->impl->cancel(call);
}

void HttpPool::closeIdleConnections(const Endpoint &server)
{
    this->impl->closeIdleConnections(server);
}

const HttpPoolCounters &HttpPool::counters() const
{
    return this->impl->hooks.counters;
}

} // namespace egret
