#include "upstream_selector.h"

#include "engine_model.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Own sends that a notice can't have counted yet: it was read this much
/// before it came, and requests take a moment to arrive.
constexpr Milliseconds kNoticeLag = 30ms;
/// Share of the gateways that are taken to send as this one does.
constexpr double kAlikeShare = 0.75;
constexpr Milliseconds kSentKept = 1s;
/// By which a prediction of the first token may be short where weights are used
/// until their last moment.
constexpr Milliseconds kBeginMargin = 200ms;
/// A refusing upstream is left alone for a moment.
constexpr Milliseconds kRefusedPause = 100ms;
constexpr Milliseconds kLeastRetry = 100ms;
constexpr Milliseconds kLongestRetry = 2s;
/// Plain services are quick: what a request in flight there is taken to cost,
/// and the difference that counts little. Together they keep requests in the
/// own zone until a few are in flight there.
constexpr FloatMilliseconds kPlainLoad{ 3 };
constexpr FloatMilliseconds kPlainSpread{ 2 };
/// A path whose round trip is longer is narrow, lossy or broken.
constexpr Milliseconds kUsualRoundTrip = 40ms;
/// What speaks against an upstream whose path is not known.
constexpr Milliseconds kUnknownPath = 300ms;
/// What a prediction is raised by where the upstream has not been heard of late.
constexpr Milliseconds kQuietPenalty = 10s;

bool isIn(const std::vector<std::string> *regions, const std::string &region)
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
    upstream.noticedAt = now;
    upstream.noticed = true;
    while (!upstream.sent.empty() && upstream.sent.front().at < now - kSentKept)
        upstream.sent.pop_front();
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
    // Step 1. Those that may take the request at all.
    const std::uint64_t leastVersion = this->leastVersion(query, now);
    std::vector<Candidate> candidates;
    std::vector<Candidate> failing;
    Selection choice{ .problem = NoUpstreamReason::unknown, .retryAfter = kLongestRetry };
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.record.service != query.service || !this->isAllowed(upstream, query)
            || !this->servesVersion(upstream, query, leastVersion, now))
            continue;
        choice.problem = NoUpstreamReason::failing;
        choice.retryAfter = kLeastRetry * 5;
        if (query.excluded.contains(id))
            continue;
        const bool isEngine = query.plan != nullptr && query.plan->engine;
        const Candidate candidate = isEngine ? this->weighEngine(id, upstream, query, now)
                                             : this->weighPlain(id, upstream, query, now);
        if (isEngine && !this->beginsInTime(candidate, query, now))
            continue;
        const bool isBad = this->outliers.isEjected(id, now) || now < upstream.refusedUntil
                           || this->isColdFull(upstream, query, now);
        (isBad ? failing : candidates).push_back(candidate);
    }
    // Step 2. One that fails is better than none for what may be repeated.
    if (candidates.empty() && query.mayRunTwice) {
        std::erase_if(failing, [&](const Candidate &each) {
            return this->isColdFull(*each.upstream, query, now);
        });
        candidates = failing;
    }
    if (candidates.empty())
        return choice;
    // Step 3. Of those, the ones that answer in time.
    const auto quickest = std::ranges::min(candidates, {}, &Candidate::expected).expected;
    if (query.firstTokenLimit && quickest > *query.firstTokenLimit) {
        choice.problem = NoUpstreamReason::busy;
        const auto excess = std::chrono::ceil<Milliseconds>(quickest - *query.firstTokenLimit);
        choice.retryAfter = std::clamp(excess, kLeastRetry, kLongestRetry);
        choice.expectedFirstToken = std::chrono::ceil<Milliseconds>(quickest);
        return choice;
    }
    const bool isPlain = query.plan == nullptr || !query.plan->engine;
    const FloatMilliseconds spread =
            isPlain ? kPlainSpread : FloatMilliseconds(this->options.spread);
    const auto cheapest = std::ranges::min(candidates, {}, &Candidate::cost).cost;
    for (Candidate &candidate : candidates) {
        const double behind = (candidate.cost - cheapest) / spread;
        candidate.weight = std::exp(-behind);
    }
    const Candidate &best = this->draw(candidates);
    Upstream &upstream = *best.upstream;
    const double bound = query.plan != nullptr ? query.plan->maxConnections : 0;
    const double share = bound * this->options.connectionShare / this->gateways;
    choice = { .upstream = *best.id,
               .endpoint = upstream.endpoint,
               .version = this->versionOf(upstream, now),
               .maxConnections = bound > 0 ? std::max(2U, static_cast<std::uint32_t>(share)) : 256,
               .expectedFirstToken = std::chrono::ceil<Milliseconds>(best.expected),
               .load = best.load,
               .noticeAge = upstream.noticed
                                    ? std::chrono::floor<Milliseconds>(now - upstream.noticedAt)
                                    : 0ms };
    return choice;
}

bool UpstreamSelector::isAllowed(const Upstream &upstream, const SelectionQuery &query) const
{
    const UpstreamRecord &record = upstream.record;
    if (record.notice != AnnouncedState::ready || this->zonesOut.contains(record.zone))
        return false;
    const auto region = this->options.regions.find(record.zone);
    const std::string name = region == this->options.regions.end() ? "" : region->second;
    return isIn(query.routeRegions, name) && isIn(query.customerRegions, name);
}

bool UpstreamSelector::isNoticed(const Upstream &upstream, TimePoint now) const
{
    return upstream.noticed && now - upstream.noticedAt < this->options.noticeLimit;
}

/// Version of the weights that an engine is believed to hold.
std::uint64_t UpstreamSelector::versionOf(const Upstream &upstream, TimePoint now) const
{
    return this->isNoticed(upstream, now) ? upstream.notice.version : upstream.record.version;
}

/// True unless the request might still wait there when the engine's weights are
/// no longer to be used.
bool UpstreamSelector::beginsInTime(const Candidate &candidate, const SelectionQuery &query,
                                    TimePoint now) const
{
    return query.version.soon == 0
           || this->versionOf(*candidate.upstream, now) >= query.version.soon
           || (candidate.upstream->path.hasLink
               && candidate.expected + kBeginMargin <= query.version.soonIn);
}

/// The version that a request needs: the preferred one where an engine has it.
std::uint64_t UpstreamSelector::leastVersion(const SelectionQuery &query, TimePoint now) const
{
    if (query.version.preferred <= query.version.minimum)
        return query.version.minimum;
    const bool isThere = std::ranges::any_of(this->upstreams, [&](const auto &each) {
        return each.second.record.service == query.service && this->isAllowed(each.second, query)
               && this->servesVersion(each.second, query, query.version.preferred, now);
    });
    return isThere ? query.version.preferred : query.version.minimum;
}

/// True where an engine holds the weights that are wanted.
bool UpstreamSelector::servesVersion(const Upstream &upstream, const SelectionQuery &query,
                                     std::uint64_t leastVersion, TimePoint now) const
{
    if (query.plan == nullptr || !query.plan->engine)
        return true;
    const bool isNoticed = this->isNoticed(upstream, now);
    if (isNoticed && !upstream.notice.isUsable)
        return false;
    const std::uint64_t version = this->versionOf(upstream, now);
    return version > 0 && version >= leastVersion
           && (query.exactVersion == 0 || version == query.exactVersion);
}

/// True when a cold upstream has had its share of the last second's requests.
bool UpstreamSelector::isColdFull(Upstream &upstream, const SelectionQuery &query,
                                  TimePoint now) const
{
    if (now >= upstream.coldUntil || query.plan == nullptr
        || query.plan->coldRequestsPerSecond <= 0)
        return false;
    const auto ofLate = std::ranges::count_if(
            upstream.sent, [now](const Sent &each) { return each.at > now - kSentKept; });
    const double share = query.plan->coldRequestsPerSecond / this->gateways;
    return static_cast<double>(ofLate) >= std::max(1.0, share);
}

UpstreamSelector::Candidate UpstreamSelector::weighEngine(const std::string &id, Upstream &upstream,
                                                          const SelectionQuery &query,
                                                          TimePoint now) const
{
    const EngineModel model(*query.plan->engine);
    EngineLoad load{ .active = static_cast<double>(upstream.inFlight) * this->gateways };
    if (this->isNoticed(upstream, now)) {
        load = { .active = static_cast<double>(upstream.notice.active),
                 .queued = static_cast<double>(upstream.notice.queued),
                 .slowdownFactor = std::max(1.0, upstream.notice.slowdownFactor) };
        // The other gateways see the same and do the same meanwhile.
        const double alike = std::max(1.0, kAlikeShare * this->gateways);
        for (const Sent &sent : upstream.sent) {
            if (sent.at < upstream.noticedAt - kNoticeLag)
                continue;
            load.queued += alike;
            load.promptTokens += sent.promptTokens;
        }
    }
    load.queued += this->outliers.penalty(id, now);
    FloatMilliseconds expected = model.firstToken(load, query.promptTokens);
    if (upstream.path.roundTrip > kUsualRoundTrip)
        expected += upstream.path.roundTrip;
    if (upstream.record.isQuiet)
        expected += kQuietPenalty;
    const bool isFar = upstream.record.zone != this->options.zone;
    // Without a link to its stager the path is unknown: a link that is lost again
    // and again has a full or broken one.
    const Milliseconds detour =
            (isFar ? this->options.farther : 0ms) + (upstream.path.hasLink ? 0ms : kUnknownPath);
    return { .id = &id,
             .upstream = &upstream,
             .load = load.active + load.queued,
             .expected = expected,
             .cost = expected + FloatMilliseconds(detour) };
}

/// A plain service tells nothing of its load: own requests there count.
UpstreamSelector::Candidate UpstreamSelector::weighPlain(const std::string &id, Upstream &upstream,
                                                         const SelectionQuery &,
                                                         TimePoint now) const
{
    const double load = upstream.inFlight + this->outliers.penalty(id, now);
    FloatMilliseconds expected = load * kPlainLoad;
    if (upstream.record.zone != this->options.zone)
        expected += this->options.plainFarther;
    if (upstream.record.isQuiet)
        expected += kQuietPenalty;
    return {
        .id = &id, .upstream = &upstream, .load = load, .expected = expected, .cost = expected
    };
}

/// Draws by weight.
const UpstreamSelector::Candidate &UpstreamSelector::draw(const std::vector<Candidate> &candidates)
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
    found->second.sent.push_back({ .at = now, .promptTokens = promptTokens });
    while (found->second.sent.front().at < now - kSentKept)
        found->second.sent.pop_front();
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
    found->second.refusedUntil = now + kRefusedPause;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
}

} // namespace egret
