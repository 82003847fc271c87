#include "operators.h"

#include "digest.h"
#include "json_fields.h"
#include "log.h"

#include <algorithm>
#include <tuple>

namespace egret {

bool Operators::apply(const OperatorsPush &push)
{
    std::string problem;
    const auto file = parseOperators(push.text, problem);
    if (!file) {
        logError("pushed operators are malformed", { { "problem", problem } });
        return false;
    }
    const bool replaced = this->table.with([&](Table &current) {
        if (current.push.revision > 0
            && std::tie(push.fence.epoch, push.fence.sequence)
                       <= std::tie(current.push.fence.epoch, current.push.fence.sequence))
            return false;
        current = Table{ .push = push, .records = file->operators };
        return true;
    });
    if (replaced)
        logInfo("operators are in force", { { "revision", push.revision } });
    return replaced;
}

std::optional<OperatorsPush> Operators::current()
{
    return this->table.with([](const Table &current) {
        return current.push.revision > 0 ? std::optional(current.push) : std::nullopt;
    });
}

std::optional<OperatorRecord> Operators::identify(const std::string &authorization)
{
    static constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return std::nullopt;
    const std::string digest = digestOf(std::string_view(authorization).substr(scheme.size()));
    return this->table.with([&](const Table &current) {
        std::optional<OperatorRecord> match;
        // Compares every record; otherwise the response time would reveal which record matched.
        for (const OperatorRecord &record : current.records) {
            if (equalConstantTime(record.tokenDigest, digest))
                match = record;
        }
        return match;
    });
}

bool Operators::mayChange(const OperatorRecord &operatorRecord, const std::string &environment)
{
    return std::ranges::any_of(operatorRecord.grants, [&](const OperatorGrant &grant) {
        return grant.environment == environment && grant.role != OperatorRole::viewer;
    });
}

bool Operators::mayAdminister(const OperatorRecord &operatorRecord)
{
    return std::ranges::any_of(operatorRecord.grants, [](const OperatorGrant &grant) {
        return grant.role == OperatorRole::administrator;
    });
}

std::optional<OperatorsFile> parseOperators(const std::string &text, std::string &problem)
{
    JsonProblem malformed;
    const auto json = parseJson(text, malformed);
    if (!json) {
        problem = malformed.text();
        return std::nullopt;
    }
    OperatorsFile file;
    JsonReader reader;
    if (!reader.read(*json, file)) {
        problem = reader.problem.text();
        return std::nullopt;
    }
    if (std::ranges::none_of(file.operators, Operators::mayAdminister)) {
        problem = "$.operators: an administrator is needed";
        return std::nullopt;
    }
    return file;
}

} // namespace egret
