#pragma once

#include "generated/document.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Chunks, one bit each.
class ChunkSet
{
public:
    ChunkSet() = default;
    explicit ChunkSet(std::size_t count) : bits(count, false) {}

    /// Reads a set of `count` chunks from its wire form; empty when the size is wrong.
    static std::optional<ChunkSet> fromBytes(const std::string &bytes, std::size_t count);

    /// Wire form: eight chunks a byte, the lowest bit first.
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

/// Parses a manifest and checks that it is the one that `version` names and
/// that its chunk sizes add up; empty with a problem when not. Thread safe.
std::optional<Manifest> parseManifest(const std::string &text, const std::string &version,
                                      std::string &problem);

/// Offset of a chunk in the file. Thread safe.
std::uint64_t chunkOffset(const Manifest &manifest, std::size_t chunk);

/// Describes a file in chunks of `chunkBytes`; empty when it can't be read. Thread safe.
std::optional<Manifest> buildManifest(const std::string &path, const std::string &model,
                                      std::size_t chunkBytes);

/// Text of a manifest; its digest is the version. Thread safe.
std::string manifestText(const Manifest &manifest);

} // namespace egret
