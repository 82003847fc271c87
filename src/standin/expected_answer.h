#pragma once

#include <cstdint>
#include <string>

namespace egret {

/// Text of token `index` in a stand-in engine's answer to `prompt`. Load tools call
/// this function to verify answers. Thread safe.
inline std::string expectedToken(const std::string &prompt, std::uint64_t index)
{
    // FNV-1a over the bytes of the prompt; the index is then hashed as a single value,
    // not byte by byte.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : prompt)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = (hash ^ index) * 0x100000001b3ULL;
    return " t" + std::to_string(index) + "-" + std::to_string(hash % 100000);
}

} // namespace egret
