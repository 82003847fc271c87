#include "service_levels.h"

#include <algorithm>

namespace egret {

namespace {

/// Retention of minute buckets: the six-hour window plus ten minutes.
constexpr std::chrono::minutes kMinuteRetention{ 370 };
/// Retention of hour buckets: the three-day window plus one hour.
constexpr std::chrono::minutes kHourRetention{ 73 * 60 };
constexpr std::size_t kMaxAnnotations = 500;
/// Requests that would need further series are not counted there, so that memory
/// stays bounded.
constexpr std::size_t kMaxSeries = 4096;

struct Tally
{
    std::uint64_t good{ 0 };
    std::uint64_t bad{ 0 };

    void add(bool isGood) { ++(isGood ? this->good : this->bad); }
};

Tally tallyOf(const RequestMeasurement &record, const ObjectiveDocument &objective)
{
    Tally tally;
    switch (objective.kind) {
    case ObjectiveKind::success:
        tally.add(record.success);
        break;
    case ObjectiveKind::firstToken:
        if (record.firstToken)
            tally.add(*record.firstToken <= objective.threshold);
        break;
    case ObjectiveKind::tokenGap:
        for (const Milliseconds gap : record.tokenGaps)
            tally.add(gap <= objective.threshold);
        break;
    case ObjectiveKind::freshness:
        if (record.age)
            tally.add(*record.age <= objective.threshold);
        break;
    }
    return tally;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

/// Adds to the bucket of the same time, or inserts a new bucket in order.
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
    // Step 1. Add to the bucket of the minute.
    addToBucket(series.minutes, counts);
    const MinuteStamp newest = series.minutes.back().minute;
    // Step 2. Merge minutes past their retention into hours.
    while (newest - series.minutes.front().minute > kMinuteRetention) {
        MinuteCounts folded = series.minutes.front();
        folded.minute = std::chrono::floor<std::chrono::hours>(folded.minute);
        addToBucket(series.hours, folded);
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
            this->annotate("zones out: " + joined(next.zonesOut), now);
        if (next.upstreamsOut != this->document.upstreamsOut)
            this->annotate("upstreams out: " + joined(next.upstreamsOut), now);
    }
    this->document = next;
}

void ServiceLevels::record(const RequestMeasurement &record, MinuteStamp now)
{
    for (const ObjectiveDocument &objective : this->document.objectives) {
        const bool applies =
                objective.route == record.route
                && (objective.customer.empty() || objective.customer == record.customer);
        const Tally tally = applies ? tallyOf(record, objective) : Tally{};
        if (tally.good + tally.bad > 0)
            this->count(record, objective, tally.good, tally.bad, now);
    }
}

void ServiceLevels::count(const RequestMeasurement &record, const ObjectiveDocument &objective,
                          std::uint64_t good, std::uint64_t bad, MinuteStamp now)
{
    const std::pair<const char *, const std::string *> dimensions[] = {
        { "customer", &record.customer }, { "zone", &record.zone }, { "upstream", &record.upstream }
    };
    for (const auto &[dimension, name] : dimensions) {
        if (name->empty())
            continue;
        const SeriesKey key{
            .dimension = dimension, .name = *name, .route = record.route, .kind = objective.kind
        };
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
