#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace egret {

/// Monotonic time as the decision machines see it; shells read the clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using FloatMilliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::seconds;

using namespace std::chrono_literals;

/// Why the last call of a layer gave no value. Each layer has its own `Code`
/// and turns the codes of the layer below into its own.
template <class Code> struct Reason
{
    Code code{};
    std::string detail;
};

/// Fills `reason` and returns the empty value, for `return fail(...)`.
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

    /// Parses "address:port"; empty when `text` has no valid port. Thread safe.
    static std::optional<Endpoint> parse(std::string_view text);
};

/// Lower-case hexadecimal digits of `bytes`. Thread safe.
std::string toHex(std::string_view bytes);

/// Bytes of hexadecimal digits; empty when `digits` holds anything else. Thread safe.
std::optional<std::string> fromHex(std::string_view digits);

} // namespace egret
