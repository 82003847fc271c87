#pragma once

#include "types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace egret {

/// What an EndlessServer sends on each connection: `begin`, then `part` again and again until the
/// client closes.
struct EndlessAnswer
{
    std::string begin;
    std::string part;
    std::size_t maxParts{
        0
    }; ///< then the connection stays open without further bytes; 0: no limit
};

/// HTTP server on a free loopback port that answers every request without end, on any number of
/// connections. Its public methods may be called from any thread.
class EndlessServer
{
public:
    explicit EndlessServer(EndlessAnswer answer)
        : answer(std::move(answer)),
          acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~EndlessServer()
    {
        this->context.stop();
        this->thread.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    Endpoint endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return { .address = local.address().to_string(), .port = local.port() };
    }

    /// Number of requests until now.
    std::size_t requestCount() const { return this->requests; }

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context) : socket(context) {}

        asio::ip::tcp::socket socket;
        std::string request;
        std::size_t sentParts{ 0 };
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        const auto connection = std::make_shared<Connection>(this->context);
        this->acceptor.async_accept(connection->socket, [this, connection](const auto &error) {
            if (error)
                return;
            asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->request),
                                   "\r\n\r\n", [this, connection](const auto &readError, auto) {
                                       if (readError)
                                           return;
                                       ++this->requests;
                                       this->send(connection, this->answer.begin);
                                   });
            this->accept();
        });
    }

    void send(const ConnectionPtr &connection, const std::string &bytes)
    {
        asio::async_write(connection->socket, asio::buffer(bytes),
                          [this, connection](const auto &error, auto) {
                              if (error)
                                  return;
                              const std::size_t maxParts = this->answer.maxParts;
                              if (maxParts == 0 || connection->sentParts++ < maxParts)
                                  return this->send(connection, this->answer.part);
                              this->waitForClose(connection);
                          });
    }

    void waitForClose(const ConnectionPtr &connection)
    {
        connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                      [connection](const auto &) {});
    }

    const EndlessAnswer answer;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
    std::atomic<std::size_t> requests{ 0 };
};

} // namespace egret
