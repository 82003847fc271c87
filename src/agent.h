#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the agent, the sidecar process of one upstream, until a stop signal. Returns the exit
/// status of the process.
int runAgent(const AgentSettings &settings);

} // namespace egret
