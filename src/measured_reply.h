#pragma once

#include "http_server.h"
#include "service_levels.h"

namespace egret {

/// Wraps the reply `inner` to a request and records the measurements of the request in `levels`
/// when the reply ends. As thread safe as `inner`. Precondition: `levels` outlives the
/// returned reply.
HttpReplyPtr measuredReply(HttpReplyPtr inner, SharedServiceLevels &levels);

/// Current wall-clock time in whole minutes. Thread safe.
MinuteStamp currentMinute();

} // namespace egret
