#pragma once

#include "generated/settings.h"
#include "link.h"

#include <string>
#include <vector>

namespace egret {

/// Returns an instance's link address, at which the instance accepts links (connections from other
/// instances). The link address has the IP address of `address` ("IP:port", any port of the
/// instance) and the first port of the setting `linkPorts`.
std::string linkEndpointOf(const NodeSettings &settings, const std::string &address);

/// Returns the link address of this instance.
std::string ownLinkEndpoint(const NodeSettings &settings);

/// Returns the link addresses of the configured seeds. With `withoutSelf`, this instance is left
/// out.
std::vector<std::string> seedEndpoints(const NodeSettings &settings, bool withoutSelf);

/// Returns the link hub's options for a gateway, registry or stager.
LinkHubOptions nodeHubOptions(const NodeSettings &settings, Role role, std::uint64_t incarnation);

} // namespace egret
