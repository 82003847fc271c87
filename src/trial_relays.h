#pragma once

#include "generated/settings.h"
#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Bytes of the preamble that names the two ends of relayed traffic.
inline constexpr std::size_t kRelayPreambleBytes = 12;

/// The two ends of relayed traffic.
struct RelayedPair
{
    Endpoint source;
    Endpoint target;
};

/// Writes source and target as IPv4 addresses and ports; empty when either is
/// no IPv4 address. Thread safe.
std::string relayPreamble(const RelayedPair &pair);

/// Reads a preamble; empty when `bytes` is too short. Thread safe.
std::optional<RelayedPair> parseRelayPreamble(std::string_view bytes);

/// Trial only: which addresses are reached through a relay that injects
/// faults. Empty in production. Immutable, so thread safe.
class TrialRelays
{
public:
    TrialRelays() = default;

    /// Warns in the log when any relay is set.
    explicit TrialRelays(const std::vector<TrialRelay> &settings);

    /// The relay towards an address; empty when it is reached directly.
    std::optional<Endpoint> relayFor(const Endpoint &target) const;

    /// True when datagrams from this address carry a preamble.
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
