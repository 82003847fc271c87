#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the calm-day scenario against running registries, gateways and stagers:
/// submits a document, generates load of all three request kinds and starts a
/// rollout of new weights halfway. Writes the counts of clients and upstreams as
/// one JSON object to the settings' result file. Returns the exit status.
int runCalmDay(const StandinSettings &settings);

} // namespace egret
