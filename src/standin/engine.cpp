#include "standin/engine.h"

#include "standin/expected_answer.h"

#include "digest.h"
#include "program.h"
#include "prompt_prefix.h"

#include <tuple>

namespace egret {

namespace {

constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kMaxTokensPerAnswer = 4096;
constexpr Milliseconds kStallPollInterval = 20ms;
constexpr Milliseconds kCrashDowntime = 1s;
/// Concurrency limit right after a cold start.
constexpr double kColdConcurrency = 2.0;
/// A cold engine crashes above this multiple of its concurrency limit.
constexpr double kCrashFactor = 2.0;
/// A cold engine's time to first token is longer by this factor.
constexpr double kColdPrefillFactor = 3.0;

/// Content of the last message in a chat completion request, or the prompt of a
/// text completion request.
std::string promptIn(const nlohmann::json &body)
{
    if (body.contains("messages") && body["messages"].is_array() && !body["messages"].empty())
        return body["messages"].back().value("content", "");
    return body.value("prompt", "");
}

/// Decimal number at the start of a header or query value; 0 when there is none.
std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

/// One completion request in the batch.
struct EngineStandin::Completion
{
    HttpReplyPtr reply;
    std::string requestId;
    std::string prompt;
    std::string version;
    bool isStream{ false };
    bool isChat{ false };
    bool isStarted{ false };         ///< the head of the streamed answer has been sent
    std::uint64_t generation{ 0 };   ///< generation of the engine at admission
    std::uint64_t tokenCount{ 0 };   ///< tokens of the whole answer
    std::uint64_t nextIndex{ 0 };    ///< index of the next token to send
    std::uint64_t breakAtToken{ 0 }; ///< index of the token before which to break; 0 for no break
    bool omitsEndMark{ false };
    Milliseconds firstTokenDelay{};
    std::string text; ///< text of all tokens so far
};

EngineStandin::EngineStandin(WorkerPool &pool, const StandinSettings &settings)
    : pool(pool), settings(settings), incarnation(newIncarnation()), cache(settings.prefixCache)
{
    pool.every(std::max<Milliseconds>(settings.loadLag, 1ms),
               [this] { this->refreshLoadReport(); });
}

void EngineStandin::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    if (request.path == "/status")
        reply->send(200, "application/json", this->status().dump());
    else if (request.path == "/cache-events")
        this->handleCacheEvents(request, reply);
    else if (request.path == "/load" && request.method == "POST")
        this->handleLoad(request, reply);
    else if (request.path == "/faults" && request.method == "POST")
        this->handleFaults(request, reply);
    else if (request.path == "/v1/chat/completions" || request.path == "/v1/completions")
        this->handleCompletion(request, reply);
    else
        reply->send(404, "text/plain", "no such operation\n");
}

void EngineStandin::handleCompletion(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply->send(400, "text/plain", "a JSON object is expected\n");
    auto completion = std::make_shared<Completion>();
    completion->reply = reply;
    completion->requestId = headerValue(request.headers, "X-Request-Id");
    completion->prompt = promptIn(body);
    completion->isStream = body.value("stream", false);
    completion->isChat = request.path == "/v1/chat/completions";
    completion->tokenCount = std::min<std::uint64_t>(body.value("max_tokens", kDefaultMaxTokens),
                                                     kMaxTokensPerAnswer);
    completion->nextIndex = parseNumber(headerValue(request.headers, "X-Resume-Offset"));
    {
        const std::lock_guard lock(this->mutex);
        if (!this->admit(*completion, request))
            return reply->send(503, "text/plain", "cold or full\n");
        completion->firstTokenDelay =
                this->timeToFirstToken(this->cache.lookUpOrInsert(promptPrefix(body)));
    }
    this->pool.after(completion->firstTokenDelay,
                     [this, completion] { this->emitNextToken(completion); });
}

/// Adds a request to the batch; returns false when the request is refused. The
/// caller holds the mutex.
bool EngineStandin::admit(Completion &completion, const HttpRequest &request)
{
    const TimePoint now = std::chrono::steady_clock::now();
    // One slot in eight is reserved for requests with X-Priority 0 or 1, so background
    // requests are refused first.
    const bool isBackground = parseNumber(headerValue(request.headers, "X-Priority")) > 1;
    const std::uint32_t slots =
            this->settings.capacity - (isBackground ? this->settings.capacity / 8 : 0);
    if (this->faults.requestsToRefuse > 0) {
        --this->faults.requestsToRefuse;
        return false;
    }
    if (this->version.empty() || now < this->downUntil || this->runningCount >= slots) {
        ++this->overloadRefusalCount;
        return false;
    }
    ++this->runningCount;
    ++this->startedCount;
    this->lastStartedAt = now;
    this->maxRunningCount = std::max(this->maxRunningCount, this->runningCount);
    if (this->runningCount > this->concurrencyLimit())
        ++this->limitExceededCount;
    if (this->runningCount > kCrashFactor * this->concurrencyLimit()) {
        this->crash();
        return false;
    }
    completion.version = this->version;
    completion.generation = this->generation;
    this->resumedCount += completion.nextIndex > 0 ? 1 : 0;
    if (this->faults.answersToMislabel > 0) {
        --this->faults.answersToMislabel;
        completion.requestId = "another-request";
    }
    if (completion.isStream && this->faults.streamsToBreak > 0) {
        --this->faults.streamsToBreak;
        completion.breakAtToken =
                std::max<std::uint64_t>(1, (completion.nextIndex + completion.tokenCount) / 2);
    }
    if (completion.isStream && this->faults.endMarksToOmit > 0) {
        --this->faults.endMarksToOmit;
        completion.omitsEndMark = true;
    }
    return true;
}

/// Simulates a crash: aborts all running requests, refuses new ones for kCrashDowntime
/// and makes the engine cold. The caller holds the mutex.
void EngineStandin::crash()
{
    ++this->crashCount;
    ++this->generation;
    this->runningCount = 0;
    this->servedSinceColdStart = 0;
    this->cache.clear();
    this->downUntil = std::chrono::steady_clock::now() + kCrashDowntime;
}

/// Sends one token and schedules the next. Ends the completion after the last token,
/// a crash, a disconnect or an injected break; retries later during an injected stall.
void EngineStandin::emitNextToken(const CompletionPtr &completion)
{
    Milliseconds step{};
    {
        const std::lock_guard lock(this->mutex);
        if (completion->generation != this->generation) {
            if (completion->isStarted)
                return completion->reply->finish();
            return completion->reply->send(503, "text/plain", "fell over\n");
        }
        if (std::chrono::steady_clock::now() < this->faults.stalledUntil) {
            this->pool.after(kStallPollInterval,
                             [this, completion] { this->emitNextToken(completion); });
            return;
        }
        step = this->stepDuration();
    }
    if (completion->reply->gone()) {
        const std::lock_guard lock(this->mutex);
        --this->runningCount;
        ++this->cancelledCount;
        return;
    }
    if (completion->isStream && !completion->isStarted)
        completion->reply->start(200, "text/event-stream", this->identityHeaders(*completion));
    completion->isStarted = completion->isStream;
    if (completion->breakAtToken > 0 && completion->nextIndex >= completion->breakAtToken) {
        completion->reply->finish();
        return this->releaseSlot(completion);
    }
    if (completion->nextIndex >= completion->tokenCount)
        return this->finish(completion);
    this->writeToken(*completion, expectedToken(completion->prompt, completion->nextIndex++));
    this->pool.after(step, [this, completion] { this->emitNextToken(completion); });
}

void EngineStandin::writeToken(Completion &completion, const std::string &token)
{
    completion.text += token;
    if (!completion.isStream)
        return;
    const nlohmann::json choice =
            completion.isChat
                    ? nlohmann::json{ { "index", 0 }, { "delta", { { "content", token } } } }
                    : nlohmann::json{ { "index", 0 }, { "text", token } };
    const nlohmann::json event = { { "id", completion.requestId },
                                   { "system_fingerprint", completion.version },
                                   { "choices", { choice } } };
    completion.reply->write("data: " + event.dump() + "\n\n");
}

void EngineStandin::finish(const CompletionPtr &completion)
{
    this->releaseSlot(completion);
    if (completion->isStream) {
        if (!completion->omitsEndMark)
            completion->reply->write("data: [DONE]\n\n");
        return completion->reply->finish();
    }
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (completion->isChat)
        choice["message"] = { { "role", "assistant" }, { "content", completion->text } };
    else
        choice["text"] = completion->text;
    const nlohmann::json answer = { { "id", completion->requestId },
                                    { "system_fingerprint", completion->version },
                                    { "choices", { choice } } };
    completion->reply->send(200, "application/json", answer.dump(),
                            this->identityHeaders(*completion));
}

/// Removes a completion from the batch and counts the answer as served when no token is
/// left. Does nothing when a crash has already emptied the batch.
void EngineStandin::releaseSlot(const CompletionPtr &completion)
{
    const std::lock_guard lock(this->mutex);
    if (completion->generation != this->generation)
        return;
    --this->runningCount;
    if (completion->nextIndex < completion->tokenCount)
        return;
    ++this->servedCount;
    ++this->servedSinceColdStart;
}

void EngineStandin::handleLoad(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply->send(400, "text/plain", "a JSON object is expected\n");
    const std::uint64_t epoch = body.value("epoch", std::uint64_t{ 0 });
    const std::uint64_t sequence = body.value("sequence", std::uint64_t{ 0 });
    const auto content = readFile(body.value("path", ""));
    if (!content)
        return reply->send(422, "text/plain", "the weights can't be read\n");
    const std::lock_guard lock(this->mutex);
    if (!this->settings.ignoresFences
        && std::tie(epoch, sequence) < std::tie(this->fenceEpoch, this->fenceSequence))
        return reply->send(409, "text/plain", "old fencing number\n");
    this->fenceEpoch = epoch;
    this->fenceSequence = sequence;
    this->version = body.value("version", "");
    this->contentDigest = digestOf(*content);
    reply->send(200, "application/json", "{}");
}

void EngineStandin::handleFaults(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply->send(400, "text/plain", "a JSON object is expected\n");
    const std::lock_guard lock(this->mutex);
    this->faults.streamsToBreak += body.value("breakStreams", 0U);
    this->faults.answersToMislabel += body.value("crossAnswers", 0U);
    this->faults.endMarksToOmit += body.value("wrongEnds", 0U);
    this->faults.requestsToRefuse += body.value("refuse", 0U);
    this->faults.stalledUntil =
            std::chrono::steady_clock::now() + Milliseconds(body.value("stallMs", 0U));
    if (body.value("cold", false)) {
        this->servedSinceColdStart = 0;
        this->cache.clear();
    }
    reply->send(200, "application/json", "{}");
}

void EngineStandin::handleCacheEvents(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const auto queryAt = request.target.find("after=");
    const std::uint64_t afterSequence =
            queryAt == std::string::npos ? 0 : parseNumber(request.target.substr(queryAt + 6));
    const std::lock_guard lock(this->mutex);
    nlohmann::json body = { { "incarnation", this->incarnation },
                            { "last", this->cache.lastSequence() },
                            { "events", nlohmann::json::array() } };
    for (const CacheEvent &event : this->cache.eventsAfter(afterSequence))
        body["events"].push_back({ { "sequence", event.sequence },
                                   { "prefix", event.prefix },
                                   { "added", event.isInsertion } });
    reply->send(200, "application/json", body.dump());
}

/// Updates the load that status() reports. The periodic update simulates an outdated
/// load report.
void EngineStandin::refreshLoadReport()
{
    const std::lock_guard lock(this->mutex);
    this->reportedRunningCount = this->runningCount;
}

HttpHeaders EngineStandin::identityHeaders(const Completion &completion) const
{
    return { { "X-Request-Id", completion.requestId },
             { "X-Incarnation", std::to_string(this->incarnation) } };
}

nlohmann::json EngineStandin::status()
{
    const std::lock_guard lock(this->mutex);
    const std::chrono::duration<double> sinceLastStart =
            std::chrono::steady_clock::now() - this->lastStartedAt;
    return { { "incarnation", this->incarnation },
             { "version", this->version },
             { "contentDigest", this->contentDigest },
             { "running", this->reportedRunningCount },
             { "capacity", this->settings.capacity },
             { "bears", this->concurrencyLimit() },
             { "mostRunning", this->maxRunningCount },
             { "started", this->startedCount },
             { "sinceStart", sinceLastStart.count() },
             { "served", this->servedCount },
             { "cancelled", this->cancelledCount },
             { "overloaded", this->overloadRefusalCount },
             { "limitExceeded", this->limitExceededCount },
             { "fallen", this->crashCount },
             { "resumed", this->resumedCount },
             { "prefixHits", this->cache.hits() },
             { "prefixMisses", this->cache.misses() },
             { "epoch", this->fenceEpoch },
             { "sequence", this->fenceSequence } };
}

/// Number of requests that the engine can process concurrently. The limit of a cold
/// engine grows with each completed answer until the limit equals the capacity.
double EngineStandin::concurrencyLimit() const
{
    if (this->servedSinceColdStart >= this->settings.coldAnswers)
        return this->settings.capacity;
    const double warmShare =
            static_cast<double>(this->servedSinceColdStart) / this->settings.coldAnswers;
    return kColdConcurrency + (this->settings.capacity - kColdConcurrency) * warmShare;
}

/// Duration of one batch step, which grows as the batch fills.
Milliseconds EngineStandin::stepDuration() const
{
    const double fill = static_cast<double>(this->runningCount) / this->settings.capacity;
    return std::chrono::duration_cast<Milliseconds>(this->settings.tokenGap
                                                    * (1.0 + this->settings.slowdown * fill));
}

/// Time to first token, shorter for a cached prefix and longer for a cold engine.
Milliseconds EngineStandin::timeToFirstToken(bool isCacheHit) const
{
    const double fill = static_cast<double>(this->runningCount) / this->settings.capacity;
    double factor = 1.0 + this->settings.slowdown * fill;
    if (isCacheHit)
        factor *= this->settings.prefixHit;
    if (this->servedSinceColdStart < this->settings.coldAnswers)
        factor *= kColdPrefillFactor;
    return std::chrono::duration_cast<Milliseconds>(this->settings.firstToken * factor);
}

} // namespace egret
