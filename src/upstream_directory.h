#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// Last known record of one agent and of its upstream, the engine or service that the agent
/// announces.
struct Upstream
{
    AgentRecord record;
    TimePoint reportedAt;   ///< receipt time minus the age of the record at the sender
    bool isDirect{ false }; ///< the agent announces itself to this instance
    /// This instance is the agent's primary target: the entry instance that shares the agent's
    /// record with the other entry instances of the zone.
    bool isPrimaryTarget{ false };
    std::uint64_t staticDigest{ 0 };       ///< digest of the record without its load
    TimePoint changedAt;                   ///< last change of anything other than the load
    std::uint64_t lastSharedDigest{ 0 };   ///< `staticDigest` when takeDeltas() last returned it
    std::uint64_t lastSharedSequence{ 0 }; ///< `record.sequence` when takeDeltas() last returned it
};

/// Last report of another availability zone, without the sample of records.
struct ZoneSummary
{
    std::vector<UpstreamSummary> summaries;
    TimePoint reportedAt;
};

struct UpstreamDirectoryOptions
{
    Milliseconds silenceTimeout{ 3s }; ///< time without a report after which an agent is removed
    Milliseconds tombstoneRetention{ 60s };
    Milliseconds unreadyFirstPeriod{ 10s }; ///< time after a change during which an unready
                                            ///< record comes first in samples
};

/// The agents known to an entry instance: all agents of its own availability
/// zone, and a sample of the agents of every other zone. A received record
/// replaces the known record of the same agent only when the received record has a
/// higher incarnation, or the same incarnation and a higher sequence number. A
/// tombstone keeps both numbers for a while after an agent was removed: a delayed old
/// record must not restore the agent. A load delta carries only the load of a record and
/// identifies the record by its static digest, the digest of the record without the load.
/// Deterministic; not thread safe.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectoryOptions options = {}) : options(options) {}

    /// Applies an announcement that an agent sent directly to this instance; false when the record
    /// is outdated. `isPrimaryTarget`: this instance must share the record within the zone.
    bool applyAnnouncement(const AgentRecord &record, TimePoint now, bool isPrimaryTarget = false);

    /// Applies deltas from another entry instance. Returns the static digests of the load deltas
    /// for which this instance knows no record.
    std::vector<std::uint64_t> applyDeltas(const RecordDeltas &deltas, TimePoint now);

    /// Applies the report of another availability zone.
    void applyZoneReport(const ZoneReport &report, TimePoint now);

    /// Returns the changes since the last call, for agents whose primary target this
    /// instance is; changes of the load alone are included only with `includesLoads`.
    RecordDeltas takeDeltas(bool includesLoads, TimePoint now);

    /// Returns the known records that have one of the given digests.
    std::vector<AgedRecord> findRecords(const std::vector<std::uint64_t> &staticDigests,
                                        TimePoint now) const;

    /// Builds the report of the availability zone `zone` with a sample of at most
    /// `limit` records. The sample starts with records that became unready recently, up to a
    /// quarter of the limit. Ready records follow, one of each group in turn, the least
    /// loaded first; the records of a group have the same kind, service and served version.
    ZoneReport buildZoneReport(const std::string &zone, std::size_t limit, std::mt19937_64 &random,
                               TimePoint now) const;

    /// Removes agents and tombstones whose timeouts have passed.
    void expire(TimePoint now);

    /// Sets the zone of this instance, and the silence timeouts of the agents in this zone (`own`)
    /// and in the other zones.
    void setSilenceTimeouts(Milliseconds own, Milliseconds others, const std::string &ownZone);

    /// Number of agents whose announcements arrive directly at this instance.
    std::size_t directAgentCount() const;

    /// All known agents with their upstreams, by agent name.
    const std::map<std::string, Upstream> &upstreams() const { return this->byAgent; }

    /// Last reports of the other availability zones, by zone name.
    const std::map<std::string, ZoneSummary> &zones() const { return this->otherZones; }

private:
    /// Incarnation and sequence number of the last record of a removed agent.
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
