#include "admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace egret;

namespace {

const TimePoint kStart{ 1000s };

WaitingRequest request(std::uint64_t id, const std::string &customer, Milliseconds wait = 10s,
                       std::uint32_t weight = 1, std::uint32_t priority = 1)
{
    return { .id = id,
             .customer = customer,
             .weight = weight,
             .priority = priority,
             .deadline = kStart + wait };
}

/// Dequeues up to `count` requests and returns their number by customer.
std::map<std::string, int> dequeue(AdmissionQueue &admission, int count)
{
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
        if (const auto next = admission.next(kStart))
            ++served[next->customer];
    }
    return served;
}

} // namespace

TEST(AdmissionQueue, SharesABurstByWeight)
{
    AdmissionQueue admission;
    std::uint64_t id = 0;
    for (int i = 0; i < 60; ++i)
        admission.push(request(++id, "large"), kStart);
    for (int i = 0; i < 60; ++i)
        admission.push(request(++id, "double", 10s, 2), kStart);
    for (int i = 0; i < 3; ++i)
        admission.push(request(++id, "small"), kStart);
    const auto served = dequeue(admission, 40);
    EXPECT_EQ(served.at("small"), 3);
    EXPECT_NEAR(served.at("double"), 2 * served.at("large"), 3);
}

TEST(AdmissionQueue, ServesUrgentFirstWithoutStarvingBackground)
{
    AdmissionQueue admission;
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i)
        admission.push(request(++id, "urgent", 10s, 1, 0), kStart);
    for (int i = 0; i < 100; ++i)
        admission.push(request(++id, "background", 10s, 1, 2), kStart);
    const auto served = dequeue(admission, 68);
    EXPECT_GE(served.at("urgent"), 60);
    EXPECT_GE(served.at("background"), 3);
}

TEST(AdmissionQueue, FullQueueEvictsFromCustomerFurthestOverItsShare)
{
    AdmissionQueue admission({ .length = 4 });
    for (std::uint64_t id = 1; id <= 4; ++id)
        EXPECT_TRUE(admission.push(request(id, "large"), kStart).empty());
    const auto refused = admission.push(request(5, "small"), kStart);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].id, 4U);
    EXPECT_EQ(admission.push(request(6, "large"), kStart)[0].id, 6U);
    EXPECT_EQ(admission.size(), 4U);
}

TEST(AdmissionQueue, RefusesOnArrivalWhenExpectedWaitExceedsDeadline)
{
    AdmissionQueue admission;
    TimePoint now = kStart;
    std::uint64_t id = 0;
    // The busy queue drains at ten requests a second.
    for (int i = 0; i < 40; ++i)
        admission.push(request(++id, "a", 100s), now);
    for (int i = 0; i < 20; ++i) {
        now += 100ms;
        admission.next(now);
    }
    EXPECT_NEAR(admission.drainRate(), 10.0, 3.0);
    const auto refused =
            admission.push({ .id = 99, .customer = "a", .deadline = now + 200ms }, now);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason, RefusalReason::deadlineExceeded);
    EXPECT_GE(refused[0].retryAfter, 1s);
    EXPECT_TRUE(admission.push({ .id = 100, .customer = "a", .deadline = now + 20s }, now).empty());
    // Fair queueing serves the first request of another customer sooner.
    EXPECT_TRUE(
            admission.push({ .id = 101, .customer = "b", .deadline = now + 200ms }, now).empty());
}

TEST(AdmissionQueue, RefusesWaitingRequestsAtTheirDeadline)
{
    AdmissionQueue admission;
    admission.push(request(1, "a", 100ms), kStart);
    admission.push(request(2, "a", 300ms), kStart);
    const auto refused = admission.expire(kStart + 100ms);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].id, 1U);
    EXPECT_EQ(admission.next(kStart + 100ms)->id, 2U);
}

/// Oracle: a map of the queued requests. Each request leaves the queue exactly once, the
/// length limit holds, no request is served at or after its deadline, and each customer's
/// requests of one priority keep their order.
RC_GTEST_PROP(AdmissionProperty, EachRequestLeavesExactlyOnce, ())
{
    const auto length = *rc::gen::inRange<std::uint32_t>(1, 12);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    AdmissionQueue admission({ .length = length });
    std::map<std::uint64_t, WaitingRequest> queued;
    std::map<std::pair<std::uint32_t, std::string>, std::uint64_t> lastServed;
    TimePoint now = kStart;
    std::uint64_t id = 0;
    const auto expectQueuedAndRemove = [&queued](std::uint64_t removedId) {
        RC_ASSERT(queued.erase(removedId) == 1U);
    };
    for (const int step : steps) {
        now += Milliseconds(step);
        if (step < 55) {
            const WaitingRequest arriving{ .id = ++id,
                                           .customer = std::string(
                                                   1, static_cast<char>('a' + step % 4)),
                                           .weight = static_cast<std::uint32_t>(1 + step % 3),
                                           .priority = static_cast<std::uint32_t>(step % 3),
                                           .deadline = now + Milliseconds(100 + 37 * step) };
            queued[id] = arriving;
            for (const RefusedRequest &refused : admission.push(arriving, now))
                expectQueuedAndRemove(refused.id);
        } else if (step < 80) {
            for (const RefusedRequest &refused : admission.expire(now))
                expectQueuedAndRemove(refused.id);
            const auto next = admission.next(now);
            RC_ASSERT(next.has_value() == !queued.empty());
            if (!next)
                continue;
            RC_ASSERT(next->deadline > now);
            auto &lastId = lastServed[{ next->priority, next->customer }];
            RC_ASSERT(next->id > lastId);
            if (step % 5 == 0 && queued.size() < length) {
                admission.requeue(*next);
            } else {
                lastId = next->id;
                expectQueuedAndRemove(next->id);
            }
        } else if (!queued.empty()) {
            const std::uint64_t removedId = queued.begin()->first;
            RC_ASSERT(admission.remove(removedId));
            expectQueuedAndRemove(removedId);
        }
        RC_ASSERT(admission.size() == queued.size());
        RC_ASSERT(admission.size() <= length);
    }
}
