#include "server_speed.h"

#include "speed_observations.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Kind of the observations of engines, whose times are compared with predicted ones.
constexpr std::uint64_t kPredictedKind = 0;
/// Kinds (routes) by which the times of one upstream are distinguished.
constexpr std::size_t kMaxKinds = 8;
/// A kind whose weight falls below this is removed, to make room for the routes of a new document.
constexpr double kMinKindWeight = 0.01;
/// Answers in one observation that count; bounds what a single message can change.
constexpr double kMaxAnswersAtOnce = 64;
/// Largest distance of a time's logarithm from the mean: a factor of 10. Keeps single outliers,
/// such as an answer that waited for a retransmission, from moving the mean.
constexpr double kMaxDeviation = 2.3;
/// Answers from which an upstream counts for the reference of its service.
constexpr double kMinWeight = 8;
/// Variance of the logarithm that is assumed at least; small samples often look too even.
constexpr double kMinVariance = 0.05;
/// A difference below this many standard errors is taken for noise. With 2, equal servers under
/// high load, whose times depend on each other, cost 2% of the median time.
constexpr double kSignificance = 3;
/// Width of the group of the fastest upstreams, whose mean is the reference. The maximum alone
/// would be the luckiest estimate, beside which equal upstreams look slow.
constexpr double kFastGroupWidth = 0.25;
/// Largest ratio of the reference to the median. Bounds what one upstream that answers without
/// doing its work can attract.
constexpr double kMaxLeadFactor = 4;
/// Passes of the fit in each update. It starts from the previous result, so few are needed.
constexpr int kFitPasses = 4;
/// Ratio of the upper to the lower bound of a class of load, as a power of two.
constexpr double kClassesPerDoubling = 2;
/// Slowdown from which a class of load is taken to be beyond the comfortable load.
constexpr double kKneeFactor = 1.25;
/// Share of the announced slots below which the comfortable load is worth acting on. Waiting for
/// slots that are all taken is known without it.
constexpr double kKneeSlotsShare = 0.8;
/// Time over which the number of requests of other gateways is averaged.
constexpr FloatMilliseconds kOthersWindow{ 3000 };
/// An estimate that has changed by this factor is logged.
constexpr double kLoggedFactor = 1.5;

/// FNV-1a digest of a route's name; never `kPredictedKind`. All gateways must agree on it.
std::uint64_t kindOf(const std::string &route)
{
    std::uint64_t digest = 14695981039346656037ULL;
    for (const char each : route)
        digest = (digest ^ static_cast<unsigned char>(each)) * 1099511628211ULL;
    return digest == kPredictedKind ? 1 : digest;
}

std::size_t loadClassOf(double inFlight, std::size_t count)
{
    const double position = kClassesPerDoubling * std::log2(std::max(1.0, inFlight));
    return std::min(static_cast<std::size_t>(position), count - 1);
}

/// Factor by which a request waits for a slot when all are taken.
double slotsFactor(double inFlight, double slots)
{
    return slots > 0 ? std::max(1.0, inFlight / slots) : 1.0;
}

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

ServerSpeedOptions serverSpeedOptions(const ServerSpeedSettings &settings)
{
    constexpr double percent = 100;
    return { .windowAnswers = static_cast<double>(settings.windowAnswers),
             .halfLife = settings.halfLife,
             .deadband = settings.deadbandPercent / percent,
             .maxStep = settings.maxStepPercent / percent };
}

void ServerSpeeds::Mean::add(double sample, double sampleWeight)
{
    this->weight += sampleWeight;
    if (this->weight > 0)
        this->value += sampleWeight / this->weight * (sample - this->value);
}

double ServerSpeeds::Upstream::weight() const
{
    double sum = 0;
    for (const auto &[kind, mean] : this->byKind)
        sum += mean.weight;
    return sum;
}

void ServerSpeeds::onUpstream(const UpstreamRecord &record)
{
    const auto known = this->upstreams.find(record.id);
    const bool isSame = known != this->upstreams.end()
                        && known->second.startedAtMs == record.startedAtMs
                        && known->second.service == record.service;
    const bool isGone = record.notice == AnnouncedState::gone;
    if (isGone || !isSame)
        std::erase_if(this->ownAnswers,
                      [&](const auto &each) { return each.first.first == record.id; });
    if (isGone) {
        this->upstreams.erase(record.id);
        return;
    }
    Upstream &upstream = this->upstreams[record.id];
    if (!isSame)
        upstream = { .startedAtMs = record.startedAtMs, .service = record.service };
    upstream.slots = record.slots;
}

void ServerSpeeds::onAnswer(const SpeedAnswer &answer, TimePoint now)
{
    const auto found = this->upstreams.find(answer.upstream);
    const double measured = answer.measured.count();
    if (found == this->upstreams.end() || found->second.startedAtMs != answer.startedAtMs
        || !std::isfinite(measured) || measured <= 0
        || (answer.expected && !(answer.expected->count() > 0)))
        return;
    Upstream &upstream = found->second;
    const FloatMilliseconds othersAge = now - upstream.othersAt;
    // The load of an engine comes from its notices, which count the requests of all gateways.
    const double others =
            answer.expected ? 0 : upstream.othersInFlight * std::exp(-othersAge / kOthersWindow);
    const double inFlight = answer.inFlight + others;
    const double expected =
            answer.expected ? answer.expected->count() : slotsFactor(inFlight, upstream.slots);
    const auto observation =
            clampedObservation({ .upstream = answer.upstream,
                                 .startedAtMs = answer.startedAtMs,
                                 .kind = answer.expected ? kPredictedKind : kindOf(answer.route),
                                 .count = 1,
                                 .mean = std::log(measured / expected),
                                 .concurrency = inFlight,
                                 .busyMs = measured });
    if (!observation || !this->apply(upstream, *observation, now))
        return;
    OwnAnswers &own = this->ownAnswers[{ answer.upstream, observation->kind }];
    ++own.count;
    own.sum += observation->mean;
    own.sumOfSquares += observation->mean * observation->mean;
    own.inFlight += inFlight;
    own.busyMs += measured;
}

void ServerSpeeds::onShared(const SpeedObservation &observation, TimePoint now)
{
    const auto found = this->upstreams.find(observation.upstream);
    const auto clamped = clampedObservation(observation);
    if (found == this->upstreams.end() || !clamped
        || found->second.startedAtMs != clamped->startedAtMs)
        return;
    Upstream &upstream = found->second;
    const FloatMilliseconds elapsed = now - upstream.othersAt;
    upstream.othersInFlight = upstream.othersInFlight * std::exp(-elapsed / kOthersWindow)
                              + clamped->busyMs / kOthersWindow.count();
    upstream.othersAt = now;
    this->apply(upstream, *clamped, now);
}

/// Reduces the weights of an upstream's earlier answers and removes kinds without weight, for
/// `answers` new ones and for the time.
void ServerSpeeds::age(Upstream &upstream, double answers, TimePoint now) const
{
    const FloatMilliseconds elapsed = now - upstream.agedAt;
    double factor = std::pow(1 - 1 / this->options.windowAnswers, answers);
    if (upstream.samples > 0 && elapsed.count() > 0)
        factor *= std::exp2(-elapsed / FloatMilliseconds(this->options.halfLife));
    upstream.agedAt = now;
    for (auto &[kind, mean] : upstream.byKind)
        mean.weight *= factor;
    std::erase_if(upstream.byKind,
                  [](const auto &each) { return each.second.weight < kMinKindWeight; });
    for (LoadClass &each : upstream.byLoad) {
        each.excess.weight *= factor;
        each.inFlight.weight *= factor;
    }
    upstream.variance.weight *= factor;
}

/// Adds answers to an upstream's means. False if the upstream has too many kinds already.
bool ServerSpeeds::apply(Upstream &upstream, const SpeedObservation &observation, TimePoint now)
{
    this->age(upstream, 0, now);
    if (!upstream.byKind.contains(observation.kind) && upstream.byKind.size() >= kMaxKinds)
        return false;
    const double count = std::min<double>(observation.count, kMaxAnswersAtOnce);
    this->age(upstream, count, now);
    Mean &mean = upstream.byKind[observation.kind];
    const double sample = mean.weight < 1 ? observation.mean
                                          : std::clamp(observation.mean, mean.value - kMaxDeviation,
                                                       mean.value + kMaxDeviation);
    const double deviation = mean.weight < 1 ? 0 : sample - mean.value;
    upstream.variance.add(deviation * deviation + observation.variance, count);
    mean.add(sample, count);
    const auto &kinds = this->services[upstream.service].byKind;
    const auto kind = kinds.find(observation.kind);
    if (kind != kinds.end()) {
        LoadClass &load = upstream.byLoad[loadClassOf(observation.concurrency, kLoadClasses)];
        load.excess.add(sample - kind->second, count);
        load.inFlight.add(observation.concurrency, count);
    }
    upstream.samples += observation.count;
    upstream.answeredAt = now;
    return true;
}

std::vector<SpeedObservation> ServerSpeeds::takeObservations(TimePoint now)
{
    std::vector<SpeedObservation> observations;
    if (this->ownAnswers.empty() || (this->takenAt && now < *this->takenAt + kSpeedMessagePeriod))
        return observations;
    this->takenAt = now;
    const std::size_t count = std::min(this->ownAnswers.size(), kMaxSpeedObservations);
    auto next = this->ownAnswers.upper_bound(this->lastTaken);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == this->ownAnswers.end())
            next = this->ownAnswers.begin();
        const auto &[key, own] = *next;
        const auto upstream = this->upstreams.find(key.first);
        const double mean = own.sum / own.count;
        if (upstream != this->upstreams.end())
            observations.push_back(
                    { .upstream = key.first,
                      .startedAtMs = upstream->second.startedAtMs,
                      .kind = key.second,
                      .count = own.count,
                      .mean = mean,
                      .variance = std::max(0.0, own.sumOfSquares / own.count - mean * mean),
                      .concurrency = own.inFlight / own.count,
                      .busyMs = own.busyMs });
        this->lastTaken = key;
        next = this->ownAnswers.erase(next);
    }
    return observations;
}

void ServerSpeeds::update(TimePoint now)
{
    const auto elapsed = this->updatedAt
                                 ? std::chrono::duration_cast<Milliseconds>(now - *this->updatedAt)
                                 : 0ms;
    this->updatedAt = now;
    std::map<std::string, std::vector<Upstream *>> members;
    for (auto &[id, upstream] : this->upstreams) {
        this->age(upstream, 0, now);
        members[upstream.service].push_back(&upstream);
    }
    std::erase_if(this->services, [&](const auto &each) { return !members.contains(each.first); });
    for (const auto &[name, each] : members) {
        this->fit(each, this->services[name]);
        this->publish(each, elapsed);
    }
    for (auto &[id, upstream] : this->upstreams)
        upstream.comfortableLoad = findComfortableLoad(upstream);
}

/// Fits the logarithms of the times as the sum of a term for the kind and one for the upstream, by
/// alternating least squares.
void ServerSpeeds::fit(const std::vector<Upstream *> &members, Service &service) const
{
    for (int pass = 0; pass < kFitPasses; ++pass) {
        std::map<std::uint64_t, Mean> kinds;
        for (const Upstream *upstream : members) {
            for (const auto &[kind, mean] : upstream->byKind)
                kinds[kind].add(mean.value - upstream->slowness, mean.weight);
        }
        service.byKind.clear();
        for (const auto &[kind, mean] : kinds)
            service.byKind[kind] = mean.value;
        for (Upstream *upstream : members) {
            Mean slowness;
            for (const auto &[kind, mean] : upstream->byKind)
                slowness.add(mean.value - service.byKind[kind], mean.weight);
            upstream->slowness = slowness.value;
        }
    }
}

/// Standard error of an upstream's slowness. The mean with exponentially reduced weights is as
/// exact as one of twice as many answers when the window is full.
double ServerSpeeds::standardError(const Upstream &upstream) const
{
    const double weight = upstream.weight();
    const double answers = weight / std::max(0.5, 1 - weight / (2 * this->options.windowAnswers));
    return std::sqrt(std::max(kMinVariance, upstream.variance.value) / std::max(1e-9, answers));
}

/// Difference in speed to act on: what is within the noise or the deadband is treated as none.
double ServerSpeeds::damped(double difference, double error) const
{
    const double size = std::abs(difference);
    const double noise = kSignificance * error;
    if (size <= noise)
        return 0;
    // Positive-part James-Stein shrinkage towards the speed of the others.
    const double shrunk = difference * (1 - noise * noise / (size * size));
    const double deadband = -std::log(1 - this->options.deadband);
    if (deadband <= 0 || size >= 2 * deadband)
        return shrunk;
    // Without a step at the edge, at which an estimate would go to and fro.
    return shrunk * std::max(0.0, 2 * (size - deadband) / size);
}

/// Moves the published speeds of a service's upstreams towards their estimates.
void ServerSpeeds::publish(const std::vector<Upstream *> &members, Milliseconds elapsed) const
{
    std::vector<double> known;
    double fastest = -std::numeric_limits<double>::infinity();
    for (const Upstream *upstream : members) {
        if (upstream->weight() < kMinWeight)
            continue;
        known.push_back(-upstream->slowness);
        fastest = std::max(fastest, -upstream->slowness - this->standardError(*upstream));
    }
    Mean reference;
    if (known.size() >= 2) {
        fastest = std::min(fastest, medianOf(known) + std::log(kMaxLeadFactor));
        for (const double speed : known) {
            if (speed > fastest - kFastGroupWidth)
                reference.add(std::min(speed, fastest + kFastGroupWidth), 1);
        }
    }
    const double seconds = std::min<double>(1, FloatMilliseconds(elapsed).count() / 1000);
    const double step = std::log1p(this->options.maxStep) * seconds;
    for (Upstream *upstream : members) {
        double target = 0;
        if (reference.weight > 0 && upstream->weight() >= 1)
            target = std::clamp(this->damped(-upstream->slowness - reference.value,
                                             this->standardError(*upstream)),
                                std::log(kMinSpeed), 0.0);
        upstream->logSpeed += std::clamp(target - upstream->logSpeed, -step, step);
    }
}

/// Compares the times at higher loads with those at the lowest load that has enough answers. Where
/// more work only waits, the time grows in proportion to the load, and the load divided by the
/// slowdown is the load at which the waiting begins.
double ServerSpeeds::findComfortableLoad(const Upstream &upstream)
{
    constexpr double unknown = std::numeric_limits<double>::infinity();
    if (upstream.slots <= 0)
        return unknown;
    const double variance = std::max(kMinVariance, upstream.variance.value);
    std::optional<Mean> base;
    Mean knee;
    for (const LoadClass &each : upstream.byLoad) {
        if (each.excess.weight < kMinWeight)
            continue;
        if (!base) {
            base = each.excess;
            continue;
        }
        const double difference = each.excess.value - base->value;
        const double error = std::sqrt(variance / each.excess.weight + variance / base->weight);
        if (difference < std::max(std::log(kKneeFactor), kSignificance * error))
            continue;
        const double factor =
                std::exp(difference) * slotsFactor(each.inFlight.value, upstream.slots);
        knee.add(each.inFlight.value / factor, each.excess.weight);
    }
    const double load = std::max(1.0, knee.value);
    if (knee.weight <= 0 || load >= kKneeSlotsShare * upstream.slots)
        return unknown;
    return load;
}

double ServerSpeeds::speed(const std::string &upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 1 : std::exp(found->second.logSpeed);
}

double ServerSpeeds::comfortableLoad(const std::string &upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? std::numeric_limits<double>::infinity()
                                          : found->second.comfortableLoad;
}

std::vector<ServerSpeedChange> ServerSpeeds::takeChanges()
{
    std::vector<ServerSpeedChange> changes;
    for (auto &[id, upstream] : this->upstreams) {
        if (std::abs(upstream.logSpeed - upstream.loggedLogSpeed) < std::log(kLoggedFactor))
            continue;
        changes.push_back({ .upstream = id,
                            .before = std::exp(upstream.loggedLogSpeed),
                            .after = std::exp(upstream.logSpeed) });
        upstream.loggedLogSpeed = upstream.logSpeed;
    }
    return changes;
}

std::map<std::string, ServerSpeedStatus> ServerSpeeds::statuses(TimePoint now) const
{
    std::map<std::string, ServerSpeedStatus> statuses;
    for (const auto &[id, upstream] : this->upstreams)
        statuses[id] = { .speed = std::exp(upstream.logSpeed),
                         .samples = upstream.samples,
                         .age = upstream.samples > 0 ? std::chrono::floor<Milliseconds>(
                                        now - upstream.answeredAt)
                                                     : 0ms };
    return statuses;
}

} // namespace egret
