#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egret {

/// Outcome of an outbound call.
enum class CallOutcome : std::uint8_t {
    whole,  ///< the complete response has arrived
    unsent, ///< no byte of the request was sent, so the server can't have run the request
    /// The request was sent at least in part, but no complete response arrived. The server may
    /// have run the request.
    broken,
    malformed, ///< as `broken`; the response was invalid HTTP or too large
};

/// Result of an outbound call, passed to `OutboundCall::onEnd`.
struct CallEnd
{
    CallOutcome outcome{ CallOutcome::whole };
    std::string detail; ///< reason when the outcome is not whole
    /// The server closed or reset the connection after at least a part of the request was sent.
    bool isServerClose{ false };
    /// Bytes that had been received when the call ended without a complete response.
    std::size_t discardedBytes{ 0 };
};

/// Request to which a response belongs, as its head tells.
enum class ResponseMatch : std::uint8_t {
    own,   ///< the response to this request
    other, ///< a late response to another request; the pool skips it
    /// The response names no request. The pool takes it for the response to the first request of a
    /// connection only; on a reused connection, a faulty server may have sent an earlier response
    /// once more, and the call ends as `broken`.
    unidentified,
};

/// One request to a server. Callbacks run on the thread of the pool's io_context and may
/// start or cancel calls.
struct OutboundCall
{
    Endpoint to;      ///< address of the server
    std::string head; ///< start line, headers and the blank line
    std::string body;
    /// Sent instead of `body` unless null, so that a large body need not be copied for each
    /// attempt. Must not change until the call has ended.
    std::shared_ptr<const std::string> sharedBody;
    bool isHeadRequest{ false }; ///< the method is HEAD, so the response has no body
    /// True when the request is idempotent. A request that is not idempotent is sent only on a
    /// new or recently used connection.
    bool mayRunTwice{ true };
    /// Limit on connections to the server. A call that would have to open a further connection
    /// ends as `unsent`.
    std::size_t maxConnections{ 64 };
    Milliseconds connectTimeout{ 1s }; ///< limit on connecting; then the call ends as `unsent`
    /// Limit on the whole call; then it ends as `broken`. Empty: the caller cancels the call.
    std::optional<Milliseconds> timeLimit;
    /// Limit on the bytes received during the call, also of interim responses and of late responses
    /// to other requests; beyond it the call ends as `malformed`.
    std::size_t maxResponseBytes{ 64U << 20U };
    /// Keep the connection for later calls after the response. False for servers whose connections
    /// are too few for all their callers.
    bool keepsConnection{ true };
    /// Tells to which request a response belongs. When empty, every response is the own one.
    std::function<ResponseMatch(const HttpHead &)> matchResponse;
    std::function<void(HttpHead &&)> onHead;
    std::function<void(std::string &&)> onBody; ///< called with each part of the body
    std::function<void(const CallEnd &)> onEnd; ///< called once unless the call is cancelled
};

struct HttpPoolOptions
{
    /// Limit on the memory of all heads that are being received, including those of late responses
    /// to other requests. Beyond it, the call with the largest one ends as `malformed`.
    std::size_t maxHeadBytes{ 8U << 20U };
};

struct HttpPoolCounters
{
    std::uint64_t opened{ 0 };  ///< new connections, including those that failed
    std::uint64_t reused{ 0 };  ///< calls sent on an idle connection
    std::uint64_t failed{ 0 };  ///< connections that could not be opened
    std::uint64_t skipped{ 0 }; ///< late responses to other requests
    std::uint64_t surplus{ 0 }; ///< connections closed because bytes followed a complete response
    /// Calls that ended with a part of a response, or with one that was invalid, by
    /// `CallEnd::detail`.
    std::map<std::string, std::uint64_t> brokenResponses;
};

/// HTTP/1.1 client that reuses connections, most recently used first. Each request is
/// sent at most once: the pool never retries. Runs on the thread of its io_context; not
/// thread safe.
class HttpPool
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    explicit HttpPool(asio::io_context &context, HttpPoolOptions options = {});
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /// Starts a call and returns its id. `onEnd` never runs before `start` returns.
    std::uint64_t start(OutboundCall call);

    /// Cancels a call by closing its connection; no callback follows.
    void cancel(std::uint64_t callId);

    /// Closes the idle connections to a server.
    void closeIdleConnections(const Endpoint &server);

    const HttpPoolCounters &counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
