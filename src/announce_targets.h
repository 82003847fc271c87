#pragma once

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

struct AnnounceTargetsOptions
{
    std::string agent;
    std::vector<std::string> entries; ///< endpoints of the zone's entry instances
    std::size_t count{ 3 };
    Milliseconds replyLimit{ 700ms }; ///< silence after which another takes the place
    Milliseconds retryPeriod{ 5s };   ///< before a silent one is tried again
};

/// An entry instance that an agent announces itself to.
struct AnnounceTarget
{
    std::string endpoint;
    std::uint64_t incarnation{ 0 }; ///< 0 before it has answered
    bool isPrimary{ false };        ///< it shares the agent's record in the zone

    bool operator==(const AnnounceTarget &) const = default;
};

/// Chooses the entry instances that an agent announces itself to: the highest
/// by rendezvous hash of those that answer, so that agents spread evenly and a
/// lost instance moves only its own. Deterministic; not thread safe.
class AnnounceTargets
{
public:
    explicit AnnounceTargets(AnnounceTargetsOptions options);

    /// The homes to announce to now, first one first; silent ones are replaced.
    std::vector<AnnounceTarget> choose(TimePoint now);

    /// Takes an answer; true when the instance's incarnation was not known.
    bool onReply(const std::string &endpoint, std::uint64_t incarnation, TimePoint now);

    /// Takes the period that announcements have from now on.
    void setPeriod(Milliseconds period);

private:
    struct Candidate
    {
        std::string endpoint;
        std::uint64_t incarnation{ 0 };
        std::optional<TimePoint> askedAt; ///< first question not yet answered
        std::optional<TimePoint> silentSince;
    };

    AnnounceTargetsOptions options;
    Milliseconds replyLimit;
    std::vector<Candidate> ranked;
};

} // namespace egret
