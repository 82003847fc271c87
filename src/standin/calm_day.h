#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the calm-day scenario, which injects no faults, against running
/// registries, gateways and stagers: submits a configuration document, sends
/// streams, actions and reads, and starts a rollout of new weights halfway. Writes
/// the results as one JSON object to the settings' result file. Returns the exit
/// status: 0 when the rollout finishes in time, 1 otherwise.
int runCalmDay(const StandinSettings &settings);

} // namespace egret
