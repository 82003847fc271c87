#include "node_options.h"

namespace egret {

namespace {

/// A link without messages is closed after this time. Stagers use links to each other while they
/// collect weights; afterwards these links would stay idle for a long time.
constexpr Milliseconds kLinkIdleTimeout = 5s;

} // namespace

std::string linkEndpointOf(const NodeSettings &settings, const std::string &address)
{
    const std::string ip = address.substr(0, address.rfind(':'));
    const std::uint32_t port = settings.linkPorts.empty() ? 0 : settings.linkPorts.front();
    return ip + ":" + std::to_string(port);
}

std::string ownLinkEndpoint(const NodeSettings &settings)
{
    return linkEndpointOf(settings, settings.address + ":0");
}

std::vector<std::string> seedEndpoints(const NodeSettings &settings, bool withoutSelf)
{
    std::vector<std::string> endpoints;
    for (const std::string &seed : settings.seeds) {
        const std::string endpoint = linkEndpointOf(settings, seed);
        if (!withoutSelf || endpoint != ownLinkEndpoint(settings))
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

LinkHubOptions nodeHubOptions(const NodeSettings &settings, Role role, std::uint64_t incarnation)
{
    return { .listen = *Endpoint::parse(ownLinkEndpoint(settings)),
             .cluster = "egret",
             .key = *fromHex(settings.clusterKey),
             .incarnation = incarnation,
             .self = { .role = role,
                       .instance = settings.instance,
                       .zone = settings.zone,
                       .region = settings.region,
                       .endpoint = ownLinkEndpoint(settings) },
             .idleTimeout = kLinkIdleTimeout };
}

} // namespace egret
