#include "types.h"

#include <charconv>

namespace egret {

std::string Endpoint::text() const
{
    return this->address + ":" + std::to_string(this->port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    Endpoint endpoint{ .address = std::string(text.substr(0, colon)) };
    const std::string_view digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, endpoint.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return endpoint;
}

std::string toHex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        out.push_back(digits[(static_cast<unsigned char>(byte) >> 4U) & 0xFU]);
        out.push_back(digits[static_cast<unsigned char>(byte) & 0xFU]);
    }
    return out;
}

std::optional<std::string> fromHex(std::string_view digits)
{
    if (digits.size() % 2 != 0)
        return std::nullopt;
    std::string out;
    for (std::size_t i = 0; i < digits.size(); i += 2) {
        unsigned value = 0;
        const char *begin = digits.data() + i;
        const auto parsed = std::from_chars(begin, begin + 2, value, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != begin + 2)
            return std::nullopt;
        out.push_back(static_cast<char>(value));
    }
    return out;
}

} // namespace egret
