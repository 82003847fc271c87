#include "router.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Limit on random draws in the search for two eligible members of a group.
constexpr int kMaxSamples = 4;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

/// True when the upstream meets the requirements of the request and neither the upstream
/// nor its zone has been taken out of service.
bool isEligible(const AgentRecord &record, const RouteQuery &query,
                const EnvironmentDocument &document)
{
    return record.kind == query.kind && record.service == query.service
           && record.state == UpstreamState::ready
           && (query.version.empty() || record.servedVersion == query.version)
           && !query.excluded.contains(record.agent) && !query.excludedZones.contains(record.zone)
           && !contains(document.zonesOut, record.zone)
           && !contains(document.upstreamsOut, record.agent);
}

/// Returns the FNV-1a hash of a name, the same at every entry instance.
std::uint64_t hashName(const std::string &name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

/// Combines two hashes into a rank for rendezvous hashing (finaliser of SplitMix64).
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t value = left ^ (right * 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

/// Inputs and intermediate results of one choice.
struct Router::Search
{
    const RouteQuery &query;
    const UpstreamDirectory &directory;
    const EnvironmentDocument &document;
    TimePoint now;
    bool allowEjected{ false };
    bool hasEligibleUpstream{ false }; ///< an eligible upstream was found during the search
};

RouteChoice Router::choose(const RouteQuery &query, const UpstreamDirectory &directory,
                           const EnvironmentDocument &document, TimePoint now)
{
    this->refreshIndex(directory, now);
    Search search{ query, directory, document, now };
    const auto &zones = this->index[{ query.kind, query.service }];
    // Step 1. Choose in the own zone while it has room.
    std::optional<Candidate> choice;
    const auto local = zones.find(query.zone);
    if (local != zones.end())
        choice = this->selectInGroup(search, local->second);
    const bool hasEligibleLocalUpstream = search.hasEligibleUpstream;
    // Step 2. Try the other zones when the own zone has no room.
    if (!choice || !choice->hasRoom) {
        if (const auto other = this->selectInOtherZones(search, zones, hasEligibleLocalUpstream))
            choice = other;
    }
    // Step 3. When no upstream is eligible, try ejected upstreams for an idempotent request.
    const bool mayUseEjected = !choice && !search.hasEligibleUpstream && query.idempotent;
    if (mayUseEjected) {
        search.allowEjected = true;
        if (local != zones.end())
            choice = this->selectInGroup(search, local->second);
        if (!choice)
            choice = this->selectInOtherZones(search, zones, false);
    }
    if (choice && choice->hasRoom)
        return { .outcome = RouteOutcome::chosen, .agent = choice->upstream->record };
    return { .outcome = search.hasEligibleUpstream ? RouteOutcome::allBusy
                                                   : RouteOutcome::noUpstream };
}

void Router::sent(const std::string &agent, bool isSpill)
{
    AgentCounts &counts = this->countsByAgent[agent];
    ++counts.inFlight;
    ++counts.sentSinceReport;
    this->spilledInFlight += isSpill ? 1 : 0;
}

void Router::ended(const std::string &agent, bool isSpill)
{
    const auto found = this->countsByAgent.find(agent);
    if (found == this->countsByAgent.end() || found->second.inFlight == 0)
        return;
    --found->second.inFlight;
    ++found->second.endedSinceReport;
    found->second.isFull = false;
    if (isSpill && this->spilledInFlight > 0)
        --this->spilledInFlight;
}

void Router::refused(const std::string &agent)
{
    this->countsByAgent[agent].isFull = true;
}

void Router::failed(const AgentRecord &record, TimePoint now)
{
    std::size_t memberCount = 0;
    std::size_t ejectedCount = 0;
    for (const auto &[zone, group] : this->index[{ record.kind, record.service }]) {
        memberCount += group.size();
        ejectedCount +=
                static_cast<std::size_t>(std::ranges::count_if(group, [&](const Member &member) {
                    return this->outliers.isEjected(member.agent, now);
                }));
    }
    const bool mayEject = 2 * (ejectedCount + 1) <= memberCount;
    this->outliers.onFailure(record.agent, now, mayEject);
}

/// Rebuilds the index when it is stale or the number of upstreams has changed.
void Router::refreshIndex(const UpstreamDirectory &directory, TimePoint now)
{
    const bool isFresh = now - this->indexedAt < this->options.indexMaxAge
                         && this->indexedUpstreamCount == directory.upstreams().size();
    if (isFresh)
        return;
    this->index.clear();
    for (const auto &[agent, upstream] : directory.upstreams()) {
        const AgentRecord &record = upstream.record;
        this->index[{ record.kind, record.service }][record.zone].push_back(
                { .agent = agent, .digest = hashName(agent) });
    }
    this->indexedUpstreamCount = directory.upstreams().size();
    this->indexedAt = now;
    std::erase_if(this->countsByAgent, [&](const auto &entry) {
        return entry.second.inFlight == 0 && !directory.upstreams().contains(entry.first);
    });
    this->outliers.expire(now);
}

std::optional<Router::Candidate> Router::selectInGroup(Search &search, const Group &group)
{
    switch (this->options.policy) {
    case RoutingPolicy::roundRobin:
        return this->selectRoundRobin(search, group);
    case RoutingPolicy::leastLoaded:
        return this->selectLeastReportedLoad(search, group);
    case RoutingPolicy::twoChoices:
        break;
    case RoutingPolicy::affinity:
        if (search.query.prefix != 0)
            return this->selectByAffinity(search, group);
        break;
    }
    auto choice = this->selectByTwoChoices(search, group);
    if (!choice || !choice->hasRoom)
        choice = this->selectLeastLoaded(search, group);
    return choice;
}

/// Samples two eligible members at random and returns the less loaded one.
std::optional<Router::Candidate> Router::selectByTwoChoices(Search &search, const Group &group)
{
    std::optional<Candidate> best;
    std::uniform_int_distribution<std::size_t> memberIndex(0, group.size() - 1);
    int found = 0;
    for (int i = 0; i < kMaxSamples && found < 2; ++i) {
        const auto candidate = this->makeCandidate(search, group[memberIndex(this->random)].agent);
        if (!candidate)
            continue;
        ++found;
        if (!best || candidate->load < best->load)
            best = candidate;
    }
    return best;
}

/// Prefers the two upstreams that rendezvous hashing ranks highest for the prefix; the ranks
/// are the same at every entry instance. The first-ranked upstream is chosen unless another
/// upstream is less loaded by more than `affinityMargin`, the second-ranked upstream unless
/// by more than half of `affinityMargin`. Up to the margin, the cached prefix saves more than
/// the lower load.
std::optional<Router::Candidate> Router::selectByAffinity(Search &search, const Group &group)
{
    // Step 1. Find the two members with the highest ranks.
    const Member *preferred[2] = {};
    std::uint64_t ranks[2] = {};
    for (const Member &member : group) {
        const std::uint64_t rank = combineHashes(search.query.prefix, member.digest);
        const std::size_t rankIndex = rank >= ranks[0] ? 0 : 1;
        if (rankIndex == 1 && rank < ranks[1])
            continue;
        if (rankIndex == 0) {
            preferred[1] = preferred[0];
            ranks[1] = ranks[0];
        }
        preferred[rankIndex] = &member;
        ranks[rankIndex] = rank;
    }
    // Step 2. Compare each preferred member with the less loaded of two random members.
    auto other = this->selectByTwoChoices(search, group);
    double margin = this->options.affinityMargin;
    for (const Member *member : preferred) {
        const auto candidate =
                member == nullptr ? std::nullopt : this->makeCandidate(search, member->agent);
        if (candidate && candidate->hasRoom && (!other || candidate->load <= other->load + margin))
            return candidate;
        margin /= 2;
    }
    if (!other || !other->hasRoom)
        other = this->selectLeastLoaded(search, group);
    return other;
}

std::optional<Router::Candidate> Router::selectRoundRobin(Search &search, const Group &group)
{
    for (std::size_t i = 0; i < group.size(); ++i) {
        const auto next =
                this->makeCandidate(search, group[this->roundRobinNext++ % group.size()].agent);
        if (next && next->hasRoom)
            return next;
    }
    return std::nullopt;
}

/// Returns the member whose last load report shows the least load; requests sent since
/// the report are ignored.
std::optional<Router::Candidate> Router::selectLeastReportedLoad(Search &search, const Group &group)
{
    std::optional<Candidate> best;
    for (const Member &member : group) {
        auto next = this->makeCandidate(search, member.agent);
        if (!next || !next->hasRoom)
            continue;
        const AgentRecord &record = next->upstream->record;
        next->load =
                static_cast<double>(record.inFlight) / std::max<std::uint32_t>(1, record.limit);
        if (!best || next->load < best->load)
            best = next;
    }
    return best;
}

/// Scans the whole group for the least loaded member.
std::optional<Router::Candidate> Router::selectLeastLoaded(Search &search, const Group &group)
{
    std::optional<Candidate> best;
    for (const Member &member : group) {
        const auto next = this->makeCandidate(search, member.agent);
        if (next && (!best || next->load < best->load))
            best = next;
    }
    return best;
}

/// Selects an upstream in each other zone and returns the least loaded of them. While the
/// own zone has eligible upstreams, the number of spilled requests is limited and the load
/// of their upstream must not exceed `maxSpillLoad`, because links between zones have low
/// bandwidth.
std::optional<Router::Candidate>
Router::selectInOtherZones(Search &search, const std::map<std::string, Group> &zones,
                           bool hasEligibleLocalUpstream)
{
    if (hasEligibleLocalUpstream && this->spilledInFlight >= this->options.maxSpilledInFlight)
        return std::nullopt;
    std::optional<Candidate> best;
    for (const auto &[zone, group] : zones) {
        if (zone == search.query.zone)
            continue;
        const auto next = this->selectInGroup(search, group);
        if (next && next->hasRoom && (!best || next->load < best->load))
            best = next;
    }
    if (best && hasEligibleLocalUpstream && best->load > this->options.maxSpillLoad)
        return std::nullopt;
    return best;
}

/// Returns the upstream of an agent as a candidate; empty if the upstream is not eligible.
std::optional<Router::Candidate> Router::makeCandidate(Search &search, const std::string &agent)
{
    const auto found = search.directory.upstreams().find(agent);
    if (found == search.directory.upstreams().end())
        return std::nullopt;
    const Upstream &upstream = found->second;
    if (!isEligible(upstream.record, search.query, search.document))
        return std::nullopt;
    if (!search.allowEjected && this->outliers.isEjected(agent, search.now))
        return std::nullopt;
    search.hasEligibleUpstream = true;
    const double limit = std::max<std::uint32_t>(1, upstream.record.limit);
    const double inFlightEstimate = this->estimateInFlight(upstream, search.now);
    return Candidate{ .upstream = &upstream,
                      .load = (inFlightEstimate + 1 + this->outliers.penalty(agent, search.now))
                              / limit,
                      .hasRoom = inFlightEstimate + 1 <= limit };
}

/// Estimates the number of requests in flight at the upstream, never below the number
/// that this instance has in flight there.
double Router::estimateInFlight(const Upstream &upstream, TimePoint now)
{
    const AgentRecord &record = upstream.record;
    AgentCounts &counts = this->countsByAgent[record.agent];
    const bool isNewReport =
            counts.sequence != record.sequence || counts.incarnation != record.incarnation;
    if (isNewReport) {
        // The first report that this router sees does not clear an earlier refusal.
        counts.isFull = counts.isFull && counts.incarnation == 0;
        counts.sequence = record.sequence;
        counts.incarnation = record.incarnation;
        counts.sentSinceReport = 0;
        counts.endedSinceReport = 0;
    }
    const double ownInFlight = counts.inFlight;
    if (counts.isFull)
        return std::max<double>(ownInFlight, record.limit);
    const std::chrono::duration<double> age = now - upstream.reportedAt + record.loadAge;
    const std::chrono::duration<double> halfLife = this->options.reportHalfLife;
    const double reportedInFlight =
            static_cast<double>(record.inFlight) + counts.sentSinceReport - counts.endedSinceReport;
    const double reportWeight = std::exp2(-age / halfLife);
    return std::max(ownInFlight, ownInFlight + (reportedInFlight - ownInFlight) * reportWeight);
}

} // namespace egret
