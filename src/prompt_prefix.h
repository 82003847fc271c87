#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace egret {

/// Returns the digest of the prefix that a completion request may share with other
/// requests: the beginning of its first message or of its prompt; zero if `body` has neither.
/// The events in which engines report cached prefixes use the same digest. Thread safe.
std::uint64_t promptPrefix(const nlohmann::json &body);

} // namespace egret
