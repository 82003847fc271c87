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

/// A request as received from the caller.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path with query
    std::string path;
    HttpHeaders headers;
    std::string body;
};

/// Labels under which the measurements of a response are counted.
struct ReplyLabels
{
    std::string customer;
    std::string route;    ///< model name or service name
    std::string zone;     ///< availability zone of the upstream
    std::string upstream; ///< agent of the upstream
};

/// The response to one request: either one `send`, or `start`, any number of
/// `write`, and `finish`. Thread safe.
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

    /// True once the caller's connection is known to be closed.
    virtual bool gone() const = 0;

    /// Bytes written but not yet sent on the caller's connection.
    virtual std::size_t pendingBytes() const { return 0; }

    /// Calls `handler` once when the caller's connection closes before the response is complete.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;

    /// Written while the request is served, by one thread at a time; read when the response ends.
    ReplyLabels labels;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest &&, HttpReplyPtr)>;

struct HttpServerOptions
{
    Endpoint listen;
    std::size_t maxBodyBytes{ 1U << 20U };
    std::size_t maxConnections{ 4096 }; ///< further connections wait until one closes
    Milliseconds readTimeout{ 10s };    ///< for one request to arrive completely
    Milliseconds answerTimeout{ 120s };
};

/// HTTP/1.1 server on the worker pool. The library rejects bodies and headers that exceed
/// their limits before the handler is called. Thread safe.
class HttpServer
{
public:
    HttpServer(WorkerPool &pool, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and starts accepting; false with a reason on failure. Call from outside the pool.
    bool start(Reason<int> &reason);

    /// Sends `Connection: close` with every response from now on, so that no connection
    /// is kept open into a planned stop.
    void disableKeepAlive();

    /// Requests whose responses are not yet completely written to their connections.
    std::size_t unanswered() const;

    /// Stops accepting and closes connections. Call from outside the pool.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
