#include "control_client.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kResendInterval = 400ms;
constexpr Milliseconds kTickPeriod = 50ms;
/// Reason of a refusal by an instance that does not lead.
constexpr const char *kNotLeader = "not-leader";

} // namespace

ControlClient::ControlClient(WorkerPool &pool, std::vector<std::string> controlEndpoints)
    : pool(pool), controlEndpoints(std::move(controlEndpoints))
{}

void ControlClient::attach(LinkHub &hub)
{
    this->hub = &hub;
    this->pool.every(kTickPeriod, [this] { this->tick(); });
}

void ControlClient::call(ControlCommand command, Milliseconds timeout, Done done)
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::uint64_t id = 0;
    std::size_t target = 0;
    {
        const std::lock_guard lock(this->mutex);
        id = ++this->lastId;
        target = this->leaderIndex;
        this->pendingCalls[id] = Call{ .command = command,
                                       .deadline = now + timeout,
                                       .resendAt = now + kResendInterval,
                                       .target = target,
                                       .done = std::move(done) };
    }
    this->sendCall(id, command, target);
}

void ControlClient::onReply(const ControlReply &reply)
{
    Done done;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pendingCalls.find(reply.callId);
        if (found == this->pendingCalls.end())
            return;
        if (reply.result.reason == kNotLeader) {
            // When the reply names the leader, resend to the leader at the next tick. Otherwise
            // the resend at `resendAt` tries the next instance.
            const auto namedLeader = std::ranges::find(this->controlEndpoints, reply.result.leader);
            if (namedLeader != this->controlEndpoints.end()) {
                this->leaderIndex =
                        static_cast<std::size_t>(namedLeader - this->controlEndpoints.begin());
                found->second.resendAt = TimePoint{};
            }
            return;
        }
        this->leaderIndex = found->second.target;
        done = std::move(found->second.done);
        this->pendingCalls.erase(found);
    }
    done(reply.result);
}

void ControlClient::sendCall(std::uint64_t id, const ControlCommand &command, std::size_t target)
{
    if (this->controlEndpoints.empty())
        return;
    this->hub->send(this->controlEndpoints[target % this->controlEndpoints.size()],
                    Channel::control, ControlRequest{ .callId = id, .command = command });
}

void ControlClient::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<Done> expired;
    std::vector<std::tuple<std::uint64_t, ControlCommand, std::size_t>> resends;
    {
        const std::lock_guard lock(this->mutex);
        for (auto it = this->pendingCalls.begin(); it != this->pendingCalls.end();) {
            Call &call = it->second;
            if (now >= call.deadline) {
                expired.push_back(std::move(call.done));
                it = this->pendingCalls.erase(it);
                continue;
            }
            if (now >= call.resendAt) {
                // Resend to the instance that is assumed to lead. If the command was last sent to
                // the same instance, try the next instance, unless a reply has just named the
                // leader and set `resendAt` to zero.
                call.target = call.target == this->leaderIndex ? this->leaderIndex + 1
                                                               : this->leaderIndex;
                if (call.resendAt == TimePoint{})
                    call.target = this->leaderIndex;
                else
                    this->leaderIndex = call.target % this->controlEndpoints.size();
                call.resendAt = now + kResendInterval;
                resends.emplace_back(it->first, call.command, call.target);
            }
            ++it;
        }
    }
    for (const auto &[id, command, target] : resends)
        this->sendCall(id, command, target);
    for (const auto &done : expired)
        done(std::nullopt);
}

} // namespace egret
