#pragma once

#include "http_server.h"
#include "types.h"

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// Result of an HTTP call.
struct HttpResult
{
    bool complete{ false };    ///< the complete response has arrived
    bool requestSent{ false }; ///< bytes of the request may have reached the server
    int status{ 0 };
    std::string contentType;
    std::string body;  ///< empty when `onData` is set
    std::string error; ///< reason when the response is not complete
    /// Bytes of a response had arrived, or bytes that are none, when the call ended incomplete.
    bool isBroken{ false };
    HttpHeaders headers;
};

/// One HTTP request with its callbacks.
struct HttpCall
{
    std::string method{ "GET" };
    std::string url;
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout{ 10s }; ///< limit on the whole call, including connecting
    /// Limit on the body of the response, also with `onData`; beyond it the call ends incomplete.
    std::size_t maxBodyBytes{ 64U << 20U };
    /// True when the call must use a new connection. libcurl may resend a request on a reused
    /// connection, but not on a new connection.
    bool freshConnection{ false };
    std::function<void(int status, const std::string &contentType)>
            onHead; ///< called before the first part of the body
    std::function<void(const HttpHeaders &)> onHeaders;  ///< called before `onHead`
    std::function<void(const std::string &part)> onData; ///< called with each part of the body
    std::function<void(HttpResult &&)> onDone;           ///< called exactly once
};

struct HttpClientOptions
{
    /// Limit on what all calls together buffer: headers, and bodies without `onData`. Beyond it,
    /// the call that buffers the most ends incomplete.
    std::size_t maxBufferedBytes{ 128U << 20U };
};

/// HTTP client that runs libcurl on a thread of its own. Callbacks run on this
/// thread and must not block. Thread safe.
class HttpClient
{
public:
    explicit HttpClient(HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and returns its id.
    std::uint64_t start(HttpCall call);

    /// Cancels a call. If the call is in progress, `onDone` receives the error "cancelled".
    void cancel(std::uint64_t callId);

    /// Makes a call and blocks until the call ends. `call.onDone` is ignored. Don't call from
    /// callbacks or worker threads.
    HttpResult callAndWait(HttpCall call);

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
