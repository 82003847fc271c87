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
constexpr Milliseconds kResendAfter = 300ms;

enum class CallKind { chat, read, action };

/// One planned request and what came of it.
struct Planned
{
    CallKind kind{ CallKind::chat };
    Duration at{};
    std::string target;
    std::string key;
    std::string prompt;
    std::string prefix; ///< first message, which prompts share
    std::string idempotencyKey;
    bool isDoubled{ false }; ///< sent to two entry instances at once
    std::uint32_t sends{ 0 };
    TimePoint plannedAt;
    TimePoint lastTokenAt;
    std::string stream;
    std::uint64_t tokens{ 0 };
};

/// Results over the whole run.
struct Results
{
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t open{ 0 };
    std::uint64_t whole{ 0 };
    std::uint64_t refused{ 0 };
    std::uint64_t failed{ 0 };
    std::uint64_t wrong{ 0 };
    std::vector<double> firstToken;
    std::vector<double> tokenGap;
    std::vector<double> latency;
    std::vector<std::string> records;
    std::map<std::string, std::uint64_t> reasons;
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

/// Arrivals, kinds and prompts, all from the seed.
std::vector<Planned> planLoad(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.rate);
    std::discrete_distribution<int> kind({ static_cast<double>(settings.chatShare),
                                           static_cast<double>(settings.readShare),
                                           static_cast<double>(settings.actionShare) });
    std::vector<Planned> plan;
    double at = gap(random);
    const double end = std::chrono::duration<double>(settings.duration).count();
    for (; at < end; at += gap(random)) {
        Planned planned{ .kind = static_cast<CallKind>(kind(random)) };
        planned.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        planned.target = settings.targets[random() % settings.targets.size()];
        planned.key = settings.keys[random() % settings.keys.size()];
        planned.prompt = "prompt " + std::to_string(plan.size()) + " of seed "
                         + std::to_string(settings.seed);
        if (settings.prefixes > 0)
            planned.prefix = "prefix " + std::to_string(random() % settings.prefixes);
        planned.idempotencyKey = settings.keyPrefix + "-" + std::to_string(settings.seed) + "-"
                                 + std::to_string(plan.size());
        planned.isDoubled = planned.kind == CallKind::action && settings.doubles > 0
                            && random() % 100 < settings.doubles;
        plan.push_back(std::move(planned));
    }
    return plan;
}

/// True when a stream is exactly the answer to its prompt, from one version.
bool isExpectedStream(const Planned &planned, std::uint64_t tokens)
{
    std::string expected;
    std::string text;
    std::string fingerprint;
    for (std::uint64_t i = 0; i < tokens; ++i)
        expected += expectedToken(planned.prompt, i);
    std::size_t begin = 0;
    while (begin < planned.stream.size()) {
        const auto end = planned.stream.find("\n\n", begin);
        if (end == std::string::npos)
            return false;
        const std::string event = planned.stream.substr(begin, end - begin);
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
        : settings(settings), plan(planLoad(settings))
    {}

    int run()
    {
        const TimePoint start = std::chrono::steady_clock::now();
        for (Planned &planned : this->plan) {
            std::this_thread::sleep_until(start + planned.at);
            planned.plannedAt = start + planned.at;
            {
                const std::lock_guard lock(this->results.mutex);
                ++this->results.open;
            }
            this->send(planned);
            if (planned.isDoubled)
                this->sendDouble(planned);
        }
        std::unique_lock lock(this->results.mutex);
        this->results.changed.wait_for(lock, this->settings.timeout * (this->settings.resends + 1),
                                       [this] { return this->results.open == 0; });
        return this->print();
    }

private:
    void send(Planned &planned)
    {
        ++planned.sends;
        HttpCall call{ .url = "http://" + planned.target,
                       .headers = { { "Authorization", "Bearer " + planned.key } },
                       .timeout = this->settings.timeout };
        if (planned.kind == CallKind::chat) {
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
        } else if (planned.kind == CallKind::read) {
            call.url += this->settings.readPath;
        } else {
            this->fillAction(planned, call);
        }
        call.onDone = [this, &planned](HttpResult &&result) { this->onDone(planned, result); };
        this->client.start(std::move(call));
    }

    void fillAction(const Planned &planned, HttpCall &call) const
    {
        call.method = "POST";
        call.url += this->settings.actionPath;
        call.body = "{\"worker\":\"" + planned.prompt + "\"}";
        call.headers.emplace_back("Idempotency-Key", planned.idempotencyKey);
        call.headers.emplace_back("Content-Type", "application/json");
    }

    /// Sends an action's copy to another entry instance at once. What it is
    /// told is recorded; the request itself is counted once.
    void sendDouble(const Planned &planned)
    {
        HttpCall call{ .url = "http://" + this->nextTarget(planned.target),
                       .headers = { { "Authorization", "Bearer " + planned.key } },
                       .timeout = this->settings.timeout };
        this->fillAction(planned, call);
        {
            const std::lock_guard lock(this->results.mutex);
            ++this->results.open;
        }
        call.onDone = [this, &planned](HttpResult &&result) {
            const std::lock_guard lock(this->results.mutex);
            this->recordTold(planned, result);
            --this->results.open;
            this->results.changed.notify_all();
        };
        this->client.start(std::move(call));
    }

    /// Records what one request for an action was told; the caller holds the lock.
    void recordTold(const Planned &planned, const HttpResult &result)
    {
        const auto problem = nlohmann::json::parse(result.body, nullptr, false);
        std::string told = "unknown";
        if (result.complete && result.status >= kStatusOk && result.status < 300)
            told = "done";
        else if (result.complete && problem.is_object())
            told = problem.value("action", "unknown");
        this->results.records.push_back(planned.idempotencyKey + " " + told);
    }

    void onPart(Planned &planned, const std::string &part)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        planned.stream += part;
        if (!part.starts_with("data: {\"choices\"")
            && part.find("\"choices\"") == std::string::npos)
            return;
        const std::lock_guard lock(this->results.mutex);
        if (planned.tokens++ == 0)
            this->results.firstToken.push_back(secondsSince(planned.plannedAt));
        else
            this->results.tokenGap.push_back(
                    std::chrono::duration<double>(now - planned.lastTokenAt).count());
        planned.lastTokenAt = now;
    }

    void onDone(Planned &planned, const HttpResult &result)
    {
        const bool isAnswer = result.complete && result.status >= kStatusOk && result.status < 300;
        const auto problem = nlohmann::json::parse(
                planned.kind == CallKind::chat ? planned.stream : result.body, nullptr, false);
        const std::string reason = problem.is_object() ? problem.value("reason", "") : "";
        const std::lock_guard lock(this->results.mutex);
        if (planned.kind == CallKind::action) {
            this->recordTold(planned, result);
            if (!isAnswer && planned.sends <= this->settings.resends)
                return this->resendLater(planned);
        }
        this->count(planned, result, isAnswer, reason);
        this->results.latency.push_back(secondsSince(planned.plannedAt));
        --this->results.open;
        this->results.changed.notify_all();
    }

    /// Counts one answer; the caller holds the lock.
    void count(const Planned &planned, const HttpResult &result, bool isAnswer,
               const std::string &reason)
    {
        if (!isAnswer) {
            ++this->results.reasons[reason.empty() ? result.error : reason];
            ++(result.complete && result.status != 0 && result.status < kFirstServerError + 4
                               && result.status != 502
                       ? this->results.refused
                       : this->results.failed);
            return;
        }
        if (planned.kind == CallKind::chat) {
            const bool hasEnd = planned.stream.ends_with("data: [DONE]\n\n");
            if (!hasEnd)
                ++this->results.reasons["stream-without-end"];
            if (!hasEnd)
                ++this->results.failed;
            else if (!isExpectedStream(planned, this->settings.tokens))
                ++this->results.wrong;
            else
                ++this->results.whole;
            return;
        }
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        const bool isOwn = body.is_object()
                           && (planned.kind == CallKind::read
                                       ? body.value("path", "") == this->settings.readPath
                                       : body.value("key", "") == planned.idempotencyKey);
        ++(isOwn ? this->results.whole : this->results.wrong);
    }

    std::string nextTarget(const std::string &target) const
    {
        const auto &targets = this->settings.targets;
        const auto found = std::ranges::find(targets, target);
        return targets[(static_cast<std::size_t>(found - targets.begin()) + 1) % targets.size()];
    }

    /// Sends an unanswered action again under its key, at another entry.
    void resendLater(Planned &planned)
    {
        planned.target = this->nextTarget(planned.target);
        // The client's thread must not sleep; a short-lived one does.
        std::thread([this, &planned] {
            std::this_thread::sleep_for(kResendAfter);
            this->send(planned);
        }).detach();
    }

    int print()
    {
        if (!this->settings.recordFile.empty()) {
            std::ofstream record(this->settings.recordFile);
            for (const std::string &line : this->results.records)
                record << line << '\n';
        }
        const nlohmann::json out = { { "planned", this->plan.size() },
                                     { "open", this->results.open },
                                     { "whole", this->results.whole },
                                     { "refused", this->results.refused },
                                     { "failed", this->results.failed },
                                     { "wrong_answers", this->results.wrong },
                                     { "first_token_s", quantiles(this->results.firstToken) },
                                     { "token_gap_s", quantiles(this->results.tokenGap) },
                                     { "latency_s", quantiles(this->results.latency) },
                                     { "reasons", this->results.reasons } };
        std::printf("%s\n", out.dump().c_str());
        return 0;
    }

    LoadSettings settings;
    std::vector<Planned> plan;
    Results results;
    HttpClient client;
};

} // namespace

int runLoadGenerator(const LoadSettings &settings)
{
    return LoadGenerator(settings).run();
}

} // namespace egret
