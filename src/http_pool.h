#pragma once

#include "http_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// How an outbound call ended.
enum class CallOutcome : std::uint8_t {
    whole,     ///< the whole answer has arrived
    unsent,    ///< no byte of the request has left; it can't have reached the server
    broken,    ///< bytes have left and no whole answer came; it may have run
    malformed, ///< as broken, by bytes that are no answer
};

struct CallEnd
{
    CallOutcome outcome{ CallOutcome::whole };
    std::string detail; ///< why it is not whole
};

/// One request to a server. Callbacks run on the context's thread and may
/// start or cancel calls.
struct OutboundCall
{
    Endpoint to;
    std::string head; ///< start line and headers with the blank line
    std::string body;
    bool isHeadRequest{ false };       ///< the answer has no body (HEAD)
    bool mayRunTwice{ true };          ///< false: only connections that were used just now
    std::size_t maxConnections{ 64 };  ///< open connections to that server
    Milliseconds connectTimeout{ 1s }; ///< a server that does not accept within it is not sent to
    /// False for a late answer to another request; it is skipped.
    std::function<bool(const HttpHead &)> matchesRequest;
    std::function<void(const HttpHead &)> onHead;
    std::function<void(std::string &&)> onBody;
    std::function<void(const CallEnd &)> onEnd; ///< called once unless cancelled
};

struct HttpPoolCounters
{
    std::uint64_t opened{ 0 };
    std::uint64_t reused{ 0 };
    std::uint64_t failed{ 0 };  ///< connections that could not be opened
    std::uint64_t skipped{ 0 }; ///< late answers to other requests
    std::uint64_t surplus{ 0 }; ///< connections closed for bytes after a whole answer
};

/// Makes HTTP/1.1 calls over kept connections, each call sent exactly once:
/// nothing is sent again by itself. The connection used last is taken first.
/// Runs on the context's thread; not thread safe.
class HttpPool
{
public:
    /// Precondition: `context` is run by one thread, on which all calls are made.
    explicit HttpPool(asio::io_context &context);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /// Starts a call and returns its number. `onEnd` does not run before the return.
    std::uint64_t start(OutboundCall call);

    /// Ends a call by closing its connection; no callback follows.
    void cancel(std::uint64_t call);

    /// Drops idle connections to a server.
    void closeIdleConnections(const Endpoint &server);

    const HttpPoolCounters &counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
