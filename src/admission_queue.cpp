#include "admission_queue.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Weights of the priorities, the most urgent first. No weight is zero, because the lowest
/// priority must not starve.
constexpr double kPriorityWeights[] = { 16.0, 4.0, 1.0 };
constexpr std::uint32_t kLastPriority = std::size(kPriorityWeights) - 1;
/// Weight of the newest window in the moving average of the drain rate.
constexpr double kRateSmoothing = 0.5;
constexpr Milliseconds kMinRetryAfter = 1s;
constexpr Milliseconds kMaxRetryAfter = 30s;
/// Number of flows above which idle flows are removed; the removal scans all flows.
constexpr std::size_t kFlowCleanupThreshold = 1024;

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
    const FlowKey key = this->flowKeyOf(request);
    Flow &flow = this->flowOf(request);
    const double startTag = std::max(this->virtualTime, flow.finishTag);
    // Step 1. Refuse the request if its expected wait exceeds its deadline.
    const bool isLate =
            this->options.refuseEarly && now + this->expectedWait(startTag) > request.deadline;
    if (isLate) {
        refused.push_back({ .id = request.id,
                            .reason = RefusalReason::deadlineExceeded,
                            .retryAfter = this->retryAfter() });
        return refused;
    }
    // Step 2. Make room in a full queue.
    if (this->waitingCount >= this->options.length) {
        const auto evicted = this->evict(key);
        refused.push_back(evicted.value_or(RefusedRequest{ .id = request.id,
                                                           .reason = RefusalReason::queueFull,
                                                           .retryAfter = this->retryAfter() }));
        if (!evicted)
            return refused;
    }
    // Step 3. Queue the request at the end of its flow.
    flow.requests.push_back({ .request = request, .startTag = startTag });
    flow.finishTag = startTag + 1.0 / flow.weight;
    ++this->waitingCount;
    return refused;
}

void AdmissionQueue::requeue(const WaitingRequest &request)
{
    Flow &flow = this->flowOf(request);
    const double startTag = flow.requests.empty()
                                    ? this->virtualTime
                                    : std::min(this->virtualTime, flow.requests.front().startTag);
    flow.requests.push_front({ .request = request, .startTag = startTag });
    ++this->waitingCount;
    if (this->dequeuedInWindow > 0)
        --this->dequeuedInWindow;
}

std::optional<WaitingRequest> AdmissionQueue::next(TimePoint now)
{
    Flow *best = nullptr;
    for (auto &[key, flow] : this->flows) {
        const bool isEarlier =
                !flow.requests.empty()
                && (best == nullptr
                    || flow.requests.front().startTag < best->requests.front().startTag);
        if (isEarlier)
            best = &flow;
    }
    if (best == nullptr)
        return std::nullopt;
    this->updateDrainRate(now);
    const QueuedRequest item = best->requests.front();
    best->requests.pop_front();
    this->virtualTime = std::max(this->virtualTime, item.startTag);
    --this->waitingCount;
    ++this->dequeuedInWindow;
    this->removeIdleFlows();
    return item.request;
}

std::vector<RefusedRequest> AdmissionQueue::expire(TimePoint now)
{
    this->updateDrainRate(now);
    std::vector<RefusedRequest> refused;
    for (auto &[key, flow] : this->flows) {
        std::erase_if(flow.requests, [&](const QueuedRequest &item) {
            const bool isLate = now >= item.request.deadline;
            if (isLate)
                refused.push_back({ .id = item.request.id,
                                    .reason = RefusalReason::deadlineExceeded,
                                    .retryAfter = this->retryAfter() });
            return isLate;
        });
    }
    this->waitingCount -= refused.size();
    return refused;
}

bool AdmissionQueue::remove(std::uint64_t id)
{
    for (auto &[key, flow] : this->flows) {
        const auto found = std::ranges::find(
                flow.requests, id, [](const QueuedRequest &item) { return item.request.id; });
        if (found == flow.requests.end())
            continue;
        flow.requests.erase(found);
        --this->waitingCount;
        return true;
    }
    return false;
}

AdmissionQueue::FlowKey AdmissionQueue::flowKeyOf(const WaitingRequest &request) const
{
    if (!this->options.fair)
        return {};
    return { std::min(request.priority, kLastPriority), request.customer };
}

AdmissionQueue::Flow &AdmissionQueue::flowOf(const WaitingRequest &request)
{
    const FlowKey key = this->flowKeyOf(request);
    Flow &flow = this->flows[key];
    if (this->options.fair)
        flow.weight = kPriorityWeights[key.first] * std::max<std::uint32_t>(1, request.weight);
    return flow;
}

std::size_t AdmissionQueue::countAhead(double startTag) const
{
    std::size_t count = 0;
    for (const auto &[key, flow] : this->flows) {
        count += static_cast<std::size_t>(
                std::ranges::count_if(flow.requests, [startTag](const QueuedRequest &item) {
                    return item.startTag <= startTag;
                }));
    }
    return count;
}

Milliseconds AdmissionQueue::expectedWait(double startTag) const
{
    if (this->drainedPerSecond <= 0 || this->waitingCount == 0)
        return 0ms;
    return toMilliseconds(static_cast<double>(this->countAhead(startTag)) / this->drainedPerSecond);
}

Milliseconds AdmissionQueue::retryAfter() const
{
    if (this->drainedPerSecond <= 0)
        return kMinRetryAfter;
    const Milliseconds drainTime =
            toMilliseconds(static_cast<double>(this->waitingCount) / this->drainedPerSecond);
    return std::clamp(drainTime, kMinRetryAfter, kMaxRetryAfter);
}

/// Removes and returns the newest request of the flow with the most waiting requests per weight;
/// empty when the arriving request belongs to that flow.
std::optional<RefusedRequest> AdmissionQueue::evict(const FlowKey &arrivingKey)
{
    const auto excess = [](const Flow &flow, std::size_t added) {
        return static_cast<double>(flow.requests.size() + added) / flow.weight;
    };
    auto largest = this->flows.find(arrivingKey);
    double largestExcess = excess(largest->second, 1);
    for (auto it = this->flows.begin(); it != this->flows.end(); ++it) {
        if (it->first != arrivingKey && excess(it->second, 0) > largestExcess) {
            largestExcess = excess(it->second, 0);
            largest = it;
        }
    }
    if (largest->first == arrivingKey)
        return std::nullopt;
    Flow &flow = largest->second;
    const QueuedRequest evicted = flow.requests.back();
    flow.requests.pop_back();
    flow.finishTag = evicted.startTag;
    --this->waitingCount;
    return RefusedRequest{ .id = evicted.request.id,
                           .reason = RefusalReason::queueFull,
                           .retryAfter = this->retryAfter() };
}

/// Updates the drain rate at the end of each window. An empty queue restarts the window,
/// because the rate can be measured only while requests wait.
void AdmissionQueue::updateDrainRate(TimePoint now)
{
    if (this->waitingCount == 0) {
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
    if (this->flows.size() <= kFlowCleanupThreshold)
        return;
    std::erase_if(this->flows, [this](const auto &entry) {
        return entry.second.requests.empty() && entry.second.finishTag <= this->virtualTime;
    });
}

} // namespace egret
