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

constexpr Milliseconds kTickPeriod = 20ms;
constexpr Milliseconds kFetchTime = 40ms;
constexpr Milliseconds kMaxSimulatedDuration = 300s;

double residentMb()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

/// Number of bytes that a frame adds to its message.
std::size_t frameOverhead()
{
    FrameSealer sealer(
            { .cluster = "cluster", .key = std::string(32, 'k'), .sender = "agent-1000" });
    const Message message = Ping{};
    return sealer.seal(message).size() - encode(message).size();
}

/// The `Swarm` state machines of all replicas and their in-flight fetches.
class SwarmSimulation
{
public:
    explicit SwarmSimulation(const SwarmCostOptions &options)
        : options(options), frameBytes(frameOverhead())
    {
        std::vector<PeerRecord> all;
        for (std::size_t i = 0; i < options.replicas; ++i) {
            const std::size_t zone = i % options.zones;
            all.push_back({ .endpoint = "10.0." + std::to_string(i / 250) + "."
                                        + std::to_string(i % 250) + ":4000",
                            .zone = "zone-" + std::to_string(zone),
                            .region = "region-" + std::to_string(zone % options.regions) });
            this->indices[all.back().endpoint] = i;
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
        const TimePoint deadline = this->now + kMaxSimulatedDuration;
        while (this->now < deadline && !this->isComplete())
            this->step();
    }

    bool isComplete() const
    {
        return std::ranges::all_of(this->swarms, [](const auto &swarm) { return swarm->done(); });
    }

    TimePoint now{ 1s };
    std::vector<float> runTimesMicros;
    std::uint64_t messages{ 0 }; ///< number of control messages sent
    std::uint64_t bytes{ 0 };    ///< bytes of the control messages, frames included
    std::uint64_t sourceFetches{ 0 };

private:
    /// Completion of a fetch by the replica with index `to`.
    struct FetchCompletion
    {
        TimePoint at;
        std::size_t to;
        std::size_t chunk;
    };

    /// Runs `work` and records its run time.
    template <class Work> void measure(Work work)
    {
        const auto startedAt = std::chrono::steady_clock::now();
        work();
        this->runTimesMicros.push_back(std::chrono::duration<float, std::micro>(
                                               std::chrono::steady_clock::now() - startedAt)
                                               .count());
    }

    void step()
    {
        this->now += kTickPeriod;
        for (std::size_t i = 0; i < this->swarms.size(); ++i) {
            std::vector<SwarmAction> actions;
            this->measure([&] { actions = this->swarms[i]->tick(this->now); });
            for (const SwarmAction &action : actions)
                this->execute(i, action);
        }
        while (!this->fetches.empty() && this->fetches.front().at <= this->now) {
            const FetchCompletion completion = this->fetches.front();
            this->fetches.pop_front();
            this->measure([&] {
                this->swarms[completion.to]->onFetched(completion.chunk, FetchOutcome::stored, 0ms,
                                                       this->now);
            });
        }
    }

    /// Counts a control message and its bytes.
    void count(const Message &message)
    {
        ++this->messages;
        this->bytes += encode(message).size() + this->frameBytes;
    }

    void execute(std::size_t self, const SwarmAction &action)
    {
        Swarm &own = *this->swarms[self];
        const std::string &endpoint = this->endpointOf(self);
        if (action.kind <= SwarmAction::Kind::fetchFromPeer) {
            this->fetches.push_back({ this->now + kFetchTime, self, action.chunk });
            if (action.kind == SwarmAction::Kind::fetchFromSource)
                ++this->sourceFetches;
            return;
        }
        if (action.kind == SwarmAction::Kind::cancel)
            return;
        Swarm &peer = *this->swarms[this->indices.at(action.peer)];
        const std::string version(2 * kDigestBytes, 'f');
        if (action.kind == SwarmAction::Kind::sendHave) {
            this->count(Have{ .endpoint = endpoint, .version = version, .chunks = action.chunks });
            this->measure([&] { peer.onHave(endpoint, action.chunks, this->now); });
        } else if (action.kind == SwarmAction::Kind::sendProgress) {
            this->count(SwarmProgress{ .endpoint = endpoint, .version = version });
            this->measure([&] { peer.onProgress(endpoint, own.count(), this->now); });
        } else {
            const Holdings holdings{ .endpoint = endpoint,
                                     .version = version,
                                     .bitmap = own.holdings().toBytes() };
            this->count(holdings);
            this->count(holdings);
            this->measure([&] { peer.onHoldings(endpoint, own.holdings(), this->now); });
            this->measure([&] { own.onHoldings(action.peer, peer.holdings(), this->now); });
        }
    }

    const std::string &endpointOf(std::size_t index) const
    {
        return this->swarms[index]->self().endpoint;
    }

    static constexpr std::size_t kDigestBytes = 32;

    SwarmCostOptions options;
    std::size_t frameBytes;
    std::unordered_map<std::string, std::size_t> indices;
    std::vector<std::unique_ptr<Swarm>> swarms;
    std::deque<FetchCompletion> fetches;
};

} // namespace

SwarmCost measureSwarmCost(const SwarmCostOptions &options)
{
    const double residentMbBefore = residentMb();
    SwarmSimulation simulation(options);
    simulation.run();
    const double swarmMemoryMb =
            residentMb() - residentMbBefore
            - static_cast<double>(simulation.runTimesMicros.capacity() * sizeof(float))
                      / (1U << 20U);
    const auto replicas = static_cast<double>(options.replicas);
    const auto p99Index = static_cast<std::ptrdiff_t>(simulation.runTimesMicros.size() * 99 / 100);
    std::ranges::nth_element(simulation.runTimesMicros,
                             simulation.runTimesMicros.begin() + p99Index);
    return { .isComplete = simulation.isComplete(),
             .decisionMicrosP99 = simulation.runTimesMicros[static_cast<std::size_t>(p99Index)],
             .messagesPerReplica = static_cast<double>(simulation.messages) / replicas,
             .controlBytesPerReplica = static_cast<double>(simulation.bytes) / replicas,
             .memoryMb = swarmMemoryMb / replicas,
             .sourceCopies = static_cast<double>(simulation.sourceFetches)
                             / static_cast<double>(options.chunks),
             .seconds = std::chrono::duration<double>(simulation.now - TimePoint{ 1s }).count() };
}

} // namespace egret
