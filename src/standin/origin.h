#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <mutex>

namespace egret {

/// Simulates an origin, the HTTP server from which weights are first fetched, with a
/// limited link rate and request rate. Thread safe.
class OriginStandin
{
public:
    OriginStandin(WorkerPool &pool, const StandinSettings &settings)
        : pool(pool), settings(settings)
    {}

    /// GET /weights/VERSION/manifest, GET /weights/VERSION/chunks/N, GET /stats.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    void sendChunk(const std::string &version, std::size_t chunkIndex, const HttpReplyPtr &reply);
    void sendAtLinkRate(const std::string &bytes, const HttpReplyPtr &reply);
    bool exceedsRequestRate();

    WorkerPool &pool;
    StandinSettings settings;
    std::mutex mutex;
    TimePoint linkFreeAt;  ///< time at which the link has sent all queued bytes
    TimePoint windowStart; ///< start of the request limit's one-second window
    std::uint32_t windowRequestCount{ 0 };
    std::uint64_t bytesSent{ 0 };    ///< bytes of manifests and chunks sent or queued on the link
    std::uint64_t sentCount{ 0 };    ///< manifests and chunks sent or queued on the link
    std::uint64_t limitedCount{ 0 }; ///< requests refused with status 429
};

} // namespace egret
