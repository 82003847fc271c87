#include "load_generator.h"

#include "http_client.h"
#include "standin/expected_answer.h"
#include "types.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

namespace egret {

namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
constexpr Milliseconds kResendDelay = 300ms;

enum class RequestKind { chat, read, action };

/// One planned request and its state.
struct PlannedRequest
{
    RequestKind kind{ RequestKind::chat };
    Duration startOffset{}; ///< planned time after the start of the run
    std::string target;     ///< HTTP address of the entry instance
    std::string customerKey;
    std::string prompt;
    std::string prefix; ///< system message that several prompts share, empty for none
    std::string idempotencyKey;
    bool isDuplicated{ false }; ///< sent to two entry instances at the same time with one key
    std::uint32_t sendCount{ 0 };
    TimePoint plannedAt;
    TimePoint lastTokenAt;
    std::string streamText;
    std::uint64_t tokenCount{ 0 };
};

/// Results over the whole run.
struct Results
{
    std::mutex mutex;
    std::condition_variable changed; ///< notified when `inFlight` falls
    std::size_t inFlight{ 0 };
    std::uint64_t succeeded{ 0 };
    std::uint64_t refused{ 0 };
    std::uint64_t failed{ 0 };
    std::uint64_t wrong{ 0 }; ///< complete answers with unexpected content
    std::vector<double> firstTokenSeconds;
    std::vector<double> tokenGapSeconds;
    std::vector<double> latencySeconds;
    std::vector<std::string> actionRecords;       ///< lines for the record file
    std::map<std::string, std::uint64_t> reasons; ///< number of refusals and failures by reason
    nlohmann::json timeline = nlohmann::json::array();
};

double secondsSince(TimePoint from)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

nlohmann::json quantiles(std::vector<double> &values)
{
    if (values.empty())
        return nullptr;
    std::ranges::sort(values);
    const auto at = [&values](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return { { "p50", at(0.50) },
             { "p95", at(0.95) },
             { "p99", at(0.99) },
             { "max", values.back() },
             { "count", values.size() } };
}

/// Plans the arrival times, kinds and prompts. The plan depends only on the settings,
/// which include the random seed.
std::vector<PlannedRequest> planRequests(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> arrivalGap(settings.rate);
    std::discrete_distribution<int> kind({ static_cast<double>(settings.chatShare),
                                           static_cast<double>(settings.readShare),
                                           static_cast<double>(settings.actionShare) });
    std::vector<PlannedRequest> plan;
    double arrivalSeconds = arrivalGap(random);
    const double endSeconds = std::chrono::duration<double>(settings.duration).count();
    for (; arrivalSeconds < endSeconds; arrivalSeconds += arrivalGap(random)) {
        PlannedRequest planned{ .kind = static_cast<RequestKind>(kind(random)) };
        planned.startOffset =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivalSeconds));
        planned.target = settings.targets[random() % settings.targets.size()];
        planned.customerKey = settings.keys[random() % settings.keys.size()];
        planned.prompt = "prompt " + std::to_string(plan.size()) + " of seed "
                         + std::to_string(settings.seed);
        if (settings.prefixes > 0)
            planned.prefix = "prefix " + std::to_string(random() % settings.prefixes);
        planned.idempotencyKey = settings.keyPrefix + "-" + std::to_string(settings.seed) + "-"
                                 + std::to_string(plan.size());
        planned.isDuplicated = planned.kind == RequestKind::action && settings.doubles > 0
                               && random() % 100 < settings.doubles;
        plan.push_back(std::move(planned));
    }
    return plan;
}

/// True when the stream is the exact answer to its prompt and names one weights version.
bool isExpectedStream(const PlannedRequest &planned, std::uint64_t tokenCount)
{
    std::string expected;
    std::string text;
    std::string fingerprint;
    for (std::uint64_t i = 0; i < tokenCount; ++i)
        expected += expectedToken(planned.prompt, i);
    std::size_t begin = 0;
    while (begin < planned.streamText.size()) {
        const auto end = planned.streamText.find("\n\n", begin);
        if (end == std::string::npos)
            return false;
        const std::string event = planned.streamText.substr(begin, end - begin);
        begin = end + 2;
        if (event == "data: [DONE]")
            break;
        const auto body = nlohmann::json::parse(
                event.substr(std::min<std::size_t>(event.size(), 6)), nullptr, false);
        if (!body.is_object() || !body.contains("choices"))
            return false;
        const std::string version = body.value("system_fingerprint", "");
        if (!fingerprint.empty() && version != fingerprint)
            return false;
        fingerprint = version;
        text += body["choices"][0]["delta"].value("content", "");
    }
    return text == expected;
}

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadSettings &settings)
        : settings(settings), plan(planRequests(settings))
    {}

    int run()
    {
        const TimePoint start = std::chrono::steady_clock::now();
        for (PlannedRequest &planned : this->plan) {
            std::this_thread::sleep_until(start + planned.startOffset);
            planned.plannedAt = start + planned.startOffset;
            {
                const std::lock_guard lock(this->results.mutex);
                ++this->results.inFlight;
            }
            this->send(planned);
            if (planned.isDuplicated)
                this->sendDuplicate(planned);
        }
        std::unique_lock lock(this->results.mutex);
        this->results.changed.wait_for(lock, this->settings.timeout * (this->settings.resends + 1),
                                       [this] { return this->results.inFlight == 0; });
        return this->printResults();
    }

private:
    void send(PlannedRequest &planned)
    {
        ++planned.sendCount;
        HttpCall call{ .url = "http://" + planned.target,
                       .headers = { { "Authorization", "Bearer " + planned.customerKey } },
                       .timeout = this->settings.timeout };
        if (planned.kind == RequestKind::chat) {
            nlohmann::json messages = nlohmann::json::array();
            if (!planned.prefix.empty())
                messages.push_back({ { "role", "system" }, { "content", planned.prefix } });
            messages.push_back({ { "role", "user" }, { "content", planned.prompt } });
            const nlohmann::json body = { { "model", this->settings.model },
                                          { "stream", true },
                                          { "max_tokens", this->settings.tokens },
                                          { "messages", messages } };
            call.method = "POST";
            call.url += "/v1/chat/completions";
            call.body = body.dump();
            call.headers.emplace_back("Content-Type", "application/json");
            call.onData = [this, &planned](const std::string &part) {
                this->onPart(planned, part);
            };
        } else if (planned.kind == RequestKind::read) {
            call.url += this->settings.readPath;
        } else {
            this->fillAction(planned, call);
        }
        call.onDone = [this, &planned](HttpResult &&result) { this->onDone(planned, result); };
        this->client.start(std::move(call));
    }

    void fillAction(const PlannedRequest &planned, HttpCall &call) const
    {
        call.method = "POST";
        call.url += this->settings.actionPath;
        call.body = "{\"worker\":\"" + planned.prompt + "\"}";
        call.headers.emplace_back("Idempotency-Key", planned.idempotencyKey);
        call.headers.emplace_back("Content-Type", "application/json");
    }

    /// Sends a copy of an action to another entry instance at the same time. The action
    /// status in the answer to the copy is recorded, but the request is counted only once.
    void sendDuplicate(const PlannedRequest &planned)
    {
        HttpCall call{ .url = "http://" + this->nextTarget(planned.target),
                       .headers = { { "Authorization", "Bearer " + planned.customerKey } },
                       .timeout = this->settings.timeout };
        this->fillAction(planned, call);
        {
            const std::lock_guard lock(this->results.mutex);
            ++this->results.inFlight;
        }
        call.onDone = [this, &planned](HttpResult &&result) {
            const std::lock_guard lock(this->results.mutex);
            this->recordActionStatus(planned, result);
            --this->results.inFlight;
            this->results.changed.notify_all();
        };
        this->client.start(std::move(call));
    }

    /// Records the action status that one answer reports. Precondition: `results.mutex` is
    /// locked.
    void recordActionStatus(const PlannedRequest &planned, const HttpResult &result)
    {
        const auto problem = nlohmann::json::parse(result.body, nullptr, false);
        std::string actionStatus = "unknown";
        if (result.complete && result.status >= kStatusOk && result.status < 300)
            actionStatus = "done";
        else if (result.complete && problem.is_object())
            actionStatus = problem.value("action", "unknown");
        this->results.actionRecords.push_back(planned.idempotencyKey + " " + actionStatus);
    }

    void onPart(PlannedRequest &planned, const std::string &part)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        planned.streamText += part;
        if (!part.starts_with("data: {\"choices\"")
            && part.find("\"choices\"") == std::string::npos)
            return;
        const std::lock_guard lock(this->results.mutex);
        if (planned.tokenCount++ == 0)
            this->results.firstTokenSeconds.push_back(secondsSince(planned.plannedAt));
        else
            this->results.tokenGapSeconds.push_back(
                    std::chrono::duration<double>(now - planned.lastTokenAt).count());
        planned.lastTokenAt = now;
    }

    void onDone(PlannedRequest &planned, const HttpResult &result)
    {
        const bool isSuccess = result.complete && result.status >= kStatusOk && result.status < 300;
        const auto problem = nlohmann::json::parse(
                planned.kind == RequestKind::chat ? planned.streamText : result.body, nullptr,
                false);
        const std::string reason = problem.is_object() ? problem.value("reason", "") : "";
        const std::lock_guard lock(this->results.mutex);
        if (planned.kind == RequestKind::action) {
            this->recordActionStatus(planned, result);
            if (!isSuccess && planned.sendCount <= this->settings.resends)
                return this->resendLater(planned);
        }
        this->count(planned, result, isSuccess, reason);
        this->results.latencySeconds.push_back(secondsSince(planned.plannedAt));
        --this->results.inFlight;
        this->results.changed.notify_all();
    }

    /// Counts one answer. An answer without success is a refusal when it is complete and has a
    /// status below 504 other than 502, and a failure otherwise. Precondition: `results.mutex` is
    /// locked.
    void count(const PlannedRequest &planned, const HttpResult &result, bool isSuccess,
               const std::string &reason)
    {
        if (!isSuccess) {
            ++this->results.reasons[reason.empty() ? result.error : reason];
            ++(result.complete && result.status != 0 && result.status < kFirstServerError + 4
                               && result.status != 502
                       ? this->results.refused
                       : this->results.failed);
            return;
        }
        if (planned.kind == RequestKind::chat) {
            const bool hasStreamEnd = planned.streamText.ends_with("data: [DONE]\n\n");
            if (!hasStreamEnd)
                ++this->results.reasons["stream-without-end"];
            if (!hasStreamEnd)
                ++this->results.failed;
            else if (!isExpectedStream(planned, this->settings.tokens))
                ++this->results.wrong;
            else
                ++this->results.succeeded;
            return;
        }
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        const bool isExpected = body.is_object()
                                && (planned.kind == RequestKind::read
                                            ? body.value("path", "") == this->settings.readPath
                                            : body.value("key", "") == planned.idempotencyKey);
        ++(isExpected ? this->results.succeeded : this->results.wrong);
    }

    std::string nextTarget(const std::string &target) const
    {
        const auto &targets = this->settings.targets;
        const auto found = std::ranges::find(targets, target);
        return targets[(static_cast<std::size_t>(found - targets.begin()) + 1) % targets.size()];
    }

    /// Sends an action without a successful answer again after a delay, with the same key, to
    /// another entry instance.
    void resendLater(PlannedRequest &planned)
    {
        planned.target = this->nextTarget(planned.target);
        // A short-lived thread sleeps: the thread of the HTTP client must not block.
        std::thread([this, &planned] {
            std::this_thread::sleep_for(kResendDelay);
            this->send(planned);
        }).detach();
    }

    int printResults()
    {
        if (!this->settings.recordFile.empty()) {
            std::ofstream record(this->settings.recordFile);
            for (const std::string &line : this->results.actionRecords)
                record << line << '\n';
        }
        const nlohmann::json out = { { "planned", this->plan.size() },
                                     { "open", this->results.inFlight },
                                     { "whole", this->results.succeeded },
                                     { "refused", this->results.refused },
                                     { "failed", this->results.failed },
                                     { "wrong_answers", this->results.wrong },
                                     { "first_token_s",
                                       quantiles(this->results.firstTokenSeconds) },
                                     { "token_gap_s", quantiles(this->results.tokenGapSeconds) },
                                     { "latency_s", quantiles(this->results.latencySeconds) },
                                     { "reasons", this->results.reasons } };
        std::printf("%s\n", out.dump().c_str());
        return 0;
    }

    LoadSettings settings;
    std::vector<PlannedRequest> plan;
    Results results;
    HttpClient client;
};

} // namespace

int runLoadGenerator(const LoadSettings &settings)
{
    return LoadGenerator(settings).run();
}

} // namespace egret
