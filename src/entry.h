#pragma once

#include "generated/settings.h"

namespace egret {

/// Runs an entry instance, which forwards client requests to agents, until a stop signal.
/// Returns the exit status of the process.
int runEntry(const EntrySettings &settings);

/// Runs a control instance until a stop signal. A control instance runs the same components as an
/// entry instance, such as membership and, with a data folder, a replica of the quorum log, but
/// opens no HTTP port and so serves no client requests. Returns the exit status of the process.
int runControl(const EntrySettings &settings);

} // namespace egret
