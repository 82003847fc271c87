#include "announce_targets.h"

#include <algorithm>

namespace egret {

namespace {

/// Number of consecutive announcements without a reply after which a target is replaced.
constexpr int kMaxMissedReplies = 3;

std::uint64_t rendezvousHash(const std::string &agent, const std::string &entry)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const std::string *text : { &agent, &entry }) {
        for (const char c : *text)
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

AnnounceTargets::AnnounceTargets(AnnounceTargetsOptions options)
    : options(std::move(options)), replyTimeout(this->options.minReplyTimeout)
{
    for (const std::string &endpoint : this->options.entries)
        this->candidates.push_back({ .endpoint = endpoint });
    std::ranges::sort(this->candidates, std::greater<>(), [this](const Candidate &candidate) {
        return rendezvousHash(this->options.agent, candidate.endpoint);
    });
}

std::vector<AnnounceTarget> AnnounceTargets::choose(TimePoint now)
{
    // Step 1. Mark instances as silent after the reply timeout; clear the mark after the retry
    // period.
    for (Candidate &candidate : this->candidates) {
        if (candidate.unansweredSince && now - *candidate.unansweredSince >= this->replyTimeout)
            candidate.silentSince = now;
        if (candidate.silentSince && now - *candidate.silentSince >= this->options.retryPeriod)
            candidate.silentSince.reset();
        if (candidate.silentSince)
            candidate.unansweredSince.reset();
    }
    // Step 2. Choose the instances with the highest hashes, silent instances last.
    std::vector<Candidate *> orderedCandidates;
    for (const bool isSilent : { false, true }) {
        for (Candidate &candidate : this->candidates) {
            if (candidate.silentSince.has_value() == isSilent)
                orderedCandidates.push_back(&candidate);
        }
    }
    orderedCandidates.resize(std::min(orderedCandidates.size(), this->options.targetCount));
    // Step 3. The first chosen instance that has replied becomes the primary target.
    std::vector<AnnounceTarget> targets;
    bool hasPrimary = false;
    for (Candidate *candidate : orderedCandidates) {
        const bool isPrimary =
                !hasPrimary && candidate->incarnation != 0 && !candidate->silentSince;
        hasPrimary = hasPrimary || isPrimary;
        if (!candidate->unansweredSince && !candidate->silentSince)
            candidate->unansweredSince = now;
        targets.push_back({ .endpoint = candidate->endpoint,
                            .incarnation = candidate->incarnation,
                            .isPrimary = isPrimary });
    }
    return targets;
}

bool AnnounceTargets::onReply(const std::string &endpoint, std::uint64_t incarnation, TimePoint)
{
    const auto found = std::ranges::find(this->candidates, endpoint, &Candidate::endpoint);
    if (found == this->candidates.end())
        return false;
    const bool hasNewIncarnation = found->incarnation != incarnation;
    found->incarnation = incarnation;
    found->unansweredSince.reset();
    found->silentSince.reset();
    return hasNewIncarnation;
}

void AnnounceTargets::setPeriod(Milliseconds period)
{
    this->replyTimeout = std::max(this->options.minReplyTimeout, kMaxMissedReplies * period);
}

} // namespace egret
