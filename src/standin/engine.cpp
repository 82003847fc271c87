#include "standin/engine.h"

#include "standin/expected_answer.h"

#include "digest.h"
#include "program.h"
#include "prompt_prefix.h"

#include <tuple>

namespace egret {

namespace {

constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kMaxTokensLimit = 4096;
constexpr Milliseconds kStallPollInterval = 20ms;
constexpr Milliseconds kCrashDowntime = 1s;
/// Concurrency limit right after a cold start.
constexpr double kColdConcurrency = 2.0;
/// A cold engine crashes above this multiple of its concurrency limit.
constexpr double kCrashFactor = 2.0;
/// Factor on the time to first token while cold.
constexpr double kColdPrefillFactor = 3.0;

/// The last message of a chat completion, or the prompt of a plain one.
std::string promptOf(const nlohmann::json &body)
{
    if (body.contains("messages") && body["messages"].is_array() && !body["messages"].empty())
        return body["messages"].back().value("content", "");
    return body.value("prompt", "");
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

struct EngineStandin::Completion
{
    HttpReplyPtr reply;
    std::string requestId;
    std::string prompt;
    std::string version;
    bool stream{ false };
    bool isChat{ false };
    bool started{ false };
    std::uint64_t generation{ 0 };
    std::uint64_t tokens{ 0 };
    std::uint64_t next{ 0 };
    std::uint64_t breakAtToken{ 0 }; ///< token index before which the stream breaks, 0 for none
    bool omitsEndMark{ false };
    Milliseconds firstToken{};
    std::string text;
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
    completion->prompt = promptOf(body);
    completion->stream = body.value("stream", false);
    completion->isChat = request.path == "/v1/chat/completions";
    completion->tokens =
            std::min<std::uint64_t>(body.value("max_tokens", kDefaultMaxTokens), kMaxTokensLimit);
    completion->next = numberOf(headerValue(request.headers, "X-Resume-Offset"));
    {
        const std::lock_guard lock(this->mutex);
        if (!this->admit(*completion, request))
            return reply->send(503, "text/plain", "cold or full\n");
        completion->firstToken = this->prefillTime(this->cache.use(promptPrefix(body)));
    }
    this->pool.after(completion->firstToken, [this, completion] { this->nextToken(completion); });
}

/// Adds a request to the batch; false when refused. The caller holds the mutex.
bool EngineStandin::admit(Completion &completion, const HttpRequest &request)
{
    const TimePoint now = std::chrono::steady_clock::now();
    // Background requests are refused first: one slot in eight is reserved for the others.
    const bool isBackground = numberOf(headerValue(request.headers, "X-Priority")) > 1;
    const std::uint32_t slots =
            this->settings.capacity - (isBackground ? this->settings.capacity / 8 : 0);
    if (this->faults.requestsToRefuse > 0) {
        --this->faults.requestsToRefuse;
        return false;
    }
    if (this->version.empty() || now < this->downUntil || this->running >= slots) {
        ++this->overloaded;
        return false;
    }
    ++this->running;
    ++this->started;
    this->lastStart = now;
    this->maxRunning = std::max(this->maxRunning, this->running);
    if (this->running > this->concurrencyLimit())
        ++this->limitExceeded;
    if (this->running > kCrashFactor * this->concurrencyLimit()) {
        this->crash();
        return false;
    }
    completion.version = this->version;
    completion.generation = this->generation;
    this->resumed += completion.next > 0 ? 1 : 0;
    if (this->faults.answersToMismatch > 0) {
        --this->faults.answersToMismatch;
        completion.requestId = "another-request";
    }
    if (completion.stream && this->faults.streamsToBreak > 0) {
        --this->faults.streamsToBreak;
        completion.breakAtToken =
                std::max<std::uint64_t>(1, (completion.next + completion.tokens) / 2);
    }
    if (completion.stream && this->faults.endMarksToOmit > 0) {
        --this->faults.endMarksToOmit;
        completion.omitsEndMark = true;
    }
    return true;
}

/// Aborts all running requests and refuses new ones for kCrashDowntime. The
/// caller holds the mutex.
void EngineStandin::crash()
{
    ++this->crashes;
    ++this->generation;
    this->running = 0;
    this->servedSinceCold = 0;
    this->cache.clear();
    this->downUntil = std::chrono::steady_clock::now() + kCrashDowntime;
}

void EngineStandin::nextToken(const CompletionPtr &completion)
{
    Milliseconds step{};
    {
        const std::lock_guard lock(this->mutex);
        if (completion->generation != this->generation) {
            if (completion->started)
                return completion->reply->finish();
            return completion->reply->send(503, "text/plain", "fell over\n");
        }
        if (std::chrono::steady_clock::now() < this->faults.stalledUntil) {
            this->pool.after(kStallPollInterval,
                             [this, completion] { this->nextToken(completion); });
            return;
        }
        step = this->stepTime();
    }
    if (completion->reply->gone()) {
        const std::lock_guard lock(this->mutex);
        --this->running;
        ++this->cancelled;
        return;
    }
    if (completion->stream && !completion->started)
        completion->reply->start(200, "text/event-stream", this->identityHeaders(*completion));
    completion->started = completion->stream;
    if (completion->breakAtToken > 0 && completion->next >= completion->breakAtToken) {
        completion->reply->finish();
        return this->releaseSlot(completion);
    }
    if (completion->next >= completion->tokens)
        return this->finish(completion);
    this->writeToken(*completion, expectedToken(completion->prompt, completion->next++));
    this->pool.after(step, [this, completion] { this->nextToken(completion); });
}

void EngineStandin::writeToken(Completion &completion, const std::string &token)
{
    completion.text += token;
    if (!completion.stream)
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
    if (completion->stream) {
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

/// Removes a completion from the batch, unless a crash already did.
void EngineStandin::releaseSlot(const CompletionPtr &completion)
{
    const std::lock_guard lock(this->mutex);
    if (completion->generation != this->generation)
        return;
    --this->running;
    if (completion->next < completion->tokens)
        return;
    ++this->served;
    ++this->servedSinceCold;
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
    this->faults.answersToMismatch += body.value("crossAnswers", 0U);
    this->faults.endMarksToOmit += body.value("wrongEnds", 0U);
    this->faults.requestsToRefuse += body.value("refuse", 0U);
    this->faults.stalledUntil =
            std::chrono::steady_clock::now() + Milliseconds(body.value("stallMs", 0U));
    if (body.value("cold", false)) {
        this->servedSinceCold = 0;
        this->cache.clear();
    }
    reply->send(200, "application/json", "{}");
}

void EngineStandin::handleCacheEvents(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const auto at = request.target.find("after=");
    const std::uint64_t after =
            at == std::string::npos ? 0 : numberOf(request.target.substr(at + 6));
    const std::lock_guard lock(this->mutex);
    nlohmann::json body = { { "incarnation", this->incarnation },
                            { "last", this->cache.lastSequence() },
                            { "events", nlohmann::json::array() } };
    for (const CacheEvent &event : this->cache.eventsAfter(after))
        body["events"].push_back({ { "sequence", event.sequence },
                                   { "prefix", event.prefix },
                                   { "added", event.added } });
    reply->send(200, "application/json", body.dump());
}

/// Copies the load into the report; between two calls the reported load lags.
void EngineStandin::refreshLoadReport()
{
    const std::lock_guard lock(this->mutex);
    this->reportedRunning = this->running;
}

HttpHeaders EngineStandin::identityHeaders(const Completion &completion) const
{
    return { { "X-Request-Id", completion.requestId },
             { "X-Incarnation", std::to_string(this->incarnation) } };
}

nlohmann::json EngineStandin::status()
{
    const std::lock_guard lock(this->mutex);
    const std::chrono::duration<double> sinceStart =
            std::chrono::steady_clock::now() - this->lastStart;
    return { { "incarnation", this->incarnation },
             { "version", this->version },
             { "contentDigest", this->contentDigest },
             { "running", this->reportedRunning },
             { "capacity", this->settings.capacity },
             { "bears", this->concurrencyLimit() },
             { "mostRunning", this->maxRunning },
             { "started", this->started },
             { "sinceStart", sinceStart.count() },
             { "served", this->served },
             { "cancelled", this->cancelled },
             { "overloaded", this->overloaded },
             { "limitExceeded", this->limitExceeded },
             { "fallen", this->crashes },
             { "resumed", this->resumed },
             { "prefixHits", this->cache.hits() },
             { "prefixMisses", this->cache.misses() },
             { "epoch", this->fenceEpoch },
             { "sequence", this->fenceSequence } };
}

/// Concurrent requests that the engine sustains; grows to the capacity while a
/// cold engine warms up.
double EngineStandin::concurrencyLimit() const
{
    if (this->servedSinceCold >= this->settings.coldAnswers)
        return this->settings.capacity;
    const double warmShare =
            static_cast<double>(this->servedSinceCold) / this->settings.coldAnswers;
    return kColdConcurrency + (this->settings.capacity - kColdConcurrency) * warmShare;
}

/// Duration of one batch step, which grows as the batch fills.
Milliseconds EngineStandin::stepTime() const
{
    const double fill = static_cast<double>(this->running) / this->settings.capacity;
    return std::chrono::duration_cast<Milliseconds>(this->settings.tokenGap
                                                    * (1.0 + this->settings.slowdown * fill));
}

/// Time to first token, shorter for a prefix in the cache and longer while cold.
Milliseconds EngineStandin::prefillTime(bool isHit) const
{
    const double fill = static_cast<double>(this->running) / this->settings.capacity;
    double factor = 1.0 + this->settings.slowdown * fill;
    if (isHit)
        factor *= this->settings.prefixHit;
    if (this->servedSinceCold < this->settings.coldAnswers)
        factor *= kColdPrefillFactor;
    return std::chrono::duration_cast<Milliseconds>(this->settings.firstToken * factor);
}

} // namespace egret
