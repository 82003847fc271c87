#include "compression.h"

#include <zlib.h>

namespace egret {

namespace {

/// Shorter ones cost more time than their bytes are worth.
constexpr std::size_t kLeastBytes = 1024;
/// Of the original size; above this the receiver's time is not worth it.
constexpr double kMostShare = 0.75;

} // namespace

std::optional<std::string> packBytes(std::string_view bytes)
{
    if (bytes.size() < kLeastBytes)
        return std::nullopt;
    uLongf size = compressBound(bytes.size());
    std::string packed(size, '\0');
    const int result =
            compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK
        || static_cast<double>(size) > kMostShare * static_cast<double>(bytes.size()))
        return std::nullopt;
    packed.resize(size);
    return packed;
}

std::optional<std::string> unpackBytes(std::string_view packed, std::size_t size)
{
    std::string bytes(size, '\0');
    uLongf length = size;
    const int result = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &length,
                                  reinterpret_cast<const Bytef *>(packed.data()), packed.size());
    if (result != Z_OK || length != size)
        return std::nullopt;
    return bytes;
}

} // namespace egret
