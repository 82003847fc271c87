#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// Size limits and timeouts of client requests.
struct HttpFrontBounds
{
    std::size_t maxHeadBytes{ 16U << 10U };
    std::size_t maxBodyBytes{ 1U << 20U };
    Milliseconds headTimeout{ 3s };  ///< from the first to the last byte of a head
    Milliseconds idleTimeout{ 15s }; ///< between two requests of a connection
};

/// A response that can be aborted.
class FrontReply : public HttpReply
{
public:
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
};

using FrontReplyPtr = std::shared_ptr<FrontReply>;
using FrontHandler = std::function<void(HttpRequest &&, const FrontReplyPtr &)>;

struct HttpFrontOptions
{
    Endpoint listen;
    std::size_t maxConnections{ 3000 };         ///< further connections are closed on accept
    std::size_t maxBufferedBytes{ 64U << 20U }; ///< total body bytes, beyond which bodies get 503
    HttpFrontBounds bounds;
};

/// HTTP/1.1 server that maps every fault of a request to a status, detects client
/// disconnects while a request is served, and can abort responses. Runs on the
/// context's thread; not thread safe.
class HttpFront
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    HttpFront(asio::io_context &context, HttpFrontOptions options, FrontHandler handler);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    /// Binds and starts accepting; false with a reason on failure.
    bool start(Reason<std::error_code> &reason);

    /// Sets the bounds, from the next request of each connection on.
    void setBounds(const HttpFrontBounds &bounds);

    /// Sends `Connection: close` with every response from now on.
    void refuseReuse();

    /// Closes connections without a request in progress.
    void closeIdle();

    /// Requests read completely or in part whose responses are not yet written.
    std::size_t unanswered() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

/// Reason phrase of an HTTP status. Thread safe.
const char *statusPhrase(int status);

} // namespace egret
