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

/// Faults that a trial injects by POST /faults. Each count is the number of requests
/// that the fault will still affect. The end mark is the last event of a stream,
/// `[DONE]`.
struct EngineFaults
{
    std::uint32_t streamsToBreak{ 0 };    ///< streams to close halfway without an end mark
    std::uint32_t answersToMislabel{ 0 }; ///< answers to send with another request's ID
    /// Streams to end after the last token, without the end mark.
    std::uint32_t endMarksToOmit{ 0 };
    std::uint32_t requestsToRefuse{ 0 }; ///< requests to refuse with status 503
    TimePoint stalledUntil;              ///< no token is sent before this time
};

/// Simulates a model engine with continuous batching: steps last longer as the
/// batch fills. An engine is cold after its start, after a crash and after an injected
/// cold start. A cold engine has a low concurrency limit and crashes on overload; the
/// engine is warm after `StandinSettings::coldAnswers` completed answers. The engine has
/// a prefix cache, resumes streams at a token and checks the fencing tokens of load
/// orders. Thread safe.
class EngineStandin
{
public:
    EngineStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST /v1/chat/completions, POST /v1/completions, POST /load, POST
    /// /faults, GET /status, GET /cache-events?after=SEQUENCE.
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
    std::string version;       ///< version of the loaded weights; empty when none are loaded
    std::string contentDigest; ///< digest of the loaded weights
    /// Fencing token of the last accepted load order: the epoch and the sequence number.
    std::uint64_t fenceEpoch{ 0 };
    std::uint64_t fenceSequence{ 0 };
    EngineFaults faults;
    PrefixCache cache;
    std::uint32_t runningCount{ 0 };         ///< requests in the batch
    std::uint32_t reportedRunningCount{ 0 }; ///< `runningCount` at the last load report
    /// Number of crashes. A completion that was admitted before the last crash has a lower
    /// generation and is aborted.
    std::uint64_t generation{ 0 };
    /// Completed answers since the engine last became cold.
    std::uint32_t servedSinceColdStart{ 0 };
    TimePoint downUntil; ///< end of the downtime after a crash
    std::uint32_t maxRunningCount{ 0 };
    std::uint64_t startedCount{ 0 };   ///< requests added to the batch
    TimePoint lastStartedAt;           ///< time at which the last request was added
    std::uint64_t servedCount{ 0 };    ///< answers completed
    std::uint64_t cancelledCount{ 0 }; ///< requests whose client disconnected
    std::uint64_t overloadRefusalCount{ 0 };
    /// Requests that raised `runningCount` above the concurrency limit.
    std::uint64_t limitExceededCount{ 0 };
    std::uint64_t crashCount{ 0 };
    std::uint64_t resumedCount{ 0 }; ///< requests that resumed at a token
};

} // namespace egret
