#pragma once

#include "types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace egret {

/// How a FaultyServer ends a connection after its answer.
enum class AnswerEnd : std::uint8_t {
    orderly,       ///< shuts down sending and reads on until the client closes
    orderlyUnread, ///< shuts down sending, then closes without reading the rest of the request
    reset,         ///< resets the connection
    open,          ///< reads on until the client closes
};

/// What a FaultyServer does with each connection.
struct FaultyAnswer
{
    std::string bytes; ///< written when the head of the request has arrived
    std::string lateBytes{};
    Milliseconds pause{ 0 }; ///< before `lateBytes`, and again before the end
    AnswerEnd end{ AnswerEnd::orderly };
    bool readsRequest{ false }; ///< reads the whole request before it answers
    /// Size of the socket's receive buffer. A small one keeps a long upload from being written
    /// while the server doesn't read.
    int receiveBufferBytes{ 4096 };
};

/// HTTP server on a loopback address that gives the same answer on each connection, one connection
/// after the other. Its public methods may be called from any thread.
class FaultyServer
{
public:
    explicit FaultyServer(FaultyAnswer answer, const std::string &address = "127.0.0.1")
        : answer(std::move(answer)), acceptor(this->context)
    {
        const asio::ip::tcp::endpoint listenAt(asio::ip::make_address(address), 0);
        this->acceptor.open(listenAt.protocol());
        // Accepted sockets inherit the size, which must be set before the handshake.
        this->acceptor.set_option(
                asio::socket_base::receive_buffer_size(this->answer.receiveBufferBytes));
        this->acceptor.bind(listenAt);
        this->acceptor.listen();
        this->thread = std::thread([this] { this->run(); });
    }
    ~FaultyServer()
    {
        this->isStopping = true;
        std::error_code ignored;
        asio::ip::tcp::socket socket(this->context);
        socket.connect(this->acceptor.local_endpoint(), ignored); // ends a blocked `accept`
        this->thread.join();
    }
    FaultyServer(const FaultyServer &) = delete;
    FaultyServer &operator=(const FaultyServer &) = delete;

    Endpoint endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return { .address = local.address().to_string(), .port = local.port() };
    }

    /// Number of requests whose heads have arrived.
    int requestCount() const { return this->requests; }

    /// Changes the answer to further requests, except for the size of the receive buffer.
    void setAnswer(FaultyAnswer newAnswer)
    {
        const std::lock_guard lock(this->mutex);
        this->answer = std::move(newAnswer);
    }

private:
    void run()
    {
        while (!this->isStopping) {
            std::error_code error;
            asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            if (!error && !this->isStopping)
                this->serve(socket, this->currentAnswer());
        }
    }

    FaultyAnswer currentAnswer()
    {
        const std::lock_guard lock(this->mutex);
        return this->answer;
    }

    void serve(asio::ip::tcp::socket &socket, const FaultyAnswer &currentAnswer)
    {
        static constexpr std::string_view lengthField = "Content-Length: ";
        std::string request;
        std::error_code error;
        const std::size_t headBytes =
                asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        ++this->requests;
        const auto length = request.find(lengthField);
        if (currentAnswer.readsRequest && length != std::string::npos) {
            const std::size_t size =
                    headBytes + std::stoul(request.substr(length + lengthField.size()));
            if (size > request.size())
                asio::read(socket, asio::dynamic_buffer(request),
                           asio::transfer_exactly(size - request.size()), error);
        }
        asio::write(socket, asio::buffer(currentAnswer.bytes), error);
        std::this_thread::sleep_for(currentAnswer.pause);
        if (!currentAnswer.lateBytes.empty()) {
            asio::write(socket, asio::buffer(currentAnswer.lateBytes), error);
            std::this_thread::sleep_for(currentAnswer.pause);
        }
        endConnection(socket, currentAnswer.end);
    }

    static void endConnection(asio::ip::tcp::socket &socket, AnswerEnd end)
    {
        std::error_code error;
        if (end == AnswerEnd::reset)
            socket.set_option(asio::socket_base::linger(true, 0), error);
        else if (end != AnswerEnd::open)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        std::array<char, 4096> discarded{};
        const bool readsOn = end == AnswerEnd::orderly || end == AnswerEnd::open;
        while (readsOn && !error)
            socket.read_some(asio::buffer(discarded), error);
        socket.close(error);
    }

    std::mutex mutex;
    FaultyAnswer answer; ///< guarded by `mutex`
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
    std::atomic<bool> isStopping{ false };
    std::atomic<int> requests{ 0 };
};

} // namespace egret
