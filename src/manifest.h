#pragma once

#include "generated/document.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// A subset of the chunks of a weights version, as a bitmap.
class ChunkSet
{
public:
    ChunkSet() = default;

    /// Creates the empty subset of the chunks of a version that has `count` chunks.
    explicit ChunkSet(std::size_t count) : bits(count, false) {}

    /// Decodes a subset of the chunks of a version that has `count` chunks from its wire format.
    /// Returns no value when `bytes` has the wrong size.
    static std::optional<ChunkSet> fromBytes(const std::string &bytes, std::size_t count);

    /// Encodes the set in its wire format: eight chunks per byte, least significant bit first.
    std::string toBytes() const;

    bool has(std::size_t chunk) const { return chunk < this->bits.size() && this->bits[chunk]; }
    void add(std::size_t chunk) { this->bits.at(chunk) = true; }
    void remove(std::size_t chunk) { this->bits.at(chunk) = false; }

    /// Number of chunks of the version.
    std::size_t size() const { return this->bits.size(); }

    /// Number of chunks in the set.
    std::size_t count() const;

    /// Whether the set contains all chunks of the version.
    bool full() const { return this->count() == this->bits.size(); }

private:
    std::vector<bool> bits;
};

/// Parses the manifest of `version`. Returns empty and sets `problem` when the text is malformed,
/// the digest of the text differs from `version`, or the chunk sizes don't add up to the file
/// size. Thread safe.
std::optional<Manifest> parseManifest(const std::string &text, const std::string &version,
                                      std::string &problem);

/// Returns the offset of a chunk in the weights file, in bytes. Thread safe.
std::uint64_t chunkOffset(const Manifest &manifest, std::size_t chunk);

/// Builds the manifest of the file at `path`, split into chunks of `chunkBytes`. Returns empty
/// when the file can't be opened. Thread safe.
std::optional<Manifest> buildManifest(const std::string &path, const std::string &model,
                                      std::size_t chunkBytes);

/// Returns the text of a manifest; the digest of this text is the version. Thread safe.
std::string manifestText(const Manifest &manifest);

} // namespace egret
