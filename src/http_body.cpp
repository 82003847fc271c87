#include "http_body.h"

#include "http_reader.h"

#include <algorithm>
#include <charconv>

namespace egret {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// Limit on the line with the size and the extensions of one chunk.
constexpr std::size_t kMaxChunkLineBytes = 4U << 10U;
constexpr std::size_t kMaxTrailerBytes = 16U << 10U;
constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{ 1 } << 60U;

std::string_view withoutBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    // from_chars accepts no leading plus sign, and a minus sign only for signed types.
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

/// Values of all fields with this name, without surrounding blanks.
std::vector<std::string_view> fieldValues(const HttpHeaders &headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const auto &[key, value] : headers) {
        if (isSameHeaderName(key, name))
            values.push_back(withoutBlanks(value));
    }
    return values;
}

std::optional<unsigned> hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return std::nullopt;
}

} // namespace

std::optional<BodyFraming> bodyFraming(const HttpHeaders &headers, const FramingTraits &traits)
{
    const auto lengths = fieldValues(headers, "Content-Length");
    const auto codings = fieldValues(headers, "Transfer-Encoding");
    const bool isResponse = traits.kind == HttpMessageKind::response;
    const bool isInterim = isResponse && traits.status < kFirstFinalStatus;
    const std::size_t fieldCount = lengths.size() + codings.size();
    if (fieldCount > 1 || (isInterim && fieldCount > 0))
        return std::nullopt;
    BodyFraming framing{ .end = isResponse ? BodyEnd::close : BodyEnd::head };
    if (!codings.empty()) {
        if (!isSameHeaderName(codings.front(), "chunked") || traits.minorVersion == 0)
            return std::nullopt;
        framing.end = BodyEnd::chunk;
    }
    if (!lengths.empty()) {
        const auto length = parseLength(lengths.front());
        if (!length)
            return std::nullopt;
        framing = { .end = BodyEnd::length, .length = *length };
    }
    const bool hasNoBody = isResponse
                           && (isInterim || traits.answersHead || traits.status == kNoContent
                               || traits.status == kNotModified);
    const bool isEmpty = framing.end == BodyEnd::length && framing.length == 0;
    return hasNoBody || isEmpty ? BodyFraming{} : framing;
}

std::size_t ChunkedBody::feed(std::string_view bytes, std::string &content)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->isComplete()
           && this->currentDefect == HttpDefect::none) {
        const std::string_view rest = bytes.substr(consumed);
        if (this->state == State::data) {
            const std::size_t count = std::min<std::uint64_t>(rest.size(), this->remaining);
            content.append(rest.substr(0, count));
            consumed += count;
            this->remaining -= count;
            if (this->remaining == 0)
                this->state = State::dataReturn;
        } else if (this->state == State::trailer) {
            const std::size_t count = this->trailer.scan(rest);
            consumed += count;
            this->trailerBytes += count;
            this->currentDefect = this->trailer.defect();
            if (this->trailerBytes > kMaxTrailerBytes)
                this->reject();
            else if (this->trailer.isComplete())
                this->state = State::complete;
        } else {
            ++consumed;
            this->state = this->next(rest.front());
        }
    }
    return consumed;
}

ChunkedBody::State ChunkedBody::reject()
{
    this->currentDefect = HttpDefect::chunk;
    return this->state;
}

ChunkedBody::State ChunkedBody::next(char c)
{
    switch (this->state) {
    case State::sizeStart:
    case State::size:
    case State::padding:
    case State::extension:
        return ++this->lineBytes > kMaxChunkLineBytes ? this->reject() : this->nextInSize(c);
    case State::sizeLineFeed:
        if (c != '\n')
            return this->reject();
        this->lineBytes = 0;
        if (this->remaining > 0)
            return State::data;
        this->trailer.beginTrailer();
        return State::trailer;
    case State::dataReturn:
        return c == '\r' ? State::dataLineFeed : this->reject();
    case State::dataLineFeed:
        return c == '\n' ? State::sizeStart : this->reject();
    case State::data:
    case State::trailer:
    case State::complete:
        break;
    }
    return this->state;
}

ChunkedBody::State ChunkedBody::nextInSize(char c)
{
    const auto digit = hexDigit(c);
    if (this->state == State::extension && c != '\r')
        return isFieldText(c) ? State::extension : this->reject();
    if (this->state != State::padding && this->state != State::extension && digit) {
        if (this->remaining >= kMaxChunkBytes / 16)
            return this->reject();
        this->remaining = 16 * this->remaining + *digit;
        return State::size;
    }
    if (this->state == State::sizeStart)
        return this->reject();
    if (c == '\r')
        return State::sizeLineFeed;
    if (c == ';')
        return State::extension;
    return c == ' ' || c == '\t' ? State::padding : this->reject();
}

} // namespace egret
