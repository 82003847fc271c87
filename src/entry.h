#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs an entry instance until a stop signal; returns the exit status.
int runEntry(const EntrySettings &settings);

/// Runs a control instance, which serves no callers, until a stop signal; returns the exit
/// status.
int runControl(const EntrySettings &settings);

} // namespace egret
