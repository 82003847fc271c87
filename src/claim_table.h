#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct ClaimTableOptions
{
    Milliseconds retention{ 24h };           ///< a claim in a final state is kept this long
    Milliseconds openRetention{ 7 * 24h };   ///< a claim in another state is kept this long
    Milliseconds answerRetention{ 24h };     ///< a stored answer is kept this long for retries
    Milliseconds maxOpenAge{ 12h };          ///< an older OpenClaim command is refused
    Milliseconds maxClockLead{ 1h };         ///< bound on a claim's time ahead of the table's time
    std::size_t maxClaims{ 1U << 20U };      ///< bound on the claims in the table
    std::size_t maxCustomerClaims{ 262144 }; ///< bound on the claims of one customer
    std::size_t maxAnswerBytes{ 65536 };     ///< a larger answer is not stored
};

/// Replicated table of claims on idempotency keys. A claim reserves a customer's key for one
/// request, whose action may then run at most once. The states done, closed and withdrawn
/// are final; open and unknown are not.
///
/// Deterministic: the only clock readings are the times in the commands, and the same
/// commands give the same table and results. The table's time is the second latest time that
/// different instances have sent; a single wrong clock therefore can't advance the table's
/// time. A claim expires when the table's time exceeds the time of the last change by the
/// retention. A full table refuses new keys and drops no claim early. Not thread safe.
class ClaimTable
{
public:
    explicit ClaimTable(ClaimTableOptions options = {}) : options(options) {}

    /// Claims a key, or withdraws the key so that its action never runs. The key must have
    /// no claim, or a closed claim. `fence` is the log index of the command.
    ControlResult open(std::uint64_t fence, const OpenClaim &command);

    /// Records the outcome of a claimed action. The result contains the current claim even
    /// when the claim is already in a final state or has another fence.
    ControlResult finish(const FinishClaim &command);

    /// Returns the clock and all claims.
    ClaimSnapshot snapshot() const;

    /// Replaces the clock and all claims.
    void restore(const ClaimSnapshot &snapshot);

    /// Number of claims in the table.
    std::size_t size() const { return this->recordsById.size(); }

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
    Milliseconds clampedOpenTime(Milliseconds openedAt) const;
    void rescheduleExpiry(Records::iterator record);
    Milliseconds expiryOf(const Claim &claim) const;
    std::string newClaimRefusal(const OpenClaim &command) const;

    ClaimTableOptions options;
    ClaimClock clock;
    Records recordsById; ///< by claim id
    Expiries expiries;   ///< by the table's time at which an answer or a claim expires
    std::map<std::string, std::size_t> claimCountByCustomer;
};

} // namespace egret
