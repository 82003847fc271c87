#pragma once

#include "generated/messages.h"
#include "request_limit.h"
#include "types.h"

#include <optional>

namespace egret {

/// What one answer of an upstream says of the upstream itself.
struct UpstreamStatement
{
    /// Requests a second that the upstream takes from all gateways together; empty: none named.
    std::optional<double> requestsPerSecond;
    /// The upstream ran the request, so an answer without a limit means that there is none.
    bool endsLimit{ false };
    bool isLeaving{ false }; ///< the upstream is about to end
    Milliseconds wait{ 0 };  ///< time for which it wants nothing from this machine; 0 for none
    TimePoint requestSentAt; ///< time at which the request was sent to the upstream
    TimePoint answeredAt;    ///< time at which the answer arrived
};

/// What one incarnation of an upstream has said of itself in its answers: its request limit, that
/// it leaves, and for how long it wants nothing. Answers may overtake each other. A limit ends as
/// `RequestLimit` tells. An upstream that leaves is never used again: it says so in all its later
/// answers, and only a new incarnation takes requests. Waits are promises of this machine alone and
/// aren't told to others. Deterministic; not thread safe.
class UpstreamStatements
{
public:
    /// Applies an answer, seen by this instance or reported by another. Returns what changed and
    /// other instances must know, without the parts of the answer that are out of date here. The
    /// same answer may be applied several times.
    std::optional<UpstreamStatement> onAnswer(const UpstreamStatement &answer);

    /// The latest answer that named the request limit in force; empty: no limit.
    const std::optional<RequestLimitObservation> &requestLimit() const
    {
        return this->limit.inForce();
    }

    bool isLeaving() const { return this->leaving; }

    /// End of the time for which the upstream wants nothing from this machine.
    TimePoint waitEnd() const { return this->waitUntil; }

    /// True if requests may be sent to the upstream, as far as its answers tell.
    bool takesRequests(TimePoint now) const { return !this->leaving && now >= this->waitUntil; }

    /// True when other instances must know something of these statements.
    bool isWorthTelling() const { return this->leaving || this->limit.inForce(); }

    /// Returns the statements as a message to other instances. `now`: time of sending.
    UpstreamReport report(const std::string &upstream, std::uint64_t startedAtMs,
                          TimePoint now) const;

private:
    RequestLimit limit;
    bool leaving{ false };
    TimePoint waitUntil{ TimePoint::min() };
};

/// Converts an answer to a message for other instances and back. `now`: time of sending or arrival
/// by this instance's clock. Thread safe.
UpstreamReport upstreamReport(const std::string &upstream, std::uint64_t startedAtMs,
                              const UpstreamStatement &answer, TimePoint now);
UpstreamStatement statementOf(const UpstreamReport &report, TimePoint now);

} // namespace egret
