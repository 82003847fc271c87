#include "problem.h"

#include <nlohmann/json.hpp>

namespace egret {

namespace {

const char *actionStatusText(ActionStatus actionStatus)
{
    switch (actionStatus) {
    case ActionStatus::notRun:
        return "not-run";
    case ActionStatus::run:
        return "run";
    case ActionStatus::running:
        return "running";
    case ActionStatus::notSent:
        return "not-sent";
    case ActionStatus::unknown:
        break;
    }
    return "unknown";
}

} // namespace

std::string problemBody(const Problem &problem)
{
    nlohmann::json body = { { "type", "urn:egretpulley:problem:" + problem.reason },
                            { "title", problem.reason },
                            { "status", problem.status },
                            { "detail", problem.detail },
                            { "reason", problem.reason } };
    if (problem.action)
        body["action"] = actionStatusText(*problem.action);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendProblem(HttpReply &reply, const Problem &problem)
{
    HttpHeaders headers;
    if (problem.retryAfter)
        headers.emplace_back("Retry-After", std::to_string(problem.retryAfter->count()));
    reply.send(problem.status, "application/problem+json", problemBody(problem), headers);
}

} // namespace egret
