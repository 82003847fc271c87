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

/// Value of a header, compared without case; empty when there is none. Thread safe.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// A request as a caller sent it.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path with query
    std::string path;
    HttpHeaders headers;
    std::string body;
};

/// Whom an answer is for and who gave it, for measurement.
struct ReplyLabels
{
    std::string customer;
    std::string route;    ///< model name or service name
    std::string zone;     ///< availability zone of the upstream
    std::string upstream; ///< agent of the upstream
};

/// The answer to one request: either one `send`, or `start`, any number of
/// `write`, and `finish`. Thread safe.
class HttpReply
{
public:
    virtual ~HttpReply() = default;

    /// Sends a whole answer.
    virtual void send(int status, const std::string &contentType, const std::string &body,
                      const HttpHeaders &headers = {}) = 0;

    /// Starts a streamed answer.
    virtual void start(int status, const std::string &contentType,
                       const HttpHeaders &headers = {}) = 0;

    /// Sends a part of a streamed answer.
    virtual void write(const std::string &bytes) = 0;

    /// Ends a streamed answer as complete.
    virtual void finish() = 0;

    /// True once the caller's connection is known to be gone.
    virtual bool gone() const = 0;

    /// Bytes written that the caller's connection has not taken yet.
    virtual std::size_t pendingBytes() const { return 0; }

    /// Has `work` called once when the caller's connection is gone before the end.
    virtual void onClientDisconnected(std::function<void()> work) = 0;

    /// Set while the request is served, by one thread at a time; read at its end.
    ReplyLabels labels;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest &&, HttpReplyPtr)>;

struct HttpServerOptions
{
    Endpoint listen;
    std::size_t maxBodyBytes{ 1U << 20U };
    std::size_t maxConnections{ 4096 }; ///< more wait until one closes
    Milliseconds readTimeout{ 10s };    ///< for one request to arrive whole
    Milliseconds answerTimeout{ 120s };
};

/// Serves HTTP/1.1 on the pool. Bodies and headers past their bounds are
/// refused by the library before the handler is called. Thread safe.
class HttpServer
{
public:
    HttpServer(WorkerPool &pool, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and accepts; false with a reason when it can't. Call from outside the pool.
    bool start(Reason<int> &reason);

    /// Has every answer from now on ask its caller to close the connection, so
    /// that none is kept open into a planned stop.
    void disableKeepAlive();

    /// Requests whose answers are not yet written to their connections whole.
    std::size_t unanswered() const;

    /// Stops accepting and closes connections. Call from outside the pool.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
