#include "digest.h"

#include "types.h"

#include <sodium.h>

namespace egret {

namespace {

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string digestOf(std::string_view bytes)
{
    std::string digest(kDigestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(digest.data()), digest.size(),
                       asBytes(bytes), bytes.size(), nullptr, 0);
    return toHex(digest);
}

std::string sha256Of(std::string_view bytes)
{
    std::string digest(crypto_hash_sha256_BYTES, '\0');
    crypto_hash_sha256(reinterpret_cast<unsigned char *>(digest.data()), asBytes(bytes),
                       bytes.size());
    return toHex(digest);
}

std::string macOf(std::string_view key, std::string_view bytes)
{
    std::string mac(kDigestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(mac.data()), mac.size(), asBytes(bytes),
                       bytes.size(), asBytes(key), key.size());
    return mac;
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

struct DigestStream::State
{
    crypto_generichash_state hash;
};

DigestStream::DigestStream() : state(std::make_unique<State>())
{
    crypto_generichash_init(&this->state->hash, nullptr, 0, kDigestBytes);
}

DigestStream::~DigestStream() = default;

void DigestStream::update(std::string_view bytes)
{
    crypto_generichash_update(&this->state->hash, asBytes(bytes), bytes.size());
}

std::string DigestStream::finish()
{
    std::string digest(kDigestBytes, '\0');
    crypto_generichash_final(&this->state->hash, reinterpret_cast<unsigned char *>(digest.data()),
                             digest.size());
    return toHex(digest);
}

} // namespace egret
