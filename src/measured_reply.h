#pragma once

#include "http_server.h"
#include "service_levels.h"

namespace egret {

/// Wraps the reply to a request and records its measurements in `levels` when the
/// reply ends. As thread safe as the wrapped reply. Precondition: `levels` outlives the
/// returned reply.
HttpReplyPtr measuredReply(HttpReplyPtr inner, SharedServiceLevels &levels);

/// Current wall-clock time in whole minutes. Thread safe.
MinuteStamp currentMinute();

} // namespace egret
