#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace egret {

/// Returns the digest of the prefix that a completion request may share with other
/// requests: the beginning of its first message or prompt. Zero if `body` has neither.
/// Cache events of engines identify prefixes by the same digest. Thread safe.
std::uint64_t promptPrefix(const nlohmann::json &body);

} // namespace egret
