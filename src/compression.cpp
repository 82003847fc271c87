#include "compression.h"

#include <zlib.h>

namespace egret {

namespace {

/// Smaller inputs save too few bytes to be worth the time.
constexpr std::size_t kMinInputBytes = 1024;
/// Ratio of compressed to original size above which the receiver's time is not worth the gain.
constexpr double kMaxCompressedRatio = 0.75;

} // namespace

std::optional<std::string> compressBytes(std::string_view bytes)
{
    if (bytes.size() < kMinInputBytes)
        return std::nullopt;
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const int result =
            compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK
        || static_cast<double>(size) > kMaxCompressedRatio * static_cast<double>(bytes.size()))
        return std::nullopt;
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t size)
{
    std::string bytes(size, '\0');
    uLongf length = size;
    const int result =
            uncompress(reinterpret_cast<Bytef *>(bytes.data()), &length,
                       reinterpret_cast<const Bytef *>(compressed.data()), compressed.size());
    if (result != Z_OK || length != size)
        return std::nullopt;
    return bytes;
}

} // namespace egret
