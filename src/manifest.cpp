#include "manifest.h"

#include "digest.h"
#include "json_fields.h"

#include <algorithm>
#include <fstream>
#include <numeric>

namespace egret {

namespace {

constexpr std::size_t kBitsPerByte = 8;

std::uint64_t sizeOfChunks(const Manifest &manifest, std::size_t count)
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
        problem = "the digest of the manifest is not the version";
        return std::nullopt;
    }
    JsonProblem malformed;
    const auto json = parseJson(text, malformed);
    if (!json) {
        problem = malformed.text();
        return std::nullopt;
    }
    Manifest manifest;
    JsonReader reader;
    if (!reader.read(*json, manifest)) {
        problem = reader.problem.text();
        return std::nullopt;
    }
    if (sizeOfChunks(manifest, manifest.chunks.size()) != manifest.size) {
        problem = "$.chunks: sizes do not add up to $.size";
        return std::nullopt;
    }
    return manifest;
}

std::uint64_t chunkOffset(const Manifest &manifest, std::size_t chunk)
{
    return sizeOfChunks(manifest, chunk);
}

std::optional<Manifest> buildManifest(const std::string &path, const std::string &model,
                                      std::size_t chunkBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    Manifest manifest{ .model = model };
    DigestStream whole;
    std::string buffer(chunkBytes, '\0');
    while (file) {
        file.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        const std::string_view part(buffer.data(), static_cast<std::size_t>(file.gcount()));
        if (part.empty())
            break;
        whole.update(part);
        manifest.size += part.size();
        manifest.chunks.push_back({ .size = part.size(), .digest = digestOf(part) });
    }
    manifest.digest = whole.finish();
    return manifest;
}

std::string manifestText(const Manifest &manifest)
{
    return toJson(manifest).dump();
}

} // namespace egret
