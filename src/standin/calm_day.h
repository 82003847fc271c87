#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the calm-day scenario, which injects no faults, against running
/// registries, gateways and stagers: submits a document, sends requests of all
/// three kinds and starts a rollout of new weights halfway. Writes request and
/// load counts as one JSON object to the settings' result file. Returns the exit
/// status, which is 1 when the rollout does not finish in time.
int runCalmDay(const StandinSettings &settings);

} // namespace egret
