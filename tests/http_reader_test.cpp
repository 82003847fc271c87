#include "http_reader.h"

#include "broken_responses.h"
#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

/// Fault of a response that is parsed in parts of `partSize` bytes and ended by an orderly close.
HttpFault faultOf(const std::string &response, std::size_t partSize)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    for (std::size_t at = 0; at < response.size(); at += partSize) {
        if (reader.isComplete() || reader.fault() != HttpFault::none)
            break;
        reader.feed(std::string_view(response).substr(at, partSize));
    }
    reader.finish();
    return reader.fault();
}

/// Expects that each response is malformed, whether it arrives at once or byte by byte.
void expectMalformed(const std::vector<std::string> &responses)
{
    for (const std::string &response : responses) {
        EXPECT_EQ(faultOf(response, response.size()), HttpFault::malformed) << response;
        EXPECT_EQ(faultOf(response, 1), HttpFault::malformed) << response;
    }
}

} // namespace

TEST(HttpReader, StopsAfterTheLastByteOfAMessage)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    const std::string message = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    EXPECT_EQ(reader.feed(message + "HTTP/1.1 500"), message.size());
    EXPECT_TRUE(reader.isComplete());
    EXPECT_EQ(reader.takeBody(), "abc");
}

TEST(HttpReader, SkipsInterimResponses)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(reader.isComplete());
    EXPECT_EQ(reader.head().status, 200);
    EXPECT_TRUE(headerValue(reader.head().headers, "link").empty());
}

// Guards against interim responses without end, each of which is small.
TEST(HttpReader, InterimResponsesCountTowardsTheHeadLimit)
{
    HttpReader reader({ .kind = HttpMessageKind::response, .maxHeadBytes = 1024 });
    for (int i = 0; i < 100 && reader.fault() == HttpFault::none; ++i)
        reader.feed("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    EXPECT_EQ(reader.fault(), HttpFault::headTooLarge);
}

TEST(HttpReader, AnOrderlyCloseCompletesABodyWithoutALength)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_FALSE(reader.isComplete());
    reader.finish();
    EXPECT_TRUE(reader.isComplete());
    EXPECT_FALSE(reader.head().keepsAlive);
}

TEST(HttpReader, AnIncompleteBodyIsTruncated)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    reader.finish();
    EXPECT_EQ(reader.fault(), HttpFault::truncated);
    HttpReader chunked({ .kind = HttpMessageKind::response });
    chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    chunked.finish();
    EXPECT_EQ(chunked.fault(), HttpFault::truncated);
}

TEST(HttpReader, RejectsConflictingBodyLengths)
{
    HttpReader lengthAndChunked({ .kind = HttpMessageKind::request });
    lengthAndChunked.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(lengthAndChunked.fault(), HttpFault::malformed);
    HttpReader twoLengths({ .kind = HttpMessageKind::request });
    twoLengths.feed(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    EXPECT_EQ(twoLengths.fault(), HttpFault::malformed);
}

// Guards against heads whose memory is far larger than their size on the wire.
TEST(HttpReader, CountsWhatAHeadHolds)
{
    HttpReader reader({ .kind = HttpMessageKind::request });
    std::string text = "GET / HTTP/1.1\r\nLong: " + std::string(500, 'x') + "\r\n";
    constexpr std::size_t lineCount = 1000;
    for (std::size_t i = 0; i < lineCount; ++i)
        text += "a:b\r\n";
    for (const char c : text)
        reader.feed(std::string_view(&c, 1));
    reader.feed("\r\n");
    ASSERT_TRUE(reader.isComplete());
    EXPECT_GE(reader.headCapacity(), lineCount * sizeof(HttpHeaders::value_type) + 500);
    const HttpHead head = reader.takeHead();
    EXPECT_EQ(head.headers.size(), lineCount + 1);
    EXPECT_EQ(reader.headCapacity(), 0U);
}

TEST(HttpReader, LimitsHeadAndBodySize)
{
    HttpReader head({ .kind = HttpMessageKind::request, .maxHeadBytes = 64 });
    head.feed("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(100, 'x'));
    EXPECT_EQ(head.fault(), HttpFault::headTooLarge);
    HttpReader sized({ .kind = HttpMessageKind::request, .maxBodyBytes = 4 });
    sized.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(sized.fault(), HttpFault::bodyTooLarge);
    HttpReader chunked({ .kind = HttpMessageKind::request, .maxBodyBytes = 4 });
    chunked.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n");
    EXPECT_EQ(chunked.fault(), HttpFault::bodyTooLarge);
}

TEST(HttpReader, AResponseToHeadHasNoBody)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    reader.expectNoBody();
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    EXPECT_TRUE(reader.isComplete());
}

TEST(HttpReader, RecognisesHopByHopHeaders)
{
    EXPECT_TRUE(isHopByHopHeader("Keep-Alive", ""));
    EXPECT_TRUE(isHopByHopHeader("X-Mine", "close, x-mine"));
    EXPECT_FALSE(isHopByHopHeader("X-Mine", "close"));
}

TEST(HttpReader, GarbageIsMalformed)
{
    HttpReader reader({ .kind = HttpMessageKind::response });
    reader.feed("\x01\x02garbage\r\n\r\n");
    EXPECT_EQ(reader.fault(), HttpFault::malformed);
}

// Guards against a status that is none, which a client would get as an answer.
TEST(HttpReader, RejectsBrokenStatusLines)
{
    expectMalformed(responsesWithBrokenStatusLine());
}

// Guards against rejecting status lines that are unusual but valid.
TEST(HttpReader, AcceptsEveryStatusLineOfHttp1)
{
    for (const std::string line : { "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ",
                                    "HTTP/1.1 599 \xe4\tb", "HTTP/1.1 218 x" }) {
        for (const std::string lineEnd : { "\r\n", "\n" }) {
            const std::string response = line + lineEnd + "Content-Length: 2" + lineEnd + lineEnd;
            EXPECT_EQ(faultOf(response + "ok", 1), HttpFault::none) << response;
        }
    }
}

// Guards against a name or value that two readers understand differently, so that a line is passed
// on that the server never meant, or the body ends elsewhere.
TEST(HttpReader, RejectsBrokenFields)
{
    expectMalformed(responsesWithBrokenFields());
}

// Guards against requests that pass a field by the gateway which the upstream understands.
TEST(HttpReader, RejectsBrokenFieldsOfRequests)
{
    for (const std::string &line : brokenFieldLines()) {
        HttpReader reader({ .kind = HttpMessageKind::request });
        reader.feed("GET / HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\n");
        EXPECT_EQ(reader.fault(), HttpFault::malformed) << line;
    }
}

// Guards against rejecting fields that are unusual but valid.
TEST(HttpReader, AcceptsEveryValidField)
{
    for (const std::string field : { "X:", "x-!#$%&'*+.^_`|~9: v", "X:v \t", "X: a\tb \xe4\xff" }) {
        for (const std::string lineEnd : { "\r\n", "\n" }) {
            const std::string response =
                    "HTTP/1.1 200 OK" + lineEnd + field + lineEnd + "Content-Length: 2" + lineEnd;
            EXPECT_EQ(faultOf(response + lineEnd + "ok", 1), HttpFault::none) << field;
        }
    }
    EXPECT_EQ(faultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nok\r\n"
                      "0\r\nChecked: yes\r\n\r\n",
                      1),
              HttpFault::none);
}

// Guards against a body that ends where the server never meant it to end.
TEST(HttpReader, RejectsBrokenFraming)
{
    expectMalformed(responsesWithBrokenFraming());
    expectMalformed(responsesWithBrokenChunks());
    expectMalformed(responsesWithBrokenTrailer());
}

// Guards against rejecting bodies that are framed in an unusual but valid way.
TEST(HttpReader, AcceptsEveryValidFraming)
{
    const std::vector<std::pair<std::string, std::string>> responses = {
        { "Content-Length: \t2 \r\n\r\nok", "ok" },
        { "Content-Length: 0002\r\n\r\nok", "ok" },
        { "transfer-encoding:\tCHUNKED \r\n\r\n02\r\nok\r\n000\r\n\r\n", "ok" },
        { "Transfer-Encoding: chunked\r\n\r\nA;a=\"b\"\r\n0123456789\r\n1  \r\nx\r\n0;z\r\nT: "
          "v\r\n\r\n",
          "0123456789x" },
        { "Connection: close\r\n\r\nok", "ok" },
        { "\r\n", "" },
    };
    for (const auto &[rest, body] : responses) {
        HttpReader reader({ .kind = HttpMessageKind::response });
        std::string received;
        for (const char c : std::string(kStatusLine) + rest) {
            EXPECT_EQ(reader.feed(std::string_view(&c, 1)), 1U) << rest;
            received += reader.takeBody();
        }
        reader.finish();
        EXPECT_TRUE(reader.isComplete()) << rest << reader.faultReason();
        EXPECT_EQ(received, body) << rest;
    }
}

// Guards against a call that waits for the body of a response that has none.
TEST(HttpReader, ResponsesWithoutContentEndWithTheirHead)
{
    for (const std::string status : { "204 No Content", "304 Not Modified" }) {
        for (const std::string field :
             { "", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n" }) {
            HttpReader reader({ .kind = HttpMessageKind::response });
            const std::string head = "HTTP/1.1 " + status + "\r\n" + field + "\r\n";
            EXPECT_EQ(reader.feed(head + "HTTP/1.1"), head.size());
            EXPECT_TRUE(reader.isComplete()) << head;
            EXPECT_TRUE(reader.head().keepsAlive) << head;
        }
    }
}

/// The parsed body does not depend on how the message is split across calls of `feed`.
TEST(HttpReader, ParsesTheSameBodyForAnySplitOfTheBytes)
{
    fuzz([] {
        const std::string body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        const bool isChunked = *rc::gen::arbitrary<bool>();
        std::string message = "HTTP/1.1 200 OK\r\nA: b\r\n";
        if (isChunked && !body.empty()) {
            char size[16];
            std::snprintf(size, sizeof(size), "%zx", body.size());
            message += std::string("Transfer-Encoding: chunked\r\n\r\n") + size + "\r\n" + body
                       + "\r\n0\r\n\r\n";
        } else {
            message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        HttpReader reader({ .kind = HttpMessageKind::response });
        std::string parsedBody;
        std::size_t offset = 0;
        while (offset < message.size() && !reader.isComplete()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 9);
            const std::string part = message.substr(offset, size);
            RC_ASSERT(reader.feed(part) == part.size());
            parsedBody += reader.takeBody();
            offset += part.size();
        }
        RC_ASSERT(reader.isComplete());
        RC_ASSERT(parsedBody == body);
    });
}
