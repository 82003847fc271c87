#include "datagram.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/ip/udp.hpp>
#include <asio/strand.hpp>

#include <array>
#include <atomic>

namespace egret {

class DatagramSocket::Impl : public std::enable_shared_from_this<DatagramSocket::Impl>
{
public:
    Impl(WorkerPool &pool, DatagramOptions options, Handler handler)
        : options(std::move(options)), handler(std::move(handler)),
          strand(asio::make_strand(pool.context())), socket(this->strand),
          sealer(FrameSealerOptions{ .cluster = this->options.cluster,
                                     .key = this->options.key,
                                     .sender = this->options.sender,
                                     .incarnation = this->options.incarnation })
    {}

    bool start(Reason<std::error_code> &reason)
    {
        const auto address = asio::ip::make_address(this->options.listen.address, reason.code);
        if (reason.code)
            return false;
        const asio::ip::udp::endpoint listenEndpoint(address, this->options.listen.port);
        this->socket.open(listenEndpoint.protocol(), reason.code);
        if (!reason.code)
            this->socket.bind(listenEndpoint, reason.code);
        if (reason.code)
            return false;
        this->receiveNext();
        return true;
    }

    bool send(const std::string &to, const Message &message)
    {
        const auto endpoint = Endpoint::parse(to);
        if (!endpoint)
            return false;
        auto bytes = std::make_shared<std::string>(this->sealer.seal(message));
        if (bytes->size() > kMaxDatagramBytes)
            return false;
        const auto relay = this->options.trialRelays.relayFor(*endpoint);
        if (relay)
            bytes->insert(0,
                          relayPreamble({ .source = this->options.listen, .target = *endpoint }));
        const Endpoint &nextHop = relay ? *relay : *endpoint;
        std::error_code error;
        const auto address = asio::ip::make_address(nextHop.address, error);
        if (error)
            return false;
        const asio::ip::udp::endpoint target(address, nextHop.port);
        this->sentBytes += bytes->size();
        asio::dispatch(this->strand, [self = this->shared_from_this(), bytes, target] {
            if (!self->socket.is_open())
                return;
            // A send error is treated like a lost datagram.
            std::error_code ignored;
            self->socket.send_to(asio::buffer(*bytes), target, 0, ignored);
        });
        return true;
    }

    void shutdown()
    {
        asio::dispatch(this->strand, [self = this->shared_from_this()] {
            std::error_code ignored;
            self->socket.close(ignored);
        });
    }

private:
    void receiveNext()
    {
        this->socket.async_receive_from(
                asio::buffer(this->buffer), this->sourceEndpoint,
                asio::bind_executor(
                        this->strand, [self = this->shared_from_this()](
                                              const std::error_code &error, std::size_t size) {
                            if (error == asio::error::operation_aborted || !self->socket.is_open())
                                return;
                            if (!error)
                                self->handleReceived(size);
                            self->receiveNext();
                        }));
    }

    void handleReceived(std::size_t size)
    {
        this->receivedBytes += size;
        Endpoint sender{ .address = this->sourceEndpoint.address().to_string(),
                         .port = this->sourceEndpoint.port() };
        std::string_view bytes(this->buffer.data(), size);
        if (this->options.trialRelays.isRelay(sender)) {
            const auto relayed = parseRelayPreamble(bytes);
            if (!relayed)
                return;
            sender = relayed->source;
            bytes.remove_prefix(kRelayPreambleBytes);
        }
        std::uint64_t counter = 0;
        Reason<FrameError> reason;
        auto frame = this->sealer.open(bytes, counter, reason);
        if (!frame || !this->replayGuard.accept(frame->sender, frame->incarnation, counter))
            return;
        this->handler(sender, std::move(*frame));
    }

public:
    std::atomic<std::uint64_t> sentBytes{ 0 };
    std::atomic<std::uint64_t> receivedBytes{ 0 };

private:
    DatagramOptions options;
    Handler handler;
    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::udp::socket socket;
    FrameSealer sealer;
    ReplayGuard replayGuard;
    asio::ip::udp::endpoint sourceEndpoint; ///< source of the datagram in `buffer`
    std::array<char, kMaxDatagramBytes> buffer{};
};

DatagramSocket::DatagramSocket(WorkerPool &pool, DatagramOptions options, Handler handler)
    : impl(std::make_shared<Impl>(pool, std::move(options), std::move(handler)))
{}

DatagramSocket::~DatagramSocket() = default;

bool DatagramSocket::start(Reason<std::error_code> &reason)
{
    return this->impl->start(reason);
}

bool DatagramSocket::send(const std::string &to, const Message &message)
{
    return this->impl->send(to, message);
}

std::uint64_t DatagramSocket::sentBytes() const
{
    return this->impl->sentBytes;
}

std::uint64_t DatagramSocket::receivedBytes() const
{
    return this->impl->receivedBytes;
}

void DatagramSocket::shutdown()
{
    this->impl->shutdown();
}

} // namespace egret
