#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace egret {

/// Returns the digest of the part of a completion request that prompts share: the
/// first message or the beginning of the prompt, zero without either. Cache events
/// of engines identify prefixes by the same digest. Thread safe.
std::uint64_t promptPrefix(const nlohmann::json &body);

} // namespace egret
