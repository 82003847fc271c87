#pragma once

#include "generated/settings.h"

namespace egret {

/// Plays a day against running registries, gateways and stagers: a document, a
/// load of all three kinds, and new weights halfway. Writes what clients and
/// upstreams saw as one JSON object to the settings' file. Returns the exit status.
int runCalmDay(const StandinSettings &settings);

} // namespace egret
