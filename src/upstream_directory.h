#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// Last known state of one agent and its upstream.
struct Upstream
{
    AgentRecord record;
    TimePoint reportedAt;            ///< receipt time minus the age of the load
    bool isDirect{ false };          ///< announced directly to this instance
    bool isPrimaryTarget{ false };   ///< this instance shares the record within its zone
    std::uint64_t staticDigest{ 0 }; ///< digest of the record without its load
    TimePoint changedAt;             ///< last change of anything other than the load
    std::uint64_t lastSharedDigest{ 0 };
    std::uint64_t lastSharedSequence{ 0 };
};

/// Last known aggregate state of another availability zone.
struct ZoneSummary
{
    std::vector<UpstreamSummary> summaries;
    TimePoint reportedAt;
};

struct UpstreamDirectoryOptions
{
    Milliseconds silenceTimeout{ 3s };      ///< silence after which an agent is removed
    Milliseconds tombstoneRetention{ 60s }; ///< time that a removed agent's last sequence is kept
    Milliseconds unreadyFirstPeriod{ 10s }; ///< newly unready records come first in samples
};

/// The agents known to an entry instance: all agents of its own availability
/// zone, and a sample of every other zone. A record replaces another only when
/// its incarnation, then its sequence, is higher. A tombstone extends this rule
/// for a while after an agent was removed, so that no late record restores the
/// agent. Deterministic; not thread safe.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectoryOptions options = {}) : options(options) {}

    /// Applies an agent's own announcement; false when the record is outdated.
    bool announce(const AgentRecord &record, TimePoint now, bool isPrimaryTarget = false);

    /// Applies deltas from the primary targets of other agents; returns the
    /// digests of the records that are unknown here.
    std::vector<std::uint64_t> applyDeltas(const RecordDeltas &deltas, TimePoint now);

    /// Applies the report of another availability zone.
    void applyZoneReport(const ZoneReport &report, TimePoint now);

    /// Returns the changes since the last call to the records for which this
    /// instance is the primary target; load-only changes only with `withLoads`.
    RecordDeltas takeDeltas(bool withLoads, TimePoint now);

    /// Returns the known records that have one of the given digests.
    std::vector<AgedRecord> findRecords(const std::vector<std::uint64_t> &staticDigests,
                                        TimePoint now) const;

    /// Builds the report of this availability zone with a sample of at most
    /// `limit` records: first those that just ceased to be ready, then the least
    /// loaded records of each group in round-robin order. A group has the same
    /// kind, service and served version.
    ZoneReport buildZoneReport(const std::string &zone, std::size_t limit, std::mt19937_64 &random,
                               TimePoint now) const;

    /// Removes agents whose silence exceeds the timeout.
    void expire(TimePoint now);

    /// Sets the silence timeouts of agents in the own zone and in other zones.
    void setSilenceTimeouts(Milliseconds own, Milliseconds others, const std::string &ownZone);

    /// Number of agents that announce directly to this instance.
    std::size_t directAgentCount() const;

    /// All known upstreams, by agent name.
    const std::map<std::string, Upstream> &upstreams() const { return this->byAgent; }

    /// Aggregate state of the other availability zones, by name.
    const std::map<std::string, ZoneSummary> &zones() const { return this->otherZones; }

private:
    struct Tombstone
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t sequence{ 0 };
        TimePoint removedAt;
    };

    Upstream *mergeRecord(const AgentRecord &record, TimePoint reportedAt, TimePoint now);
    Milliseconds silenceTimeoutOf(const Upstream &upstream) const;

    UpstreamDirectoryOptions options;
    Milliseconds otherZonesTimeout{ 0 };
    std::string ownZone;
    std::map<std::string, Upstream> byAgent;
    std::map<std::string, Tombstone> tombstones;
    std::map<std::string, ZoneSummary> otherZones;
};

/// Digest of a record without its load. Thread safe.
std::uint64_t staticDigestOf(const AgentRecord &record);

} // namespace egret
