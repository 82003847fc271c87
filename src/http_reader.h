#pragma once

#include "http_body.h"
#include "http_head_scanner.h"
#include "http_server.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace egret {

/// Reason why HttpReader rejected a message; `none` while no error has been found.
enum class HttpFault : std::uint8_t {
    none,
    malformed,    ///< not a valid HTTP message
    headTooLarge, ///< head is larger than maxHeadBytes
    bodyTooLarge, ///< body is larger than maxBodyBytes
    truncated,    ///< the connection ended before the end of the message
};

/// Machine-readable name of a fault. Thread safe.
const char *httpFaultName(HttpFault fault);

struct HttpReaderOptions
{
    HttpMessageKind kind{ HttpMessageKind::request };
    std::size_t maxHeadBytes{ 16U << 10U }; ///< interim responses count towards it
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

/// Parses one HTTP/1.1 message at a time from the bytes of a connection. Skips interim
/// (1xx) responses; 101 Switching Protocols is malformed. Deterministic; not thread safe.
class HttpReader
{
public:
    explicit HttpReader(HttpReaderOptions options);
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Discards the current message and prepares for the next message.
    void reset();

    /// Sets the size limits of heads and bodies. Call between messages.
    void setBounds(std::size_t maxHeadBytes, std::size_t maxBodyBytes);

    /// Declares that the current response has no body because it answers a HEAD request.
    /// `reset` clears the declaration.
    void expectNoBody() { this->hasNoBody = true; }

    /// Parses bytes up to the end of the message. Returns the number of bytes consumed; bytes
    /// after the end of the message are not consumed.
    /// Precondition: the message is not complete and has no fault.
    std::size_t feed(std::string_view bytes);

    /// Handles an orderly close by the peer. The close completes a response whose body ends with
    /// the connection; any other incomplete message gets the fault `truncated`.
    void finish();

    bool hasStarted() const { return this->headBytes > 0; }
    /// True once the head has been parsed.
    bool hasHead() const { return this->headComplete; }
    bool isComplete() const { return this->messageComplete; }
    HttpFault fault() const { return this->currentFault; }
    /// Machine-readable reason of the fault: the defect of a malformed message, otherwise the name
    /// of the fault.
    const char *faultReason() const;
    const HttpHead &head() const { return this->currentHead; }
    /// Moves the head out of the reader, which holds an empty one until the next `reset`.
    /// Precondition: `hasHead`.
    HttpHead takeHead();
    /// Bytes that are allocated for the head. Short headers take far more than they have on the
    /// wire.
    std::size_t headCapacity() const
    {
        return this->headStringBytes
               + this->currentHead.headers.capacity() * sizeof(HttpHeaders::value_type);
    }

    /// Returns the body bytes parsed since the last call.
    std::string takeBody() { return std::exchange(this->body, {}); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static HttpReader &fromParser(http_parser *parser);
    static const http_parser_settings &parserCallbacks();

    /// Appends to a string of the head.
    void appendToHead(std::string &text, const char *data, std::size_t size);
    /// Evaluates a complete head. Returns a result for http_parser: -1 rejects the message, 1 makes
    /// it leave the body to this class.
    int processHead();

    /// Parses bytes of a head, or of a body. Returns the number of bytes consumed.
    std::size_t feedHead(std::string_view bytes);
    std::size_t feedBody(std::string_view bytes);
    /// Handles the end of an interim head: the final response follows.
    void skipInterimHead();
    void reject(HttpDefect defect);

    HttpReaderOptions options;
    HttpHeadScanner scanner;
    http_parser parser{}; ///< parses heads
    BodyFraming framing;
    ChunkedBody chunkedBody;
    HttpHead currentHead;
    std::string body;
    std::size_t headBytes{ 0 };         ///< bytes of the heads parsed so far, with interim ones
    std::size_t headStringBytes{ 0 };   ///< allocated by the strings of the head
    std::size_t bodyBytes{ 0 };         ///< bytes of the current body parsed so far
    bool lastCallbackWasValue{ false }; ///< the next onHeaderField call starts a new header
    bool headComplete{ false };
    bool messageComplete{ false };
    bool isInterim{ false }; ///< the current message is an interim response
    bool hasNoBody{ false }; ///< the response answers a HEAD request
    HttpFault currentFault{ HttpFault::none };
    HttpDefect defect{ HttpDefect::none }; ///< reason of the fault `malformed`
};

/// True when `name` is a hop-by-hop header: the header is always hop-by-hop, or
/// `connection`, the value of the message's Connection header, lists `name`. Thread safe.
bool isHopByHopHeader(const std::string &name, const std::string &connection);

/// Bytes that are allocated for the headers. Thread safe.
std::size_t allocatedBytes(const HttpHeaders &headers);

/// True when two header names are equal; ignores case. Thread safe.
bool isSameHeaderName(std::string_view left, std::string_view right);

} // namespace egret
