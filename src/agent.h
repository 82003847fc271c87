#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the agent, the sidecar of one upstream, until a stop signal; returns the exit status.
int runAgent(const AgentSettings &settings);

} // namespace egret
