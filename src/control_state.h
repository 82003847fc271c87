#pragma once

#include "claim_table.h"
#include "generated/document.h"
#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <string>

namespace egret {

/// Position of a command in the replicated log. `time` never decreases along the
/// log and is the only clock of the state.
struct LogPosition
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    Milliseconds time{ 0 };
};

/// Bound on the stored results of requests, kept for resends. A resend after its
/// result was dropped is refused by its expected revision, which never recurs.
inline constexpr std::size_t kMaxRequestResults = 16384;

/// Bound on the records of the audit log.
inline constexpr std::size_t kMaxAuditRecords = 16384;

/// State replicated by the control quorum: documents by environment and stage,
/// numbered texts, zones taken out of service, operators, the audit log and claims
/// on idempotency keys. Deterministic: the same commands at the same positions give
/// the same state and results. Not thread safe.
class ControlState
{
public:
    /// Applies one committed command and returns its result.
    ControlResult apply(const LogPosition &position, const ControlCommand &command);

    /// Answers a document query from the current state.
    ControlResult read(const ReadDocument &query) const;

    /// Answers any query from the current state; empty for a command other than a
    /// query.
    std::optional<ControlResult> query(const ControlCommand &command) const;

    /// Environments with a revision in the given stage.
    std::vector<std::string> environments(Stage stage) const;

    /// Current operators; revision 0 before the first ChangeOperators command.
    const StoredRevision &operators() const { return this->currentOperators; }

    /// Numbered texts and zones taken out of service.
    const OperatorState &operatorState() const { return this->operatorSettings; }

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
    template <class Query>
    ControlResult applyCommand(const LogPosition &position, const Query &command);

    ControlResult submit(const LogPosition &position, const SubmitDocument &command);
    ControlResult promote(const LogPosition &position, const PromoteDocument &command);
    ControlResult replaceOperators(const LogPosition &position, const ChangeOperators &command);

    template <class Change>
    ControlResult applyOnce(const AuditRecord &record, const std::string &content, Change change);
    void appendAudit(const AuditRecord &record);

    ControlResult answer(const ReadDocument &query) const { return this->read(query); }
    ControlResult answer(const ReadOperators &query) const;
    ControlResult answer(const ReadAudit &query) const;
    ControlResult answer(const ReadNumberedText &query) const;

    std::map<std::string, EnvironmentState> environmentsByName;
    StoredRevision currentOperators;
    OperatorState operatorSettings;
    ClaimTable claims;
    std::map<std::string, RequestResult> resultsByRequest;
    std::deque<std::string> requestOrder;
    std::deque<AuditRecord> auditLog;
    Milliseconds time{ 0 };
};

/// Parses and checks every field of a document. Returns nothing and sets `problem` to
/// the path and the fault when the text is invalid. Thread safe.
std::optional<EnvironmentDocument> parseDocument(const std::string &text, std::string &problem);

} // namespace egret
