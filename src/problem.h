#pragma once

#include "generated/messages.h"
#include "http_server.h"
#include "types.h"

#include <optional>
#include <string>

namespace egret {

/// A refused or failed request as reported to the client (RFC 9457).
struct Problem
{
    int status{ 500 };
    std::string reason;                 ///< machine-readable name of the cause
    std::string detail;                 ///< explanation for people
    std::optional<ActionStatus> action; ///< known status of a protected action
    std::optional<Seconds> retryAfter;
};

/// JSON body of a problem document. Thread safe.
std::string problemBody(const Problem &problem);

/// Answers a request with a problem document.
void sendProblem(HttpReply &reply, const Problem &problem);

} // namespace egret
