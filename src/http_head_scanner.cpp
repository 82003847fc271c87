#include "http_head_scanner.h"

namespace egret {

namespace {

/// Form of a status line up to the status; '#' stands for a digit.
constexpr std::string_view kStatusLineForm = "HTTP/1.# ###";
constexpr std::size_t kMinorVersionAt = 7;
constexpr std::size_t kStatusAt = 9;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// True for the bytes of field names.
bool isNameByte(char c)
{
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const char lower = static_cast<char>(c | 0x20);
    return isDigit(c) || (lower >= 'a' && lower <= 'z') || marks.find(c) != std::string_view::npos;
}

} // namespace

bool isFieldText(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

const char *httpDefectName(HttpDefect defect)
{
    switch (defect) {
    case HttpDefect::none:
        return "none";
    case HttpDefect::syntax:
        return "malformed";
    case HttpDefect::statusLine:
        return "malformed-status-line";
    case HttpDefect::status:
        return "invalid-status";
    case HttpDefect::upgrade:
        return "unexpected-upgrade";
    case HttpDefect::fieldName:
        return "malformed-field-name";
    case HttpDefect::fieldValue:
        return "malformed-field-value";
    case HttpDefect::framing:
        return "contradictory-framing";
    case HttpDefect::chunk:
        return "malformed-chunk";
    }
    return "unknown";
}

void HttpHeadScanner::reset()
{
    this->state = State::beforeStart;
    this->hasField = false;
    this->currentDefect = HttpDefect::none;
    this->position = 0;
    this->statusCode = 0;
    this->minor = 1;
}

void HttpHeadScanner::beginTrailer()
{
    this->reset();
    this->state = State::lineStart;
}

std::size_t HttpHeadScanner::scan(std::string_view bytes)
{
    std::size_t count = 0;
    while (count < bytes.size() && !this->isComplete()) {
        this->state = this->next(bytes[count]);
        if (this->currentDefect != HttpDefect::none)
            break;
        ++count;
    }
    return count;
}

HttpHeadScanner::State HttpHeadScanner::reject(HttpDefect defect)
{
    this->currentDefect = defect;
    return this->state;
}

HttpHeadScanner::State HttpHeadScanner::next(char c)
{
    switch (this->state) {
    case State::beforeStart:
        if (c == '\r' || c == '\n')
            return State::beforeStart;
        [[fallthrough]];
    case State::startLine:
        if (this->kind == HttpMessageKind::response)
            return this->nextInStatusLine(c);
        if (c == '\r')
            return State::lineFeed;
        return c == '\n' ? State::lineStart : State::startLine;
    case State::reason:
        if (c == '\r')
            return State::lineFeed;
        if (c == '\n')
            return State::lineStart;
        return isFieldText(c) ? State::reason : this->reject(HttpDefect::statusLine);
    case State::lineStart:
        if (c == '\r')
            return State::endLineFeed;
        if (c == '\n')
            return State::complete;
        // A blank here would continue the value of the previous line (obsolete line folding).
        if ((c == ' ' || c == '\t') && this->hasField)
            return this->reject(HttpDefect::fieldValue);
        this->hasField = true;
        return isNameByte(c) ? State::fieldName : this->reject(HttpDefect::fieldName);
    case State::fieldName:
        if (c == ':')
            return State::fieldValue;
        return isNameByte(c) ? State::fieldName : this->reject(HttpDefect::fieldName);
    case State::fieldValue:
        if (c == '\r')
            return State::lineFeed;
        if (c == '\n')
            return State::lineStart;
        return isFieldText(c) ? State::fieldValue : this->reject(HttpDefect::fieldValue);
    case State::lineFeed:
        return c == '\n' ? State::lineStart : this->reject(HttpDefect::syntax);
    case State::endLineFeed:
        return c == '\n' ? State::complete : this->reject(HttpDefect::syntax);
    case State::complete:
        break;
    }
    return this->state;
}

HttpHeadScanner::State HttpHeadScanner::nextInStatusLine(char c)
{
    const std::size_t at = this->position++;
    if (at == kStatusLineForm.size()) {
        if (c == ' ')
            return State::reason;
        if (c == '\r')
            return State::lineFeed;
        return c == '\n' ? State::lineStart : this->reject(HttpDefect::statusLine);
    }
    if (kStatusLineForm[at] != '#')
        return c == kStatusLineForm[at] ? State::startLine : this->reject(HttpDefect::statusLine);
    if (!isDigit(c) || (at == kMinorVersionAt && c > '1'))
        return this->reject(HttpDefect::statusLine);
    if (at == kMinorVersionAt)
        this->minor = c - '0';
    if (at < kStatusAt)
        return State::startLine;
    this->statusCode = 10 * this->statusCode + (c - '0');
    if (at + 1 < kStatusLineForm.size())
        return State::startLine;
    if (this->statusCode < kMinStatus || this->statusCode > kMaxStatus)
        return this->reject(HttpDefect::status);
    return this->statusCode == kSwitchingProtocols ? this->reject(HttpDefect::upgrade)
                                                   : State::startLine;
}

} // namespace egret
