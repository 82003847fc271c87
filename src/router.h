#pragma once

#include "generated/document.h"
#include "generated/settings.h"
#include "outlier.h"
#include "upstream_directory.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// Requirements of one request on its upstream.
struct RouteQuery
{
    UpstreamKind kind{ UpstreamKind::engine };
    std::string service;
    std::string version;                 ///< required weights version, empty for any
    std::string zone;                    ///< zone of the entry instance
    std::set<std::string> excluded;      ///< agents at which an attempt has failed
    std::set<std::string> excludedZones; ///< zones in which several attempts have failed
    std::uint64_t prefix{ 0 };           ///< digest of the prompt prefix, zero for none
    bool idempotent{ true };             ///< may run more than once
};

/// Result of a choice: an upstream, all eligible ones full, or none eligible.
enum class RouteOutcome : std::uint8_t { chosen, allBusy, noUpstream };

/// The upstream for one request.
struct RouteChoice
{
    RouteOutcome outcome{ RouteOutcome::noUpstream };
    AgentRecord agent;
};

struct RouterOptions
{
    RoutingPolicy policy{ RoutingPolicy::affinity };
    Milliseconds indexMaxAge{ 100ms }; ///< age at which the index is rebuilt
    Milliseconds reportHalfLife{ 1s }; ///< half-life of a load report's weight
    /// Extra load, as a share of the limit, accepted for a cached prefix.
    double affinityMargin{ 0.4 };
    /// Highest load at which another zone's upstream is chosen over a full own zone.
    double maxSpillLoad{ 0.75 };
    /// Limit on requests in flight in other zones while the own zone has eligible upstreams.
    std::uint32_t maxSpilledInFlight{ 64 };
};

/// Chooses an upstream for each request: own zone first, then by prefix
/// affinity and the power of two choices on estimated load. The estimate adds
/// the requests sent since the last load report, whose weight decays with age.
/// Deterministic for a given seed; not thread safe.
class Router
{
public:
    explicit Router(std::uint64_t seed, RouterOptions options = {}) : options(options), random(seed)
    {}

    /// Chooses the upstream for a request.
    RouteChoice choose(const RouteQuery &query, const UpstreamDirectory &directory,
                       const EnvironmentDocument &document, TimePoint now);

    /// Counts a request sent to an agent; `isSpill` marks an agent of another zone.
    void sent(const std::string &agent, bool isSpill = false);

    /// Counts the end of a request sent to an agent.
    void ended(const std::string &agent, bool isSpill = false);

    /// Treats an agent that refused a request as full until its next load report or
    /// until a request of this instance ends there.
    void refused(const std::string &agent);

    /// Counts a complete answer of an agent's upstream.
    void succeeded(const std::string &agent) { this->outliers.onSuccess(agent); }

    /// Counts a failure caused by an agent's upstream. The upstream is ejected
    /// only while at least half of its service's upstreams remain.
    void failed(const AgentRecord &record, TimePoint now);

private:
    /// This instance's request counts for one agent, compared with its last report.
    struct AgentCounts
    {
        std::uint32_t inFlight{ 0 };
        std::uint32_t sentSinceReport{ 0 };
        std::uint32_t endedSinceReport{ 0 };
        std::uint64_t incarnation{ 0 };
        std::uint64_t sequence{ 0 };
        bool full{ false };
    };

    /// An agent in the index, with the hash of its name for rendezvous hashing.
    struct Member
    {
        std::string agent;
        std::uint64_t digest{ 0 };
    };

    /// A member that is eligible for the request.
    struct Candidate
    {
        const Upstream *upstream{ nullptr };
        double load{ 0 }; ///< share of the limit in use with the request included
        bool hasRoom{ false };
    };

    using Group = std::vector<Member>;
    using GroupKey = std::pair<UpstreamKind, std::string>;

    struct Search;

    void refresh(const UpstreamDirectory &directory, TimePoint now);
    std::optional<Candidate> selectInGroup(Search &search, const Group &group);
    std::optional<Candidate> selectOfTwo(Search &search, const Group &group);
    std::optional<Candidate> selectByAffinity(Search &search, const Group &group);
    std::optional<Candidate> selectRoundRobin(Search &search, const Group &group);
    std::optional<Candidate> selectLeastReported(Search &search, const Group &group);
    std::optional<Candidate> selectLeastLoaded(Search &search, const Group &group);
    std::optional<Candidate> selectInOtherZones(Search &search,
                                                const std::map<std::string, Group> &zones,
                                                bool hasLocalEligible);
    std::optional<Candidate> makeCandidate(Search &search, const std::string &agent);
    double estimateInFlight(const Upstream &upstream, TimePoint now);

    RouterOptions options;
    std::mt19937_64 random;
    std::map<std::string, AgentCounts> countsByAgent;
    OutlierDetector outliers;
    std::map<GroupKey, std::map<std::string, Group>> index;
    std::size_t indexedSize{ 0 };
    TimePoint indexedAt;
    std::uint32_t spilledInFlight{ 0 };
    std::uint64_t roundRobinNext{ 0 };
};

} // namespace egret
