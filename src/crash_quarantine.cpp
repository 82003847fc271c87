#include "crash_quarantine.h"

#include "crash_evidence.h"
#include "digest.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <sstream>
#include <utility>

namespace egret {

namespace {

/// An answer that began within this time before a crash speaks for its suspects. A suspect that
/// has just begun to crash engines is suspected after this time.
constexpr Milliseconds kRecentBegin = 1s;
/// As `kRecentBegin`, before the quarantine of a suspect. Longer than a registry needs to spread
/// the quarantine, shorter than `kRecentBegin`.
constexpr Milliseconds kBeginBeforeQuarantine = 500ms;
/// A suspect counts as established for this time after an answer with it began.
constexpr Milliseconds kEstablishedLifetime = 60s;
constexpr std::size_t kMaxEstablishedSuspects = 8192;
/// Time for which a reported suspect is remembered: lifetime of the registries' evidence.
constexpr Milliseconds kReportLifetime = 60s;
constexpr std::size_t kPromptDigestDigits = 16;
constexpr Milliseconds kCleanUpPeriod = 5s;
constexpr Milliseconds kProbeAskInterval = 1s;
/// A granted probe that no request has used for this time is void.
constexpr Milliseconds kProbeLifetime = 5s;

} // namespace

std::string quarantineText(const std::vector<QuarantinedSuspect> &suspects)
{
    std::string text;
    for (const QuarantinedSuspect &each : suspects)
        text += std::to_string(each.probes) + " " + each.suspect + "\n";
    return text;
}

std::vector<QuarantinedSuspect> parseQuarantineText(const std::string &text)
{
    std::vector<QuarantinedSuspect> suspects;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        QuarantinedSuspect each;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), each.probes);
        const auto used = static_cast<std::size_t>(parsed.ptr - line.data());
        if (parsed.ec != std::errc{} || used + 1 >= line.size() || line[used] != ' ')
            continue;
        each.suspect = line.substr(used + 1);
        suspects.push_back(std::move(each));
    }
    return suspects;
}

std::vector<std::string> CrashQuarantine::onBegun(const std::vector<std::string> &suspects,
                                                  TimePoint now)
{
    this->dropOutdated(now);
    std::vector<std::string> toReport;
    for (const std::string &suspect : suspects) {
        this->begunAt[suspect] = now;
        const bool wasReported = this->reportedAt.erase(suspect) > 0;
        if (wasReported || this->quarantined.contains(suspect))
            toReport.push_back(suspect);
    }
    return toReport;
}

CrashReport CrashQuarantine::onCrash(const std::string &upstream, const std::string &request,
                                     const std::vector<std::string> &suspects, TimePoint now)
{
    CrashReport report{ .upstream = upstream, .request = request };
    DigestStream prompt;
    for (const std::string &suspect : suspects) {
        if (!isRequestSuspect(suspect))
            prompt.update(suspect + ",");
        if (this->hasBegunSince(suspect, now - kRecentBegin))
            continue;
        report.suspects.push_back(suspect);
        if (this->hasBegunSince(suspect, now - kEstablishedLifetime))
            report.establishedSuspects.push_back(suspect);
        this->reportedAt[suspect] = now;
        if (isRequestSuspect(suspect))
            this->requestReportedUntil = now + kReportLifetime;
    }
    report.prompt = prompt.finish().substr(0, kPromptDigestDigits);
    return report;
}

std::vector<std::string>
CrashQuarantine::setQuarantined(const std::vector<QuarantinedSuspect> &suspects, TimePoint now)
{
    const auto previous = std::exchange(this->quarantined, {});
    for (const QuarantinedSuspect &each : suspects)
        this->quarantined.insert(each.suspect);
    this->quarantinesRequests = std::ranges::any_of(this->quarantined, isRequestSuspect);
    const auto isReleased = [this](const auto &each) {
        return !this->quarantined.contains(each.first);
    };
    std::erase_if(this->probeAskedAt, isReleased);
    std::erase_if(this->probeGrantedAt, isReleased);
    std::vector<std::string> toReport;
    std::ranges::copy_if(this->quarantined, std::back_inserter(toReport),
                         [&](const std::string &suspect) {
                             return !previous.contains(suspect)
                                    && this->hasBegunSince(suspect, now - kBeginBeforeQuarantine);
                         });
    return toReport;
}

QuarantineDecision CrashQuarantine::decide(const std::vector<std::string> &suspects, TimePoint now)
{
    std::vector<std::string> found;
    std::ranges::copy_if(suspects, std::back_inserter(found), [this](const std::string &suspect) {
        return this->quarantined.contains(suspect);
    });
    if (found.empty())
        return {};
    QuarantineDecision decision{ .isRefused = true, .suspect = found.front() };
    if (found.size() > 1)
        return decision;
    const auto granted = this->probeGrantedAt.find(decision.suspect);
    if (granted != this->probeGrantedAt.end()) {
        decision.isProbe = now < granted->second + kProbeLifetime;
        decision.isRefused = !decision.isProbe;
        this->probeGrantedAt.erase(granted);
        return decision;
    }
    const auto [asked, isFirst] = this->probeAskedAt.emplace(decision.suspect, now);
    decision.mustAskForProbe = isFirst || now >= asked->second + kProbeAskInterval;
    if (decision.mustAskForProbe)
        asked->second = now;
    return decision;
}

bool CrashQuarantine::isQuarantined(const std::vector<std::string> &suspects) const
{
    return std::ranges::any_of(suspects, [this](const std::string &suspect) {
        return this->quarantined.contains(suspect);
    });
}

void CrashQuarantine::onProbeGranted(const std::string &suspect, TimePoint now)
{
    if (this->quarantined.contains(suspect))
        this->probeGrantedAt[suspect] = now;
}

void CrashQuarantine::dropOutdated(TimePoint now)
{
    if (now < this->nextCleanUpAt)
        return;
    this->nextCleanUpAt = now + kCleanUpPeriod;
    const Milliseconds kept =
            this->begunAt.size() > kMaxEstablishedSuspects ? kRecentBegin : kEstablishedLifetime;
    std::erase_if(this->begunAt,
                  [now, kept](const auto &each) { return now > each.second + kept; });
    std::erase_if(this->reportedAt,
                  [now](const auto &each) { return now > each.second + kReportLifetime; });
}

bool CrashQuarantine::hasBegunSince(const std::string &suspect, TimePoint since) const
{
    const auto found = this->begunAt.find(suspect);
    return found != this->begunAt.end() && found->second >= since;
}

} // namespace egret
