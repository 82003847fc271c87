#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Operators allowed to use the administration API, as replicated by the control
/// quorum. The fence never decreases. Thread safe.
class Operators
{
public:
    /// Replaces the operators if `push` is valid and has a higher fence; true when
    /// replaced.
    bool apply(const OperatorsPush &push);

    /// The current operators; empty before the first push.
    std::optional<OperatorsPush> current();

    /// The operator with the bearer token of an Authorization header; empty when unknown.
    std::optional<OperatorRecord> identify(const std::string &authorization);

    /// True when the operator has a role that allows changes in the environment. Thread safe.
    static bool mayChange(const OperatorRecord &who, const std::string &environment);

    /// True when the operator may change operators and control instances. Thread safe.
    static bool mayAdminister(const OperatorRecord &who);

private:
    struct Table
    {
        OperatorsPush push;
        std::vector<OperatorRecord> records;
    };
    Guarded<Table, LockRank::environment> table;
};

/// Parses and checks the operators' JSON text. Returns nothing and sets `problem` to
/// the path and the fault when the text is invalid or has no administrator, because
/// nobody could change the operators then. Thread safe.
std::optional<OperatorsFile> parseOperators(const std::string &text, std::string &problem);

} // namespace egret
