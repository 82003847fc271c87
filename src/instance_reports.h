#pragma once

#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace egret {

/// For each instance, the document revision that the instance uses, as last reported to this
/// control instance. Thread safe.
class InstanceReports
{
public:
    /// Stores an instance's report in place of its previous report. Drops every report that is
    /// older than the retention time.
    void update(const DocumentPull &report, TimePoint now);

    /// Returns a JSON array with one object per instance, for operators. The field "behind" is
    /// true when the fence of the instance's revision is lower than `currentFence`.
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
