#include "upstream_directory.h"

#include "codec_inl.h"

#include <algorithm>
#include <tuple>

namespace egret {

namespace {

/// Recently unready records at the start of a sample take at most 1 / kUnreadyShareDivisor of the
/// sample limit.
constexpr std::size_t kUnreadyShareDivisor = 4;

AgedRecord agedRecord(const Upstream &upstream, TimePoint now)
{
    return { .record = upstream.record,
             .age = std::chrono::duration_cast<Milliseconds>(now - upstream.reportedAt) };
}

auto groupKeyOf(const AgentRecord &record)
{
    return std::tie(record.kind, record.service, record.servedVersion);
}

double loadOf(const AgentRecord &record)
{
    return static_cast<double>(record.inFlight) / std::max<double>(1, record.limit);
}

UpstreamSummary &summaryFor(std::vector<UpstreamSummary> &summaries, const AgentRecord &record)
{
    for (UpstreamSummary &summary : summaries) {
        if (std::tie(summary.kind, summary.service, summary.version) == groupKeyOf(record))
            return summary;
    }
    summaries.push_back(
            { .kind = record.kind, .service = record.service, .version = record.servedVersion });
    return summaries.back();
}

/// Orders ready records for a sample: one record of each group in turn, the least loaded records
/// of a group first, and records of equal load in random order.
std::vector<const Upstream *> sampleOrder(std::vector<const Upstream *> ready,
                                          std::mt19937_64 &random)
{
    std::ranges::shuffle(ready, random);
    std::ranges::stable_sort(ready, [](const Upstream *a, const Upstream *b) {
        return loadOf(a->record) < loadOf(b->record);
    });
    std::map<std::tuple<UpstreamKind, std::string, std::string>, std::size_t> nextTurns;
    std::vector<std::pair<std::size_t, const Upstream *>> turns;
    for (const Upstream *upstream : ready) {
        const AgentRecord &record = upstream->record;
        turns.emplace_back(nextTurns[{ record.kind, record.service, record.servedVersion }]++,
                           upstream);
    }
    std::ranges::stable_sort(turns, {}, [](const auto &turn) { return turn.first; });
    std::vector<const Upstream *> orderedUpstreams;
    orderedUpstreams.reserve(turns.size());
    for (const auto &[turn, upstream] : turns)
        orderedUpstreams.push_back(upstream);
    return orderedUpstreams;
}

} // namespace

std::uint64_t staticDigestOf(const AgentRecord &record)
{
    AgentRecord withoutLoad = record;
    withoutLoad.sequence = 0;
    withoutLoad.inFlight = 0;
    withoutLoad.loadAge = Milliseconds{ 0 };
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : encode(withoutLoad))
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

bool UpstreamDirectory::applyAnnouncement(const AgentRecord &record, TimePoint now,
                                          bool isPrimaryTarget)
{
    Upstream *upstream = this->mergeRecord(record, now, now);
    if (upstream == nullptr)
        return false;
    upstream->isDirect = true;
    upstream->isPrimaryTarget = isPrimaryTarget;
    return true;
}

std::vector<std::uint64_t> UpstreamDirectory::applyDeltas(const RecordDeltas &deltas, TimePoint now)
{
    for (const AgedRecord &aged : deltas.records)
        this->mergeRecord(aged.record, now - aged.age, now);
    std::map<std::uint64_t, std::string> agentByDigest;
    for (const auto &[agent, upstream] : this->byAgent)
        agentByDigest[upstream.staticDigest] = agent;
    std::vector<std::uint64_t> unknownDigests;
    for (const LoadDelta &load : deltas.loads) {
        const auto found = agentByDigest.find(load.staticDigest);
        if (found == agentByDigest.end()) {
            unknownDigests.push_back(load.staticDigest);
            continue;
        }
        Upstream &upstream = this->byAgent[found->second];
        if (load.sequence <= upstream.record.sequence)
            continue;
        upstream.record.sequence = load.sequence;
        upstream.record.inFlight = load.inFlight;
        upstream.reportedAt = std::max(upstream.reportedAt, now - Milliseconds(load.age));
    }
    return unknownDigests;
}

void UpstreamDirectory::applyZoneReport(const ZoneReport &report, TimePoint now)
{
    if (report.zone == this->ownZone)
        return;
    this->otherZones[report.zone] = ZoneSummary{ .summaries = report.summaries, .reportedAt = now };
    for (const AgedRecord &aged : report.sample) {
        if (aged.record.zone == report.zone)
            this->mergeRecord(aged.record, now - aged.age, now);
    }
}

RecordDeltas UpstreamDirectory::takeDeltas(bool includesLoads, TimePoint now)
{
    RecordDeltas out;
    for (auto &[agent, upstream] : this->byAgent) {
        if (!upstream.isPrimaryTarget)
            continue;
        const bool hasChanged = upstream.lastSharedDigest != upstream.staticDigest;
        const bool hasLoad =
                includesLoads && upstream.lastSharedSequence != upstream.record.sequence;
        if (!hasChanged && !hasLoad)
            continue;
        upstream.lastSharedSequence = upstream.record.sequence;
        if (hasChanged) {
            upstream.lastSharedDigest = upstream.staticDigest;
            out.records.push_back(agedRecord(upstream, now));
            continue;
        }
        const auto age = agedRecord(upstream, now).age;
        out.loads.push_back({ .staticDigest = upstream.staticDigest,
                              .sequence = upstream.record.sequence,
                              .inFlight = upstream.record.inFlight,
                              .age = static_cast<std::uint32_t>(age.count()) });
    }
    return out;
}

std::vector<AgedRecord>
UpstreamDirectory::findRecords(const std::vector<std::uint64_t> &staticDigests, TimePoint now) const
{
    std::vector<AgedRecord> out;
    for (const auto &[agent, upstream] : this->byAgent) {
        if (std::ranges::find(staticDigests, upstream.staticDigest) != staticDigests.end())
            out.push_back(agedRecord(upstream, now));
    }
    return out;
}

ZoneReport UpstreamDirectory::buildZoneReport(const std::string &zone, std::size_t limit,
                                              std::mt19937_64 &random, TimePoint now) const
{
    // Step 1. Count the upstreams of each group in the zone, and separate ready, recently unready
    // and other upstreams.
    ZoneReport out{ .zone = zone };
    std::vector<const Upstream *> ready;
    std::vector<const Upstream *> recentlyUnready;
    std::vector<const Upstream *> otherUnready;
    for (const auto &[agent, upstream] : this->byAgent) {
        const AgentRecord &record = upstream.record;
        if (record.zone != zone)
            continue;
        UpstreamSummary &summary = summaryFor(out.summaries, record);
        if (record.state == UpstreamState::ready) {
            ++summary.ready;
            summary.inFlight += record.inFlight;
            summary.limit += record.limit;
            ready.push_back(&upstream);
            continue;
        }
        ++summary.other;
        const bool isRecent = now - upstream.changedAt < this->options.unreadyFirstPeriod;
        (isRecent ? recentlyUnready : otherUnready).push_back(&upstream);
    }
    // Step 2. Build the sample: a bounded number of recently unready records, then the ready
    // records, then the remaining unready records, up to the limit.
    const std::size_t prioritizedCount =
            std::min(recentlyUnready.size(), limit / kUnreadyShareDivisor);
    std::vector<const Upstream *> orderedUpstreams(
            recentlyUnready.begin(),
            recentlyUnready.begin() + static_cast<std::ptrdiff_t>(prioritizedCount));
    const auto orderedReady = sampleOrder(std::move(ready), random);
    orderedUpstreams.insert(orderedUpstreams.end(), orderedReady.begin(), orderedReady.end());
    orderedUpstreams.insert(orderedUpstreams.end(),
                            recentlyUnready.begin() + static_cast<std::ptrdiff_t>(prioritizedCount),
                            recentlyUnready.end());
    orderedUpstreams.insert(orderedUpstreams.end(), otherUnready.begin(), otherUnready.end());
    orderedUpstreams.resize(std::min(orderedUpstreams.size(), limit));
    for (const Upstream *upstream : orderedUpstreams)
        out.sample.push_back(agedRecord(*upstream, now));
    return out;
}

void UpstreamDirectory::expire(TimePoint now)
{
    std::erase_if(this->byAgent, [&](const auto &entry) {
        const auto &[agent, upstream] = entry;
        if (now - upstream.reportedAt < this->silenceTimeoutOf(upstream))
            return false;
        this->tombstones[agent] = Tombstone{ .incarnation = upstream.record.incarnation,
                                             .sequence = upstream.record.sequence,
                                             .removedAt = now };
        return true;
    });
    std::erase_if(this->tombstones, [&](const auto &entry) {
        return now - entry.second.removedAt >= this->options.tombstoneRetention;
    });
}

void UpstreamDirectory::setSilenceTimeouts(Milliseconds own, Milliseconds others,
                                           const std::string &ownZone)
{
    this->options.silenceTimeout = own;
    this->otherZonesTimeout = others;
    this->ownZone = ownZone;
}

std::size_t UpstreamDirectory::directAgentCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->byAgent, [](const auto &entry) { return entry.second.isDirect; }));
}

Milliseconds UpstreamDirectory::silenceTimeoutOf(const Upstream &upstream) const
{
    const bool isOtherZone = !this->ownZone.empty() && upstream.record.zone != this->ownZone;
    return isOtherZone ? this->otherZonesTimeout : this->options.silenceTimeout;
}

/// Stores a record that the agent reported at `reportedAt`. Returns the stored upstream, or null
/// when the record is outdated or older than the silence timeout.
Upstream *UpstreamDirectory::mergeRecord(const AgentRecord &record, TimePoint reportedAt,
                                         TimePoint now)
{
    const auto rank = std::tie(record.incarnation, record.sequence);
    const auto tombstone = this->tombstones.find(record.agent);
    if (tombstone != this->tombstones.end()) {
        const Tombstone &lastRank = tombstone->second;
        if (rank <= std::tie(lastRank.incarnation, lastRank.sequence))
            return nullptr;
    }
    const auto found = this->byAgent.find(record.agent);
    if (found != this->byAgent.end()) {
        const AgentRecord &knownRecord = found->second.record;
        if (rank <= std::tie(knownRecord.incarnation, knownRecord.sequence))
            return nullptr;
    }
    const std::uint64_t staticDigest = staticDigestOf(record);
    Upstream &upstream = this->byAgent[record.agent];
    if (upstream.staticDigest != staticDigest)
        upstream.changedAt = now;
    upstream.staticDigest = staticDigest;
    upstream.record = record;
    upstream.reportedAt = std::max(upstream.reportedAt, reportedAt);
    if (now - upstream.reportedAt >= this->silenceTimeoutOf(upstream)) {
        this->byAgent.erase(record.agent);
        return nullptr;
    }
    return &upstream;
}

} // namespace egret
