#pragma once

#include "service_levels.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace egret {

/// Burn rate of one objective in one window: the share of bad events divided by the
/// share that the objective allows. A rate of 1 spends the error budget exactly.
struct BurnWindow
{
    std::uint64_t good{ 0 };
    std::uint64_t bad{ 0 };
    double burnRate{ 0 };
};

/// One row of the report.
struct BurnRow
{
    SeriesKey key;
    Milliseconds threshold{ 0 };
    double target{ 0 };
    BurnWindow fiveMinutes;
    BurnWindow hour;
    BurnWindow sixHours;
    BurnWindow threeDays;
    double budgetLeft{ 1 };          ///< unspent share of the three-day error budget
    std::string alert;               ///< "page", "ticket" or empty
    std::vector<MinuteCounts> chart; ///< minutes of the last six hours
};

/// Report over all instances that answered.
struct BurnReport
{
    MinuteStamp now;
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
    /// Adds the JSON that serviceLevelsJson returned in one instance. Returns false when
    /// the JSON is malformed.
    bool add(const nlohmann::json &levels);

    /// Computes the report for the windows that end at `now`.
    BurnReport report(MinuteStamp now) const;

private:
    std::map<SeriesKey, Series> series;
    std::map<std::pair<MinuteStamp, std::string>, bool> annotations;
};

/// Formats the report as plain text. Thread safe.
std::string burnText(const BurnReport &report);

/// Formats the report as one HTML page with charts and no external resources.
/// Thread safe.
std::string burnHtml(const BurnReport &report);

} // namespace egret
