#pragma once

#include "link.h"

#include <functional>
#include <map>
#include <mutex>
#include <random>

namespace egret {

/// Sends commands to the leader of the control quorum, and resends a command when the reply
/// is lost. A resend is safe because the request id, or the opener of a claim, makes every
/// command idempotent. Thread safe.
class ControlClient
{
public:
    /// Receives the result of a command, or nothing after a timeout. Called once.
    using Done = std::function<void(const std::optional<ControlResult> &)>;

    /// `controlEndpoints` are the link addresses of the control instances.
    ControlClient(WorkerPool &pool, std::vector<std::string> controlEndpoints);

    /// Sets the link hub that sends the commands. Call once, before `call`.
    void attach(LinkHub &hub);

    /// Sends a command and calls `done` with the result, or with nothing when no result
    /// arrives within `timeout`.
    void call(ControlCommand command, Milliseconds timeout, Done done);

    /// Processes a control instance's reply.
    void onReply(const ControlReply &reply);

private:
    struct Call
    {
        ControlCommand command;
        TimePoint deadline;
        TimePoint resendAt; ///< zero: resend at the next tick to the leader named in a reply
        /// Instance that the command was last sent to, as an index in `controlEndpoints`, modulo
        /// its size.
        std::size_t target{ 0 };
        Done done;
    };

    void sendCall(std::uint64_t id, const ControlCommand &command, std::size_t target);
    void tick();

    WorkerPool &pool;
    std::vector<std::string> controlEndpoints;
    LinkHub *hub{ nullptr };
    std::mutex mutex;
    std::map<std::uint64_t, Call> pendingCalls; ///< by call id
    std::uint64_t lastId{ 0 };
    /// Instance that is assumed to lead, as an index in `controlEndpoints`.
    std::size_t leaderIndex{ 0 };
};

} // namespace egret
