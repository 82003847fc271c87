#include "standin/relay.h"

#include "trial_relays.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace egret {

namespace {

constexpr std::size_t kReadBufferBytes = 8192;
constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr Milliseconds kMaxDatagramQueueDelay = 500ms;
constexpr Milliseconds kBlockedPollInterval = 20ms;

using Strand = asio::strand<asio::io_context::executor_type>;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

/// Names of source and target, which are either two zones or two regions.
using Direction = std::pair<std::string, std::string>;

/// Fault injected in one direction between two zones.
struct DirectionFault
{
    bool isCut{ false };
    double lossShare{ 0 }; ///< share of datagrams lost
};

/// Link from one region to another, shared by all zones of the two regions. Traffic
/// between the zones of one region shares a link from the region to itself.
struct RegionLink
{
    TimePoint freeAt; ///< time at which the link has sent all queued bytes
    std::uint64_t bytesSent{ 0 };
};

Tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

Udp::endpoint udpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

/// Rate limit, latency and faults of the simulated network. Not thread safe.
class Network
{
public:
    explicit Network(const StandinSettings &settings)
        : rate(settings.rate), latency(settings.latency), zones(settings.relayZones),
          random(settings.seed)
    {}

    /// Zone whose address prefix matches `endpoint`; null for none.
    const RelayZone *findZone(const Endpoint &endpoint) const
    {
        for (const RelayZone &zone : this->zones) {
            if (endpoint.address.starts_with(zone.prefix))
                return &zone;
        }
        return nullptr;
    }

    std::string zoneNameOf(const Endpoint &endpoint) const
    {
        const RelayZone *zone = this->findZone(endpoint);
        return zone == nullptr ? "" : zone->zone;
    }

    bool isCut(const Direction &direction) { return this->faults[direction].isCut; }

    /// Decides at random, by the direction's loss share, whether to drop a datagram.
    bool dropsDatagram(const Direction &direction)
    {
        const double share = this->faults[direction].lossShare;
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    /// Time until the link from the source's region to the target's region is free.
    Duration queueDelay(const Direction &direction, TimePoint now)
    {
        return std::max(Duration::zero(), this->linkOf(direction).freeAt - now);
    }

    /// Queues bytes on the link from the source's region to the target's region; returns
    /// the time at which the last byte is sent.
    TimePoint reserveLink(const Direction &direction, std::size_t bytes, TimePoint now)
    {
        RegionLink &link = this->linkOf(direction);
        link.bytesSent += bytes;
        link.freeAt = std::max(link.freeAt, now);
        if (this->rate > 0)
            link.freeAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    static_cast<double>(bytes) / static_cast<double>(this->rate)));
        return link.freeAt;
    }

    /// Applies `change` to the fault of each direction from zone `from` to zone `to`; an
    /// empty name matches all zones.
    template <class Change>
    void forEachDirection(const std::string &from, const std::string &to, Change &&change)
    {
        for (const RelayZone &source : this->zones) {
            for (const RelayZone &target : this->zones) {
                const bool matches =
                        (from.empty() || from == source.zone) && (to.empty() || to == target.zone);
                if (matches && source.zone != target.zone)
                    change(this->faults[{ source.zone, target.zone }]);
            }
        }
    }

    /// Bytes sent on each link, by "SOURCE>TARGET" with region names.
    nlohmann::json regionPairBytes() const
    {
        nlohmann::json out = nlohmann::json::object();
        for (const auto &[direction, link] : this->links)
            out[direction.first + ">" + direction.second] = link.bytesSent;
        return out;
    }

    std::uint64_t rate;   ///< bytes per second of each link; 0 for no limit
    Milliseconds latency; ///< one-way latency

private:
    RegionLink &linkOf(const Direction &direction)
    {
        const auto regionOf = [this](const std::string &zone) {
            for (const RelayZone &candidate : this->zones) {
                if (candidate.zone == zone)
                    return candidate.region;
            }
            return zone;
        };
        return this->links[{ regionOf(direction.first), regionOf(direction.second) }];
    }

    std::vector<RelayZone> zones;
    std::map<Direction, DirectionFault> faults;
    std::map<Direction, RegionLink> links;
    std::mt19937_64 random;
};

/// One direction of a relayed connection.
struct Flow
{
    explicit Flow(const Strand &strand) : timer(strand) {}

    Direction direction;
    Tcp::socket *source{ nullptr };
    Tcp::socket *target{ nullptr };
    asio::steady_timer timer;
    std::array<char, kReadBufferBytes> readBuffer{};
    std::deque<std::string> writeQueue; ///< an empty string marks the end of the stream
    std::size_t pendingBytes{ 0 };      ///< bytes read but not yet written
    TimePoint lastDeliveryAt;           ///< time of the last scheduled delivery
    bool isWriting{ false };
    bool ended{ false };
};

/// One relayed connection. All methods run on the strand.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(const Strand &strand, Network &network)
        : strand(strand), network(network), initiator(strand), responder(strand), forward(strand),
          backward(strand)
    {}

    Tcp::socket &initiatorSocket() { return this->initiator; }

    void start()
    {
        asio::async_read(
                this->initiator, asio::buffer(this->preamble),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
                    if (!error)
                        self->connect();
                });
    }

    /// Silences the connection when it links zones `from` and `to`, in any order; an
    /// empty name matches all zones. Both sockets stay open.
    void silenceIfBetween(const std::string &from, const std::string &to)
    {
        const Direction &direction = this->forward.direction;
        const auto matches = [&](const std::string &source, const std::string &target) {
            return (from.empty() || from == source) && (to.empty() || to == target);
        };
        if (matches(direction.first, direction.second)
            || matches(direction.second, direction.first))
            this->isSilent = true;
    }

    void close()
    {
        std::error_code ignored;
        this->initiator.close(ignored);
        this->responder.close(ignored);
    }

private:
    /// Parses the preamble and connects to the target.
    void connect()
    {
        const auto endpoints = parseRelayPreamble({ this->preamble.data(), this->preamble.size() });
        if (!endpoints)
            return;
        this->forward.direction = { this->network.zoneNameOf(endpoints->source),
                                    this->network.zoneNameOf(endpoints->target) };
        this->backward.direction = { this->forward.direction.second,
                                     this->forward.direction.first };
        this->forward.source = this->backward.target = &this->initiator;
        this->forward.target = this->backward.source = &this->responder;
        this->target = tcpEndpoint(endpoints->target);
        this->connectWhenHealed();
    }

    /// Waits until neither direction is cut, like a TCP client that retransmits its SYN,
    /// and connects to the target. The delay of twice the one-way latency simulates the
    /// round trip of the TCP handshake.
    void connectWhenHealed()
    {
        const bool isBlocked = this->network.isCut(this->forward.direction)
                               || this->network.isCut(this->backward.direction) || this->isSilent;
        if (isBlocked)
            return this->runAfter(this->forward, kBlockedPollInterval,
                                  [this] { this->connectWhenHealed(); });
        this->runAfter(this->forward, 2 * this->network.latency, [this] {
            this->responder.async_connect(
                    this->target, [self = this->shared_from_this()](const std::error_code &error) {
                        if (error)
                            return self->close();
                        std::error_code ignored;
                        self->initiator.set_option(Tcp::no_delay(true), ignored);
                        self->responder.set_option(Tcp::no_delay(true), ignored);
                        self->readNext(self->forward);
                        self->readNext(self->backward);
                    });
        });
    }

    void runAfter(Flow &flow, Duration delay, std::function<void()> work)
    {
        flow.timer.expires_after(delay);
        flow.timer.async_wait([self = this->shared_from_this(),
                               work = std::move(work)](const std::error_code &error) {
            if (!error)
                work();
        });
    }

    void readNext(Flow &flow)
    {
        if (this->isSilent)
            return this->keepOpen();
        if (this->network.isCut(flow.direction) || flow.pendingBytes > kMaxPendingBytes)
            return this->runAfter(flow, kBlockedPollInterval,
                                  [this, &flow] { this->readNext(flow); });
        flow.source->async_read_some(asio::buffer(flow.readBuffer),
                                     [self = this->shared_from_this(),
                                      &flow](const std::error_code &error, std::size_t size) {
                                         if (error)
                                             return self->forwardEndOfStream(flow);
                                         self->forwardBytes(flow, size);
                                     });
    }

    /// Keeps the sockets of a silent connection open for kSilentLifetime, because the two
    /// endpoints must detect the silence by their own timeouts, not by a closed socket.
    void keepOpen()
    {
        constexpr Seconds kSilentLifetime = 600s;
        auto timer = std::make_shared<asio::steady_timer>(this->strand, kSilentLifetime);
        timer->async_wait([self = this->shared_from_this(), timer](const std::error_code &) {});
    }

    /// Schedules the delivery of the first `size` bytes of the read buffer; reads on when
    /// the link has sent these bytes, which enforces the rate limit.
    void forwardBytes(Flow &flow, std::size_t size)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint sentAt = this->network.reserveLink(flow.direction, size, now);
        // Each delivery is due at least one tick after the previous delivery, which keeps
        // the byte order.
        flow.lastDeliveryAt =
                std::max(flow.lastDeliveryAt + Duration{ 1 }, sentAt + this->network.latency);
        flow.pendingBytes += size;
        this->deliverAt(flow, flow.lastDeliveryAt, std::string(flow.readBuffer.data(), size));
        this->runAfter(flow, sentAt - now, [this, &flow] { this->readNext(flow); });
    }

    /// Writes `bytes` to the target at the time `due`. Empty `bytes` close the connection
    /// after all earlier bytes are written.
    void deliverAt(Flow &flow, TimePoint due, std::string bytes)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->strand, due);
        timer->async_wait([self = this->shared_from_this(), timer, &flow,
                           bytes = std::move(bytes)](const std::error_code &error) mutable {
            if (error || self->isSilent)
                return;
            flow.writeQueue.push_back(std::move(bytes));
            self->writeNext(flow);
        });
    }

    void writeNext(Flow &flow)
    {
        if (flow.isWriting || flow.writeQueue.empty())
            return;
        if (flow.writeQueue.front().empty()) {
            this->close();
            return;
        }
        flow.isWriting = true;
        asio::async_write(*flow.target, asio::buffer(flow.writeQueue.front()),
                          [self = this->shared_from_this(), &flow](const std::error_code &error,
                                                                   std::size_t size) {
                              flow.isWriting = false;
                              if (error)
                                  return;
                              flow.pendingBytes -= size;
                              flow.writeQueue.pop_front();
                              self->writeNext(flow);
                          });
    }

    /// Forwards the end of the stream after all bytes read earlier.
    void forwardEndOfStream(Flow &flow)
    {
        if (this->isSilent)
            return this->keepOpen();
        if (this->network.isCut(flow.direction))
            return this->runAfter(flow, kBlockedPollInterval,
                                  [this, &flow] { this->forwardEndOfStream(flow); });
        flow.lastDeliveryAt = std::max(flow.lastDeliveryAt + Duration{ 1 },
                                       std::chrono::steady_clock::now() + this->network.latency);
        this->deliverAt(flow, flow.lastDeliveryAt, "");
    }

    Strand strand;
    Network &network;
    Tcp::socket initiator; ///< accepted from the endpoint that opened the connection
    Tcp::socket responder; ///< connected to the target
    Tcp::endpoint target;
    Flow forward;
    Flow backward;
    std::array<char, kRelayPreambleBytes> preamble{};
    bool isSilent{ false };
};

} // namespace

class RelayStandin::Impl : public std::enable_shared_from_this<RelayStandin::Impl>
{
public:
    Impl(WorkerPool &pool, const StandinSettings &settings)
        : strand(asio::make_strand(pool.context())), network(settings),
          acceptor(this->strand, tcpEndpoint(*Endpoint::parse(settings.relayAddress))),
          datagramSocket(this->strand, udpEndpoint(*Endpoint::parse(settings.relayAddress)))
    {}

    void start()
    {
        asio::dispatch(this->strand, [self = this->shared_from_this()] {
            self->acceptNext();
            self->receiveNext();
        });
    }

    void handle(const HttpRequest &request, const HttpReplyPtr &reply)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        asio::dispatch(this->strand,
                       [self = this->shared_from_this(), path = request.path,
                        command = body.is_object() ? body : nlohmann::json::object(), reply] {
                           if (self->applyCommand(path, command))
                               reply->send(200, "application/json", self->stats().dump());
                           else
                               reply->send(404, "text/plain", "no such operation\n");
                       });
    }

private:
    /// Executes the command that the request path names; returns false for an unknown
    /// path.
    bool applyCommand(const std::string &path, const nlohmann::json &command)
    {
        const std::string from = command.value("from", "");
        const std::string to = command.value("to", "");
        if (path == "/stats")
            return true;
        if (path == "/silence") {
            this->silenceConnections(from, to);
            return true;
        }
        if (path == "/shape") {
            this->network.rate = command.value("rate", this->network.rate);
            this->network.latency =
                    Milliseconds(command.value("latency", this->network.latency.count()));
            return true;
        }
        if (path == "/heal") {
            this->network.forEachDirection("", "",
                                           [](DirectionFault &fault) { fault = DirectionFault{}; });
            return true;
        }
        const double share = command.value("share", 0.0);
        const auto changeFault = [&path, share](DirectionFault &fault) {
            if (path == "/cut")
                fault.isCut = true;
            else
                fault.lossShare = share;
        };
        if (path != "/cut" && path != "/loss")
            return false;
        this->network.forEachDirection(from, to, changeFault);
        if (!command.value("oneWay", false))
            this->network.forEachDirection(to, from, changeFault);
        return true;
    }

    void silenceConnections(const std::string &from, const std::string &to)
    {
        for (const auto &weak : this->connections) {
            if (const auto connection = weak.lock())
                connection->silenceIfBetween(from, to);
        }
    }

    nlohmann::json stats()
    {
        std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
        return { { "regionPairBytes", this->network.regionPairBytes() },
                 { "connections", this->connections.size() },
                 { "datagrams", this->forwardedDatagramCount },
                 { "datagramsDropped", this->droppedDatagramCount } };
    }

    void acceptNext()
    {
        auto connection = std::make_shared<RelayedConnection>(this->strand, this->network);
        this->acceptor.async_accept(
                connection->initiatorSocket(),
                [self = this->shared_from_this(), connection](const std::error_code &error) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (!error)
                        self->add(connection);
                    self->acceptNext();
                });
    }

    void add(const std::shared_ptr<RelayedConnection> &connection)
    {
        std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
        this->connections.push_back(connection);
        connection->start();
    }

    void receiveNext()
    {
        this->datagramSocket.async_receive_from(
                asio::buffer(this->datagramBuffer), this->datagramSender,
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (!error)
                        self->forwardDatagram({ self->datagramBuffer.data(), size });
                    self->receiveNext();
                });
    }

    void forwardDatagram(std::string_view bytes)
    {
        const auto endpoints = parseRelayPreamble(bytes);
        if (!endpoints)
            return;
        const Direction direction{ this->network.zoneNameOf(endpoints->source),
                                   this->network.zoneNameOf(endpoints->target) };
        const TimePoint now = std::chrono::steady_clock::now();
        const bool isDropped = this->network.isCut(direction)
                               || this->network.dropsDatagram(direction)
                               || this->network.queueDelay(direction, now) > kMaxDatagramQueueDelay;
        if (isDropped) {
            ++this->droppedDatagramCount;
            return;
        }
        ++this->forwardedDatagramCount;
        const TimePoint due =
                this->network.reserveLink(direction, bytes.size(), now) + this->network.latency;
        auto timer = std::make_shared<asio::steady_timer>(this->strand, due);
        timer->async_wait([self = this->shared_from_this(), timer, target = endpoints->target,
                           copy = std::string(bytes)](const std::error_code &error) {
            if (error)
                return;
            std::error_code ignored;
            self->datagramSocket.send_to(asio::buffer(copy), udpEndpoint(target), 0, ignored);
        });
    }

    Strand strand;
    Network network;
    Tcp::acceptor acceptor;
    Udp::socket datagramSocket;
    Udp::endpoint datagramSender;
    std::array<char, kMaxDatagramBytes> datagramBuffer{};
    std::vector<std::weak_ptr<RelayedConnection>> connections;
    std::uint64_t forwardedDatagramCount{ 0 };
    std::uint64_t droppedDatagramCount{ 0 };
};

RelayStandin::RelayStandin(WorkerPool &pool, const StandinSettings &settings)
    : impl(std::make_shared<Impl>(pool, settings))
{
    this->impl->start();
}

void RelayStandin::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    this->impl->handle(request, reply);
}

} // namespace egret
