#pragma once

#include "http_server.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace egret {

/// Why a message was rejected.
enum class HttpFault : std::uint8_t {
    none,
    malformed,    ///< not a valid HTTP message
    headTooLarge, ///< head is larger than maxHeadBytes
    bodyTooLarge, ///< body is larger than maxBodyBytes
    truncated,    ///< the connection ended before the end of the message
};

/// Machine-readable name of a fault. Thread safe.
const char *httpFaultName(HttpFault fault);

/// Kind of message that a reader parses.
enum class HttpMessageKind : std::uint8_t { request, response };

struct HttpReaderOptions
{
    HttpMessageKind kind{ HttpMessageKind::request };
    std::size_t maxHeadBytes{ 16U << 10U };
    std::size_t maxBodyBytes{ 1U << 20U };
};

/// Start line and headers of a message.
struct HttpHead
{
    std::string method; ///< requests only
    std::string target; ///< requests only: path with query
    int status{ 0 };    ///< responses only
    HttpHeaders headers;
    bool keepsAlive{ false }; ///< the connection may be reused for another message
    bool hasBody{ false };    ///< requests only: the head declares a body
};

/// Parses the bytes of a connection, one message at a time. Interim (1xx)
/// responses except 101 are skipped. Deterministic; not thread safe.
class HttpReader
{
public:
    explicit HttpReader(HttpReaderOptions options);
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Discards the current message and starts the next one.
    void reset();

    /// Sets the size limits, from the next message on.
    void setBounds(std::size_t maxHeadBytes, std::size_t maxBodyBytes);

    /// Declares that the next response has no body (response to HEAD).
    void expectNoBody() { this->hasNoBody = true; }

    /// Parses bytes up to the end of the message and returns the number consumed.
    /// Precondition: the message is neither complete nor faulty.
    std::size_t feed(std::string_view bytes);

    /// Handles an orderly end of the connection. This completes a response
    /// that is delimited by the end of the connection; any other message is truncated.
    void finish();

    bool started() const { return this->headBytes > 0; }
    bool hasHead() const { return this->headComplete; }
    bool isComplete() const { return this->messageComplete; }
    HttpFault fault() const { return this->currentFault; }
    const HttpHead &head() const { return this->current; }

    /// Returns the body bytes parsed since the last call.
    std::string takeBody() { return std::exchange(this->body, {}); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static HttpReader &self(http_parser *parser);
    static const http_parser_settings &settings();

    int processHead();

    HttpReaderOptions options;
    http_parser parser{};
    HttpHead current;
    std::string body;
    std::size_t headBytes{ 0 };
    std::size_t bodyBytes{ 0 };
    bool lastWasValue{ false }; ///< the next field callback starts a new header
    bool headComplete{ false };
    bool messageComplete{ false };
    bool isInterim{ false };
    bool hasNoBody{ false };
    HttpFault currentFault{ HttpFault::none };
};

/// True for hop-by-hop headers: the fixed list and every name in `connection`
/// (the value of the Connection header). Thread safe.
bool isConnectionHeader(const std::string &name, const std::string &connection);

/// Compares header names case-insensitively. Thread safe.
bool sameHeader(std::string_view left, std::string_view right);

} // namespace egret
