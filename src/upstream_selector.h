#pragma once

#include "arrival_rate.h"
#include "engine_model.h"
#include "load_spread.h"
#include "outlier.h"
#include "overload_control.h"
#include "server_speed.h"
#include "serving_plan.h"
#include "upstream_statements.h"
#include "version_deadlines.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret {

/// Options of an `UpstreamSelector`. A penalty is added to the predicted cost of an upstream.
struct SelectorOptions
{
    std::string zone;                           ///< availability zone of this gateway
    std::map<std::string, std::string> regions; ///< region of each availability zone
    /// Share of an upstream's connection limit that all gateways together may use.
    double connectionShare{ 0.9 };
    Milliseconds loadNoticeMaxAge{ 1500ms }; ///< age from which a load notice is ignored
    /// Penalty of an engine in another zone. Larger than the network round trip, because links
    /// between regions have little bandwidth and load notices from other regions are older.
    Milliseconds crossZonePenalty{ 50ms };
    /// Penalty of an upstream of a plain service in another zone: the network delay only. Plain
    /// services are defined at `UpstreamSelector`.
    Milliseconds plainCrossZonePenalty{ 6ms };
    /// Refuses the share of new requests for which full engines have no room in time.
    bool shedsByRoom{ true };
    /// Share of its requests that an upstream keeps however slow it is, compared with a selection
    /// that knows no speeds. Its answers show when it has become faster.
    double probingFloor{ 0.1 };
};

/// State of the network path to an engine's machine, measured on the link (connection) to the
/// stager, which runs on the engine's machine.
struct UpstreamPath
{
    bool hasLink{ true }; ///< the link to the stager is established
    /// Round-trip time of a message; rises with packet loss and low bandwidth.
    Duration roundTrip{ 0 };
};

/// Request for which an upstream is selected.
struct SelectionQuery
{
    std::string service;
    const PlanService *plan{ nullptr }; ///< settings of `service`; null: a plain service
    double promptTokens{ 0 };
    std::uint32_t priority{ 0 }; ///< 0 is the highest
    /// Expected cost at an engine; without `outputTokens`, that of a typical request. The prompt is
    /// taken from `promptTokens`.
    RequestCost cost;
    /// Longest pause that the streams at an engine should have; 0: no limit.
    Milliseconds maxPause{ 0 };
    /// Regions that the route allows; null or empty: all.
    const std::vector<std::string> *routeRegions{ nullptr };
    /// Regions that the customer allows; null or empty: all.
    const std::vector<std::string> *customerRegions{ nullptr };
    std::set<std::string> excluded;  ///< ids of upstreams at which the request was attempted
    VersionRequirement version;      ///< allowed versions of the weights
    std::uint64_t exactVersion{ 0 }; ///< the only allowed version of the weights; 0: any
    /// Limit on the predicted time to the first token; empty: no limit.
    std::optional<Milliseconds> firstTokenLimit;
    /// First choice for a request, not for another attempt or after a refused permit.
    bool isNew{ true };
    /// The request may be executed more than once. If false, the request is never sent to an
    /// upstream that is ejected or in cooldown, not even as a last resort.
    bool mayRunTwice{ true };
    /// An upstream may be selected although a permit is needed to send there.
    bool mayNeedPermit{ true };
};

/// Why no upstream is selected.
enum class NoUpstreamReason : std::uint8_t {
    none,
    unknown, ///< no known upstream of the service is allowed for the request
    busy,    ///< no upstream can return the first token within the limit
    /// Upstreams are left that need a permit, and none can be had now; all others are unavailable.
    slowStart,
    failing, ///< no allowed upstream can be tried now, see `UpstreamSelector::choose`
    waiting, ///< the upstreams that are left want nothing for now
};

/// Name of a reason in log fields and error responses.
const char *noUpstreamReasonName(NoUpstreamReason reason);

/// Selected upstream, or the reason why there is none.
struct Selection
{
    std::string upstream; ///< id of the selected upstream; empty when no upstream is selected
    std::uint64_t startedAtMs{ 0 }; ///< names the incarnation of `upstream`
    Endpoint endpoint;
    std::uint64_t version{ 0 };        ///< version of the weights that the upstream reported
    std::uint32_t maxConnections{ 0 }; ///< connections that this gateway may open to the upstream
    /// A connection may stay open without a request. False when there are fewer connections than
    /// gateways.
    bool keepsConnection{ true };
    Milliseconds expectedFirstToken{ 0 }; ///< predicted time to the first token
    /// Predicted time to the first token of an engine to compare with the measured time, see
    /// `SpeedAnswer::expected`. Empty for plain services, and when most of the time is expected to
    /// pass in the engine's queue, so that it says little of the engine's speed.
    std::optional<FloatMilliseconds> comparableFirstToken;
    double load{ 0 }; ///< estimated number of requests at the upstream
    /// Age of the load notice from which `load` is estimated; 0 without a notice.
    Milliseconds noticeAge{ 0 };
    /// Predicted longest pause of the streams at an engine once the request joins.
    Milliseconds expectedPause{ 0 };
    /// Every engine that can take the request would exceed `SelectionQuery::maxPause`.
    bool exceedsMaxPause{ false };
    Milliseconds slowStartRemaining{ 0 }; ///< remaining slow start of the upstream; 0: none
    /// Requests a second to which the upstream's issuer limits permits, see `SlowStartPermits`: the
    /// upstream is in slow start, has named a limit, or has weights that are about to expire, and
    /// the request may be sent only with a permit. Empty: no permit is needed.
    std::optional<double> permitRate;
    NoUpstreamReason problem{ NoUpstreamReason::none }; ///< why no upstream is selected
    /// Delay after which the client may retry, when no upstream is selected.
    Milliseconds retryAfter{ 0 };
};

/// Selects the upstream of a request among the upstreams of a service that the route, the
/// customer, the zones and the version of the weights allow. An upstream of a model service is
/// an engine; its load is known from load notices, which the stager on the engine's machine
/// sends. Services without engines are called plain; their upstreams send no load notices.
/// An engine where the prediction exceeds the limit on pauses, and an engine in a slow period, are
/// used only if the others are much busier; an engine whose memory has no room for the request,
/// only if no other has.
/// Upstreams are drawn at random: engines by `spreadWeights`, others weighted by cost, so that
/// gateways with the same load notices don't all select the same upstream. The selection also has
/// to work while engines are full most of the time, and while a single engine recovers and all
/// others accept no requests. Parameters named `upstream` hold ids; parameters named `endpoint`
/// hold the address of an engine. Deterministic given the seed; not thread safe.
class UpstreamSelector
{
public:
    UpstreamSelector(SelectorOptions options, std::uint64_t seed);

    /// Adds or updates an upstream, or removes the upstream if the record announces a departure.
    /// An upstream that started earlier at the same endpoint is removed: it has ended.
    void onRecord(const UpstreamRecord &record, TimePoint now);

    /// Stores the load notice of an engine.
    void onLoadNotice(const LoadNotice &notice, TimePoint now);

    /// Applies what an answer of an incarnation of an upstream, named by its start, says of the
    /// upstream. Returns what other instances must know, see UpstreamStatements::onAnswer.
    std::optional<UpstreamStatement> onStatement(const std::string &upstream,
                                                 std::uint64_t startedAtMs,
                                                 const UpstreamStatement &answer);

    /// Sets the state of the network path to an engine's machine.
    void setPath(const std::string &endpoint, const UpstreamPath &path);

    /// Sets the zones that operators took out of service; their upstreams get no new requests.
    void setZonesOut(const std::vector<std::string> &zones);

    /// Sets the number of gateways that share the upstreams.
    void setGatewayCount(std::uint32_t count) { this->gatewayCount = std::max(1U, count); }

    /// Sets the estimates of the upstreams' speeds; null: all upstreams count as equally fast. An
    /// upstream's load counts in proportion to the time that it takes there, which changes only
    /// the draw: limits, permits and the check against `firstTokenLimit` are as without speeds.
    /// Precondition: `speeds` outlives the selector.
    void setSpeeds(const ServerSpeeds *newSpeeds) { this->speeds = newSpeeds; }

    /// Selects an upstream; the request counts as in flight only after `onSent`. An upstream can't
    /// be tried if the request was attempted there before, if the engine's weights may expire
    /// before the request starts, if it has said
    /// that it leaves or wants nothing now, or, if a permit is needed, without a link to the issuer
    /// of permits or until the retry time of a refused permit. An upstream that is ejected, or in
    /// cooldown after a refusal, is tried only as a last resort, and only for a request that may
    /// run twice.
    Selection choose(const SelectionQuery &query, TimePoint now);

    /// Returns the load of all engines that `choose` may select for the request, now or after a
    /// refusal: without those that are ejected, that want nothing now or whose weights are about to
    /// expire. Values are up to 20 ms old. Precondition: the service has engines.
    ServiceLoad serviceLoad(const SelectionQuery &query, TimePoint now);

    /// A permit for the upstream was refused, or no answer came. The request counts as in flight
    /// since `onSent` and does so no longer.
    void onPermitRefused(const std::string &upstream, Milliseconds retryAfter, TimePoint now);

    /// A request that waits for a permit was given up; it counts as in flight no longer.
    void onPermitAbandoned(const std::string &upstream);

    /// A request was sent to an upstream, or a permit to send it was asked for.
    void onSent(const std::string &upstream, const RequestCost &cost, TimePoint now);

    /// As above, for a request of which only the length of the prompt is known.
    void onSent(const std::string &upstream, double promptTokens, TimePoint now)
    {
        this->onSent(upstream, RequestCost{ .promptTokens = promptTokens }, now);
    }

    /// A sent request ended without a refusal. `failed`: the upstream caused a failure.
    void onEnded(const std::string &upstream, bool failed, TimePoint now);

    /// An upstream refused a sent request: the upstream is full, or another instance now has
    /// its address.
    void onRefused(const std::string &upstream, TimePoint now);

    /// Number of known upstreams.
    std::size_t size() const { return this->upstreams.size(); }

    /// Number of upstreams that limit the rate of their requests.
    std::size_t limitedCount() const;

private:
    struct SentRequest
    {
        TimePoint sentAt;
        RequestCost cost;
    };
    struct Upstream
    {
        UpstreamRecord record;
        Endpoint endpoint;
        TimePoint slowStartUntil;
        UpstreamStatements statements;
        LoadNotice loadNotice;
        TimePoint noticeReceivedAt;
        bool hasNotice{ false };
        UpstreamPath path;
        std::uint32_t inFlight{ 0 }; ///< requests of this gateway in flight at the upstream
        std::deque<SentRequest> recentRequests; ///< requests of this gateway within `kRecentWindow`
        TimePoint refusedUntil;                 ///< end of the cooldown after a refusal
        TimePoint permitRefusedUntil;           ///< no permit is asked for before this time
    };
    struct Candidate
    {
        const std::string *id{ nullptr };
        Upstream *upstream{ nullptr };
        double load{ 0 };                          ///< estimated number of requests at the upstream
        FloatMilliseconds expectedFirstToken{ 0 }; ///< predicted time to the first token
        FloatMilliseconds cost{ 0 }; ///< `expectedFirstToken` plus the penalties for zone and path
        double speed{ 1 };           ///< estimated speed of the upstream
        FloatMilliseconds speedCost{ 0 };    ///< addition to `cost` because of the upstream's speed
        double weight{ 0 };                  ///< relative probability of being selected
        SpreadTarget target;                 ///< engines only
        SpreadTarget evenTarget;             ///< `target` as if the upstream had the speed 1
        FloatMilliseconds longestPause{ 0 }; ///< predicted for the streams at an engine
        bool hasMemory{ true };              ///< the memory of the engine has room for the request
    };
    /// Load of the engines of a service in a set of regions.
    struct KnownLoad
    {
        TimePoint countedAt;
        std::optional<double> occupancy;
        /// Predicted time to the first token without the prefill of the request's own prompt.
        std::optional<FloatMilliseconds> firstTokenBeforePrefill;
    };

    bool takeEndpoint(const UpstreamRecord &record);
    bool isAllowed(const Upstream &upstream, const SelectionQuery &query) const;
    bool startsBeforeDeadline(const Candidate &candidate, const SelectionQuery &query,
                              TimePoint now) const;
    std::uint64_t reportedVersion(const Upstream &upstream, TimePoint now) const;
    std::optional<double> permitRate(const Upstream &upstream, const SelectionQuery &query,
                                     TimePoint now) const;
    std::uint64_t requiredVersion(const SelectionQuery &query, TimePoint now) const;
    bool servesVersion(const Upstream &upstream, const SelectionQuery &query,
                       std::uint64_t requiredVersion, TimePoint now) const;
    bool hasFreshNotice(const Upstream &upstream, TimePoint now) const;
    EngineLoad engineLoad(const EngineModel &model, const EngineSpec &spec,
                          const Upstream &upstream, TimePoint now) const;
    bool hasMemory(const Upstream &upstream, const SelectionQuery &query, TimePoint now) const;
    Candidate scoreEngine(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                          TimePoint now) const;
    Candidate scorePlain(const std::string &id, Upstream &upstream, const SelectionQuery &query,
                         TimePoint now) const;
    KnownLoad countLoad(const SelectionQuery &query, TimePoint now);
    double requestsAt(const Upstream &upstream, const EngineSpec &engine, TimePoint now) const;
    double slotsOf(const Upstream &upstream, const SelectionQuery &query, TimePoint now) const;
    std::optional<FloatMilliseconds> comparableFirstToken(const Upstream &upstream,
                                                          const SelectionQuery &query,
                                                          TimePoint now) const;
    double speedOf(const std::string &id) const;
    static SpreadTarget spreadTarget(const EngineModel &model, const EngineSpec &spec,
                                     const EngineLoad &load, FloatMilliseconds wait, bool isLocal);
    const Candidate &drawByWeight(const std::vector<Candidate> &candidates);
    double admissionShare(const std::vector<Candidate> &candidates, const SelectionQuery &query,
                          TimePoint now);
    void weighEngines(std::vector<Candidate> &candidates, const SelectionQuery &query,
                      TimePoint now) const;
    void weighPlain(std::vector<Candidate> &candidates) const;
    double gatewaysOfZone() const;

    SelectorOptions options;
    std::mt19937_64 random;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, std::string> idByEndpoint; ///< id of the upstream at an address
    std::set<std::string> zonesOut;
    std::map<std::string, ArrivalRate> sentByService; ///< requests sent to upstreams
    /// New requests, refused ones included, by service with set of regions and by priority.
    std::map<std::string, std::map<std::uint32_t, ArrivalRate>> offeredByScope;
    std::map<std::string, KnownLoad> knownLoads; ///< by service and set of regions
    std::uint32_t gatewayCount{ 1 };
    OutlierDetector outlierDetector;
    const ServerSpeeds *speeds{ nullptr };
};

} // namespace egret
