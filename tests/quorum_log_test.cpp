#include "quorum_log.h"

#include "program.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace egret;

namespace {

constexpr const char *kEndpoint = "127.0.0.1:7000";

class QuorumLogTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = testing::TempDir() + "quorum-log-XXXXXX";
        this->folder = mkdtemp(name.data());
    }
    void TearDown() override { std::filesystem::remove_all(this->folder); }

    std::string logPath() const { return this->folder + "/control.log"; }

    std::optional<QuorumPersistentState> reopen(Reason<QuorumLogError> &reason,
                                                const std::string &endpoint = kEndpoint) const
    {
        return QuorumLog(this->folder, endpoint).open(reason);
    }

    void writeEntries(std::uint64_t entries) const
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        ASSERT_TRUE(log.append({ QuorumVote{ .cluster = 9, .term = 3, .votedFor = 4 } }));
        for (std::uint64_t index = 1; index <= entries; ++index)
            ASSERT_TRUE(
                    log.append({ QuorumEntry{ .term = 3, .index = index, .payload = "command" } }));
        ASSERT_TRUE(log.sync());
    }

    void overwrite(std::size_t at, const std::string &bytes) const
    {
        std::fstream stream(this->logPath(), std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(static_cast<std::streamoff>(at));
        stream << bytes;
    }

    std::string folder;
};

} // namespace

TEST_F(QuorumLogTest, RestoresTheRecordsWritten)
{
    this->writeEntries(5);
    Reason<QuorumLogError> reason;
    const auto persisted = this->reopen(reason);
    ASSERT_TRUE(persisted);
    EXPECT_EQ(persisted->cluster, 9U);
    EXPECT_EQ(persisted->votedFor, 4U);
    EXPECT_EQ(persisted->entries.size(), 5U);
}

TEST_F(QuorumLogTest, TruncatesATornTail)
{
    this->writeEntries(1);
    const std::string syncedContent = *readFile(this->logPath());
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        ASSERT_TRUE(log.append({ QuorumEntry{ .term = 3, .index = 2, .payload = "command" } }));
    }
    const std::string extendedContent = *readFile(this->logPath());
    constexpr std::size_t step = 7;
    for (std::size_t size = syncedContent.size() + 1; size < extendedContent.size(); size += step) {
        std::ofstream(this->logPath(), std::ios::binary) << extendedContent.substr(0, size);
        Reason<QuorumLogError> reason;
        const auto persisted = this->reopen(reason);
        ASSERT_TRUE(persisted) << size << ": " << reason.detail;
        EXPECT_EQ(persisted->entries.size(), 1U);
        EXPECT_EQ(std::filesystem::file_size(this->logPath()), syncedContent.size());
    }
}

TEST_F(QuorumLogTest, RefusesADamagedSyncedRecord)
{
    this->writeEntries(5);
    const std::string syncedContent = *readFile(this->logPath());
    // Damage each byte in turn, except the bytes of the last record, which may be torn. A record
    // has a header of 40 bytes.
    const std::size_t lastRecordBytes =
            40 + encode(QuorumRecord(QuorumEntry{ .payload = "command" })).size();
    for (std::size_t at = 0; at + lastRecordBytes < syncedContent.size(); ++at) {
        this->overwrite(at, std::string(1, static_cast<char>(syncedContent[at] ^ 1)));
        Reason<QuorumLogError> reason;
        EXPECT_FALSE(this->reopen(reason)) << at;
        EXPECT_EQ(reason.code, QuorumLogError::corrupt);
        this->overwrite(at, std::string(1, syncedContent[at]));
    }
}

TEST_F(QuorumLogTest, TruncatesAtAnUnsyncedWriteLostInAPowerFailure)
{
    this->writeEntries(3);
    const std::size_t syncedBytes = std::filesystem::file_size(this->logPath());
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        ASSERT_TRUE(log.append({ QuorumEntry{ .term = 3, .index = 4, .payload = "command" } }));
        ASSERT_TRUE(log.append({ QuorumEntry{ .term = 3, .index = 5, .payload = "command" } }));
    }
    // The first of two unsynced writes is missing, and the second write is intact.
    this->overwrite(syncedBytes + 3, std::string(30, '\0'));
    Reason<QuorumLogError> reason;
    const auto persisted = this->reopen(reason);
    ASSERT_TRUE(persisted) << reason.detail;
    EXPECT_EQ(persisted->entries.size(), 3U);
    EXPECT_EQ(std::filesystem::file_size(this->logPath()), syncedBytes);
}

TEST_F(QuorumLogTest, RefusesAFolderOfAnotherEndpointAndAFolderInUse)
{
    this->writeEntries(1);
    Reason<QuorumLogError> reason;
    EXPECT_FALSE(this->reopen(reason, "127.0.0.1:7001"));
    EXPECT_EQ(reason.code, QuorumLogError::wrongEndpoint);
    QuorumLog holder(this->folder, kEndpoint);
    ASSERT_TRUE(holder.open(reason));
    EXPECT_FALSE(this->reopen(reason));
    EXPECT_EQ(reason.code, QuorumLogError::inUse);
}

TEST_F(QuorumLogTest, ReplacesTheFileByASnapshot)
{
    QuorumPersistentState persisted;
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        persisted = *log.open(reason);
        EXPECT_TRUE(log.isFresh());
        persisted.snapshot.index = 7;
        persisted.snapshot.state = std::make_shared<const std::string>(std::string(3U << 20U, 's'));
        persisted.entries.push_back({ .term = 2, .index = 8, .payload = "after" });
        ASSERT_TRUE(log.rewrite(persisted));
        ASSERT_TRUE(
                log.append({ QuorumTruncate{ .from = 8 }, QuorumEntry{ .term = 3, .index = 8 } }));
        ASSERT_TRUE(log.sync());
    }
    // A crash before the rename leaves a partial file, which must be ignored.
    std::ofstream(this->logPath() + ".new") << "half";
    Reason<QuorumLogError> reason;
    const auto reopened = this->reopen(reason);
    ASSERT_TRUE(reopened);
    EXPECT_EQ(reopened->folder, persisted.folder);
    EXPECT_EQ(reopened->snapshot.index, 7U);
    EXPECT_EQ(reopened->snapshot.state->size(), 3U << 20U);
    ASSERT_EQ(reopened->entries.size(), 1U);
    EXPECT_EQ(reopened->entries.front().term, 3U);
}

// Guards against records behind torn ones: what a full disk cut off is overwritten.
TEST_F(QuorumLogTest, ARecordCutOffByAFullDiskIsWrittenAgain)
{
    bool isFull = false;
    const auto write = [&isFull](int file, const void *bytes, std::size_t size) -> ssize_t {
        if (!isFull)
            return ::write(file, bytes, size);
        if (size > 10)
            return ::write(file, bytes, size / 2);
        errno = ENOSPC;
        return -1;
    };
    Reason<QuorumLogError> reason;
    {
        QuorumLog log(this->folder, kEndpoint, write);
        auto state = log.open(reason);
        ASSERT_TRUE(state);
        ASSERT_TRUE(log.append({ QuorumEntry{ .term = 3, .index = 1, .payload = "one" } }));
        isFull = true;
        EXPECT_FALSE(log.append({ QuorumEntry{ .term = 3, .index = 2, .payload = "two" } }));
        EXPECT_FALSE(log.rewrite(*state));
        EXPECT_EQ(log.appendedBytes() > 0, true) << "the log is as it was";
        EXPECT_FALSE(std::filesystem::exists(this->logPath() + ".new"));
    }
    EXPECT_EQ(this->reopen(reason)->entries.size(), 1U) << "the torn record is dropped";
    isFull = false;
    {
        QuorumLog log(this->folder, kEndpoint, write);
        ASSERT_TRUE(log.open(reason));
        isFull = true;
        EXPECT_FALSE(log.append({ QuorumEntry{ .term = 3, .index = 2, .payload = "two" } }));
        isFull = false;
        ASSERT_TRUE(log.append({ QuorumEntry{ .term = 3, .index = 2, .payload = "2" } }));
        ASSERT_TRUE(log.sync());
    }
    const auto restored = this->reopen(reason);
    ASSERT_TRUE(restored) << reason.detail;
    ASSERT_EQ(restored->entries.size(), 2U);
    EXPECT_EQ(restored->entries.back().payload, "2");
}
