#include "burn_report.h"

#include "json_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

constexpr std::chrono::minutes kFiveMinutes{ 5 };
constexpr std::chrono::minutes kHour{ 60 };
constexpr std::chrono::minutes kSixHours{ 6 * 60 };
constexpr std::chrono::minutes kThreeDays{ 3 * 24 * 60 };

/// Burn rate that pages a person when the 5-minute and the 1-hour window reach it.
constexpr double kPageBurnRate = 14.4;
/// Burn rate that opens a ticket when the 1-hour and the 6-hour window reach it.
constexpr double kTicketBurnRate = 6.0;
/// Burn rate that opens a ticket when the 6-hour and the 3-day window reach it. Above this
/// rate, the error budget is spent before it is renewed.
constexpr double kSlowBurnRate = 1.0;

nlohmann::json countsJson(const std::deque<MinuteCounts> &buckets)
{
    nlohmann::json out = nlohmann::json::array();
    for (const MinuteCounts &counts : buckets)
        out.push_back({ counts.minute.time_since_epoch().count(), counts.good, counts.bad });
    return out;
}

MinuteStamp parseMinute(const nlohmann::json &minutes)
{
    return MinuteStamp(std::chrono::minutes(minutes.get<std::int64_t>()));
}

BurnWindow windowOf(const Series &series, MinuteStamp now, std::chrono::minutes span)
{
    BurnWindow window;
    const auto add = [&](const MinuteCounts &counts) {
        if (now - counts.minute < span && counts.minute <= now) {
            window.good += counts.good;
            window.bad += counts.bad;
        }
    };
    std::ranges::for_each(series.minutes, add);
    std::ranges::for_each(series.hours, add);
    const auto total = static_cast<double>(window.good + window.bad);
    const double allowed = 1 - series.target;
    if (total > 0 && allowed > 0)
        window.burnRate = static_cast<double>(window.bad) / total / allowed;
    else if (window.bad > 0) // A target of 1 allows no bad events.
        window.burnRate = HUGE_VAL;
    return window;
}

std::string alertOf(const BurnRow &row)
{
    if (row.fiveMinutes.burnRate >= kPageBurnRate && row.hour.burnRate >= kPageBurnRate)
        return "page";
    if (row.hour.burnRate >= kTicketBurnRate && row.sixHours.burnRate >= kTicketBurnRate)
        return "ticket";
    if (row.sixHours.burnRate >= kSlowBurnRate && row.threeDays.burnRate >= kSlowBurnRate)
        return "ticket";
    return {};
}

BurnRow rowOf(const SeriesKey &key, const Series &series, MinuteStamp now)
{
    BurnRow row{ .key = key, .threshold = series.threshold, .target = series.target };
    row.fiveMinutes = windowOf(series, now, kFiveMinutes);
    row.hour = windowOf(series, now, kHour);
    row.sixHours = windowOf(series, now, kSixHours);
    row.threeDays = windowOf(series, now, kThreeDays);
    row.budgetLeft = 1 - row.threeDays.burnRate;
    row.alert = alertOf(row);
    for (const MinuteCounts &counts : series.minutes) {
        if (now - counts.minute < kSixHours)
            row.chart.push_back(counts);
    }
    return row;
}

std::string clockText(MinuteStamp minute)
{
    const auto day = std::chrono::floor<std::chrono::days>(minute);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(minute - day);
    return fmt::format("{:04}-{:02}-{:02} {:02}:{:02}", static_cast<int>(date.year()),
                       static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                       time.hours().count(), time.minutes().count());
}

std::string objectiveText(const BurnRow &row)
{
    const std::string kind =
            EnumNames<ObjectiveKind>::kValues[static_cast<std::size_t>(row.key.kind)];
    const std::string bound =
            row.threshold > 0ms ? fmt::format(" <= {} ms", row.threshold.count()) : "";
    return fmt::format("{}{} for {:.2f} %", kind, bound, row.target * 100);
}

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

constexpr double kChartWidth = 720;
constexpr double kChartHeight = 70;

double chartX(MinuteStamp minute, MinuteStamp now)
{
    const auto age = static_cast<double>((now - minute).count());
    return kChartWidth * (1 - age / static_cast<double>(kSixHours.count()));
}

/// Bar chart of the share of bad events per minute, with annotations as vertical lines.
std::string chartSvg(const BurnRow &row, const std::vector<ChangeAnnotation> &annotations,
                     MinuteStamp now)
{
    std::string svg =
            fmt::format("<svg viewBox=\"0 0 {0} {1}\" width=\"{0}\" height=\"{1}\" "
                        "role=\"img\"><rect width=\"{0}\" height=\"{1}\" class=\"back\"/>",
                        kChartWidth, kChartHeight);
    const double barWidth = kChartWidth / static_cast<double>(kSixHours.count());
    for (const MinuteCounts &counts : row.chart) {
        const auto total = static_cast<double>(counts.good + counts.bad);
        const double share = total > 0 ? static_cast<double>(counts.bad) / total : 0;
        const double x = chartX(counts.minute, now);
        const double height = std::max(share * kChartHeight, total > 0 ? 1.0 : 0.0);
        svg += fmt::format(
                "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" class=\"{}\"/>",
                x, kChartHeight - height, std::max(barWidth, 1.5), height,
                counts.bad > 0 ? "bad" : "good");
    }
    for (const ChangeAnnotation &annotation : annotations) {
        if (now - annotation.minute >= kSixHours)
            continue;
        const double x = chartX(annotation.minute, now);
        svg += fmt::format("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"0\" y2=\"{1}\" "
                           "class=\"mark\"><title>{2} {3}</title></line>",
                           x, kChartHeight, clockText(annotation.minute),
                           escapeHtml(annotation.text));
    }
    return svg + "</svg>";
}

constexpr const char *kStyle = R"(body{font:14px sans-serif;margin:2em;max-width:1100px}
table{border-collapse:collapse;width:100%}td,th{padding:4px 8px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
.page{background:#f8d0d0}.ticket{background:#fdf0c8}.back{fill:#f4f4f4}.bad{fill:#c0392b}.good{fill:#7fae7f}
.mark{stroke:#1f4e9c;stroke-dasharray:3 2}h3{margin:1.2em 0 .2em}small{color:#555})";

std::string burnCell(const BurnWindow &window)
{
    return window.good + window.bad == 0 ? "-" : fmt::format("{:.2f}", window.burnRate);
}

} // namespace

nlohmann::json serviceLevelsJson(const ServiceLevels &levels)
{
    nlohmann::json out = { { "series", nlohmann::json::array() },
                           { "marks", nlohmann::json::array() } };
    for (const auto &[key, series] : levels.series()) {
        out["series"].push_back({ { "dimension", key.dimension },
                                  { "name", key.name },
                                  { "route", key.route },
                                  { "kind", toJson(key.kind) },
                                  { "thresholdMs", series.threshold.count() },
                                  { "target", series.target },
                                  { "minutes", countsJson(series.minutes) },
                                  { "hours", countsJson(series.hours) } });
    }
    for (const ChangeAnnotation &annotation : levels.annotations())
        out["marks"].push_back({ annotation.minute.time_since_epoch().count(), annotation.text });
    return out;
}

bool BurnReportBuilder::add(const nlohmann::json &levels)
{
    try {
        for (const auto &item : levels.at("series")) {
            const auto &names = EnumNames<ObjectiveKind>::kValues;
            const auto kind = std::ranges::find(names, item.at("kind").get<std::string>());
            if (kind == std::end(names))
                return false;
            const SeriesKey key{ .dimension = item.at("dimension"),
                                 .name = item.at("name"),
                                 .route = item.at("route"),
                                 .kind = static_cast<ObjectiveKind>(kind - std::begin(names)) };
            Series &merged = this->series[key];
            merged.threshold = Milliseconds(item.at("thresholdMs").get<std::int64_t>());
            merged.target = item.at("target");
            for (const char *part : { "hours", "minutes" }) {
                for (const auto &counts : item.at(part))
                    addCounts(merged, { .minute = parseMinute(counts.at(0)),
                                        .good = counts.at(1),
                                        .bad = counts.at(2) });
            }
        }
        for (const auto &annotation : levels.at("marks"))
            this->annotations[{ parseMinute(annotation.at(0)),
                                annotation.at(1).get<std::string>() }] = true;
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

BurnReport BurnReportBuilder::report(MinuteStamp now) const
{
    BurnReport report{ .now = now };
    for (const auto &[key, item] : this->series)
        report.rows.push_back(rowOf(key, item, now));
    std::ranges::stable_sort(report.rows, std::greater{}, [](const BurnRow &row) {
        return std::pair(row.hour.burnRate, row.threeDays.burnRate);
    });
    for (const auto &[annotation, isPresent] : this->annotations)
        report.annotations.push_back({ .minute = annotation.first, .text = annotation.second });
    return report;
}

std::string burnText(const BurnReport &report)
{
    std::string text = fmt::format("Service-level burn at {} UTC\n\n{:<9} {:<18} {:<14} {:<32} "
                                   "{:>8} {:>8} {:>8} {:>8} {:>8}  {}\n",
                                   clockText(report.now), "by", "name", "route", "objective",
                                   "5 min", "1 h", "6 h", "3 d", "left", "alert");
    for (const BurnRow &row : report.rows)
        text += fmt::format("{:<9} {:<18} {:<14} {:<32} {:>8} {:>8} {:>8} {:>8} {:>7.1f}%  {}\n",
                            row.key.dimension, row.key.name, row.key.route, objectiveText(row),
                            burnCell(row.fiveMinutes), burnCell(row.hour), burnCell(row.sixHours),
                            burnCell(row.threeDays), row.budgetLeft * 100, row.alert);
    text += report.annotations.empty() ? "" : "\nChanges:\n";
    for (const ChangeAnnotation &annotation : report.annotations)
        text += "  " + clockText(annotation.minute) + "  " + annotation.text + "\n";
    for (const std::string &name : report.missing)
        text += "\nNo answer from " + name + ": its counts are missing.\n";
    return text;
}

std::string burnHtml(const BurnReport &report)
{
    std::string html = fmt::format(
            "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level "
            "burn</title><style>{}</style></head><body><h1>Service-level burn</h1><p>At {} UTC. A "
            "burn of 1 spends exactly the budget of the objective.</p>",
            kStyle, clockText(report.now));
    for (const std::string &name : report.missing)
        html += "<p class=\"page\">No answer from " + escapeHtml(name)
                + ": its counts are missing.</p>";
    html += "<table><tr><th>by</th><th>objective</th><th>5 min</th><th>1 h</th><th>6 h</th><th>3 "
            "d</th><th>budget left</th><th>alert</th></tr>";
    for (const BurnRow &row : report.rows)
        html += fmt::format("<tr class=\"{}\"><td>{} {}</td><td>{}: "
                            "{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1f} "
                            "%</td><td>{}</td></tr>",
                            row.alert, escapeHtml(row.key.dimension), escapeHtml(row.key.name),
                            escapeHtml(row.key.route), escapeHtml(objectiveText(row)),
                            burnCell(row.fiveMinutes), burnCell(row.hour), burnCell(row.sixHours),
                            burnCell(row.threeDays), row.budgetLeft * 100, row.alert);
    html += "</table><h2>Last six hours</h2><p><small>Bars: share of bad events a minute. Dashed "
            "lines: changes by operators.</small></p>";
    for (const BurnRow &row : report.rows) {
        if (row.key.dimension == "customer" || row.key.dimension == "zone")
            html += fmt::format("<h3>{} {}, {}: {}</h3>{}", escapeHtml(row.key.dimension),
                                escapeHtml(row.key.name), escapeHtml(row.key.route),
                                escapeHtml(objectiveText(row)),
                                chartSvg(row, report.annotations, report.now));
    }
    html += "<h2>Changes</h2><ul>";
    for (const ChangeAnnotation &annotation : report.annotations)
        html += "<li>" + clockText(annotation.minute) + " " + escapeHtml(annotation.text) + "</li>";
    return html + "</ul></body></html>\n";
}

} // namespace egret
