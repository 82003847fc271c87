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

/// True for the bytes of field values and reason phrases.
bool isText(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

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
    }
    return "unknown";
}

void HttpHeadScanner::reset()
{
    this->state = State::beforeStart;
    this->currentDefect = HttpDefect::none;
    this->position = 0;
    this->statusCode = 0;
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
        return isText(c) ? State::reason : this->reject(HttpDefect::statusLine);
    case State::lineStart:
        if (c == '\r')
            return State::endLineFeed;
        return c == '\n' ? State::complete : State::field;
    case State::field:
        if (c == '\r')
            return State::lineFeed;
        return c == '\n' ? State::lineStart : State::field;
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
