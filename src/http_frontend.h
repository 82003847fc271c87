#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// What clients may send and how long they may take.
struct HttpFrontendBounds
{
    std::size_t maxHeadBytes{ 16U << 10U };
    std::size_t maxBodyBytes{ 1U << 20U };
    Milliseconds headTimeout{ 3s };  ///< from the first byte of a head to its last
    Milliseconds idleTimeout{ 15s }; ///< of a connection between two requests
};

/// An answer that can also be broken off.
class AbortableReply : public HttpReply
{
public:
    /// Closes the connection without completing the answer.
    virtual void abort() = 0;
};

using AbortableReplyPtr = std::shared_ptr<AbortableReply>;
using HttpFrontendHandler = std::function<void(HttpRequest &&, const AbortableReplyPtr &)>;

struct HttpFrontendOptions
{
    Endpoint listen;
    std::size_t maxConnections{ 3000 };     ///< more are closed at once
    std::size_t maxHeldBytes{ 64U << 20U }; ///< body bytes of all requests together
    HttpFrontendBounds bounds;
};

/// Serves HTTP/1.1: every fault of a request has its status, a client that
/// leaves is noticed while it is served, answers may be broken off. Runs on the
/// context's thread; not thread safe.
class HttpFrontend
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    HttpFrontend(asio::io_context &context, HttpFrontendOptions options,
                 HttpFrontendHandler handler);
    ~HttpFrontend();
    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    /// Binds and accepts; false with a reason when it can't.
    bool start(Reason<std::error_code> &reason);

    /// Changes the bounds; holds from the next request of each connection on.
    void setBounds(const HttpFrontendBounds &bounds);

    /// Asks every client from now on to close its connection after the answer.
    void disableKeepAlive();

    /// Closes connections on which no request has begun.
    void closeIdle();

    /// Requests read whole or in part whose answers are not yet written.
    std::size_t unanswered() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

/// Reason phrase of a status. Thread safe.
const char *statusPhrase(int status);

} // namespace egret
