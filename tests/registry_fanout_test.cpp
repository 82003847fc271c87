#include "clock.h"
#include "loopback.h"
#include "node_options.h"
#include "registry_node.h"
#include "view_reader.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <thread>

using namespace egret;

namespace {

constexpr std::uint32_t kReaderCount = 40;
constexpr std::uint32_t kUpstreamCount = 50;

/// One registry and the readers of its views, in one process.
class RegistryFanout : public testing::Test
{
protected:
    struct Reader
    {
        std::unique_ptr<LinkHub> hub;
        std::unique_ptr<ViewReader> views;
        bool hasStatement{ false };            ///< a statement of an upstream has arrived
        bool knewUpstreamOfStatement{ false }; ///< a view had named its upstream before
    };

    void SetUp() override
    {
        std::string name = testing::TempDir() + "fanout-XXXXXX";
        this->settings = { .instance = "registry",
                           .zone = "a",
                           .region = "a",
                           .address = "127.0.0.1",
                           .linkPorts = { freeLoopback("127.0.0.1").port },
                           .isFirstStart = true,
                           .toleratedLosses = 0,
                           .processorShare = 0.15,
                           .dataFolder = mkdtemp(name.data()),
                           .bounds = { .revoke = 5s },
                           .clusterKey = std::string(64, 'a') };
        this->settings.seeds = { "127.0.0.1:0" };
        this->registry = std::make_unique<RegistryNode>(this->settings);
        std::string problem;
        ASSERT_TRUE(this->registry->start(problem)) << problem;
        for (std::uint32_t i = 0; i < kReaderCount; ++i)
            this->addReader(i);
        this->pool.every(kViewPollInterval, [this] {
            for (const Reader &reader : this->readers)
                reader.views->tick();
        });
        ASSERT_TRUE(this->waitUntil(
                [](const Reader &reader) { return reader.views->view().isConfirmed(bootNow()); }));
    }

    void TearDown() override
    {
        for (const Reader &reader : this->readers)
            reader.hub->shutdown();
        this->pool.stop();
        this->registry->stop();
        std::filesystem::remove_all(this->settings.dataFolder);
    }

    void addReader(std::uint32_t index)
    {
        NodeSettings own = this->settings;
        own.instance = "reader" + std::to_string(index);
        own.address = "127.0.1." + std::to_string(index + 1);
        this->readers.emplace_back();
        auto options = nodeHubOptions(own, Role::entry, index + 1);
        options.listen = {};
        this->readers.back().hub = std::make_unique<LinkHub>(
                this->pool, options,
                LinkHandlers{ .onFrame =
                                      [this, index](const LinkPtr &link, Frame &&frame) {
                                          Reader &reader = this->readers[index];
                                          if (const auto *report =
                                                      std::get_if<UpstreamReport>(&frame.message)) {
                                              reader.hasStatement = true;
                                              reader.knewUpstreamOfStatement =
                                                      reader.views->view().upstreams().find(
                                                              report->upstream)
                                                      != nullptr;
                                          }
                                          const auto *view = std::get_if<View>(&frame.message);
                                          if (view == nullptr)
                                              return;
                                          this->pushCount += view->isPush ? 1 : 0;
                                          this->readers[index].views->onView(link, *view);
                                      },
                              .onDown = [](const LinkPtr &) {} });
        this->readers.back().views = std::make_unique<ViewReader>(
                own, true, *this->readers.back().hub,
                ViewReaderHandlers{ .stateChanged = [] {},
                                    .upstreamChanged = [](const UpstreamRecord &) {} });
    }

    void announce(std::uint32_t upstream)
    {
        asio::post(this->registry->context(), [this, upstream] {
            this->registry->announce({ .id = "upstream" + std::to_string(upstream),
                                       .startedAtMs = 1,
                                       .sequence = 1,
                                       .service = "service",
                                       .endpoint = "127.0.2." + std::to_string(upstream + 1) + ":1",
                                       .zone = "a",
                                       .notice = AnnouncedState::ready });
        });
    }

    template <class Condition> bool waitUntil(Condition holds)
    {
        const TimePoint deadline = bootNow() + 10s;
        while (bootNow() < deadline) {
            bool isDone = true;
            this->pool.run([&] {
                for (const Reader &reader : this->readers)
                    isDone = isDone && holds(reader);
            });
            if (isDone)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    NodeSettings settings;
    std::unique_ptr<RegistryNode> registry;
    WorkerPool pool{ 1 };
    std::vector<Reader> readers;
    std::atomic<std::uint32_t> pushCount{ 0 };
};

} // namespace

// Guards against statements that reach a started gateway before it knows the upstream, and are
// lost.
TEST_F(RegistryFanout, NewGatewayIsToldOfStatementsAfterItsFirstView)
{
    this->announce(0);
    ASSERT_TRUE(this->waitUntil(
            [](const Reader &reader) { return !reader.views->view().upstreams().all().empty(); }));
    this->pool.run([this] {
        this->readers[0].views->sendToAll(
                UpstreamReport{ .upstream = "upstream0", .startedAtMs = 1, .isLeaving = true });
    });
    ASSERT_TRUE(this->waitUntil([](const Reader &reader) { return reader.hasStatement; }));
    this->pool.run([this] { this->addReader(kReaderCount); });
    ASSERT_TRUE(this->waitUntil([](const Reader &reader) { return reader.hasStatement; }));
    EXPECT_TRUE(this->readers[kReaderCount].knewUpstreamOfStatement);
}

// Guards against one push for each announcement and reader: 2000 here.
TEST_F(RegistryFanout, BurstOfAnnouncementsIsPushedAtABoundedRate)
{
    this->pushCount = 0;
    const TimePoint beganAt = bootNow();
    for (std::uint32_t i = 0; i < kUpstreamCount; ++i) {
        this->announce(i);
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_TRUE(this->waitUntil([](const Reader &reader) {
        return reader.views->view().upstreams().all().size() == kUpstreamCount;
    }));
    // 300 views a second are a fixed share of 0.15 of a core; a burst of 60 comes on top.
    const double seconds = std::chrono::duration<double>(bootNow() - beganAt).count();
    EXPECT_LE(this->pushCount, 60 + 300 * seconds);
    // The readers hold the state within a second of the last announcement.
    EXPECT_LE(seconds, 1.0 + kUpstreamCount * 0.010 + 0.5);
}
