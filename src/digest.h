#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace egret {

/// Bytes of a BLAKE2b-256 digest.
inline constexpr std::size_t kDigestBytes = 32;

/// BLAKE2b-256 of `bytes` as 64 hexadecimal digits. Thread safe.
std::string digestOf(std::string_view bytes);

/// SHA-256 of `bytes` as 64 hexadecimal digits, for weights whose manifest gives
/// such digests. Thread safe.
std::string sha256Of(std::string_view bytes);

/// Keyed BLAKE2b-256 of `bytes`, raw. `key` holds 32 bytes. Thread safe.
std::string macOf(std::string_view key, std::string_view bytes);

/// Compares in time that does not depend on the contents. Thread safe.
bool equalConstantTime(std::string_view left, std::string_view right);

/// Digest of content that arrives in parts. Not thread safe.
class DigestStream
{
public:
    DigestStream();
    ~DigestStream();
    DigestStream(const DigestStream &) = delete;
    DigestStream &operator=(const DigestStream &) = delete;

    /// Adds a part.
    void update(std::string_view bytes);

    /// Digest of all parts as hexadecimal digits; call once, last.
    std::string finish();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace egret
