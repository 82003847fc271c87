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
constexpr std::size_t kVersionDigits = 64;

} // namespace

void OriginStandin::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    if (request.path == "/stats") {
        const std::lock_guard lock(this->mutex);
        const nlohmann::json stats = { { "bytesOut", this->bytesOut },
                                       { "requests", this->requests },
                                       { "limited", this->limited } };
        return reply->send(200, "application/json", stats.dump());
    }
    const std::string_view path = request.path;
    if (!path.starts_with(kWeightsPrefix) || path.size() < kWeightsPrefix.size() + kVersionDigits)
        return reply->send(404, "text/plain", "no such weights\n");
    if (this->exceedsRequestRate())
        return reply->send(429, "text/plain", "slow down\n", { { "Retry-After", "1" } });
    const std::string version(path.substr(kWeightsPrefix.size(), kVersionDigits));
    const std::string_view rest = path.substr(kWeightsPrefix.size() + kVersionDigits);
    if (rest == "/manifest") {
        const auto text = readFile(this->settings.weightsFolder + "/" + version + ".manifest");
        return text ? this->sendAtLinkRate(*text, reply)
                    : reply->send(404, "text/plain", "no such weights\n");
    }
    std::size_t chunk = 0;
    const bool isChunk = rest.starts_with(kChunksSegment)
                         && std::from_chars(rest.data() + kChunksSegment.size(),
                                            rest.data() + rest.size(), chunk)
                                            .ec
                                    == std::errc{};
    if (!isChunk)
        return reply->send(404, "text/plain", "no such part\n");
    this->sendChunk(version, chunk, reply);
}

void OriginStandin::sendChunk(const std::string &version, std::size_t chunk,
                              const HttpReplyPtr &reply)
{
    const std::string base = this->settings.weightsFolder + "/" + version;
    std::string problem;
    const auto text = readFile(base + ".manifest");
    const auto manifest = text ? parseManifest(*text, version, problem) : std::nullopt;
    if (!manifest || chunk >= manifest->chunks.size())
        return reply->send(404, "text/plain", "no such chunk\n");
    std::ifstream file(base + ".bin", std::ios::binary);
    std::string bytes(manifest->chunks[chunk].size, '\0');
    file.seekg(static_cast<std::streamoff>(chunkOffset(*manifest, chunk)));
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    this->sendAtLinkRate(bytes, reply);
}

/// Delays the answer until the origin's link would have sent the bytes.
void OriginStandin::sendAtLinkRate(const std::string &bytes, const HttpReplyPtr &reply)
{
    Milliseconds wait{ 0 };
    {
        const std::lock_guard lock(this->mutex);
        ++this->requests;
        this->bytesOut += bytes.size();
        if (this->settings.rate > 0) {
            const TimePoint now = std::chrono::steady_clock::now();
            const auto cost = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    static_cast<double>(bytes.size()) / static_cast<double>(this->settings.rate)));
            this->linkFreeAt = std::max(this->linkFreeAt, now) + cost;
            wait = std::chrono::duration_cast<Milliseconds>(this->linkFreeAt - now);
        }
    }
    this->pool.after(wait, [bytes, reply] { reply->send(200, "application/octet-stream", bytes); });
}

/// Counts a request in a fixed one-second window.
bool OriginStandin::exceedsRequestRate()
{
    if (this->settings.requestRate == 0)
        return false;
    const std::lock_guard lock(this->mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    if (now - this->windowStart >= 1s) {
        this->windowStart = now;
        this->windowRequests = 0;
    }
    const bool isOver = ++this->windowRequests > this->settings.requestRate;
    if (isOver)
        ++this->limited;
    return isOver;
}

} // namespace egret
