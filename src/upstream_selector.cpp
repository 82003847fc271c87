#include "upstream_selector.h"

#include "engine_model.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Requests sent less than this before a load notice arrived are not in its counts: the
/// load was read earlier, and requests need time to reach the engine.
constexpr Milliseconds kLoadNoticeLag = 30ms;
/// Share of the gateways that are assumed to send to the same upstream as this one.
constexpr double kSameUpstreamShare = 0.75;
/// Time for which own requests to an upstream are kept; slow start counts them per second.
constexpr Milliseconds kRecentWindow = 1s;
/// Error allowed for in the predicted time to the first token when the deadline of an
/// upstream's weights is near.
constexpr Milliseconds kFirstTokenMargin = 200ms;
/// Cooldown of an upstream after a refusal.
constexpr Milliseconds kRefusalCooldown = 100ms;
constexpr Milliseconds kMinRetryAfter = 100ms;
constexpr Milliseconds kMaxRetryAfter = 2s;
/// Cost of one in-flight request at an upstream of a plain service, and the scale of cost
/// differences. Plain services respond quickly, so both are small; together they keep
/// requests in the own zone until a few are in flight there.
constexpr FloatMilliseconds kPlainRequestCost{ 3 };
constexpr FloatMilliseconds kPlainCostSpread{ 2 };
/// A longer round trip shows a path with little bandwidth, packet loss or an outage.
constexpr Milliseconds kNormalRoundTrip = 40ms;
/// Penalty of an upstream whose network path is unknown.
constexpr Milliseconds kUnknownPathPenalty = 300ms;
/// Penalty of an upstream whose announcements are overdue.
constexpr Milliseconds kQuietPenalty = 10s;

bool allowsRegion(const std::vector<std::string> *regions, const std::string &region)
{
    return regions == nullptr || regions->empty()
           || std::ranges::find(*regions, region) != regions->end();
}

} // namespace

const char *noUpstreamReasonName(NoUpstreamReason problem)
{
    switch (problem) {
    case NoUpstreamReason::none:
        return "none";
    case NoUpstreamReason::unknown:
        return "no-upstream";
    case NoUpstreamReason::busy:
        return "busy";
    case NoUpstreamReason::failing:
        return "failing";
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
            std::erase_if(this->byEndpoint,
                          [&](const auto &each) { return each.second == record.id; });
            this->upstreams.erase(found);
        }
        return;
    }
    const auto endpoint = Endpoint::parse(record.endpoint);
    if (!endpoint)
        return;
    Upstream &upstream = this->upstreams[record.id];
    if (upstream.record.startedAtMs != record.startedAtMs)
        upstream = {};
    upstream.record = record;
    upstream.endpoint = *endpoint;
    upstream.coldUntil = now + record.coldFor;
    this->byEndpoint[record.endpoint] = record.id;
}

void UpstreamSelector::onLoadNotice(const LoadNotice &notice, TimePoint now)
{
    const auto found = this->byEndpoint.find(notice.endpoint);
    if (found == this->byEndpoint.end())
        return;
    Upstream &upstream = this->upstreams[found->second];
    upstream.notice = notice;
    upstream.noticeReceivedAt = now;
    upstream.hasNotice = true;
    while (!upstream.recentRequests.empty()
           && upstream.recentRequests.front().at < now - kRecentWindow)
        upstream.recentRequests.pop_front();
}

void UpstreamSelector::setPath(const std::string &endpoint, const UpstreamPath &path)
{
    const auto found = this->byEndpoint.find(endpoint);
    if (found != this->byEndpoint.end())
        this->upstreams[found->second].path = path;
}

void UpstreamSelector::setZonesOut(const std::vector<std::string> &zones)
{
    this->zonesOut = { zones.begin(), zones.end() };
}

Selection UpstreamSelector::choose(const SelectionQuery &query, TimePoint now)
{
    // Step 1. Collect the upstreams that may accept the request.
    const std::uint64_t requiredVersion = this->requiredVersion(query, now);
    std::vector<Candidate> candidates;
    std::vector<Candidate> lastResort;
    Selection selection{ .problem = NoUpstreamReason::unknown, .retryAfter = kMaxRetryAfter };
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.record.service != query.service || !this->isAllowed(upstream, query)
            || !this->servesVersion(upstream, query, requiredVersion, now))
            continue;
        selection.problem = NoUpstreamReason::failing;
        selection.retryAfter = kMinRetryAfter * 5;
        if (query.excluded.contains(id))
            continue;
        const bool isEngine = query.plan != nullptr && query.plan->engine;
        const Candidate candidate = isEngine ? this->scoreEngine(id, upstream, query, now)
                                             : this->scorePlain(id, upstream, query, now);
        if (isEngine && !this->startsBeforeDeadline(candidate, query, now))
            continue;
        const bool isBad = this->outliers.isEjected(id, now) || now < upstream.refusedUntil
                           || this->isColdFull(upstream, query, now);
        (isBad ? lastResort : candidates).push_back(candidate);
    }
    // Step 2. With no other candidate, use a failing upstream if the request may run twice.
    if (candidates.empty() && query.mayRunTwice) {
        std::erase_if(lastResort, [&](const Candidate &each) {
            return this->isColdFull(*each.upstream, query, now);
        });
        candidates = lastResort;
    }
    if (candidates.empty())
        return selection;
    // Step 3. Refuse the request when no candidate can return the first token in time.
    const auto quickest = std::ranges::min(candidates, {}, &Candidate::expected).expected;
    if (query.firstTokenLimit && quickest > *query.firstTokenLimit) {
        selection.problem = NoUpstreamReason::busy;
        const auto excess = std::chrono::ceil<Milliseconds>(quickest - *query.firstTokenLimit);
        selection.retryAfter = std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
        selection.expectedFirstToken = std::chrono::ceil<Milliseconds>(quickest);
        return selection;
    }
    // Step 4. Draw a candidate; the weight falls exponentially with the extra cost.
    const bool isPlain = query.plan == nullptr || !query.plan->engine;
    const FloatMilliseconds spread =
            isPlain ? kPlainCostSpread : FloatMilliseconds(this->options.costSpread);
    const auto cheapest = std::ranges::min(candidates, {}, &Candidate::cost).cost;
    for (Candidate &candidate : candidates) {
        const double excessCost = (candidate.cost - cheapest) / spread;
        candidate.weight = std::exp(-excessCost);
    }
    const Candidate &best = this->drawByWeight(candidates);
    Upstream &upstream = *best.upstream;
    const double bound = query.plan != nullptr ? query.plan->maxConnections : 0;
    const double share = bound * this->options.connectionShare / this->gateways;
    selection = { .upstream = *best.id,
                  .endpoint = upstream.endpoint,
                  .version = this->currentVersion(upstream, now),
                  .maxConnections =
                          bound > 0 ? std::max(2U, static_cast<std::uint32_t>(share)) : 256,
                  .expectedFirstToken = std::chrono::ceil<Milliseconds>(best.expected),
                  .load = best.load,
                  .noticeAge = upstream.hasNotice ? std::chrono::floor<Milliseconds>(
                                       now - upstream.noticeReceivedAt)
                                                  : 0ms };
    return selection;
}

bool UpstreamSelector::isAllowed(const Upstream &upstream, const SelectionQuery &query) const
{
    const UpstreamRecord &record = upstream.record;
    if (record.notice != AnnouncedState::ready || this->zonesOut.contains(record.zone))
        return false;
    const auto region = this->options.regions.find(record.zone);
    const std::string name = region == this->options.regions.end() ? "" : region->second;
    return allowsRegion(query.routeRegions, name) && allowsRegion(query.customerRegions, name);
}

bool UpstreamSelector::hasFreshNotice(const Upstream &upstream, TimePoint now) const
{
    return upstream.hasNotice && now - upstream.noticeReceivedAt < this->options.loadNoticeMaxAge;
}

/// Last reported version of the weights of an engine.
std::uint64_t UpstreamSelector::currentVersion(const Upstream &upstream, TimePoint now) const
{
    return this->hasFreshNotice(upstream, now) ? upstream.notice.version : upstream.record.version;
}

/// False when the request might still be queued at the engine at the deadline from which
/// the engine's version of the weights may no longer be used.
bool UpstreamSelector::startsBeforeDeadline(const Candidate &candidate, const SelectionQuery &query,
                                            TimePoint now) const
{
    return query.version.upcoming == 0
           || this->currentVersion(*candidate.upstream, now) >= query.version.upcoming
           || (candidate.upstream->path.hasLink
               && candidate.expected + kFirstTokenMargin <= query.version.upcomingIn);
}

/// Lowest version that may serve a request: the preferred one if held by any engine.
std::uint64_t UpstreamSelector::requiredVersion(const SelectionQuery &query, TimePoint now) const
{
    if (query.version.preferred <= query.version.minimum)
        return query.version.minimum;
    const bool isThere = std::ranges::any_of(this->upstreams, [&](const auto &each) {
        return each.second.record.service == query.service && this->isAllowed(each.second, query)
               && this->servesVersion(each.second, query, query.version.preferred, now);
    });
    return isThere ? query.version.preferred : query.version.minimum;
}

/// True when an engine holds an allowed version of the weights. Plain services have none.
bool UpstreamSelector::servesVersion(const Upstream &upstream, const SelectionQuery &query,
                                     std::uint64_t requiredVersion, TimePoint now) const
{
    if (query.plan == nullptr || !query.plan->engine)
        return true;
    const bool hasFreshNotice = this->hasFreshNotice(upstream, now);
    if (hasFreshNotice && !upstream.notice.isUsable)
        return false;
    const std::uint64_t version = this->currentVersion(upstream, now);
    return version > 0 && version >= requiredVersion
           && (query.exactVersion == 0 || version == query.exactVersion);
}

/// True when a cold upstream got this gateway's share of the slow-start rate in the last second.
bool UpstreamSelector::isColdFull(Upstream &upstream, const SelectionQuery &query,
                                  TimePoint now) const
{
    if (now >= upstream.coldUntil || query.plan == nullptr
        || query.plan->coldRequestsPerSecond <= 0)
        return false;
    const auto recent =
            std::ranges::count_if(upstream.recentRequests, [now](const SentRequest &each) {
                return each.at > now - kRecentWindow;
            });
    const double share = query.plan->coldRequestsPerSecond / this->gateways;
    return static_cast<double>(recent) >= std::max(1.0, share);
}

UpstreamSelector::Candidate UpstreamSelector::scoreEngine(const std::string &id, Upstream &upstream,
                                                          const SelectionQuery &query,
                                                          TimePoint now) const
{
    const EngineModel model(*query.plan->engine);
    EngineLoad load{ .active = static_cast<double>(upstream.inFlight) * this->gateways };
    if (this->hasFreshNotice(upstream, now)) {
        load = { .active = static_cast<double>(upstream.notice.active),
                 .queued = static_cast<double>(upstream.notice.queued),
                 .slowdownFactor = std::max(1.0, upstream.notice.slowdownFactor) };
        // The other gateways have the same notice and send to the same upstream meanwhile.
        const double sameUpstream = std::max(1.0, kSameUpstreamShare * this->gateways);
        for (const SentRequest &sent : upstream.recentRequests) {
            if (sent.at < upstream.noticeReceivedAt - kLoadNoticeLag)
                continue;
            load.queued += sameUpstream;
            load.promptTokens += sent.promptTokens;
        }
    }
    load.queued += this->outliers.penalty(id, now);
    FloatMilliseconds expected = model.timeToFirstToken(load, query.promptTokens);
    if (upstream.path.roundTrip > kNormalRoundTrip)
        expected += upstream.path.roundTrip;
    if (upstream.record.isSilent)
        expected += kQuietPenalty;
    const bool isCrossZone = upstream.record.zone != this->options.zone;
    // Without a link to the stager the path is unknown; a link that is lost repeatedly
    // has a congested or broken path.
    const Milliseconds penalty = (isCrossZone ? this->options.crossZonePenalty : 0ms)
                                 + (upstream.path.hasLink ? 0ms : kUnknownPathPenalty);
    return { .id = &id,
             .upstream = &upstream,
             .load = load.active + load.queued,
             .expected = expected,
             .cost = expected + FloatMilliseconds(penalty) };
}

/// Plain services send no load notices, so own in-flight requests are the load.
UpstreamSelector::Candidate UpstreamSelector::scorePlain(const std::string &id, Upstream &upstream,
                                                         const SelectionQuery &,
                                                         TimePoint now) const
{
    const double load = upstream.inFlight + this->outliers.penalty(id, now);
    FloatMilliseconds expected = load * kPlainRequestCost;
    if (upstream.record.zone != this->options.zone)
        expected += this->options.plainCrossZonePenalty;
    if (upstream.record.isSilent)
        expected += kQuietPenalty;
    return {
        .id = &id, .upstream = &upstream, .load = load, .expected = expected, .cost = expected
    };
}

const UpstreamSelector::Candidate &
UpstreamSelector::drawByWeight(const std::vector<Candidate> &candidates)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        weights.push_back(candidate.weight);
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return candidates[distribution(this->random)];
}

void UpstreamSelector::onSent(const std::string &upstream, double promptTokens, TimePoint now)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end())
        return;
    ++found->second.inFlight;
    found->second.recentRequests.push_back({ .at = now, .promptTokens = promptTokens });
    while (found->second.recentRequests.front().at < now - kRecentWindow)
        found->second.recentRequests.pop_front();
}

void UpstreamSelector::onEnded(const std::string &upstream, bool failed, TimePoint now)
{
    if (failed)
        this->outliers.onFailure(upstream, now);
    else
        this->outliers.onSuccess(upstream);
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
