#include "weights_store.h"

#include "digest.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace egret;

namespace {

class WeightsStoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = std::filesystem::temp_directory_path() / "egret-store-XXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        this->folder = pattern;
    }

    void TearDown() override { std::filesystem::remove_all(this->folder); }

    /// Manifest of a version with `count` chunks: "aaaa", "bbbb", ...
    static Manifest manifestOf(std::size_t count)
    {
        Manifest manifest{ .model = "model" };
        for (std::size_t i = 0; i < count; ++i) {
            manifest.chunks.push_back({ .size = 4, .digest = digestOf(chunkOf(i)) });
            manifest.size += 4;
        }
        return manifest;
    }

    static std::string chunkOf(std::size_t i) { return std::string(4, static_cast<char>('a' + i)); }

    std::shared_ptr<WeightsStore> open(const std::string &version = "v1")
    {
        return WeightsStore::open(this->folder, version, manifestOf(3), this->reason);
    }

    std::string folder;
    Reason<StoreError> reason;
};

} // namespace

TEST_F(WeightsStoreTest, StoresOnlyChunksThatMatchTheirDigests)
{
    const auto store = this->open();
    EXPECT_FALSE(store->write(0, "aaab", this->reason));
    EXPECT_EQ(this->reason.code, StoreError::digestMismatch);
    EXPECT_FALSE(store->write(0, "aaa", this->reason)) << "truncated";
    EXPECT_FALSE(store->write(0, chunkOf(1), this->reason)) << "swapped";
    EXPECT_TRUE(store->write(0, chunkOf(0), this->reason));
    EXPECT_EQ(store->read(0, 1, 2, this->reason), "aa");
    EXPECT_FALSE(store->publish(this->reason)) << "chunks are missing";
}

TEST_F(WeightsStoreTest, ResumesFromVerifiedChunksAfterATornWrite)
{
    {
        const auto store = this->open();
        ASSERT_TRUE(store->write(0, chunkOf(0), this->reason));
        ASSERT_TRUE(store->write(2, chunkOf(2), this->reason));
    }
    std::fstream file(this->folder + "/v1.part", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(9);
    file.put('x');
    file.close();
    const auto store = this->open();
    EXPECT_TRUE(store->recovered().has(0));
    EXPECT_FALSE(store->recovered().has(1));
    EXPECT_FALSE(store->recovered().has(2));
}

TEST_F(WeightsStoreTest, PublishesTheFileOnlyWhenComplete)
{
    const auto store = this->open();
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_FALSE(std::filesystem::exists(this->folder + "/v1.bin"));
        ASSERT_TRUE(store->write(i, chunkOf(i), this->reason));
    }
    const auto path = store->publish(this->reason);
    ASSERT_TRUE(path);
    EXPECT_TRUE(std::filesystem::exists(*path));
    EXPECT_EQ(store->read(1, 0, 4, this->reason), chunkOf(1)) << "peers are still served";
    EXPECT_TRUE(this->open()->recovered().full());
}

TEST_F(WeightsStoreTest, UnpublishesADamagedFile)
{
    {
        const auto store = this->open();
        for (std::size_t i = 0; i < 3; ++i)
            ASSERT_TRUE(store->write(i, chunkOf(i), this->reason));
        ASSERT_TRUE(store->publish(this->reason));
    }
    std::filesystem::resize_file(this->folder + "/v1.bin", 7);
    const auto store = this->open();
    EXPECT_FALSE(std::filesystem::exists(this->folder + "/v1.bin"));
    EXPECT_EQ(store->recovered().count(), 1U);
}

TEST_F(WeightsStoreTest, RetainsABoundedNumberOfVersions)
{
    for (const char *version : { "v1", "v2", "v3", "v4", "v5" })
        ASSERT_TRUE(this->open(version));
    std::size_t files = 0;
    for ([[maybe_unused]] const auto &entry : std::filesystem::directory_iterator(this->folder))
        ++files;
    EXPECT_EQ(files, 3U) << "the opened version and two other versions";
}

TEST_F(WeightsStoreTest, ReportsAFullDisk)
{
    // Every write to /dev/full fails with ENOSPC.
    std::filesystem::create_symlink("/dev/full", this->folder + "/v1.part");
    const auto store = this->open();
    ASSERT_TRUE(store);
    EXPECT_FALSE(store->write(0, chunkOf(0), this->reason));
    EXPECT_EQ(this->reason.code, StoreError::io);
}
