#pragma once

#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Why a waiting request is refused.
enum class RefusalReason : std::uint8_t { queueFull, tooLate };

/// Returns the machine-readable name of a refusal. Thread safe.
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
    std::uint32_t share{ 1 };    ///< weight of the customer
    std::uint32_t priority{ 1 }; ///< 0 is the most urgent
    TimePoint deadline;          ///< latest time to send the request to an upstream
};

struct AdmissionQueueOptions
{
    std::uint32_t length{ 256 }; ///< limit on waiting requests
    Milliseconds rateWindow{ 250ms };
    bool fair{ true };        ///< off: one first-in, first-out queue for all customers
    bool refuseEarly{ true }; ///< off: no request is refused before its deadline
};

/// Admission control queue of one route at an entry instance. Start-time fair
/// queueing weighs customers and priorities, so that none starves. Requests
/// expected to wait past their deadline are refused on arrival, others at the
/// deadline, before any work starts. A full queue evicts the newest request of
/// the customer furthest over its share. Deterministic; not thread safe.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options = {}) : options(options) {}

    /// Queues a request; returns the refused requests: the new one or an evicted one.
    std::vector<RefusedRequest> push(const WaitingRequest &request, TimePoint now);

    /// Returns a request taken with `next` to the front of its customer's queue.
    void requeue(const WaitingRequest &request);

    /// Removes and returns the request with the lowest start tag; empty when none waits.
    std::optional<WaitingRequest> next(TimePoint now);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<RefusedRequest> expire(TimePoint now);

    /// Removes a request whose client has disconnected; false when not queued.
    bool remove(std::uint64_t id);

    /// Sets the limit on waiting requests; requests already queued stay.
    void setLength(std::uint32_t length) { this->options.length = length; }

    /// Number of waiting requests.
    std::size_t size() const { return this->waiting; }

    /// Requests dequeued per second while the queue is busy; zero while unknown.
    double drainRate() const { return this->drainedPerSecond; }

private:
    using FlowKey = std::pair<std::uint32_t, std::string>;

    struct Item
    {
        WaitingRequest request;
        double start{ 0 }; ///< start tag in virtual time
    };

    struct Flow
    {
        double weight{ 1 };
        double finish{ 0 }; ///< finish tag of the newest request
        std::deque<Item> items;
    };

    FlowKey keyOf(const WaitingRequest &request) const;
    Flow &flowOf(const WaitingRequest &request);
    std::size_t countAhead(double start) const;
    Milliseconds expectedWait(double start) const;
    Milliseconds retryAfter() const;
    std::optional<RefusedRequest> evict(const FlowKey &arriving);
    void updateDrainRate(TimePoint now);
    void removeIdleFlows();

    AdmissionQueueOptions options;
    std::map<FlowKey, Flow> flows;
    std::size_t waiting{ 0 };
    double virtualTime{ 0 };
    double drainedPerSecond{ 0 };
    TimePoint windowStart;
    std::uint32_t dequeuedInWindow{ 0 };
};

} // namespace egret
