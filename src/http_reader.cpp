#include "http_reader.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace egret {

namespace {

constexpr int kFirstFinalStatus = 200;

constexpr std::array<std::string_view, 9> kHopByHopHeaders = { "connection",
                                                               "keep-alive",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "proxy-connection",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade" };

/// Bytes that a string has allocated; short ones are stored in the object itself.
std::size_t allocatedBytes(const std::string &text)
{
    static const std::size_t inlineCapacity = std::string().capacity();
    return text.capacity() > inlineCapacity ? text.capacity() + 1 : 0;
}

char toLower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

} // namespace

const char *httpFaultName(HttpFault fault)
{
    switch (fault) {
    case HttpFault::none:
        return "none";
    case HttpFault::malformed:
        return "malformed";
    case HttpFault::headTooLarge:
        return "head-too-large";
    case HttpFault::bodyTooLarge:
        return "body-too-large";
    case HttpFault::truncated:
        return "truncated";
    }
    return "unknown";
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (isSameHeaderName(key, name))
            return value;
    }
    return {};
}

bool isHopByHopHeader(const std::string &name, const std::string &connection)
{
    const auto matchesName = [&name](std::string_view other) {
        return isSameHeaderName(name, other);
    };
    if (std::ranges::any_of(kHopByHopHeaders, matchesName))
        return true;
    std::string_view rest = connection;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        std::string_view token = rest.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (matchesName(token))
            return true;
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return false;
}

std::size_t allocatedBytes(const HttpHeaders &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(HttpHeaders::value_type);
    for (const auto &[name, value] : headers)
        bytes += allocatedBytes(name) + allocatedBytes(value);
    return bytes;
}

HttpReader::HttpReader(HttpReaderOptions options) : options(options), scanner(options.kind)
{
    this->reset();
}

void HttpReader::reset()
{
    http_parser_init(&this->parser,
                     this->options.kind == HttpMessageKind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->scanner.reset();
    this->framing = {};
    this->chunkedBody = {};
    this->currentHead = {};
    this->body.clear();
    this->headBytes = this->headStringBytes = this->bodyBytes = 0;
    this->lastCallbackWasValue = this->headComplete = this->messageComplete = this->isInterim =
            false;
    this->hasNoBody = false;
    this->currentFault = HttpFault::none;
    this->defect = HttpDefect::none;
}

void HttpReader::reject(HttpDefect newDefect)
{
    this->currentFault = HttpFault::malformed;
    this->defect = newDefect;
}

const char *HttpReader::faultReason() const
{
    return this->currentFault == HttpFault::malformed ? httpDefectName(this->defect)
                                                      : httpFaultName(this->currentFault);
}

void HttpReader::setBounds(std::size_t maxHeadBytes, std::size_t maxBodyBytes)
{
    this->options.maxHeadBytes = maxHeadBytes;
    this->options.maxBodyBytes = maxBodyBytes;
}

std::size_t HttpReader::feed(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->messageComplete
           && this->currentFault == HttpFault::none) {
        const std::string_view rest = bytes.substr(consumed);
        consumed += this->headComplete ? this->feedBody(rest) : this->feedHead(rest);
    }
    return consumed;
}

std::size_t HttpReader::feedHead(std::string_view bytes)
{
    // http_parser gets only what the scanner has found valid, up to the end of the head.
    const std::string_view valid = bytes.substr(0, this->scanner.scan(bytes));
    std::size_t parsed = 0;
    if (!valid.empty())
        parsed = http_parser_execute(&this->parser, &HttpReader::parserCallbacks(), valid.data(),
                                     valid.size());
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    this->headBytes += parsed;
    if (this->isInterim)
        this->skipInterimHead();
    else if (this->currentFault != HttpFault::none || this->headComplete)
        return parsed;
    else if (this->scanner.defect() != HttpDefect::none)
        this->reject(this->scanner.defect());
    else if (error != HPE_OK || this->scanner.isComplete())
        this->reject(error == HPE_UNEXPECTED_CONTENT_LENGTH || error == HPE_INVALID_CONTENT_LENGTH
                             ? HttpDefect::framing
                             : HttpDefect::syntax);
    if (this->currentFault == HttpFault::none && this->headBytes > this->options.maxHeadBytes)
        this->currentFault = HttpFault::headTooLarge;
    return parsed;
}

void HttpReader::skipInterimHead()
{
    // The final response answers the same request: `hasNoBody` and the limit still apply.
    const bool savedHasNoBody = this->hasNoBody;
    const std::size_t savedHeadBytes = this->headBytes;
    this->reset();
    this->hasNoBody = savedHasNoBody;
    this->headBytes = savedHeadBytes;
}

std::size_t HttpReader::feedBody(std::string_view bytes)
{
    const std::size_t sizeBefore = this->body.size();
    std::size_t consumed = bytes.size();
    if (this->framing.end == BodyEnd::chunk) {
        consumed = this->chunkedBody.feed(bytes, this->body);
        this->messageComplete = this->chunkedBody.isComplete();
        if (this->chunkedBody.defect() != HttpDefect::none)
            this->reject(this->chunkedBody.defect());
    } else {
        if (this->framing.end == BodyEnd::length)
            consumed =
                    std::min<std::uint64_t>(bytes.size(), this->framing.length - this->bodyBytes);
        this->body.append(bytes.substr(0, consumed));
    }
    this->bodyBytes += this->body.size() - sizeBefore;
    if (this->framing.end == BodyEnd::length)
        this->messageComplete = this->bodyBytes == this->framing.length;
    if (this->bodyBytes > this->options.maxBodyBytes) {
        this->body.resize(sizeBefore);
        this->messageComplete = false;
        this->currentFault = HttpFault::bodyTooLarge;
    }
    return consumed;
}

void HttpReader::finish()
{
    if (this->messageComplete || this->currentFault != HttpFault::none)
        return;
    if (this->headComplete && this->framing.end == BodyEnd::close)
        this->messageComplete = true;
    else
        this->currentFault = HttpFault::truncated;
}

HttpReader &HttpReader::fromParser(http_parser *parser)
{
    return *static_cast<HttpReader *>(parser->data);
}

const http_parser_settings &HttpReader::parserCallbacks()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings result{};
        http_parser_settings_init(&result);
        result.on_url = &HttpReader::onUrl;
        result.on_header_field = &HttpReader::onHeaderField;
        result.on_header_value = &HttpReader::onHeaderValue;
        result.on_headers_complete = &HttpReader::onHeadersComplete;
        return result;
    }();
    return callbacks;
}

HttpHead HttpReader::takeHead()
{
    this->headStringBytes = 0;
    return std::exchange(this->currentHead, {});
}

void HttpReader::appendToHead(std::string &text, const char *data, std::size_t size)
{
    this->headStringBytes -= allocatedBytes(text);
    text.append(data, size);
    this->headStringBytes += allocatedBytes(text);
}

int HttpReader::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    HttpReader &reader = fromParser(parser);
    reader.appendToHead(reader.currentHead.target, data, size);
    return 0;
}

int HttpReader::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    HttpReader &reader = fromParser(parser);
    if (reader.headComplete) // trailers are ignored
        return 0;
    if (reader.lastCallbackWasValue || reader.currentHead.headers.empty())
        reader.currentHead.headers.emplace_back();
    reader.lastCallbackWasValue = false;
    reader.appendToHead(reader.currentHead.headers.back().first, data, size);
    return 0;
}

int HttpReader::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    HttpReader &reader = fromParser(parser);
    if (reader.headComplete)
        return 0;
    reader.lastCallbackWasValue = true;
    reader.appendToHead(reader.currentHead.headers.back().second, data, size);
    return 0;
}

int HttpReader::onHeadersComplete(http_parser *parser)
{
    return fromParser(parser).processHead();
}

int HttpReader::processHead()
{
    const bool isRequest = this->options.kind == HttpMessageKind::request;
    if (isRequest)
        this->currentHead.method = http_method_str(static_cast<http_method>(this->parser.method));
    else
        this->currentHead.status = this->parser.status_code;
    this->currentHead.keepsAlive = http_should_keep_alive(&this->parser) != 0;
    const auto headFraming =
            bodyFraming(this->currentHead.headers, { .kind = this->options.kind,
                                                     .minorVersion = this->parser.http_minor,
                                                     .status = this->currentHead.status,
                                                     .answersHead = this->hasNoBody });
    if (!headFraming) {
        this->reject(HttpDefect::framing);
        return -1;
    }
    this->isInterim = !isRequest && this->currentHead.status < kFirstFinalStatus;
    if (this->isInterim)
        return 1;
    this->framing = *headFraming;
    this->headComplete = true;
    this->currentHead.hasBody = isRequest && this->framing.end != BodyEnd::head;
    this->messageComplete = this->framing.end == BodyEnd::head;
    if (isRequest && this->framing.length > this->options.maxBodyBytes) {
        this->currentFault = HttpFault::bodyTooLarge;
        return -1;
    }
    return 1;
}

} // namespace egret
