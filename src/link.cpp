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

/// A peer's machine that starts answers a new attempt at once, while a lost first
/// packet is sent again only after a second. Over a full link that takes longer:
/// each failure doubles the limit.
constexpr Milliseconds kFirstConnectLimit = 300ms;
constexpr Milliseconds kLongestConnectLimit = 1500ms;
constexpr Milliseconds kHeartbeatPeriod = 500ms;
constexpr Milliseconds kSilenceLimit = 2s;
constexpr std::size_t kMaxQueuedBytes = 16U << 20U;
/// A frame of a peer that has not proved itself, and how many such peers there may be.
constexpr std::size_t kMaxFirstFrameBytes = 1024;
constexpr std::size_t kMaxUnproven = 64;
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kLengthBytes = 4;

using Strand = asio::strand<asio::io_context::executor_type>;
using Nonce = std::array<char, kNonceBytes>;

/// Key of one direction of one connection; a recorded frame fits no other.
std::string sessionKey(const std::string &clusterKey, const Nonce &opener, const Nonce &accepter,
                       char direction)
{
    std::string input(opener.data(), opener.size());
    input.append(accepter.data(), accepter.size());
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

/// What all links of a hub share.
struct LinkShared
{
    LinkHubOptions options;
    LinkHandlers handlers;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> dropped;
    std::map<std::string, Milliseconds> connectLimits; ///< by target that did not answer
    std::atomic<std::size_t> unproven{ 0 };            ///< accepted peers without a valid frame yet

    /// Time for the next attempt to reach a target.
    Milliseconds connectLimit(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connectLimits.find(target);
        return found == this->connectLimits.end() ? kFirstConnectLimit : found->second;
    }

    void noteConnect(const std::string &target, bool isReached)
    {
        const std::lock_guard lock(this->mutex);
        if (isReached) {
            this->connectLimits.erase(target);
            return;
        }
        const auto known = this->connectLimits.emplace(target, kFirstConnectLimit).first;
        known->second = std::min(known->second * 2, kLongestConnectLimit);
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
        this->opener = true;
        this->lastReceived = std::chrono::steady_clock::now();
        this->watch();
        this->socket.async_connect(
                { address, next.port },
                asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                          const std::error_code &failed) {
                    if (failed)
                        self->shut("connect failed: " + failed.message());
                    else
                        self->exchangeNonces();
                }));
    }

    void accept()
    {
        asio::dispatch(this->strand, [self = this->shared_from_this()] {
            self->unproven = true;
            if (++self->shared->unproven > kMaxUnproven) {
                self->shared->countDropped("tooManyUnproven");
                self->shut("too many unproven peers");
                return;
            }
            self->watch();
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
        // The size is not known before sealing, and sealing needs the session.
        this->queued += 1;
        asio::dispatch(this->strand, [self = this->shared_from_this(), message] {
            self->queued -= 1;
            self->enqueue(message);
        });
        return true;
    }

    void close(const std::string &why) override
    {
        asio::dispatch(this->strand, [self = this->shared_from_this(), why] { self->shut(why); });
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
                          asio::bind_executor(this->strand,
                                              [self](const std::error_code &error, std::size_t) {
                                                  if (error)
                                                      self->shut("handshake: " + error.message());
                                              }));
        asio::async_read(this->socket, asio::buffer(this->peerNonce),
                         asio::bind_executor(this->strand,
                                             [self](const std::error_code &error, std::size_t) {
                                                 if (error)
                                                     self->shut("handshake: " + error.message());
                                                 else
                                                     self->startSession();
                                             }));
    }

    void startSession()
    {
        const Nonce &openerNonce = this->opener ? this->ownNonce : this->peerNonce;
        const Nonce &accepterNonce = this->opener ? this->peerNonce : this->ownNonce;
        const auto &options = this->shared->options;
        const auto sealerFor = [&](char direction) {
            return std::make_unique<FrameSealer>(FrameSealerOptions{
                    .cluster = options.cluster,
                    .key = sessionKey(options.key, openerNonce, accepterNonce, direction),
                    .sender = options.self.instance,
                    .incarnation = options.incarnation });
        };
        this->outgoing = sealerFor(this->opener ? 'o' : 'a');
        this->incoming = sealerFor(this->opener ? 'a' : 'o');
        this->sessionStarted = true;
        this->usedAt = this->lastReceived;
        if (this->opener)
            this->shared->noteConnect(this->targetName, true);
        this->enqueue(options.self, true);
        for (auto &message : this->waiting)
            this->enqueue(message);
        this->waiting.clear();
        this->readLength();
    }

    void enqueue(const Message &message, bool first = false)
    {
        if (this->down)
            return;
        if (!this->outgoing) {
            this->waiting.push_back(message);
            return;
        }
        if (!std::holds_alternative<Ping>(message) && !std::holds_alternative<Pong>(message))
            this->usedAt = std::chrono::steady_clock::now();
        std::string bytes = this->outgoing->seal(message);
        if (bytes.size() > kMaxFrameBytes) {
            this->shared->countDropped("oversizeOut");
            return;
        }
        const auto prefix = lengthPrefix(bytes.size());
        bytes.insert(0, prefix.data(), prefix.size());
        this->queued += bytes.size();
        this->writes.push_back(std::move(bytes));
        (void)first;
        if (!this->writing)
            this->writeNext();
    }

    void writeNext()
    {
        if (this->writes.empty() || this->down)
            return;
        this->writing = true;
        asio::async_write(this->socket, asio::buffer(this->writes.front()),
                          asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                                                    const std::error_code &error,
                                                                    std::size_t size) {
                              self->writing = false;
                              if (error) {
                                  self->shut("write: " + error.message());
                                  return;
                              }
                              self->queued -= size;
                              self->writes.pop_front();
                              self->writeNext();
                          }));
    }

    void readLength()
    {
        asio::async_read(this->socket, asio::buffer(this->prefix),
                         asio::bind_executor(this->strand,
                                             [self = this->shared_from_this()](
                                                     const std::error_code &error, std::size_t) {
                                                 if (error)
                                                     self->shut("read: " + error.message());
                                                 else
                                                     self->readBody();
                                             }));
    }

    void readBody()
    {
        const std::size_t size = prefixedLength(this->prefix);
        if (size > (this->lastCounter == 0 ? kMaxFirstFrameBytes : kMaxFrameBytes)) {
            this->shared->countDropped(frameErrorName(FrameError::oversize));
            this->shut("oversize frame");
            return;
        }
        this->body.resize(size);
        asio::async_read(this->socket, asio::buffer(this->body),
                         asio::bind_executor(this->strand,
                                             [self = this->shared_from_this()](
                                                     const std::error_code &error, std::size_t) {
                                                 if (error)
                                                     self->shut("read: " + error.message());
                                                 else
                                                     self->takeFrame();
                                             }));
    }

    void takeFrame()
    {
        std::uint64_t counter = 0;
        Reason<FrameError> reason;
        auto frame = this->incoming->open(this->body, counter, reason);
        if (frame && counter <= this->lastCounter) {
            frame.reset();
            reason.code = FrameError::replayed;
        }
        if (!frame) {
            // A stream that fails its MAC has lost its framing for good.
            this->shared->countDropped(frameErrorName(reason.code));
            this->shut(std::string("bad frame: ") + frameErrorName(reason.code));
            return;
        }
        const auto *hello = std::get_if<Hello>(&frame->message);
        const bool isFirst = this->lastCounter == 0;
        if (isFirst != (hello != nullptr) || (isFirst && hello->instance != frame->sender)) {
            this->shared->countDropped("wrongHello");
            this->shut("the first frame, and only it, must be the sender's hello");
            return;
        }
        this->prove();
        this->lastCounter = counter;
        this->lastReceived = std::chrono::steady_clock::now();
        this->dispatchFrame(std::move(*frame));
        if (!this->down)
            this->readLength();
    }

    /// The peer has shown the key, or is gone: it no longer counts as unproven.
    void prove()
    {
        if (std::exchange(this->unproven, false))
            --this->shared->unproven;
    }

    void dispatchFrame(Frame frame)
    {
        if (const auto *ping = std::get_if<Ping>(&frame.message)) {
            this->enqueue(Pong{ .sequence = ping->sequence });
            return;
        }
        if (const auto *pong = std::get_if<Pong>(&frame.message)) {
            this->notePong(*pong);
            return;
        }
        this->usedAt = this->lastReceived;
        if (const auto *hello = std::get_if<Hello>(&frame.message)) {
            const std::lock_guard lock(this->peerMutex);
            this->peerHello = *hello;
            return;
        }
        this->shared->handlers.onFrame(this->shared_from_this(), std::move(frame));
    }

    /// Sends heartbeats and closes the link when the peer is silent.
    void watch()
    {
        const bool isConnecting = this->opener && !this->incoming;
        this->timer.expires_after(isConnecting ? this->shared->connectLimit(this->targetName)
                                               : kHeartbeatPeriod);
        this->timer.async_wait(asio::bind_executor(
                this->strand, [self = this->shared_from_this()](const std::error_code &error) {
                    if (error || self->down)
                        return;
                    const auto silence = std::chrono::steady_clock::now() - self->lastReceived;
                    const bool isLate = self->opener || silence > kLongestConnectLimit;
                    if (!self->incoming && isLate) {
                        if (self->opener)
                            self->shared->noteConnect(self->targetName, false);
                        self->shut("connect timed out");
                        return;
                    }
                    if (silence > kSilenceLimit) {
                        self->shut("peer is silent");
                        return;
                    }
                    const Milliseconds idleLimit = self->shared->options.idleLimit;
                    if (self->opener && idleLimit > 0ms
                        && std::chrono::steady_clock::now() - self->usedAt > idleLimit) {
                        self->shut("idle");
                        return;
                    }
                    // The end that opened the link asks; its questions show the
                    // other end that it is there.
                    if (self->incoming && self->opener)
                        self->sendPing();
                    self->watch();
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

    void notePong(const Pong &pong)
    {
        const std::lock_guard lock(this->peerMutex);
        if (!this->unansweredSince || pong.sequence < this->unansweredPing)
            return;
        this->lastRoundTrip = std::chrono::steady_clock::now() - *this->unansweredSince;
        this->unansweredSince.reset();
    }

    void shut(const std::string &why)
    {
        if (this->down.exchange(true))
            return;
        this->prove();
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
    bool opener{ false };
    std::atomic<bool> down{ false };
    std::atomic<std::size_t> queued{ 0 };
    std::atomic<bool> sessionStarted{ false };
    std::string preamble; ///< of a trial relay, then the nonce
    Nonce ownNonce{};
    Nonce peerNonce{};
    std::unique_ptr<FrameSealer> outgoing;
    std::unique_ptr<FrameSealer> incoming;
    std::uint64_t lastCounter{ 0 };
    bool unproven{ false };
    std::uint64_t pingSequence{ 0 };
    TimePoint lastReceived;
    TimePoint usedAt; ///< heartbeats are no use
    std::deque<Message> waiting;
    std::deque<std::string> writes;
    bool writing{ false };
    std::array<char, kLengthBytes> prefix{};
    std::string body;
    mutable std::mutex peerMutex; ///< of all that follows
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
                                             this->forgetter());
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
    /// Removes a closed link from the tables.
    std::function<void(const LinkPtr &)> forgetter()
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
                                              this->forgetter());
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
