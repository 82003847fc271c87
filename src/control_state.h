#pragma once

#include "claim_table.h"
#include "generated/document.h"
#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <string>

namespace egret {

/// Place of a command in the replicated log. `time` never goes back along the
/// log; it is the only clock that the state knows.
struct LogPosition
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    Milliseconds time{ 0 };
};

/// Most first answers that are kept for resends. A resend of a change that was
/// dropped is refused by its expected revision, which never stands again.
inline constexpr std::size_t kRequestResultsKept = 16384;

/// Most records of the audit log that are kept.
inline constexpr std::size_t kAuditRecordsKept = 16384;

/// The state that the control quorum replicates: documents by environment and
/// stage, numbered texts, zones taken out, operators, the audit log and claims
/// on idempotency keys.
/// Deterministic: the same commands at the same positions give the same state
/// and results. Not thread safe.
class ControlState
{
public:
    /// Applies one committed command and returns its result.
    ControlResult apply(const LogPosition &position, const ControlCommand &command);

    /// Answers a query from the state as it stands.
    ControlResult read(const ReadDocument &query) const;

    /// Answers any query from the state as it stands; empty for a command that
    /// is no query.
    std::optional<ControlResult> query(const ControlCommand &command) const;

    /// Environments with a revision in the given stage.
    std::vector<std::string> environments(Stage stage) const;

    /// Operators in force; revision 0 before the first.
    const StoredRevision &operators() const { return this->operatorsInForce; }

    /// Numbered texts and zones taken out.
    const OperatorState &operatorState() const { return this->operatorWords; }

    /// The whole state, for a snapshot.
    ControlSnapshot snapshot() const;

    /// Replaces the whole state by that of a snapshot.
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
    template <class Query>
    ControlResult applyCommand(const LogPosition &position, const Query &command);

    ControlResult submit(const LogPosition &position, const SubmitDocument &command);
    ControlResult promote(const LogPosition &position, const PromoteDocument &command);
    ControlResult replaceOperators(const LogPosition &position, const ChangeOperators &command);

    template <class Change>
    ControlResult applyOnce(const AuditRecord &record, const std::string &content, Change change);
    void note(const AuditRecord &record);

    ControlResult answer(const ReadDocument &query) const { return this->read(query); }
    ControlResult answer(const ReadOperators &query) const;
    ControlResult answer(const ReadAudit &query) const;
    ControlResult answer(const ReadNumberedText &query) const;

    std::map<std::string, EnvironmentState> environmentsByName;
    StoredRevision operatorsInForce;
    OperatorState operatorWords;
    ClaimTable claims;
    std::map<std::string, RequestResult> resultsByRequest;
    std::deque<std::string> requestOrder;
    std::deque<AuditRecord> auditLog;
    Milliseconds time{ 0 };
};

/// Checks a document's text to its last field; empty with the path and the
/// fault when it is refused. Thread safe.
std::optional<EnvironmentDocument> parseDocument(const std::string &text, std::string &problem);

} // namespace egret
