#include "swarm_cost.h"

#include "frame.h"
#include "swarm.h"

#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <memory>
#include <unordered_map>

namespace egret {

namespace {

constexpr Milliseconds kTick = 20ms;
constexpr Milliseconds kFetchTime = 40ms;
constexpr Milliseconds kMaxSimulatedTime = 300s;

double residentMb()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

/// Bytes that a frame adds to its message.
std::size_t frameOverhead()
{
    FrameSealer sealer(
            { .cluster = "cluster", .key = std::string(32, 'k'), .sender = "agent-1000" });
    const Message message = Ping{};
    return sealer.seal(message).size() - encode(message).size();
}

/// The state machines of all replicas and their in-flight transfers.
class SwarmSimulation
{
public:
    explicit SwarmSimulation(const SwarmCostOptions &options)
        : options(options), overhead(frameOverhead())
    {
        std::vector<PeerRecord> all;
        for (std::size_t i = 0; i < options.replicas; ++i) {
            const std::size_t zone = i % options.zones;
            all.push_back({ .endpoint = "10.0." + std::to_string(i / 250) + "."
                                        + std::to_string(i % 250) + ":4000",
                            .zone = "zone-" + std::to_string(zone),
                            .region = "region-" + std::to_string(zone % options.regions) });
            this->numbers[all.back().endpoint] = i;
        }
        for (const PeerRecord &record : all) {
            auto &swarm = this->swarms.emplace_back(
                    std::make_unique<Swarm>(SwarmOptions{ .self = record }));
            swarm->setPeers(selectSwarmPeers(all, record), this->now);
            swarm->start(options.chunks, ChunkSet(options.chunks), 1, this->now);
        }
    }

    void run()
    {
        const TimePoint end = this->now + kMaxSimulatedTime;
        while (this->now < end && !this->whole())
            this->step();
    }

    bool whole() const
    {
        return std::ranges::all_of(this->swarms, [](const auto &swarm) { return swarm->done(); });
    }

    TimePoint now{ 1s };
    std::vector<float> micros;
    std::uint64_t messages{ 0 };
    std::uint64_t bytes{ 0 };
    std::uint64_t sourceFetches{ 0 };

private:
    struct FetchCompletion
    {
        TimePoint at;
        std::size_t to;
        std::size_t chunk;
    };

    template <class Work> void timed(Work work)
    {
        const auto began = std::chrono::steady_clock::now();
        work();
        this->micros.push_back(
                std::chrono::duration<float, std::micro>(std::chrono::steady_clock::now() - began)
                        .count());
    }

    void step()
    {
        this->now += kTick;
        for (std::size_t i = 0; i < this->swarms.size(); ++i) {
            std::vector<SwarmAction> actions;
            this->timed([&] { actions = this->swarms[i]->tick(this->now); });
            for (const SwarmAction &action : actions)
                this->run(i, action);
        }
        while (!this->fetches.empty() && this->fetches.front().at <= this->now) {
            const FetchCompletion completion = this->fetches.front();
            this->fetches.pop_front();
            this->timed([&] {
                this->swarms[completion.to]->onFetched(completion.chunk, FetchOutcome::kept, 0ms,
                                                       this->now);
            });
        }
    }

    void count(const Message &message)
    {
        ++this->messages;
        this->bytes += encode(message).size() + this->overhead;
    }

    void run(std::size_t self, const SwarmAction &action)
    {
        Swarm &own = *this->swarms[self];
        const std::string &name = this->nameOf(self);
        if (action.kind <= SwarmAction::Kind::fetchFromPeer) {
            this->fetches.push_back({ this->now + kFetchTime, self, action.chunk });
            if (action.kind == SwarmAction::Kind::fetchFromSource)
                ++this->sourceFetches;
            return;
        }
        if (action.kind == SwarmAction::Kind::cancel)
            return;
        Swarm &peer = *this->swarms[this->numbers.at(action.peer)];
        const std::string version(2 * kDigestBytes, 'f');
        if (action.kind == SwarmAction::Kind::sendHave) {
            this->count(Have{ .endpoint = name, .version = version, .chunks = action.chunks });
            this->timed([&] { peer.onHave(name, action.chunks, this->now); });
        } else if (action.kind == SwarmAction::Kind::sendProgress) {
            this->count(SwarmProgress{ .endpoint = name, .version = version });
            this->timed([&] { peer.onProgress(name, own.count(), this->now); });
        } else {
            const Holdings holdings{ .endpoint = name,
                                     .version = version,
                                     .bitmap = own.holdings().toBytes() };
            this->count(holdings);
            this->count(holdings);
            this->timed([&] { peer.onHoldings(name, own.holdings(), this->now); });
            this->timed([&] { own.onHoldings(action.peer, peer.holdings(), this->now); });
        }
    }

    const std::string &nameOf(std::size_t number) const
    {
        return this->swarms[number]->self().endpoint;
    }

    static constexpr std::size_t kDigestBytes = 32;

    SwarmCostOptions options;
    std::size_t overhead;
    std::unordered_map<std::string, std::size_t> numbers;
    std::vector<std::unique_ptr<Swarm>> swarms;
    std::deque<FetchCompletion> fetches;
};

} // namespace

SwarmCost measureSwarmCost(const SwarmCostOptions &options)
{
    const double before = residentMb();
    SwarmSimulation simulation(options);
    simulation.run();
    const double memory =
            residentMb() - before
            - static_cast<double>(simulation.micros.capacity() * sizeof(float)) / (1U << 20U);
    const auto replicas = static_cast<double>(options.replicas);
    const auto place = static_cast<std::ptrdiff_t>(simulation.micros.size() * 99 / 100);
    std::ranges::nth_element(simulation.micros, simulation.micros.begin() + place);
    return { .whole = simulation.whole(),
             .decisionMicrosP99 = simulation.micros[static_cast<std::size_t>(place)],
             .messagesPerReplica = static_cast<double>(simulation.messages) / replicas,
             .controlBytesPerReplica = static_cast<double>(simulation.bytes) / replicas,
             .memoryMb = memory / replicas,
             .sourceCopies = static_cast<double>(simulation.sourceFetches)
                             / static_cast<double>(options.chunks),
             .seconds = std::chrono::duration<double>(simulation.now - TimePoint{ 1s }).count() };
}

} // namespace egret
