#include "http_frontend.h"

#include "clock.h"
#include "log.h"
#include "request_memory.h"

#include <asio/completion_condition.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <poll.h>
#include <set>

namespace egret {

namespace {

constexpr std::size_t kReadBytes = 16U << 10U;
/// Bytes that are read from all connections before the other handlers of the context run: about
/// half a millisecond of parsing in the worst case, chunks of one byte.
constexpr std::size_t kTurnBytes = 64U << 10U;
/// Cost of a read in bytes, so that a turn is short also when each connection sends little.
constexpr std::size_t kReadCost = 2U << 10U;
/// One of this number of reads is from a connection with a large body while others are readable.
constexpr std::uint64_t kReadsPerLargeBody = 4;
/// Reading from a connection pauses while more unparsed bytes than this are buffered.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
/// Buffers beyond this capacity are released when they become empty.
constexpr std::size_t kMaxIdleCapacity = 4U << 10U;
/// Memory of a connection besides its buffers: the objects of the connection, its reader and its
/// socket.
constexpr std::size_t kConnectionBytes = 3U << 10U;
/// A body that takes more than this multiple of its size is copied before it is dispatched.
constexpr std::size_t kMaxSpareFactor = 2;
/// A client that leaves more than this of its answer unread, and reads no more, gives way when
/// memory is short. It can hardly be an ordinary one: a streamed answer of 1,000 tokens is smaller.
constexpr std::size_t kMaxUnreadBytes = 64U << 10U;
/// Period at which waiting bodies are granted memory that was released.
constexpr Milliseconds kGrantPeriod = 20ms;
/// Period within which at most one log line is written for each limit.
constexpr Milliseconds kLogPeriod = 1s;
/// Connections that are examined to make room for a new one. Those with unread input stay.
constexpr int kMaxRoomCandidates = 8;
/// Period after a search for room without result in which new connections are closed without
/// another search, which would examine all clients.
constexpr Milliseconds kNoRoomPeriod = 50ms;
/// Pause after a connection could not be accepted, for example for want of descriptors.
constexpr Milliseconds kAcceptRetryDelay = 50ms;
/// Sent with status 503 when memory is short.
constexpr const char *kRetryAfterSeconds = "1";
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

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// Limits on clients; each has a counter and at most one log line per kLogPeriod.
enum class ClientLimit : std::uint8_t { memory, memoryWait, connections, accept, invalid };
constexpr std::array<const char *, 5> kLimitNames = { "memory", "memory-wait", "connections",
                                                      "accept", "invalid-request" };

/// State that the server shares with its connections.
class SharedState : public std::enable_shared_from_this<SharedState>
{
public:
    SharedState(asio::io_context &context, HttpFrontendOptions &&options,
                HttpFrontendHandler &&handler)
        : options(std::move(options)), handler(std::move(handler)),
          memory({ .maxBytes = this->options.maxBufferedBytes }), context(context),
          grantTimer(context)
    {}

    /// Reads from `connection`, which is readable, in one of the next turns.
    void enqueue(const ConnectionPtr &connection, bool hasLargeBody)
    {
        (hasLargeBody ? this->largeBodies : this->readable).push_back(connection);
        this->scheduleTurn();
    }

    /// Carries out what the memory's holders must do.
    void updateMemory();

    /// True when memory is short and can't be relieved; updates it at most once per kGrantPeriod.
    bool isExhausted()
    {
        if (!this->memory.isShort())
            return false;
        if (bootNow() >= this->exhaustedUntil)
            this->updateMemory();
        return this->memory.isShort();
    }

    /// Updates the memory every kGrantPeriod until no connection waits for memory.
    void grantSoon()
    {
        if (std::exchange(this->isGrantScheduled, true))
            return;
        this->grantTimer.expires_after(kGrantPeriod);
        this->grantTimer.async_wait([weak = this->weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->isGrantScheduled = false;
            self->updateMemory();
            if (self->memory.hasWaiters())
                self->grantSoon();
        });
    }

    /// Counts a client that a limit met; writes a log line unless one was written recently.
    void onLimit(ClientLimit limit, int status = 0, const char *fault = "none")
    {
        LimitLog &log = this->logs[static_cast<std::size_t>(limit)];
        ++log.count;
        const TimePoint now = bootNow();
        if (now < log.nextLineAt)
            return;
        logInfo(limit == ClientLimit::invalid ? "request rejected before dispatch"
                                              : "client met a limit",
                { { "limit", kLimitNames[static_cast<std::size_t>(limit)] },
                  { "status", status },
                  { "fault", fault },
                  { "count", log.count - log.countInLog },
                  { "bytesHeld", this->memory.totalBytes() },
                  { "connections", this->openCount } });
        log.countInLog = log.count;
        log.nextLineAt = now + kLogPeriod;
    }

    std::string metricsText(const std::string &port) const
    {
        std::string text;
        const auto append = [&](const std::string &name, const std::string &label,
                                std::uint64_t value) {
            text += "egret_client_" + name + "{port=\"" + port + "\"" + label + "} "
                    + std::to_string(value) + "\n";
        };
        for (std::size_t i = 0; i < this->logs.size(); ++i)
            append("limits_met_total", std::string(",limit=\"") + kLimitNames[i] + "\"",
                   this->logs[i].count);
        append("bytes_held", "", this->memory.totalBytes());
        append("connections", "", this->openCount);
        return text;
    }

    /// Stops all timers and turns.
    void stop()
    {
        this->isStopped = true;
        this->grantTimer.cancel();
        this->readable.clear();
        this->largeBodies.clear();
    }

    HttpFrontendOptions options;
    HttpFrontendHandler handler;
    bool isKeepAliveDisabled{ false };
    RequestMemory memory;
    std::map<RequestMemory::HolderId, std::weak_ptr<Connection>> connectionsByHolder;
    std::size_t openCount{ 0 }; ///< connections that are not closed

private:
    struct LimitLog
    {
        std::uint64_t count{ 0 };
        std::uint64_t countInLog{ 0 }; ///< `count` at the last log line
        TimePoint nextLineAt;
    };

    /// Posts a turn behind all handlers that are ready, so that links and timers run in between.
    void scheduleTurn()
    {
        if (this->isStopped || std::exchange(this->isTurnScheduled, true))
            return;
        asio::post(this->context, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->takeTurn();
        });
    }

    void takeTurn();

    asio::io_context &context;
    asio::steady_timer grantTimer;
    std::array<char, kReadBytes> input{};  ///< for one read at a time, of any connection
    std::deque<ConnectionPtr> readable;    ///< without those in `largeBodies`
    std::deque<ConnectionPtr> largeBodies; ///< readable connections with a large body
    std::uint64_t readCount{ 0 };
    TimePoint exhaustedUntil; ///< another update of the memory would relieve nothing
    bool isTurnScheduled{ false };
    bool isGrantScheduled{ false };
    bool isStopped{ false };
    std::array<LimitLog, kLimitNames.size()> logs;
};

/// Counts a request's memory until it is destroyed.
class RequestLease
{
public:
    RequestLease(std::shared_ptr<SharedState> shared, RequestMemory::HolderId holder)
        : shared(std::move(shared)), holder(holder)
    {}
    ~RequestLease() { this->shared->memory.remove(this->holder); }
    RequestLease(const RequestLease &) = delete;
    RequestLease &operator=(const RequestLease &) = delete;

private:
    std::shared_ptr<SharedState> shared;
    RequestMemory::HolderId holder;
};

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
        this->socket.non_blocking(true, ignored);
        const auto peer = this->socket.remote_endpoint(ignored);
        this->peerAddress = ignored ? std::string() : peer.address().to_string();
        ++this->shared->openCount;
        this->addHolder();
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
        if (this->phase == Phase::idle && this->unparsedInput.empty() && !this->hasUnreadInput())
            this->linger();
    }

    /// True when bytes have arrived that are not read yet, for example of a request.
    bool hasUnreadInput() const
    {
        std::error_code ignored;
        return this->socket.available(ignored) > 0;
    }

    void checkDeadline(TimePoint now)
    {
        if (this->phase == Phase::serving) {
            this->scheduleRead(); // reading may have paused while memory was short
            if (!this->readInFlight && this->isPeerClosed())
                return this->close();
        }
        if (now < this->phaseDeadline || this->phase == Phase::serving || this->waitsForMemory)
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
        --this->shared->openCount;
        this->removeHolder();
        this->body = {};
        this->unparsedInput = {};
        this->reader.reset();
        std::error_code ignored;
        this->socket.close(ignored);
        if (wasServing && this->disconnectHandler)
            std::exchange(this->disconnectHandler, nullptr)();
    }

    /// Reads once into `buffer` and parses. Returns the cost of the read in bytes.
    std::size_t readOnce(std::array<char, kReadBytes> &buffer)
    {
        this->readInFlight = false;
        if (this->phase == Phase::closed)
            return 0;
        std::error_code error;
        const std::size_t size = this->socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block || error == asio::error::try_again)
            this->scheduleRead();
        else
            this->onRead(error, std::string_view(buffer.data(), size));
        return size + kReadCost;
    }

    /// Goes on reading the body, for which memory has been reserved.
    void onMemoryGranted()
    {
        this->waitsForMemory = false;
        this->hasReservation = true;
        this->enterPhase(Phase::body); // the time limit begins anew
        this->confirmExpectation();
        this->scheduleRead();
    }

    /// Gives way to other clients. The holder of this connection has been removed. A request that
    /// has begun to arrive is refused; any other connection is closed.
    void giveWay(ClientLimit limit)
    {
        const bool isReceiving = this->phase == Phase::head || this->phase == Phase::body;
        this->removeHolder();
        // Closing the connection would break off a request that has arrived. Once it is read, it
        // is served or refused.
        if (this->phase == Phase::idle && this->hasUnreadInput())
            return this->addHolder();
        if (!isReceiving) {
            this->shared->onLimit(limit);
            return this->close();
        }
        this->addHolder();
        this->rejectRequest(503, limit);
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

    bool isHeadRequest() const { return this->answersHeadRequest; }

    void endResponse()
    {
        if (this->isChunked)
            this->queueOutput("0\r\n\r\n");
        this->disconnectHandler = nullptr;
        this->responseEnded = true;
        this->updateHeldBytes();
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

    /// True when the client has closed the connection, also behind unread input, as far as this
    /// has arrived.
    bool isPeerClosed()
    {
        pollfd state{ .fd = this->socket.native_handle(), .events = POLLRDHUP, .revents = 0 };
        return ::poll(&state, 1, 0) > 0;
    }

    /// Waits until the socket is readable. Reading pauses while the body waits for memory, and
    /// while a request is served as long as many pipelined bytes are held, or some while memory is
    /// short. The deadline check notices a disconnect while reading is paused.
    void scheduleRead()
    {
        const bool isPaused = this->waitsForMemory
                              || this->unparsedInput.size() > kMaxPipelinedBytes
                              || (this->phase == Phase::serving && !this->unparsedInput.empty()
                                  && this->shared->memory.isShort());
        if (this->readInFlight || this->phase == Phase::closed || isPaused)
            return;
        this->readInFlight = true;
        this->socket.async_wait(
                asio::ip::tcp::socket::wait_read,
                [self = this->shared_from_this()](const std::error_code &error) {
                    if (error || self->phase == Phase::closed) {
                        self->readInFlight = false;
                        return self->close();
                    }
                    self->shared->enqueue(self, self->hasReservation && self->phase == Phase::body);
                });
    }

    void onRead(const std::error_code &error, std::string_view bytes)
    {
        if (error)
            return this->close();
        if (this->phase == Phase::lingering)
            return this->scheduleRead();
        this->shared->memory.onProgress(this->holder, bytes.size());
        if (this->phase == Phase::serving || !this->unparsedInput.empty()) {
            this->unparsedInput.append(bytes);
            if (this->phase != Phase::serving)
                this->parseBuffered();
        } else {
            const std::size_t consumed = this->parseInput(bytes);
            if (this->phase != Phase::lingering && this->phase != Phase::closed)
                this->unparsedInput.append(bytes.substr(std::min(consumed, bytes.size())));
        }
        this->updateHeldBytes();
        this->scheduleRead();
    }

    /// Parses the bytes in `unparsedInput`.
    void parseBuffered()
    {
        const std::string bytes = std::exchange(this->unparsedInput, {});
        const std::size_t consumed = this->parseInput(bytes);
        if (consumed < bytes.size() && this->phase != Phase::closed)
            this->unparsedInput.insert(0, bytes, consumed);
    }

    /// Parses received bytes and dispatches the request once it is complete. Returns the number of
    /// bytes that are no longer needed.
    std::size_t parseInput(std::string_view bytes)
    {
        if (bytes.empty())
            return 0;
        if (this->phase == Phase::idle) {
            this->reader.reset();
            this->reader.setBounds(this->shared->options.bounds.maxHeadBytes,
                                   this->shared->options.bounds.maxBodyBytes);
            this->hasReservation = false;
            this->declaredBytes.reset();
            this->enterPhase(Phase::head);
            this->shared->memory.restartProgress(this->holder, bootNow());
        }
        const std::size_t consumed = this->reader.feed(bytes);
        if (this->phase == Phase::head && this->reader.hasHead()) {
            this->enterPhase(Phase::body);
            if (!this->validateHead())
                return bytes.size();
            this->bufferBody();
        } else if (this->phase == Phase::body) {
            this->bufferBody();
        }
        switch (this->reader.fault()) {
        case HttpFault::none:
            break;
        case HttpFault::headTooLarge:
            this->rejectRequest(431);
            return bytes.size();
        case HttpFault::bodyTooLarge:
            this->rejectRequest(413);
            return bytes.size();
        default:
            this->rejectRequest(400);
            return bytes.size();
        }
        if (this->reader.isComplete() && !this->hasRoomToRun())
            return bytes.size();
        if (this->reader.isComplete())
            this->dispatch();
        else if (this->phase == Phase::body)
            this->reserveBody();
        return consumed;
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
        const std::string length = headerValue(head.headers, "Content-Length");
        std::size_t declared = 0;
        if (std::from_chars(length.data(), length.data() + length.size(), declared).ec
            == std::errc())
            this->declaredBytes = declared;
        this->expectsContinue =
                head.hasBody && !this->reader.isComplete()
                && isSameHeaderName(headerValue(head.headers, "Expect"), "100-continue");
        return true;
    }

    /// Answers `Expect: 100-continue`.
    void confirmExpectation()
    {
        if (std::exchange(this->expectsContinue, false))
            this->queueOutput("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Checks that memory is left before a request becomes one that never gives way. Returns false
    /// after refusing the request.
    bool hasRoomToRun()
    {
        this->updateHeldBytes();
        // Room for a body with a reservation has been kept since it began.
        if (this->hasReservation || !this->shared->memory.isShort())
            return true;
        const std::uint64_t requestNumberBefore = this->requestNumber;
        const bool isExhausted = this->shared->isExhausted();
        const bool isRefused = this->requestNumber != requestNumberBefore || this->isClosed();
        if (isRefused || !isExhausted)
            return !isRefused;
        this->rejectRequest(503, ClientLimit::memory);
        return false;
    }

    /// Reserves memory for the whole body, as soon as it is known to be large, or makes the
    /// connection wait for it.
    void reserveBody()
    {
        const std::size_t smallBytes = RequestMemoryOptions{}.smallRequestBytes;
        const bool isLarge = this->declaredBytes ? *this->declaredBytes > smallBytes
                                                 : this->body.size() + kReadBytes > smallBytes;
        if (this->hasReservation || !isLarge)
            return this->confirmExpectation();
        const std::size_t bytes =
                this->declaredBytes.value_or(this->shared->options.bounds.maxBodyBytes);
        if (this->shared->memory.reserve(this->holder, bytes, bootNow()))
            return this->onMemoryGranted();
        this->waitsForMemory = true;
        this->shared->grantSoon();
    }

    /// Moves the parsed body bytes to `body`. The buffer never grows beyond what is reserved.
    void bufferBody()
    {
        const std::string part = this->reader.takeBody();
        const std::size_t needed = this->body.size() + part.size();
        if (needed > this->body.capacity()) {
            const std::size_t largest =
                    this->declaredBytes.value_or(this->shared->options.bounds.maxBodyBytes);
            const std::size_t doubled = std::min(2 * this->body.capacity(), largest);
            // std::string::reserve would at least double the capacity.
            std::string grown;
            grown.reserve(std::max(needed, this->hasReservation && this->declaredBytes ? largest
                                                                                       : doubled));
            grown.append(this->body);
            this->body.swap(grown);
        }
        this->body += part;
    }

    void addHolder()
    {
        this->holder = this->shared->memory.add(this->peerAddress, bootNow());
        this->shared->connectionsByHolder.emplace(this->holder, this->weak_from_this());
        this->updateHeldBytes();
    }

    void removeHolder()
    {
        this->shared->connectionsByHolder.erase(this->holder);
        this->shared->memory.remove(std::exchange(this->holder, 0));
    }

    void updateHeldBytes()
    {
        if (this->holder == 0)
            return;
        this->shared->memory.setBytes(this->holder, kConnectionBytes + this->reader.headCapacity()
                                                            + this->body.capacity()
                                                            + this->unparsedInput.capacity()
                                                            + this->queuedOutput.capacity()
                                                            + this->outputInFlight.capacity());
        Protection protection = Protection::none;
        if (this->phase == Phase::serving)
            protection = this->responseEnded || this->pendingBytes() > kMaxUnreadBytes
                                 ? Protection::unlessSlow
                                 : Protection::full;
        this->shared->memory.setProtection(this->holder, protection, bootNow());
    }

    /// Passes the complete request to the handler.
    void dispatch();

    /// Sends an error status for a request that was not dispatched, then closes the connection.
    void rejectRequest(int status, ClientLimit limit = ClientLimit::invalid)
    {
        this->shared->onLimit(limit, status, httpFaultName(this->reader.fault()));
        this->keepsAlive = false;
        this->waitsForMemory = this->hasReservation = false;
        this->body = {};
        this->unparsedInput = {};
        this->reader.reset();
        // Releases the reservation at once.
        this->removeHolder();
        this->addHolder();
        this->enterPhase(Phase::serving);
        ++this->requestNumber;
        HttpHeaders headers;
        if (status == 503)
            headers.emplace_back("Retry-After", kRetryAfterSeconds);
        this->writeHead(status, "", headers, 0);
        this->endResponse();
    }

    void queueOutput(std::string_view bytes)
    {
        this->queuedOutput.append(bytes);
        this->flush();
        this->updateHeldBytes();
    }

    /// Starts writing the queued output unless a write is in flight.
    void flush()
    {
        if (!this->outputInFlight.empty() || this->queuedOutput.empty()
            || this->phase == Phase::closed)
            return;
        this->outputInFlight.swap(this->queuedOutput);
        this->reportedOutput = 0;
        // Progress is reported with each part that the client takes: a large answer takes longer
        // than the period in which a client must make progress.
        asio::async_write(
                this->socket, asio::buffer(this->outputInFlight),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    self->shared->memory.onProgress(
                            self->holder, size - std::exchange(self->reportedOutput, size));
                    return asio::transfer_all()(error, size);
                },
                [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
                    self->outputInFlight.clear();
                    if (self->outputInFlight.capacity() > kMaxIdleCapacity)
                        self->outputInFlight = {};
                    if (error)
                        return self->close();
                    self->flush();
                    self->updateHeldBytes();
                    if (self->responseEnded && self->outputInFlight.empty())
                        self->onResponseWritten();
                });
    }

    void onResponseWritten()
    {
        if (this->phase != Phase::serving)
            return;
        this->responseEnded = false;
        if (!this->keepsAlive)
            return this->linger();
        this->reader.reset(); // releases the head
        this->enterPhase(Phase::idle);
        if (!this->unparsedInput.empty())
            this->parseBuffered();
        this->updateHeldBytes();
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
        this->unparsedInput = {};
        this->updateHeldBytes();
        this->scheduleRead();
    }

    asio::ip::tcp::socket socket;
    std::shared_ptr<SharedState> shared;
    HttpReader reader;
    Phase phase{ Phase::idle };
    TimePoint phaseDeadline;
    bool readInFlight{ false };
    std::string peerAddress;
    RequestMemory::HolderId holder{ 0 }; ///< 0: closed
    std::string unparsedInput;
    std::string body;
    std::optional<std::size_t> declaredBytes; ///< Content-Length of the request
    bool hasReservation{ false };             ///< memory for the whole body is reserved
    bool waitsForMemory{ false };             ///< waits for the reservation; nothing is read
    bool expectsContinue{ false };            ///< 100 Continue has to be sent before the body
    std::string queuedOutput;
    std::string outputInFlight;
    std::size_t reportedOutput{ 0 }; ///< bytes of `outputInFlight` reported as progress
    bool isChunked{ false };
    bool answersHeadRequest{ false }; ///< the request that is served has the method HEAD
    bool keepsAlive{ true };
    bool responseEnded{ false };      ///< the complete response is queued or written
    std::uint64_t requestNumber{ 0 }; ///< number of the last dispatched or rejected request
    std::function<void()> disconnectHandler;
};

/// The response to one request of a connection.
class ConnectionReply : public AbortableReply
{
public:
    ConnectionReply(ConnectionPtr connection, std::uint64_t requestNumber,
                    std::unique_ptr<RequestLease> lease)
        : connection(std::move(connection)), requestNumber(requestNumber), lease(std::move(lease))
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
    std::unique_ptr<RequestLease> lease; ///< counts the request's memory
    bool isStarted{ false };
    bool isEnded{ false };
};

void Connection::dispatch()
{
    const std::size_t headCapacity = this->reader.headCapacity();
    HttpHead head = this->reader.takeHead();
    this->answersHeadRequest = head.method == "HEAD";
    this->keepsAlive = head.keepsAlive && !this->shared->isKeepAliveDisabled;
    this->enterPhase(Phase::serving);
    const auto query = head.target.find('?');
    std::string path = head.target.substr(0, query);
    HttpRequest request{ .method = std::move(head.method),
                         .target = std::move(head.target),
                         .path = std::move(path),
                         .headers = std::move(head.headers),
                         .body = std::exchange(this->body, {}) };
    if (request.body.capacity() > kMaxSpareFactor * request.body.size() + kMaxIdleCapacity)
        request.body.shrink_to_fit();
    RequestMemory &memory = this->shared->memory;
    const auto requestHolder = memory.moveToRequest(
            this->holder, request.body.capacity() + request.path.capacity() + headCapacity,
            bootNow());
    this->updateHeldBytes();
    this->shared->handler(std::move(request),
                          std::make_shared<ConnectionReply>(
                                  this->shared_from_this(), ++this->requestNumber,
                                  std::make_unique<RequestLease>(this->shared, requestHolder)));
}

void SharedState::updateMemory()
{
    const auto changes = this->memory.update(bootNow());
    const auto connectionOf = [this](RequestMemory::HolderId holder) -> ConnectionPtr {
        const auto found = this->connectionsByHolder.find(holder);
        return found == this->connectionsByHolder.end() ? nullptr : found->second.lock();
    };
    for (const auto holder : changes.granted) {
        if (const ConnectionPtr connection = connectionOf(holder))
            connection->onMemoryGranted();
    }
    for (const auto holder : changes.shed) {
        if (const ConnectionPtr connection = connectionOf(holder))
            connection->giveWay(ClientLimit::memory);
    }
    for (const auto holder : changes.expired) {
        if (const ConnectionPtr connection = connectionOf(holder))
            connection->giveWay(ClientLimit::memoryWait);
    }
    if (this->memory.isShort())
        this->exhaustedUntil = bootNow() + kGrantPeriod;
}

void SharedState::takeTurn()
{
    this->isTurnScheduled = false;
    std::size_t cost = 0;
    while (cost < kTurnBytes && !(this->readable.empty() && this->largeBodies.empty())) {
        const bool prefersLarge = ++this->readCount % kReadsPerLargeBody == 0;
        const bool isLarge = this->readable.empty() || (prefersLarge && !this->largeBodies.empty());
        std::deque<ConnectionPtr> &queue = isLarge ? this->largeBodies : this->readable;
        const ConnectionPtr connection = std::move(queue.front());
        queue.pop_front();
        cost += connection->readOnce(this->input);
    }
    if (this->memory.isShort())
        this->updateMemory();
    if (!this->readable.empty() || !this->largeBodies.empty())
        this->scheduleTurn();
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
        : acceptor(context), timer(context), acceptTimer(context),
          shared(std::make_shared<SharedState>(context, std::move(options), std::move(handler)))
    {}

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
        this->acceptTimer.cancel();
        this->shared->stop();
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
            if (error) {
                self->shared->onLimit(ClientLimit::accept);
                return self->retryAccept();
            }
            if (self->makeRoom()) {
                auto connection = std::make_shared<Connection>(std::move(socket), self->shared);
                self->connections.insert(connection);
                connection->start();
            }
            self->scheduleAccept();
        });
    }

    /// An accept that fails for want of descriptors would fail again at once.
    void retryAccept()
    {
        this->acceptTimer.expires_after(kAcceptRetryDelay);
        this->acceptTimer.async_wait(
                [self = this->shared_from_this()](const std::error_code &error) {
                    if (!error && !self->stopped)
                        self->scheduleAccept();
                });
    }

    /// Makes room for another connection. Returns false when no connection may be closed for it.
    bool makeRoom()
    {
        if (this->shared->openCount < this->shared->options.maxConnections)
            return true;
        this->shared->onLimit(ClientLimit::connections);
        const TimePoint now = bootNow();
        if (now < this->noRoomUntil)
            return false;
        for (int i = 0; i < kMaxRoomCandidates; ++i) {
            const auto holder = this->shared->memory.leastActive(now);
            if (!holder)
                break;
            const auto found = this->shared->connectionsByHolder.find(*holder);
            const ConnectionPtr connection = found == this->shared->connectionsByHolder.end()
                                                     ? nullptr
                                                     : found->second.lock();
            if (!connection)
                break;
            if (connection->hasUnreadInput()) {
                this->shared->memory.restartProgress(*holder, now);
                continue;
            }
            connection->close();
            this->connections.erase(connection);
            return true;
        }
        this->noRoomUntil = now + kNoRoomPeriod;
        return false;
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
            self->shared->updateMemory();
            std::erase_if(self->connections, [](const auto &each) { return each->isClosed(); });
            self->scheduleDeadlineCheck();
        });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    asio::steady_timer acceptTimer;
    TimePoint noRoomUntil; ///< no connection can be closed for another one
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

std::string HttpFrontend::metricsText(const std::string &port) const
{
    return this->impl->sharedState()->metricsText(port);
}

void HttpFrontend::stop()
{
    this->impl->stop();
}

} // namespace egret
