#pragma once

#include "http_server.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace egret {

/// Why a message can't be read on.
enum class HttpFault : std::uint8_t {
    none,
    malformed,    ///< no message of the protocol
    headTooLarge, ///< more head bytes than allowed
    bodyTooLarge, ///< more body bytes than allowed
    truncated,    ///< the connection ended before the message did
};

/// Machine-readable name of a fault. Thread safe.
const char *httpFaultName(HttpFault fault);

/// Which messages a reader reads.
enum class HttpSide : std::uint8_t { request, response };

struct HttpReaderOptions
{
    HttpSide side{ HttpSide::request };
    std::size_t maxHeadBytes{ 16U << 10U };
    std::size_t maxBodyBytes{ 1U << 20U };
};

/// Start line and headers of a message.
struct HttpHead
{
    std::string method; ///< of a request
    std::string target; ///< of a request: path with query
    int status{ 0 };    ///< of a response
    HttpHeaders headers;
    bool keepsAlive{ false }; ///< the connection may carry another message
    bool hasBody{ false };    ///< of a request: a body is announced
};

/// Reads one message at a time from the bytes of a connection; interim
/// responses are skipped. Deterministic; not thread safe.
class HttpReader
{
public:
    explicit HttpReader(HttpReaderOptions options);
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Forgets the message read so far and starts with the next one.
    void reset();

    /// Changes the bounds; holds from the next message on.
    void setBounds(std::size_t maxHeadBytes, std::size_t maxBodyBytes);

    /// Says that the response to be read has no body (a response to HEAD).
    void expectNoBody() { this->noBody = true; }

    /// Takes bytes and returns how many belong to this message. Stops after its last byte.
    /// Precondition: the message is neither whole nor faulty.
    std::size_t feed(std::string_view bytes);

    /// Tells that the connection has ended in order. A response that is
    /// delimited by that is whole, any other is truncated.
    void finish();

    bool started() const { return this->headBytes > 0; }
    bool headDone() const { return this->isHeadDone; }
    bool whole() const { return this->isWhole; }
    HttpFault fault() const { return this->problem; }
    const HttpHead &head() const { return this->current; }

    /// Body bytes that arrived since the last call.
    std::string takeBody() { return std::exchange(this->body, {}); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHead(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onWhole(http_parser *parser);
    static HttpReader &self(http_parser *parser);
    static const http_parser_settings &settings();

    int noteHead();

    HttpReaderOptions options;
    http_parser parser{};
    HttpHead current;
    std::string body;
    std::size_t headBytes{ 0 };
    std::size_t bodyBytes{ 0 };
    bool valueSeen{ false }; ///< the next field starts a new header
    bool isHeadDone{ false };
    bool isWhole{ false };
    bool isInterim{ false };
    bool noBody{ false };
    HttpFault problem{ HttpFault::none };
};

/// True for headers that concern one connection alone, and for those that
/// `connection` (the value of Connection) names. Thread safe.
bool isConnectionHeader(const std::string &name, const std::string &connection);

/// Compares header names, without case. Thread safe.
bool sameHeader(std::string_view left, std::string_view right);

} // namespace egret
