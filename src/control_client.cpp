#include "control_client.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kResendInterval = 400ms;
constexpr Milliseconds kTickPeriod = 50ms;
/// Reason of a refusal by an instance that does not lead; the call is resent to another one.
constexpr const char *kNotLeader = "not-leader";

} // namespace

ControlClient::ControlClient(WorkerPool &pool, std::vector<std::string> controls)
    : pool(pool), controls(std::move(controls))
{}

void ControlClient::attach(LinkHub &links)
{
    this->hub = &links;
    this->pool.every(kTickPeriod, [this] { this->tick(); });
}

void ControlClient::call(ControlCommand command, Milliseconds limit, Done done)
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::uint64_t id = 0;
    std::size_t target = 0;
    {
        const std::lock_guard lock(this->mutex);
        id = ++this->lastId;
        target = this->leader;
        this->calls[id] = Call{ .command = command,
                                .deadline = now + limit,
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
        const auto found = this->calls.find(reply.callId);
        if (found == this->calls.end())
            return;
        if (reply.result.reason == kNotLeader) {
            // Resend to the named leader at the next tick. Without a known leader, the regular
            // resend tries the next instance.
            const auto hint = std::ranges::find(this->controls, reply.result.leader);
            if (hint != this->controls.end()) {
                this->leader = static_cast<std::size_t>(hint - this->controls.begin());
                found->second.resendAt = TimePoint{};
            }
            return;
        }
        this->leader = found->second.target;
        done = std::move(found->second.done);
        this->calls.erase(found);
    }
    done(reply.result);
}

void ControlClient::sendCall(std::uint64_t id, const ControlCommand &command, std::size_t target)
{
    if (this->controls.empty())
        return;
    this->hub->send(this->controls[target % this->controls.size()], Channel::control,
                    ControlRequest{ .callId = id, .command = command });
}

void ControlClient::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<Done> expired;
    std::vector<std::tuple<std::uint64_t, ControlCommand, std::size_t>> resends;
    {
        const std::lock_guard lock(this->mutex);
        for (auto it = this->calls.begin(); it != this->calls.end();) {
            Call &call = it->second;
            if (now >= call.deadline) {
                expired.push_back(std::move(call.done));
                it = this->calls.erase(it);
                continue;
            }
            if (now >= call.resendAt) {
                // Resend to the known leader, or to the next instance if the leader was the target.
                call.target = call.target == this->leader ? this->leader + 1 : this->leader;
                if (call.resendAt == TimePoint{})
                    call.target = this->leader;
                else
                    this->leader = call.target % this->controls.size();
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
