#pragma once

#include "generated/settings.h"
#include "link.h"

#include <string>
#include <vector>

namespace egret {

/// Returns the link address, at which an instance accepts links from other instances: the IP
/// address of `address` ("IP:port", any port of the instance) with the first of `linkPorts`.
std::string linkEndpointOf(const NodeSettings &settings, const std::string &address);

/// Returns the link address of this instance.
std::string ownLinkEndpoint(const NodeSettings &settings);

/// Returns the link addresses of the seeds. `withoutSelf`: leaves out this instance.
std::vector<std::string> seedEndpoints(const NodeSettings &settings, bool withoutSelf);

/// Returns the link hub's options for a gateway, registry or stager.
LinkHubOptions nodeHubOptions(const NodeSettings &settings, Role role, std::uint64_t incarnation);

} // namespace egret
