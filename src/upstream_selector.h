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
    std::map<std::string, std::string> regions; ///< of availability zones
    double connectionShare{ 0.9 };      ///< of an upstream's connections, used by all gateways
    Milliseconds noticeLimit{ 1500ms }; ///< age from which a load notice tells nothing
    /// What another zone costs: more than its way there and back, since links
    /// between regions are thin and notices from there are older.
    Milliseconds farther{ 50ms };
    Milliseconds plainFarther{ 6ms }; ///< the same for plain services: the way alone
    Milliseconds spread{ 40ms };      ///< differences in prediction that count little
};

/// How the path to an engine's machine stands, by the link to its stager.
struct UpstreamPath
{
    bool hasLink{ true };    ///< a link stands
    Duration roundTrip{ 0 }; ///< of a message; a narrow or broken path shows in it
};

/// What is asked for.
struct SelectionQuery
{
    std::string service;
    const PlanService *plan{ nullptr }; ///< of that service
    double promptTokens{ 0 };
    const std::vector<std::string> *routeRegions{ nullptr };    ///< allowed; empty: all
    const std::vector<std::string> *customerRegions{ nullptr }; ///< allowed besides
    std::set<std::string> excluded;              ///< upstreams that have failed the request
    VersionRequirement version;                  ///< of the weights
    std::uint64_t exactVersion{ 0 };             ///< of the weights, 0 for any
    std::optional<Milliseconds> firstTokenLimit; ///< a later first token is of no use
    bool mayRunTwice{ true };
};

/// Why there is no upstream.
enum class NoUpstreamReason : std::uint8_t {
    none,
    unknown, ///< no upstream of the service that may take the request is known
    busy,    ///< all are too busy
    failing, ///< all that may take it have failed it or others
};

const char *noUpstreamReasonName(NoUpstreamReason problem);

struct Selection
{
    std::string upstream; ///< empty when there is none
    Endpoint endpoint;
    std::uint64_t version{ 0 };
    std::uint32_t maxConnections{ 0 };    ///< that this gateway may open to it
    Milliseconds expectedFirstToken{ 0 }; ///< predicted time to the first token
    double load{ 0 };                     ///< requests believed to be there
    Milliseconds noticeAge{ 0 };          ///< of the load notice that it rests on
    NoUpstreamReason problem{ NoUpstreamReason::none };
    Milliseconds retryAfter{ 0 }; ///< time after which there may be one
};

/// Where a request is sent: among the upstreams of its service that its route,
/// customer, zone and weights allow, those at which it is answered in time,
/// drawn by the room that they have left, so that gateways that see the same do
/// not all choose the same. Answers loads in which engines are full most of the
/// time, and those in which one engine comes back while all others are closed.
/// Deterministic given the seed; not thread safe.
class UpstreamSelector
{
public:
    UpstreamSelector(SelectorOptions options, std::uint64_t seed);

    /// Takes an upstream's record.
    void onRecord(const UpstreamRecord &record, TimePoint now);

    /// Takes what the stager beside an engine says of it.
    void onLoadNotice(const LoadNotice &notice, TimePoint now);

    /// Sets how the path to an engine's machine stands.
    void setPath(const std::string &endpoint, const UpstreamPath &path);

    /// Sets the zones whose upstreams get nothing new.
    void setZonesOut(const std::vector<std::string> &zones);

    /// Sets the gateways that share the upstreams.
    void setGateways(std::uint32_t count) { this->gateways = std::max(1U, count); }

    /// Chooses; the request counts as sent only with `onSent`.
    Selection choose(const SelectionQuery &query, TimePoint now);

    /// A request goes to an upstream.
    void onSent(const std::string &upstream, double promptTokens, TimePoint now);

    /// A request's attempt there has ended. `failed`: through the upstream's fault.
    void onEnded(const std::string &upstream, bool failed, TimePoint now);

    /// The upstream has refused: it is full or not the one that was meant.
    void onRefused(const std::string &upstream, TimePoint now);

    std::size_t size() const { return this->upstreams.size(); }

private:
    struct Sent
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
        TimePoint noticedAt;
        bool noticed{ false };
        UpstreamPath path;
        std::uint32_t inFlight{ 0 }; ///< own requests there
        std::deque<Sent> sent;       ///< own requests of the last second
        TimePoint refusedUntil;
    };
    struct Candidate
    {
        const std::string *id{ nullptr };
        Upstream *upstream{ nullptr };
        double load{ 0 };
        FloatMilliseconds expected{ 0 }; ///< to the first token
        FloatMilliseconds cost{ 0 };     ///< with what speaks against it besides
        double weight{ 0 };
    };

    bool isAllowed(const Upstream &upstream, const SelectionQuery &query) const;
    bool beginsInTime(const Candidate &candidate, const SelectionQuery &query, TimePoint now) const;
    std::uint64_t versionOf(const Upstream &upstream, TimePoint now) const;
    bool isColdFull(Upstream &upstream, const SelectionQuery &query, TimePoint now) const;
    std::uint64_t leastVersion(const SelectionQuery &query, TimePoint now) const;
    bool servesVersion(const Upstream &upstream, const SelectionQuery &query,
                       std::uint64_t leastVersion, TimePoint now) const;
    bool isNoticed(const Upstream &upstream, TimePoint now) const;
    Candidate weighEngine(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                          TimePoint now) const;
    Candidate weighPlain(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                         TimePoint now) const;
    const Candidate &draw(const std::vector<Candidate> &candidates);

    SelectorOptions options;
    std::mt19937_64 random;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, std::string> byEndpoint; ///< engine address to upstream
    std::set<std::string> zonesOut;
    std::uint32_t gateways{ 1 };
    OutlierDetector outliers;
};

} // namespace egret
