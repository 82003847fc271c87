#pragma once

#include "generated/settings.h"

namespace egret {

/// Sends requests in an open loop, checks every answer and prints the results as one
/// JSON object. Returns the exit status.
int runLoadGenerator(const LoadSettings &settings);

} // namespace egret
