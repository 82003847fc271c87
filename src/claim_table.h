#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct ClaimTableOptions
{
    Milliseconds retention{ 24h };         ///< retention time of a claim in a final state
    Milliseconds openRetention{ 7 * 24h }; ///< retention time of a claim in any other state
    Milliseconds answerRetention{ 24h }; ///< retention time of an answer that is stored for retries
    Milliseconds maxOpenAge{ 12h };      ///< an older OpenClaim command is refused
    /// The time of a new claim is at most this far ahead of the table's time.
    Milliseconds maxClockLead{ 1h };
    std::size_t maxClaims{ 1U << 20U };      ///< bound on the number of claims in the table
    std::size_t maxCustomerClaims{ 262144 }; ///< bound on the number of claims of one customer
    std::size_t maxAnswerBytes{ 65536 };     ///< an answer with a larger body is not stored
};

/// Replicated table of claims on idempotency keys. A claim reserves a customer's key for one
/// request, and the action of the request may then run at most once. The final states are done
/// (the action ran), closed (the action did not run) and withdrawn (the action must never run).
/// The states open and unknown (whether the action ran is unknown) are not final. A claim may
/// contain the answer of the action, which is returned to retries.
///
/// Deterministic: the table takes the time only from the commands, and the same commands give
/// the same table and results. The table's time is the second latest of the times that different
/// instances have sent; a single wrong clock therefore can't advance the table's time. A claim
/// expires when its last change is older than the retention time, measured by the table's time. A
/// full table refuses new keys and drops no claim early. Not thread safe.
class ClaimTable
{
public:
    explicit ClaimTable(ClaimTableOptions options = {}) : options(options) {}

    /// Claims a key. With `command.withdraw`, withdraws the key instead, and the action never
    /// runs. The key must have no claim or a closed claim. A closed claim may be replaced only
    /// for the same request or by a withdrawal. A resent command for an open claim is accepted
    /// again. `fence` is the log index of the command.
    ControlResult open(std::uint64_t fence, const OpenClaim &command);

    /// Stores the outcome of a claimed action. The result contains the current claim also when
    /// the claim is already in a final state or has a different fence than `command`.
    ControlResult finish(const FinishClaim &command);

    /// Returns the table's time and all claims.
    ClaimSnapshot snapshot() const;

    /// Replaces the table's time and all claims.
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
