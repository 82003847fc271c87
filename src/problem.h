#pragma once

#include "generated/messages.h"
#include "http_server.h"
#include "types.h"

#include <optional>
#include <string>

namespace egret {

/// A refusal or failure as callers see it (RFC 9457).
struct Problem
{
    int status{ 500 };
    std::string reason;                 ///< machine-readable
    std::string detail;                 ///< for people
    std::optional<ActionStatus> action; ///< what is known of a protected action
    std::optional<Seconds> retryAfter;
};

/// JSON body of a problem document. Thread safe.
std::string problemBody(const Problem &problem);

/// Answers with a problem document.
void sendProblem(HttpReply &reply, const Problem &problem);

} // namespace egret
