#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace egret {

/// Compresses without loss; empty when the gain is not worth the time. Thread safe.
std::optional<std::string> compressBytes(std::string_view bytes);

/// Decompresses; empty when the data is damaged or the result is not `size`
/// bytes long. Thread safe.
std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t size);

} // namespace egret
