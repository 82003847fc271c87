#include "upstream_selector.h"

#include "slow_start_permits.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace egret {

namespace {

/// A load notice is assumed not to count the requests that were sent less than this time before
/// the notice arrived: the stager read the load earlier, and requests need time to reach the
/// engine.
constexpr Milliseconds kLoadNoticeLag = 30ms;
/// Time from the reading of an engine's load until a gateway has the next reading: the period of
/// the stager's readings, the delay to the gateway and the time for which a request is on its way.
constexpr Milliseconds kNoticeWindow = 200ms;
/// Occupancy from which requests are refused for want of room in time. Below it engines have free
/// slots, and what gateways expect of each other is too uncertain for a refusal.
constexpr double kNearlyFullOccupancy = 0.9;
/// Rate of requests, per second, below which a priority counts as not offered.
constexpr double kMinOfferedRate = 0.05;
/// Age up to which sent requests are remembered, to add to the load those that a notice lacks.
constexpr Milliseconds kRecentWindow = 1s;
/// Margin for errors of the predicted time to the first token, applied when the weights of an
/// engine are about to expire.
constexpr Milliseconds kFirstTokenMargin = 200ms;
/// Delay of a request on a congested path that is taken into account when the weights of an engine
/// are about to expire: pieces of newer weights fill the engine's link when the origin returns.
constexpr Milliseconds kMaxPathDelay = 2s;
/// Cooldown of an upstream after a refusal.
constexpr Milliseconds kRefusalCooldown = 100ms;
/// Requests a second that an upstream gets although it takes fewer, or none: only its answers tell
/// when the limit has ended.
constexpr double kMinLimitedRate = 0.25;
constexpr Milliseconds kMinRetryAfter = 100ms;
constexpr Milliseconds kMaxRetryAfter = 2s;
/// Cost of one in-flight request at an upstream of a plain service. Small, because plain services
/// respond quickly. Together with `kPlainCostSpread`, this cost keeps requests in the gateway's
/// zone until a few requests are in flight there.
constexpr FloatMilliseconds kPlainRequestCost{ 3 };
/// Cost difference that lowers the probability of a selection by a factor of e; small for the same
/// reason.
constexpr FloatMilliseconds kPlainCostSpread{ 2 };
/// Lower bound of what another request adds to the wait at an engine. With less, differences of a
/// few milliseconds between predictions, which are off by tens, would leave an engine unused.
constexpr FloatMilliseconds kMinWaitPerRequest{ 20 };
/// Upper bound of a normal round trip. A longer round trip indicates low bandwidth, packet loss or
/// an outage on the path and is added to the predicted latency.
constexpr Milliseconds kNormalRoundTrip = 40ms;
/// Penalty of an engine without a link to its stager, whose network path is unknown.
constexpr Milliseconds kUnknownPathPenalty = 300ms;
/// Share of slots below which engines count as free if nothing is queued.
constexpr double kFreeSlotsShare = 0.5;
/// Occupancy up to which nothing is refused, see `OverloadOptions::start`.
constexpr double kUnrefusedOccupancy = 0.75;
/// Age up to which a counted load of a service is used again.
constexpr Milliseconds kKnownLoadMaxAge = 20ms;
/// Number of counted loads from which they are dropped; a document names fewer sets of regions.
constexpr std::size_t kMaxKnownLoads = 256;
/// Most requests that an engine is assumed to hold, running and queued, as a multiple of its slots.
/// Higher loads in a notice, or derived from this gateway's own requests, are faults.
constexpr double kMaxRequestsPerSlot = 3;
/// Penalty of a silent upstream: its periodic announcements to the registry are overdue.
constexpr Milliseconds kSilentPenalty = 10s;
/// Penalty of an engine whose predicted longest pause exceeds the limit, in addition to the excess:
/// the engine is used only if the others are busier by several requests in the queue.
constexpr Milliseconds kPausePenalty = 300ms;
/// Penalty of an engine in a slow period, for each unit by which its slowdown factor exceeds 1. The
/// request would occupy a slot for longer than predicted for its first token, and its events would
/// come more slowly.
constexpr Milliseconds kSlownessPenalty = 100ms;
/// Bounds on what a load notice can say of an engine. Slow periods have factors of 2 to 3, and
/// engines have queues of two requests for each slot.
constexpr double kMaxSlowdownFactor = 20;
constexpr double kMaxQueuedPerSlot = 8;

bool allowsRegion(const std::vector<std::string> *regions, const std::string &region)
{
    return regions == nullptr || regions->empty()
           || std::ranges::find(*regions, region) != regions->end();
}

} // namespace

const char *noUpstreamReasonName(NoUpstreamReason reason)
{
    switch (reason) {
    case NoUpstreamReason::none:
        return "none";
    case NoUpstreamReason::unknown:
        return "no-upstream";
    case NoUpstreamReason::busy:
        return "busy";
    case NoUpstreamReason::slowStart:
        return "slow-start";
    case NoUpstreamReason::failing:
        return "failing";
    case NoUpstreamReason::waiting:
        return "upstreams-wait";
    }
    return "unknown";
}

UpstreamSelector::UpstreamSelector(SelectorOptions options, std::uint64_t seed)
    : options(std::move(options)), random(seed)
{}

void UpstreamSelector::onRecord(const UpstreamRecord &record, TimePoint now)
{
    if (record.notice == AnnouncedState::gone) {
        const auto found = this->upstreams.find(record.id);
        if (found != this->upstreams.end()) {
            std::erase_if(this->idByEndpoint,
                          [&](const auto &each) { return each.second == record.id; });
            this->upstreams.erase(found);
        }
        return;
    }
    const auto endpoint = Endpoint::parse(record.endpoint);
    if (!endpoint)
        return;
    if (!this->takeEndpoint(record))
        return;
    Upstream &upstream = this->upstreams[record.id];
    if (upstream.record.startedAtMs != record.startedAtMs)
        upstream = {};
    upstream.record = record;
    upstream.endpoint = *endpoint;
    upstream.slowStartUntil = now + record.coldFor;
}

/// Gives the endpoint of `record` to its upstream, and removes the upstream that had the endpoint
/// before. False if an upstream that started later has the endpoint; `record` is then out of date.
bool UpstreamSelector::takeEndpoint(const UpstreamRecord &record)
{
    const auto owner = this->idByEndpoint.find(record.endpoint);
    if (owner != this->idByEndpoint.end() && owner->second != record.id) {
        const auto other = this->upstreams.find(owner->second);
        if (other != this->upstreams.end() && other->second.record.endpoint == record.endpoint) {
            if (other->second.record.startedAtMs > record.startedAtMs)
                return false;
            this->upstreams.erase(other);
        }
    }
    this->idByEndpoint[record.endpoint] = record.id;
    return true;
}

void UpstreamSelector::onLoadNotice(const LoadNotice &notice, TimePoint now)
{
    const auto found = this->idByEndpoint.find(notice.endpoint);
    if (found == this->idByEndpoint.end())
        return;
    Upstream &upstream = this->upstreams[found->second];
    upstream.loadNotice = notice;
    upstream.loadNotice.slowdownFactor =
            std::isfinite(notice.slowdownFactor)
                    ? std::clamp(notice.slowdownFactor, 1.0, kMaxSlowdownFactor)
                    : 1.0;
    upstream.loadNotice.memoryUsed = std::min(notice.memoryUsed, notice.memoryTotal);
    upstream.noticeReceivedAt = now;
    upstream.hasNotice = true;
    while (!upstream.recentRequests.empty()
           && upstream.recentRequests.front().sentAt < now - kRecentWindow)
        upstream.recentRequests.pop_front();
}

std::optional<UpstreamStatement> UpstreamSelector::onStatement(const std::string &upstream,
                                                               std::uint64_t startedAtMs,
                                                               const UpstreamStatement &answer)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end() || found->second.record.startedAtMs != startedAtMs)
        return std::nullopt;
    return found->second.statements.onAnswer(answer);
}

std::size_t UpstreamSelector::limitedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->upstreams, [](const auto &each) {
        return each.second.statements.requestLimit().has_value();
    }));
}

void UpstreamSelector::setPath(const std::string &endpoint, const UpstreamPath &path)
{
    const auto found = this->idByEndpoint.find(endpoint);
    if (found != this->idByEndpoint.end())
        this->upstreams[found->second].path = path;
}

void UpstreamSelector::setZonesOut(const std::vector<std::string> &zones)
{
    this->zonesOut = { zones.begin(), zones.end() };
}

Selection UpstreamSelector::choose(const SelectionQuery &query, TimePoint now)
{
    // Step 1. Collect the upstreams that may accept the request, separately those that are
    // ejected or in cooldown.
    const std::uint64_t requiredVersion = this->requiredVersion(query, now);
    std::vector<Candidate> candidates;
    std::vector<Candidate> lastResort;
    Selection selection{ .problem = NoUpstreamReason::unknown, .retryAfter = kMaxRetryAfter };
    std::optional<TimePoint> nextPermitAt;
    std::optional<TimePoint> nextWaitEnd;
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.record.service != query.service || !this->isAllowed(upstream, query)
            || !this->servesVersion(upstream, query, requiredVersion, now))
            continue;
        selection.problem = NoUpstreamReason::failing;
        selection.retryAfter = kMinRetryAfter * 5;
        if (query.excluded.contains(id))
            continue;
        if (now < upstream.statements.waitEnd()) {
            nextWaitEnd =
                    std::min(nextWaitEnd.value_or(TimePoint::max()), upstream.statements.waitEnd());
            continue;
        }
        const bool isEngine = query.plan != nullptr && query.plan->engine;
        const Candidate candidate = isEngine ? this->scoreEngine(id, upstream, query, now)
                                             : this->scorePlain(id, upstream, query, now);
        if (isEngine && !this->startsBeforeDeadline(candidate, query, now))
            continue;
        const bool needsPermit = this->permitRate(upstream, query, now).has_value();
        const bool canAskForPermit =
                query.mayNeedPermit && upstream.path.hasLink && now >= upstream.permitRefusedUntil;
        if (needsPermit && !canAskForPermit) {
            nextPermitAt =
                    std::min(nextPermitAt.value_or(TimePoint::max()), upstream.permitRefusedUntil);
            continue;
        }
        const bool isLastResort =
                this->outlierDetector.isEjected(id, now) || now < upstream.refusedUntil;
        (isLastResort ? lastResort : candidates).push_back(candidate);
    }
    // Step 2. If no candidate is left and the request may run twice, use the upstreams that are
    // ejected or in cooldown.
    if (candidates.empty() && query.mayRunTwice)
        candidates = lastResort;
    if (candidates.empty()) {
        if (nextWaitEnd && (!nextPermitAt || *nextWaitEnd < *nextPermitAt)) {
            selection.problem = NoUpstreamReason::waiting;
            selection.retryAfter =
                    std::max(kMinRetryAfter, std::chrono::ceil<Milliseconds>(*nextWaitEnd - now));
        } else if (nextPermitAt) {
            selection.problem = NoUpstreamReason::slowStart;
            selection.retryAfter = std::clamp(std::chrono::ceil<Milliseconds>(*nextPermitAt - now),
                                              kMinRetryAfter, kMaxRetryAfter);
        }
        return selection;
    }
    // An engine without memory for the request would preempt it, the newest, as soon as it has
    // begun. Such an engine is left out only if another one can begin in time: memory is no reason
    // to refuse.
    const bool isMemoryFound = std::ranges::any_of(candidates, [&](const Candidate &each) {
        return each.hasMemory
               && (!query.firstTokenLimit || each.expectedFirstToken <= *query.firstTokenLimit);
    });
    if (isMemoryFound)
        std::erase_if(candidates, [](const Candidate &each) { return !each.hasMemory; });
    // Step 3. Refuse the request when no candidate can return the first token in time, and refuse
    // a share of the requests when there is room in time for a part of them only.
    const bool isEngineService = query.plan != nullptr && query.plan->engine;
    const auto lowestFirstToken =
            std::ranges::min(candidates, {}, &Candidate::expectedFirstToken).expectedFirstToken;
    if (query.firstTokenLimit) {
        const double share = lowestFirstToken > *query.firstTokenLimit
                                     ? 0.0
                                     : this->admissionShare(candidates, query, now);
        if (share < 1 && std::uniform_real_distribution<double>()(this->random) >= share) {
            selection.problem = NoUpstreamReason::busy;
            const auto excessTime =
                    std::chrono::ceil<Milliseconds>(lowestFirstToken - *query.firstTokenLimit);
            selection.retryAfter = std::clamp(excessTime, kMinRetryAfter, kMaxRetryAfter);
            selection.expectedFirstToken = std::chrono::ceil<Milliseconds>(lowestFirstToken);
            return selection;
        }
    }
    // Step 4. Draw a candidate.
    if (isEngineService)
        this->weighEngines(candidates, query, now);
    else
        this->weighPlain(candidates);
    const Candidate &selected = this->drawByWeight(candidates);
    const auto shortestPause =
            std::ranges::min(candidates, {}, &Candidate::longestPause).longestPause;
    Upstream &upstream = *selected.upstream;
    // Without a limit in the plan, the gateway opens at most 256 connections to the upstream.
    const double connectionLimit = query.plan != nullptr ? query.plan->maxConnections : 0;
    const double gatewayShare =
            connectionLimit * this->options.connectionShare / this->gatewayCount;
    selection = {
        .upstream = *selected.id,
        .startedAtMs = upstream.record.startedAtMs,
        .endpoint = upstream.endpoint,
        .version = this->reportedVersion(upstream, now),
        .maxConnections =
                connectionLimit > 0 ? std::max(1U, static_cast<std::uint32_t>(gatewayShare)) : 256,
        .keepsConnection = connectionLimit <= 0 || gatewayShare >= 1,
        .expectedFirstToken = std::chrono::ceil<Milliseconds>(selected.expectedFirstToken),
        .comparableFirstToken =
                !isEngineService ? std::nullopt : this->comparableFirstToken(upstream, query, now),
        .load = selected.load,
        .noticeAge = upstream.hasNotice
                             ? std::chrono::floor<Milliseconds>(now - upstream.noticeReceivedAt)
                             : 0ms,
        .expectedPause = std::chrono::ceil<Milliseconds>(selected.longestPause),
        .exceedsMaxPause = query.maxPause > 0ms && shortestPause > query.maxPause,
        .slowStartRemaining =
                std::max(0ms, std::chrono::ceil<Milliseconds>(upstream.slowStartUntil - now)),
        .permitRate = this->permitRate(upstream, query, now)
    };
    return selection;
}

/// Expected number of gateways in the zone of this gateway.
double UpstreamSelector::gatewaysOfZone() const
{
    const double zones = std::max<double>(1.0, static_cast<double>(this->options.regions.size()));
    return std::max(1.0, this->gatewayCount / zones);
}

/// Share of the new requests for which the candidates have room within the limit on the first
/// token, of those that all gateways are expected to offer before newer load notices arrive. 1
/// while the engines aren't nearly full, for other attempts than the first, and for requests for
/// which others of higher priority leave room (`OverloadControl`).
double UpstreamSelector::admissionShare(const std::vector<Candidate> &candidates,
                                        const SelectionQuery &query, TimePoint now)
{
    if (!query.isNew || !this->options.shedsByRoom || query.plan == nullptr || !query.plan->engine)
        return 1;
    const ServiceLoad load = this->serviceLoad(query, now);
    if (this->offeredByScope.size() >= kMaxKnownLoads && !this->offeredByScope.contains(load.scope))
        this->offeredByScope.clear();
    auto &offered = this->offeredByScope[load.scope];
    offered[query.priority].add(now);
    std::erase_if(offered,
                  [&](const auto &each) { return each.second.perSecond(now) < kMinOfferedRate; });
    const bool isHighest = offered.empty() || offered.begin()->first >= query.priority;
    if (!isHighest || load.occupancy.value_or(0) < kNearlyFullOccupancy)
        return 1;
    double room = 0;
    // While requests arrive, the engines work: by the end of the window each wait is shorter by
    // the window. The penalties of the draw don't count: they are no reason to refuse.
    for (const Candidate &candidate : candidates) {
        SpreadTarget target = candidate.evenTarget;
        target.wait = candidate.expectedFirstToken;
        room += requestsWithin(target, *query.firstTokenLimit + kNoticeWindow);
    }
    const double requests = offered[query.priority].perSecond(now) * this->gatewayCount
                            * std::chrono::duration<double>(kNoticeWindow).count();
    return std::clamp(room / std::max(1.0, requests), 0.0, 1.0);
}

void UpstreamSelector::weighEngines(std::vector<Candidate> &candidates, const SelectionQuery &query,
                                    TimePoint now) const
{
    // A gateway that has just started counts as one that sends a request a second: if it expected
    // nothing, new gateways would all choose the engine with the shortest wait.
    const auto sent = this->sentByService.find(query.service);
    const double sentPerSecond =
            std::max(1.0, sent == this->sentByService.end() ? 0.0 : sent->second.perSecond(now));
    const double sentInWindow =
            sentPerSecond * std::chrono::duration<double>(kNoticeWindow).count();
    const SpreadDemand demand{ .ofZone = sentInWindow * this->gatewaysOfZone(),
                               .ofAll = sentInWindow * this->gatewayCount };
    const auto sharesOf = [&](SpreadTarget Candidate::*target) {
        std::vector<SpreadTarget> targets;
        targets.reserve(candidates.size());
        for (const Candidate &candidate : candidates)
            targets.push_back(candidate.*target);
        std::vector<double> weights =
                spreadWeights(targets, demand, this->options.crossZonePenalty);
        const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (double &weight : weights)
            weight /= sum;
        return weights;
    };
    const std::vector<double> shares = sharesOf(&Candidate::target);
    const bool isEven =
            std::ranges::all_of(candidates, [](const Candidate &each) { return each.speed >= 1; });
    const std::vector<double> evenShares = isEven ? shares : sharesOf(&Candidate::evenTarget);
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i].weight = std::max(shares[i], this->options.probingFloor * evenShares[i]);
}

/// The weight of an upstream of a plain service decreases exponentially with the difference
/// between its cost and the lowest cost.
void UpstreamSelector::weighPlain(std::vector<Candidate> &candidates) const
{
    const auto lowestCost = std::ranges::min(candidates, {}, &Candidate::cost).cost;
    for (Candidate &candidate : candidates)
        candidate.weight = std::exp(-((candidate.cost - lowestCost) / kPlainCostSpread));
    if (std::ranges::all_of(candidates, [](const Candidate &each) {
            return each.speed >= 1 && each.speedCost.count() <= 0;
        }))
        return;
    const auto fullCost = [](const Candidate &each) { return each.cost + each.speedCost; };
    const auto lowestFullCost = std::ranges::min(candidates, {}, fullCost);
    double sumWithout = 0;
    double sumWith = 0;
    std::vector<double> weights;
    for (const Candidate &candidate : candidates) {
        const double excess = (fullCost(candidate) - fullCost(lowestFullCost)) / kPlainCostSpread;
        // The factor makes shares proportional where each of many gateways has hardly a request at
        // an upstream, so that its own load tells nothing.
        weights.push_back(candidate.speed * std::exp(-excess));
        sumWithout += candidate.weight;
        sumWith += weights.back();
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double shareWithout = candidates[i].weight / sumWithout;
        candidates[i].weight =
                std::max(weights[i] / sumWith, this->options.probingFloor * shareWithout);
    }
}

bool UpstreamSelector::isAllowed(const Upstream &upstream, const SelectionQuery &query) const
{
    const UpstreamRecord &record = upstream.record;
    if (record.notice != AnnouncedState::ready || upstream.statements.isLeaving()
        || this->zonesOut.contains(record.zone))
        return false;
    const auto region = this->options.regions.find(record.zone);
    const std::string regionName = region == this->options.regions.end() ? "" : region->second;
    return allowsRegion(query.routeRegions, regionName)
           && allowsRegion(query.customerRegions, regionName);
}

bool UpstreamSelector::hasFreshNotice(const Upstream &upstream, TimePoint now) const
{
    return upstream.hasNotice && now - upstream.noticeReceivedAt < this->options.loadNoticeMaxAge;
}

/// Version of the weights of an engine, from a fresh load notice, otherwise from the record.
std::uint64_t UpstreamSelector::reportedVersion(const Upstream &upstream, TimePoint now) const
{
    return this->hasFreshNotice(upstream, now) ? upstream.loadNotice.version
                                               : upstream.record.version;
}

/// False when the engine's version of the weights may expire while the request is still queued
/// at the engine. If the version is about to expire and the engine has no link to its stager, the
/// result is false, because the network path is unknown.
bool UpstreamSelector::startsBeforeDeadline(const Candidate &candidate, const SelectionQuery &query,
                                            TimePoint now) const
{
    return query.version.upcomingMinimum == 0
           || this->reportedVersion(*candidate.upstream, now) >= query.version.upcomingMinimum
           || (candidate.upstream->path.hasLink
               && candidate.expectedFirstToken + kFirstTokenMargin
                          <= query.version.timeUntilUpcoming);
}

/// Lowest version that may serve a request: the preferred version if an allowed engine serves
/// this version or a later one, otherwise the minimum.
std::uint64_t UpstreamSelector::requiredVersion(const SelectionQuery &query, TimePoint now) const
{
    if (query.version.preferred <= query.version.minimum)
        return query.version.minimum;
    const bool isPreferredServed = std::ranges::any_of(this->upstreams, [&](const auto &each) {
        return each.second.record.service == query.service && this->isAllowed(each.second, query)
               && each.second.statements.takesRequests(now)
               && this->servesVersion(each.second, query, query.version.preferred, now);
    });
    return isPreferredServed ? query.version.preferred : query.version.minimum;
}

/// True when an engine serves an allowed version of the weights. Always true for plain
/// services, which have no weights.
bool UpstreamSelector::servesVersion(const Upstream &upstream, const SelectionQuery &query,
                                     std::uint64_t requiredVersion, TimePoint now) const
{
    if (query.plan == nullptr || !query.plan->engine)
        return true;
    const bool hasFreshNotice = this->hasFreshNotice(upstream, now);
    if (hasFreshNotice && !upstream.loadNotice.isUsable)
        return false;
    const std::uint64_t version = this->reportedVersion(upstream, now);
    return version > 0 && version >= requiredVersion
           && (query.exactVersion == 0 || version == query.exactVersion);
}

/// Requests a second to an upstream for which permits are granted: the lower of the limit that the
/// upstream has named and, in slow start, the limit of its service. An engine that restarted, as
/// its load notice tells, is in slow start until its announcement says more. Without a limit, an
/// engine whose weights are about to expire needs permits at any rate, since their round trip shows
/// whether the path is congested now. Otherwise empty.
std::optional<double> UpstreamSelector::permitRate(const Upstream &upstream,
                                                   const SelectionQuery &query, TimePoint now) const
{
    const bool hasRestarted =
            upstream.hasNotice && upstream.loadNotice.startedAtMs > upstream.record.startedAtMs;
    std::optional<double> rate;
    if ((hasRestarted || now < upstream.slowStartUntil) && query.plan != nullptr
        && query.plan->coldRequestsPerSecond > 0)
        rate = query.plan->coldRequestsPerSecond;
    if (const auto &limit = upstream.statements.requestLimit()) {
        const double limitedRate = std::max(*limit->requestsPerSecond, kMinLimitedRate);
        rate = std::min(rate.value_or(limitedRate), limitedRate);
    }
    const bool isAboutToExpire =
            query.plan != nullptr && query.plan->engine && query.version.upcomingMinimum != 0
            && query.version.timeUntilUpcoming < kMaxPathDelay
            && this->reportedVersion(upstream, now) < query.version.upcomingMinimum;
    if (!rate && isAboutToExpire)
        rate = kMaxPermitRate;
    return rate;
}

/// Load of an engine now: what its notice tells, and the requests that the notice doesn't count
/// yet.
EngineLoad UpstreamSelector::engineLoad(const EngineModel &model, const EngineSpec &spec,
                                        const Upstream &upstream, TimePoint now) const
{
    // Without a fresh load notice, all gateways are assumed to have as many requests in flight at
    // the engine as this gateway.
    if (!this->hasFreshNotice(upstream, now))
        return { .active = static_cast<double>(upstream.inFlight) * this->gatewayCount };
    const LoadNotice &notice = upstream.loadNotice;
    const double slots = std::max(spec.slots, upstream.record.slots);
    EngineLoad load{ .active = std::min<double>(notice.active, slots),
                     .queued = std::min<double>(notice.queued, kMaxQueuedPerSlot * slots),
                     .slowdownFactor = notice.slowdownFactor,
                     .contextTokens = static_cast<double>(notice.memoryUsed) };
    load.joining = std::clamp(slots - load.active, 0.0, load.queued);
    // Add the requests that the notice does not count yet. Those of other gateways are expected by
    // `spreadWeights`.
    for (const SentRequest &sent : upstream.recentRequests) {
        if (sent.sentAt < upstream.noticeReceivedAt - kLoadNoticeLag)
            continue;
        load.queued += 1.0;
        load.knownRequests += 1;
        load.knownEngineTime += model.engineTime(sent.cost);
        load.pendingPrefill += model.prefillTime(sent.cost.promptTokens);
    }
    return load;
}

/// True when the memory of an engine has room for the prompt and the expected output of a request,
/// beside the queued requests and those of this gateway that the engine's notice does not count
/// yet. Also true when the engine doesn't report its memory.
bool UpstreamSelector::hasMemory(const Upstream &upstream, const SelectionQuery &query,
                                 TimePoint now) const
{
    const LoadNotice &notice = upstream.loadNotice;
    if (!this->hasFreshNotice(upstream, now) || notice.memoryTotal == 0)
        return true;
    const EngineSpec &spec = *query.plan->engine;
    const auto tokensOf = [&](double promptTokens, const RequestCost &cost) {
        return promptTokens
               + (cost.outputTokens > 0 ? cost.outputTokens : spec.typicalAnswerTokens);
    };
    double required = tokensOf(query.promptTokens, query.cost);
    required += notice.queued * tokensOf(spec.typicalPromptTokens, {});
    for (const SentRequest &sent : upstream.recentRequests) {
        if (sent.sentAt >= upstream.noticeReceivedAt - kLoadNoticeLag)
            required += tokensOf(sent.cost.promptTokens, sent.cost);
    }
    return required <= static_cast<double>(notice.memoryTotal - notice.memoryUsed);
}

UpstreamSelector::Candidate UpstreamSelector::scoreEngine(const std::string &id, Upstream &upstream,
                                                          const SelectionQuery &query,
                                                          TimePoint now) const
{
    const EngineModel model(*query.plan->engine);
    EngineLoad load = this->engineLoad(model, *query.plan->engine, upstream, now);
    // The penalty of an outlier stands for requests that are not there and cause no pause.
    const FloatMilliseconds longestPause = model.longestPause(load, query.promptTokens);
    load.queued += this->outlierDetector.penalty(id, now);
    FloatMilliseconds expectedFirstToken = model.timeToFirstToken(load, query.promptTokens);
    if (upstream.path.roundTrip > kNormalRoundTrip)
        expectedFirstToken += upstream.path.roundTrip;
    if (upstream.record.isSilent)
        expectedFirstToken += kSilentPenalty;
    const bool isCrossZone = upstream.record.zone != this->options.zone;
    // Without a link to the stager the path is unknown. Repeated loss of the link indicates
    // a congested or broken path.
    const Milliseconds penalty = (isCrossZone ? this->options.crossZonePenalty : 0ms)
                                 + (upstream.path.hasLink ? 0ms : kUnknownPathPenalty);
    const bool exceedsMaxPause = query.maxPause > 0ms && longestPause > query.maxPause;
    const FloatMilliseconds pausePenalty = exceedsMaxPause
                                                   ? kPausePenalty + (longestPause - query.maxPause)
                                                   : FloatMilliseconds(0);
    const FloatMilliseconds slownessPenalty = kSlownessPenalty * (load.slowdownFactor - 1);
    const FloatMilliseconds cost =
            expectedFirstToken + FloatMilliseconds(penalty) + pausePenalty + slownessPenalty;
    const double speed = this->speedOf(id);
    EngineLoad slowedLoad = load;
    slowedLoad.slowdownFactor /= speed;
    const FloatMilliseconds speedCost = model.timeToFirstToken(slowedLoad, query.promptTokens)
                                        - model.timeToFirstToken(load, query.promptTokens);
    const SpreadTarget target = this->spreadTarget(
            model, *query.plan->engine, load,
            cost - FloatMilliseconds(isCrossZone ? this->options.crossZonePenalty : 0ms),
            !isCrossZone);
    SpreadTarget slowedTarget = target;
    slowedTarget.wait += speedCost;
    slowedTarget.waitPerStart /= speed;
    slowedTarget.waitPerQueued /= speed;
    return { .id = &id,
             .upstream = &upstream,
             .load = load.active + load.queued,
             .expectedFirstToken = expectedFirstToken,
             .cost = cost,
             .speed = speed,
             .speedCost = speedCost,
             .target = slowedTarget,
             .evenTarget = target,
             .longestPause = longestPause,
             .hasMemory = this->hasMemory(upstream, query, now) };
}

/// The engine for `spreadWeights`. `wait`: predicted time to the first token with the penalties
/// other than that for another zone.
SpreadTarget UpstreamSelector::spreadTarget(const EngineModel &model, const EngineSpec &spec,
                                            const EngineLoad &load, FloatMilliseconds wait,
                                            bool isLocal)
{
    const RequestCost typical{ .promptTokens = spec.typicalPromptTokens };
    return { .wait = wait,
             .freeSlots = std::max(0.0, spec.slots - load.active - load.queued),
             .waitPerStart = std::max(kMinWaitPerRequest, model.prefillTime(typical.promptTokens)
                                                                  * load.slowdownFactor),
             .waitPerQueued =
                     std::max(kMinWaitPerRequest, model.engineTime(typical) * load.slowdownFactor),
             .isLocal = isLocal };
}

/// The prediction includes the round trip, so that a distant engine isn't taken for a slow one.
std::optional<FloatMilliseconds> UpstreamSelector::comparableFirstToken(const Upstream &upstream,
                                                                        const SelectionQuery &query,
                                                                        TimePoint now) const
{
    const EngineModel model(*query.plan->engine);
    const EngineLoad load = this->engineLoad(model, *query.plan->engine, upstream, now);
    const FloatMilliseconds wait = model.slotWaitTime(load);
    const FloatMilliseconds total = model.timeToFirstToken(load, query.promptTokens);
    if (!this->hasFreshNotice(upstream, now) || wait > total / 2)
        return std::nullopt;
    return total + FloatMilliseconds(upstream.path.roundTrip);
}

/// Estimated speed of an upstream, 1 without estimates.
double UpstreamSelector::speedOf(const std::string &id) const
{
    if (this->speeds == nullptr)
        return 1;
    return std::clamp(this->speeds->speed(id), ServerSpeeds::kMinSpeed, 1.0);
}

/// Upstreams of plain services send no load notices, so their load is estimated as the number of
/// requests that this gateway has in flight.
UpstreamSelector::Candidate UpstreamSelector::scorePlain(const std::string &id, Upstream &upstream,
                                                         const SelectionQuery &,
                                                         TimePoint now) const
{
    const double load = upstream.inFlight + this->outlierDetector.penalty(id, now);
    FloatMilliseconds expectedFirstToken = load * kPlainRequestCost;
    FloatMilliseconds speedCost(0);
    const double speed = this->speedOf(id);
    if (this->speeds != nullptr) {
        // Requests beyond this gateway's part of the comfortable load only wait and count twice.
        const double comfortable =
                std::max(1.0, this->speeds->comfortableLoad(id) / this->gatewayCount);
        const double waiting = std::max(0.0, load - comfortable);
        speedCost = ((load + waiting) / speed - load) * kPlainRequestCost;
    }
    if (upstream.record.zone != this->options.zone)
        expectedFirstToken += this->options.plainCrossZonePenalty;
    if (upstream.record.isSilent)
        expectedFirstToken += kSilentPenalty;
    return { .id = &id,
             .upstream = &upstream,
             .load = load,
             .expectedFirstToken = expectedFirstToken,
             .cost = expectedFirstToken,
             .speed = speed,
             .speedCost = speedCost };
}

const UpstreamSelector::Candidate &
UpstreamSelector::drawByWeight(const std::vector<Candidate> &candidates)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        weights.push_back(candidate.weight);
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (!std::isfinite(sum) || sum <= 0)
        weights.assign(weights.size(), 1.0);
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return candidates[distribution(this->random)];
}

ServiceLoad UpstreamSelector::serviceLoad(const SelectionQuery &query, TimePoint now)
{
    std::string scope = query.service;
    for (const auto *regions : { query.routeRegions, query.customerRegions }) {
        scope += '|';
        for (const std::string &region : regions == nullptr ? std::vector<std::string>{} : *regions)
            scope += region + ',';
    }
    if (this->knownLoads.size() >= kMaxKnownLoads && !this->knownLoads.contains(scope))
        this->knownLoads.clear();
    const auto [found, isNew] = this->knownLoads.try_emplace(scope);
    KnownLoad &known = found->second;
    if (isNew || now - known.countedAt >= kKnownLoadMaxAge)
        known = this->countLoad(query, now);
    ServiceLoad load{ .occupancy = known.occupancy, .scope = std::move(scope) };
    if (known.firstTokenBeforePrefill)
        load.firstToken = *known.firstTokenBeforePrefill
                          + EngineModel(*query.plan->engine).prefillTime(query.promptTokens);
    return load;
}

UpstreamSelector::KnownLoad UpstreamSelector::countLoad(const SelectionQuery &query, TimePoint now)
{
    SelectionQuery withoutPrompt = query;
    withoutPrompt.promptTokens = 0;
    const std::uint64_t requiredVersion = this->requiredVersion(query, now);
    KnownLoad known{ .countedAt = now };
    double requests = 0;
    double slots = 0;
    double allRequests = 0;
    double allSlots = 0;
    bool isAnyQueued = false;
    bool isAnyFresh = false;
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.record.service != query.service || !this->isAllowed(upstream, query)
            || !this->servesVersion(upstream, query, requiredVersion, now)
            || now < upstream.statements.waitEnd() || this->outlierDetector.isEjected(id, now))
            continue;
        const Candidate candidate = this->scoreEngine(id, upstream, withoutPrompt, now);
        if (!this->startsBeforeDeadline(candidate, query, now))
            continue;
        const double usableSlots = this->slotsOf(upstream, query, now);
        if (usableSlots <= 0)
            continue;
        const double requestsHere = this->requestsAt(upstream, *query.plan->engine, now);
        // An engine that takes few requests must not make the others look full.
        requests += std::min(requestsHere, kMaxRequestsPerSlot * usableSlots);
        slots += usableSlots;
        allRequests += requestsHere;
        allSlots += query.plan->engine->slots;
        isAnyQueued = isAnyQueued || upstream.loadNotice.queued > 0;
        isAnyFresh = isAnyFresh || this->hasFreshNotice(upstream, now);
        known.firstTokenBeforePrefill =
                std::min(known.firstTokenBeforePrefill.value_or(candidate.expectedFirstToken),
                         candidate.expectedFirstToken);
    }
    if (!isAnyFresh)
        return known;
    known.occupancy = requests / slots;
    // Nothing is refused while half of the slots are free and nothing waits, however slow the
    // engines are.
    if (!isAnyQueued && allRequests < kFreeSlotsShare * allSlots)
        known.occupancy = std::min(*known.occupancy, kUnrefusedOccupancy);
    return known;
}

/// Estimated number of requests at an engine. Unlike `scoreEngine`, assumes no requests of other
/// gateways since the notice: over all engines, about as many requests have ended since.
double UpstreamSelector::requestsAt(const Upstream &upstream, const EngineSpec &engine,
                                    TimePoint now) const
{
    double requests = static_cast<double>(upstream.inFlight) * this->gatewayCount;
    if (this->hasFreshNotice(upstream, now)) {
        const auto inTransit =
                std::ranges::count_if(upstream.recentRequests, [&](const auto &each) {
                    return each.sentAt >= upstream.noticeReceivedAt - kLoadNoticeLag;
                });
        requests = static_cast<double>(upstream.loadNotice.active)
                   + static_cast<double>(upstream.loadNotice.queued)
                   + static_cast<double>(inTransit);
    }
    return std::min(requests, kMaxRequestsPerSlot * engine.slots);
}

/// Number of slots of an engine of usual speed that would end as many requests: fewer than the
/// engine has while it is slow, or while permits limit the rate of its requests.
double UpstreamSelector::slotsOf(const Upstream &upstream, const SelectionQuery &query,
                                 TimePoint now) const
{
    const EngineSpec &engine = *query.plan->engine;
    double slots = engine.slots;
    if (const auto rate = this->permitRate(upstream, query, now)) {
        if (!upstream.path.hasLink)
            return 0;
        const FloatMilliseconds serviceTime =
                EngineModel(engine).engineTime({ .promptTokens = engine.typicalPromptTokens })
                * engine.slots;
        slots = std::min(slots, *rate * serviceTime / FloatMilliseconds(1s));
    }
    const bool isFresh = this->hasFreshNotice(upstream, now);
    return slots / (isFresh ? upstream.loadNotice.slowdownFactor : 1);
}

void UpstreamSelector::onSent(const std::string &upstream, const RequestCost &cost, TimePoint now)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    ++found->second.inFlight;
    this->sentByService[found->second.record.service].add(now);
    found->second.recentRequests.push_back({ .sentAt = now, .cost = cost });
    while (found->second.recentRequests.front().sentAt < now - kRecentWindow)
        found->second.recentRequests.pop_front();
}

void UpstreamSelector::onPermitRefused(const std::string &upstream, Milliseconds retryAfter,
                                       TimePoint now)
{
    this->onPermitAbandoned(upstream);
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end())
        found->second.permitRefusedUntil = now + retryAfter;
}

void UpstreamSelector::onPermitAbandoned(const std::string &upstream)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
    // Which of the recent requests was not sent makes no difference to the estimated load.
    if (!found->second.recentRequests.empty())
        found->second.recentRequests.pop_back();
}

void UpstreamSelector::onEnded(const std::string &upstream, bool failed, TimePoint now)
{
    if (failed)
        this->outlierDetector.onFailure(upstream, now);
    else
        this->outlierDetector.onSuccess(upstream);
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void UpstreamSelector::onRefused(const std::string &upstream, TimePoint now)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    found->second.refusedUntil = now + kRefusalCooldown;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
}

} // namespace egret
