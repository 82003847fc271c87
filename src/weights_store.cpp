#include "weights_store.h"

#include "digest.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace egret {

namespace {

/// Number of files of other versions that are retained in addition to the opened version.
constexpr std::size_t kRetainedOtherFiles = 2;
constexpr const char *kPartSuffix = ".part";
constexpr const char *kFinalSuffix = ".bin";

/// Syncs the entries of a folder to disk.
bool syncFolder(const std::string &path)
{
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return false;
    const bool isSynced = fsync(folder) == 0;
    close(folder);
    return isSynced;
}

/// Reads `size` bytes at an offset; empty on an error or an early end of the file.
std::optional<std::string> readAt(int file, std::uint64_t offset, std::uint64_t size)
{
    std::string bytes(size, '\0');
    std::uint64_t bytesRead = 0;
    while (bytesRead < size) {
        const auto partSize = pread(file, bytes.data() + bytesRead, size - bytesRead,
                                    static_cast<off_t>(offset + bytesRead));
        if (partSize <= 0)
            return std::nullopt;
        bytesRead += static_cast<std::uint64_t>(partSize);
    }
    return bytes;
}

/// Bounds the disk usage: of the files of versions other than `current`, only the newest
/// `kRetainedOtherFiles` are retained.
void removeOldVersions(const std::string &folder, const std::string &current)
{
    namespace fs = std::filesystem;
    std::error_code error;
    std::vector<fs::directory_entry> otherFiles;
    for (const auto &entry : fs::directory_iterator(folder, error)) {
        const auto extension = entry.path().extension();
        const bool isWeights = extension == kPartSuffix || extension == kFinalSuffix;
        if (isWeights && entry.path().stem() != current)
            otherFiles.push_back(entry);
    }
    std::ranges::sort(otherFiles, std::greater{}, [](const fs::directory_entry &entry) {
        std::error_code ignored;
        return entry.last_write_time(ignored);
    });
    for (std::size_t i = kRetainedOtherFiles; i < otherFiles.size(); ++i)
        fs::remove(otherFiles[i].path(), error);
}

} // namespace

WeightsStore::WeightsStore(std::string folder, std::string version, Manifest manifest)
    : folder(std::move(folder)), ownVersion(std::move(version)), ownManifest(std::move(manifest))
{
    std::uint64_t offset = 0;
    for (const ManifestChunk &chunk : this->ownManifest.chunks) {
        this->offsets.push_back(offset);
        offset += chunk.size;
    }
}

WeightsStore::~WeightsStore()
{
    if (this->file >= 0)
        close(this->file);
}

std::shared_ptr<WeightsStore> WeightsStore::open(const std::string &folder,
                                                 const std::string &version, Manifest manifest,
                                                 Reason<StoreError> &reason)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        reason = { .code = StoreError::io, .detail = folder + ": " + error.message() };
        return nullptr;
    }
    removeOldVersions(folder, version);
    std::shared_ptr<WeightsStore> store(new WeightsStore(folder, version, std::move(manifest)));
    if (!store->openFile(reason))
        return nullptr;
    store->recoveredChunks = store->verifiedChunks();
    return store;
}

bool WeightsStore::write(std::size_t chunk, const std::string &bytes,
                         Reason<StoreError> &reason) const
{
    const ManifestChunk &expected = this->ownManifest.chunks.at(chunk);
    if (bytes.size() != expected.size || digestOf(bytes) != expected.digest) {
        reason = { .code = StoreError::digestMismatch, .detail = "chunk " + std::to_string(chunk) };
        return false;
    }
    const auto written = pwrite(this->file, bytes.data(), bytes.size(),
                                static_cast<off_t>(this->offsets[chunk]));
    if (written == static_cast<ssize_t>(bytes.size()))
        return true;
    reason = { .code = StoreError::io,
               .detail = this->partPath() + ": "
                         + (written < 0 ? std::strerror(errno) : "short write") };
    return false;
}

std::optional<std::string> WeightsStore::read(std::size_t chunk, std::uint64_t offset,
                                              std::uint64_t size, Reason<StoreError> &reason) const
{
    if (chunk >= this->offsets.size() || offset > this->ownManifest.chunks[chunk].size)
        return fail(reason, StoreError::notHeld, "chunk " + std::to_string(chunk));
    const std::uint64_t bytesToChunkEnd = this->ownManifest.chunks[chunk].size - offset;
    auto bytes = readAt(this->file, this->offsets[chunk] + offset, std::min(size, bytesToChunkEnd));
    if (!bytes)
        return fail(reason, StoreError::io, this->partPath());
    return bytes;
}

std::optional<std::string> WeightsStore::publish(Reason<StoreError> &reason) const
{
    // Step 1. Sync the file, then verify its chunks as read from disk.
    if (fsync(this->file) != 0)
        return fail(reason, StoreError::io, this->partPath());
    if (!this->verifiedChunks().full())
        return fail(reason, StoreError::digestMismatch,
                    "a chunk on disk does not match its digest");
    // Step 2. Rename the file to its final name, and sync the folder.
    std::error_code error;
    if (std::filesystem::exists(this->partPath(), error))
        std::filesystem::rename(this->partPath(), this->finalPath(), error);
    if (error || !syncFolder(this->folder))
        return fail(reason, StoreError::io, this->finalPath());
    return this->finalPath();
}

/// Opens the published file if there is one, else the partial file.
bool WeightsStore::openFile(Reason<StoreError> &reason)
{
    std::error_code error;
    if (std::filesystem::exists(this->finalPath(), error)) {
        this->file = ::open(this->finalPath().c_str(), O_RDONLY | O_CLOEXEC);
        if (this->file >= 0 && this->verifiedChunks().full())
            return true;
        // A damaged file must not stay published. The file is renamed back to the partial file,
        // so that its intact chunks need not be fetched again.
        if (this->file >= 0)
            close(this->file);
        std::filesystem::rename(this->finalPath(), this->partPath(), error);
    }
    this->file = ::open(this->partPath().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (this->file >= 0)
        return true;
    reason = { .code = StoreError::io, .detail = this->partPath() + ": " + std::strerror(errno) };
    return false;
}

/// Reads the file and returns the chunks that match their digests.
ChunkSet WeightsStore::verifiedChunks() const
{
    ChunkSet chunks(this->offsets.size());
    for (std::size_t i = 0; i < this->offsets.size(); ++i) {
        const ManifestChunk &chunk = this->ownManifest.chunks[i];
        const auto bytes = readAt(this->file, this->offsets[i], chunk.size);
        if (bytes && digestOf(*bytes) == chunk.digest)
            chunks.add(i);
    }
    return chunks;
}

std::string WeightsStore::partPath() const
{
    return this->folder + "/" + this->ownVersion + kPartSuffix;
}

std::string WeightsStore::finalPath() const
{
    return this->folder + "/" + this->ownVersion + kFinalSuffix;
}

} // namespace egret
