#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Text with its NUL bytes.
template <std::size_t size> std::string textOf(const char (&literal)[size])
{
    return { literal, size - 1 };
}

/// Start of a whole response up to its first field, and the rest behind that field.
inline constexpr std::string_view kStatusLine = "HTTP/1.1 200 OK\r\n";
inline constexpr std::string_view kSizedRest = "Content-Length: 2\r\n\r\nok";

/// Responses with a start line that no status line of HTTP/1.x can be.
inline std::vector<std::string> responsesWithBrokenStatusLine()
{
    std::vector<std::string> responses;
    const std::vector<std::string> lines = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 Low",
        "HTTP/1.1 600 High",
        "HTTP/1.1 999 High",
        "HTTP/1.1 20 Short",
        "HTTP/1.1 0200 Long",
        "HTTP/1.1 2000 Long",
        "HTTP/1.1 +20 Sign",
        "HTTP/1.1  200 Blanks",
        "HTTP/1.1\t200 Tab",
        "HTTP/1.1 200OK",
        "HTTP/1.1 2 00",
        "HTTP/1.1 ",
        "HTTP/1.1 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.10 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 O\x7fK",
        "HTTP/1.1 200 O\rK",
        textOf("HTTP/1.1 200 O\0K"),
        textOf("HTTP/1.1 20\0"),
        "HTTP/1.1 200 OK\r",
    };
    responses.reserve(lines.size() + 2);
    for (const std::string &line : lines)
        responses.push_back(line + "\r\n" + std::string(kSizedRest));
    // A sound response behind the broken head must not take its place.
    const std::string sound = std::string(kStatusLine) + std::string(kSizedRest);
    responses.push_back("HTTP/1.1 000 OK\r\n\r\n" + sound);
    responses.push_back("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + sound);
    return responses;
}

/// Lines that no head may hold: names with blanks or control bytes, and values with control bytes.
inline std::vector<std::string> brokenFieldLines()
{
    return {
        "Name : v",
        "Name\t: v",
        "Na me: v",
        " Name: v",
        "\tName: v",
        ": v",
        "Name",
        "Na\x01me: v",
        "Na\x7fme: v",
        "N\xe4me: v",
        "Na\rme: v",
        "Na(me): v",
        "\"Name\": v",
        textOf("Na\0me: v"),
        "Name: v\x01w",
        "Name: v\x1b[0m",
        "Name: v\x7fw",
        "Name: v\rw",
        "Name: v\r",
        textOf("Name: v\0w"),
        "Name: v\r\n folded",
        "Name: v\r\n\tfolded",
        "Content-Length : 1",
        "Content-Length\t: 1",
        "Transfer-Encoding : chunked",
    };
}

/// Responses that hold such a line as their first or last field, in the final head or in an interim
/// one.
inline std::vector<std::string> responsesWithBrokenFields()
{
    std::vector<std::string> responses;
    const std::string sound = std::string(kStatusLine) + std::string(kSizedRest);
    for (const std::string &line : brokenFieldLines()) {
        const std::string field = line + "\r\n";
        responses.push_back(std::string(kStatusLine) + field + std::string(kSizedRest));
        responses.push_back(std::string(kStatusLine) + "Content-Length: 2\r\n" + field + "\r\nok");
        responses.push_back("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + sound);
    }
    responses.push_back(std::string(kStatusLine) + "Content-Length: 2\r\n\rxok");
    return responses;
}

/// Responses whose body ends at one byte for one reader and at another byte for the next one.
inline std::vector<std::string> responsesWithBrokenFraming()
{
    const std::vector<std::string> fields = {
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 3",
        "Content-Length: 2, 2",
        "Content-Length: +2",
        "Content-Length: -2",
        "Content-Length: 2x",
        "Content-Length: 0x2",
        "Content-Length: 2 2",
        "Content-Length:",
        "Content-Length: 99999999999999999999",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding:",
    };
    std::vector<std::string> responses;
    responses.reserve(2 * fields.size() + 3);
    // The body fits both a length of 2 and a chunk, as far as one can.
    for (const std::string &field : fields) {
        responses.push_back(std::string(kStatusLine) + field + "\r\n\r\nok");
        responses.push_back(std::string(kStatusLine) + field + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    }
    const std::string sound = std::string(kStatusLine) + std::string(kSizedRest);
    responses.push_back(
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    responses.push_back("HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + sound);
    responses.push_back("HTTP/1.1 100 Go on\r\nTransfer-Encoding: chunked\r\n\r\n" + sound);
    return responses;
}

/// Chunked responses with a broken trailer.
inline std::vector<std::string> responsesWithBrokenTrailer()
{
    std::vector<std::string> responses;
    for (const std::string &line : brokenFieldLines())
        responses.push_back(std::string(kStatusLine)
                            + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line
                            + "\r\n\r\n");
    return responses;
}

/// Chunked responses that don't follow the grammar of chunks.
inline std::vector<std::string> responsesWithBrokenChunks()
{
    std::vector<std::string> responses;
    const std::vector<std::string> bodies = {
        "2\r\nokay\r\n0\r\n\r\n",
        "2\r\nokXY0\r\n\r\n",
        "2\r\nok\n0\r\n\r\n",
        "2\nok\r\n0\r\n\r\n",
        "2\rXok\r\n0\r\n\r\n",
        "2\r\nok\rX0\r\n\r\n",
        "2\r\nok\r\n0\rX\r\n",
        "2\r\nok\r\n0\r\n\rX",
        "g\r\nok\r\n0\r\n\r\n",
        "\r\nok\r\n0\r\n\r\n",
        ";x\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        "10000000000000002\r\nok\r\n0\r\n\r\n",
        "2;a\x01"
        "b\r\nok\r\n0\r\n\r\n",
        "2 2\r\nok\r\n0\r\n\r\n",
        textOf("2\0\r\nok\r\n0\r\n\r\n"),
        "2;" + std::string(1U << 20U, 'x') + "\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX: " + std::string(1U << 20U, 'x') + "\r\n\r\n",
    };
    responses.reserve(bodies.size());
    for (const std::string &body : bodies)
        responses.push_back(std::string(kStatusLine) + "Transfer-Encoding: chunked\r\n\r\n" + body);
    return responses;
}

} // namespace egret
