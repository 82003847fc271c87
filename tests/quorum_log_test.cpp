#include "quorum_log.h"

#include "program.h"

#include <gtest/gtest.h>

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

    std::string file() const { return this->folder + "/control.log"; }

    std::optional<QuorumPersistentState> reopen(Reason<QuorumLogError> &reason,
                                                const std::string &endpoint = kEndpoint) const
    {
        return QuorumLog(this->folder, endpoint).open(reason);
    }

    void write(std::uint64_t entries) const
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        log.append({ QuorumVote{ .cluster = 9, .term = 3, .votedFor = 4 } });
        for (std::uint64_t index = 1; index <= entries; ++index)
            log.append({ QuorumEntry{ .term = 3, .index = index, .payload = "command" } });
        log.sync();
    }

    void overwrite(std::size_t at, const std::string &bytes) const
    {
        std::fstream stream(this->file(), std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(static_cast<std::streamoff>(at));
        stream << bytes;
    }

    std::string folder;
};

} // namespace

TEST_F(QuorumLogTest, RestoresTheRecordsWritten)
{
    this->write(5);
    Reason<QuorumLogError> reason;
    const auto memory = this->reopen(reason);
    ASSERT_TRUE(memory);
    EXPECT_EQ(memory->cluster, 9U);
    EXPECT_EQ(memory->votedFor, 4U);
    EXPECT_EQ(memory->entries.size(), 5U);
}

TEST_F(QuorumLogTest, TruncatesATornTail)
{
    this->write(1);
    const std::string whole = *readFile(this->file());
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        log.append({ QuorumEntry{ .term = 3, .index = 2, .payload = "command" } });
    }
    const std::string longer = *readFile(this->file());
    constexpr std::size_t step = 7;
    for (std::size_t size = whole.size() + 1; size < longer.size(); size += step) {
        std::ofstream(this->file(), std::ios::binary) << longer.substr(0, size);
        Reason<QuorumLogError> reason;
        const auto memory = this->reopen(reason);
        ASSERT_TRUE(memory) << size << ": " << reason.detail;
        EXPECT_EQ(memory->entries.size(), 1U);
        EXPECT_EQ(std::filesystem::file_size(this->file()), whole.size());
    }
}

TEST_F(QuorumLogTest, RefusesADamagedSyncedRecord)
{
    this->write(5);
    const std::string whole = *readFile(this->file());
    // Damages every byte except those of the last record, which may be torn.
    const std::size_t record =
            40 + encode(QuorumRecord(QuorumEntry{ .payload = "command" })).size();
    for (std::size_t at = 0; at + record < whole.size(); ++at) {
        this->overwrite(at, std::string(1, static_cast<char>(whole[at] ^ 1)));
        Reason<QuorumLogError> reason;
        EXPECT_FALSE(this->reopen(reason)) << at;
        EXPECT_EQ(reason.code, QuorumLogError::corrupt);
        this->overwrite(at, std::string(1, whole[at]));
    }
}

TEST_F(QuorumLogTest, TruncatesAtAnUnsyncedWriteLostWithPower)
{
    this->write(3);
    const std::size_t synced = std::filesystem::file_size(this->file());
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        ASSERT_TRUE(log.open(reason));
        log.append({ QuorumEntry{ .term = 3, .index = 4, .payload = "command" } });
        log.append({ QuorumEntry{ .term = 3, .index = 5, .payload = "command" } });
    }
    // Of two unsynced writes the first is missing and the second is intact.
    this->overwrite(synced + 3, std::string(30, '\0'));
    Reason<QuorumLogError> reason;
    const auto memory = this->reopen(reason);
    ASSERT_TRUE(memory) << reason.detail;
    EXPECT_EQ(memory->entries.size(), 3U);
    EXPECT_EQ(std::filesystem::file_size(this->file()), synced);
}

TEST_F(QuorumLogTest, RefusesAFolderOfAnotherAddressAndOneInUse)
{
    this->write(1);
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
    QuorumPersistentState memory;
    {
        QuorumLog log(this->folder, kEndpoint);
        Reason<QuorumLogError> reason;
        memory = *log.open(reason);
        EXPECT_TRUE(log.isFresh());
        memory.snapshot.index = 7;
        memory.snapshot.state = std::make_shared<const std::string>(std::string(3U << 20U, 's'));
        memory.entries.push_back({ .term = 2, .index = 8, .payload = "after" });
        log.rewrite(memory);
        log.append({ QuorumTruncate{ .from = 8 }, QuorumEntry{ .term = 3, .index = 8 } });
        log.sync();
    }
    // A crash before the rename leaves a partial file, which must be ignored.
    std::ofstream(this->file() + ".new") << "half";
    Reason<QuorumLogError> reason;
    const auto again = this->reopen(reason);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->folder, memory.folder);
    EXPECT_EQ(again->snapshot.index, 7U);
    EXPECT_EQ(again->snapshot.state->size(), 3U << 20U);
    ASSERT_EQ(again->entries.size(), 1U);
    EXPECT_EQ(again->entries.front().term, 3U);
}
