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

/// Faults that a trial injects by POST /faults. Each count holds the requests that
/// the fault will still affect.
struct EngineFaults
{
    std::uint32_t streamsToBreak{ 0 };    ///< streams to close halfway without an end mark
    std::uint32_t answersToMismatch{ 0 }; ///< answers to send with another request's ID
    /// Streams to send up to the last token, without the end mark.
    std::uint32_t endMarksToOmit{ 0 };
    std::uint32_t requestsToRefuse{ 0 }; ///< requests to refuse with status 503
    TimePoint stalledUntil;              ///< no token is sent before this time
};

/// Simulates a model engine with continuous batching: steps last longer as the
/// batch fills. An engine is cold until it has completed `coldAnswers` answers
/// since its start, its last crash or an injected cold start; a cold engine has a
/// low concurrency limit and crashes on overload. The engine has a prefix cache, resumes streams at
/// a token and checks the fencing tokens of load orders. Thread safe.
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
    void emitNextToken(const CompletionPtr &completion);
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
    Milliseconds stepDuration() const;
    Milliseconds timeToFirstToken(bool isCacheHit) const;

    WorkerPool &pool;
    StandinSettings settings;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::string version;           ///< of the loaded weights; empty for none
    std::string contentDigest;     ///< of the loaded weights
    std::uint64_t fenceEpoch{ 0 }; ///< with fenceSequence, the fencing token of the last load order
    std::uint64_t fenceSequence{ 0 };
    EngineFaults faults;
    PrefixCache cache;
    std::uint32_t runningCount{ 0 };         ///< requests in the batch
    std::uint32_t reportedRunningCount{ 0 }; ///< `runningCount` at the last load report
    /// Number of crashes; completions of earlier generations are aborted.
    std::uint64_t generation{ 0 };
    std::uint32_t servedSinceColdStart{ 0 }; ///< completed answers since the cold start
    TimePoint downUntil;                     ///< end of the downtime after a crash
    std::uint32_t maxRunningCount{ 0 };
    std::uint64_t startedCount{ 0 };   ///< requests added to the batch
    TimePoint lastStartedAt;           ///< time at which the last request was added
    std::uint64_t servedCount{ 0 };    ///< answers completed
    std::uint64_t cancelledCount{ 0 }; ///< requests whose client disconnected
    std::uint64_t overloadRefusalCount{ 0 };
    std::uint64_t limitExceededCount{ 0 }; ///< requests added above the concurrency limit
    std::uint64_t crashCount{ 0 };
    std::uint64_t resumedCount{ 0 }; ///< requests that resumed at a token
};

} // namespace egret
