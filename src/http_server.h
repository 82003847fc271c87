#pragma once

#include "types.h"
#include "worker_pool.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace egret {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header with this name (case-insensitive); empty when absent. Thread safe.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// A request as received from the client.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path with query
    std::string path;
    HttpHeaders headers;
    std::string body;
};

/// Labels of the metrics that count a response.
struct ReplyLabels
{
    std::string customer;
    std::string route;    ///< model name or service name
    std::string zone;     ///< availability zone of the upstream
    std::string upstream; ///< name of the upstream's agent
};

/// Sends the response to one request: a complete response by `send`, or a streamed one by
/// `start`, any number of calls to `write`, and `finish`. Thread safe.
class HttpReply
{
public:
    virtual ~HttpReply() = default;

    /// Sends a complete response.
    virtual void send(int status, const std::string &contentType, const std::string &body,
                      const HttpHeaders &headers = {}) = 0;

    /// Starts a streamed response.
    virtual void start(int status, const std::string &contentType,
                       const HttpHeaders &headers = {}) = 0;

    /// Sends a part of a streamed response.
    virtual void write(const std::string &bytes) = 0;

    /// Completes a streamed response.
    virtual void finish() = 0;

    /// True once the client's connection is known to be closed.
    virtual bool gone() const = 0;

    /// Number of bytes written but not yet sent on the client's connection.
    virtual std::size_t pendingBytes() const { return 0; }

    /// Calls `handler` once when the client's connection closes before the response is complete.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;

    /// Labels of the response. Only one thread at a time may set them while the request is
    /// served; they are read when the response ends.
    ReplyLabels labels;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest &&, HttpReplyPtr)>;

struct HttpServerOptions
{
    Endpoint listen;
    std::size_t maxBodyBytes{ 1U << 20U };
    std::size_t maxConnections{ 4096 }; ///< further connections wait to be accepted
    Milliseconds readTimeout{ 10s };    ///< limit on receiving a request and on writing a response
    Milliseconds responseTimeout{ 120s }; ///< limit on the time that the handler takes to respond
};

/// HTTP/1.1 server that uses RESTinio and runs on the worker pool. Rejects oversize bodies and
/// headers before the handler is called. Thread safe.
class HttpServer
{
public:
    HttpServer(WorkerPool &pool, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds the listen address and starts accepting connections. On failure returns false
    /// and sets `reason`. Call from a thread outside the pool, because the call waits
    /// for a thread of the pool.
    bool start(Reason<int> &reason);

    /// Sends `Connection: close` with every response from now on, so that clients
    /// keep no connections open during a planned stop.
    void disableKeepAlive();

    /// Number of requests whose responses are not yet completely written.
    std::size_t unansweredCount() const;

    /// Stops accepting and closes all connections. Call from a thread outside the pool.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
