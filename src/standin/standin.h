#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the stand-in that the settings' role names until a stop signal. The role
/// `deployment` runs the calm-day scenario once instead. Returns the exit status.
int runStandin(const StandinSettings &settings);

} // namespace egret
