#include "control_node.h"
#include "log_write_queue.h"
#include "text_proposals.h"

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
                                            },
                                    .logSync = [this](int file) { return this->sync(file); } },
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

    int sync(int file)
    {
        std::this_thread::sleep_for(Milliseconds(this->syncMs));
        if (!this->isFullAtSync)
            return ::fdatasync(file);
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
    std::atomic<bool> isFullAtSync{ false };
    std::atomic<int> syncMs{ 0 };
    std::atomic<int> tornBytes{ 0 }; ///< not 0: the next write to the full disk is torn
    std::unique_ptr<ControlNode> node;
};

} // namespace

// Guards against registries that end, all at once, because their disks are full.
TEST_F(ControlNodeTest, NothingIsAcknowledgedOnAFullDiskUntilThereIsRoom)
{
    ASSERT_TRUE(this->isAccepted(1));
    this->tornBytes = 1;
    this->isFull = true;
    auto during = this->put(2);
    auto read = this->propose(ReadNumberedText{ .name = "d" });
    EXPECT_EQ(during.wait_for(1s), std::future_status::timeout) << "nothing is acknowledged";
    ASSERT_EQ(read.wait_for(kWaitTimeout), std::future_status::ready);
    EXPECT_EQ(read.get().revision, 1U) << "what isn't on disk is not read";
    EXPECT_EQ(this->node->operatorState().texts.front().number, 1U) << "nor is it in force";
    this->isFull = false;
    ASSERT_EQ(during.wait_for(kWaitTimeout), std::future_status::ready);
    EXPECT_TRUE(during.get().accepted);
    EXPECT_EQ(this->propose(ReadNumberedText{ .name = "d" }).get().revision, 2U);
    ASSERT_TRUE(this->isAccepted(3));
    this->node.reset();
    this->startNode();
    EXPECT_EQ(this->node->operatorState().texts.size(), 0U)
            << "nothing is committed before a leader";
    ASSERT_TRUE(this->isAccepted(4));
    EXPECT_EQ(this->propose(ReadNumberedText{ .name = "d" }).get().revision, 4U);
}

// Guards against a process that ends, or trusts the file, when a sync says that the disk is full.
TEST_F(ControlNodeTest, AFullDiskAtTheSyncIsOvercomeByANewFile)
{
    ASSERT_TRUE(this->isAccepted(1));
    this->isFullAtSync = true;
    auto during = this->put(2);
    EXPECT_EQ(during.wait_for(500ms), std::future_status::timeout) << "nothing is acknowledged";
    const auto failedFile = std::filesystem::hard_link_count(this->folder + "/control.log");
    std::filesystem::create_hard_link(this->folder + "/control.log", this->folder + "/failed");
    this->isFullAtSync = false;
    ASSERT_EQ(during.wait_for(kWaitTimeout), std::future_status::ready);
    EXPECT_TRUE(during.get().accepted);
    EXPECT_EQ(std::filesystem::hard_link_count(this->folder + "/control.log"), failedFile)
            << "the file whose sync failed is no longer used";
    this->node.reset();
    this->startNode();
    ASSERT_TRUE(this->isAccepted(3));
}

// Guards against a member that holds all changes of a storm while each sync takes long.
TEST_F(ControlNodeTest, ManyChangesShareTheSyncsOfASlowDisk)
{
    ASSERT_TRUE(this->isAccepted(1));
    this->syncMs = 150;
    constexpr std::size_t textBytes = 64U << 10U;
    std::vector<std::future<ControlResult>> results;
    for (std::uint64_t number = 2; number <= 200; ++number)
        results.push_back(this->put(number, textBytes));
    for (auto &result : results) {
        ASSERT_EQ(result.wait_for(4s), std::future_status::ready);
        EXPECT_TRUE(result.get().accepted);
    }
    EXPECT_EQ(this->propose(ReadNumberedText{ .name = "d" }).get().revision, 200U);
    EXPECT_LT(std::filesystem::file_size(this->folder + "/control.log"), 10 * textBytes)
            << "replaced changes are not written";
}

// Guards against records that pile up in memory while the disk is full.
TEST(LogWriteQueue, AFullDiskHoldsFewBytesAndThenWritesTheWholeState)
{
    LogWriteQueue queue;
    TimePoint now = TimePoint{} + 1h;
    std::uint64_t write = 0;
    const auto add = [&] {
        ++write;
        queue.add(AppendRecords{ .records = { QuorumEntry{
                                         .index = write, .payload = std::string(1U << 20U, 'x') } },
                                 .write = write });
    };
    add();
    for (int retry = 0; retry < 50; ++retry) {
        add();
        now += 200ms;
        auto job = queue.takeJob({}, now);
        ASSERT_TRUE(job);
        EXPECT_LE(job->records.size(), 10U);
        EXPECT_FALSE(queue.takeJob({}, now)) << "one job at a time";
        EXPECT_FALSE(queue.finishJob(std::move(*job), {}, now)) << "nothing is on disk";
        EXPECT_FALSE(queue.takeJob({}, now)) << "a full disk is not asked at once";
        EXPECT_LE(queue.waitingBytes(), 9U << 20U);
    }
    now += 200ms;
    auto job = queue.takeJob({}, now);
    ASSERT_TRUE(job && job->state) << "dropped records are written with the whole state";
    EXPECT_FALSE(job->mayAppendInstead);
    EXPECT_EQ(queue.finishJob(std::move(*job), { .isDone = true, .isRewritten = true }, now),
              write);
    EXPECT_FALSE(queue.takeJob({}, now));
}

// Guards against a queue of large documents behind a slow log.
TEST(TextProposals, ALaterTextTakesThePlaceOfTheOneThatWaits)
{
    TextProposals texts;
    std::vector<std::uint64_t> answered;
    const auto add = [&](std::uint64_t number) {
        texts.add({ .name = "d", .number = number, .text = std::string(100, 'x') },
                  [&answered, number](const ControlResult &) { answered.push_back(number); });
    };
    const auto finish = [&] {
        for (const auto &done : texts.finish("d"))
            done({});
    };
    add(3);
    ASSERT_EQ(texts.takeDue().size(), 1U);
    for (const std::uint64_t number : { 5, 2, 7, 6, 3 })
        add(number);
    EXPECT_EQ(texts.waitingBytes(), 100U);
    EXPECT_TRUE(texts.takeDue().empty()) << "one text of a name is in the log";
    finish();
    EXPECT_EQ(answered, (std::vector<std::uint64_t>{ 3, 2, 3 })) << "copies and older ones with it";
    const auto next = texts.takeDue();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front().number, 7U);
    finish();
    EXPECT_EQ(answered.size(), 6U);
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
