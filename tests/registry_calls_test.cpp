#include "clock.h"
#include "loopback.h"
#include "registry_node.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <future>
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

    std::unique_ptr<RegistryNode> startRegistry(std::uint32_t registry, bool isFirstStart)
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
        auto node = std::make_unique<RegistryNode>(settings);
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
    CallOutcome call(std::uint32_t registry, const ControlCommand &command)
    {
        const TimePoint startedAt = bootNow();
        std::promise<ControlResult> done;
        RegistryNode &node = *this->registries[registry];
        asio::post(node.context(), [&] {
            node.call(command, [&done](const ControlResult &result) { done.set_value(result); });
        });
        const ControlResult result = done.get_future().get();
        return { .result = result,
                 .duration = std::chrono::floor<Milliseconds>(bootNow() - startedAt) };
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
    std::vector<std::unique_ptr<RegistryNode>> registries;
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
    this->registries.clear();
    for (std::uint32_t i = 0; i < kRegistryCount; ++i)
        this->registries.push_back(this->startRegistry(i, false));
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
    this->registries[leading]->stop();
    this->registries[leading].reset();
    this->registries[leading] = this->startRegistry(leading, false);
    ASSERT_TRUE(this->waitUntil([this] { return this->hasFullQuorum(); }));
    this->expectEveryRegistryServesOperators();
}
