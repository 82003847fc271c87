#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// Size limits and timeouts of client requests.
struct HttpFrontendBounds
{
    std::size_t maxHeadBytes{ 16U << 10U };
    std::size_t maxBodyBytes{ 1U << 20U };
    Milliseconds headTimeout{ 3s };  ///< from the first to the last byte of a head
    Milliseconds idleTimeout{ 15s }; ///< between two requests of a connection
};

/// A response that can be aborted.
class AbortableReply : public HttpReply
{
public:
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
};

using AbortableReplyPtr = std::shared_ptr<AbortableReply>;
using HttpFrontendHandler = std::function<void(HttpRequest &&, const AbortableReplyPtr &)>;

struct HttpFrontendOptions
{
    Endpoint listen;
    std::size_t maxConnections{ 3000 };         ///< further connections are closed on accept
    std::size_t maxBufferedBytes{ 64U << 20U }; ///< total body bytes, beyond which bodies get 503
    HttpFrontendBounds bounds;
};

/// HTTP/1.1 server that maps every fault of a request to a status, detects client
/// disconnects while a request is served, and can abort responses. Runs on the
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

    /// Binds and starts accepting; false with a reason on failure.
    bool start(Reason<std::error_code> &reason);

    /// Sets the bounds, from the next request of each connection on.
    void setBounds(const HttpFrontendBounds &bounds);

    /// Sends `Connection: close` with every response from now on.
    void disableKeepAlive();

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
