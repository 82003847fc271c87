#include "trial_relays.h"

#include "log.h"

#include <asio/ip/address_v4.hpp>

#include <algorithm>

namespace egret {

namespace {

constexpr std::size_t kAddressBytes = 4;
constexpr std::size_t kEndpointBytes = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xFF;

bool appendEndpoint(std::string &bytes, const Endpoint &endpoint)
{
    std::error_code error;
    const auto address = asio::ip::make_address_v4(endpoint.address, error);
    if (error)
        return false;
    for (const unsigned char byte : address.to_bytes())
        bytes.push_back(static_cast<char>(byte));
    bytes.push_back(static_cast<char>(endpoint.port >> kBitsPerByte));
    bytes.push_back(static_cast<char>(endpoint.port & kByteMask));
    return true;
}

/// Precondition: `bytes` has at least kEndpointBytes bytes.
Endpoint readEndpoint(std::string_view bytes)
{
    const auto byteAt = [bytes](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
    const asio::ip::address_v4 address({ byteAt(0), byteAt(1), byteAt(2), byteAt(3) });
    const unsigned port =
            (unsigned{ byteAt(kAddressBytes) } << kBitsPerByte) | byteAt(kAddressBytes + 1);
    return { .address = address.to_string(), .port = static_cast<std::uint16_t>(port) };
}

} // namespace

std::string relayPreamble(const RelayedPair &pair)
{
    std::string bytes;
    if (!appendEndpoint(bytes, pair.source) || !appendEndpoint(bytes, pair.target))
        return {};
    return bytes;
}

std::optional<RelayedPair> parseRelayPreamble(std::string_view bytes)
{
    if (bytes.size() < kRelayPreambleBytes)
        return std::nullopt;
    return RelayedPair{ .source = readEndpoint(bytes),
                        .target = readEndpoint(bytes.substr(kEndpointBytes)) };
}

TrialRelays::TrialRelays(const std::vector<TrialRelay> &settings)
{
    for (const TrialRelay &relay : settings)
        this->routes.push_back(
                { .targetPrefix = relay.prefix, .relay = *Endpoint::parse(relay.via) });
    if (!this->routes.empty())
        logWarn("TRIAL SETTING: traffic to other availability zones goes through a relay that "
                "injects faults",
                { { "relays", this->routes.size() } });
}

std::optional<Endpoint> TrialRelays::relayFor(const Endpoint &target) const
{
    for (const Route &route : this->routes) {
        if (target.address.starts_with(route.targetPrefix))
            return route.relay;
    }
    return std::nullopt;
}

bool TrialRelays::isRelay(const Endpoint &from) const
{
    return std::ranges::any_of(this->routes,
                               [&from](const Route &route) { return route.relay == from; });
}

} // namespace egret
