#include "quarantine_control.h"

#include <algorithm>
#include <utility>

namespace egret {

namespace {

/// The oldest quarantined suspects are released beyond this number.
constexpr std::size_t kMaxQuarantinedSuspects = 64;
/// Time from the quarantine of a suspect to its first probe.
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

bool contains(const std::vector<QuarantinedSuspect> &suspects, const std::string &suspect)
{
    return std::ranges::find(suspects, suspect, &QuarantinedSuspect::suspect) != suspects.end();
}

} // namespace

bool SuspectProbes::start(const QuarantinedSuspect &quarantined, TimePoint now)
{
    const auto [next, isNew] =
            this->nextProbeAt.emplace(quarantined.suspect, now + probeInterval(quarantined.probes));
    if (isNew || now < next->second)
        return false;
    next->second = now + probeInterval(quarantined.probes + 1);
    return true;
}

void SuspectProbes::keepOnly(const std::vector<QuarantinedSuspect> &quarantined)
{
    std::erase_if(this->nextProbeAt,
                  [&](const auto &each) { return !contains(quarantined, each.first); });
}

void QuarantineControl::onCrash(const CrashReport &crash, TimePoint now)
{
    this->evidence.onCrash(crash, now);
    this->hasNewEvidence = true;
}

void QuarantineControl::onBegun(const std::vector<std::string> &suspects,
                                const NumberedText &inForce)
{
    const auto quarantined = parseQuarantineText(inForce.text);
    for (const std::string &suspect : suspects) {
        this->evidence.clear(suspect);
        if (contains(quarantined, suspect))
            this->suspectsToRelease.insert(suspect);
    }
    this->hasNewEvidence = true;
}

bool QuarantineControl::onApplied(const NumberedText &inForce)
{
    if (inForce.number == std::exchange(this->appliedNumber, inForce.number))
        return false;
    const auto quarantined = parseQuarantineText(inForce.text);
    std::erase_if(this->suspectsToRelease,
                  [&](const std::string &suspect) { return !contains(quarantined, suspect); });
    this->probes.keepOnly(quarantined);
    return true;
}

std::optional<NumberedText> QuarantineControl::propose(const NumberedText &inForce, TimePoint now)
{
    if (!this->hasNewEvidence || this->isProposalPending)
        return std::nullopt;
    this->hasNewEvidence = false;
    const auto current = parseQuarantineText(inForce.text);
    const auto crashing = this->evidence.crashingSuspects(now);
    const auto acquitted = this->evidence.acquittedSuspects(crashing, now);
    auto wanted = current;
    std::erase_if(wanted, [&](const QuarantinedSuspect &each) {
        return acquitted.contains(each.suspect) || this->suspectsToRelease.contains(each.suspect);
    });
    for (const std::string &suspect : crashing) {
        if (!contains(wanted, suspect))
            wanted.push_back({ .suspect = suspect });
    }
    if (wanted.size() > kMaxQuarantinedSuspects)
        wanted.erase(wanted.begin(), wanted.end() - kMaxQuarantinedSuspects);
    if (wanted == current)
        return std::nullopt;
    return this->startProposal(inForce, wanted);
}

std::optional<NumberedText> QuarantineControl::proposeProbe(const std::string &suspect,
                                                            const NumberedText &inForce,
                                                            TimePoint now)
{
    auto quarantined = parseQuarantineText(inForce.text);
    const auto found = std::ranges::find(quarantined, suspect, &QuarantinedSuspect::suspect);
    if (this->isProposalPending || found == quarantined.end() || !this->probes.start(*found, now))
        return std::nullopt;
    ++found->probes;
    return this->startProposal(inForce, quarantined);
}

std::optional<NumberedText>
QuarantineControl::startProposal(const NumberedText &inForce,
                                 const std::vector<QuarantinedSuspect> &suspects)
{
    this->isProposalPending = true;
    return NumberedText{ .name = kQuarantineText,
                         .number = inForce.number + 1,
                         .text = quarantineText(suspects) };
}

void QuarantineControl::onProposalEnded()
{
    this->isProposalPending = false;
    this->hasNewEvidence = true;
}

} // namespace egret
