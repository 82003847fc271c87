#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs the stand-in of the settings' role until a stop signal, or one calm day
/// for StandinRole::deployment. Returns the exit status.
int runStandin(const StandinSettings &settings);

} // namespace egret
