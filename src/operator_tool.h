#pragma once

namespace egret {

/// Runs egretctl. Returns the exit status: 0 done, 1 refused or failed, 2 invalid usage.
int runOperatorTool(int argc, const char **argv);

} // namespace egret
