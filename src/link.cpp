#include "link.h"

#include "digest.h"
#include "log.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

#include <sodium.h>

#include <array>
#include <deque>
#include <set>

namespace egret {

namespace {

/// TCP retransmits a lost first packet only after a second, while a machine that has just
/// started answers a new attempt at once; hence a short first timeout. Over a congested path
/// an attempt takes longer: each failure doubles the timeout.
constexpr Milliseconds kInitialConnectTimeout = 300ms;
constexpr Milliseconds kMaxConnectTimeout = 1500ms;
constexpr Milliseconds kHeartbeatPeriod = 500ms;
constexpr Milliseconds kSilenceTimeout = 2s;
constexpr std::size_t kMaxQueuedBytes = 16U << 20U;
/// Limits the first frame of an unauthenticated peer, and the number of such peers, because
/// any host can open a connection.
constexpr std::size_t kMaxFirstFrameBytes = 1024;
constexpr std::size_t kMaxUnauthenticatedPeers = 64;
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kLengthBytes = 4;

using Strand = asio::strand<asio::io_context::executor_type>;
using Nonce = std::array<char, kNonceBytes>;

/// Key of one direction of one connection; a recorded frame fails the MAC of any other.
std::string sessionKey(const std::string &clusterKey, const Nonce &initiatorNonce,
                       const Nonce &acceptorNonce, char direction)
{
    std::string input(initiatorNonce.data(), initiatorNonce.size());
    input.append(acceptorNonce.data(), acceptorNonce.size());
    input.push_back(direction);
    return macOf(clusterKey, input);
}

std::array<char, kLengthBytes> lengthPrefix(std::size_t size)
{
    std::array<char, kLengthBytes> out{};
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        out[i] = static_cast<char>((size >> (8U * i)) & 0xFFU);
    return out;
}

std::size_t prefixedLength(const std::array<char, kLengthBytes> &prefix)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(prefix[i])) << (8U * i);
    return size;
}

/// State that all links of a hub share.
struct LinkShared
{
    LinkHubOptions options;
    LinkHandlers handlers;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> dropped;
    std::map<std::string, Milliseconds> connectTimeouts; ///< by target whose last attempt failed
    std::atomic<std::size_t> unauthenticatedPeers{ 0 };  ///< accepted, without a valid frame yet

    /// Time limit of the next connection attempt to a target.
    Milliseconds connectTimeout(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connectTimeouts.find(target);
        return found == this->connectTimeouts.end() ? kInitialConnectTimeout : found->second;
    }

    void recordConnectResult(const std::string &target, bool isReached)
    {
        const std::lock_guard lock(this->mutex);
        if (isReached) {
            this->connectTimeouts.erase(target);
            return;
        }
        const auto known = this->connectTimeouts.emplace(target, kInitialConnectTimeout).first;
        known->second = std::min(known->second * 2, kMaxConnectTimeout);
    }

    void countDropped(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        ++this->dropped[name];
    }
};

class TcpLink : public Link, public std::enable_shared_from_this<TcpLink>
{
public:
    TcpLink(asio::io_context &context, std::shared_ptr<LinkShared> shared, std::string targetName,
            std::function<void(const LinkPtr &)> onClosed)
        : strand(asio::make_strand(context)), socket(this->strand), timer(this->strand),
          shared(std::move(shared)), targetName(std::move(targetName)),
          onClosed(std::move(onClosed))
    {
        randombytes_buf(this->ownNonce.data(), this->ownNonce.size());
        this->lastReceived = std::chrono::steady_clock::now();
    }

    asio::ip::tcp::socket &rawSocket() { return this->socket; }

    void connect(const Endpoint &to)
    {
        const LinkHubOptions &options = this->shared->options;
        const auto relay = options.trialRelays.relayFor(to);
        if (relay)
            this->preamble = relayPreamble({ .source = options.listen, .target = to });
        const Endpoint &next = relay ? *relay : to;
        std::error_code error;
        const auto address = asio::ip::make_address(next.address, error);
        this->isInitiator = true;
        this->lastReceived = std::chrono::steady_clock::now();
        this->scheduleCheck();
        this->socket.async_connect(
                { address, next.port },
                asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                          const std::error_code &failed) {
                    if (failed)
                        self->closeNow("connect failed: " + failed.message());
                    else
                        self->exchangeNonces();
                }));
    }

    void accept()
    {
        asio::dispatch(this->strand, [self = this->shared_from_this()] {
            self->countsAsUnauthenticated = true;
            if (++self->shared->unauthenticatedPeers > kMaxUnauthenticatedPeers) {
                self->shared->countDropped("tooManyUnproven");
                self->closeNow("too many unauthenticated peers");
                return;
            }
            self->scheduleCheck();
            self->exchangeNonces();
        });
    }

    bool send(const Message &message) override
    {
        if (this->down)
            return false;
        if (this->queued > kMaxQueuedBytes) {
            this->shared->countDropped("queueFull");
            return false;
        }
        // A queued message counts as one byte until sealed: its size is unknown before, and
        // sealing needs the session key.
        this->queued += 1;
        asio::dispatch(this->strand, [self = this->shared_from_this(), message] {
            self->queued -= 1;
            self->enqueue(message);
        });
        return true;
    }

    void close(const std::string &why) override
    {
        asio::dispatch(this->strand,
                       [self = this->shared_from_this(), why] { self->closeNow(why); });
    }

    bool established() const override { return this->sessionStarted; }

    Hello peer() const override
    {
        const std::lock_guard lock(this->peerMutex);
        return this->peerHello;
    }

    const std::string &target() const override { return this->targetName; }

    std::size_t queuedBytes() const override { return this->queued; }

    Duration roundTrip() const override
    {
        const std::lock_guard lock(this->peerMutex);
        if (!this->unansweredSince)
            return this->lastRoundTrip;
        return std::max(this->lastRoundTrip,
                        std::chrono::steady_clock::now() - *this->unansweredSince);
    }

private:
    void exchangeNonces()
    {
        std::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto self = this->shared_from_this();
        this->preamble.append(this->ownNonce.data(), this->ownNonce.size());
        asio::async_write(this->socket, asio::buffer(this->preamble),
                          asio::bind_executor(
                                  this->strand, [self](const std::error_code &error, std::size_t) {
                                      if (error)
                                          self->closeNow("handshake failed: " + error.message());
                                  }));
        asio::async_read(this->socket, asio::buffer(this->peerNonce),
                         asio::bind_executor(
                                 this->strand, [self](const std::error_code &error, std::size_t) {
                                     if (error)
                                         self->closeNow("handshake failed: " + error.message());
                                     else
                                         self->startSession();
                                 }));
    }

    void startSession()
    {
        const Nonce &initiatorNonce = this->isInitiator ? this->ownNonce : this->peerNonce;
        const Nonce &acceptorNonce = this->isInitiator ? this->peerNonce : this->ownNonce;
        const auto &options = this->shared->options;
        const auto sealerFor = [&](char direction) {
            return std::make_unique<FrameSealer>(FrameSealerOptions{
                    .cluster = options.cluster,
                    .key = sessionKey(options.key, initiatorNonce, acceptorNonce, direction),
                    .sender = options.self.instance,
                    .incarnation = options.incarnation });
        };
        this->outgoing = sealerFor(this->isInitiator ? 'o' : 'a');
        this->incoming = sealerFor(this->isInitiator ? 'a' : 'o');
        this->sessionStarted = true;
        this->lastUsedAt = this->lastReceived;
        if (this->isInitiator)
            this->shared->recordConnectResult(this->targetName, true);
        this->enqueue(options.self, true);
        for (auto &message : this->pendingMessages)
            this->enqueue(message);
        this->pendingMessages.clear();
        this->readLength();
    }

    void enqueue(const Message &message, bool first = false)
    {
        if (this->down)
            return;
        if (!this->outgoing) {
            this->pendingMessages.push_back(message);
            return;
        }
        if (!std::holds_alternative<Ping>(message) && !std::holds_alternative<Pong>(message))
            this->lastUsedAt = std::chrono::steady_clock::now();
        std::string bytes = this->outgoing->seal(message);
        if (bytes.size() > kMaxFrameBytes) {
            this->shared->countDropped("oversizeOut");
            return;
        }
        const auto prefix = lengthPrefix(bytes.size());
        bytes.insert(0, prefix.data(), prefix.size());
        this->queued += bytes.size();
        this->writeQueue.push_back(std::move(bytes));
        (void)first;
        if (!this->writing)
            this->writeNext();
    }

    void writeNext()
    {
        if (this->writeQueue.empty() || this->down)
            return;
        this->writing = true;
        asio::async_write(this->socket, asio::buffer(this->writeQueue.front()),
                          asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                                    const std::error_code &error,
                                                                    std::size_t size) {
                              self->writing = false;
                              if (error) {
                                  self->closeNow("write failed: " + error.message());
                                  return;
                              }
                              self->queued -= size;
                              self->writeQueue.pop_front();
                              self->writeNext();
                          }));
    }

    void readLength()
    {
        asio::async_read(this->socket, asio::buffer(this->prefix),
                         asio::bind_executor(
                                 this->strand, [self = this->shared_from_this()](
                                                       const std::error_code &error, std::size_t) {
                                     if (error)
                                         self->closeNow("read failed: " + error.message());
                                     else
                                         self->readBody();
                                 }));
    }

    void readBody()
    {
        const std::size_t size = prefixedLength(this->prefix);
        if (size > (this->lastCounter == 0 ? kMaxFirstFrameBytes : kMaxFrameBytes)) {
            this->shared->countDropped(frameErrorName(FrameError::oversize));
            this->closeNow("frame exceeds the size limit");
            return;
        }
        this->body.resize(size);
        asio::async_read(this->socket, asio::buffer(this->body),
                         asio::bind_executor(
                                 this->strand, [self = this->shared_from_this()](
                                                       const std::error_code &error, std::size_t) {
                                     if (error)
                                         self->closeNow("read failed: " + error.message());
                                     else
                                         self->handleFrame();
                                 }));
    }

    void handleFrame()
    {
        std::uint64_t counter = 0;
        Reason<FrameError> reason;
        auto frame = this->incoming->open(this->body, counter, reason);
        if (frame && counter <= this->lastCounter) {
            frame.reset();
            reason.code = FrameError::replayed;
        }
        if (!frame) {
            // After a MAC failure the frame boundaries of the stream can't be trusted any more.
            this->shared->countDropped(frameErrorName(reason.code));
            this->closeNow(std::string("invalid frame: ") + frameErrorName(reason.code));
            return;
        }
        const auto *hello = std::get_if<Hello>(&frame->message);
        const bool isFirst = this->lastCounter == 0;
        if (isFirst != (hello != nullptr) || (isFirst && hello->instance != frame->sender)) {
            this->shared->countDropped("wrongHello");
            this->closeNow(
                    "the first frame, and no other, must be the Hello of the sending instance");
            return;
        }
        this->endUnauthenticated();
        this->lastCounter = counter;
        this->lastReceived = std::chrono::steady_clock::now();
        this->dispatchFrame(std::move(*frame));
        if (!this->down)
            this->readLength();
    }

    /// Stops counting the peer as unauthenticated, after its first valid frame or on close.
    void endUnauthenticated()
    {
        if (std::exchange(this->countsAsUnauthenticated, false))
            --this->shared->unauthenticatedPeers;
    }

    void dispatchFrame(Frame frame)
    {
        if (const auto *ping = std::get_if<Ping>(&frame.message)) {
            this->enqueue(Pong{ .sequence = ping->sequence });
            return;
        }
        if (const auto *pong = std::get_if<Pong>(&frame.message)) {
            this->recordPong(*pong);
            return;
        }
        this->lastUsedAt = this->lastReceived;
        if (const auto *hello = std::get_if<Hello>(&frame.message)) {
            const std::lock_guard lock(this->peerMutex);
            this->peerHello = *hello;
            return;
        }
        this->shared->handlers.onFrame(this->shared_from_this(), std::move(frame));
    }

    /// Schedules the next check, which sends a heartbeat, or closes the link when an attempt timed
    /// out, the peer is silent or the link is idle.
    void scheduleCheck()
    {
        const bool isConnecting = this->isInitiator && !this->incoming;
        this->timer.expires_after(isConnecting ? this->shared->connectTimeout(this->targetName)
                                               : kHeartbeatPeriod);
        this->timer.async_wait(asio::bind_executor(
                this->strand, [self = this->shared_from_this()](const std::error_code &error) {
                    if (error || self->down)
                        return;
                    const auto silence = std::chrono::steady_clock::now() - self->lastReceived;
                    const bool isLate = self->isInitiator || silence > kMaxConnectTimeout;
                    if (!self->incoming && isLate) {
                        if (self->isInitiator)
                            self->shared->recordConnectResult(self->targetName, false);
                        self->closeNow("connect timed out");
                        return;
                    }
                    if (silence > kSilenceTimeout) {
                        self->closeNow("no frame from the peer within the silence timeout");
                        return;
                    }
                    const Milliseconds idleLimit = self->shared->options.idleLimit;
                    if (self->isInitiator && idleLimit > 0ms
                        && std::chrono::steady_clock::now() - self->lastUsedAt > idleLimit) {
                        self->closeNow("idle timeout");
                        return;
                    }
                    // Only the initiator sends heartbeats; they also show the acceptor
                    // that the initiator is alive.
                    if (self->incoming && self->isInitiator)
                        self->sendPing();
                    self->scheduleCheck();
                }));
    }

    void sendPing()
    {
        {
            const std::lock_guard lock(this->peerMutex);
            if (!this->unansweredSince) {
                this->unansweredSince = std::chrono::steady_clock::now();
                this->unansweredPing = this->pingSequence + 1;
            }
        }
        this->enqueue(Ping{ .sequence = ++this->pingSequence });
    }

    void recordPong(const Pong &pong)
    {
        const std::lock_guard lock(this->peerMutex);
        if (!this->unansweredSince || pong.sequence < this->unansweredPing)
            return;
        this->lastRoundTrip = std::chrono::steady_clock::now() - *this->unansweredSince;
        this->unansweredSince.reset();
    }

    void closeNow(const std::string &why)
    {
        if (this->down.exchange(true))
            return;
        this->endUnauthenticated();
        std::error_code ignored;
        this->timer.cancel();
        this->socket.close(ignored);
        logDebug("link closed", { { "target", this->targetName }, { "why", why } });
        const LinkPtr self = this->shared_from_this();
        this->onClosed(self);
        this->shared->handlers.onDown(self);
    }

    Strand strand;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::shared_ptr<LinkShared> shared;
    std::string targetName;
    std::function<void(const LinkPtr &)> onClosed;
    bool isInitiator{ false };
    std::atomic<bool> down{ false };
    std::atomic<std::size_t> queued{ 0 };
    std::atomic<bool> sessionStarted{ false };
    std::string preamble; ///< preamble of a trial relay, if any, then the nonce
    Nonce ownNonce{};
    Nonce peerNonce{};
    std::unique_ptr<FrameSealer> outgoing;
    std::unique_ptr<FrameSealer> incoming;
    std::uint64_t lastCounter{ 0 };
    bool countsAsUnauthenticated{ false };
    std::uint64_t pingSequence{ 0 };
    TimePoint lastReceived;
    TimePoint lastUsedAt; ///< last message other than a heartbeat
    std::deque<Message> pendingMessages;
    std::deque<std::string> writeQueue;
    bool writing{ false };
    std::array<char, kLengthBytes> prefix{};
    std::string body;
    mutable std::mutex peerMutex; ///< guards the members below
    Hello peerHello;
    Duration lastRoundTrip{ 0 };
    std::optional<TimePoint> unansweredSince;
    std::uint64_t unansweredPing{ 0 };
};

} // namespace

class LinkHub::Impl : public std::enable_shared_from_this<LinkHub::Impl>
{
public:
    Impl(WorkerPool &pool, LinkHubOptions options, LinkHandlers handlers)
        : pool(pool), acceptor(asio::make_strand(pool.context())),
          shared(std::make_shared<LinkShared>())
    {
        this->shared->options = std::move(options);
        this->shared->handlers = std::move(handlers);
    }

    bool listen(Reason<std::error_code> &reason)
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
        return true;
    }

    LinkPtr open(const Endpoint &to, Channel channel)
    {
        const auto key = std::make_pair(to.text(), channel);
        std::shared_ptr<TcpLink> link;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->opened.find(key);
            if (found != this->opened.end())
                return found->second;
            link = std::make_shared<TcpLink>(this->pool.context(), this->shared, key.first,
                                             this->removalHandler());
            this->opened[key] = link;
        }
        link->connect(to);
        return link;
    }

    void shutdown()
    {
        std::vector<LinkPtr> links;
        {
            const std::lock_guard lock(this->mutex);
            for (const auto &[key, link] : this->opened)
                links.push_back(link);
            links.insert(links.end(), this->accepted.begin(), this->accepted.end());
        }
        asio::dispatch(this->acceptor.get_executor(), [self = this->shared_from_this()] {
            std::error_code ignored;
            self->acceptor.close(ignored);
        });
        for (const auto &link : links)
            link->close("shutdown");
    }

    std::vector<LinkPtr> peers(Role role)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<LinkPtr> found;
        for (const LinkPtr &link : this->accepted) {
            const Hello hello = link->peer();
            if (!hello.instance.empty() && hello.role == role)
                found.push_back(link);
        }
        return found;
    }

    std::shared_ptr<LinkShared> sharedState() { return this->shared; }

private:
    /// Handler that removes a closed link from the hub's tables.
    std::function<void(const LinkPtr &)> removalHandler()
    {
        return [weak = this->weak_from_this()](const LinkPtr &link) {
            const auto self = weak.lock();
            if (!self)
                return;
            const std::lock_guard lock(self->mutex);
            std::erase_if(self->opened,
                          [&link](const auto &entry) { return entry.second == link; });
            self->accepted.erase(link);
        };
    }

    void acceptNext()
    {
        auto link = std::make_shared<TcpLink>(this->pool.context(), this->shared, "",
                                              this->removalHandler());
        this->acceptor.async_accept(link->rawSocket(), [self = this->shared_from_this(),
                                                        link](const std::error_code &error) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error) {
                {
                    const std::lock_guard lock(self->mutex);
                    self->accepted.insert(link);
                }
                link->accept();
            }
            self->acceptNext();
        });
    }

    WorkerPool &pool;
    asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<LinkShared> shared;
    std::mutex mutex;
    std::map<std::pair<std::string, Channel>, LinkPtr> opened;
    std::set<LinkPtr> accepted;
};

LinkHub::LinkHub(WorkerPool &pool, LinkHubOptions options, LinkHandlers handlers)
    : impl(std::make_shared<Impl>(pool, std::move(options), std::move(handlers)))
{}

LinkHub::~LinkHub() = default;

bool LinkHub::listen(Reason<std::error_code> &reason)
{
    return this->impl->listen(reason);
}

LinkPtr LinkHub::open(const Endpoint &to, Channel channel)
{
    return this->impl->open(to, channel);
}

bool LinkHub::send(const std::string &to, Channel channel, const Message &message)
{
    const auto endpoint = Endpoint::parse(to);
    return endpoint && this->impl->open(*endpoint, channel)->send(message);
}

std::vector<LinkPtr> LinkHub::peers(Role role) const
{
    return this->impl->peers(role);
}

std::map<std::string, std::uint64_t> LinkHub::droppedFrames() const
{
    const auto shared = this->impl->sharedState();
    const std::lock_guard lock(shared->mutex);
    return shared->dropped;
}

void LinkHub::shutdown()
{
    this->impl->shutdown();
}

} // namespace egret
