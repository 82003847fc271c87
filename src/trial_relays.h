#pragma once

#include "generated/settings.h"
#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Size of the preamble with the source and target of relayed traffic.
inline constexpr std::size_t kRelayPreambleBytes = 12;

/// Source and target of relayed traffic.
struct RelayedPair
{
    Endpoint source;
    Endpoint target;
};

/// Encodes source and target as IPv4 addresses and ports; empty when either is
/// not an IPv4 address. Thread safe.
std::string relayPreamble(const RelayedPair &pair);

/// Decodes a preamble; empty when `bytes` is too short. Thread safe.
std::optional<RelayedPair> parseRelayPreamble(std::string_view bytes);

/// Trial only: maps addresses to relays that inject faults. Empty in
/// production. Immutable, so thread safe.
class TrialRelays
{
public:
    TrialRelays() = default;

    /// Logs a warning when any relay is set.
    explicit TrialRelays(const std::vector<TrialRelay> &settings);

    /// Relay for an address; empty when the address is reached directly.
    std::optional<Endpoint> relayFor(const Endpoint &target) const;

    /// True when `from` is a relay, whose datagrams start with a preamble.
    bool isRelay(const Endpoint &from) const;

private:
    struct Route
    {
        std::string prefix;
        Endpoint via;
    };
    std::vector<Route> routes;
};

} // namespace egret
