#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace egret {

/// Bytes made smaller without loss; empty where that gains too little to be
/// worth its time. Thread safe.
std::optional<std::string> packBytes(std::string_view bytes);

/// The bytes that were packed; empty when they are damaged or aren't `size`
/// long. Thread safe.
std::optional<std::string> unpackBytes(std::string_view packed, std::size_t size);

} // namespace egret
