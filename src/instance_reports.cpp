#include "instance_reports.h"

#include <tuple>

namespace egret {

namespace {

/// The last report of an instance is kept for this time. Operators can therefore see that an
/// instance has stopped reporting.
constexpr Seconds kReportRetention = 600s;

} // namespace

void InstanceReports::update(const DocumentPull &report, TimePoint now)
{
    if (report.instance.empty())
        return;
    this->reports.with([&](auto &table) {
        table[report.instance] = Report{ .pull = report, .receivedAt = now };
        std::erase_if(table, [now](const auto &each) {
            return now > each.second.receivedAt + kReportRetention;
        });
    });
}

nlohmann::json InstanceReports::describe(const Fence &currentFence, TimePoint now)
{
    nlohmann::json list = nlohmann::json::array();
    this->reports.with([&](const auto &table) {
        for (const auto &[name, report] : table) {
            const Fence &fence = report.pull.fence;
            const bool isBehind = std::tie(fence.epoch, fence.sequence)
                                  < std::tie(currentFence.epoch, currentFence.sequence);
            list.push_back(
                    { { "instance", name },
                      { "zone", report.pull.zone },
                      { "revision", report.pull.revision },
                      { "behind", isBehind },
                      { "ageMs", std::chrono::duration_cast<Milliseconds>(now - report.receivedAt)
                                         .count() } });
        }
    });
    return list;
}

} // namespace egret
