#include "request_digest.h"

#include "digest.h"

namespace egret {

namespace {

constexpr std::size_t kDigestDigits = 32;

} // namespace

std::string requestDigest(const std::string &caller, const HttpRequest &request)
{
    DigestStream digest;
    // The lengths keep apart parts that would be equal when joined.
    for (const std::string &part : { caller, request.method, request.target }) {
        digest.update(std::to_string(part.size()) + ":");
        digest.update(part);
    }
    digest.update(request.body);
    return digest.finish().substr(0, kDigestDigits);
}

} // namespace egret
