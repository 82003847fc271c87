#pragma once

#include "generated/messages.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// Name of the numbered text that holds the quarantined prompt segments.
inline constexpr const char *kQuarantineText = "quarantined-segments";

struct QuarantinedSegment
{
    std::string segment;
    std::uint32_t probes{ 0 }; ///< requests that were admitted since to test the segment

    bool operator==(const QuarantinedSegment &) const = default;
};

/// Text with the given segments, one a line, and the segments in such a text. Lines that can't be
/// read are left out. Thread safe.
std::string quarantineText(const std::vector<QuarantinedSegment> &segments);
std::vector<QuarantinedSegment> parseQuarantineText(const std::string &text);

/// What a gateway does with a request by the segments of its prompt.
struct SegmentDecision
{
    bool isRefused{ false };
    bool isProbe{ false };         ///< admitted only to find out whether the segment still crashes
    bool mustAskForProbe{ false }; ///< ask the leading registry whether a probe is due
    std::string segment;           ///< the quarantined segment, empty for none
};

/// Refuses requests whose prompts have a quarantined segment, and tells which segments to report to
/// the registries, which decide for all gateways. `segments` include requests, as `requestSuspect`
/// (see CrashEvidence). Deterministic; not thread safe.
class SegmentQuarantine
{
public:
    /// The answer to a request began. Returns those of the segments whose begin must be reported:
    /// quarantined ones, and those that this gateway has reported as possible causes of a crash.
    std::vector<std::string> onBegun(const std::vector<std::string> &segments, TimePoint now);

    /// An engine closed the connection of a request whose answer had not begun. Returns a report
    /// that names those of the segments that may be the cause: no answer with them has begun at
    /// this gateway just before. The report has no segments when there is no such segment.
    SegmentCrash onCrash(const std::string &upstream, const std::string &request,
                         const std::vector<std::string> &segments, TimePoint now);

    /// Sets the segments that the registries have quarantined. Returns those with which an answer
    /// has begun at this gateway just before, and whose begin must be reported.
    std::vector<std::string> setQuarantined(const std::vector<QuarantinedSegment> &segments,
                                            TimePoint now);

    /// Decides on a new request. A granted probe is used up by the request that it admits.
    SegmentDecision decide(const std::vector<std::string> &segments, TimePoint now);

    /// True when a request with these segments must not be sent.
    bool isQuarantined(const std::vector<std::string> &segments) const;

    /// The leading registry allows this gateway to send one request with the segment.
    void onProbeGranted(const std::string &segment, TimePoint now);

    /// True while the request suspects of requests must be passed to `onBegun`, `decide` and
    /// `isQuarantined`: one is quarantined, or this gateway has reported one lately. Otherwise the
    /// digests of requests needn't be computed.
    bool tracksRequests(TimePoint now) const
    {
        return this->quarantinesRequests || now < this->requestReportedUntil;
    }

    /// Number of quarantined segments.
    std::size_t size() const { return this->quarantined.size(); }

private:
    void dropOutdated(TimePoint now);
    bool hasBegunSince(const std::string &segment, TimePoint since) const;

    std::set<std::string> quarantined;
    bool quarantinesRequests{ false }; ///< `quarantined` has a request suspect
    TimePoint requestReportedUntil;    ///< end of the last report's lifetime, of request suspects
    std::map<std::string, TimePoint> begunAt;        ///< last begin of an answer, by segment
    std::map<std::string, TimePoint> reportedAt;     ///< last report of a crash, by segment
    std::map<std::string, TimePoint> probeAskedAt;   ///< by quarantined segment
    std::map<std::string, TimePoint> probeGrantedAt; ///< by quarantined segment
    TimePoint nextCleanUpAt;
};

} // namespace egret
