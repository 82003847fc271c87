#pragma once

#include "overload_control.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret::testing_model {

/// A kind of requests to the modelled service.
struct Kind
{
    std::uint32_t priority{ 0 };
    double rate{ 0 }; ///< requests a second
    Milliseconds serviceTime{ 0 };
    Milliseconds objective{ 0 };
};

/// Load of a run. The functions get the time since the start.
struct FleetLoad
{
    std::vector<Kind> kinds;
    /// Factor on the rate of a kind.
    std::function<double(std::size_t kind, Milliseconds at)> rateFactor;
    std::size_t customers{ 24 };
    /// Requests of the first customer, as a multiple of another customer's.
    std::function<double(Milliseconds at)> largeCustomer;
    double repeatAtOnceShare{ 0 }; ///< clients that repeat at once, up to three times
    OverloadOptions options;
    std::size_t gateways{ 45 };
    /// Replaces the load that a gateway sees.
    std::function<void(ServiceLoad &, Milliseconds at)> distortLoad;
    /// Called before each step with all controllers.
    std::function<void(std::vector<OverloadControl> &, Milliseconds at)> onStep;
    std::uint64_t seed{ 1 };
};

/// What the clients of some requests got.
struct Outcome
{
    int requests{ 0 };
    int onTime{ 0 };
    int late{ 0 };
    int refused{ 0 }; ///< given up after refusals

    double onTimeShare() const { return static_cast<double>(onTime) / std::max(1, requests); }
    Outcome &operator+=(const Outcome &other)
    {
        this->requests += other.requests;
        this->onTime += other.onTime;
        this->late += other.late;
        this->refused += other.refused;
        return *this;
    }
    double servedShare() const
    {
        return static_cast<double>(onTime + late) / std::max(1, requests);
    }
};

/// Engines with slots and queues, clients that honour Retry-After, and one `OverloadControl` for
/// each gateway. All gateways see the load of 200 ms ago, updated every 100 ms.
class EngineFleetModel
{
public:
    explicit EngineFleetModel(FleetLoad load) : load(std::move(load)), random(this->load.seed)
    {
        std::map<std::uint32_t, Milliseconds> objectives;
        for (const Kind &kind : this->load.kinds)
            objectives.try_emplace(kind.priority, kind.objective);
        std::vector<PriorityObjective> priorities;
        for (const auto &[priority, objective] : objectives)
            priorities.push_back({ .priority = priority, .objective = objective });
        for (std::size_t gateway = 0; gateway < this->load.gateways; ++gateway) {
            this->controls.emplace_back(this->load.options, gateway + this->load.seed * 1000);
            this->controls.back().setPriorities("llm", priorities);
        }
    }

    /// Advances the time by `duration`.
    void run(Milliseconds duration)
    {
        for (const Milliseconds end = this->at + duration; this->at < end; this->at += kStep) {
            if (this->load.onStep)
                this->load.onStep(this->controls, this->at);
            this->updateEngines();
            if (this->at % kNoticePeriod == 0ms)
                this->publish();
            this->sendRepeats();
            this->sendNew();
        }
    }

    /// Outcome of the requests of a kind that arrived from `from` to `to`.
    Outcome ofKind(std::size_t kind, Milliseconds from, Milliseconds to) const
    {
        return this->outcome(from, to, [&](const Request &each) { return each.kind == kind; });
    }

    /// Outcome of the requests of the first customer, or of all others.
    Outcome ofCustomers(bool isFirst, Milliseconds from, Milliseconds to) const
    {
        return this->outcome(from, to,
                             [&](const Request &each) { return (each.customer == 0) == isFirst; });
    }

    /// Share of the attempts of a kind that were admitted, for each 200 ms.
    std::vector<double> admittedShares(std::size_t kind, Milliseconds from, Milliseconds to) const
    {
        std::vector<double> shares;
        for (Milliseconds start = from; start < to; start += kSharePeriod) {
            const auto found = this->attempts.find({ kind, start / kSharePeriod });
            if (found != this->attempts.end())
                shares.push_back(static_cast<double>(found->second.second) / found->second.first);
        }
        return shares;
    }

    /// Reasons of all refusals by the controllers.
    const std::map<std::string, int> &refusals() const { return this->refusalCounts; }

    double occupancy() const { return this->occupancyOf(this->current()); }

private:
    static constexpr Milliseconds kStep = 5ms;
    static constexpr Milliseconds kNoticePeriod = 100ms;
    static constexpr Milliseconds kNoticeDelay = 200ms;
    static constexpr Milliseconds kSharePeriod = 200ms;
    static constexpr Milliseconds kTimeout = 3000ms;
    static constexpr FloatMilliseconds kFirstTokenBase{ 130 };
    static constexpr std::size_t kEngines = 34;
    static constexpr std::size_t kSlots = 12;
    static constexpr std::size_t kQueue = 24;

    struct Request
    {
        std::size_t kind{ 0 };
        std::size_t customer{ 0 };
        std::size_t gateway{ 0 };
        Milliseconds arrivedAt{ 0 };
        Milliseconds serviceTime{ 0 };
        int repeatsLeft{ 0 }; ///< repeats at once
        enum class End { open, onTime, late, refused } end{ End::open };
    };
    struct Engine
    {
        std::multiset<Milliseconds> running; ///< ends
        std::deque<std::size_t> queue;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    Outcome outcome(Milliseconds from, Milliseconds to,
                    const std::function<bool(const Request &)> &isCounted) const
    {
        Outcome sum;
        for (const Request &each : this->requests) {
            if (each.arrivedAt < from || each.arrivedAt >= to || !isCounted(each))
                continue;
            ++sum.requests;
            sum.onTime += each.end == Request::End::onTime ? 1 : 0;
            sum.late += each.end == Request::End::late ? 1 : 0;
            sum.refused += each.end == Request::End::refused ? 1 : 0;
        }
        return sum;
    }

    std::vector<std::size_t> current() const
    {
        std::vector<std::size_t> loads;
        for (const Engine &engine : this->engines)
            loads.push_back(engine.running.size() + engine.queue.size());
        return loads;
    }

    static double occupancyOf(const std::vector<std::size_t> &loads)
    {
        double sum = 0;
        for (const std::size_t load : loads)
            sum += static_cast<double>(load);
        return sum / static_cast<double>(kEngines * kSlots);
    }

    void publish()
    {
        this->published.push_back(this->current());
        if (this->published.size() > kNoticeDelay / kNoticePeriod + 1)
            this->published.pop_front();
    }

    void updateEngines()
    {
        for (Engine &engine : this->engines) {
            while (!engine.running.empty() && *engine.running.begin() <= this->at)
                engine.running.erase(engine.running.begin());
            while (!engine.queue.empty() && engine.running.size() < kSlots) {
                // The engine takes the most urgent request first.
                const auto next = std::ranges::min_element(engine.queue, {}, [&](std::size_t id) {
                    return this->load.kinds[this->requests[id].kind].priority;
                });
                Request &request = this->requests[*next];
                engine.queue.erase(next);
                // Passes take longer the more requests run.
                const double busyShare =
                        static_cast<double>(engine.running.size() + 1) / double{ kSlots };
                engine.running.insert(
                        this->at
                        + std::chrono::ceil<Milliseconds>(FloatMilliseconds(request.serviceTime)
                                                          * (0.6 + 0.4 * busyShare)));
                const FloatMilliseconds first = this->at - request.arrivedAt + kFirstTokenBase;
                request.end = first <= this->load.kinds[request.kind].objective
                                      ? Request::End::onTime
                                      : Request::End::late;
            }
        }
    }

    void sendNew()
    {
        for (std::size_t kind = 0; kind < this->load.kinds.size(); ++kind) {
            const double factor = this->load.rateFactor ? this->load.rateFactor(kind, this->at) : 1;
            const double mean = this->load.kinds[kind].rate * factor * kStep.count() / 1000.0;
            const int count = std::poisson_distribution<int>(mean)(this->random);
            for (int each = 0; each < count; ++each)
                this->sendOne(kind);
        }
        // A large customer sends its additional requests beyond the rates of the kinds.
        const double large = this->load.largeCustomer ? this->load.largeCustomer(this->at) : 1;
        if (large <= 1)
            return;
        for (std::size_t kind = 0; kind < this->load.kinds.size(); ++kind) {
            const double mean = this->load.kinds[kind].rate
                                / static_cast<double>(this->load.customers) * (large - 1)
                                * kStep.count() / 1000.0;
            const int count = std::poisson_distribution<int>(mean)(this->random);
            for (int each = 0; each < count; ++each)
                this->sendOne(kind, 0);
        }
    }

    void sendOne(std::size_t kind, std::optional<std::size_t> customer = std::nullopt)
    {
        const double mean = static_cast<double>(this->load.kinds[kind].serviceTime.count());
        const double factor = 0.4 + 1.2 * this->draw();
        this->requests.push_back(
                { .kind = kind,
                  .customer = customer ? *customer : this->random() % this->load.customers,
                  .gateway = this->random() % this->load.gateways,
                  .arrivedAt = this->at,
                  .serviceTime = std::chrono::ceil<Milliseconds>(FloatMilliseconds(mean * factor)),
                  .repeatsLeft = this->draw() < this->load.repeatAtOnceShare ? 3 : 0 });
        this->attempt(this->requests.size() - 1);
    }

    void sendRepeats()
    {
        while (!this->repeats.empty() && this->repeats.begin()->first <= this->at) {
            const std::size_t id = this->repeats.begin()->second;
            this->repeats.erase(this->repeats.begin());
            this->requests[id].gateway = this->random() % this->load.gateways;
            this->attempt(id);
        }
    }

    static FloatMilliseconds firstToken(std::size_t load)
    {
        const double waiting = load < kSlots ? 0 : static_cast<double>(load + 1 - kSlots);
        return kFirstTokenBase + waiting * FloatMilliseconds(700) / static_cast<double>(kSlots);
    }

    void attempt(std::size_t id)
    {
        Request &request = this->requests[id];
        const Kind &kind = this->load.kinds[request.kind];
        const std::vector<std::size_t> loads =
                this->published.empty() ? this->current() : this->published.front();
        ServiceLoad seen{ .occupancy = occupancyOf(loads),
                          .firstToken = firstToken(std::ranges::min(loads)),
                          .scope = "llm" };
        if (this->load.distortLoad)
            this->load.distortLoad(seen, this->at);
        OverloadControl &control = this->controls[request.gateway];
        const AdmissionDecision decision = control.decide(
                { .service = "llm",
                  .customer = std::to_string(request.customer),
                  .priority = kind.priority,
                  .engineTime = FloatMilliseconds(kind.serviceTime) / double{ kSlots },
                  .isReturning = this->at - request.arrivedAt > kTimeout * 0.15 },
                seen, TimePoint{} + 100s + this->at);
        auto &[sent, admitted] = this->attempts[{ request.kind, this->at / kSharePeriod }];
        ++sent;
        if (!decision.isAdmitted) {
            ++this->refusalCounts[decision.reason];
            return this->refuse(id, decision.retryAfter);
        }
        const std::size_t one = this->random() % kEngines;
        const std::size_t other = this->random() % kEngines;
        const std::size_t chosen = loads[one] <= loads[other] ? one : other;
        const Milliseconds objective = std::min(
                kind.objective,
                control.firstTokenLimit("llm", kind.priority).value_or(Milliseconds::max()));
        Engine &engine = this->engines[chosen];
        if (firstToken(loads[chosen]) > objective || engine.queue.size() >= kQueue)
            return this->refuse(id, control.withJitter(FloatMilliseconds(100)));
        ++admitted;
        engine.queue.push_back(id);
    }

    void refuse(std::size_t id, Milliseconds retryAfter)
    {
        Request &request = this->requests[id];
        const Milliseconds remaining = kTimeout - (this->at - request.arrivedAt);
        if (request.repeatsLeft-- > 0)
            this->repeats.emplace(this->at + 2 * kStep, id);
        else if (retryAfter <= remaining / 3)
            this->repeats.emplace(this->at + retryAfter, id);
        else
            request.end = Request::End::refused;
    }

    FleetLoad load;
    std::mt19937_64 random;
    std::vector<OverloadControl> controls;
    std::vector<Engine> engines{ kEngines };
    std::vector<Request> requests;
    std::multimap<Milliseconds, std::size_t> repeats; ///< request ids by time
    std::deque<std::vector<std::size_t>> published;
    /// Attempts and admitted attempts by kind and period.
    std::map<std::pair<std::size_t, std::int64_t>, std::pair<int, int>> attempts;
    std::map<std::string, int> refusalCounts;
    Milliseconds at{ 0 };
};

} // namespace egret::testing_model
