#include "admin_api.h"

#include "burn_report.h"
#include "control_state.h"
#include "json_fields.h"

#include <charconv>

namespace egret {

namespace {

/// Longest wait for an answer of the control quorum.
constexpr Milliseconds kControlTimeout = 4s;
constexpr Seconds kRetryAfter = 1s;
/// Largest number of audit records in one answer.
constexpr std::uint32_t kAuditRecordsPerAnswer = 1000;

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
    }
    return parts;
}

/// Parses an ETag such as "7" (with the quotes) into a revision; empty when malformed.
std::optional<std::uint64_t> parseETag(const std::string &tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    std::uint64_t revision = 0;
    const char *end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, revision);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return revision;
}

std::string formatETag(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

/// Headers that a change of a document or of the operators must carry.
struct Precondition
{
    std::uint64_t revision{ 0 }; ///< If-Match: revision that the operator last read
    std::string requestId;       ///< Idempotency-Key: id of the change, the same in every resend
};

/// Reads the headers of a change. Answers with status 428 and returns empty when a header
/// is missing or malformed.
std::optional<Precondition> readPrecondition(const HttpRequest &request, HttpReply &reply)
{
    const auto revision = parseETag(headerValue(request.headers, "If-Match"));
    std::string requestId = headerValue(request.headers, "Idempotency-Key");
    if (revision && !requestId.empty())
        return Precondition{ .revision = *revision, .requestId = std::move(requestId) };
    sendProblem(reply, { .status = 428,
                         .reason = "precondition-required",
                         .detail = "If-Match and Idempotency-Key are needed" });
    return std::nullopt;
}

/// Returns the values of the pattern's {placeholders} in `path`; empty when `path` doesn't match.
std::optional<std::vector<std::string>> matchPattern(const std::string &pattern,
                                                     const std::string &path)
{
    const auto patternParts = splitPath(pattern);
    const auto pathParts = splitPath(path);
    if (patternParts.size() != pathParts.size())
        return std::nullopt;
    std::vector<std::string> parameters;
    for (std::size_t i = 0; i < patternParts.size(); ++i) {
        if (patternParts[i].starts_with("{"))
            parameters.push_back(pathParts[i]);
        else if (patternParts[i] != pathParts[i])
            return std::nullopt;
    }
    return parameters;
}

nlohmann::json upstreamJson(const Upstream &upstream, TimePoint now)
{
    const AgentRecord &record = upstream.record;
    return { { "agent", record.agent },
             { "zone", record.zone },
             { "kind", toJson(record.kind) },
             { "service", record.service },
             { "state", toJson(record.state) },
             { "servedVersion", record.servedVersion },
             { "heldVersion", record.heldVersion },
             { "inFlight", record.inFlight },
             { "limit", record.limit },
             { "ageMs",
               std::chrono::duration_cast<Milliseconds>(now - upstream.reportedAt).count() } };
}

} // namespace

AdminApi::AdminApi(std::string environment, Operators &operators,
                   ActiveEnvironment &activeEnvironment, SharedRoutingTable &routing,
                   ControlClient &control, SharedServiceLevels &serviceLevels,
                   InstanceReports &reports)
    : environment(std::move(environment)), operators(operators),
      activeEnvironment(activeEnvironment), routing(routing), control(control),
      serviceLevels(serviceLevels), reports(reports)
{}

const std::vector<AdminApi::Route> &AdminApi::routes()
{
    static const std::vector<Route> table = {
        { "GET", "/admin/v1/status", Access::anyOperator, &AdminApi::readStatus },
        { "GET", "/admin/v1/service-levels", Access::anyOperator, &AdminApi::readServiceLevels },
        { "GET", "/admin/v1/environments/{environment}/trial", Access::anyOperator,
          &AdminApi::readTrial },
        { "PUT", "/admin/v1/environments/{environment}/trial", Access::editor, &AdminApi::submit },
        { "GET", "/admin/v1/environments/{environment}/production", Access::anyOperator,
          &AdminApi::readProduction },
        { "GET", "/admin/v1/audit/{after}", Access::anyOperator, &AdminApi::readAudit },
        { "GET", "/admin/v1/operators", Access::administrator, &AdminApi::readOperators },
        { "PUT", "/admin/v1/operators", Access::administrator, &AdminApi::changeOperators },
        { "GET", "/admin/v1/members", Access::anyOperator, &AdminApi::readMembers },
        { "POST", "/admin/v1/members", Access::administrator, &AdminApi::addMember },
        { "DELETE", "/admin/v1/members/{folder}", Access::administrator, &AdminApi::removeMember },
        { "PUT", "/admin/v1/environments/{environment}/production", Access::editor,
          &AdminApi::promote },
    };
    return table;
}

std::vector<std::pair<std::string, std::string>> AdminApi::operations()
{
    std::vector<std::pair<std::string, std::string>> list;
    for (const Route &route : routes())
        list.emplace_back(route.method, route.pattern);
    return list;
}

void AdminApi::handle(const HttpRequest &request, const HttpReplyPtr &reply)
{
    // Step 1. Identify the operator. The operators come from the control quorum and are
    // unknown until the quorum first answers.
    if (!this->operators.current())
        return sendProblem(*reply, { .status = 503,
                                     .reason = "operators-unknown",
                                     .detail = "no operators have come from the control quorum yet",
                                     .retryAfter = kRetryAfter });
    const auto operatorRecord =
            this->operators.identify(headerValue(request.headers, "Authorization"));
    if (!operatorRecord)
        return sendProblem(*reply, { .status = 401,
                                     .reason = "unknown-operator",
                                     .detail = "the bearer token names no operator" });
    // Step 2. Find the operation and check the roles of the operator.
    for (const Route &route : routes()) {
        const auto parameters = matchPattern(route.pattern, request.path);
        if (!parameters || request.method != route.method)
            continue;
        const Call call{ .request = request,
                         .reply = reply,
                         .operatorRecord = *operatorRecord,
                         .parameters = *parameters };
        if (!isAllowed(route, *operatorRecord, *parameters))
            return this->auditRefusal(route, call);
        return (this->*route.handler)(call);
    }
    sendProblem(*reply, { .status = 404,
                          .reason = "unknown-path",
                          .detail = "the administration API has no such operation" });
}

bool AdminApi::isAllowed(const Route &route, const OperatorRecord &operatorRecord,
                         const std::vector<std::string> &parameters)
{
    if (route.access == Access::administrator)
        return Operators::mayAdminister(operatorRecord);
    return route.access == Access::anyOperator
           || Operators::mayChange(operatorRecord, parameters.front());
}

/// Refuses a request whose operator lacks the required role, and appends the refusal to the
/// audit log.
void AdminApi::auditRefusal(const Route &route, const Call &call)
{
    const AuditRecord record{ .operatorName = call.operatorRecord.name,
                              .action = std::string(route.method) + " " + route.pattern,
                              .subject = call.parameters.empty() ? "" : call.parameters.front(),
                              .requestId = headerValue(call.request.headers, "Idempotency-Key"),
                              .reason = "role-missing" };
    this->control.call(AppendAuditRecord{ .record = record }, kControlTimeout, [](const auto &) {});
    sendProblem(*call.reply, { .status = 403,
                               .reason = "role-missing",
                               .detail = "the operator's roles don't allow this" });
}

void AdminApi::submit(const Call &call)
{
    const auto precondition = readPrecondition(call.request, *call.reply);
    if (!precondition)
        return;
    std::string problem;
    const auto document = parseDocument(call.request.body, problem);
    if (document && document->environment != call.environment())
        problem = "$.environment: does not match the path";
    if (!document || document->environment != call.environment())
        return sendProblem(*call.reply,
                           { .status = 400, .reason = "bad-document", .detail = problem });
    this->applyChange(SubmitDocument{ .requestId = precondition->requestId,
                                      .operatorName = call.operatorRecord.name,
                                      .environment = call.environment(),
                                      .expectedRevision = precondition->revision,
                                      .text = call.request.body },
                      call.reply);
}

void AdminApi::promote(const Call &call)
{
    const auto precondition = readPrecondition(call.request, *call.reply);
    if (!precondition)
        return;
    const auto body = nlohmann::json::parse(call.request.body, nullptr, false);
    if (!body.is_object() || !body.contains("revision") || !body["revision"].is_number_unsigned())
        return sendProblem(*call.reply, { .status = 400,
                                          .reason = "malformed-body",
                                          .detail = "$.revision: a whole number is expected" });
    this->applyChange(PromoteDocument{ .requestId = precondition->requestId,
                                       .operatorName = call.operatorRecord.name,
                                       .environment = call.environment(),
                                       .expectedRevision = precondition->revision,
                                       .revision = body["revision"].get<std::uint64_t>() },
                      call.reply);
}

/// Sends a change to the control quorum and answers with the resulting revision.
void AdminApi::applyChange(ControlCommand command, const HttpReplyPtr &reply)
{
    this->control.call(std::move(command), kControlTimeout, [reply](const auto &result) {
        if (!result)
            return sendProblem(
                    *reply,
                    { .status = 504,
                      .reason = "control-unreachable",
                      .detail = "no answer from the control quorum; send again under the same key",
                      .retryAfter = kRetryAfter });
        if (!result->accepted)
            return sendProblem(*reply, { .status = 412,
                                         .reason = result->reason,
                                         .detail = "revision " + std::to_string(result->revision)
                                                   + " stands" });
        const nlohmann::json body = { { "revision", result->revision },
                                      { "epoch", result->fence.epoch },
                                      { "sequence", result->fence.sequence } };
        reply->send(200, "application/json", body.dump(),
                    { { "ETag", formatETag(result->revision) } });
    });
}

/// Sends a command to the control quorum and answers with the text of the result.
void AdminApi::replyWithText(ControlCommand command, const HttpReplyPtr &reply)
{
    this->control.call(std::move(command), kControlTimeout, [reply](const auto &result) {
        if (!result)
            return sendProblem(*reply, { .status = 504,
                                         .reason = "control-unreachable",
                                         .detail = "no answer from the control quorum",
                                         .retryAfter = kRetryAfter });
        if (!result->accepted)
            return sendProblem(*reply, { .status = 409,
                                         .reason = result->reason,
                                         .detail = "refused by the control quorum" });
        reply->send(200, "application/json", result->text.empty() ? "{}" : result->text,
                    { { "ETag", formatETag(result->revision) } });
    });
}

void AdminApi::readAudit(const Call &call)
{
    const std::string &text = call.parameters.front();
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    this->replyWithText(ReadAudit{ .after = after, .limit = kAuditRecordsPerAnswer }, call.reply);
}

void AdminApi::readOperators(const Call &call)
{
    this->replyWithText(ReadOperators{}, call.reply);
}

void AdminApi::changeOperators(const Call &call)
{
    const auto precondition = readPrecondition(call.request, *call.reply);
    if (!precondition)
        return;
    std::string problem;
    if (!parseOperators(call.request.body, problem))
        return sendProblem(*call.reply,
                           { .status = 400, .reason = "bad-operators", .detail = problem });
    this->applyChange(ChangeOperators{ .requestId = precondition->requestId,
                                       .operatorName = call.operatorRecord.name,
                                       .expectedRevision = precondition->revision,
                                       .text = call.request.body },
                      call.reply);
}

void AdminApi::readMembers(const Call &call)
{
    this->replyWithText(ReadMembers{}, call.reply);
}

void AdminApi::addMember(const Call &call)
{
    const auto body = nlohmann::json::parse(call.request.body, nullptr, false);
    if (!body.is_object() || !body.contains("endpoint") || !body["endpoint"].is_string())
        return sendProblem(*call.reply, { .status = 400,
                                          .reason = "malformed-body",
                                          .detail = "$.endpoint: an address is expected" });
    this->replyWithText(ChangeMember{ .operatorName = call.operatorRecord.name,
                                      .endpoint = body["endpoint"].get<std::string>() },
                        call.reply);
}

void AdminApi::removeMember(const Call &call)
{
    const std::string &text = call.parameters.front();
    std::uint64_t folder = 0;
    std::from_chars(text.data(), text.data() + text.size(), folder);
    this->replyWithText(ChangeMember{ .operatorName = call.operatorRecord.name, .folder = folder },
                        call.reply);
}

void AdminApi::readTrial(const Call &call)
{
    this->readStage(call, Stage::trial);
}

void AdminApi::readProduction(const Call &call)
{
    this->readStage(call, Stage::production);
}

void AdminApi::readStage(const Call &call, Stage stage)
{
    this->control.call(ReadDocument{ .environment = call.environment(), .stage = stage },
                       kControlTimeout, [reply = call.reply](const auto &result) {
                           if (!result)
                               return sendProblem(*reply,
                                                  { .status = 504,
                                                    .reason = "control-unreachable",
                                                    .detail = "no answer from the control quorum",
                                                    .retryAfter = kRetryAfter });
                           if (!result->accepted)
                               return sendProblem(*reply, { .status = 404,
                                                            .reason = result->reason,
                                                            .detail = "no such revision" });
                           reply->send(200, "application/json", result->text,
                                       { { "ETag", formatETag(result->revision) } });
                       });
}

void AdminApi::readServiceLevels(const Call &call)
{
    const nlohmann::json body = this->serviceLevels.with(
            [](ServiceLevels &counts) { return serviceLevelsJson(counts); });
    call.reply->send(200, "application/json", body.dump());
}

void AdminApi::readStatus(const Call &call)
{
    const TimePoint now = std::chrono::steady_clock::now();
    nlohmann::json body = { { "environment", this->environment },
                            { "upstreams", nlohmann::json::array() } };
    if (const auto revision = this->activeEnvironment.current()) {
        body["revision"] = revision->revision;
        body["weightsVersion"] = revision->document.weights.version;
        body["instances"] = this->reports.describe(revision->fence, now);
    }
    this->routing.with([&](RoutingTable &routingTable) {
        for (const auto &[agent, upstream] : routingTable.directory.upstreams())
            body["upstreams"].push_back(upstreamJson(upstream, now));
    });
    call.reply->send(200, "application/json", body.dump());
}

} // namespace egret
