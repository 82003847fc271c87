#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <mutex>

namespace egret {

/// Simulates the origin of weights, or a rate-limited store of weights. Thread safe.
class OriginStandin
{
public:
    OriginStandin(WorkerPool &pool, const StandinSettings &settings)
        : pool(pool), settings(settings)
    {}

    /// GET /weights/VERSION/manifest, GET /weights/VERSION/chunks/N, GET /stats.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    void sendChunk(const std::string &version, std::size_t chunk, const HttpReplyPtr &reply);
    void sendAtLinkRate(const std::string &bytes, const HttpReplyPtr &reply);
    bool exceedsRequestRate();

    WorkerPool &pool;
    StandinSettings settings;
    std::mutex mutex;
    TimePoint linkFreeAt;
    TimePoint windowStart;
    std::uint32_t windowRequests{ 0 };
    std::uint64_t bytesOut{ 0 };
    std::uint64_t requests{ 0 };
    std::uint64_t limited{ 0 };
};

} // namespace egret
