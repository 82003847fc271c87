#pragma once

#include "directory.h"
#include "generated/document.h"
#include "generated/settings.h"
#include "outlier.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// What a request needs of an upstream.
struct RouteQuery
{
    UpstreamKind kind{ UpstreamKind::engine };
    std::string service;
    std::string version;                 ///< weights version that must answer, empty for any
    std::string zone;                    ///< zone of the entry instance
    std::set<std::string> excluded;      ///< agents that have failed this request
    std::set<std::string> excludedZones; ///< zones in which several have failed it
    std::uint64_t prefix{ 0 };           ///< digest of the prompt's prefix, zero for none
    bool repeatable{ true };             ///< may run more than once
};

/// Why no upstream was chosen.
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
    Milliseconds indexAge{ 100ms };    ///< age at which the index is built anew
    Milliseconds reportHalfLife{ 1s }; ///< a load report loses half its weight in this time
    double affinityWorth{ 0.4 };       ///< share of an upstream's limit that a warm prefix is worth
    double spillBelow{ 0.75 };         ///< load of another zone's upstream up to which a spill pays
    std::uint32_t maxSpill{ 64 }; ///< requests in other zones at once while the own zone is in use
};

/// Chooses an upstream for each request: own zone first, then by prefix
/// affinity and two random choices on an estimate of the load, which counts
/// what was sent since the last report and trusts old reports less.
/// Deterministic for a given random source; not thread safe.
class Router
{
public:
    explicit Router(std::uint64_t seed, RouterOptions options = {}) : options(options), random(seed)
    {}

    /// The upstream to give the request to.
    RouteChoice choose(const RouteQuery &query, const Directory &directory,
                       const EnvironmentDocument &document, TimePoint now);

    /// Counts a request sent to an agent.
    void sent(const std::string &agent, bool isSpill = false);

    /// Counts the end of a request sent to an agent.
    void ended(const std::string &agent, bool isSpill = false);

    /// An agent refused a request for want of room: full until its next report.
    void refused(const std::string &agent);

    /// A request ended whole at an agent's upstream.
    void whole(const std::string &agent) { this->outliers.onSuccess(agent); }

    /// A request failed through the fault of an agent's upstream.
    /// It is ejected only while more than half of its kind remain.
    void failed(const AgentRecord &record, TimePoint now);

private:
    /// Own count of requests at one agent, set against its last report.
    struct Outstanding
    {
        std::uint32_t inFlight{ 0 };
        std::uint32_t sentSince{ 0 };
        std::uint32_t endedSince{ 0 };
        std::uint64_t incarnation{ 0 };
        std::uint64_t sequence{ 0 };
        bool full{ false };
    };

    /// An agent in the index, with its digest for rendezvous hashing.
    struct Member
    {
        std::string agent;
        std::uint64_t digest{ 0 };
    };

    /// A member that may take the request.
    struct Candidate
    {
        const Upstream *upstream{ nullptr };
        double load{ 0 }; ///< share of the limit in use if the request is added
        bool hasRoom{ false };
    };

    using Group = std::vector<Member>;
    using GroupKey = std::pair<UpstreamKind, std::string>;

    struct Search;

    void refresh(const Directory &directory, TimePoint now);
    std::optional<Candidate> best(Search &search, const Group &group);
    std::optional<Candidate> sampled(Search &search, const Group &group);
    std::optional<Candidate> byAffinity(Search &search, const Group &group);
    std::optional<Candidate> roundRobin(Search &search, const Group &group);
    std::optional<Candidate> leastReported(Search &search, const Group &group);
    std::optional<Candidate> scanned(Search &search, const Group &group);
    std::optional<Candidate> spill(Search &search, const std::map<std::string, Group> &zones,
                                   bool localInUse);
    std::optional<Candidate> candidate(Search &search, const std::string &agent);
    double estimate(const Upstream &upstream, TimePoint now);

    RouterOptions options;
    std::mt19937_64 random;
    std::map<std::string, Outstanding> outstanding;
    OutlierDetector outliers;
    std::map<GroupKey, std::map<std::string, Group>> index;
    std::size_t indexedSize{ 0 };
    TimePoint indexedAt;
    std::uint32_t spilled{ 0 };
    std::uint64_t turn{ 0 };
};

} // namespace egret
