#include "admission_queue.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Weights by priority; the lowest priority still gets its share.
constexpr double kPriorityWeights[] = { 16.0, 4.0, 1.0 };
constexpr std::uint32_t kLastPriority = std::size(kPriorityWeights) - 1;
constexpr double kRateSmoothing = 0.5;
constexpr Milliseconds kMinRetryAfter = 1s;
constexpr Milliseconds kMaxRetryAfter = 30s;
/// Flows kept before idle ones are removed, which scans all flows.
constexpr std::size_t kMaxIdleFlows = 1024;

Milliseconds toMilliseconds(double seconds)
{
    constexpr double kMaxSeconds = 3600.0;
    return std::chrono::duration_cast<Milliseconds>(
            std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

} // namespace

const char *refusalName(RefusalReason reason)
{
    return reason == RefusalReason::queueFull ? "queue-full" : "too-late";
}

std::vector<RefusedRequest> AdmissionQueue::push(const WaitingRequest &request, TimePoint now)
{
    this->updateDrainRate(now);
    std::vector<RefusedRequest> refused;
    const FlowKey key = this->keyOf(request);
    Flow &flow = this->flowOf(request);
    const double start = std::max(this->virtualTime, flow.finish);
    // Step 1. Refuse a request whose expected wait exceeds its deadline.
    const bool isLate =
            this->options.refuseEarly && now + this->expectedWait(start) > request.deadline;
    if (isLate) {
        refused.push_back({ .id = request.id,
                            .reason = RefusalReason::tooLate,
                            .retryAfter = this->retryAfter() });
        return refused;
    }
    // Step 2. Make room in a full queue.
    if (this->waiting >= this->options.length) {
        const auto evicted = this->evict(key);
        refused.push_back(evicted.value_or(RefusedRequest{ .id = request.id,
                                                           .reason = RefusalReason::queueFull,
                                                           .retryAfter = this->retryAfter() }));
        if (!evicted)
            return refused;
    }
    // Step 3. Queue the request behind the customer's other requests.
    flow.items.push_back({ .request = request, .start = start });
    flow.finish = start + 1.0 / flow.weight;
    ++this->waiting;
    return refused;
}

void AdmissionQueue::requeue(const WaitingRequest &request)
{
    Flow &flow = this->flowOf(request);
    const double start = flow.items.empty() ? this->virtualTime
                                            : std::min(this->virtualTime, flow.items.front().start);
    flow.items.push_front({ .request = request, .start = start });
    ++this->waiting;
    if (this->dequeuedInWindow > 0)
        --this->dequeuedInWindow;
}

std::optional<WaitingRequest> AdmissionQueue::next(TimePoint now)
{
    Flow *best = nullptr;
    for (auto &[key, flow] : this->flows) {
        const bool hasTurn =
                !flow.items.empty()
                && (best == nullptr || flow.items.front().start < best->items.front().start);
        if (hasTurn)
            best = &flow;
    }
    if (best == nullptr)
        return std::nullopt;
    this->updateDrainRate(now);
    const Item item = best->items.front();
    best->items.pop_front();
    this->virtualTime = std::max(this->virtualTime, item.start);
    --this->waiting;
    ++this->dequeuedInWindow;
    this->removeIdleFlows();
    return item.request;
}

std::vector<RefusedRequest> AdmissionQueue::expire(TimePoint now)
{
    this->updateDrainRate(now);
    std::vector<RefusedRequest> refused;
    for (auto &[key, flow] : this->flows) {
        std::erase_if(flow.items, [&](const Item &item) {
            const bool isLate = now >= item.request.deadline;
            if (isLate)
                refused.push_back({ .id = item.request.id,
                                    .reason = RefusalReason::tooLate,
                                    .retryAfter = this->retryAfter() });
            return isLate;
        });
    }
    this->waiting -= refused.size();
    return refused;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    for (auto &[key, flow] : this->flows) {
        const auto found =
                std::ranges::find(flow.items, id, [](const Item &item) { return item.request.id; });
        if (found == flow.items.end())
            continue;
        flow.items.erase(found);
        --this->waiting;
        return true;
    }
    return false;
}

AdmissionQueue::FlowKey AdmissionQueue::keyOf(const WaitingRequest &request) const
{
    if (!this->options.fair)
        return {};
    return { std::min(request.priority, kLastPriority), request.customer };
}

AdmissionQueue::Flow &AdmissionQueue::flowOf(const WaitingRequest &request)
{
    const FlowKey key = this->keyOf(request);
    Flow &flow = this->flows[key];
    if (this->options.fair)
        flow.weight = kPriorityWeights[key.first] * std::max<std::uint32_t>(1, request.share);
    return flow;
}

std::size_t AdmissionQueue::countAhead(double start) const
{
    std::size_t count = 0;
    for (const auto &[key, flow] : this->flows) {
        count += static_cast<std::size_t>(std::ranges::count_if(
                flow.items, [start](const Item &item) { return item.start <= start; }));
    }
    return count;
}

Milliseconds AdmissionQueue::expectedWait(double start) const
{
    if (this->drainedPerSecond <= 0 || this->waiting == 0)
        return 0ms;
    return toMilliseconds(static_cast<double>(this->countAhead(start)) / this->drainedPerSecond);
}

Milliseconds AdmissionQueue::retryAfter() const
{
    if (this->drainedPerSecond <= 0)
        return kMinRetryAfter;
    const Milliseconds drain =
            toMilliseconds(static_cast<double>(this->waiting) / this->drainedPerSecond);
    return std::clamp(drain, kMinRetryAfter, kMaxRetryAfter);
}

/// Removes and returns the newest request of the flow furthest over its share;
/// empty when that is the flow of the arriving request.
std::optional<RefusedRequest> AdmissionQueue::evict(const FlowKey &arriving)
{
    const auto excess = [](const Flow &flow, std::size_t more) {
        return static_cast<double>(flow.items.size() + more) / flow.weight;
    };
    auto worst = this->flows.find(arriving);
    double most = excess(worst->second, 1);
    for (auto it = this->flows.begin(); it != this->flows.end(); ++it) {
        if (it->first != arriving && excess(it->second, 0) > most) {
            most = excess(it->second, 0);
            worst = it;
        }
    }
    if (worst->first == arriving)
        return std::nullopt;
    Flow &flow = worst->second;
    const Item evicted = flow.items.back();
    flow.items.pop_back();
    flow.finish = evicted.start;
    --this->waiting;
    return RefusedRequest{ .id = evicted.request.id,
                           .reason = RefusalReason::queueFull,
                           .retryAfter = this->retryAfter() };
}

/// Updates the drain rate over windows in which the queue was never empty.
void AdmissionQueue::updateDrainRate(TimePoint now)
{
    if (this->waiting == 0) {
        this->windowStart = now;
        this->dequeuedInWindow = 0;
        return;
    }
    const std::chrono::duration<double> length = now - this->windowStart;
    if (length < this->options.rateWindow)
        return;
    const double measured = this->dequeuedInWindow / length.count();
    this->drainedPerSecond =
            this->drainedPerSecond <= 0
                    ? measured
                    : this->drainedPerSecond + kRateSmoothing * (measured - this->drainedPerSecond);
    this->windowStart = now;
    this->dequeuedInWindow = 0;
}

void AdmissionQueue::removeIdleFlows()
{
    if (this->flows.size() <= kMaxIdleFlows)
        return;
    std::erase_if(this->flows, [this](const auto &entry) {
        return entry.second.items.empty() && entry.second.finish <= this->virtualTime;
    });
}

} // namespace egret
