#include "announce_targets.h"

#include <algorithm>

namespace egret {

namespace {

/// Announcements in a row without an answer after which a home is replaced.
constexpr int kMissedReplies = 3;

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

AnnounceTargets::AnnounceTargets(AnnounceTargetsOptions given)
    : options(std::move(given)), replyLimit(this->options.replyLimit)
{
    for (const std::string &endpoint : this->options.entries)
        this->ranked.push_back({ .endpoint = endpoint });
    std::ranges::sort(this->ranked, std::greater<>(), [this](const Candidate &candidate) {
        return rendezvousHash(this->options.agent, candidate.endpoint);
    });
}

std::vector<AnnounceTarget> AnnounceTargets::choose(TimePoint now)
{
    // Step 1. Notice who has fallen silent, and forgive after a while.
    for (Candidate &candidate : this->ranked) {
        if (candidate.askedAt && now - *candidate.askedAt >= this->replyLimit)
            candidate.silentSince = now;
        if (candidate.silentSince && now - *candidate.silentSince >= this->options.retryPeriod)
            candidate.silentSince.reset();
        if (candidate.silentSince)
            candidate.askedAt.reset();
    }
    // Step 2. The highest that are not silent; silent ones only to fill up.
    std::vector<Candidate *> order;
    for (const bool silent : { false, true }) {
        for (Candidate &candidate : this->ranked) {
            if (candidate.silentSince.has_value() == silent)
                order.push_back(&candidate);
        }
    }
    order.resize(std::min(order.size(), this->options.count));
    // Step 3. The first that has answered shares.
    std::vector<AnnounceTarget> announceTargets;
    bool hasFirst = false;
    for (Candidate *candidate : order) {
        const bool isPrimary = !hasFirst && candidate->incarnation != 0 && !candidate->silentSince;
        hasFirst = hasFirst || isPrimary;
        if (!candidate->askedAt && !candidate->silentSince)
            candidate->askedAt = now;
        announceTargets.push_back({ .endpoint = candidate->endpoint,
                                    .incarnation = candidate->incarnation,
                                    .isPrimary = isPrimary });
    }
    return announceTargets;
}

bool AnnounceTargets::onReply(const std::string &endpoint, std::uint64_t incarnation, TimePoint)
{
    const auto found = std::ranges::find(this->ranked, endpoint, &Candidate::endpoint);
    if (found == this->ranked.end())
        return false;
    const bool isNew = found->incarnation != incarnation;
    found->incarnation = incarnation;
    found->askedAt.reset();
    found->silentSince.reset();
    return isNew;
}

void AnnounceTargets::setPeriod(Milliseconds period)
{
    this->replyLimit = std::max(this->options.replyLimit, kMissedReplies * period);
}

} // namespace egret
