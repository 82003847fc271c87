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

/// Returns the audit record of a command without a result; `applyOnce` adds the result.
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
    const LogPosition monotonicPosition{ .term = position.term,
                                         .index = position.index,
                                         .time = this->time };
    return std::visit([&](const auto &body) { return this->applyCommand(monotonicPosition, body); },
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
                if constexpr (requires { this->answerQuery(body); })
                    return this->answerQuery(body);
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
    ControlSnapshot snapshot{ .operatorState = this->currentOperatorState,
                              .time = this->time,
                              .operators = this->currentOperators,
                              .audit = { this->auditLog.begin(), this->auditLog.end() },
                              .claims = this->claims.snapshot() };
    for (const auto &[name, environment] : this->environmentsByName)
        snapshot.environments.push_back(environment);
    for (const auto &[zone, index] : this->zoneChangeIndexes)
        snapshot.zoneChanges.push_back({ .zone = zone, .index = index });
    for (const std::string &key : this->requestKeysByAge)
        snapshot.results.push_back(this->resultsByRequestKey.at(key));
    return snapshot;
}

void ControlState::restore(const ControlSnapshot &snapshot)
{
    *this = ControlState{};
    this->time = snapshot.time;
    this->currentOperators = snapshot.operators;
    this->currentOperatorState = snapshot.operatorState;
    this->auditLog.assign(snapshot.audit.begin(), snapshot.audit.end());
    this->claims.restore(snapshot.claims);
    for (const EnvironmentState &environment : snapshot.environments)
        this->environmentsByName[environment.name] = environment;
    for (const ZoneChange &change : snapshot.zoneChanges)
        this->zoneChangeIndexes[change.zone] = change.index;
    for (const RequestResult &result : snapshot.results) {
        this->resultsByRequestKey[result.requestKey] = result;
        this->requestKeysByAge.push_back(result.requestKey);
    }
}

template <class Change> ControlResult ControlState::applyOnce(const AuditRecord &record,
                                                              const std::string &canonicalContent,
                                                              Change change)
{
    const std::string key = record.operatorName + "/" + record.requestId;
    const std::string digest =
            digestOf(record.action + "\n" + record.subject + "\n" + canonicalContent);
    if (const auto previous = this->resultsByRequestKey.find(key);
        previous != this->resultsByRequestKey.end())
        return previous->second.digest == digest ? previous->second.result
                                                 : refusal("request-id-reused");
    ControlResult result = change();
    this->resultsByRequestKey[key] =
            RequestResult{ .requestKey = key, .digest = digest, .result = result };
    this->requestKeysByAge.push_back(key);
    if (this->requestKeysByAge.size() > kMaxRequestResults) {
        this->resultsByRequestKey.erase(this->requestKeysByAge.front());
        this->requestKeysByAge.pop_front();
    }
    AuditRecord completed = record;
    completed.accepted = result.accepted;
    completed.reason = result.reason;
    completed.revision = result.revision;
    this->appendAudit(completed);
    return result;
}

void ControlState::appendAudit(const AuditRecord &record)
{
    this->auditLog.push_back(record);
    if (this->auditLog.size() > kMaxAuditRecords)
        this->auditLog.pop_front();
}

ControlResult ControlState::applyCommand(const LogPosition &position, const SubmitDocument &command)
{
    return this->applyOnce(auditOf(position, command, "submit", command.environment), command.text,
                           [&] { return this->storeTrialDocument(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const PromoteDocument &command)
{
    return this->applyOnce(auditOf(position, command, "promote", command.environment),
                           std::to_string(command.revision),
                           [&] { return this->promoteTrialDocument(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const ChangeOperators &command)
{
    return this->applyOnce(auditOf(position, command, "change-operators", ""), command.text,
                           [&] { return this->storeOperators(position, command); });
}

ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const AppendAuditRecord &command)
{
    AuditRecord record = command.record;
    record.index = position.index;
    record.time = position.time;
    this->appendAudit(record);
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

/// Replaces the stored text of the same name if the number of the new text is higher. A command
/// with an equal or lower number is accepted without a change, because resent and delayed
/// commands are normal.
ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const PutNumberedText &command)
{
    auto &texts = this->currentOperatorState.texts;
    auto current = std::ranges::find(texts, command.text.name, &NumberedText::name);
    if (current == texts.end() && texts.size() >= kMaxNames)
        return refusal("too-many-texts");
    if (current == texts.end()) {
        texts.push_back(command.text);
        current = std::prev(texts.end());
        this->currentOperatorState.index = position.index;
    } else if (command.text.number > current->number) {
        *current = command.text;
        this->currentOperatorState.index = position.index;
    }
    return ControlResult{ .accepted = true,
                          .revision = current->number,
                          .fence = fenceAt(position) };
}

ControlResult ControlState::applyCommand(const LogPosition &position, const SetZoneOut &command)
{
    if (command.isOut != this->isZoneOut(command.zone))
        this->changeZone(position, command.zone, command.isOut);
    return ControlResult{ .accepted = true, .fence = fenceAt(position) };
}

/// Changes the service of a zone unless the order was received before the zone's last change: such
/// an order is an old copy, and its caller has sent later ones. An order that asks for the state in
/// force is accepted without a change, because resent orders are normal.
ControlResult ControlState::applyCommand(const LogPosition &position,
                                         const ChangeZoneService &command)
{
    if (command.isOut != this->isZoneOut(command.zone)) {
        const auto changed = this->zoneChangeIndexes.find(command.zone);
        if (changed != this->zoneChangeIndexes.end() && changed->second > command.knownIndex)
            return refusal(kOutdatedOrder);
        if (changed == this->zoneChangeIndexes.end() && this->zoneChangeIndexes.size() >= kMaxNames)
            return refusal("too-many-zones");
        this->changeZone(position, command.zone, command.isOut);
    }
    return ControlResult{ .accepted = true, .fence = fenceAt(position) };
}

bool ControlState::isZoneOut(const std::string &zone) const
{
    return std::ranges::find(this->currentOperatorState.zonesOut, zone)
           != this->currentOperatorState.zonesOut.end();
}

void ControlState::changeZone(const LogPosition &position, const std::string &zone, bool isOut)
{
    auto &zones = this->currentOperatorState.zonesOut;
    if (isOut)
        zones.push_back(zone);
    else
        std::erase(zones, zone);
    this->currentOperatorState.index = position.index;
    this->zoneChangeIndexes[zone] = position.index;
}

/// Answers a query that was proposed as a command. A query doesn't change the state.
template <class Query>
ControlResult ControlState::applyCommand(const LogPosition &, const Query &command)
{
    return this->query(command).value_or(refusal("no-command"));
}

ControlResult ControlState::storeTrialDocument(const LogPosition &position,
                                               const SubmitDocument &command)
{
    const auto known = this->environmentsByName.find(command.environment);
    const std::uint64_t current =
            known == this->environmentsByName.end() ? 0 : known->second.trial.revision;
    if (current != command.expectedRevision)
        return refusal("revision-conflict", current);
    EnvironmentState &environment = this->environmentsByName[command.environment];
    environment.name = command.environment;
    environment.trial = StoredRevision{ .revision = ++environment.lastRevision,
                                        .fence = fenceAt(position),
                                        .text = command.text };
    return acceptance(environment.trial);
}

ControlResult ControlState::promoteTrialDocument(const LogPosition &position,
                                                 const PromoteDocument &command)
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

ControlResult ControlState::storeOperators(const LogPosition &position,
                                           const ChangeOperators &command)
{
    const std::uint64_t current = this->currentOperators.revision;
    if (current != command.expectedRevision)
        return refusal("revision-conflict", current);
    this->currentOperators = StoredRevision{ .revision = current + 1,
                                             .fence = fenceAt(position),
                                             .text = command.text };
    return acceptance(this->currentOperators);
}

ControlResult ControlState::answerQuery(const ReadOperators &) const
{
    if (this->currentOperators.revision == 0)
        return refusal("no-operators");
    ControlResult result = acceptance(this->currentOperators);
    result.text = this->currentOperators.text;
    return result;
}

ControlResult ControlState::answerQuery(const ReadNumberedText &query) const
{
    const auto &texts = this->currentOperatorState.texts;
    const auto found = std::ranges::find(texts, query.name, &NumberedText::name);
    if (found == texts.end())
        return refusal("none");
    return ControlResult{ .accepted = true, .revision = found->number, .text = found->text };
}

ControlResult ControlState::answerQuery(const ReadAudit &query) const
{
    nlohmann::json records = nlohmann::json::array();
    for (const AuditRecord &record : this->auditLog) {
        if (record.index > query.after && records.size() < query.limit)
            records.push_back(auditJson(record));
    }
    return ControlResult{ .accepted = true, .text = records.dump() };
}

std::optional<ControlSnapshot> decodeSnapshot(const std::string &bytes)
{
    if (auto snapshot = decode<ControlSnapshot>(bytes))
        return snapshot;
    const std::string noZoneChanges = std::string(sizeof(std::uint32_t), '\0');
    return decode<ControlSnapshot>(bytes + noZoneChanges);
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
    problem = documentError(document);
    if (!problem.empty())
        return std::nullopt;
    return document;
}

} // namespace egret
