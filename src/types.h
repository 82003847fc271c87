#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace egret {

/// Monotonic time. Classes of the decision logic take the time as a parameter; only their
/// callers read the clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using FloatMilliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::seconds;

using namespace std::chrono_literals;

/// Returns a time given in seconds, rounded down to milliseconds. Thread safe.
inline Milliseconds millisecondsOf(double seconds)
{
    return std::chrono::floor<Milliseconds>(std::chrono::duration<double>(seconds));
}

/// Output parameter for the error of a call: the reason why the call returned no value. Each layer
/// has its own `Code` and translates the codes of the layer below into its own.
template <class Code> struct Reason
{
    Code code{};
    std::string detail;
};

/// Fills `reason` and returns std::nullopt, so that a caller can `return fail(...)`.
template <class Code> std::nullopt_t fail(Reason<Code> &reason, Code code, std::string detail)
{
    reason = Reason<Code>{ .code = code, .detail = std::move(detail) };
    return std::nullopt;
}

/// An IP address with a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port{ 0 };

    auto operator<=>(const Endpoint &) const = default;

    /// "address:port". Thread safe.
    std::string text() const;

    /// Parses "address:port"; empty when the address is missing or the port is
    /// invalid. The form of the address is not checked. Thread safe.
    static std::optional<Endpoint> parse(std::string_view text);
};

/// Encodes `bytes` as lower-case hexadecimal digits. Thread safe.
std::string toHex(std::string_view bytes);

/// Decodes pairs of hexadecimal digits; empty when the number of characters is odd
/// or a character is not a hexadecimal digit. Thread safe.
std::optional<std::string> fromHex(std::string_view digits);

} // namespace egret
