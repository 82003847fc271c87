#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace egret {

/// Compresses `bytes` with zlib; empty when compression saves too few bytes to be worth the time.
/// Thread safe.
std::optional<std::string> compressBytes(std::string_view bytes);

/// Decompresses `compressed`; empty when the bytes are damaged or their decompressed size differs
/// from `decompressedSize`. Thread safe.
std::optional<std::string> decompressBytes(std::string_view compressed,
                                           std::size_t decompressedSize);

} // namespace egret
