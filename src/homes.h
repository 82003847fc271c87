#pragma once

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct HomesOptions
{
    std::string agent;
    std::vector<std::string> entries;   ///< endpoints of the zone's entry instances
    std::size_t count{ 3 };             ///< entry instances to announce to at once
    Milliseconds replyTimeout{ 700ms }; ///< silence after which a target is replaced
    Milliseconds retryPeriod{ 5s };     ///< before a silent instance is tried again
};

/// An entry instance to which an agent announces itself.
struct Home
{
    std::string endpoint;
    std::uint64_t incarnation{ 0 }; ///< 0 before the first reply
    bool isFirst{ false };          ///< the instance shares the agent's record within the zone

    bool operator==(const Home &) const = default;
};

/// Chooses the entry instances to which an agent announces itself: the highest
/// by rendezvous hash among those that reply, so that agents spread evenly and
/// the loss of an instance moves only the agents of that instance.
/// Deterministic; not thread safe.
class Homes
{
public:
    explicit Homes(HomesOptions options);

    /// Returns the current targets, highest hash first. Silent instances come last and only
    /// fill up the count.
    std::vector<Home> choose(TimePoint now);

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

    HomesOptions options;
    Milliseconds replyTimeout;
    std::vector<Candidate> ranked;
};

} // namespace egret
