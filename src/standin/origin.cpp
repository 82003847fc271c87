#include "standin/origin.h"

#include "manifest.h"
#include "program.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>

namespace egret {

namespace {

constexpr std::string_view kWeightsPrefix = "/weights/";
constexpr std::string_view kChunksSegment = "/chunks/";
/// A version is the digest of the manifest in hexadecimal digits.
constexpr std::size_t kVersionHexDigits = 64;

} // namespace

void OriginStandin::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    if (request.path == "/stats") {
        const std::lock_guard lock(this->mutex);
        const nlohmann::json stats = { { "bytesOut", this->bytesSent },
                                       { "requests", this->sentCount },
                                       { "limited", this->limitedCount } };
        return reply->send(200, "application/json", stats.dump());
    }
    const std::string_view path = request.path;
    if (!path.starts_with(kWeightsPrefix)
        || path.size() < kWeightsPrefix.size() + kVersionHexDigits)
        return reply->send(404, "text/plain", "no such weights\n");
    if (this->exceedsRequestRate())
        return reply->send(429, "text/plain", "slow down\n", { { "Retry-After", "1" } });
    const std::string version(path.substr(kWeightsPrefix.size(), kVersionHexDigits));
    const std::string_view part = path.substr(kWeightsPrefix.size() + kVersionHexDigits);
    if (part == "/manifest") {
        const auto text = readFile(this->settings.weightsFolder + "/" + version + ".manifest");
        return text ? this->sendAtLinkRate(*text, reply)
                    : reply->send(404, "text/plain", "no such weights\n");
    }
    std::size_t chunkIndex = 0;
    const bool isChunk = part.starts_with(kChunksSegment)
                         && std::from_chars(part.data() + kChunksSegment.size(),
                                            part.data() + part.size(), chunkIndex)
                                            .ec
                                    == std::errc{};
    if (!isChunk)
        return reply->send(404, "text/plain", "no such part\n");
    this->sendChunk(version, chunkIndex, reply);
}

void OriginStandin::sendChunk(const std::string &version, std::size_t chunkIndex,
                              const HttpReplyPtr &reply)
{
    const std::string basePath = this->settings.weightsFolder + "/" + version;
    std::string problem;
    const auto text = readFile(basePath + ".manifest");
    const auto manifest = text ? parseManifest(*text, version, problem) : std::nullopt;
    if (!manifest || chunkIndex >= manifest->chunks.size())
        return reply->send(404, "text/plain", "no such chunk\n");
    std::ifstream file(basePath + ".bin", std::ios::binary);
    std::string bytes(manifest->chunks[chunkIndex].size, '\0');
    file.seekg(static_cast<std::streamoff>(chunkOffset(*manifest, chunkIndex)));
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    this->sendAtLinkRate(bytes, reply);
}

/// Sends `bytes` as one answer, delayed until the simulated link has transmitted all
/// queued answers including this answer.
void OriginStandin::sendAtLinkRate(const std::string &bytes, const HttpReplyPtr &reply)
{
    Milliseconds delay{ 0 };
    {
        const std::lock_guard lock(this->mutex);
        ++this->sentCount;
        this->bytesSent += bytes.size();
        if (this->settings.rate > 0) {
            const TimePoint now = std::chrono::steady_clock::now();
            const auto sendDuration = std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(static_cast<double>(bytes.size())
                                                  / static_cast<double>(this->settings.rate)));
            this->linkFreeAt = std::max(this->linkFreeAt, now) + sendDuration;
            delay = std::chrono::duration_cast<Milliseconds>(this->linkFreeAt - now);
        }
    }
    this->pool.after(delay,
                     [bytes, reply] { reply->send(200, "application/octet-stream", bytes); });
}

/// Counts a request in the current one-second window; returns true when the
/// window has more requests than the request rate allows.
bool OriginStandin::exceedsRequestRate()
{
    if (this->settings.requestRate == 0)
        return false;
    const std::lock_guard lock(this->mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    if (now - this->windowStart >= 1s) {
        this->windowStart = now;
        this->windowRequestCount = 0;
    }
    const bool isExceeded = ++this->windowRequestCount > this->settings.requestRate;
    if (isExceeded)
        ++this->limitedCount;
    return isExceeded;
}

} // namespace egret
