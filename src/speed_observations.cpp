#include "speed_observations.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Logarithms of a hundredth of a millisecond and of more than two hours.
constexpr double kMinMean = -4.6;
constexpr double kMaxMean = 16;
constexpr double kMaxVariance = 25;
constexpr double kMaxConcurrency = 1e5;
constexpr double kMaxBusyMs = 1e9;
constexpr std::uint32_t kMaxCount = 100000;
/// Bound on the sums that a registry holds, of about 250 bytes each. 100 gateways with 11 answers a
/// second make about 11,000 until each of 1,200 upstreams has had its turn.
constexpr std::size_t kMaxPending = 40000;

SpeedObservation sumOf(const std::map<std::string, SpeedObservation> &byGateway)
{
    SpeedObservation sum;
    for (const auto &[gateway, each] : byGateway)
        sum = sum.count == 0 ? each : addedObservations(sum, each);
    return sum;
}

/// Returns, by gateway, the sum of all but its own observations; count 0 when there are none. Two
/// passes, so that the effort grows with the number of gateways and not with its square.
std::map<std::string, SpeedObservation>
sumsOfOthers(const std::map<std::string, SpeedObservation> &byGateway)
{
    const auto add = [](const SpeedObservation &sum, const SpeedObservation &each) {
        return sum.count == 0 ? each : addedObservations(sum, each);
    };
    std::map<std::string, SpeedObservation> sums;
    SpeedObservation before;
    for (const auto &[gateway, each] : byGateway) {
        sums[gateway] = before;
        before = add(before, each);
    }
    SpeedObservation after;
    for (auto each = byGateway.rbegin(); each != byGateway.rend(); ++each) {
        SpeedObservation &sum = sums[each->first];
        sum = after.count == 0 ? sum : add(sum, after);
        after = add(after, each->second);
    }
    return sums;
}

} // namespace

std::optional<SpeedObservation> clampedObservation(const SpeedObservation &observation)
{
    const bool isFinite = std::isfinite(observation.mean) && std::isfinite(observation.variance)
                          && std::isfinite(observation.concurrency)
                          && std::isfinite(observation.busyMs);
    if (!isFinite || observation.count == 0)
        return std::nullopt;
    SpeedObservation clamped = observation;
    clamped.count = std::min(observation.count, kMaxCount);
    clamped.mean = std::clamp(observation.mean, kMinMean, kMaxMean);
    clamped.variance = std::clamp(observation.variance, 0.0, kMaxVariance);
    clamped.concurrency = std::clamp(observation.concurrency, 0.0, kMaxConcurrency);
    clamped.busyMs = std::clamp(observation.busyMs, 0.0, kMaxBusyMs);
    return clamped;
}

SpeedObservation addedObservations(const SpeedObservation &first, const SpeedObservation &second)
{
    const double count = static_cast<double>(first.count) + second.count;
    if (count == 0)
        return first;
    const double share = second.count / count;
    const double difference = second.mean - first.mean;
    SpeedObservation sum = first;
    sum.count = first.count + second.count;
    sum.mean += share * difference;
    sum.variance += share * (second.variance - first.variance)
                    + share * (1 - share) * difference * difference;
    sum.concurrency += share * (second.concurrency - first.concurrency);
    sum.busyMs += second.busyMs;
    return sum;
}

void SpeedObservationMerger::add(const SpeedObservations &message, const StartOf &startOf)
{
    const std::size_t used = std::min(message.observations.size(), kMaxSpeedObservations);
    for (std::size_t i = 0; i < used; ++i) {
        const auto observation = clampedObservation(message.observations[i]);
        if (!observation || startOf(observation->upstream) != observation->startedAtMs)
            continue;
        const Key key(observation->upstream, observation->kind);
        if (this->sumCount >= kMaxPending)
            return;
        auto &byGateway = this->pending[key];
        // Observations of an earlier incarnation are discarded.
        if (!byGateway.empty()
            && byGateway.begin()->second.startedAtMs != observation->startedAtMs) {
            this->sumCount -= byGateway.size();
            byGateway.clear();
        }
        const auto known = byGateway.find(message.gateway);
        if (known != byGateway.end())
            known->second = *clampedObservation(addedObservations(known->second, *observation));
        else
            this->sumCount += byGateway.emplace(message.gateway, *observation).second ? 1 : 0;
    }
}

std::map<std::string, SpeedObservations>
SpeedObservationMerger::take(const std::vector<std::string> &gateways, TimePoint now)
{
    std::map<std::string, SpeedObservations> messages;
    if (this->pending.empty() || (this->takenAt && now < *this->takenAt + kSpeedMessagePeriod))
        return messages;
    this->takenAt = now;
    const std::size_t count = std::min(this->pending.size(), kMaxSpeedObservations);
    // Continues after the last sum that was sent, so that all upstreams get their turn.
    auto next = this->pending.upper_bound(this->lastTaken);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == this->pending.end())
            next = this->pending.begin();
        const std::map<std::string, SpeedObservation> withoutOwn = sumsOfOthers(next->second);
        const SpeedObservation total = sumOf(next->second);
        for (const std::string &receiver : gateways) {
            const auto own = withoutOwn.find(receiver);
            const SpeedObservation &sum = own == withoutOwn.end() ? total : own->second;
            if (sum.count > 0)
                messages[receiver].observations.push_back(sum);
        }
        this->lastTaken = next->first;
        this->sumCount -= next->second.size();
        next = this->pending.erase(next);
    }
    return messages;
}

} // namespace egret
