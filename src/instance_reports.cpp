#include "instance_reports.h"

#include <tuple>

namespace egret {

namespace {

/// A silent instance stays listed for this time, so that operators notice its absence.
constexpr Seconds kReportRetention = 600s;

} // namespace

void InstanceReports::update(const DocumentPull &report, TimePoint now)
{
    if (report.instance.empty())
        return;
    this->reports.with([&](auto &table) {
        table[report.instance] = Report{ .last = report, .at = now };
        std::erase_if(table,
                      [now](const auto &each) { return now > each.second.at + kReportRetention; });
    });
}

nlohmann::json InstanceReports::describe(const Fence &inForce, TimePoint now)
{
    nlohmann::json list = nlohmann::json::array();
    this->reports.with([&](const auto &table) {
        for (const auto &[name, report] : table) {
            const Fence &fence = report.last.fence;
            const bool isBehind = std::tie(fence.epoch, fence.sequence)
                                  < std::tie(inForce.epoch, inForce.sequence);
            list.push_back(
                    { { "instance", name },
                      { "zone", report.last.zone },
                      { "revision", report.last.revision },
                      { "behind", isBehind },
                      { "ageMs",
                        std::chrono::duration_cast<Milliseconds>(now - report.at).count() } });
        }
    });
    return list;
}

} // namespace egret
