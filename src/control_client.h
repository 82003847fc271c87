#pragma once

#include "link.h"

#include <functional>
#include <map>
#include <mutex>
#include <random>

namespace egret {

/// Sends commands to the leader among the control instances and resends after a lost
/// reply; commands are idempotent by their request id or opener. Thread safe.
class ControlClient
{
public:
    using Done = std::function<void(const std::optional<ControlResult> &)>;

    /// `controls` are the link addresses of the control instances.
    ControlClient(WorkerPool &pool, std::vector<std::string> controls);

    /// Sets the hub that sends the requests; call once, before `call`.
    void attach(LinkHub &hub);

    /// Runs a command. `done` receives the result, or nothing when no control instance
    /// sent one within `limit`.
    void call(ControlCommand command, Milliseconds limit, Done done);

    /// Processes a reply received on a link.
    void onReply(const ControlReply &reply);

private:
    struct Call
    {
        ControlCommand command;
        TimePoint deadline;
        TimePoint resendAt;
        std::size_t target{ 0 };
        Done done;
    };

    void sendCall(std::uint64_t id, const ControlCommand &command, std::size_t target);
    void tick();

    WorkerPool &pool;
    std::vector<std::string> controls;
    LinkHub *hub{ nullptr };
    std::mutex mutex;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastId{ 0 };
    std::size_t leader{ 0 };
};

} // namespace egret
