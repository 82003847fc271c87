#pragma once

#include "manifest.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Errors of the weights store; `notHeld`: the requested range is not part of the file.
enum class StoreError { none, io, digestMismatch, notHeld };

/// Stores one weights version in a file. Chunks are collected in a partial file, and a chunk is
/// written only when its digest matches. Once all chunks have been read back and verified, the
/// file is published: atomically renamed to its final name. Thread safe, because concurrent
/// writers of one chunk write the same bytes.
class WeightsStore
{
public:
    /// Opens or creates the file of a version in `folder`, and reads the whole file to verify its
    /// chunks. Removes the files of other versions except the newest few. Returns null and sets
    /// `reason` on an error.
    static std::shared_ptr<WeightsStore> open(const std::string &folder, const std::string &version,
                                              Manifest manifest, Reason<StoreError> &reason);

    ~WeightsStore();
    WeightsStore(const WeightsStore &) = delete;
    WeightsStore &operator=(const WeightsStore &) = delete;

    /// Verifies a chunk and writes it. Precondition: the manifest has the chunk.
    bool write(std::size_t chunk, const std::string &bytes, Reason<StoreError> &reason) const;

    /// Reads up to `size` bytes at `offset` within a chunk; a range past the end of the chunk is
    /// truncated. Precondition: the chunk has been verified.
    std::optional<std::string> read(std::size_t chunk, std::uint64_t offset, std::uint64_t size,
                                    Reason<StoreError> &reason) const;

    /// Reads all chunks back from disk, verifies them, publishes the file and returns its path.
    /// Returns empty when a chunk does not match its digest, or on an I/O error.
    std::optional<std::string> publish(Reason<StoreError> &reason) const;

    const std::string &version() const { return this->ownVersion; }
    const Manifest &manifest() const { return this->ownManifest; }

    /// The chunks that matched their digests when the file was opened.
    const ChunkSet &recovered() const { return this->recoveredChunks; }

private:
    WeightsStore(std::string folder, std::string version, Manifest manifest);

    bool openFile(Reason<StoreError> &reason);
    ChunkSet verifiedChunks() const;
    std::string partPath() const;
    std::string finalPath() const;

    std::string folder;
    std::string ownVersion;
    Manifest ownManifest;
    std::vector<std::uint64_t> offsets; ///< offset of each chunk in the file
    int file{ -1 };
    ChunkSet recoveredChunks;
};

} // namespace egret
