#include "router.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Random samples taken before a group is scanned in full.
constexpr int kMaxSamples = 4;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

/// True when the document and the upstream's state allow the request.
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
    bool anyEligible{ false };
};

RouteChoice Router::choose(const RouteQuery &query, const UpstreamDirectory &directory,
                           const EnvironmentDocument &document, TimePoint now)
{
    this->refresh(directory, now);
    Search search{ query, directory, document, now };
    const auto &zones = this->index[{ query.kind, query.service }];
    // Step 1. Choose in the own zone while it has room.
    std::optional<Candidate> choice;
    const auto local = zones.find(query.zone);
    if (local != zones.end())
        choice = this->selectInGroup(search, local->second);
    const bool hasLocalEligible = search.anyEligible;
    // Step 2. Without room in the own zone, try the other zones.
    if (!choice || !choice->hasRoom) {
        if (const auto other = this->selectInOtherZones(search, zones, hasLocalEligible))
            choice = other;
    }
    // Step 3. With no eligible upstream left, use ejected ones for idempotent requests.
    const bool mayUseEjected = !choice && !search.anyEligible && query.idempotent;
    if (mayUseEjected) {
        search.allowEjected = true;
        if (local != zones.end())
            choice = this->selectInGroup(search, local->second);
        if (!choice)
            choice = this->selectInOtherZones(search, zones, false);
    }
    if (choice && choice->hasRoom)
        return { .outcome = RouteOutcome::chosen, .agent = choice->upstream->record };
    return { .outcome = search.anyEligible ? RouteOutcome::allBusy : RouteOutcome::noUpstream };
}

void Router::sent(const std::string &agent, bool isSpill)
{
    AgentCounts &own = this->countsByAgent[agent];
    ++own.inFlight;
    ++own.sentSinceReport;
    this->spilledInFlight += isSpill ? 1 : 0;
}

void Router::ended(const std::string &agent, bool isSpill)
{
    const auto found = this->countsByAgent.find(agent);
    if (found == this->countsByAgent.end() || found->second.inFlight == 0)
        return;
    --found->second.inFlight;
    ++found->second.endedSinceReport;
    found->second.full = false;
    if (isSpill && this->spilledInFlight > 0)
        --this->spilledInFlight;
}

void Router::refused(const std::string &agent)
{
    this->countsByAgent[agent].full = true;
}

void Router::failed(const AgentRecord &record, TimePoint now)
{
    std::size_t members = 0;
    std::size_t ejected = 0;
    for (const auto &[zone, group] : this->index[{ record.kind, record.service }]) {
        members += group.size();
        ejected += static_cast<std::size_t>(std::ranges::count_if(group, [&](const Member &member) {
            return this->outliers.isEjected(member.agent, now);
        }));
    }
    const bool mayEject = 2 * (ejected + 1) <= members;
    this->outliers.onFailure(record.agent, now, mayEject);
}

/// Rebuilds the index when it is stale or the number of upstreams has changed.
void Router::refresh(const UpstreamDirectory &directory, TimePoint now)
{
    const bool isFresh = now - this->indexedAt < this->options.indexMaxAge
                         && this->indexedSize == directory.upstreams().size();
    if (isFresh)
        return;
    this->index.clear();
    for (const auto &[agent, upstream] : directory.upstreams()) {
        const AgentRecord &record = upstream.record;
        this->index[{ record.kind, record.service }][record.zone].push_back(
                { .agent = agent, .digest = hashName(agent) });
    }
    this->indexedSize = directory.upstreams().size();
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
        return this->selectLeastReported(search, group);
    case RoutingPolicy::twoChoices:
        break;
    case RoutingPolicy::affinity:
        if (search.query.prefix != 0)
            return this->selectByAffinity(search, group);
        break;
    }
    auto choice = this->selectOfTwo(search, group);
    if (!choice || !choice->hasRoom)
        choice = this->selectLeastLoaded(search, group);
    return choice;
}

/// Samples two eligible members at random and returns the less loaded one.
std::optional<Router::Candidate> Router::selectOfTwo(Search &search, const Group &group)
{
    std::optional<Candidate> least;
    std::uniform_int_distribution<std::size_t> draw(0, group.size() - 1);
    int found = 0;
    for (int i = 0; i < kMaxSamples && found < 2; ++i) {
        const auto drawn = this->makeCandidate(search, group[draw(this->random)].agent);
        if (!drawn)
            continue;
        ++found;
        if (!least || drawn->load < least->load)
            least = drawn;
    }
    return least;
}

/// Returns the upstream that all entry instances prefer for the prefix, by
/// rendezvous hashing, unless another one is less loaded by more than the margin
/// that a cached prefix is worth.
std::optional<Router::Candidate> Router::selectByAffinity(Search &search, const Group &group)
{
    // Step 1. Find the two members with the highest ranks.
    const Member *preferred[2] = {};
    std::uint64_t ranks[2] = {};
    for (const Member &member : group) {
        const std::uint64_t rank = combineHashes(search.query.prefix, member.digest);
        const std::size_t place = rank >= ranks[0] ? 0 : 1;
        if (place == 1 && rank < ranks[1])
            continue;
        if (place == 0) {
            preferred[1] = preferred[0];
            ranks[1] = ranks[0];
        }
        preferred[place] = &member;
        ranks[place] = rank;
    }
    // Step 2. Compare each with the less loaded of two random members.
    auto other = this->selectOfTwo(search, group);
    double worth = this->options.affinityMargin;
    for (const Member *member : preferred) {
        const auto warm =
                member == nullptr ? std::nullopt : this->makeCandidate(search, member->agent);
        if (warm && warm->hasRoom && (!other || warm->load <= other->load + worth))
            return warm;
        worth /= 2;
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

/// Returns the least loaded member by the last load reports alone, like a plain load balancer.
std::optional<Router::Candidate> Router::selectLeastReported(Search &search, const Group &group)
{
    std::optional<Candidate> least;
    for (const Member &member : group) {
        auto next = this->makeCandidate(search, member.agent);
        if (!next || !next->hasRoom)
            continue;
        const AgentRecord &record = next->upstream->record;
        next->load =
                static_cast<double>(record.inFlight) / std::max<std::uint32_t>(1, record.limit);
        if (!least || next->load < least->load)
            least = next;
    }
    return least;
}

/// Scans the whole group for the least loaded member.
std::optional<Router::Candidate> Router::selectLeastLoaded(Search &search, const Group &group)
{
    std::optional<Candidate> least;
    for (const Member &member : group) {
        const auto next = this->makeCandidate(search, member.agent);
        if (next && (!least || next->load < least->load))
            least = next;
    }
    return least;
}

/// Selects in each other zone and returns the least loaded candidate. While the
/// own zone has eligible upstreams, spilled requests are bounded in number and need a
/// target below `maxSpillLoad`, because they use low-bandwidth links between zones.
std::optional<Router::Candidate>
Router::selectInOtherZones(Search &search, const std::map<std::string, Group> &zones,
                           bool hasLocalEligible)
{
    if (hasLocalEligible && this->spilledInFlight >= this->options.maxSpilledInFlight)
        return std::nullopt;
    std::optional<Candidate> least;
    for (const auto &[zone, group] : zones) {
        if (zone == search.query.zone)
            continue;
        const auto next = this->selectInGroup(search, group);
        if (next && next->hasRoom && (!least || next->load < least->load))
            least = next;
    }
    if (least && hasLocalEligible && least->load > this->options.maxSpillLoad)
        return std::nullopt;
    return least;
}

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
    search.anyEligible = true;
    const double limit = std::max<std::uint32_t>(1, upstream.record.limit);
    const double running = this->estimateInFlight(upstream, search.now);
    return Candidate{ .upstream = &upstream,
                      .load = (running + 1 + this->outliers.penalty(agent, search.now)) / limit,
                      .hasRoom = running + 1 <= limit };
}

/// Estimates the number of requests in flight at the upstream.
double Router::estimateInFlight(const Upstream &upstream, TimePoint now)
{
    const AgentRecord &record = upstream.record;
    AgentCounts &own = this->countsByAgent[record.agent];
    const bool isNewReport =
            own.sequence != record.sequence || own.incarnation != record.incarnation;
    if (isNewReport) {
        // A refusal counted before the first report remains in force.
        own.full = own.full && own.incarnation == 0;
        own.sequence = record.sequence;
        own.incarnation = record.incarnation;
        own.sentSinceReport = 0;
        own.endedSinceReport = 0;
    }
    const double mine = own.inFlight;
    if (own.full)
        return std::max<double>(mine, record.limit);
    const std::chrono::duration<double> age = now - upstream.reportedAt + record.loadAge;
    const std::chrono::duration<double> halfLife = this->options.reportHalfLife;
    const double reported =
            static_cast<double>(record.inFlight) + own.sentSinceReport - own.endedSinceReport;
    const double trust = std::exp2(-age / halfLife);
    return std::max(mine, mine + (reported - mine) * trust);
}

} // namespace egret
