#pragma once

#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Reason for which a request is refused.
enum class RefusalReason : std::uint8_t {
    queueFull,
    deadlineExceeded ///< the deadline has passed, or the expected wait exceeds the deadline
};

/// Returns the machine-readable name of a refusal reason. Thread safe.
const char *refusalName(RefusalReason reason);

/// A refused request, with the time after which the client may retry.
struct RefusedRequest
{
    std::uint64_t id{ 0 };
    RefusalReason reason{ RefusalReason::queueFull };
    Milliseconds retryAfter{ 1s };
};

/// A request waiting for an upstream.
struct WaitingRequest
{
    std::uint64_t id{ 0 };
    std::string customer;
    std::uint32_t weight{ 1 };   ///< weight of the customer in fair queueing
    std::uint32_t priority{ 1 }; ///< 0 is the most urgent
    TimePoint deadline;          ///< time at which the request is refused if it still waits
};

struct AdmissionQueueOptions
{
    std::uint32_t length{ 256 };      ///< limit on waiting requests
    Milliseconds rateWindow{ 250ms }; ///< window over which the drain rate is measured
    bool fair{ true };                ///< false: one first-in, first-out queue for all customers
    /// False: requests are refused only at their deadline or by a full queue.
    bool refuseEarly{ true };
};

/// Admission control queue of one route at an entry instance. Requests of one customer at
/// one priority form a flow. Start-time fair queueing serves the flows in proportion to
/// their weights and starves no flow. The start and finish tags of requests are points in the
/// virtual time of the algorithm.
/// A request whose expected wait exceeds its deadline is refused on arrival. A request that
/// still waits at its deadline is refused before any work is done for it. A full queue evicts the
/// newest request of the flow with the most waiting requests per weight. Deterministic; not thread
/// safe.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options = {}) : options(options) {}

    /// Queues a request. Returns the refused request, if any: the new request or the
    /// request evicted for it.
    std::vector<RefusedRequest> push(const WaitingRequest &request, TimePoint now);

    /// Puts a request that `next` has returned back at the front of its flow.
    void requeue(const WaitingRequest &request);

    /// Removes and returns the request with the lowest start tag; empty when no request waits.
    std::optional<WaitingRequest> next(TimePoint now);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<RefusedRequest> expire(TimePoint now);

    /// Removes a request, for example when its client has disconnected; false when the request
    /// is not queued.
    bool remove(std::uint64_t id);

    /// Sets the limit on waiting requests; requests already queued stay.
    void setLength(std::uint32_t length) { this->options.length = length; }

    /// Number of waiting requests.
    std::size_t size() const { return this->waitingCount; }

    /// Requests dequeued per second while requests wait; zero before the first measurement.
    double drainRate() const { return this->drainedPerSecond; }

private:
    /// Priority and customer; the same default value for all requests if `fair` is false.
    using FlowKey = std::pair<std::uint32_t, std::string>;

    struct QueuedRequest
    {
        WaitingRequest request;
        double startTag{ 0 }; ///< start tag in virtual time
    };

    struct Flow
    {
        double weight{ 1 };
        double finishTag{ 0 }; ///< finish tag of the newest request, in virtual time
        std::deque<QueuedRequest> requests;
    };

    FlowKey flowKeyOf(const WaitingRequest &request) const;
    Flow &flowOf(const WaitingRequest &request);
    std::size_t countAhead(double startTag) const;
    Milliseconds expectedWait(double startTag) const;
    Milliseconds retryAfter() const;
    std::optional<RefusedRequest> evict(const FlowKey &arrivingKey);
    void updateDrainRate(TimePoint now);
    void removeIdleFlows();

    AdmissionQueueOptions options;
    std::map<FlowKey, Flow> flows;
    std::size_t waitingCount{ 0 };
    double virtualTime{ 0 };
    double drainedPerSecond{ 0 };
    TimePoint windowStart;
    std::uint32_t dequeuedInWindow{ 0 };
};

} // namespace egret
