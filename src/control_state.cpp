#include "control_state.h"

#include "digest.h"
#include "document_check.h"
#include "json_fields.h"

#include <algorithm>

namespace egret {

namespace {

ControlResult refusal(std::string reason, std::uint64_t revision = 0)
{
    return ControlResult{ .accepted = false, .reason = std::move(reason), .revision = revision };
}

ControlResult acceptance(const StoredRevision &stored)
{
    return ControlResult{ .accepted = true, .revision = stored.revision, .fence = stored.fence };
}

Fence fenceAt(const LogPosition &position)
{
    return Fence{ .epoch = position.term, .sequence = position.index };
}

/// Audit record of a command; `applyOnce` fills in what came of it.
template <class Command> AuditRecord auditOf(const LogPosition &position, const Command &command,
                                             std::string action, std::string subject)
{
    return AuditRecord{ .index = position.index,
                        .time = position.time,
                        .operatorName = command.operatorName,
                        .action = std::move(action),
                        .subject = std::move(subject),
                        .requestId = command.requestId };
}

nlohmann::json auditJson(const AuditRecord &record)
{
    return { { "index", record.index },           { "timeMs", record.time.count() },
             { "operator", record.operatorName }, { "action", record.action },
             { "subject", record.subject },       { "requestId", record.requestId },
             { "accepted", record.accepted },     { "reason", record.reason },
             { "revision", record.revision } };
}

} // namespace

ControlResult ControlState::apply(const LogPosition &position, const ControlCommand &command)
{
    this->time = std::max(this->time, position.time);
    const LogPosition monotonic{ .term = position.term,
                                 .index = position.index,
                                 .time = this->time };
    return std::visit([&](const auto &body) { return this->applyCommand(monotonic, body); },
                      command);
}

ControlResult ControlState::read(const ReadDocument &query) const
{
    const auto environment = this->environmentsByName.find(query.environment);
    if (environment == this->environmentsByName.end())
        return refusal("unknown-environment");
    const StoredRevision &stored = query.stage == Stage::trial ? environment->second.trial
                                                               : environment->second.production;
    if (stored.revision == 0)
        return refusal("no-revision");
    ControlResult result = acceptance(stored);
    result.text = stored.text;
    return result;
}

std::optional<ControlResult> ControlState::query(const ControlCommand &command) const
{
    return std::visit(
            [this](const auto &body) -> std::optional<ControlResult> {
                if constexpr (requires { this->answer(body); })
                    return this->answer(body);
                else
                    return std::nullopt;
            },
            command);
}

std::vector<std::string> ControlState::environments(Stage stage) const
{
    std::vector<std::string> names;
    for (const auto &[name, environment] : this->environmentsByName) {
        const StoredRevision &stored =
                stage == Stage::trial ? environment.trial : environment.production;
        if (stored.revision > 0)
            names.push_back(name);
    }
    return names;
}

ControlSnapshot ControlState::snapshot() const
{
    ControlSnapshot snapshot{ .operatorState = this->operatorWords,
                              .time = this->time,
                              .operators = this->operatorsInForce,
                              .audit = { this->auditLog.begin(), this->auditLog.end() },
                              .claims = this->claims.snapshot() };
    for (const auto &[name, environment] : this->environmentsByName)
        snapshot.environments.push_back(environment);
    for (const std::string &key : this->requestOrder)
        snapshot.results.push_back(this->resultsByRequest.at(key));
    return snapshot;
}

void ControlState::restore(const ControlSnapshot &snapshot)
{
    *this = ControlState{};
    this->time = snapshot.time;
    this->operatorsInForce = snapshot.operators;
    this->operatorWords = snapshot.operatorState;
    this->auditLog.assign(snapshot.audit.begin(), snapshot.audit.end());
    this->claims.restore(snapshot.claims);
    for (const EnvironmentState &environment : snapshot.environments)
        this->environmentsByName[environment.name] = environment;
    for (const RequestResult &result : snapshot.results) {
        this->resultsByRequest[result.requestKey] = result;
        this->requestOrder.push_back(result.requestKey);
    }
}

/// Runs a change unless its request id is known; then its first answer stands.
template <class Change> ControlResult
ControlState::applyOnce(const AuditRecord &record, const std::string &content, Change change)
{
    const std::string key = record.operatorName + "/" + record.requestId;
    const std::string digest = digestOf(record.action + "\n" + record.subject + "\n" + content);
    if (const auto before = this->resultsByRequest.find(key);
        before != this->resultsByRequest.end())
        return before->second.digest == digest ? before->second.result
                                               : refusal("request-id-reused");
    ControlResult result = change();
    this->resultsByRequest[key] =
            RequestResult{ .requestKey = key, .digest = digest, .result = result };
    this->requestOrder.push_back(key);
    if (this->requestOrder.size() > kRequestResultsKept) {
        this->resultsByRequest.erase(this->requestOrder.front());
        this->requestOrder.pop_front();
    }
    AuditRecord noted = record;
    noted.accepted = result.accepted;
    noted.reason = result.reason;
    noted.revision = result.revision;
    this->note(noted);
    return result;
}

void ControlState::note(const AuditRecord &record)
{
    this->auditLog.push_back(record);
    if (this->auditLog.size() > kAuditRecordsKept)
        this->auditLog.pop_front();
}

ControlResult ControlState::applyCommand(const LogPosition &position, const SubmitDocument &command)
{
    return this->applyOnce(auditOf(position, command, "submit", command.environment), command.text,
                           [&] { return this->submit(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const PromoteDocument &command)
{
    return this->applyOnce(auditOf(position, command, "promote", command.environment),
                           std::to_string(command.revision),
                           [&] { return this->promote(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const ChangeOperators &command)
{
    return this->applyOnce(auditOf(position, command, "change-operators", ""), command.text,
                           [&] { return this->replaceOperators(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const AppendAuditRecord &command)
{
    AuditRecord record = command.record;
    record.index = position.index;
    record.time = position.time;
    this->note(record);
    return ControlResult{ .accepted = true };
}

ControlResult ControlState::applyCommand(const LogPosition &position, const OpenClaim &command)
{
    return this->claims.open(position.index, command);
}

ControlResult ControlState::applyCommand(const LogPosition &, const FinishClaim &command)
{
    return this->claims.finish(command);
}

/// The highest number stands; the same or a lower one is accepted and changes
/// nothing, so that resends and late arrivals are harmless.
ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const PutNumberedText &command)
{
    auto &texts = this->operatorWords.texts;
    auto standing = std::ranges::find(texts, command.text.name, &NumberedText::name);
    if (standing == texts.end()) {
        texts.push_back(command.text);
        standing = std::prev(texts.end());
        this->operatorWords.index = position.index;
    } else if (command.text.number > standing->number) {
        *standing = command.text;
        this->operatorWords.index = position.index;
    }
    return ControlResult{ .accepted = true,
                          .revision = standing->number,
                          .fence = fenceAt(position) };
}

ControlResult ControlState::applyCommand(const LogPosition &position, const SetZoneOut &command)
{
    auto &zones = this->operatorWords.zonesOut;
    const auto found = std::ranges::find(zones, command.zone);
    const bool isOut = found != zones.end();
    if (command.isOut && !isOut)
        zones.push_back(command.zone);
    else if (!command.isOut && isOut)
        zones.erase(found);
    if (command.isOut != isOut)
        this->operatorWords.index = position.index;
    return ControlResult{ .accepted = true, .fence = fenceAt(position) };
}

/// A query in the log changes nothing.
template <class Query>
ControlResult ControlState::applyCommand(const LogPosition &, const Query &command)
{
    return this->query(command).value_or(refusal("no-command"));
}

ControlResult ControlState::submit(const LogPosition &position, const SubmitDocument &command)
{
    const auto known = this->environmentsByName.find(command.environment);
    const std::uint64_t standing =
            known == this->environmentsByName.end() ? 0 : known->second.trial.revision;
    if (standing != command.expectedRevision)
        return refusal("revision-conflict", standing);
    EnvironmentState &environment = this->environmentsByName[command.environment];
    environment.name = command.environment;
    environment.trial = StoredRevision{ .revision = ++environment.lastRevision,
                                        .fence = fenceAt(position),
                                        .text = command.text };
    return acceptance(environment.trial);
}

ControlResult ControlState::promote(const LogPosition &position, const PromoteDocument &command)
{
    const auto known = this->environmentsByName.find(command.environment);
    if (known == this->environmentsByName.end())
        return refusal("unknown-environment");
    EnvironmentState &environment = known->second;
    if (environment.production.revision != command.expectedRevision)
        return refusal("revision-conflict", environment.production.revision);
    if (environment.trial.revision != command.revision || command.revision == 0)
        return refusal("not-the-trial-revision", environment.trial.revision);
    if (environment.production.revision == command.revision)
        return acceptance(environment.production);
    environment.production = environment.trial;
    environment.production.fence = fenceAt(position);
    return acceptance(environment.production);
}

ControlResult ControlState::replaceOperators(const LogPosition &position,
                                             const ChangeOperators &command)
{
    const std::uint64_t standing = this->operatorsInForce.revision;
    if (standing != command.expectedRevision)
        return refusal("revision-conflict", standing);
    this->operatorsInForce = StoredRevision{ .revision = standing + 1,
                                             .fence = fenceAt(position),
                                             .text = command.text };
    return acceptance(this->operatorsInForce);
}

ControlResult ControlState::answer(const ReadOperators &) const
{
    if (this->operatorsInForce.revision == 0)
        return refusal("no-operators");
    ControlResult result = acceptance(this->operatorsInForce);
    result.text = this->operatorsInForce.text;
    return result;
}

ControlResult ControlState::answer(const ReadNumberedText &query) const
{
    const auto &texts = this->operatorWords.texts;
    const auto found = std::ranges::find(texts, query.name, &NumberedText::name);
    if (found == texts.end())
        return refusal("none");
    return ControlResult{ .accepted = true, .revision = found->number, .text = found->text };
}

ControlResult ControlState::answer(const ReadAudit &query) const
{
    nlohmann::json records = nlohmann::json::array();
    for (const AuditRecord &record : this->auditLog) {
        if (record.index > query.after && records.size() < query.limit)
            records.push_back(auditJson(record));
    }
    return ControlResult{ .accepted = true, .text = records.dump() };
}

std::optional<EnvironmentDocument> parseDocument(const std::string &text, std::string &problem)
{
    JsonProblem malformed;
    const auto json = parseJson(text, malformed);
    if (!json) {
        problem = malformed.text();
        return std::nullopt;
    }
    EnvironmentDocument document;
    JsonReader reader;
    if (!reader.read(*json, document)) {
        problem = reader.problem.text();
        return std::nullopt;
    }
    problem = documentFault(document);
    if (!problem.empty())
        return std::nullopt;
    return document;
}

} // namespace egret
