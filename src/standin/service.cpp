#include "standin/service.h"

#include "program.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace egret {

namespace {

constexpr std::string_view kOutcomesPrefix = "/outcomes/";
/// Appended to the name of the record file to form the name of the answers file.
constexpr const char *kAnswersSuffix = ".answers";

} // namespace

ServiceStandin::ServiceStandin(WorkerPool &pool, const StandinSettings &settings)
    : pool(pool), settings(settings), incarnation(newIncarnation())
{
    // The recorded runs survive a restart, as in a real service's database.
    std::ifstream record(settings.recordFile);
    for (std::string key; std::getline(record, key);)
        ++this->runCountsByKey[key];
    std::ifstream answers(settings.recordFile + kAnswersSuffix);
    for (std::string line; std::getline(answers, line);) {
        const auto outcome = nlohmann::json::parse(line, nullptr, false);
        if (outcome.is_object())
            this->firstAnswers.emplace(outcome.value("owned", ""), outcome.value("answer", ""));
    }
}

void ServiceStandin::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    if (request.path == "/status") {
        const nlohmann::json body = { { "incarnation", this->incarnation }, { "version", "" } };
        return reply->send(200, "application/json", body.dump());
    }
    if (request.method == "POST")
        return this->runAction(request, reply);
    if (request.path.starts_with(kOutcomesPrefix))
        return this->sendOutcome(request, reply);
    const nlohmann::json body = { { "path", request.path } };
    this->pool.after(this->settings.firstToken,
                     [reply, body] { reply->send(200, "application/json", body.dump()); });
}

void ServiceStandin::runAction(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const std::string key = headerValue(request.headers, "Idempotency-Key");
    const std::string outcomeKey = headerValue(request.headers, "X-Customer") + "/" + key;
    std::string answer;
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t runs = ++this->runCountsByKey[key];
        std::ofstream record(this->settings.recordFile, std::ios::app);
        record << key << '\n';
        const nlohmann::json body = { { "key", key }, { "run", runs }, { "echo", request.body } };
        answer = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        this->firstAnswers.emplace(outcomeKey, answer);
        std::ofstream answers(this->settings.recordFile + kAnswersSuffix, std::ios::app);
        const nlohmann::json outcome = { { "owned", outcomeKey }, { "answer", answer } };
        answers << outcome.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }
    this->pool.after(this->settings.firstToken,
                     [reply, answer] { reply->send(201, "application/json", answer); });
}

void ServiceStandin::sendOutcome(const HttpRequest &request, const HttpReplyPtr &reply)
{
    const std::string outcomeKey = headerValue(request.headers, "X-Customer") + "/"
                                   + request.path.substr(kOutcomesPrefix.size());
    const std::lock_guard lock(this->mutex);
    const auto found = this->firstAnswers.find(outcomeKey);
    if (found == this->firstAnswers.end())
        return reply->send(404, "text/plain", "no outcome is known\n");
    reply->send(200, "application/json", found->second);
}

} // namespace egret
