#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace egret {

/// Kind of an HTTP message.
enum class HttpMessageKind : std::uint8_t { request, response };

/// Violation of the HTTP/1.1 grammar (RFC 9112).
enum class HttpDefect : std::uint8_t {
    none,
    syntax,     ///< any violation without a value of its own
    statusLine, ///< not a status line of HTTP/1.0 or HTTP/1.1
    status,     ///< three digits outside of 100 to 599
    upgrade,    ///< 101 Switching Protocols, for which no request asks
    fieldName,  ///< a field without a name, or a byte that no name of a field may have
    fieldValue, ///< a control byte in the value of a field, or a value folded into a second line
    framing,    ///< headers that don't tell where the body ends
    chunk,      ///< a violation in a chunked body outside of its trailer
};

/// Machine-readable name of a defect. Thread safe.
const char *httpDefectName(HttpDefect defect);

/// True for the bytes of field values and reason phrases. Thread safe.
bool isFieldText(char c);

/// Checks the bytes of a message's head against the grammar, in parts of any size, and finds the
/// end of the head. Stricter than http_parser, which accepts any digits as a status and blanks in
/// the names of fields. Lines may end with a bare LF. Deterministic; not thread safe.
class HttpHeadScanner
{
public:
    explicit HttpHeadScanner(HttpMessageKind kind) : kind(kind) { this->reset(); }

    /// Prepares for the head of the next message.
    void reset();

    /// Prepares for a trailer: fields without a start line.
    void beginTrailer();

    /// Checks bytes up to the end of the head or the first defect. Returns the number of valid
    /// bytes; those behind the end of the head are not counted.
    std::size_t scan(std::string_view bytes);

    /// True when the start line has begun, or a trailer has.
    bool hasStarted() const { return this->state != State::beforeStart; }
    /// True when the blank line that ends the head has been scanned.
    bool isComplete() const { return this->state == State::complete; }
    HttpDefect defect() const { return this->currentDefect; }
    /// Status of a response; 0 until its digits have been scanned.
    int status() const { return this->statusCode; }
    /// Minor version of a response; 1 until its digit has been scanned.
    int minorVersion() const { return this->minor; }

private:
    enum class State : std::uint8_t {
        beforeStart, ///< blank lines before the message
        startLine,
        reason, ///< rest of a status line behind the status
        lineStart,
        fieldName,
        fieldValue,
        lineFeed,    ///< the LF of a CRLF
        endLineFeed, ///< the LF of the CRLF that ends the head
        complete,
    };

    /// State after the byte `c`; sets the defect if `c` is not valid.
    State next(char c);
    State nextInStatusLine(char c);
    State reject(HttpDefect defect);

    HttpMessageKind kind;
    State state{ State::beforeStart };
    bool hasField{ false }; ///< a line of fields has been scanned
    HttpDefect currentDefect{ HttpDefect::none };
    std::size_t position{ 0 }; ///< bytes of the status line so far
    int statusCode{ 0 };
    int minor{ 1 };
};

} // namespace egret
