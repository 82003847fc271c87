#include "overload_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace egret {

namespace {

/// Nothing is refused below this occupancy, which is also the lowest `OverloadOptions::start`.
constexpr double kFreeOccupancy = 0.75;
/// Occupancy of engines whose queues are full; higher values are measuring faults.
constexpr double kMaxOccupancy = 3;
/// Time constants of the smoothed occupancy. It rises fast, since every late refusal admits work
/// that makes other requests late. It falls slower than notices arrive, so that one low notice
/// doesn't open all gateways, and fast enough that refusals end within a second after their cause.
constexpr FloatMilliseconds kRiseTime{ 100 };
constexpr FloatMilliseconds kFallTime{ 250 };
constexpr FloatMilliseconds kFallRateTime{ 500 };
/// A smoothed occupancy that was not updated for this time is replaced, not continued.
constexpr Milliseconds kMaxOccupancyAge = 2s;
/// Rates at which the occupancy is expected to fall: at least, and at most. An engine ends a
/// request in about a second, so without new requests the occupancy falls by about 1 a second.
constexpr double kMinFallPerSecond = 0.3;
constexpr double kMaxFallPerSecond = 2;
constexpr Milliseconds kMinRetryAfter = 100ms;
constexpr Milliseconds kMaxRetryAfter = 2s;
/// A time for Retry-After is drawn within this share around the expected time.
constexpr double kRetryAfterJitter = 0.4;
/// Customers in excess are refused over a smaller range than priorities, as a share of the width:
/// they are refused first, and few are in excess.
constexpr double kCustomerWidth = 0.25;
/// Share of the floor that a customer in excess keeps. With the whole floor, the repeats of one
/// customer that asked for half of all took up to 11% of the other customers' requests in trials.
constexpr double kCustomerFloor = 0.5;
/// Window of the refused share in metrics.
constexpr Milliseconds kStatusWindow = 5s;
/// Shedding of a priority counts as ended when nothing was refused for this time.
constexpr Milliseconds kSheddingEnd = 1s;
/// A priority without requests for this time has no rank. A gateway gets about 11 requests a
/// second, so a priority with a tenth of them is missed in this time once in some 250 times.
constexpr Milliseconds kRankAge = 5s;

} // namespace

std::string overloadOptionsError(const OverloadOptions &options)
{
    const auto isWithin = [](double value, double least, double most) {
        return value >= least && value <= most;
    };
    if (!isWithin(options.start, kFreeOccupancy, 1.5))
        return "admission.start must be between 0.75 and 1.5";
    if (!isWithin(options.width, 0.05, 1))
        return "admission.width must be between 0.05 and 1";
    if (!isWithin(options.floor, 0.05, 1))
        return "admission.floor must be between 0.05 and 1";
    return "";
}

OverloadControl::OverloadControl(const OverloadOptions &options, std::uint64_t seed)
    : options(options), random(seed)
{}

void OverloadControl::setPriorities(const std::string &service,
                                    std::vector<PriorityObjective> priorities)
{
    if (priorities.empty()) {
        this->services.erase(service);
        return;
    }
    std::ranges::sort(priorities, {}, &PriorityObjective::priority);
    Service &changed = this->services[service];
    changed.ranks = std::move(priorities);
    std::erase_if(changed.refusals, [&changed](const auto &each) {
        return !each.second.isShedding
               && std::ranges::find(changed.ranks, each.first, &PriorityObjective::priority)
                          == changed.ranks.end();
    });
}

AdmissionDecision OverloadControl::decide(const AdmissionRequest &request, const ServiceLoad &load,
                                          TimePoint now)
{
    const auto found = this->services.find(request.service);
    if (!this->options.isEnabled || found == this->services.end())
        return {};
    Service &service = found->second;
    const Occupancy *occupancy = this->observe(service, load, now);
    service.isNearlyFull = occupancy != nullptr && occupancy->effective >= kFreeOccupancy;
    service.decidedAt = now;
    service.customers.onRequest(request.customer, request.engineTime, now);
    AdmissionDecision decision;
    if (occupancy != nullptr) {
        const Rank rank = rankOf(service, request.priority, now);
        const double start = this->rangeStart(rank);
        const double mostRefused = 1 - this->options.floor;
        double byPriority =
                rank.place == 0
                        ? 0
                        : std::min(this->shareAbove(start, 1, occupancy->effective), mostRefused);
        // The square is smaller, and leaves nobody refused always or admitted always.
        if (request.isReturning)
            byPriority *= byPriority;
        const double customerStart =
                this->options.start + (rank.place == 0 ? kCustomerWidth * this->options.width : 0);
        const CustomerExcess excess = service.customers.excess(request.customer, now);
        const double byCustomer =
                std::min(this->shareAbove(customerStart, kCustomerWidth, occupancy->effective)
                                 * excess.share,
                         1 - kCustomerFloor * this->options.floor);
        const double refused = 1 - (1 - byPriority) * (1 - byCustomer);
        const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
        const auto limit = rank.higherObjective;
        // On engines with free slots a late first token is due to the prompt's own length, so that
        // a refusal would not make room for higher ranks.
        const bool isBeyondLimit =
                service.isNearlyFull && limit && load.firstToken && *load.firstToken > *limit;
        const FloatMilliseconds occupancyDrainTime = drainTime(*occupancy, start);
        if (draw < byCustomer)
            decision = this->refusal(kOverloadCustomer,
                                     std::max(occupancyDrainTime, excess.drainTime));
        else if (draw < refused || isBeyondLimit)
            decision = this->refusal(kOverloadPriority, occupancyDrainTime);
    }
    if (decision.isAdmitted) {
        const double overload = occupancy == nullptr
                                        ? 0
                                        : this->shareAbove(this->options.start, kCustomerWidth,
                                                           occupancy->effective);
        service.customers.onAdmitted(request.customer, request.engineTime, overload, now);
    }
    this->count(request.service, service, request.priority, decision, now);
    return decision;
}

bool OverloadControl::isNearlyFull(const std::string &service) const
{
    const auto found = this->services.find(service);
    return this->options.isEnabled && found != this->services.end() && found->second.isNearlyFull;
}

std::optional<Milliseconds> OverloadControl::firstTokenLimit(const std::string &service,
                                                             std::uint32_t priority) const
{
    const auto found = this->services.find(service);
    if (!this->isNearlyFull(service))
        return std::nullopt;
    return rankOf(found->second, priority, found->second.decidedAt).higherObjective;
}

Milliseconds OverloadControl::withJitter(FloatMilliseconds time)
{
    const double least = kMinRetryAfter.count() / (1 - kRetryAfterJitter);
    const double most = kMaxRetryAfter.count() / (1 + kRetryAfterJitter);
    std::uniform_real_distribution<double> factor(1 - kRetryAfterJitter, 1 + kRetryAfterJitter);
    return std::chrono::ceil<Milliseconds>(
            FloatMilliseconds(std::clamp(time.count(), least, most) * factor(this->random)));
}

std::vector<SheddingChange> OverloadControl::takeChanges(TimePoint now)
{
    for (auto &[name, service] : this->services) {
        std::erase_if(service.occupancies, [now](const auto &each) {
            return now - each.second.updatedAt > kMaxOccupancyAge;
        });
        if (now - service.decidedAt > kMaxOccupancyAge)
            service.isNearlyFull = false;
        for (auto &[priority, refusals] : service.refusals) {
            if (!refusals.isShedding || now - refusals.lastRefusalAt < kSheddingEnd)
                continue;
            refusals.isShedding = false;
            this->changes.push_back({ .service = name,
                                      .priority = priority,
                                      .isShedding = false,
                                      .occupancy = highestOccupancy(service),
                                      .requests = refusals.requests,
                                      .refusals = refusals.refusals });
        }
    }
    return std::exchange(this->changes, {});
}

std::vector<ServiceStatus> OverloadControl::status(TimePoint now) const
{
    std::vector<ServiceStatus> all;
    for (const auto &[name, service] : this->services) {
        ServiceStatus status{ .service = name,
                              .occupancy = highestOccupancy(service),
                              .priorities = {} };
        for (const auto &[priority, refusals] : service.refusals) {
            const double requests = refusals.recentRequests.at(kStatusWindow, now);
            const double refused = refusals.recentRefusals.at(kStatusWindow, now);
            status.priorities.push_back({ .priority = priority,
                                          .refusedShare = requests > 0 ? refused / requests : 0 });
        }
        all.push_back(std::move(status));
    }
    return all;
}

/// A priority that no route has is ranked between the others, or as the lowest of them; a request
/// keeps the priority that an earlier document gave it.
OverloadControl::Rank OverloadControl::rankOf(const Service &service, std::uint32_t priority,
                                              TimePoint now)
{
    Rank rank;
    std::size_t count = 0;
    for (const PriorityObjective &each : service.ranks) {
        const auto known = service.refusals.find(each.priority);
        const bool isActive =
                known != service.refusals.end() && now - known->second.lastRequestAt <= kRankAge;
        if (!isActive && each.priority != priority)
            continue;
        ++count;
        if (each.priority >= priority)
            continue;
        ++rank.place;
        if (each.objective > 0ms)
            rank.higherObjective =
                    std::min(rank.higherObjective.value_or(each.objective), each.objective);
    }
    rank.lowest = std::max<std::size_t>(count, 1) - 1;
    rank.place = std::min(rank.place, rank.lowest);
    // The highest rank has only its own objective.
    if (rank.place == 0)
        rank.higherObjective.reset();
    return rank;
}

double OverloadControl::highestOccupancy(const Service &service)
{
    double highest = 0;
    for (const auto &[scope, occupancy] : service.occupancies)
        highest = std::max(highest, occupancy.smoothed);
    return highest;
}

/// Updates the smoothed occupancy with a measured one. Null when the occupancy is not known.
const OverloadControl::Occupancy *
OverloadControl::observe(Service &service, const ServiceLoad &load, TimePoint now) const
{
    if (!load.occupancy || !std::isfinite(*load.occupancy)) {
        service.occupancies.erase(load.scope);
        return nullptr;
    }
    const double measured = std::clamp(*load.occupancy, 0.0, kMaxOccupancy);
    const auto [found, isNew] = service.occupancies.try_emplace(load.scope);
    Occupancy &occupancy = found->second;
    const FloatMilliseconds elapsed = now - occupancy.updatedAt;
    if (isNew || elapsed > kMaxOccupancyAge) {
        occupancy = {};
        occupancy.smoothed = measured;
    } else if (elapsed.count() > 0) {
        const double previous = occupancy.smoothed;
        const FloatMilliseconds time = measured > previous ? kRiseTime : kFallTime;
        occupancy.smoothed += (measured - previous) * (1 - std::exp(-(elapsed / time)));
        const double fall = std::max(0.0, previous - occupancy.smoothed) / elapsed.count() * 1000;
        occupancy.fallPerSecond +=
                (fall - occupancy.fallPerSecond) * (1 - std::exp(-(elapsed / kFallRateTime)));
    }
    occupancy.updatedAt = now;
    // The slow fall ends at the free occupancy, whatever was measured before.
    occupancy.effective = std::min(occupancy.smoothed, 2 * measured - kFreeOccupancy);
    return &occupancy;
}

/// Occupancy from which requests of a rank are refused. The ranges of the ranks begin evenly spread
/// over half of the width, so that those of any two ranks overlap and the last one ends soon after
/// the first. The highest rank has the range of the rank below, for customers in excess only.
double OverloadControl::rangeStart(const Rank &rank) const
{
    const double place =
            rank.lowest < 2
                    ? (rank.place == 0 ? 1.0 : 0.0)
                    : static_cast<double>(rank.lowest - std::max<std::size_t>(rank.place, 1))
                              / static_cast<double>(rank.lowest - 1);
    return this->options.start + this->options.width / 2 * place;
}

double OverloadControl::shareAbove(double start, double widths, double occupancy) const
{
    return std::clamp((occupancy - start) / (this->options.width * widths), 0.0, 1.0);
}

/// Time in which the occupancy is expected to fall to `rangeStart`.
FloatMilliseconds OverloadControl::drainTime(const Occupancy &occupancy, double rangeStart)
{
    const double excess = std::max(0.0, occupancy.smoothed - rangeStart);
    const double fall = std::clamp(occupancy.fallPerSecond, kMinFallPerSecond, kMaxFallPerSecond);
    return excess / fall * FloatMilliseconds(1s);
}

AdmissionDecision OverloadControl::refusal(const char *reason, FloatMilliseconds drainTime)
{
    return { .isAdmitted = false, .retryAfter = this->withJitter(drainTime), .reason = reason };
}

void OverloadControl::count(const std::string &name, Service &service, std::uint32_t priority,
                            const AdmissionDecision &decision, TimePoint now)
{
    Refusals &refusals = service.refusals[priority];
    refusals.recentRequests.add(1, kStatusWindow, now);
    refusals.lastRequestAt = now;
    ++refusals.requests;
    if (decision.isAdmitted)
        return;
    refusals.recentRefusals.add(1, kStatusWindow, now);
    refusals.lastRefusalAt = now;
    if (!refusals.isShedding) {
        refusals.isShedding = true;
        refusals.requests = 1;
        refusals.refusals = 0;
        this->changes.push_back({ .service = name,
                                  .priority = priority,
                                  .isShedding = true,
                                  .occupancy = highestOccupancy(service) });
    }
    ++refusals.refusals;
}

} // namespace egret
