#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Table of the operators that may use the administration API. The control quorum replicates the
/// operators and pushes them to the instances. A push is ignored unless its fence is higher than
/// the fence of the current operators. Thread safe.
class Operators
{
public:
    /// Replaces the operators if `push` is valid and has a higher fence than the current
    /// operators. Returns true when the operators were replaced.
    bool apply(const OperatorsPush &push);

    /// Returns the current operators; empty before the first push.
    std::optional<OperatorsPush> current();

    /// Returns the operator whose bearer token is in the Authorization header; empty when the
    /// header has no bearer token or the token is unknown.
    std::optional<OperatorRecord> identify(const std::string &authorization);

    /// True when the operator's role in the environment allows changes. Thread safe.
    static bool mayChange(const OperatorRecord &operatorRecord, const std::string &environment);

    /// True when the operator may change operators and control instances. Thread safe.
    static bool mayAdminister(const OperatorRecord &operatorRecord);

private:
    struct Table
    {
        OperatorsPush push;
        std::vector<OperatorRecord> records;
    };
    Guarded<Table, LockRank::environment> table;
};

/// Parses and checks the JSON text that lists the operators. When the text is invalid, returns
/// nothing and sets `problem` to the path of the invalid field and the error. A text without
/// an administrator is invalid, because nobody could change the operators any more. Thread
/// safe.
std::optional<OperatorsFile> parseOperators(const std::string &text, std::string &problem);

} // namespace egret
