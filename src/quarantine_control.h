#pragma once

#include "crash_evidence.h"
#include "crash_quarantine.h"

#include <optional>
#include <set>

namespace egret {

/// Decides when a request with a quarantined suspect may be admitted to test whether the suspect
/// still crashes upstreams. The intervals grow with the number of earlier probes, because each
/// probe may cost an upstream. Deterministic; not thread safe.
class SuspectProbes
{
public:
    /// True when a probe of the suspect is due; it then counts as started. The first interval
    /// begins with the first call for a suspect.
    bool start(const QuarantinedSuspect &quarantined, TimePoint now);

    /// Forgets all suspects but the given ones.
    void keepOnly(const std::vector<QuarantinedSuspect> &quarantined);

private:
    std::map<std::string, TimePoint> nextProbeAt; ///< by suspect
};

/// Decides for all gateways which suspects are quarantined. Every registry instance keeps
/// the evidence; the leading one proposes the texts that this class returns to the quorum. Only one
/// proposal is pending at a time. Parameters named `inForce` hold the applied text. Deterministic;
/// not thread safe.
class QuarantineControl
{
public:
    /// A gateway reported a crash.
    void onCrash(const CrashReport &crash, TimePoint now);

    /// A gateway reported that answers with these suspects begin.
    void onBegun(const std::vector<std::string> &suspects, const NumberedText &inForce);

    /// This instance became the leader, or lost the leadership.
    void onLeadershipChanged() { this->hasNewEvidence = true; }

    /// A text was applied; true when it differs from the one before.
    bool onApplied(const NumberedText &inForce);

    /// Text to propose if the quarantine has to change, otherwise empty.
    /// Precondition: this instance leads.
    std::optional<NumberedText> propose(const NumberedText &inForce, TimePoint now);

    /// Text to propose if a probe of the suspect is due: the probe may be admitted once the quorum
    /// has accepted the text, so that a later leader knows of the probe. Otherwise empty.
    /// Precondition: this instance leads.
    std::optional<NumberedText> proposeProbe(const std::string &suspect,
                                             const NumberedText &inForce, TimePoint now);

    /// The quorum accepted or rejected the proposal.
    void onProposalEnded();

private:
    std::optional<NumberedText> startProposal(const NumberedText &inForce,
                                              const std::vector<QuarantinedSuspect> &suspects);

    CrashEvidence evidence;
    SuspectProbes probes;
    std::set<std::string> suspectsToRelease; ///< quarantined, but answers with them have begun
    bool hasNewEvidence{ false };            ///< the quarantine may have to change
    bool isProposalPending{ false };
    std::uint64_t appliedNumber{ 0 };
};

} // namespace egret
