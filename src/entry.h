#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs an entry instance, which forwards client requests to agents, until a stop signal.
/// Returns the exit status of the process.
int runEntry(const EntrySettings &settings);

/// Runs a control instance, which works like an entry instance but serves no client requests,
/// until a stop signal. Returns the exit status of the process.
int runControl(const EntrySettings &settings);

} // namespace egret
