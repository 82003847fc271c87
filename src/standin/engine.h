#pragma once

#include "generated/settings.h"
#include "http_server.h"
#include "standin/prefix_cache.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <mutex>

namespace egret {

/// Faults that a trial injects by POST /faults. Each affected request decrements
/// its count.
struct EngineFaults
{
    std::uint32_t streamsToBreak{ 0 };    ///< streams to end halfway, without an end mark
    std::uint32_t answersToMismatch{ 0 }; ///< answers to send with another request's ID
    std::uint32_t endMarksToOmit{ 0 };    ///< complete streams to send without their end mark
    std::uint32_t requestsToRefuse{ 0 };  ///< requests to refuse immediately
    TimePoint stalledUntil;               ///< no token is sent before this time
};

/// Simulates a model engine: continuous batching whose steps lengthen as the
/// batch fills, a prefix cache, a cold start with a low concurrency limit and a
/// crash on overload, streamed completions that resume at a token, load orders
/// with fencing tokens. Thread safe.
class EngineStandin
{
public:
    EngineStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST /v1/chat/completions, POST /v1/completions, POST /load, POST
    /// /faults, GET /status, GET /cache-events.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    struct Completion;
    using CompletionPtr = std::shared_ptr<Completion>;

    void handleCompletion(const HttpRequest &request, const HttpReplyPtr &reply);
    bool admit(Completion &completion, const HttpRequest &request);
    void crash();
    void nextToken(const CompletionPtr &completion);
    void writeToken(Completion &completion, const std::string &token);
    void finish(const CompletionPtr &completion);
    void releaseSlot(const CompletionPtr &completion);
    void handleLoad(const HttpRequest &request, const HttpReplyPtr &reply);
    void handleFaults(const HttpRequest &request, const HttpReplyPtr &reply);
    void handleCacheEvents(const HttpRequest &request, const HttpReplyPtr &reply);
    void refreshLoadReport();
    HttpHeaders identityHeaders(const Completion &completion) const;
    nlohmann::json status();
    double concurrencyLimit() const;
    Milliseconds stepTime() const;
    Milliseconds prefillTime(bool isHit) const;

    WorkerPool &pool;
    StandinSettings settings;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::string version;
    std::string contentDigest;
    std::uint64_t fenceEpoch{ 0 };
    std::uint64_t fenceSequence{ 0 };
    EngineFaults faults;
    PrefixCache cache;
    std::uint32_t running{ 0 };
    std::uint32_t reportedRunning{ 0 }; ///< `running` at the last load report
    std::uint64_t generation{ 0 }; ///< raised by a crash; completions of an older one are aborted
    std::uint32_t servedSinceCold{ 0 }; ///< complete answers since the cold start
    TimePoint downUntil;                ///< requests are refused until then, after a crash
    std::uint32_t maxRunning{ 0 };
    std::uint64_t started{ 0 };
    TimePoint lastStart;
    std::uint64_t served{ 0 };
    std::uint64_t cancelled{ 0 };
    std::uint64_t overloaded{ 0 };
    std::uint64_t limitExceeded{ 0 }; ///< requests started above the concurrency limit
    std::uint64_t crashes{ 0 };
    std::uint64_t resumed{ 0 };
};

} // namespace egret
