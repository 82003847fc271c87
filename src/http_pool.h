#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// Outcome of an outbound call.
enum class CallOutcome : std::uint8_t {
    whole,     ///< the complete response has arrived
    unsent,    ///< no byte of the request was sent, so the server can't have run it
    broken,    ///< sent without a complete response; the server may have run it
    malformed, ///< as broken, because the response is not valid HTTP
};

struct CallEnd
{
    CallOutcome outcome{ CallOutcome::whole };
    std::string detail; ///< reason when the outcome is not whole
};

/// One request to a server. Callbacks run on the context's thread and may
/// start or cancel calls.
struct OutboundCall
{
    Endpoint to;
    std::string head; ///< start line, headers and the blank line
    std::string body;
    bool isHeadRequest{ false };       ///< the response has no body
    bool mayRunTwice{ true };          ///< false: reuses only recently used connections
    std::size_t maxConnections{ 64 };  ///< open connections to the server
    Milliseconds connectTimeout{ 1s }; ///< after it, the call ends as unsent
    /// False for a late response to another request, which is skipped.
    std::function<bool(const HttpHead &)> matchesRequest;
    std::function<void(const HttpHead &)> onHead;
    std::function<void(std::string &&)> onBody;
    std::function<void(const CallEnd &)> onEnd; ///< called once unless the call is cancelled
};

struct HttpPoolCounters
{
    std::uint64_t opened{ 0 };
    std::uint64_t reused{ 0 };
    std::uint64_t failed{ 0 };  ///< connections that could not be opened
    std::uint64_t skipped{ 0 }; ///< late responses to other requests
    std::uint64_t surplus{ 0 }; ///< connections closed for bytes after a complete response
};

/// HTTP/1.1 client that reuses connections, most recently used first. Each request is
/// sent at most once: the pool never retries. Runs on the context's thread; not thread safe.
class HttpPool
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    explicit HttpPool(asio::io_context &context);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /// Starts a call and returns its id. `onEnd` never runs before `start` returns.
    std::uint64_t start(OutboundCall call);

    /// Cancels a call by closing its connection; no callback follows.
    void cancel(std::uint64_t call);

    /// Closes the idle connections to a server.
    void closeIdleConnections(const Endpoint &server);

    const HttpPoolCounters &counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
