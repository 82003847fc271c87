#pragma once

#include "outlier.h"
#include "serving_plan.h"
#include "version_deadlines.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret {

struct SelectorOptions
{
    std::string zone;                           ///< own availability zone
    std::map<std::string, std::string> regions; ///< by availability zone
    double connectionShare{ 0.9 }; ///< share of an upstream's connections that all gateways use
    Milliseconds loadNoticeMaxAge{ 1500ms }; ///< age from which a load notice is ignored
    /// Cost of sending to another zone. More than the network round trip, because links
    /// between regions have little bandwidth and load notices from there are older.
    Milliseconds crossZonePenalty{ 50ms };
    Milliseconds plainCrossZonePenalty{ 6ms }; ///< for plain services: the network delay alone
    Milliseconds costSpread{ 40ms };           ///< smaller differences of cost count little
};

/// State of the network path to an engine's machine, taken from the link to its stager.
struct UpstreamPath
{
    bool hasLink{ true };    ///< the link to the stager is established
    Duration roundTrip{ 0 }; ///< of a message; rises on a path with packet loss or little bandwidth
};

/// Request for which an upstream is selected.
struct SelectionQuery
{
    std::string service;
    const PlanService *plan{ nullptr }; ///< settings of `service`
    double promptTokens{ 0 };
    const std::vector<std::string> *routeRegions{ nullptr };    ///< of the route; empty: all
    const std::vector<std::string> *customerRegions{ nullptr }; ///< of the customer; empty: all
    std::set<std::string> excluded;  ///< upstreams at which the request failed
    VersionRequirement version;      ///< versions of the weights that are allowed
    std::uint64_t exactVersion{ 0 }; ///< only version of the weights that is allowed, 0 for any
    std::optional<Milliseconds> firstTokenLimit; ///< limit of the predicted time to the first token
    bool mayRunTwice{ true };
};

/// Reason for which no upstream is selected.
enum class NoUpstreamReason : std::uint8_t {
    none,
    unknown, ///< no known upstream of the service may accept the request
    busy,    ///< no upstream can return the first token in time
    failing, ///< all allowed upstreams failed, refused or can't start the request now
};

/// Name of a reason in log fields.
const char *noUpstreamReasonName(NoUpstreamReason problem);

struct Selection
{
    std::string upstream; ///< empty when there is none
    Endpoint endpoint;
    std::uint64_t version{ 0 };
    std::uint32_t maxConnections{ 0 }; ///< connections that this gateway may open to the upstream
    Milliseconds expectedFirstToken{ 0 }; ///< predicted time to the first token
    double load{ 0 };                     ///< estimated number of requests at the upstream
    Milliseconds noticeAge{ 0 };          ///< age of the load notice behind `load`
    NoUpstreamReason problem{ NoUpstreamReason::none };
    Milliseconds retryAfter{ 0 }; ///< delay after which an upstream may be available
};

/// Selects the upstream of a request: one of the service that the route, customer,
/// zones and weights version allow. Upstreams are drawn at random, weighted by
/// predicted cost, so that gateways with the same load notices don't all select the
/// same upstream. Handles loads at which engines are full most of the time, and the
/// recovery of a single engine while all others accept no requests.
/// Deterministic given the seed; not thread safe.
class UpstreamSelector
{
public:
    UpstreamSelector(SelectorOptions options, std::uint64_t seed);

    /// Adds, updates or removes an upstream.
    void onRecord(const UpstreamRecord &record, TimePoint now);

    /// Applies a load notice from the stager on an engine's machine.
    void onLoadNotice(const LoadNotice &notice, TimePoint now);

    /// Sets the state of the network path to an engine's machine.
    void setPath(const std::string &endpoint, const UpstreamPath &path);

    /// Sets the zones whose upstreams get no new requests.
    void setZonesOut(const std::vector<std::string> &zones);

    /// Sets the number of gateways that share the upstreams.
    void setGateways(std::uint32_t count) { this->gateways = std::max(1U, count); }

    /// Selects an upstream; the request counts as in flight only after `onSent`.
    Selection choose(const SelectionQuery &query, TimePoint now);

    /// A request was sent to an upstream.
    void onSent(const std::string &upstream, double promptTokens, TimePoint now);

    /// An attempt at an upstream ended. `failed`: by a failure of the upstream.
    void onEnded(const std::string &upstream, bool failed, TimePoint now);

    /// The upstream refused the request: it is full, or a different instance uses its address.
    void onRefused(const std::string &upstream, TimePoint now);

    std::size_t size() const { return this->upstreams.size(); }

private:
    struct SentRequest
    {
        TimePoint at;
        double promptTokens{ 0 };
    };
    struct Upstream
    {
        UpstreamRecord record;
        Endpoint endpoint;
        TimePoint coldUntil;
        LoadNotice notice;
        TimePoint noticeReceivedAt;
        bool hasNotice{ false };
        UpstreamPath path;
        std::uint32_t inFlight{ 0 };            ///< own requests in flight at the upstream
        std::deque<SentRequest> recentRequests; ///< own, within `kRecentWindow`
        TimePoint refusedUntil;
    };
    struct Candidate
    {
        const std::string *id{ nullptr };
        Upstream *upstream{ nullptr };
        double load{ 0 };
        FloatMilliseconds expected{ 0 }; ///< predicted time to the first token
        FloatMilliseconds cost{ 0 };     ///< `expected` with penalties for zone and path
        double weight{ 0 };
    };

    bool isAllowed(const Upstream &upstream, const SelectionQuery &query) const;
    bool startsBeforeDeadline(const Candidate &candidate, const SelectionQuery &query,
                              TimePoint now) const;
    std::uint64_t currentVersion(const Upstream &upstream, TimePoint now) const;
    bool isColdFull(Upstream &upstream, const SelectionQuery &query, TimePoint now) const;
    std::uint64_t requiredVersion(const SelectionQuery &query, TimePoint now) const;
    bool servesVersion(const Upstream &upstream, const SelectionQuery &query,
                       std::uint64_t requiredVersion, TimePoint now) const;
    bool hasFreshNotice(const Upstream &upstream, TimePoint now) const;
    Candidate scoreEngine(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                          TimePoint now) const;
    Candidate scorePlain(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                         TimePoint now) const;
    const Candidate &drawByWeight(const std::vector<Candidate> &candidates);

    SelectorOptions options;
    std::mt19937_64 random;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, std::string> byEndpoint; ///< engine address to upstream
    std::set<std::string> zonesOut;
    std::uint32_t gateways{ 1 };
    OutlierDetector outliers;
};

} // namespace egret
