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
    std::string route;                      ///< model name or service name
    std::string zone;                       ///< availability zone of the upstream, empty for none
    std::string upstream;                   ///< agent of the upstream, empty for none
    bool success{ false };                  ///< the answer was complete and reported no error
    std::optional<Milliseconds> firstToken; ///< time to the first part of a streamed answer
    std::vector<Milliseconds> tokenGaps;    ///< times between the parts of a streamed answer
    std::optional<Milliseconds> age;        ///< age of the data in a status read
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
    std::string name;      ///< name of the customer, zone or upstream
    std::string route;     ///< model name or service name
    ObjectiveKind kind{ ObjectiveKind::success };

    auto operator<=>(const SeriesKey &) const = default;
};

/// Counts of one objective for one customer, zone or upstream. The buckets are in time
/// order, oldest first: one per minute for the last six hours and one per hour for
/// the rest of the last three days.
struct Series
{
    Milliseconds threshold{ 0 }; ///< largest time of a good event; unused for the kind `success`
    double target{ 0 };          ///< smallest share of good events that meets the objective
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
    /// Sets the objectives. Adds an annotation when the weights version, the zones out of
    /// service or the upstreams out of service differ from the previous document.
    void setDocument(const EnvironmentDocument &document, MinuteStamp now);

    /// Counts the events of one request for each objective of its route and customer.
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

/// Adds counts to a series, merges minutes past their retention into hours and drops hours
/// past their retention. Thread safe.
void addCounts(Series &series, const MinuteCounts &counts);

} // namespace egret
