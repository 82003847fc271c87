#pragma once

#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace egret {

/// Document revisions that instances have reported to this control instance as in use.
/// Thread safe.
class InstanceReports
{
public:
    /// Stores an instance's report in place of its previous report. Drops the reports of
    /// instances that have sent none within the retention time.
    void update(const DocumentPull &report, TimePoint now);

    /// Returns an array with one JSON object per instance, for operators. "behind" is true when
    /// the fence of the instance's revision is lower than `currentFence`.
    nlohmann::json describe(const Fence &currentFence, TimePoint now);

private:
    struct Report
    {
        DocumentPull pull;
        TimePoint receivedAt;
    };
    Guarded<std::map<std::string, Report>, LockRank::environment> reports;
};

} // namespace egret
