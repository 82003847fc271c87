#include "fuzz.h"
#include "server_speed.h"
#include "speed_observations.h"
#include "upstream_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <queue>
#include <random>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
constexpr double kNoise = 0.3; ///< standard deviation of the logarithm of the times

UpstreamRecord recordOf(std::size_t server, std::uint64_t startedAtMs = 1, std::uint32_t slots = 8)
{
    const std::string number = std::to_string(server);
    return { .id = "u" + number,
             .startedAtMs = startedAtMs,
             .sequence = 1,
             .service = "plain",
             .endpoint = "10.0.0." + std::to_string(server + 1) + ":80",
             .zone = "a",
             .slots = slots };
}

/// Answers of servers with given speeds. Each server answers 20 times a second.
class SpeedTrial
{
public:
    explicit SpeedTrial(std::vector<double> speeds, unsigned seed = 1)
        : speeds(std::move(speeds)), random(seed)
    {
        for (std::size_t i = 0; i < this->speeds.size(); ++i)
            this->estimator.onUpstream(recordOf(i));
    }

    void answer(std::size_t server, const std::string &route = "r", double time = 40)
    {
        std::normal_distribution<double> noise(0, kNoise);
        this->estimator.onAnswer({ .upstream = recordOf(server).id,
                                   .startedAtMs = 1,
                                   .route = route,
                                   .measured = FloatMilliseconds(time / this->speeds[server]
                                                                 * std::exp(noise(this->random))) },
                                 this->now);
    }

    /// Each server answers `count` times; `check` runs after each round.
    template <class Check> void run(int count, Check check)
    {
        for (int i = 0; i < count; ++i) {
            this->now += 50ms;
            for (std::size_t server = 0; server < this->speeds.size(); ++server)
                this->answer(server);
            this->estimator.update(this->now);
            check();
        }
    }
    void run(int count)
    {
        this->run(count, [] {});
    }

    double speed(std::size_t server) const { return this->estimator.speed(recordOf(server).id); }

    /// Largest relative error of a server's share, where shares are in proportion to the speeds.
    double largestShareError() const
    {
        double sum = 0;
        double estimatedSum = 0;
        for (std::size_t i = 0; i < this->speeds.size(); ++i) {
            sum += this->speeds[i];
            estimatedSum += this->speed(i);
        }
        double largest = 0;
        for (std::size_t i = 0; i < this->speeds.size(); ++i)
            largest = std::max(
                    largest, std::abs(this->speed(i) / estimatedSum / (this->speeds[i] / sum) - 1));
        return largest;
    }

    std::vector<double> speeds;
    std::mt19937_64 random;
    ServerSpeeds estimator;
    TimePoint now = kStart;
};

} // namespace

// Guards against estimates that stay off, or that wander after they have converged.
RC_GTEST_PROP(ServerSpeeds, SharesConvergeToTheSpeedsAndStay, ())
{
    const auto slow = *rc::gen::container<std::vector<double>>(
            3, rc::gen::element(1.0, 0.7, 0.5, 0.35, 0.25, 0.15));
    SpeedTrial trial({ 1, slow[0], slow[1], slow[2] }, *rc::gen::inRange(0U, 100000U));
    trial.run(600);
    trial.run(600, [&] { RC_ASSERT(trial.largestShareError() < 0.1); });
}

// Guards against an estimator that takes minutes to see a server that has become slow or fast.
TEST(ServerSpeeds, StepChangeIsFollowedWithin600Answers)
{
    SpeedTrial trial({ 1, 1, 1, 0.5 });
    trial.run(800);
    trial.speeds = { 1, 0.4, 1, 1 };
    trial.run(600);
    EXPECT_LT(trial.largestShareError(), 0.1);
}

// Guards against chance that moves requests between equal servers.
RC_GTEST_PROP(ServerSpeeds, EqualServersStayEqual, ())
{
    SpeedTrial trial(std::vector<double>(12, 1.0), *rc::gen::inRange(0U, 100000U));
    trial.run(800, [&] {
        double sum = 0;
        for (std::size_t i = 0; i < trial.speeds.size(); ++i) {
            RC_ASSERT(trial.speed(i) > 0.85);
            sum += trial.speed(i);
        }
        RC_ASSERT(sum / static_cast<double>(trial.speeds.size()) > 0.98);
    });
}

// Guards against a slow moment of a whole service that makes some of its servers look slow.
TEST(ServerSpeeds, WhenAllAreSlowNobodyIsSlower)
{
    SpeedTrial trial(std::vector<double>(6, 1.0));
    trial.run(300);
    trial.speeds = std::vector<double>(6, 0.3);
    trial.run(600, [&] {
        for (std::size_t i = 0; i < 6; ++i)
            ASSERT_GT(trial.speed(i), 0.85);
    });
}

// Guards against a server that is taken for slow because it gets the slow kind of requests.
TEST(ServerSpeeds, SlowKindIsNoSlowServer)
{
    SpeedTrial trial({ 1, 1, 1 });
    std::uniform_real_distribution<double> uniform;
    for (int i = 0; i < 600; ++i) {
        trial.now += 50ms;
        for (std::size_t server = 0; server < 3; ++server) {
            const bool isSlowKind = uniform(trial.random) < (server == 0 ? 0.8 : 0.1);
            trial.answer(server, isSlowKind ? "slow" : "fast", isSlowKind ? 400 : 20);
        }
        trial.estimator.update(trial.now);
    }
    for (std::size_t server = 0; server < 3; ++server)
        EXPECT_GT(trial.speed(server), 0.95) << server;
}

// Guards against answers that are ignored for good after eight routes that no longer exist.
TEST(ServerSpeeds, NewRoutesAreLearnedOnceOldOnesHaveAged)
{
    SpeedTrial trial({ 1, 1, 0.25 });
    const auto answerAll = [&trial](const std::string &route) {
        for (std::size_t server = 0; server < 3; ++server)
            trial.answer(server, route);
    };
    for (int route = 0; route < 8; ++route)
        answerAll("old" + std::to_string(route));
    for (int i = 0; i < 600; ++i) {
        trial.now += i < 100 ? 10s : 50ms;
        answerAll("new");
        trial.estimator.update(trial.now);
    }
    EXPECT_NEAR(trial.speed(2), 0.25, 0.03);
    EXPECT_GT(trial.speed(1), 0.9);
}

// Guards against jumps that all gateways make at once.
TEST(ServerSpeeds, StepIsBounded)
{
    SpeedTrial trial({ 1, 1, 0.2 });
    double before = 1;
    trial.run(600, [&] {
        EXPECT_GE(trial.speed(2), before / 1.0101); // 20% a second, in rounds of 50 ms
        before = trial.speed(2);
    });
    EXPECT_LT(trial.speed(2), 0.25);
}

// Guards against a server that stays slow for good because nothing is sent there any more.
TEST(ServerSpeeds, EstimateReturnsToOneWithoutAnswersAndStartsAtOneAfterARestart)
{
    SpeedTrial trial({ 1, 1, 0.25 });
    trial.run(600);
    ASSERT_LT(trial.speed(2), 0.3);
    for (int i = 0; i < 6000; ++i) {
        trial.now += 100ms;
        trial.answer(0);
        trial.answer(1);
        trial.estimator.update(trial.now);
    }
    EXPECT_GT(trial.speed(2), 0.99);
    trial.run(600);
    ASSERT_LT(trial.speed(2), 0.3);
    trial.estimator.onUpstream(recordOf(2, 2));
    EXPECT_EQ(trial.speed(2), 1);
    trial.answer(2); // an answer of the earlier incarnation
    EXPECT_EQ(trial.estimator.statuses(trial.now).at("u2").samples, 0U);
}

// Guards against messages that are wrong by accident or from a faulty instance.
RC_GTEST_PROP(ServerSpeeds, NonsenseFromOthersKeepsSpeedsInRange, ())
{
    SpeedTrial trial({ 1, 1 });
    trial.run(20);
    const auto number = rc::gen::element(-1e300, -1.0, 0.0, 1.0, 1e300, std::nan(""),
                                         std::numeric_limits<double>::infinity());
    for (int i = 0; i < 50; ++i) {
        trial.now += 1s;
        trial.estimator.onShared({ .upstream = *rc::gen::element<std::string>("u0", "u1", "x"),
                                   .startedAtMs = *rc::gen::inRange<std::uint64_t>(0, 3),
                                   .kind = *rc::gen::inRange<std::uint64_t>(0, 20),
                                   .count = *rc::gen::arbitrary<std::uint32_t>(),
                                   .mean = *number,
                                   .variance = *number,
                                   .concurrency = *number,
                                   .busyMs = *number },
                                 trial.now);
        trial.estimator.update(trial.now);
        for (std::size_t server = 0; server < 2; ++server) {
            RC_ASSERT(trial.speed(server) >= ServerSpeeds::kMinSpeed);
            RC_ASSERT(trial.speed(server) <= 1.0);
            RC_ASSERT(trial.estimator.comfortableLoad(recordOf(server).id) >= 1.0);
        }
    }
}

// Guards against loads that are compared although one server only waits from half its slots on.
TEST(ServerSpeeds, ComfortableLoadIsFoundWhereMoreWorkOnlyWaits)
{
    SpeedTrial trial({ 1, 1 });
    for (int i = 0; i < 1200; ++i) {
        trial.now += 50ms;
        for (std::size_t server = 0; server < 2; ++server) {
            const double inFlight = 1 + i % 8;
            const double slowdown = server == 1 ? std::max(1.0, inFlight / 4) : 1;
            trial.estimator.onAnswer({ .upstream = recordOf(server).id,
                                       .startedAtMs = 1,
                                       .route = "r",
                                       .measured = FloatMilliseconds(40 * slowdown),
                                       .inFlight = inFlight },
                                     trial.now);
        }
        trial.estimator.update(trial.now);
    }
    EXPECT_TRUE(std::isinf(trial.estimator.comfortableLoad("u0")));
    EXPECT_NEAR(trial.estimator.comfortableLoad("u1"), 4, 0.8);
}

// Guards against gateways that each see too few answers of a plain upstream: 20 gateways, each
// with one answer of an upstream in two seconds.
TEST(ServerSpeeds, GatewaysLearnFromEachOthersAnswers)
{
    constexpr std::size_t kGateways = 20;
    const std::vector<double> speeds{ 1, 1, 0.4 };
    std::vector<ServerSpeeds> gateways(kGateways);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kGateways; ++i) {
        names.push_back("g" + std::to_string(i));
        for (std::size_t server = 0; server < 3; ++server)
            gateways[i].onUpstream(recordOf(server));
    }
    SpeedObservationMerger merger;
    std::mt19937_64 random(1);
    std::normal_distribution<double> noise(0, kNoise);
    TimePoint now = kStart;
    for (int i = 0; i < 60; ++i) {
        now += 1s;
        for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
            for (std::size_t server = 0; server < 3 && (gateway + i) % 2 == 0; ++server)
                gateways[gateway].onAnswer(
                        { .upstream = recordOf(server).id,
                          .startedAtMs = 1,
                          .route = "r",
                          .measured = FloatMilliseconds(40 / speeds[server]
                                                        * std::exp(noise(random))) },
                        now);
            merger.add({ .gateway = names[gateway],
                         .observations = gateways[gateway].takeObservations(now) },
                       [](const std::string &) { return std::optional<std::uint64_t>(1); });
        }
        const auto messages = merger.take(names, now);
        for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
            if (const auto found = messages.find(names[gateway]); found != messages.end()) {
                for (const SpeedObservation &each : found->second.observations)
                    gateways[gateway].onShared(each, now);
            }
            gateways[gateway].update(now);
        }
    }
    for (const ServerSpeeds &gateway : gateways) {
        EXPECT_NEAR(gateway.speed("u2"), 0.4, 0.04);
        EXPECT_GT(gateway.speed("u0"), 0.95);
        // 60 seconds at half an answer from each of the 20 gateways.
        EXPECT_NEAR(static_cast<double>(gateway.statuses(now).at("u2").samples), 600, 30);
    }
}

// Guards against a gateway's own answers that count twice, and against messages without bound.
TEST(SpeedObservationMerger, SendsTheOthersAnswersOnceInBoundedMessages)
{
    SpeedObservationMerger merger;
    const auto startOf = [](const std::string &id) -> std::optional<std::uint64_t> {
        return id.starts_with("u") ? std::optional<std::uint64_t>(7) : std::nullopt;
    };
    const auto observation = [](const std::string &id, std::uint64_t start, double mean) {
        return SpeedObservation{
            .upstream = id, .startedAtMs = start, .kind = 1, .count = 2, .mean = mean, .busyMs = 10
        };
    };
    merger.add({ .gateway = "a",
                 .observations = { observation("u1", 7, 1), observation("u1", 6, 9),
                                   observation("x", 7, 9) } },
               startOf);
    merger.add({ .gateway = "b", .observations = { observation("u1", 7, 3) } }, startOf);
    const auto messages = merger.take({ "a", "b", "c" }, kStart);
    EXPECT_EQ(messages.at("a").observations[0].mean, 3);
    EXPECT_EQ(messages.at("b").observations[0].mean, 1);
    ASSERT_EQ(messages.at("c").observations.size(), 1U);
    EXPECT_EQ(messages.at("c").observations[0].mean, 2);
    EXPECT_EQ(messages.at("c").observations[0].variance, 1);
    EXPECT_EQ(messages.at("c").observations[0].count, 4U);
    for (int part = 0; part < 10; ++part) {
        SpeedObservations message{ .gateway = "a" };
        for (int i = 0; i < 120; ++i)
            message.observations.push_back(observation("u" + std::to_string(part * 120 + i), 7, 1));
        merger.add(message, startOf);
    }
    EXPECT_TRUE(merger.take({ "c" }, kStart + 999ms).empty());
    std::size_t received = 0;
    for (int second = 1; second <= 10; ++second) {
        const auto part = merger.take({ "c" }, kStart + second * 1s);
        ASSERT_LE(part.at("c").observations.size(), kMaxSpeedObservations);
        received += part.at("c").observations.size();
    }
    EXPECT_EQ(received, 1200U);
    EXPECT_EQ(merger.size(), 0U);
}

namespace {

/// Servers with slots and a queue, and gateways that select them with the real selector and share
/// their observations each second.
struct QueueTrial
{
    struct Server
    {
        double speed{ 1 };
        bool slowsFromHalf{ false };
        int active{ 0 };
        std::deque<std::size_t> queue;
    };
    struct Request
    {
        std::size_t gateway{ 0 };
        std::size_t server{ 0 };
        TimePoint sentAt;
        double inFlight{ 0 };
    };
    struct Result
    {
        double p50{ 0 };
        double p99{ 0 };
        double onTime{ 0 };
        std::vector<double> shares;
    };

    static constexpr int kSlots = 8;
    static constexpr std::size_t kGateways = 4;
    static constexpr FloatMilliseconds kObjective{ 200 };

    Result run(double requestsPerSecond, bool usesSpeeds, unsigned seed = 7);

    std::vector<Server> servers;
    PlanService service{ .name = "plain" };
};

QueueTrial::Result QueueTrial::run(double requestsPerSecond, bool usesSpeeds, unsigned seed)
{
    constexpr Duration warmUp = 30s;
    constexpr Duration duration = 60s;
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(requestsPerSecond);
    std::normal_distribution<double> noise(0, kNoise);
    std::uniform_int_distribution<std::size_t> anyGateway(0, kGateways - 1);
    std::vector<UpstreamSelector> selectors;
    std::vector<ServerSpeeds> speeds(kGateways);
    std::vector<std::string> names;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
        selectors.emplace_back(SelectorOptions{ .zone = "a" }, gateway + 1);
        selectors[gateway].setGatewayCount(kGateways);
        names.push_back("g" + std::to_string(gateway));
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            selectors[gateway].onRecord(recordOf(i), kStart);
            speeds[gateway].onUpstream(recordOf(i));
        }
        if (usesSpeeds)
            selectors[gateway].setSpeeds(&speeds[gateway]);
    }
    SpeedObservationMerger merger;
    std::vector<Request> requests;
    using End = std::pair<TimePoint, std::size_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    const auto startRequest = [&](std::size_t id, TimePoint now) {
        Server &server = this->servers[requests[id].server];
        ++server.active;
        double time = 50 / server.speed * std::exp(noise(random));
        if (server.slowsFromHalf)
            time *= std::max(1.0, server.active / (kSlots / 2.0));
        ends.emplace(now + std::chrono::duration_cast<Duration>(FloatMilliseconds(time)), id);
    };
    std::vector<double> times;
    Result result{ .shares = std::vector<double>(this->servers.size()) };
    TimePoint nextArrival = kStart;
    TimePoint nextTick = kStart;
    const TimePoint end = kStart + warmUp + duration;
    while (nextArrival < end || !ends.empty()) {
        if (nextTick <= nextArrival && (ends.empty() || nextTick <= ends.top().first)
            && nextTick < end) {
            for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
                speeds[gateway].update(nextTick);
                merger.add({ .gateway = names[gateway],
                             .observations = speeds[gateway].takeObservations(nextTick) },
                           [](const std::string &) { return std::optional<std::uint64_t>(1); });
            }
            for (const auto &[name, message] : merger.take(names, nextTick)) {
                for (const SpeedObservation &each : message.observations)
                    speeds[name[1] - '0'].onShared(each, nextTick);
            }
            nextTick += 150ms;
        } else if (!ends.empty() && (nextArrival >= end || ends.top().first <= nextArrival)) {
            const auto [now, id] = ends.top();
            ends.pop();
            const Request request = requests[id];
            Server &server = this->servers[request.server];
            --server.active;
            const std::string upstream = recordOf(request.server).id;
            selectors[request.gateway].onEnded(upstream, false, now);
            speeds[request.gateway].onAnswer({ .upstream = upstream,
                                               .startedAtMs = 1,
                                               .route = "r",
                                               .measured = now - request.sentAt,
                                               .inFlight = request.inFlight },
                                             now);
            if (request.sentAt >= kStart + warmUp) {
                times.push_back(FloatMilliseconds(now - request.sentAt).count());
                ++result.shares[request.server];
            }
            if (!server.queue.empty()) {
                const std::size_t next = server.queue.front();
                server.queue.pop_front();
                startRequest(next, now);
            }
        } else {
            const TimePoint now = nextArrival;
            nextArrival += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(random)));
            const std::size_t gateway = anyGateway(random);
            const Selection selection =
                    selectors[gateway].choose({ .service = "plain", .plan = &this->service }, now);
            const std::size_t server = selection.upstream[1] - '0';
            selectors[gateway].onSent(selection.upstream, 0, now);
            requests.push_back({ .gateway = gateway,
                                 .server = server,
                                 .sentAt = now,
                                 .inFlight = selection.load + 1 });
            if (this->servers[server].active < kSlots)
                startRequest(requests.size() - 1, now);
            else
                this->servers[server].queue.push_back(requests.size() - 1);
        }
    }
    std::ranges::sort(times);
    const auto total = static_cast<double>(times.size());
    result.p50 = times[times.size() / 2];
    result.p99 = times[times.size() * 99 / 100];
    result.onTime = static_cast<double>(std::ranges::count_if(
                            times, [](double each) { return each <= kObjective.count(); }))
                    / total;
    std::cout << "rate " << requestsPerSecond << (usesSpeeds ? " with" : " without")
              << " speeds: p50 " << result.p50 << " ms, p99 " << result.p99 << " ms, on time "
              << result.onTime << ", shares";
    for (double &share : result.shares)
        std::cout << " " << (share /= total);
    std::cout << "\n";
    return result;
}

std::vector<QueueTrial::Server> unevenServers()
{
    return { { .speed = 1 },
             { .speed = 1 },
             { .speed = 1 },
             { .speed = 0.5 },
             { .speed = 0.5, .slowsFromHalf = true },
             { .speed = 0.25 } };
}

} // namespace

// Guards against estimates that are right and yet of no use to requests.
TEST(ServerSpeedsLoad, UnevenServersAnswerMoreRequestsOnTime)
{
    for (const double rate : { 50.0, 200.0, 400.0, 500.0 }) {
        const auto without = QueueTrial{ .servers = unevenServers() }.run(rate, false);
        const auto with = QueueTrial{ .servers = unevenServers() }.run(rate, true);
        EXPECT_GT(with.onTime, without.onTime) << rate;
        EXPECT_LT(with.p50, without.p50 * 1.02) << rate;
        EXPECT_LT(with.p99, without.p99) << rate;
        for (const double share : with.shares)
            EXPECT_GT(share, 0.1 / 6) << rate;
    }
}

// Guards against a cost where all servers are equally fast.
TEST(ServerSpeedsLoad, EqualServersAreServedAsWithoutSpeeds)
{
    const std::vector<QueueTrial::Server> equal(6);
    for (const double rate : { 100.0, 600.0, 850.0 }) {
        double without = 0;
        double with = 0;
        for (unsigned seed = 1; seed <= 3; ++seed) {
            const auto plain = QueueTrial{ .servers = equal }.run(rate, false, seed);
            const auto informed = QueueTrial{ .servers = equal }.run(rate, true, seed);
            EXPECT_GT(informed.onTime, plain.onTime - 0.002) << rate;
            without += plain.p99;
            with += informed.p99;
        }
        EXPECT_LT(with, without * 1.03) << rate;
    }
}
