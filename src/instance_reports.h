#pragma once

#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace egret {

/// What instances say that they act on, as a control instance hears it.
/// Thread safe.
class InstanceReports
{
public:
    /// Takes a report. Reports of instances that fell silent are dropped after a while.
    void update(const DocumentPull &report, TimePoint now);

    /// One object an instance, for operators; "behind" where it acts on
    /// something older than `inForce`.
    nlohmann::json describe(const Fence &inForce, TimePoint now);

private:
    struct Report
    {
        DocumentPull last;
        TimePoint at;
    };
    Guarded<std::map<std::string, Report>, LockRank::environment> reports;
};

} // namespace egret
