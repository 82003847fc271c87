#include "clock.h"
#include "loopback.h"
#include "registry_node.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

using namespace egret;

namespace {

constexpr std::uint32_t kRegistryCount = 8;
constexpr std::uint32_t kSeedCount = 3;
constexpr std::uint32_t kToleratedLosses = 2;
constexpr std::size_t kVoterCount = 2 * kToleratedLosses + 1;
constexpr Seconds kStartTimeout{ 15 };
/// Operators give a call up after this time.
constexpr Milliseconds kCallTimeLimit{ 1000 };

struct CallOutcome
{
    ControlResult result;
    Milliseconds duration{ 0 };
};

/// Runs more registries than the quorum has voters, all in one process.
class RegistryCalls : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = testing::TempDir() + "registries-XXXXXX";
        this->folder = mkdtemp(name.data());
        constexpr int firstPrefix = 32;
        constexpr int prefixCount = 200;
        this->addressPrefix = "127." + std::to_string(firstPrefix + ::getpid() % prefixCount);
        this->linkPort = freeLoopback("127.0.0.1").port;
        for (std::uint32_t i = 0; i < kRegistryCount; ++i)
            this->registries.push_back(this->startRegistry(i, true));
        ASSERT_TRUE(this->waitUntil([this] { return this->hasFullQuorum(); }));
    }

    void TearDown() override
    {
        for (const auto &registry : this->registries)
            registry->stop();
        std::filesystem::remove_all(this->folder);
    }

    std::string addressOf(std::uint32_t registry) const
    {
        return this->addressPrefix + ".9." + std::to_string(registry + 1);
    }

    std::shared_ptr<RegistryNode> startRegistry(std::uint32_t registry, bool isFirstStart)
    {
        NodeSettings settings{ .instance = "registry" + std::to_string(registry),
                               .zone = "a",
                               .region = "a",
                               .address = this->addressOf(registry),
                               .linkPorts = { this->linkPort },
                               .isFirstStart = isFirstStart,
                               .toleratedLosses = kToleratedLosses,
                               .dataFolder = this->folder + "/" + std::to_string(registry),
                               .clusterKey = std::string(64, 'a') };
        for (std::uint32_t seed = 0; seed < kSeedCount; ++seed)
            settings.seeds.push_back(this->addressOf(seed) + ":0");
        auto node = std::make_shared<RegistryNode>(settings);
        std::string problem;
        if (!node->start(problem))
            throw std::runtime_error(problem);
        return node;
    }

    /// True when the voters have the same leader and the intended number.
    bool hasFullQuorum() const
    {
        std::size_t voters = 0;
        std::set<std::string> leaders;
        for (const auto &registry : this->registries) {
            const QuorumStatus status = registry->quorumStatus();
            if (status.role != QuorumRole::voter)
                continue;
            ++voters;
            leaders.insert(status.leader);
        }
        return voters == kVoterCount && leaders.size() == 1 && !leaders.begin()->empty();
    }

    static bool waitUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = bootNow() + kStartTimeout;
        while (bootNow() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return condition();
    }

    /// Runs a command or query as an operator does: at one registry, which has to find the leader.
    /// The result isn't accepted when the registry stops meanwhile.
    CallOutcome call(std::uint32_t registry, const ControlCommand &command)
    {
        const TimePoint startedAt = bootNow();
        const auto done = std::make_shared<std::promise<ControlResult>>();
        auto result = done->get_future();
        std::shared_ptr<RegistryNode> node;
        {
            const std::lock_guard lock(this->registriesMutex);
            node = this->registries[registry];
        }
        if (!node)
            return {};
        // The context belongs to the node, so it must not hold a reference to it.
        asio::post(node->context(), [running = node.get(), command, done] {
            running->call(command, [done](const ControlResult &each) { done->set_value(each); });
        });
        if (result.wait_for(kCallTimeLimit) != std::future_status::ready)
            return {};
        return { .result = result.get(),
                 .duration = std::chrono::floor<Milliseconds>(bootNow() - startedAt) };
    }

    /// Stops a registry as a crash does, and starts it again after `downTime`.
    void restart(std::uint32_t registry, Milliseconds downTime)
    {
        std::shared_ptr<RegistryNode> stopped;
        {
            const std::lock_guard lock(this->registriesMutex);
            stopped = std::exchange(this->registries[registry], nullptr);
        }
        stopped->stop();
        const std::weak_ptr<RegistryNode> stoppedWeak = stopped;
        stopped.reset();
        while (!stoppedWeak.expired())
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(downTime);
        auto started = this->startRegistry(registry, false);
        const std::lock_guard lock(this->registriesMutex);
        this->registries[registry] = std::move(started);
    }

    /// Stores a new number at every registry, and reads that number at every registry.
    void expectEveryRegistryServesOperators()
    {
        for (std::uint32_t i = 0; i < kRegistryCount; ++i) {
            const std::uint64_t number = ++this->lastNumber;
            const auto stored = this->call(
                    i, PutNumberedText{ .text = { .name = "document", .number = number } });
            EXPECT_TRUE(stored.result.accepted) << "registry " << i;
            EXPECT_LT(stored.duration, kCallTimeLimit) << "registry " << i;
            for (std::uint32_t reader = 0; reader < kRegistryCount; ++reader) {
                const auto read = this->call(reader, ReadNumberedText{ .name = "document" });
                EXPECT_TRUE(read.result.accepted) << "registry " << reader;
                EXPECT_EQ(read.result.revision, number) << "registry " << reader;
            }
            if (this->HasFailure())
                return;
        }
    }

    std::string folder;
    std::string addressPrefix;
    std::uint32_t linkPort{ 0 };
    std::mutex registriesMutex;
    std::vector<std::shared_ptr<RegistryNode>> registries; ///< empty while a registry is restarted
    std::uint64_t lastNumber{ 0 };
};

} // namespace

// Guards against registries that refuse every call because they aren't members of the quorum.
TEST_F(RegistryCalls, RegistriesOutsideOfTheQuorumServeOperators)
{
    this->expectEveryRegistryServesOperators();
}

TEST_F(RegistryCalls, RegistriesOutsideOfTheQuorumServeOperatorsAfterARestartOfAll)
{
    this->expectEveryRegistryServesOperators();
    for (const auto &registry : this->registries)
        registry->stop();
    for (std::uint32_t i = 0; i < kRegistryCount; ++i)
        this->registries[i].reset();
    for (std::uint32_t i = 0; i < kRegistryCount; ++i)
        this->registries[i] = this->startRegistry(i, false);
    ASSERT_TRUE(this->waitUntil([this] { return this->hasFullQuorum(); }));
    this->expectEveryRegistryServesOperators();
}

// The leader stops: the registries outside have to find the next one.
TEST_F(RegistryCalls, RegistriesOutsideOfTheQuorumFollowAChangeOfLeader)
{
    std::string leader;
    for (const auto &registry : this->registries) {
        if (registry->quorumStatus().role == QuorumRole::voter)
            leader = registry->quorumStatus().leader;
    }
    std::uint32_t leading = 0;
    while (leader != this->addressOf(leading) + ":" + std::to_string(this->linkPort))
        ++leading;
    this->restart(leading, 0ms);
    ASSERT_TRUE(this->waitUntil([this] { return this->hasFullQuorum(); }));
    this->expectEveryRegistryServesOperators();
}

// Guards against an acknowledged document that is read back older.
TEST_F(RegistryCalls, ReadsIncludeWhatWasAcknowledgedWhileRegistriesRestart)
{
    std::atomic<bool> isOver{ false };
    std::atomic<std::uint64_t> acknowledged{ 0 };
    std::atomic<int> readCount{ 0 };
    std::vector<std::future<void>> operators;
    operators.push_back(std::async(std::launch::async, [&] {
        std::mt19937 random(1);
        for (std::uint64_t number = 1; !isOver; ++number) {
            const PutNumberedText command{ .text = { .name = "document", .number = number } };
            while (!isOver && !this->call(random() % kRegistryCount, command).result.accepted)
                std::this_thread::sleep_for(5ms);
            if (!isOver)
                acknowledged = number;
        }
    }));
    for (std::uint32_t reader = 0; reader < 3; ++reader) {
        operators.push_back(std::async(std::launch::async, [&, reader] {
            std::mt19937 random(reader);
            while (!isOver) {
                const std::uint64_t least = acknowledged;
                const auto read = this->call(random() % kRegistryCount,
                                             ReadNumberedText{ .name = "document" });
                if (!read.result.accepted)
                    continue;
                ++readCount;
                EXPECT_GE(read.result.revision, least);
            }
        }));
    }
    std::mt19937 random(4);
    for (int i = 0; i < 20; ++i) {
        this->restart(random() % kRegistryCount, Milliseconds(random() % 300));
        std::this_thread::sleep_for(Milliseconds(random() % 300));
    }
    isOver = true;
    for (auto &each : operators)
        each.get();
    EXPECT_GT(acknowledged, 10U);
    EXPECT_GT(readCount, 100);
}
