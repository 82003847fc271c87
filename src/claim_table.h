#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct ClaimTableOptions
{
    Milliseconds retention{ 24h };           ///< of a claim in a final state
    Milliseconds openRetention{ 7 * 24h };   ///< of a claim without a final state
    Milliseconds answerRetention{ 24h };     ///< of a stored answer, for retries
    Milliseconds maxOpenAge{ 12h };          ///< an older OpenClaim command is refused
    Milliseconds maxClockLead{ 1h };         ///< of a claim's time over the table's time
    std::size_t maxClaims{ 1U << 20U };      ///< claims in the table
    std::size_t maxCustomerClaims{ 262144 }; ///< claims of one customer
    std::size_t maxAnswerBytes{ 65536 };     ///< body of a stored answer
};

/// Replicated table of claims on idempotency keys. Deterministic: time comes only
/// from the commands, so that the same commands give the same table and results.
/// The table's time is the second latest of the instances' times, so that a single
/// wrong clock can't advance the table's time. Claims expire by the table's time,
/// counted from their last change; a full table refuses new keys and drops none
/// early. Not thread safe.
class ClaimTable
{
public:
    explicit ClaimTable(ClaimTableOptions options = {}) : options(options) {}

    /// Claims or withdraws an unclaimed or closed key; `fence` is the log index of
    /// the command.
    ControlResult open(std::uint64_t fence, const OpenClaim &command);

    /// Records the outcome of a claimed action. The result contains the current
    /// claim, also when the command arrived too late.
    ControlResult finish(const FinishClaim &command);

    /// Returns the whole table.
    ClaimSnapshot snapshot() const;

    /// Replaces the whole table.
    void restore(const ClaimSnapshot &snapshot);

    /// Number of claims in the table.
    std::size_t size() const { return this->byId.size(); }

private:
    struct Record;
    using Records = std::map<std::string, Record>;
    using Expiries = std::multimap<Milliseconds, Records::iterator>;
    struct Record
    {
        Claim claim;
        Expiries::iterator expiry;
    };

    void advanceClock(const std::string &proposer, Milliseconds time);
    void expire();
    void insertOrReplace(const Claim &claim);
    Milliseconds boundedTime(Milliseconds openedAt) const;
    void rescheduleExpiry(Records::iterator record);
    Milliseconds expiryOf(const Claim &claim) const;
    std::string newClaimRefusal(const OpenClaim &command) const;

    ClaimTableOptions options;
    ClaimClock clock;
    Records byId;
    Expiries expiries;
    std::map<std::string, std::size_t> countByCustomer;
};

} // namespace egret
