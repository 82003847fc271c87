#include "compression.h"

#include <zlib.h>

namespace egret {

namespace {

/// Compression of a smaller input saves too few bytes to be worth the time.
constexpr std::size_t kMinInputBytes = 1024;
/// Above this ratio of compressed to original size, too few bytes are saved to be worth the time
/// that the receiver needs to decompress.
constexpr double kMaxCompressedRatio = 0.75;

} // namespace

std::optional<std::string> compressBytes(std::string_view bytes)
{
    if (bytes.size() < kMinInputBytes)
        return std::nullopt;
    uLongf compressedSize = compressBound(bytes.size());
    std::string compressed(compressedSize, '\0');
    const int result =
            compress2(reinterpret_cast<Bytef *>(compressed.data()), &compressedSize,
                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK
        || static_cast<double>(compressedSize)
                   > kMaxCompressedRatio * static_cast<double>(bytes.size()))
        return std::nullopt;
    compressed.resize(compressedSize);
    return compressed;
}

std::optional<std::string> decompressBytes(std::string_view compressed,
                                           std::size_t decompressedSize)
{
    std::string bytes(decompressedSize, '\0');
    uLongf actualSize = decompressedSize;
    const int result =
            uncompress(reinterpret_cast<Bytef *>(bytes.data()), &actualSize,
                       reinterpret_cast<const Bytef *>(compressed.data()), compressed.size());
    if (result != Z_OK || actualSize != decompressedSize)
        return std::nullopt;
    return bytes;
}

} // namespace egret
