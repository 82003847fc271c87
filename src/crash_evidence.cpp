#include "crash_evidence.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace egret {

namespace {

constexpr std::string_view kRequestPrefix = "request:";

} // namespace

std::string requestSuspect(const std::string &digest)
{
    return std::string(kRequestPrefix) + digest;
}

bool isRequestSuspect(const std::string &suspect)
{
    return suspect.starts_with(kRequestPrefix);
}

void CrashEvidence::onCrash(const CrashReport &crash, TimePoint now)
{
    while (!this->reports.empty()
           && (this->reports.size() >= this->options.maxReports
               || !this->isCurrent(this->reports.front(), now)))
        this->reports.pop_front();
    if (!crash.suspects.empty())
        this->reports.push_back({ .crash = crash, .receivedAt = now });
}

void CrashEvidence::clear(const std::string &suspect)
{
    for (Report &report : this->reports)
        std::erase(report.crash.suspects, suspect);
    std::erase_if(this->reports, [](const Report &each) { return each.crash.suspects.empty(); });
}

std::vector<std::string> CrashEvidence::crashingSuspects(TimePoint now) const
{
    std::vector<std::string> crashing;
    std::set<std::string> explainedUpstreams;
    while (true) {
        const auto evidenceBySuspect = this->collect(explainedUpstreams, now);
        const auto strength = [](const auto &each) {
            const Evidence &evidence = each.second;
            const bool isSeveralRequests =
                    isRequestSuspect(each.first) && evidence.prompts.size() > 1;
            return std::tuple(!evidence.isEstablished, evidence.crashCount, !isSeveralRequests,
                              evidence.depth);
        };
        const std::string *strongest = nullptr;
        const Evidence *strongestEvidence = nullptr;
        for (const auto &each : evidenceBySuspect) {
            const bool isStronger =
                    strongest == nullptr
                    || strength(each) > strength(std::pair(*strongest, *strongestEvidence));
            if (this->isSufficient(each.second) && isStronger) {
                strongest = &each.first;
                strongestEvidence = &each.second;
            }
        }
        if (strongest == nullptr)
            return crashing;
        crashing.push_back(*strongest);
        explainedUpstreams.insert(strongestEvidence->upstreams.begin(),
                                  strongestEvidence->upstreams.end());
    }
}

std::set<std::string> CrashEvidence::acquittedSuspects(const std::vector<std::string> &crashing,
                                                       TimePoint now) const
{
    std::set<std::string> explainedUpstreams;
    for (const Report &report : this->reports) {
        const bool isExplained =
                std::ranges::any_of(report.crash.suspects, [&crashing](const std::string &suspect) {
                    return std::ranges::find(crashing, suspect) != crashing.end();
                });
        if (isExplained && this->isCurrent(report, now))
            explainedUpstreams.insert(report.crash.upstream);
    }
    std::set<std::string> acquitted;
    std::set<std::string> suspected(crashing.begin(), crashing.end());
    for (const Report &report : this->reports) {
        if (!this->isCurrent(report, now))
            continue;
        const auto &suspects = report.crash.suspects;
        const bool isExplained = explainedUpstreams.contains(report.crash.upstream);
        (isExplained ? acquitted : suspected).insert(suspects.begin(), suspects.end());
    }
    std::erase_if(acquitted,
                  [&suspected](const std::string &each) { return suspected.contains(each); });
    return acquitted;
}

/// Collects the evidence against each suspect from the reports of crashes that are not explained.
std::map<std::string, CrashEvidence::Evidence>
CrashEvidence::collect(const std::set<std::string> &explainedUpstreams, TimePoint now) const
{
    std::map<std::string, Evidence> evidenceBySuspect;
    for (const Report &report : this->reports) {
        const CrashReport &crash = report.crash;
        if (!this->isCurrent(report, now) || explainedUpstreams.contains(crash.upstream))
            continue;
        for (std::size_t position = 0; position < crash.suspects.size(); ++position) {
            const std::string &suspect = crash.suspects[position];
            Evidence &evidence = evidenceBySuspect[suspect];
            const bool isNewRequest = evidence.requests.insert(crash.request).second;
            const bool isRetry = isRequestSuspect(suspect) && !isNewRequest;
            evidence.prompts.insert(crash.prompt);
            evidence.depth = std::max(evidence.depth, position);
            evidence.isEstablished = evidence.isEstablished
                                     || std::ranges::find(crash.establishedSuspects, suspect)
                                                != crash.establishedSuspects.end();
            const bool isNewUpstream = evidence.upstreams.insert(crash.upstream).second;
            const bool isSimultaneous =
                    evidence.crashCount > 0
                    && report.receivedAt < evidence.countedAt + this->options.simultaneousWindow;
            if (isNewUpstream && (isRetry || !isSimultaneous)) {
                ++evidence.crashCount;
                evidence.countedAt = report.receivedAt;
            }
        }
    }
    return evidenceBySuspect;
}

bool CrashEvidence::isSufficient(const Evidence &evidence) const
{
    const std::size_t threshold = evidence.isEstablished ? this->options.establishedCrashThreshold
                                                         : this->options.crashThreshold;
    return evidence.crashCount >= threshold
           && evidence.requests.size() >= this->options.requestThreshold;
}

} // namespace egret
