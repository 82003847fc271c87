#include "service_levels.h"

#include <algorithm>

namespace egret {

namespace {

/// Retention of minute buckets: the six-hour window of the burn report plus ten minutes.
constexpr std::chrono::minutes kMinuteRetention{ 370 };
/// Retention of hour buckets: the three-day window of the burn report plus one hour.
constexpr std::chrono::minutes kHourRetention{ 73 * 60 };
constexpr std::size_t kMaxAnnotations = 500;
/// Limit on the number of series, to bound memory. At the limit, events that belong to no
/// existing series are not counted.
constexpr std::size_t kMaxSeries = 4096;

/// Good and bad events of one request for one objective.
struct Tally
{
    std::uint64_t good{ 0 };
    std::uint64_t bad{ 0 };

    void add(bool isGood) { ++(isGood ? this->good : this->bad); }
};

Tally tallyOf(const RequestMeasurement &measurement, const ObjectiveDocument &objective)
{
    Tally tally;
    switch (objective.kind) {
    case ObjectiveKind::success:
        tally.add(measurement.success);
        break;
    case ObjectiveKind::firstToken:
        if (measurement.firstToken)
            tally.add(*measurement.firstToken <= objective.threshold);
        break;
    case ObjectiveKind::tokenGap:
        for (const Milliseconds gap : measurement.tokenGaps)
            tally.add(gap <= objective.threshold);
        break;
    case ObjectiveKind::freshness:
        if (measurement.age)
            tally.add(*measurement.age <= objective.threshold);
        break;
    }
    return tally;
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

/// Adds `counts` to the bucket with the same start time, or inserts a bucket in time order.
void addToBucket(std::deque<MinuteCounts> &buckets, const MinuteCounts &counts)
{
    const auto found = std::ranges::lower_bound(buckets, counts.minute, {}, &MinuteCounts::minute);
    if (found != buckets.end() && found->minute == counts.minute) {
        found->good += counts.good;
        found->bad += counts.bad;
    } else {
        buckets.insert(found, counts);
    }
}

} // namespace

void addCounts(Series &series, const MinuteCounts &counts)
{
    // Step 1. Add the counts to the bucket of their minute.
    addToBucket(series.minutes, counts);
    const MinuteStamp newest = series.minutes.back().minute;
    // Step 2. Merge minutes past their retention into hours.
    while (newest - series.minutes.front().minute > kMinuteRetention) {
        MinuteCounts hourCounts = series.minutes.front();
        hourCounts.minute = std::chrono::floor<std::chrono::hours>(hourCounts.minute);
        addToBucket(series.hours, hourCounts);
        series.minutes.pop_front();
    }
    // Step 3. Drop hours past their retention.
    while (!series.hours.empty() && newest - series.hours.front().minute > kHourRetention)
        series.hours.pop_front();
}

void ServiceLevels::setDocument(const EnvironmentDocument &next, MinuteStamp now)
{
    if (!this->document.environment.empty()) {
        if (next.weights.version != this->document.weights.version)
            this->annotate("weights " + next.weights.version.substr(0, 12), now);
        if (next.zonesOut != this->document.zonesOut)
            this->annotate("zones out: " + joinNames(next.zonesOut), now);
        if (next.upstreamsOut != this->document.upstreamsOut)
            this->annotate("upstreams out: " + joinNames(next.upstreamsOut), now);
    }
    this->document = next;
}

void ServiceLevels::record(const RequestMeasurement &measurement, MinuteStamp now)
{
    for (const ObjectiveDocument &objective : this->document.objectives) {
        const bool applies =
                objective.route == measurement.route
                && (objective.customer.empty() || objective.customer == measurement.customer);
        const Tally tally = applies ? tallyOf(measurement, objective) : Tally{};
        if (tally.good + tally.bad > 0)
            this->count(measurement, objective, tally.good, tally.bad, now);
    }
}

void ServiceLevels::count(const RequestMeasurement &measurement, const ObjectiveDocument &objective,
                          std::uint64_t good, std::uint64_t bad, MinuteStamp now)
{
    const std::pair<const char *, const std::string *> dimensions[] = {
        { "customer", &measurement.customer },
        { "zone", &measurement.zone },
        { "upstream", &measurement.upstream }
    };
    for (const auto &[dimension, name] : dimensions) {
        if (name->empty())
            continue;
        const SeriesKey key{ .dimension = dimension,
                             .name = *name,
                             .route = measurement.route,
                             .kind = objective.kind };
        if (this->seriesByKey.size() >= kMaxSeries && !this->seriesByKey.contains(key))
            continue;
        Series &series = this->seriesByKey[key];
        series.threshold = objective.threshold;
        series.target = objective.target;
        addCounts(series, { .minute = now, .good = good, .bad = bad });
    }
}

void ServiceLevels::annotate(std::string text, MinuteStamp now)
{
    this->annotationList.push_back({ .minute = now, .text = std::move(text) });
    if (this->annotationList.size() > kMaxAnnotations)
        this->annotationList.pop_front();
}

} // namespace egret
