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

/// The first timeout is short: TCP retransmits a lost first packet only after a second, whereas a
/// host that has just started answers a new attempt at once. Each failure doubles the timeout,
/// because an attempt over a congested path takes longer.
constexpr Milliseconds kInitialConnectTimeout = 300ms;
constexpr Milliseconds kMaxConnectTimeout = 1500ms;
constexpr Milliseconds kHeartbeatPeriod = 500ms;
/// Period between regions, where the bandwidth is low and most of the links are idle.
constexpr Milliseconds kRemoteHeartbeatPeriod = 900ms;
constexpr Milliseconds kSilenceTimeout = 2s;
/// Bytes queued on a link above which further messages are refused.
constexpr std::size_t kMaxQueuedBytes = 16U << 20U;
/// Any host can open a connection. The size of the first frame and the number of peers that have
/// not yet sent a valid frame are therefore limited.
constexpr std::size_t kMaxFirstFrameBytes = 1024;
constexpr std::size_t kMaxUnauthenticatedPeers = 64;
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kLengthBytes = 4;

using Strand = asio::strand<asio::io_context::executor_type>;
using Nonce = std::array<char, kNonceBytes>;

/// Key of one direction of one connection; `direction` is 'o' for frames of the initiator and 'a'
/// for frames of the acceptor. Because keys differ, a frame replayed from another connection or
/// direction fails the MAC check.
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
    std::map<std::string, std::uint64_t> dropCounts;     ///< by reason
    std::map<std::string, Milliseconds> connectTimeouts; ///< by target; only for targets whose last
                                                         ///< attempt failed
    /// Number of accepted links on which no valid frame has been received yet.
    std::atomic<std::size_t> unauthenticatedPeerCount{ 0 };

    /// Time limit of the next connection attempt to a target.
    Milliseconds connectTimeout(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connectTimeouts.find(target);
        return found == this->connectTimeouts.end() ? kInitialConnectTimeout : found->second;
    }

    void recordConnectResult(const std::string &target, bool hasSucceeded)
    {
        const std::lock_guard lock(this->mutex);
        if (hasSucceeded) {
            this->connectTimeouts.erase(target);
            return;
        }
        const auto entry = this->connectTimeouts.emplace(target, kInitialConnectTimeout).first;
        entry->second = std::min(entry->second * 2, kMaxConnectTimeout);
    }

    void countDropped(const std::string &reason)
    {
        const std::lock_guard lock(this->mutex);
        ++this->dropCounts[reason];
    }
};

/// Link over one TCP connection. The initiator opened the connection, the acceptor accepted it. In
/// the handshake both sides send a nonce; the session keys are derived from both nonces.
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
        this->lastReceivedAt = std::chrono::steady_clock::now();
    }

    asio::ip::tcp::socket &rawSocket() { return this->socket; }

    void connect(const Endpoint &to)
    {
        const LinkHubOptions &options = this->shared->options;
        const auto relay = options.trialRelays.relayFor(to);
        if (relay)
            this->handshakeBytes = relayPreamble({ .source = options.listen, .target = to });
        const Endpoint &nextHop = relay ? *relay : to;
        std::error_code error;
        const auto address = asio::ip::make_address(nextHop.address, error);
        this->isInitiator = true;
        this->lastReceivedAt = std::chrono::steady_clock::now();
        this->scheduleCheck();
        this->socket.async_connect(
                { address, nextHop.port },
                asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                          const std::error_code &connectError) {
                    if (connectError)
                        self->closeNow("connect failed: " + connectError.message());
                    else
                        self->exchangeNonces();
                }));
    }

    void accept()
    {
        asio::dispatch(this->strand, [self = this->shared_from_this()] {
            self->countsAsUnauthenticated = true;
            if (++self->shared->unauthenticatedPeerCount > kMaxUnauthenticatedPeers) {
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
        if (this->isDown)
            return false;
        if (this->queuedSize > kMaxQueuedBytes) {
            this->shared->countDropped("queueFull");
            return false;
        }
        // A queued message counts as one byte until it is sealed. Only the sealed message has a
        // known size, and sealing needs the session key.
        this->queuedSize += 1;
        asio::dispatch(this->strand, [self = this->shared_from_this(), message] {
            self->queuedSize -= 1;
            self->enqueue(message);
        });
        return true;
    }

    void close(const std::string &why) override
    {
        asio::dispatch(this->strand,
                       [self = this->shared_from_this(), why] { self->closeNow(why); });
    }

    bool established() const override { return this->hasSession; }

    Hello peer() const override
    {
        const std::lock_guard lock(this->peerMutex);
        return this->peerHello;
    }

    const std::string &target() const override { return this->targetName; }

    std::size_t queuedBytes() const override { return this->queuedSize; }

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
        this->handshakeBytes.append(this->ownNonce.data(), this->ownNonce.size());
        asio::async_write(this->socket, asio::buffer(this->handshakeBytes),
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
        this->outgoingSealer = sealerFor(this->isInitiator ? 'o' : 'a');
        this->incomingSealer = sealerFor(this->isInitiator ? 'a' : 'o');
        this->hasSession = true;
        this->lastUsedAt = this->lastReceivedAt;
        if (this->isInitiator)
            this->shared->recordConnectResult(this->targetName, true);
        this->enqueue(options.self, true);
        for (auto &message : this->pendingMessages)
            this->enqueue(message);
        this->pendingMessages.clear();
        this->readLength();
    }

    void enqueue(const Message &message, bool isFirst = false)
    {
        if (this->isDown)
            return;
        if (!this->outgoingSealer) {
            this->pendingMessages.push_back(message);
            return;
        }
        if (!std::holds_alternative<Ping>(message) && !std::holds_alternative<Pong>(message))
            this->lastUsedAt = std::chrono::steady_clock::now();
        std::string bytes = this->outgoingSealer->seal(message);
        if (bytes.size() > kMaxFrameBytes) {
            this->shared->countDropped("oversizeOut");
            return;
        }
        const auto prefix = lengthPrefix(bytes.size());
        bytes.insert(0, prefix.data(), prefix.size());
        this->queuedSize += bytes.size();
        this->writeQueue.push_back(std::move(bytes));
        (void)isFirst;
        if (!this->isWriting)
            this->writeNext();
    }

    void writeNext()
    {
        if (this->writeQueue.empty() || this->isDown)
            return;
        this->isWriting = true;
        asio::async_write(this->socket, asio::buffer(this->writeQueue.front()),
                          asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                                    const std::error_code &error,
                                                                    std::size_t size) {
                              self->isWriting = false;
                              if (error) {
                                  self->closeNow("write failed: " + error.message());
                                  return;
                              }
                              self->queuedSize -= size;
                              self->writeQueue.pop_front();
                              self->writeNext();
                          }));
    }

    void readLength()
    {
        asio::async_read(this->socket, asio::buffer(this->receivedPrefix),
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
        const std::size_t size = prefixedLength(this->receivedPrefix);
        if (size > (this->lastReceivedCounter == 0 ? kMaxFirstFrameBytes : kMaxFrameBytes)) {
            this->shared->countDropped(frameErrorName(FrameError::oversize));
            this->closeNow("frame exceeds the size limit");
            return;
        }
        this->receivedBody.resize(size);
        asio::async_read(this->socket, asio::buffer(this->receivedBody),
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
        auto frame = this->incomingSealer->open(this->receivedBody, counter, reason);
        if (frame && counter <= this->lastReceivedCounter) {
            frame.reset();
            reason.code = FrameError::replayed;
        }
        if (!frame) {
            // After an invalid frame, the frame boundaries of the stream can't be trusted any more.
            this->shared->countDropped(frameErrorName(reason.code));
            this->closeNow(std::string("invalid frame: ") + frameErrorName(reason.code));
            return;
        }
        const auto *hello = std::get_if<Hello>(&frame->message);
        const bool isFirst = this->lastReceivedCounter == 0;
        if (isFirst != (hello != nullptr) || (isFirst && hello->instance != frame->sender)) {
            this->shared->countDropped("wrongHello");
            this->closeNow(
                    "the first frame, and no other, must be the Hello of the sending instance");
            return;
        }
        this->stopCountingUnauthenticated();
        this->lastReceivedCounter = counter;
        this->lastReceivedAt = std::chrono::steady_clock::now();
        this->dispatchFrame(std::move(*frame));
        if (!this->isDown)
            this->readLength();
    }

    /// Stops counting this link as unauthenticated: after the first valid frame, or when it closes.
    void stopCountingUnauthenticated()
    {
        if (std::exchange(this->countsAsUnauthenticated, false))
            --this->shared->unauthenticatedPeerCount;
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
        this->lastUsedAt = this->lastReceivedAt;
        if (const auto *hello = std::get_if<Hello>(&frame.message)) {
            const std::lock_guard lock(this->peerMutex);
            this->peerHello = *hello;
            return;
        }
        this->shared->handlers.onFrame(this->shared_from_this(), std::move(frame));
    }

    /// Schedules the next check. The check closes the link when the connection attempt has timed
    /// out, the peer is silent or the link is idle; otherwise the initiator sends a heartbeat.
    void scheduleCheck()
    {
        const bool isConnecting = this->isInitiator && !this->incomingSealer;
        this->timer.expires_after(isConnecting ? this->shared->connectTimeout(this->targetName)
                                               : this->heartbeatPeriod());
        this->timer.async_wait(asio::bind_executor(
                this->strand, [self = this->shared_from_this()](const std::error_code &error) {
                    if (error || self->isDown)
                        return;
                    const auto silence = std::chrono::steady_clock::now() - self->lastReceivedAt;
                    const bool isHandshakeOverdue =
                            self->isInitiator || silence > kMaxConnectTimeout;
                    if (!self->incomingSealer && isHandshakeOverdue) {
                        if (self->isInitiator)
                            self->shared->recordConnectResult(self->targetName, false);
                        self->closeNow("connect timed out");
                        return;
                    }
                    if (silence > kSilenceTimeout) {
                        self->closeNow("no frame from the peer within the silence timeout");
                        return;
                    }
                    const Milliseconds idleTimeout = self->shared->options.idleTimeout;
                    if (self->isInitiator && idleTimeout > 0ms
                        && std::chrono::steady_clock::now() - self->lastUsedAt > idleTimeout) {
                        self->closeNow("idle");
                        return;
                    }
                    // Only the initiator sends heartbeats. The heartbeats also show the
                    // acceptor that the initiator is alive.
                    if (self->incomingSealer && self->isInitiator)
                        self->sendPing();
                    self->scheduleCheck();
                }));
    }

    Milliseconds heartbeatPeriod() const
    {
        const std::lock_guard lock(this->peerMutex);
        const std::string &region = this->peerHello.region;
        return region.empty() || region == this->shared->options.self.region
                       ? kHeartbeatPeriod
                       : kRemoteHeartbeatPeriod;
    }

    void sendPing()
    {
        {
            const std::lock_guard lock(this->peerMutex);
            if (!this->unansweredSince) {
                this->unansweredSince = std::chrono::steady_clock::now();
                this->unansweredPingSequence = this->pingSequence + 1;
            }
        }
        this->enqueue(Ping{ .sequence = ++this->pingSequence });
    }

    void recordPong(const Pong &pong)
    {
        const std::lock_guard lock(this->peerMutex);
        if (!this->unansweredSince || pong.sequence < this->unansweredPingSequence)
            return;
        this->lastRoundTrip = std::chrono::steady_clock::now() - *this->unansweredSince;
        this->unansweredSince.reset();
    }

    void closeNow(const std::string &why)
    {
        if (this->isDown.exchange(true))
            return;
        this->stopCountingUnauthenticated();
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
    std::atomic<bool> isDown{ false };
    std::atomic<std::size_t> queuedSize{ 0 }; ///< see queuedBytes()
    std::atomic<bool> hasSession{ false };    ///< the handshake has ended
    std::string handshakeBytes; ///< nonce, after a preamble when a trial relay is used
    Nonce ownNonce{};
    Nonce peerNonce{};
    std::unique_ptr<FrameSealer> outgoingSealer; ///< null until the handshake has ended
    std::unique_ptr<FrameSealer> incomingSealer; ///< null until the handshake has ended
    std::uint64_t lastReceivedCounter{ 0 };      ///< of the last valid frame; 0 before the first
    bool countsAsUnauthenticated{ false }; ///< included in LinkShared::unauthenticatedPeerCount
    std::uint64_t pingSequence{ 0 };
    TimePoint lastReceivedAt;            ///< last valid frame, or start of the connection attempt
    TimePoint lastUsedAt;                ///< last message other than a heartbeat
    std::deque<Message> pendingMessages; ///< sent before the handshake has ended
    std::deque<std::string> writeQueue;  ///< sealed frames with length prefixes
    bool isWriting{ false };
    std::array<char, kLengthBytes> receivedPrefix{};
    std::string receivedBody;
    mutable std::mutex peerMutex; ///< guards the members below
    Hello peerHello;
    Duration lastRoundTrip{ 0 };
    std::optional<TimePoint> unansweredSince;  ///< send time of the oldest unanswered heartbeat
    std::uint64_t unansweredPingSequence{ 0 }; ///< sequence number of that heartbeat
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
        const Endpoint &listenEndpoint = this->shared->options.listen;
        const auto address = asio::ip::make_address(listenEndpoint.address, reason.code);
        if (reason.code)
            return false;
        const asio::ip::tcp::endpoint endpoint(address, listenEndpoint.port);
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
            const auto found = this->openedLinks.find(key);
            if (found != this->openedLinks.end())
                return found->second;
            link = std::make_shared<TcpLink>(this->pool.context(), this->shared, key.first,
                                             this->removalHandler());
            this->openedLinks[key] = link;
        }
        link->connect(to);
        return link;
    }

    void shutdown()
    {
        std::vector<LinkPtr> links;
        {
            const std::lock_guard lock(this->mutex);
            for (const auto &[key, link] : this->openedLinks)
                links.push_back(link);
            links.insert(links.end(), this->acceptedLinks.begin(), this->acceptedLinks.end());
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
        std::vector<LinkPtr> matchingLinks;
        for (const LinkPtr &link : this->acceptedLinks) {
            const Hello hello = link->peer();
            if (!hello.instance.empty() && hello.role == role)
                matchingLinks.push_back(link);
        }
        return matchingLinks;
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
            std::erase_if(self->openedLinks,
                          [&link](const auto &entry) { return entry.second == link; });
            self->acceptedLinks.erase(link);
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
                    self->acceptedLinks.insert(link);
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
    std::map<std::pair<std::string, Channel>, LinkPtr> openedLinks;
    std::set<LinkPtr> acceptedLinks;
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
    return shared->dropCounts;
}

void LinkHub::shutdown()
{
    this->impl->shutdown();
}

} // namespace egret
