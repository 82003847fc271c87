#pragma once

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct AnnounceTargetsOptions
{
    std::string agent;
    std::vector<std::string> entries;   ///< endpoints of the zone's entry instances
    std::size_t count{ 3 };             ///< entry instances to announce to at once
    Milliseconds replyTimeout{ 700ms }; ///< silence after which a target is replaced
    Milliseconds retryPeriod{ 5s };     ///< before a silent instance is tried again
};

/// An entry instance to which an agent announces itself.
struct AnnounceTarget
{
    std::string endpoint;
    std::uint64_t incarnation{ 0 }; ///< 0 before the first reply
    bool isPrimary{ false };        ///< the instance shares the agent's record within the zone

    bool operator==(const AnnounceTarget &) const = default;
};

/// Chooses the entry instances to which an agent announces itself: the highest
/// by rendezvous hash among those that reply, so that agents spread evenly and
/// the loss of an instance moves only the agents of that instance.
/// Deterministic; not thread safe.
class AnnounceTargets
{
public:
    explicit AnnounceTargets(AnnounceTargetsOptions options);

    /// Returns the current targets, highest hash first. Silent instances come last and only
    /// fill up the count.
    std::vector<AnnounceTarget> choose(TimePoint now);

    /// Records a reply; true when the instance's incarnation was not known.
    bool onReply(const std::string &endpoint, std::uint64_t incarnation, TimePoint now);

    /// Sets the announcement period, from which the reply timeout follows.
    void setPeriod(Milliseconds period);

private:
    struct Candidate
    {
        std::string endpoint;
        std::uint64_t incarnation{ 0 };
        std::optional<TimePoint> unansweredSince; ///< first announcement without a reply
        std::optional<TimePoint> silentSince;
    };

    AnnounceTargetsOptions options;
    Milliseconds replyTimeout;
    std::vector<Candidate> ranked;
};

} // namespace egret
