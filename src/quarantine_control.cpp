#include "quarantine_control.h"

#include <algorithm>
#include <utility>

namespace egret {

namespace {

/// The oldest quarantined segments are released beyond this number.
constexpr std::size_t kMaxQuarantinedSegments = 64;
/// Time from the quarantine of a segment to its first probe.
constexpr Milliseconds kFirstProbeDelay = 20s;
/// Factor by which the interval grows with each probe, up to `kMaxProbeInterval`.
constexpr int kProbeBackoff = 4;
constexpr Milliseconds kMaxProbeInterval = 6h;

Milliseconds probeInterval(std::uint32_t earlierProbes)
{
    Milliseconds interval = kFirstProbeDelay;
    for (; earlierProbes > 0 && interval < kMaxProbeInterval; --earlierProbes)
        interval *= kProbeBackoff;
    return std::min(interval, kMaxProbeInterval);
}

bool contains(const std::vector<QuarantinedSegment> &segments, const std::string &segment)
{
    return std::ranges::find(segments, segment, &QuarantinedSegment::segment) != segments.end();
}

} // namespace

bool SegmentProbes::start(const QuarantinedSegment &quarantined, TimePoint now)
{
    const auto [next, isNew] =
            this->nextProbeAt.emplace(quarantined.segment, now + probeInterval(quarantined.probes));
    if (isNew || now < next->second)
        return false;
    next->second = now + probeInterval(quarantined.probes + 1);
    return true;
}

void SegmentProbes::keepOnly(const std::vector<QuarantinedSegment> &quarantined)
{
    std::erase_if(this->nextProbeAt,
                  [&](const auto &each) { return !contains(quarantined, each.first); });
}

void QuarantineControl::onCrash(const SegmentCrash &crash, TimePoint now)
{
    this->evidence.onCrash(crash, now);
    this->hasNewEvidence = true;
}

void QuarantineControl::onBegun(const std::vector<std::string> &segments,
                                const NumberedText &inForce)
{
    const auto quarantined = parseQuarantineText(inForce.text);
    for (const std::string &segment : segments) {
        this->evidence.clear(segment);
        if (contains(quarantined, segment))
            this->segmentsToRelease.insert(segment);
    }
    this->hasNewEvidence = true;
}

bool QuarantineControl::onApplied(const NumberedText &inForce)
{
    if (inForce.number == std::exchange(this->appliedNumber, inForce.number))
        return false;
    const auto quarantined = parseQuarantineText(inForce.text);
    std::erase_if(this->segmentsToRelease,
                  [&](const std::string &segment) { return !contains(quarantined, segment); });
    this->probes.keepOnly(quarantined);
    return true;
}

std::optional<NumberedText> QuarantineControl::propose(const NumberedText &inForce, TimePoint now)
{
    if (!this->hasNewEvidence || this->isProposalPending)
        return std::nullopt;
    this->hasNewEvidence = false;
    const auto current = parseQuarantineText(inForce.text);
    const auto crashing = this->evidence.crashingSegments(now);
    const auto acquitted = this->evidence.acquittedSegments(crashing, now);
    auto wanted = current;
    std::erase_if(wanted, [&](const QuarantinedSegment &each) {
        return acquitted.contains(each.segment) || this->segmentsToRelease.contains(each.segment);
    });
    for (const std::string &segment : crashing) {
        if (!contains(wanted, segment))
            wanted.push_back({ .segment = segment });
    }
    if (wanted.size() > kMaxQuarantinedSegments)
        wanted.erase(wanted.begin(), wanted.end() - kMaxQuarantinedSegments);
    if (wanted == current)
        return std::nullopt;
    return this->startProposal(inForce, wanted);
}

std::optional<NumberedText> QuarantineControl::proposeProbe(const std::string &segment,
                                                            const NumberedText &inForce,
                                                            TimePoint now)
{
    auto quarantined = parseQuarantineText(inForce.text);
    const auto found = std::ranges::find(quarantined, segment, &QuarantinedSegment::segment);
    if (this->isProposalPending || found == quarantined.end() || !this->probes.start(*found, now))
        return std::nullopt;
    ++found->probes;
    return this->startProposal(inForce, quarantined);
}

std::optional<NumberedText>
QuarantineControl::startProposal(const NumberedText &inForce,
                                 const std::vector<QuarantinedSegment> &segments)
{
    this->isProposalPending = true;
    return NumberedText{ .name = kQuarantineText,
                         .number = inForce.number + 1,
                         .text = quarantineText(segments) };
}

void QuarantineControl::onProposalEnded()
{
    this->isProposalPending = false;
    this->hasNewEvidence = true;
}

} // namespace egret
