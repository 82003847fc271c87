#pragma once

#include "service_levels.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace egret {

/// Counts and burn rate of one objective in one window. The burn rate is the share of bad
/// events divided by the share that the objective allows; 1 spends exactly the error budget.
struct BurnWindow
{
    std::uint64_t good{ 0 };
    std::uint64_t bad{ 0 };
    double burnRate{ 0 };
};

/// Row of the report: one series and its burn rates.
struct BurnRow
{
    SeriesKey key;
    Milliseconds threshold{ 0 };
    double target{ 0 };
    BurnWindow fiveMinutes;
    BurnWindow hour;
    BurnWindow sixHours;
    BurnWindow threeDays;
    /// Unspent share of the three-day error budget, negative when overspent.
    double budgetLeft{ 1 };
    std::string alert;               ///< "page", "ticket" or empty
    std::vector<MinuteCounts> chart; ///< minutes of the last six hours
};

/// Report over all instances that answered.
struct BurnReport
{
    MinuteStamp now;           ///< end of the windows
    std::vector<BurnRow> rows; ///< highest burn rate first
    std::vector<ChangeAnnotation> annotations;
    std::vector<std::string> missing; ///< instances that did not answer
};

/// Counts of one instance as JSON, the body of /admin/v1/service-levels. Thread safe.
nlohmann::json serviceLevelsJson(const ServiceLevels &levels);

/// Merges the counts of all instances into one report. Thread safe.
class BurnReportBuilder
{
public:
    /// Adds the JSON that serviceLevelsJson returned on one instance. Returns false when
    /// the JSON is malformed.
    bool add(const nlohmann::json &levels);

    /// Computes the report for the windows that end at `now`.
    BurnReport report(MinuteStamp now) const;

private:
    std::map<SeriesKey, Series> series;
    /// Annotations of all instances; the mapped value is always true. Instances put a revision
    /// in force within seconds of each other, so annotations with the same text and minute
    /// are merged.
    std::map<std::pair<MinuteStamp, std::string>, bool> annotations;
};

/// Formats the report as plain text. Thread safe.
std::string burnText(const BurnReport &report);

/// Formats the report as one HTML page with charts and no external resources.
/// Thread safe.
std::string burnHtml(const BurnReport &report);

} // namespace egret
