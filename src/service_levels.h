#pragma once

#include "generated/document.h"
#include "guarded.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace egret {

/// Wall-clock time in whole minutes. The counts of different instances are merged by minute.
using MinuteStamp = std::chrono::sys_time<std::chrono::minutes>;

/// Measurements of one request for the service-level counts.
struct RequestMeasurement
{
    std::string customer;
    std::string route;     ///< model name or service name
    std::string zone;      ///< availability zone of the upstream, empty for none
    std::string upstream;  ///< agent of the upstream, empty for none
    bool success{ false }; ///< the client received a complete answer
    std::optional<Milliseconds> firstToken;
    std::vector<Milliseconds> tokenGaps;
    std::optional<Milliseconds> age; ///< age of the data in a status read
};

/// Numbers of good and bad events in one minute, or in the hour that starts at `minute`.
struct MinuteCounts
{
    MinuteStamp minute;
    std::uint64_t good{ 0 };
    std::uint64_t bad{ 0 };
};

/// Identity of a series: one objective for one customer, zone or upstream.
struct SeriesKey
{
    std::string dimension; ///< "customer", "zone" or "upstream"
    std::string name;
    std::string route;
    ObjectiveKind kind{ ObjectiveKind::success };

    auto operator<=>(const SeriesKey &) const = default;
};

/// Counts of one objective for one customer, zone or upstream. The buckets are in time
/// order, oldest first: one per minute for the last six hours and one per hour for
/// earlier times.
struct Series
{
    Milliseconds threshold{ 0 };
    double target{ 0 };
    std::deque<MinuteCounts> minutes;
    std::deque<MinuteCounts> hours;
};

/// A change by an operator that may explain a change in the service level.
struct ChangeAnnotation
{
    MinuteStamp minute;
    std::string text;
};

/// Counts good and bad events for the objectives of the document in force, in
/// bounded memory. Deterministic; not thread safe.
class ServiceLevels
{
public:
    /// Sets the objectives and adds an annotation for each change since the last
    /// document.
    void setDocument(const EnvironmentDocument &document, MinuteStamp now);

    /// Counts one request against each objective that applies.
    void record(const RequestMeasurement &measurement, MinuteStamp now);

    const std::map<SeriesKey, Series> &series() const { return this->seriesByKey; }
    const std::deque<ChangeAnnotation> &annotations() const { return this->annotationList; }

private:
    void count(const RequestMeasurement &measurement, const ObjectiveDocument &objective,
               std::uint64_t good, std::uint64_t bad, MinuteStamp now);
    void annotate(std::string text, MinuteStamp now);

    EnvironmentDocument document;
    std::map<SeriesKey, Series> seriesByKey;
    std::deque<ChangeAnnotation> annotationList;
};

using SharedServiceLevels = Guarded<ServiceLevels, LockRank::metrics>;

/// Adds counts to a series and moves old minutes into hours. Thread safe.
void addCounts(Series &series, const MinuteCounts &counts);

} // namespace egret
