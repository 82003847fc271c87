#pragma once

#include "crash_evidence.h"
#include "segment_quarantine.h"

#include <optional>
#include <set>

namespace egret {

/// Decides when a request with a quarantined segment may be admitted to test whether the segment
/// still crashes engines. The intervals grow with the number of earlier probes, because each probe
/// may cost an engine. Deterministic; not thread safe.
class SegmentProbes
{
public:
    /// True when a probe of the segment is due; it then counts as started. The first interval
    /// begins with the first call for a segment.
    bool start(const QuarantinedSegment &quarantined, TimePoint now);

    /// Forgets all segments but the given ones.
    void keepOnly(const std::vector<QuarantinedSegment> &quarantined);

private:
    std::map<std::string, TimePoint> nextProbeAt; ///< by segment
};

/// Decides for all gateways which prompt segments are quarantined. Every registry instance keeps
/// the evidence; the leading one proposes the texts that this class returns to the quorum. Only one
/// proposal is pending at a time. Parameters named `inForce` hold the applied text. Deterministic;
/// not thread safe.
class QuarantineControl
{
public:
    /// A gateway reported a crash.
    void onCrash(const SegmentCrash &crash, TimePoint now);

    /// A gateway reported that answers with these segments begin.
    void onBegun(const std::vector<std::string> &segments, const NumberedText &inForce);

    /// This instance became the leader, or lost the leadership.
    void onLeadershipChanged() { this->hasNewEvidence = true; }

    /// A text was applied; true when it differs from the one before.
    bool onApplied(const NumberedText &inForce);

    /// Text to propose if the quarantine has to change, otherwise empty.
    /// Precondition: this instance leads.
    std::optional<NumberedText> propose(const NumberedText &inForce, TimePoint now);

    /// Text to propose if a probe of the segment is due: the probe may be admitted once the quorum
    /// has accepted the text, so that a later leader knows of the probe. Otherwise empty.
    /// Precondition: this instance leads.
    std::optional<NumberedText> proposeProbe(const std::string &segment,
                                             const NumberedText &inForce, TimePoint now);

    /// The quorum accepted or rejected the proposal.
    void onProposalEnded();

private:
    std::optional<NumberedText> startProposal(const NumberedText &inForce,
                                              const std::vector<QuarantinedSegment> &segments);

    CrashEvidence evidence;
    SegmentProbes probes;
    std::set<std::string> segmentsToRelease; ///< quarantined, but answers with them have begun
    bool hasNewEvidence{ false };            ///< the quarantine may have to change
    bool isProposalPending{ false };
    std::uint64_t appliedNumber{ 0 };
};

} // namespace egret
