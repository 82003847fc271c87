#pragma once

#include "generated/document.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Set of chunks as a bitmap.
class ChunkSet
{
public:
    ChunkSet() = default;
    explicit ChunkSet(std::size_t count) : bits(count, false) {}

    /// Decodes a set of `count` chunks from its wire format; empty when the size is wrong.
    static std::optional<ChunkSet> fromBytes(const std::string &bytes, std::size_t count);

    /// Wire format: eight chunks per byte, least significant bit first.
    std::string toBytes() const;

    bool has(std::size_t chunk) const { return chunk < this->bits.size() && this->bits[chunk]; }
    void add(std::size_t chunk) { this->bits.at(chunk) = true; }
    void remove(std::size_t chunk) { this->bits.at(chunk) = false; }
    std::size_t size() const { return this->bits.size(); }
    std::size_t count() const;
    bool full() const { return this->count() == this->bits.size(); }

private:
    std::vector<bool> bits;
};

/// Parses a manifest. Returns empty and sets `problem` when the text is malformed, its digest
/// is not `version`, or its chunk sizes don't add up. Thread safe.
std::optional<Manifest> parseManifest(const std::string &text, const std::string &version,
                                      std::string &problem);

/// Offset of a chunk in the file. Thread safe.
std::uint64_t chunkOffset(const Manifest &manifest, std::size_t chunk);

/// Builds the manifest of a file in chunks of `chunkBytes`; empty when the file can't be read.
/// Thread safe.
std::optional<Manifest> buildManifest(const std::string &path, const std::string &model,
                                      std::size_t chunkBytes);

/// Text of a manifest; the digest of this text is the version. Thread safe.
std::string manifestText(const Manifest &manifest);

} // namespace egret
