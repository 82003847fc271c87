#pragma once

#include "generated/messages.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// Name of the numbered text that holds the quarantined suspects.
inline constexpr const char *kQuarantineText = "quarantined-segments";

/// A segment of prompts, by its id, or a request, by `requestSuspect`, that no gateway sends.
struct QuarantinedSuspect
{
    std::string suspect;
    std::uint32_t probes{ 0 }; ///< requests that were admitted since to test the suspect

    bool operator==(const QuarantinedSuspect &) const = default;
};

/// Text with the given suspects, one a line, and the suspects in such a text. Lines that can't be
/// read are left out. Thread safe.
std::string quarantineText(const std::vector<QuarantinedSuspect> &suspects);
std::vector<QuarantinedSuspect> parseQuarantineText(const std::string &text);

/// What a gateway does with a request by its suspects.
struct QuarantineDecision
{
    bool isRefused{ false };
    bool isProbe{ false };         ///< admitted only to find out whether the suspect still crashes
    bool mustAskForProbe{ false }; ///< ask the leading registry whether a probe is due
    std::string suspect;           ///< the quarantined suspect, empty for none
};

/// Refuses requests with a quarantined suspect, and tells which suspects to report to the
/// registries, which decide for all gateways (see CrashEvidence). The suspects of a request are
/// the segments of its prompt, in their order, and then the request itself. Deterministic; not
/// thread safe.
class CrashQuarantine
{
public:
    /// The answer to a request began. Returns those of the suspects whose begin must be reported:
    /// quarantined ones, and those that this gateway has reported as possible causes of a crash.
    std::vector<std::string> onBegun(const std::vector<std::string> &suspects, TimePoint now);

    /// An upstream closed the connection of a request whose answer had not begun. Returns a report
    /// that names those of the suspects that may be the cause: no answer with them has begun at
    /// this gateway just before. The report has no suspects when there is no such suspect.
    CrashReport onCrash(const std::string &upstream, const std::string &request,
                        const std::vector<std::string> &suspects, TimePoint now);

    /// Sets the suspects that the registries have quarantined. Returns those with which an answer
    /// has begun at this gateway just before, and whose begin must be reported.
    std::vector<std::string> setQuarantined(const std::vector<QuarantinedSuspect> &suspects,
                                            TimePoint now);

    /// Decides on a new request. A granted probe is used up by the request that it admits.
    QuarantineDecision decide(const std::vector<std::string> &suspects, TimePoint now);

    /// True when a request with these suspects must not be sent.
    bool isQuarantined(const std::vector<std::string> &suspects) const;

    /// The leading registry allows this gateway to send one request with the suspect.
    void onProbeGranted(const std::string &suspect, TimePoint now);

    /// True while requests themselves must be among the suspects passed to `onBegun`, `decide` and
    /// `isQuarantined`: one is quarantined, or this gateway has reported one lately. Otherwise the
    /// digests of requests needn't be computed.
    bool tracksRequests(TimePoint now) const
    {
        return this->quarantinesRequests || now < this->requestReportedUntil;
    }

    /// Number of quarantined suspects.
    std::size_t size() const { return this->quarantined.size(); }

private:
    void dropOutdated(TimePoint now);
    bool hasBegunSince(const std::string &suspect, TimePoint since) const;

    std::set<std::string> quarantined;
    bool quarantinesRequests{ false }; ///< a request is among `quarantined`
    TimePoint requestReportedUntil;    ///< end of the lifetime of the last report of a request
    std::map<std::string, TimePoint> begunAt;        ///< last begin of an answer, by suspect
    std::map<std::string, TimePoint> reportedAt;     ///< last report of a crash, by suspect
    std::map<std::string, TimePoint> probeAskedAt;   ///< by quarantined suspect
    std::map<std::string, TimePoint> probeGrantedAt; ///< by quarantined suspect
    TimePoint nextCleanUpAt;
};

} // namespace egret
