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
constexpr std::size_t kMaxDatagram = 65536;
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr Milliseconds kMaxDatagramQueueDelay = 500ms;
constexpr Milliseconds kCutPollInterval = 20ms;

using Strand = asio::strand<asio::io_context::executor_type>;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

/// Source and target zone, or source and target region.
using Direction = std::pair<std::string, std::string>;

/// Fault injected in one direction between two zones.
struct DirectionFault
{
    bool isCut{ false };
    double lossShare{ 0 };
};

/// Link from one region to another, shared by all zones of both.
struct RegionLink
{
    TimePoint freeAt;
    std::uint64_t bytes{ 0 };
};

Tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

Udp::endpoint udpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

/// Rate, latency and faults of all directions. Not thread safe.
class Network
{
public:
    explicit Network(const StandinSettings &settings)
        : rate(settings.rate), latency(settings.latency), zones(settings.relayZones),
          random(settings.seed)
    {}

    const RelayZone *zoneOf(const Endpoint &endpoint) const
    {
        for (const RelayZone &zone : this->zones) {
            if (endpoint.address.starts_with(zone.prefix))
                return &zone;
        }
        return nullptr;
    }

    std::string zoneName(const Endpoint &endpoint) const
    {
        const RelayZone *zone = this->zoneOf(endpoint);
        return zone == nullptr ? "" : zone->zone;
    }

    bool isCut(const Direction &direction) { return this->faults[direction].isCut; }

    bool dropsDatagram(const Direction &direction)
    {
        const double share = this->faults[direction].lossShare;
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    /// Time until the direction's shared link is free.
    Duration queueDelay(const Direction &direction, TimePoint now)
    {
        return std::max(Duration::zero(), this->linkOf(direction).freeAt - now);
    }

    /// Queues bytes on the shared link; returns the time at which the last bit is sent.
    TimePoint reserveLink(const Direction &direction, std::size_t bytes, TimePoint now)
    {
        RegionLink &link = this->linkOf(direction);
        link.bytes += bytes;
        link.freeAt = std::max(link.freeAt, now);
        if (this->rate > 0)
            link.freeAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    static_cast<double>(bytes) / static_cast<double>(this->rate)));
        return link.freeAt;
    }

    /// Applies `change` to each direction between the named zones; an empty name matches all.
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

    nlohmann::json regionPairBytes() const
    {
        nlohmann::json out = nlohmann::json::object();
        for (const auto &[direction, link] : this->links)
            out[direction.first + ">" + direction.second] = link.bytes;
        return out;
    }

    std::uint64_t rate;
    Milliseconds latency;

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
    std::deque<std::string> writeQueue;
    std::size_t pendingBytes{ 0 };
    TimePoint lastDelivery;
    bool writing{ false };
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

    /// Stops forwarding without closing either socket when the zones match, in
    /// either direction.
    void silence(const std::string &from, const std::string &to)
    {
        const Direction &direction = this->forward.direction;
        const auto matches = [&](const std::string &a, const std::string &b) {
            return (from.empty() || from == a) && (to.empty() || to == b);
        };
        if (matches(direction.first, direction.second)
            || matches(direction.second, direction.first))
            this->silent = true;
    }

    void close()
    {
        std::error_code ignored;
        this->initiator.close(ignored);
        this->responder.close(ignored);
    }

private:
    void connect()
    {
        const auto pair = parseRelayPreamble({ this->preamble.data(), this->preamble.size() });
        if (!pair)
            return;
        this->forward.direction = { this->network.zoneName(pair->source),
                                    this->network.zoneName(pair->target) };
        this->backward.direction = { this->forward.direction.second,
                                     this->forward.direction.first };
        this->forward.source = this->backward.target = &this->initiator;
        this->forward.target = this->backward.source = &this->responder;
        this->target = tcpEndpoint(pair->target);
        this->connectWhenHealed();
    }

    /// Connects to the target once neither direction is cut, as retransmitted SYNs would.
    void connectWhenHealed()
    {
        const bool isCut = this->network.isCut(this->forward.direction)
                           || this->network.isCut(this->backward.direction) || this->silent;
        if (isCut)
            return this->runAfter(this->forward, kCutPollInterval,
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
        if (this->silent)
            return this->keepOpen();
        if (this->network.isCut(flow.direction) || flow.pendingBytes > kMaxPendingBytes)
            return this->runAfter(flow, kCutPollInterval, [this, &flow] { this->readNext(flow); });
        flow.source->async_read_some(asio::buffer(flow.readBuffer),
                                     [self = this->shared_from_this(),
                                      &flow](const std::error_code &error, std::size_t size) {
                                         if (error)
                                             return self->forwardEnd(flow);
                                         self->forwardBytes(flow, size);
                                     });
    }

    /// Keeps a silent connection's sockets open for kSilentLifetime, so that both
    /// ends have to detect the silence themselves.
    void keepOpen()
    {
        constexpr Seconds kSilentLifetime = 600s;
        auto timer = std::make_shared<asio::steady_timer>(this->strand, kSilentLifetime);
        timer->async_wait([self = this->shared_from_this(), timer](const std::error_code &) {});
    }

    void forwardBytes(Flow &flow, std::size_t size)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint leftAt = this->network.reserveLink(flow.direction, size, now);
        flow.lastDelivery =
                std::max(flow.lastDelivery + Duration{ 1 }, leftAt + this->network.latency);
        flow.pendingBytes += size;
        this->deliverAt(flow, flow.lastDelivery, std::string(flow.readBuffer.data(), size));
        this->runAfter(flow, leftAt - now, [this, &flow] { this->readNext(flow); });
    }

    void deliverAt(Flow &flow, TimePoint due, std::string bytes)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->strand, due);
        timer->async_wait([self = this->shared_from_this(), timer, &flow,
                           bytes = std::move(bytes)](const std::error_code &error) mutable {
            if (error || self->silent)
                return;
            flow.writeQueue.push_back(std::move(bytes));
            self->writeNext(flow);
        });
    }

    void writeNext(Flow &flow)
    {
        if (flow.writing || flow.writeQueue.empty())
            return;
        if (flow.writeQueue.front().empty()) {
            this->close();
            return;
        }
        flow.writing = true;
        asio::async_write(*flow.target, asio::buffer(flow.writeQueue.front()),
                          [self = this->shared_from_this(), &flow](const std::error_code &error,
                                                                   std::size_t size) {
                              flow.writing = false;
                              if (error)
                                  return;
                              flow.pendingBytes -= size;
                              flow.writeQueue.pop_front();
                              self->writeNext(flow);
                          });
    }

    /// Forwards the end of the stream, after all bytes read before.
    void forwardEnd(Flow &flow)
    {
        if (this->silent)
            return this->keepOpen();
        if (this->network.isCut(flow.direction))
            return this->runAfter(flow, kCutPollInterval,
                                  [this, &flow] { this->forwardEnd(flow); });
        flow.lastDelivery = std::max(flow.lastDelivery + Duration{ 1 },
                                     std::chrono::steady_clock::now() + this->network.latency);
        this->deliverAt(flow, flow.lastDelivery, "");
    }

    Strand strand;
    Network &network;
    Tcp::socket initiator;
    Tcp::socket responder;
    Tcp::endpoint target;
    Flow forward;
    Flow backward;
    std::array<char, kRelayPreambleBytes> preamble{};
    bool silent{ false };
};

} // namespace

class RelayStandin::Impl : public std::enable_shared_from_this<RelayStandin::Impl>
{
public:
    Impl(WorkerPool &pool, const StandinSettings &settings)
        : strand(asio::make_strand(pool.context())), network(settings),
          acceptor(this->strand, tcpEndpoint(*Endpoint::parse(settings.relayAddress))),
          datagrams(this->strand, udpEndpoint(*Endpoint::parse(settings.relayAddress)))
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
                           if (self->apply(path, command))
                               reply->send(200, "application/json", self->stats().dump());
                           else
                               reply->send(404, "text/plain", "no such operation\n");
                       });
    }

private:
    bool apply(const std::string &path, const nlohmann::json &command)
    {
        const std::string from = command.value("from", "");
        const std::string to = command.value("to", "");
        if (path == "/stats")
            return true;
        if (path == "/silence") {
            this->silence(from, to);
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
        const auto change = [&path, share](DirectionFault &fault) {
            if (path == "/cut")
                fault.isCut = true;
            else
                fault.lossShare = share;
        };
        if (path != "/cut" && path != "/loss")
            return false;
        this->network.forEachDirection(from, to, change);
        if (!command.value("oneWay", false))
            this->network.forEachDirection(to, from, change);
        return true;
    }

    void silence(const std::string &from, const std::string &to)
    {
        for (const auto &weak : this->connections) {
            if (const auto connection = weak.lock())
                connection->silence(from, to);
        }
    }

    nlohmann::json stats()
    {
        std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
        return { { "regionPairBytes", this->network.regionPairBytes() },
                 { "connections", this->connections.size() },
                 { "datagrams", this->forwardedDatagrams },
                 { "datagramsDropped", this->droppedDatagrams } };
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
        this->datagrams.async_receive_from(
                asio::buffer(this->buffer), this->from,
                [self = this->shared_from_this()](const std::error_code &error, std::size_t size) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (!error)
                        self->forwardDatagram({ self->buffer.data(), size });
                    self->receiveNext();
                });
    }

    void forwardDatagram(std::string_view bytes)
    {
        const auto pair = parseRelayPreamble(bytes);
        if (!pair)
            return;
        const Direction direction{ this->network.zoneName(pair->source),
                                   this->network.zoneName(pair->target) };
        const TimePoint now = std::chrono::steady_clock::now();
        const bool isLost = this->network.isCut(direction) || this->network.dropsDatagram(direction)
                            || this->network.queueDelay(direction, now) > kMaxDatagramQueueDelay;
        if (isLost) {
            ++this->droppedDatagrams;
            return;
        }
        ++this->forwardedDatagrams;
        const TimePoint due =
                this->network.reserveLink(direction, bytes.size(), now) + this->network.latency;
        auto timer = std::make_shared<asio::steady_timer>(this->strand, due);
        timer->async_wait([self = this->shared_from_this(), timer, target = pair->target,
                           copy = std::string(bytes)](const std::error_code &error) {
            if (error)
                return;
            std::error_code ignored;
            self->datagrams.send_to(asio::buffer(copy), udpEndpoint(target), 0, ignored);
        });
    }

    Strand strand;
    Network network;
    Tcp::acceptor acceptor;
    Udp::socket datagrams;
    Udp::endpoint from;
    std::array<char, kMaxDatagram> buffer{};
    std::vector<std::weak_ptr<RelayedConnection>> connections;
    std::uint64_t forwardedDatagrams{ 0 };
    std::uint64_t droppedDatagrams{ 0 };
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
