#pragma once

#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// A request, known by its `requestDigest`, as a suspect beside segments of prompts. No segment has
/// the same name, because segments' ids contain no colon. Thread safe.
std::string requestSuspect(const std::string &digest);
bool isRequestSuspect(const std::string &suspect);

struct CrashEvidenceOptions
{
    /// Crashes under requests with a suspect, without an answer in between, after which the
    /// suspect counts as their cause.
    std::size_t crashThreshold{ 3 };
    /// As `crashThreshold`, for suspects with which answers had begun before the crashes.
    std::size_t establishedCrashThreshold{ 6 };
    /// Different requests among them, since a sound request may meet several failing upstreams.
    std::size_t requestThreshold{ 2 };
    /// Crashes of several upstreams within this time count as one, because they probably have one
    /// cause, such as the loss of an availability zone. Against a request, the crash of the
    /// upstream to which the request was sent next counts by itself.
    Milliseconds simultaneousWindow{ 100 };
    Milliseconds lifetime{ 60s }; ///< reports are forgotten after this time
    std::size_t maxReports{ 256 };
};

/// Finds what crashes upstreams, from the reports of all gateways. Suspects are prompt segments, by
/// their ids, and requests that come again, by `requestSuspect`. Each report names a request whose
/// upstream closed the connection before the answer had begun. Sound requests that were in progress
/// at a crashing upstream are reported too, but answers with their suspects begin elsewhere, which
/// clears these suspects. Deterministic; not thread safe.
class CrashEvidence
{
public:
    explicit CrashEvidence(CrashEvidenceOptions options = {}) : options(options) {}

    void onCrash(const CrashReport &crash, TimePoint now);

    /// An answer to a request with this suspect has begun: the suspect is not the cause of the
    /// crashes so far.
    void clear(const std::string &suspect);

    /// Returns the suspects that explain the crashes, the strongest evidence first. A suspect that
    /// occurs only in crashes that a stronger one explains is not among them. Among segments that
    /// always occur together, the last in the prompts is blamed: fewer other requests have it. A
    /// request is blamed before its segments, unless its prompts differ: then it is several
    /// requests with one body.
    std::vector<std::string> crashingSuspects(TimePoint now) const;

    /// Returns the suspects that `crashing`, a result of `crashingSuspects`, acquits: each of their
    /// crashes is one of a suspect in `crashing`.
    std::set<std::string> acquittedSuspects(const std::vector<std::string> &crashing,
                                            TimePoint now) const;

private:
    struct Report
    {
        CrashReport crash;
        TimePoint receivedAt;
    };
    /// Evidence against one suspect.
    struct Evidence
    {
        std::set<std::string> upstreams;
        std::set<std::string> requests;
        std::set<std::string> prompts;
        std::size_t crashCount{ 0 }; ///< crashes, simultaneous ones counted once
        TimePoint countedAt;         ///< time of the crash that was counted last
        std::size_t depth{ 0 };      ///< largest position in a prompt
        bool isEstablished{ false };
    };

    std::map<std::string, Evidence> collect(const std::set<std::string> &explainedUpstreams,
                                            TimePoint now) const;
    bool isSufficient(const Evidence &evidence) const;
    bool isCurrent(const Report &report, TimePoint now) const
    {
        return now <= report.receivedAt + this->options.lifetime;
    }

    CrashEvidenceOptions options;
    std::deque<Report> reports; ///< oldest first
};

} // namespace egret
