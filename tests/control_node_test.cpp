#include "control_node.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cerrno>
#include <filesystem>
#include <future>
#include <thread>

#include <unistd.h>

using namespace egret;

namespace {

constexpr const char *kEndpoint = "127.0.0.1:7000";
constexpr Seconds kWaitTimeout{ 10 };

/// A quorum of one member whose disk can be full.
class ControlNodeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = testing::TempDir() + "control-node-XXXXXX";
        this->folder = mkdtemp(name.data());
        this->startNode();
    }
    void TearDown() override
    {
        this->node.reset();
        std::filesystem::remove_all(this->folder);
    }

    void startNode()
    {
        this->node = std::make_unique<ControlNode>(
                ControlNodeOptions{ .dataFolder = this->folder,
                                    .endpoint = kEndpoint,
                                    .controls = { kEndpoint },
                                    .targetVoters = 1,
                                    .logWrite =
                                            [this](int file, const void *bytes, std::size_t size) {
                                                return this->write(file, bytes, size);
                                            } },
                ControlNodeHandlers{ .applied = [] {},
                                     .send = [](const std::string &, const QuorumMessage &) {} });
        Reason<int> reason;
        ASSERT_TRUE(this->node->start(reason)) << reason.detail;
    }

    ssize_t write(int file, const void *bytes, std::size_t size)
    {
        if (!this->isFull)
            return ::write(file, bytes, size);
        // Half of the bytes find room, as on a disk that becomes full within a write.
        if (const std::size_t half = this->tornBytes.exchange(0) > 0 ? size / 2 : 0; half > 0)
            return ::write(file, bytes, half);
        errno = ENOSPC;
        return -1;
    }

    std::future<ControlResult> propose(const ControlCommand &command)
    {
        auto promise = std::make_shared<std::promise<ControlResult>>();
        this->node->propose(command,
                            [promise](const ControlResult &result) { promise->set_value(result); });
        return promise->get_future();
    }

    std::future<ControlResult> put(std::uint64_t number, std::size_t bytes = 4)
    {
        return this->propose(PutNumberedText{
                .text = { .name = "d", .number = number, .text = std::string(bytes, 'x') } });
    }

    /// Repeats a change until it is accepted; false after `kWaitTimeout`.
    bool isAccepted(std::uint64_t number)
    {
        const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
        while (std::chrono::steady_clock::now() < end) {
            auto result = this->put(number);
            if (result.wait_for(kWaitTimeout) == std::future_status::ready && result.get().accepted)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    std::string folder;
    std::atomic<bool> isFull{ false };
    std::atomic<int> tornBytes{ 0 }; ///< not 0: the next write to the full disk is torn
    std::unique_ptr<ControlNode> node;
};

} // namespace

// Guards against registries that end, all at once, because their disks are full.
TEST_F(ControlNodeTest, AFullDiskPausesTheMemberUntilThereIsRoom)
{
    ASSERT_TRUE(this->isAccepted(1));
    this->tornBytes = 1;
    this->isFull = true;
    auto during = this->put(2);
    auto read = this->propose(ReadNumberedText{ .name = "d" });
    EXPECT_EQ(during.wait_for(1s), std::future_status::timeout) << "nothing is acknowledged";
    EXPECT_FALSE(this->node->leadingTerm()) << "a paused member leads nobody";
    this->isFull = false;
    ASSERT_EQ(read.wait_for(kWaitTimeout), std::future_status::ready);
    EXPECT_FALSE(read.get().accepted) << "a read from before the pause is not current";
    ASSERT_TRUE(this->isAccepted(3));
    this->node.reset();
    this->startNode();
    EXPECT_EQ(this->node->operatorState().texts.size(), 0U)
            << "nothing is committed before a leader";
    ASSERT_TRUE(this->isAccepted(4));
    EXPECT_EQ(this->propose(ReadNumberedText{ .name = "d" }).get().revision, 4U);
}

// Guards against a process that can't be stopped while its disk is full.
TEST_F(ControlNodeTest, AMemberOnAFullDiskStops)
{
    ASSERT_TRUE(this->isAccepted(1));
    this->isFull = true;
    this->put(2);
    std::this_thread::sleep_for(50ms);
    const auto startedAt = std::chrono::steady_clock::now();
    this->node->stop();
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s);
}

// Guards against a log that grows with the size of the changes until it fills the disk.
TEST_F(ControlNodeTest, ManyLargeChangesKeepTheLogSmall)
{
    constexpr std::size_t textBytes = 256U << 10U;
    constexpr std::uint64_t changes = 200;
    ASSERT_TRUE(this->isAccepted(1));
    for (std::uint64_t number = 2; number <= changes; ++number)
        ASSERT_TRUE(this->put(number, textBytes).get().accepted);
    std::uintmax_t bytes = 0;
    for (const auto &entry : std::filesystem::directory_iterator(this->folder))
        bytes += entry.file_size();
    EXPECT_LT(bytes, 20U << 20U) << "the changes have " << changes * textBytes << " bytes";
}
