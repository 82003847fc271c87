#pragma once

#include "manifest.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Errors of the weights store.
enum class StoreError { none, io, digestMismatch, notHeld };

/// File of one weights version, assembled in a partial file. A chunk is written only when its
/// digest matches; the file is published by one rename after all chunks were read back and
/// verified. Thread safe; concurrent writers of one chunk write the same bytes.
class WeightsStore
{
public:
    /// Opens the file of a version in `folder`, verifies its chunks and removes all but the
    /// newest few other versions. Reads the whole file.
    static std::shared_ptr<WeightsStore> open(const std::string &folder, const std::string &version,
                                              Manifest manifest, Reason<StoreError> &reason);

    ~WeightsStore();
    WeightsStore(const WeightsStore &) = delete;
    WeightsStore &operator=(const WeightsStore &) = delete;

    /// Verifies a chunk and writes it. Precondition: the manifest has the chunk.
    bool write(std::size_t chunk, const std::string &bytes, Reason<StoreError> &reason) const;

    /// Reads a part of a chunk that has been verified. `size` in bytes, cut at the chunk's end.
    std::optional<std::string> read(std::size_t chunk, std::uint64_t offset, std::uint64_t size,
                                    Reason<StoreError> &reason) const;

    /// Verifies the file as read from disk, publishes it and returns its path. Empty when a
    /// chunk does not match its digest, or on an I/O error.
    std::optional<std::string> publish(Reason<StoreError> &reason) const;

    const std::string &version() const { return this->ownVersion; }
    const Manifest &manifest() const { return this->ownManifest; }

    /// Chunks that matched their digests when the file was opened.
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
    std::vector<std::uint64_t> offsets; ///< of each chunk in the file
    int file{ -1 };
    ChunkSet recoveredChunks;
};

} // namespace egret
