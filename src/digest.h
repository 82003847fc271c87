#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace egret {

/// Length of a raw BLAKE2b-256 digest.
inline constexpr std::size_t kDigestBytes = 32;

/// BLAKE2b-256 of `bytes` as 64 hexadecimal digits. Thread safe.
std::string digestOf(std::string_view bytes);

/// SHA-256 of `bytes` as 64 hexadecimal digits, for weights whose manifest lists
/// SHA-256 digests. Thread safe.
std::string sha256Of(std::string_view bytes);

/// Message authentication code of `bytes`: keyed BLAKE2b-256, 32 raw bytes. `key` has
/// 32 bytes. Thread safe.
std::string macOf(std::string_view key, std::string_view bytes);

/// Returns true when two texts are equal, in a time that depends only on their lengths.
/// Thread safe.
bool equalConstantTime(std::string_view left, std::string_view right);

/// BLAKE2b-256 digest of content that arrives in parts. Not thread safe.
class DigestStream
{
public:
    DigestStream();
    ~DigestStream();
    DigestStream(const DigestStream &) = delete;
    DigestStream &operator=(const DigestStream &) = delete;

    /// Appends a part to the content.
    void update(std::string_view bytes);

    /// Returns the digest of all parts as 64 hexadecimal digits. Call once, after the
    /// last `update`.
    std::string finish();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace egret
