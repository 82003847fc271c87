#pragma once

#include "generated/settings.h"
#include "link.h"

#include <string>
#include <vector>

namespace egret {

/// Link address of an instance whose operators' or engine's address is known:
/// the same IP address with the first port for links.
std::string linkEndpointOf(const NodeSettings &settings, const std::string &address);

/// Own link address.
std::string ownLinkEndpoint(const NodeSettings &settings);

/// Link addresses of the seeds, without the own one when `withoutSelf`.
std::vector<std::string> seedEndpoints(const NodeSettings &settings, bool withoutSelf);

/// Options of the link hub of one of the deployment's programs.
LinkHubOptions nodeHubOptions(const NodeSettings &settings, Role role, std::uint64_t incarnation);

} // namespace egret
