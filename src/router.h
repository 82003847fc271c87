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

/// Requirements of a request on its upstream. An upstream is an engine or a service process.
/// One agent runs beside each upstream; the agent's name identifies both.
struct RouteQuery
{
    UpstreamKind kind{ UpstreamKind::engine };
    std::string service;                 ///< service name, empty for an engine
    std::string version;                 ///< required weights version, empty for any
    std::string zone;                    ///< zone of the entry instance
    std::set<std::string> excluded;      ///< agents with a failed attempt of this request
    std::set<std::string> excludedZones; ///< zones with several failed attempts of this request
    std::uint64_t prefix{ 0 }; ///< digest of the prompt prefix, zero if the request has no prompt
    bool idempotent{ true };   ///< the request may run more than once
};

/// Result of a choice: an upstream was chosen, all eligible upstreams are at their limit,
/// or no upstream is eligible. An eligible upstream meets the requirements of the request,
/// is in service and is not ejected. If ejection leaves no eligible upstream, ejected
/// upstreams are eligible for idempotent requests.
enum class RouteOutcome : std::uint8_t { chosen, allBusy, noUpstream };

/// Result of routing one request; `agent` is set when an upstream was chosen.
struct RouteChoice
{
    RouteOutcome outcome{ RouteOutcome::noUpstream };
    AgentRecord agent;
};

struct RouterOptions
{
    RoutingPolicy policy{ RoutingPolicy::affinity };
    Milliseconds indexMaxAge{ 100ms }; ///< age at which the index of upstreams is rebuilt
    Milliseconds reportHalfLife{ 1s }; ///< half-life of the weight of a load report
    /// Difference in load, as a share of the limit on requests in flight, up to which the
    /// upstream preferred for a prefix is chosen over a less loaded upstream, because a
    /// cached prefix saves computation.
    double affinityMargin{ 0.4 };
    /// Highest load, as a share of the limit, at which an upstream in another zone receives
    /// requests while the zone of the entry instance is full.
    double maxSpillLoad{ 0.75 };
    /// Limit on requests in flight to other zones, applied while the zone of the entry
    /// instance has eligible upstreams.
    std::uint32_t maxSpilledInFlight{ 64 };
};

/// Chooses an upstream for each request. Upstreams in the own zone, the zone of the entry
/// instance, come first. Within a zone the routing policy decides, by default prefix
/// affinity and the power of two choices. Load is estimated from the last load report, whose weight
/// decays with its age, and from the requests that this instance has sent and completed since that
/// report. Deterministic for a given seed; not thread safe.
class Router
{
public:
    explicit Router(std::uint64_t seed, RouterOptions options = {}) : options(options), random(seed)
    {}

    /// Chooses the upstream for a request; `document` lists the upstreams and
    /// zones taken out of service.
    RouteChoice choose(const RouteQuery &query, const UpstreamDirectory &directory,
                       const EnvironmentDocument &document, TimePoint now);

    /// Counts a request sent to an agent. `isSpill`: the agent is in another zone, so the request
    /// is spilled.
    void sent(const std::string &agent, bool isSpill = false);

    /// Counts the end of a request sent to an agent.
    void ended(const std::string &agent, bool isSpill = false);

    /// Treats an agent that refused a request as full until its next load report or
    /// until a request of this instance ends at that agent.
    void refused(const std::string &agent);

    /// Counts a complete answer from an agent's upstream.
    void succeeded(const std::string &agent) { this->outliers.onSuccess(agent); }

    /// Counts a failure caused by an agent's upstream. The failure ejects the upstream only
    /// if at least half of the upstreams of its service remain in use.
    void failed(const AgentRecord &record, TimePoint now);

private:
    /// Requests of this instance at one agent, counted in total and since the agent's last
    /// load report. `incarnation` and `sequence` identify that report.
    struct AgentCounts
    {
        std::uint32_t inFlight{ 0 };
        std::uint32_t sentSinceReport{ 0 };
        std::uint32_t endedSinceReport{ 0 };
        std::uint64_t incarnation{ 0 };
        std::uint64_t sequence{ 0 };
        bool isFull{ false }; ///< set by a refusal, see `refused`
    };

    /// An agent in the index; `digest` hashes its name for rendezvous hashing.
    struct Member
    {
        std::string agent;
        std::uint64_t digest{ 0 };
    };

    /// A member that is eligible for the request.
    struct Candidate
    {
        const Upstream *upstream{ nullptr };
        double load{ 0 }; ///< estimated share of the limit in use, this request included
        bool hasRoom{ false };
    };

    /// The agents of one zone whose upstreams have the same kind and service.
    using Group = std::vector<Member>;
    /// Kind and service of the upstreams, see `RouteQuery`.
    using GroupKey = std::pair<UpstreamKind, std::string>;

    struct Search;

    void refreshIndex(const UpstreamDirectory &directory, TimePoint now);
    std::optional<Candidate> selectInGroup(Search &search, const Group &group);
    std::optional<Candidate> selectByTwoChoices(Search &search, const Group &group);
    std::optional<Candidate> selectByAffinity(Search &search, const Group &group);
    std::optional<Candidate> selectRoundRobin(Search &search, const Group &group);
    std::optional<Candidate> selectLeastReportedLoad(Search &search, const Group &group);
    std::optional<Candidate> selectLeastLoaded(Search &search, const Group &group);
    std::optional<Candidate> selectInOtherZones(Search &search,
                                                const std::map<std::string, Group> &zones,
                                                bool hasEligibleLocalUpstream);
    std::optional<Candidate> makeCandidate(Search &search, const std::string &agent);
    double estimateInFlight(const Upstream &upstream, TimePoint now);

    RouterOptions options;
    std::mt19937_64 random;
    std::map<std::string, AgentCounts> countsByAgent;
    OutlierDetector outliers;
    std::map<GroupKey, std::map<std::string, Group>> index; ///< groups by zone
    std::size_t indexedUpstreamCount{ 0 };
    TimePoint indexedAt;
    std::uint32_t spilledInFlight{ 0 };
    std::uint64_t roundRobinNext{ 0 };
};

} // namespace egret
