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
    Milliseconds headTimeout{ 3s };  ///< longest time from the first to the last byte of a head
    Milliseconds idleTimeout{ 15s }; ///< longest wait for the first byte of a request
};

/// HttpReply that can also abort its response.
class AbortableReply : public HttpReply
{
public:
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
};

using AbortableReplyPtr = std::shared_ptr<AbortableReply>;
/// The handler keeps the body of a request no longer than the reply: while the reply exists, the
/// body counts towards HttpFrontendOptions::maxBufferedBytes.
using HttpFrontendHandler = std::function<void(HttpRequest &&, const AbortableReplyPtr &)>;

struct HttpFrontendOptions
{
    Endpoint listen;
    /// At this number, a new connection takes the place of one that makes no progress, or is closed
    /// on accept if there is none.
    std::size_t maxConnections{ 3000 };
    /// Limit on the memory that is held for all clients together; see RequestMemory.
    std::size_t maxBufferedBytes{ 64U << 20U };
    HttpFrontendBounds bounds;
};

/// HTTP/1.1 server that answers malformed, oversize and incomplete requests with an error
/// status, detects client disconnects while a request is served, and can abort responses.
/// Runs on the thread of its io_context; not thread safe.
class HttpFrontend
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    HttpFrontend(asio::io_context &context, HttpFrontendOptions options,
                 HttpFrontendHandler handler);
    ~HttpFrontend();
    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    /// Binds the listen address and starts accepting connections. On failure returns false
    /// and sets `reason`.
    bool start(Reason<std::error_code> &reason);

    /// Sets the limits and timeouts, which apply from the next request of each connection.
    void setBounds(const HttpFrontendBounds &bounds);

    /// Sends `Connection: close` with every response from now on.
    void disableKeepAlive();

    /// Closes all connections without a request in progress.
    void closeIdle();

    /// Number of requests that have begun to arrive and whose responses are not yet completely
    /// written.
    std::size_t unansweredCount() const;

    /// Counters of the limits on clients in the Prometheus text format, each line with the label
    /// `port="PORT"`.
    std::string metricsText(const std::string &port) const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

/// Reason phrase of an HTTP status. Thread safe.
const char *statusPhrase(int status);

} // namespace egret
