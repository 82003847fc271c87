#pragma once

#include "generated/settings.h"

namespace egret {

/// Offers open-loop load, checks every answer and prints one JSON object;
/// returns the exit status.
int runLoadGenerator(const LoadSettings &settings);

} // namespace egret
