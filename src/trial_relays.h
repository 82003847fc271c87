#pragma once

#include "generated/settings.h"
#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egret {

/// Size of the relay preamble. Each connection or datagram that is sent through a relay starts with
/// a preamble, which names the source and the target of the traffic. See TrialRelays.
inline constexpr std::size_t kRelayPreambleBytes = 12;

/// Source and target of relayed traffic; see TrialRelays.
struct RelayedPair
{
    Endpoint source;
    Endpoint target;
};

/// Encodes source and target as IPv4 addresses and ports; empty when the address of
/// one of them is not IPv4. Thread safe.
std::string relayPreamble(const RelayedPair &pair);

/// Decodes a preamble; empty when `bytes` is too short. Thread safe.
std::optional<RelayedPair> parseRelayPreamble(std::string_view bytes);

/// Trial relays are fault-injection proxies for tests. This table maps address prefixes to them.
/// Traffic to an address with a given prefix is sent to the relay for this prefix, which forwards
/// the traffic. Empty in production. Immutable, therefore thread safe.
class TrialRelays
{
public:
    TrialRelays() = default;

    /// Logs a warning when `settings` contains a relay.
    explicit TrialRelays(const std::vector<TrialRelay> &settings);

    /// Relay for traffic to `target`; empty when the traffic is sent directly.
    std::optional<Endpoint> relayFor(const Endpoint &target) const;

    /// True when `from` is a relay, whose datagrams start with a preamble.
    bool isRelay(const Endpoint &from) const;

private:
    struct Route
    {
        std::string targetPrefix; ///< start of the target address
        Endpoint relay;
    };
    std::vector<Route> routes;
};

} // namespace egret
