#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// What is known of one agent and its upstream.
struct Upstream
{
    AgentRecord record;
    TimePoint reportedAt;            ///< when the load was true, as its age says
    bool firstHand{ false };         ///< announced to this instance itself
    bool isPrimaryTarget{ false };   ///< this instance shares it in its zone
    std::uint64_t staticDigest{ 0 }; ///< digest of the record without its load
    TimePoint changedAt;             ///< last change of anything but the load
    std::uint64_t sharedProfile{ 0 };
    std::uint64_t sharedSequence{ 0 };
};

/// What is known of another availability zone as a whole.
struct ZoneSummary
{
    std::vector<UpstreamSummary> summaries;
    TimePoint reportedAt;
};

struct UpstreamDirectoryOptions
{
    Milliseconds silenceLimit{ 3s };        ///< silence after which an agent is dropped
    Milliseconds tombstoneRetention{ 60s }; ///< that a dropped agent's last sequence is kept
    Milliseconds noticeLimit{ 10s }; ///< that a sample puts records that ceased to be ready first
};

/// The agents that an entry instance knows: all of its own availability zone,
/// and a sample of every other. A record replaces another only when its
/// incarnation, then its sequence, is higher; that holds for a while after an
/// agent was dropped, so that no late record brings it back. Deterministic;
/// not thread safe.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectoryOptions options = {}) : options(options) {}

    /// Takes an agent's own announcement; false when it is old.
    bool announce(const AgentRecord &record, TimePoint now, bool isPrimaryTarget = false);

    /// Takes what the first homes of other agents share; returns the profiles
    /// of records that are not known here.
    std::vector<std::uint64_t> deltas(const RecordDeltas &deltas, TimePoint now);

    /// Takes the state of another availability zone.
    void report(const ZoneReport &report, TimePoint now);

    /// What changed since the last call of the records whose first home is
    /// here; with `withLoads` also of loads alone.
    RecordDeltas takeDeltas(bool withLoads, TimePoint now);

    /// The records that profiles name, as far as they are known.
    std::vector<AgedRecord> recordsOf(const std::vector<std::uint64_t> &staticDigests,
                                      TimePoint now) const;

    /// State of this availability zone with a sample of at most `limit`
    /// records: those that just ceased to be ready, then little loaded ones
    /// of each sort by turns.
    ZoneReport reportOf(const std::string &zone, std::size_t limit, std::mt19937_64 &random,
                        TimePoint now) const;

    /// Drops agents that have been silent past the limit.
    void expire(TimePoint now);

    /// Lengthens the silence limit, of the own zone and of the others.
    void setSilenceLimits(Milliseconds own, Milliseconds others, const std::string &ownZone);

    /// Number of agents that announce to this instance.
    std::size_t firstHandCount() const;

    /// All upstreams known, by agent name.
    const std::map<std::string, Upstream> &upstreams() const { return this->byAgent; }

    /// Other availability zones as wholes, by name.
    const std::map<std::string, ZoneSummary> &zones() const { return this->otherZones; }

private:
    struct Tombstone
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t sequence{ 0 };
        TimePoint droppedAt;
    };

    Upstream *take(const AgentRecord &record, TimePoint reportedAt, TimePoint now);
    Milliseconds limitOf(const Upstream &upstream) const;

    UpstreamDirectoryOptions options;
    Milliseconds othersLimit{ 0 };
    std::string ownZone;
    std::map<std::string, Upstream> byAgent;
    std::map<std::string, Tombstone> tombstones;
    std::map<std::string, ZoneSummary> otherZones;
};

/// Digest of a record without its load. Thread safe.
std::uint64_t staticDigestOf(const AgentRecord &record);

} // namespace egret
