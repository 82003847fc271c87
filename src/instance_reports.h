#pragma once

#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace egret {

/// Revisions that instances reported to this control instance as in use. Thread safe.
class InstanceReports
{
public:
    /// Stores the latest report of an instance; drops outdated reports of silent instances.
    void update(const DocumentPull &report, TimePoint now);

    /// Returns one object per instance, for operators; "behind" is true for a fence
    /// lower than `inForce`.
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
