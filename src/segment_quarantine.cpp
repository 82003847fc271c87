#include "segment_quarantine.h"

#include "crash_evidence.h"
#include "digest.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <sstream>
#include <utility>

namespace egret {

namespace {

/// An answer that began within this time before a crash speaks for its segments. A segment that
/// has just begun to crash engines is suspected after this time.
constexpr Milliseconds kRecentBegin = 1s;
/// As `kRecentBegin`, before the quarantine of a segment. Longer than a registry needs to spread
/// the quarantine, shorter than `kRecentBegin`.
constexpr Milliseconds kBeginBeforeQuarantine = 500ms;
/// A segment counts as established for this time after an answer with it began.
constexpr Milliseconds kEstablishedLifetime = 60s;
constexpr std::size_t kMaxEstablishedSegments = 8192;
/// Time for which a reported segment is remembered: lifetime of the registries' evidence.
constexpr Milliseconds kReportLifetime = 60s;
constexpr std::size_t kPromptDigestDigits = 16;
constexpr Milliseconds kCleanUpPeriod = 5s;
constexpr Milliseconds kProbeAskInterval = 1s;
/// A granted probe that no request has used for this time is void.
constexpr Milliseconds kProbeLifetime = 5s;

} // namespace

std::string quarantineText(const std::vector<QuarantinedSegment> &segments)
{
    std::string text;
    for (const QuarantinedSegment &each : segments)
        text += std::to_string(each.probes) + " " + each.segment + "\n";
    return text;
}

std::vector<QuarantinedSegment> parseQuarantineText(const std::string &text)
{
    std::vector<QuarantinedSegment> segments;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        QuarantinedSegment each;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), each.probes);
        const auto used = static_cast<std::size_t>(parsed.ptr - line.data());
        if (parsed.ec != std::errc{} || used + 1 >= line.size() || line[used] != ' ')
            continue;
        each.segment = line.substr(used + 1);
        segments.push_back(std::move(each));
    }
    return segments;
}

std::vector<std::string> SegmentQuarantine::onBegun(const std::vector<std::string> &segments,
                                                    TimePoint now)
{
    this->dropOutdated(now);
    std::vector<std::string> toReport;
    for (const std::string &segment : segments) {
        this->begunAt[segment] = now;
        const bool wasReported = this->reportedAt.erase(segment) > 0;
        if (wasReported || this->quarantined.contains(segment))
            toReport.push_back(segment);
    }
    return toReport;
}

SegmentCrash SegmentQuarantine::onCrash(const std::string &upstream, const std::string &request,
                                        const std::vector<std::string> &segments, TimePoint now)
{
    SegmentCrash report{ .upstream = upstream, .request = request };
    DigestStream prompt;
    for (const std::string &segment : segments) {
        if (!isRequestSuspect(segment))
            prompt.update(segment + ",");
        if (this->hasBegunSince(segment, now - kRecentBegin))
            continue;
        report.segments.push_back(segment);
        if (this->hasBegunSince(segment, now - kEstablishedLifetime))
            report.establishedSegments.push_back(segment);
        this->reportedAt[segment] = now;
        if (isRequestSuspect(segment))
            this->requestReportedUntil = now + kReportLifetime;
    }
    report.prompt = prompt.finish().substr(0, kPromptDigestDigits);
    return report;
}

std::vector<std::string>
SegmentQuarantine::setQuarantined(const std::vector<QuarantinedSegment> &segments, TimePoint now)
{
    const auto previous = std::exchange(this->quarantined, {});
    for (const QuarantinedSegment &each : segments)
        this->quarantined.insert(each.segment);
    this->quarantinesRequests = std::ranges::any_of(this->quarantined, isRequestSuspect);
    const auto isReleased = [this](const auto &each) {
        return !this->quarantined.contains(each.first);
    };
    std::erase_if(this->probeAskedAt, isReleased);
    std::erase_if(this->probeGrantedAt, isReleased);
    std::vector<std::string> toReport;
    std::ranges::copy_if(this->quarantined, std::back_inserter(toReport),
                         [&](const std::string &segment) {
                             return !previous.contains(segment)
                                    && this->hasBegunSince(segment, now - kBeginBeforeQuarantine);
                         });
    return toReport;
}

SegmentDecision SegmentQuarantine::decide(const std::vector<std::string> &segments, TimePoint now)
{
    std::vector<std::string> found;
    std::ranges::copy_if(segments, std::back_inserter(found), [this](const std::string &segment) {
        return this->quarantined.contains(segment);
    });
    if (found.empty())
        return {};
    SegmentDecision decision{ .isRefused = true, .segment = found.front() };
    if (found.size() > 1)
        return decision;
    const auto granted = this->probeGrantedAt.find(decision.segment);
    if (granted != this->probeGrantedAt.end()) {
        decision.isProbe = now < granted->second + kProbeLifetime;
        decision.isRefused = !decision.isProbe;
        this->probeGrantedAt.erase(granted);
        return decision;
    }
    const auto [asked, isFirst] = this->probeAskedAt.emplace(decision.segment, now);
    decision.mustAskForProbe = isFirst || now >= asked->second + kProbeAskInterval;
    if (decision.mustAskForProbe)
        asked->second = now;
    return decision;
}

bool SegmentQuarantine::isQuarantined(const std::vector<std::string> &segments) const
{
    return std::ranges::any_of(segments, [this](const std::string &segment) {
        return this->quarantined.contains(segment);
    });
}

void SegmentQuarantine::onProbeGranted(const std::string &segment, TimePoint now)
{
    if (this->quarantined.contains(segment))
        this->probeGrantedAt[segment] = now;
}

void SegmentQuarantine::dropOutdated(TimePoint now)
{
    if (now < this->nextCleanUpAt)
        return;
    this->nextCleanUpAt = now + kCleanUpPeriod;
    const Milliseconds kept =
            this->begunAt.size() > kMaxEstablishedSegments ? kRecentBegin : kEstablishedLifetime;
    std::erase_if(this->begunAt,
                  [now, kept](const auto &each) { return now > each.second + kept; });
    std::erase_if(this->reportedAt,
                  [now](const auto &each) { return now > each.second + kReportLifetime; });
}

bool SegmentQuarantine::hasBegunSince(const std::string &segment, TimePoint since) const
{
    const auto found = this->begunAt.find(segment);
    return found != this->begunAt.end() && found->second >= since;
}

} // namespace egret
