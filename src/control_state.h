#pragma once

#include "claim_table.h"
#include "generated/document.h"
#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <string>

namespace egret {

/// Position of a command in the replicated log, with the time at which the command was
/// proposed. ControlState reads no clock; its time is the highest proposal time of the commands
/// applied until now.
struct LogPosition
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    Milliseconds time{ 0 };
};

/// Bound on the stored results of requests. A stored result answers a resend of the request.
/// After the result was dropped, a resend is still not applied twice: the request names an
/// expected revision, and the first application of the request has increased the revision.
inline constexpr std::size_t kMaxRequestResults = 16384;

/// Bound on the number of records in the audit log.
inline constexpr std::size_t kMaxAuditRecords = 16384;

/// Bound on the names of numbered texts and of availability zones whose service was changed, as the
/// state must fit into memory, snapshots and views.
inline constexpr std::size_t kMaxNames = 256;

/// State replicated by the control quorum: documents by environment and stage, numbered
/// texts, zones taken out of service, operators, the audit log and claims on idempotency
/// keys. A document is the configuration of one environment; its stage is trial or production, and
/// a document is submitted to trial and then promoted to production. A numbered text is a
/// configuration text with a name and a version number; the state keeps only the version with the
/// highest number. Deterministic: the same commands at the same positions give the same state and
/// results. Not thread safe.
class ControlState
{
public:
    /// Applies one committed command and returns its result.
    ControlResult apply(const LogPosition &position, const ControlCommand &command);

    /// Returns the document of an environment in a stage, from the current state.
    ControlResult read(const ReadDocument &query) const;

    /// Answers a query of any kind from the current state. Returns nothing when `command` is not
    /// a query.
    std::optional<ControlResult> query(const ControlCommand &command) const;

    /// Names of the environments that have a document in the given stage.
    std::vector<std::string> environments(Stage stage) const;

    /// Stored list of operators and their roles, with the revision of the list; the revision is 0
    /// before the first ChangeOperators command.
    const StoredRevision &operators() const { return this->currentOperators; }

    /// Settings made by operators, replicated as an OperatorState: numbered texts and zones taken
    /// out of service. The list of operators is not included.
    const OperatorState &operatorState() const { return this->currentOperatorState; }

    /// Returns the whole state.
    ControlSnapshot snapshot() const;

    /// Replaces the whole state.
    void restore(const ControlSnapshot &snapshot);

private:
    ControlResult applyCommand(const LogPosition &position, const SubmitDocument &command);
    ControlResult applyCommand(const LogPosition &position, const PromoteDocument &command);
    ControlResult applyCommand(const LogPosition &position, const ChangeOperators &command);
    ControlResult applyCommand(const LogPosition &position, const AppendAuditRecord &command);
    ControlResult applyCommand(const LogPosition &position, const OpenClaim &command);
    ControlResult applyCommand(const LogPosition &position, const FinishClaim &command);
    ControlResult applyCommand(const LogPosition &position, const PutNumberedText &command);
    ControlResult applyCommand(const LogPosition &position, const SetZoneOut &command);
    ControlResult applyCommand(const LogPosition &position, const ChangeZoneService &command);
    template <class Query>
    ControlResult applyCommand(const LogPosition &position, const Query &command);

    // The changes themselves. `applyCommand` of the same command runs the change under `applyOnce`.
    ControlResult storeTrialDocument(const LogPosition &position, const SubmitDocument &command);
    ControlResult promoteTrialDocument(const LogPosition &position, const PromoteDocument &command);
    ControlResult storeOperators(const LogPosition &position, const ChangeOperators &command);
    bool isZoneOut(const std::string &zone) const;
    void changeZone(const LogPosition &position, const std::string &zone, bool isOut);

    /// Runs `change` once for each request, and returns the stored result for a resend. `record`
    /// names the operator and the request id; `canonicalContent` is the rest of the request. A
    /// different request with a used request id is refused.
    template <class Change> ControlResult
    applyOnce(const AuditRecord &record, const std::string &canonicalContent, Change change);
    void appendAudit(const AuditRecord &record);

    // Each overload answers one kind of query for `query`, which accepts any command.
    ControlResult answerQuery(const ReadDocument &query) const { return this->read(query); }
    ControlResult answerQuery(const ReadOperators &query) const;
    ControlResult answerQuery(const ReadAudit &query) const;
    ControlResult answerQuery(const ReadNumberedText &query) const;

    std::map<std::string, EnvironmentState> environmentsByName;
    StoredRevision currentOperators;
    OperatorState currentOperatorState;
    /// Log index of the last change of each availability zone's service.
    std::map<std::string, std::uint64_t> zoneChangeIndexes;
    ClaimTable claims;
    std::map<std::string, RequestResult> resultsByRequestKey; ///< by operator and request id
    std::deque<std::string> requestKeysByAge;                 ///< oldest first
    std::deque<AuditRecord> auditLog;
    Milliseconds time{ 0 }; ///< highest proposal time of an applied command
};

/// Reason of a refusal of an order that names an older state than the one in force.
inline constexpr const char *kOutdatedOrder = "outdated-order";

/// Decodes a snapshot of this or an earlier release, which knew no changes of zones. Empty when
/// `bytes` is malformed. Thread safe.
std::optional<ControlSnapshot> decodeSnapshot(const std::string &bytes);

/// Parses a document and checks every field. When the text is invalid, returns nothing and
/// sets `problem` to the path of the invalid field and the error. Thread safe.
std::optional<EnvironmentDocument> parseDocument(const std::string &text, std::string &problem);

} // namespace egret
