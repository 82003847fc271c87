#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs a stand-in, which simulates an external system for trials, until a stop signal;
/// `settings.role` selects the stand-in. The role `deployment` instead runs the
/// calm-day scenario once. Returns the exit status.
int runStandin(const StandinSettings &settings);

} // namespace egret
