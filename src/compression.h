#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace egret {

/// Compresses with zlib; empty when too few bytes are saved to be worth the time. Thread safe.
std::optional<std::string> compressBytes(std::string_view bytes);

/// Decompresses; empty when the data is damaged or the result is not
/// `decompressedSize` bytes long. Thread safe.
std::optional<std::string> decompressBytes(std::string_view compressed,
                                           std::size_t decompressedSize);

} // namespace egret
