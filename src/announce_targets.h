#pragma once

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct AnnounceTargetsOptions
{
    std::string agent;
    std::vector<std::string> entries;      ///< endpoints of the zone's entry instances
    std::size_t targetCount{ 3 };          ///< number of instances to announce to
    Milliseconds minReplyTimeout{ 700ms }; ///< see AnnounceTargets::setPeriod()
    Milliseconds retryPeriod{ 5s };        ///< time after which a silent instance is tried again
};

/// An entry instance to which an agent announces itself.
struct AnnounceTarget
{
    std::string endpoint;
    std::uint64_t incarnation{ 0 }; ///< 0 before the first reply
    bool isPrimary{ false };        ///< the instance shares the agent's record within the zone

    bool operator==(const AnnounceTarget &) const = default;
};

/// Chooses the entry instances to which an agent announces itself: the instances
/// with the highest rendezvous hashes among all that reply. Agents are therefore
/// spread evenly, and when an instance fails, only the agents that announced themselves to
/// this instance choose another target.
/// An instance that has not replied within the reply timeout is silent until a reply
/// arrives or the retry period has passed. Deterministic; not thread safe.
class AnnounceTargets
{
public:
    explicit AnnounceTargets(AnnounceTargetsOptions options);

    /// Returns the current targets, highest hash first. Silent instances are included only when
    /// fewer than `targetCount` instances are not silent, and come last.
    std::vector<AnnounceTarget> choose(TimePoint now);

    /// Records a reply of an entry instance; true for the first reply of the instance and for a
    /// reply with a new incarnation.
    bool onReply(const std::string &endpoint, std::uint64_t incarnation, TimePoint now);

    /// Sets the reply timeout, after which a target is replaced, to a multiple of the announcement
    /// period, but at least to `minReplyTimeout`.
    void setPeriod(Milliseconds period);

private:
    struct Candidate
    {
        std::string endpoint;
        std::uint64_t incarnation{ 0 };
        /// Time of the first announcement without a reply.
        std::optional<TimePoint> unansweredSince;
        std::optional<TimePoint> silentSince; ///< empty while the instance is not silent
    };

    AnnounceTargetsOptions options;
    Milliseconds replyTimeout;
    std::vector<Candidate> candidates; ///< highest rendezvous hash first
};

} // namespace egret
