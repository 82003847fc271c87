#include "manifest.h"

#include "digest.h"
#include "json_fields.h"

#include <algorithm>
#include <fstream>
#include <numeric>

namespace egret {

namespace {

constexpr std::size_t kBitsPerByte = 8;

/// Total size of the first `count` chunks, in bytes.
std::uint64_t sizeOfFirstChunks(const Manifest &manifest, std::size_t count)
{
    const auto end = manifest.chunks.begin() + static_cast<std::ptrdiff_t>(count);
    return std::accumulate(
            manifest.chunks.begin(), end, std::uint64_t{ 0 },
            [](std::uint64_t sum, const ManifestChunk &chunk) { return sum + chunk.size; });
}

} // namespace

std::optional<ChunkSet> ChunkSet::fromBytes(const std::string &bytes, std::size_t count)
{
    if (bytes.size() != (count + kBitsPerByte - 1) / kBitsPerByte)
        return std::nullopt;
    ChunkSet set(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto byte = static_cast<unsigned char>(bytes[i / kBitsPerByte]);
        if ((byte >> (i % kBitsPerByte) & 1U) != 0)
            set.add(i);
    }
    return set;
}

std::string ChunkSet::toBytes() const
{
    std::string bytes((this->bits.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
    for (std::size_t i = 0; i < this->bits.size(); ++i) {
        if (this->bits[i])
            bytes[i / kBitsPerByte] =
                    static_cast<char>(bytes[i / kBitsPerByte] | (1U << (i % kBitsPerByte)));
    }
    return bytes;
}

std::size_t ChunkSet::count() const
{
    return static_cast<std::size_t>(std::ranges::count(this->bits, true));
}

std::optional<Manifest> parseManifest(const std::string &text, const std::string &version,
                                      std::string &problem)
{
    if (digestOf(text) != version) {
        problem = "the digest of the manifest differs from the version";
        return std::nullopt;
    }
    JsonProblem jsonProblem;
    const auto json = parseJson(text, jsonProblem);
    if (!json) {
        problem = jsonProblem.text();
        return std::nullopt;
    }
    Manifest manifest;
    JsonReader reader;
    if (!reader.read(*json, manifest)) {
        problem = reader.problem.text();
        return std::nullopt;
    }
    if (sizeOfFirstChunks(manifest, manifest.chunks.size()) != manifest.size) {
        problem = "$.chunks: sizes do not add up to $.size";
        return std::nullopt;
    }
    return manifest;
}

std::uint64_t chunkOffset(const Manifest &manifest, std::size_t chunk)
{
    return sizeOfFirstChunks(manifest, chunk);
}

std::optional<Manifest> buildManifest(const std::string &path, const std::string &model,
                                      std::size_t chunkBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    Manifest manifest{ .model = model };
    DigestStream fileDigest;
    std::string buffer(chunkBytes, '\0');
    while (file) {
        file.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        const std::string_view chunk(buffer.data(), static_cast<std::size_t>(file.gcount()));
        if (chunk.empty())
            break;
        fileDigest.update(chunk);
        manifest.size += chunk.size();
        manifest.chunks.push_back({ .size = chunk.size(), .digest = digestOf(chunk) });
    }
    manifest.digest = fileDigest.finish();
    return manifest;
}

std::string manifestText(const Manifest &manifest)
{
    return toJson(manifest).dump();
}

} // namespace egret
