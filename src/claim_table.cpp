#include "claim_table.h"

#include <algorithm>

namespace egret {

namespace {

std::string customerOf(const std::string &claimId)
{
    return claimId.substr(0, claimId.find('/'));
}

bool isFinal(ClaimState state)
{
    return state == ClaimState::done || state == ClaimState::closed
           || state == ClaimState::withdrawn;
}

/// True when `command` may replace `claim`: the claim was closed before its action ran, and
/// the command is for the same request or withdraws the key.
bool isReusable(const Claim &claim, const OpenClaim &command)
{
    return claim.state == ClaimState::closed
           && (command.withdraw || claim.bodyDigest == command.bodyDigest);
}

/// Clears the fields that are needed only while the action may still be sent or its outcome may
/// still be queried.
void clearRoutingFields(Claim &claim)
{
    claim.opener = std::string();
    claim.agent = std::string();
    claim.endpoint = std::string();
}

} // namespace

ControlResult ClaimTable::open(std::uint64_t fence, const OpenClaim &command)
{
    // Step 1. Advance the table's time. Refuse a new key when the table is full, a key that is
    // already claimed, and a command that was delayed for too long.
    this->advanceClock(command.proposer, command.openedAt);
    this->expire();
    const auto found = this->recordsById.find(command.claimId);
    const bool isNew = found == this->recordsById.end();
    const std::string refusal = isNew ? this->newClaimRefusal(command) : std::string();
    if (!refusal.empty())
        return ControlResult{ .reason = refusal };
    if (!isNew && !isReusable(found->second.claim, command)) {
        const Claim &existing = found->second.claim;
        const bool isResend =
                existing.state == ClaimState::open && existing.opener == command.opener;
        return ControlResult{ .accepted = isResend,
                              .reason = isResend ? "" : "claim-exists",
                              .claim = existing };
    }
    if (command.openedAt + this->options.maxOpenAge < this->clock.time)
        return ControlResult{ .reason = "claim-too-late" };
    // Step 2. Store the new claim.
    Claim claim{ .claimId = command.claimId,
                 .opener = command.opener,
                 .bodyDigest = command.bodyDigest,
                 .fence = fence,
                 .state = command.withdraw ? ClaimState::withdrawn : ClaimState::open,
                 .agent = command.agent,
                 .endpoint = command.endpoint,
                 .gateIncarnation = command.gateIncarnation,
                 .openedAt = this->clampedOpenTime(command.openedAt) };
    if (command.withdraw)
        clearRoutingFields(claim);
    this->insertOrReplace(claim);
    return ControlResult{ .accepted = true, .claim = this->recordsById.at(command.claimId).claim };
}

ControlResult ClaimTable::finish(const FinishClaim &command)
{
    const auto found = this->recordsById.find(command.claimId);
    if (found == this->recordsById.end())
        return ControlResult{ .reason = "stale-claim" };
    Claim &claim = found->second.claim;
    if (claim.fence != command.fence)
        return ControlResult{ .reason = "stale-claim", .claim = claim };
    // The states open and unknown may change. A final state never changes.
    if (!isFinal(claim.state) && command.state != ClaimState::open) {
        claim.state = command.state;
        if (command.answer && command.answer->body.size() <= this->options.maxAnswerBytes)
            claim.answer = command.answer;
        if (isFinal(claim.state))
            clearRoutingFields(claim);
        claim.openedAt = std::max(claim.openedAt, this->clock.time);
        this->rescheduleExpiry(found);
    }
    return ControlResult{ .accepted = claim.state == command.state, .claim = claim };
}

ClaimSnapshot ClaimTable::snapshot() const
{
    ClaimSnapshot snapshot{ .clock = this->clock };
    snapshot.claims.reserve(this->recordsById.size());
    for (const auto &[id, record] : this->recordsById)
        snapshot.claims.push_back(record.claim);
    return snapshot;
}

void ClaimTable::restore(const ClaimSnapshot &snapshot)
{
    this->recordsById.clear();
    this->expiries.clear();
    this->claimCountByCustomer.clear();
    this->clock = snapshot.clock;
    for (const Claim &claim : snapshot.claims) {
        const auto added = this->recordsById.emplace(claim.claimId, Record{ .claim = claim }).first;
        added->second.expiry = this->expiries.emplace(this->expiryOf(claim), added);
        ++this->claimCountByCustomer[customerOf(claim.claimId)];
    }
}

/// Stores the time that `proposer` has sent, and advances the table's time to the second
/// latest of the times that different proposers have sent.
void ClaimTable::advanceClock(const std::string &proposer, Milliseconds time)
{
    if (proposer == this->clock.latestProposer || this->clock.latestProposer.empty()) {
        this->clock.latestProposer = proposer;
        this->clock.latestTime = std::max(this->clock.latestTime, time);
        return;
    }
    if (time > this->clock.latestTime) {
        this->clock.time = this->clock.latestTime;
        this->clock.latestProposer = proposer;
        this->clock.latestTime = time;
        return;
    }
    this->clock.time = std::max(this->clock.time, time);
}

/// Drops expired answers and expired claims. After the answer of a claim has expired, the claim is
/// kept without the answer until the claim expires.
void ClaimTable::expire()
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= this->clock.time) {
        const auto record = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        if (record->second.claim.answer) {
            record->second.claim.answer.reset();
            record->second.expiry =
                    this->expiries.emplace(this->expiryOf(record->second.claim), record);
            continue;
        }
        const auto count = this->claimCountByCustomer.find(customerOf(record->first));
        if (--count->second == 0)
            this->claimCountByCustomer.erase(count);
        this->recordsById.erase(record);
    }
}

void ClaimTable::insertOrReplace(const Claim &claim)
{
    const auto [record, isNew] = this->recordsById.try_emplace(claim.claimId);
    if (isNew) {
        record->second.expiry = this->expiries.end();
        ++this->claimCountByCustomer[customerOf(claim.claimId)];
    }
    record->second.claim = claim;
    this->rescheduleExpiry(record);
}

/// Returns the time of a new claim: `openedAt`, limited to the range from the table's time to
/// `maxClockLead` after the table's time. While the table has no time, returns `openedAt`.
Milliseconds ClaimTable::clampedOpenTime(Milliseconds openedAt) const
{
    if (this->clock.time == Milliseconds{ 0 })
        return openedAt;
    return std::clamp(openedAt, this->clock.time, this->clock.time + this->options.maxClockLead);
}

/// Recomputes the expiry of a claim after a change.
void ClaimTable::rescheduleExpiry(Records::iterator record)
{
    if (record->second.expiry != this->expiries.end())
        this->expiries.erase(record->second.expiry);
    record->second.expiry = this->expiries.emplace(this->expiryOf(record->second.claim), record);
}

/// Returns the time at which the stored answer expires; when no answer is stored, the time at
/// which the claim expires.
Milliseconds ClaimTable::expiryOf(const Claim &claim) const
{
    if (claim.answer)
        return claim.openedAt + this->options.answerRetention;
    return claim.openedAt
           + (isFinal(claim.state) ? this->options.retention : this->options.openRetention);
}

/// Reason to refuse a claim on a new key; empty when the key may be claimed.
std::string ClaimTable::newClaimRefusal(const OpenClaim &command) const
{
    if (this->recordsById.size() >= this->options.maxClaims)
        return "claims-full";
    const auto count = this->claimCountByCustomer.find(customerOf(command.claimId));
    const bool isCustomerFull = count != this->claimCountByCustomer.end()
                                && count->second >= this->options.maxCustomerClaims;
    return isCustomerFull ? "customer-claims-full" : "";
}

} // namespace egret
