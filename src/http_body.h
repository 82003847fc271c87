#pragma once

#include "http_head_scanner.h"
#include "http_server.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egret {

/// What tells the end of a message's body.
enum class BodyEnd : std::uint8_t {
    head,   ///< there is no body
    length, ///< the Content-Length
    chunk,  ///< the last chunk
    close,  ///< an orderly close of the connection; responses only
};

struct BodyFraming
{
    BodyEnd end{ BodyEnd::head };
    std::uint64_t length{ 0 }; ///< for `BodyEnd::length`
};

/// Properties of a message, besides its headers, that decide how its body is framed.
struct FramingTraits
{
    HttpMessageKind kind{ HttpMessageKind::response };
    int minorVersion{ 1 };     ///< of HTTP/1.x
    int status{ 200 };         ///< responses only
    bool answersHead{ false }; ///< the response answers a HEAD request
};

/// Returns how a message's body is framed (RFC 9112, section 6.3). Empty when its headers are
/// contradictory, so that two readers could find different ends: several lengths or codings, a
/// length that is not a number, both, a coding other than `chunked`, or either in an interim
/// response. Thread safe.
std::optional<BodyFraming> bodyFraming(const HttpHeaders &headers, const FramingTraits &traits);

/// Decodes a chunked body (RFC 9112, section 7.1) in parts of any size. Ignores extensions and
/// trailers, but checks their bytes and limits their size. Deterministic; not thread safe.
class ChunkedBody
{
public:
    /// Decodes bytes up to the end of the body or the first defect, and appends the content to
    /// `content`. Returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes, std::string &content);

    /// True when the whole body has been decoded.
    bool isComplete() const { return this->state == State::complete; }
    HttpDefect defect() const { return this->currentDefect; }

private:
    enum class State : std::uint8_t {
        sizeStart,
        size,
        padding, ///< blanks behind the size
        extension,
        sizeLineFeed,
        data,
        dataReturn,   ///< the CR behind the data
        dataLineFeed, ///< the LF behind the data
        trailer,
        complete,
    };

    /// State after the byte `c` outside of data and trailer; sets the defect if `c` is not valid.
    State next(char c);
    State nextInSize(char c);
    State reject();

    State state{ State::sizeStart };
    HttpDefect currentDefect{ HttpDefect::none };
    std::uint64_t remaining{ 0 }; ///< size of the chunk, or what is left of its data
    std::size_t lineBytes{ 0 };   ///< bytes of the line with the chunk's size
    std::size_t trailerBytes{ 0 };
    HttpHeadScanner trailer{ HttpMessageKind::response };
};

} // namespace egret
