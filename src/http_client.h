#pragma once

#include "http_server.h"
#include "types.h"

#include <functional>
#include <memory>
#include <string>

namespace egret {

/// How an HTTP call ended.
struct HttpResult
{
    bool complete{ false };    ///< the whole answer arrived
    bool requestSent{ false }; ///< bytes of the request may have reached the server
    int status{ 0 };
    std::string contentType;
    std::string body;  ///< empty when `onData` took the parts
    std::string error; ///< why the answer is not complete
    HttpHeaders headers;
};

struct HttpCall
{
    std::string method{ "GET" };
    std::string url;
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout{ 10s };
    bool freshConnection{ false }; ///< never reuse a connection, never send twice
    std::function<void(int status, const std::string &contentType)>
            onHead;                                      ///< before the first part
    std::function<void(const HttpHeaders &)> onHeaders;  ///< before `onHead`
    std::function<void(const std::string &part)> onData; ///< takes the parts in place of `body`
    std::function<void(HttpResult &&)> onDone;           ///< called exactly once
};

/// Makes HTTP calls by libcurl on one thread of its own. Callbacks run on that
/// thread and must not block. Thread safe.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and returns its number.
    std::uint64_t start(HttpCall call);

    /// Ends a call; `onDone` follows with the error "cancelled" when it ran.
    void cancel(std::uint64_t call);

    /// Makes a call and waits for its end. Not for callbacks or workers.
    HttpResult callAndWait(HttpCall call);

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
