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

/// Machine-readable name of a refusal. Thread safe.
const char *refusalName(RefusalReason reason);

/// A request that is refused, with the time after which to ask again.
struct RefusedRequest
{
    std::uint64_t id{ 0 };
    RefusalReason reason{ RefusalReason::queueFull };
    Milliseconds retryAfter{ 1s };
};

/// A request that waits for an upstream.
struct WaitingRequest
{
    std::uint64_t id{ 0 };
    std::string customer;
    std::uint32_t share{ 1 };    ///< weight of the customer
    std::uint32_t priority{ 1 }; ///< 0 is the most urgent
    TimePoint deadline;          ///< by which it must have been given to an upstream
};

struct AdmissionOptions
{
    std::uint32_t length{ 256 }; ///< requests that wait at once
    Milliseconds rateWindow{ 250ms };
    bool fair{ true };  ///< off: one queue for all customers, first come first served
    bool early{ true }; ///< off: nothing is refused before its deadline
};

/// Queue of one route at an entry instance: weighted fair between customers
/// and priorities by start-time fair queueing, so that none starves. Requests
/// that can't be in time are refused on arrival, others at their deadline
/// before any work starts. When the queue is full, the customer furthest over
/// its share loses its newest request. Deterministic; not thread safe.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionOptions options = {}) : options(options) {}

    /// Queues a request; returns what is refused for it, be it the request itself.
    std::vector<RefusedRequest> push(const WaitingRequest &request, TimePoint now);

    /// Puts a request that `next` gave out back to the front of its customer's queue.
    void putBack(const WaitingRequest &request);

    /// Takes the request whose turn it is; empty when none waits.
    std::optional<WaitingRequest> next(TimePoint now);

    /// Removes requests whose deadline has passed.
    std::vector<RefusedRequest> expire(TimePoint now);

    /// Removes a request whose caller is gone; false when it does not wait.
    bool remove(std::uint64_t id);

    /// Bounds the requests that wait at once; those that wait already stay.
    void setLength(std::uint32_t length) { this->options.length = length; }

    /// Requests that wait.
    std::size_t size() const { return this->waiting; }

    /// Requests a second that leave the queue while it is busy; zero while unknown.
    double rate() const { return this->leaveRate; }

private:
    using FlowKey = std::pair<std::uint32_t, std::string>;

    struct Item
    {
        WaitingRequest request;
        double start{ 0 };
    };

    struct Flow
    {
        double weight{ 1 };
        double finish{ 0 };
        std::deque<Item> items;
    };

    FlowKey keyOf(const WaitingRequest &request) const;
    Flow &flowOf(const WaitingRequest &request);
    std::size_t ahead(double start) const;
    Milliseconds expectedWait(double start) const;
    Milliseconds retryAfter() const;
    std::optional<RefusedRequest> pushOut(const FlowKey &arriving);
    void measure(TimePoint now);
    void dropIdleFlows();

    AdmissionOptions options;
    std::map<FlowKey, Flow> flows;
    std::size_t waiting{ 0 };
    double virtualTime{ 0 };
    double leaveRate{ 0 };
    TimePoint windowStart;
    std::uint32_t leftInWindow{ 0 };
};

} // namespace egret
