#include "request_memory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

using namespace egret;

namespace {

constexpr std::size_t kBodyBytes = 1000;
/// 3 bodies with a reservation and 1,000 bytes for small requests.
constexpr RequestMemoryOptions kOptions{ .maxBytes = 4 * kBodyBytes,
                                         .smallRequestBytes = 100,
                                         .minProgressBytes = 10 };
const TimePoint kStart{ 1h };

} // namespace

// Guards against bodies that wait for each other with none of them complete.
TEST(RequestMemory, ABodyWaitsUntilAnotherIsReleased)
{
    RequestMemory memory(kOptions);
    std::vector<RequestMemory::HolderId> ids;
    for (int i = 0; i < 4; ++i) {
        ids.push_back(memory.add("a", kStart));
        EXPECT_EQ(memory.reserve(ids.back(), kBodyBytes, kStart), i < 3);
    }
    EXPECT_TRUE(memory.update(kStart).granted.empty());
    memory.remove(ids[1]);
    EXPECT_EQ(memory.update(kStart).granted, std::vector{ ids[3] });
    EXPECT_FALSE(memory.hasWaiters());
}

// Guards against clients that stop just short of the end and keep others out.
TEST(RequestMemory, BodiesWithoutProgressGiveWayToWaitingOnes)
{
    RequestMemory memory(kOptions);
    std::vector<RequestMemory::HolderId> ids;
    for (int i = 0; i < 3; ++i) {
        ids.push_back(memory.add("a", kStart));
        ASSERT_TRUE(memory.reserve(ids.back(), kBodyBytes, kStart));
    }
    memory.setProtection(ids[0], Protection::full, kStart);
    memory.onProgress(ids[1], kOptions.minProgressBytes);
    const TimePoint later = kStart + kOptions.progressPeriod;
    EXPECT_TRUE(memory.update(later).shed.empty()) << "nobody waits";
    const auto waiter = memory.add("a", later);
    EXPECT_FALSE(memory.reserve(waiter, kBodyBytes, later));
    const auto changes = memory.update(later);
    EXPECT_EQ(changes.shed, std::vector{ ids[2] });
    EXPECT_EQ(changes.granted, std::vector{ waiter });
}

// Guards against a keep-alive connection whose idle time counts as a stall of its next body.
TEST(RequestMemory, AnIdleTimeIsNoStallOfTheNextBody)
{
    RequestMemory memory(kOptions);
    const auto id = memory.add("a", kStart);
    memory.update(kStart + kOptions.progressPeriod); // slow while idle
    const TimePoint begin = kStart + 2 * kOptions.progressPeriod;
    memory.restartProgress(id, begin - 1ms);
    EXPECT_FALSE(memory.leastActive(begin));
    memory.update(begin - 1ms + kOptions.progressPeriod);
    const TimePoint reserved = begin + kOptions.progressPeriod;
    for (int i = 0; i < 2; ++i)
        ASSERT_TRUE(memory.reserve(memory.add("a", reserved), kBodyBytes, reserved));
    ASSERT_TRUE(memory.reserve(id, kBodyBytes, reserved));
    const auto waiter = memory.add("a", reserved);
    EXPECT_FALSE(memory.reserve(waiter, kBodyBytes, reserved));
    EXPECT_TRUE(memory.update(reserved + kOptions.progressPeriod - 1ms).shed.empty());
    EXPECT_EQ(memory.update(reserved + kOptions.progressPeriod).shed.size(), 1U);
}

// Guards against an answer that is cut as soon as it is queued, because its client sent nothing
// while the request ran.
TEST(RequestMemory, AnAnswerHasAWholePeriodToBeRead)
{
    RequestMemory memory(kOptions);
    const auto id = memory.add("a", kStart);
    memory.setBytes(id, 2 * kBodyBytes);
    memory.setProtection(id, Protection::full, kStart);
    const TimePoint queued = kStart + kOptions.progressPeriod;
    memory.update(queued);
    memory.setProtection(id, Protection::unlessSlow, queued);
    EXPECT_FALSE(memory.leastActive(queued + kOptions.progressPeriod)) << "not for a connection";
    memory.setProtection(id, Protection::full, queued);
    memory.setProtection(id, Protection::unlessSlow, queued);
    EXPECT_TRUE(memory.update(queued + kOptions.progressPeriod - 1ms).shed.empty());
    EXPECT_EQ(memory.update(queued + kOptions.progressPeriod).shed, std::vector{ id });
}

// Guards against clients that are judged for the time in which the process itself stood still.
TEST(RequestMemory, APauseOfTheProcessIsNoStallOfItsClients)
{
    RequestMemory memory(kOptions);
    const auto id = memory.add("a", kStart);
    const TimePoint later = kStart + 2 * kOptions.progressPeriod + 1ms;
    EXPECT_FALSE(memory.leastActive(later));
    EXPECT_EQ(memory.leastActive(later + kOptions.progressPeriod), id);
}

// Guards against one address that fills the memory with bodies that make just enough progress.
TEST(RequestMemory, TheAddressThatHoldsMostGivesWay)
{
    RequestMemory memory(kOptions);
    for (int i = 0; i < 3; ++i)
        ASSERT_TRUE(memory.reserve(memory.add("crowd", kStart), kBodyBytes, kStart));
    const auto other = memory.add("other", kStart);
    EXPECT_FALSE(memory.reserve(other, kBodyBytes, kStart));
    const auto changes = memory.update(kStart);
    EXPECT_EQ(changes.shed.size(), 1U);
    EXPECT_EQ(changes.granted, std::vector{ other });
    // Two addresses must not displace each other.
    EXPECT_FALSE(memory.reserve(memory.add("crowd", kStart), kBodyBytes, kStart));
    EXPECT_TRUE(memory.update(kStart).shed.empty());
}

TEST(RequestMemory, AWaitEndsWithARefusal)
{
    RequestMemory memory(kOptions);
    for (int i = 0; i < 3; ++i) {
        const auto id = memory.add("a", kStart);
        ASSERT_TRUE(memory.reserve(id, kBodyBytes, kStart));
        memory.setProtection(id, Protection::full, kStart);
    }
    const auto waiter = memory.add("a", kStart);
    EXPECT_FALSE(memory.reserve(waiter, kBodyBytes, kStart));
    EXPECT_TRUE(memory.update(kStart + kOptions.maxWait - 1ms).expired.empty());
    EXPECT_EQ(memory.update(kStart + kOptions.maxWait).expired, std::vector{ waiter });
}

// Guards against a crowd of small requests that is never counted, and against one that takes an
// ordinary request with it.
TEST(RequestMemory, TheLargestOfTheSmallGiveWay)
{
    RequestMemory memory(kOptions);
    const auto ordinary = memory.add("a", kStart);
    memory.setBytes(ordinary, 20);
    const auto running = memory.add("a", kStart);
    memory.setBytes(running, 100);
    memory.setProtection(running, Protection::full, kStart);
    for (int i = 0; i < 10; ++i)
        memory.setBytes(memory.add("a", kStart), 100);
    EXPECT_TRUE(memory.isShort());
    const auto changes = memory.update(kStart);
    EXPECT_EQ(changes.shed.size(), 3U);
    EXPECT_FALSE(memory.isShort());
    memory.setBytes(ordinary, 0); // still known
    memory.setBytes(running, 0);
}

TEST(RequestMemory, OnlyConnectionsWithoutProgressMakeRoom)
{
    RequestMemory memory(kOptions);
    const auto active = memory.add("crowd", kStart);
    const auto idle = memory.add("crowd", kStart);
    memory.add("other", kStart);
    EXPECT_FALSE(memory.leastActive(kStart));
    memory.onProgress(active, kOptions.minProgressBytes);
    EXPECT_EQ(memory.leastActive(kStart + kOptions.progressPeriod), idle);
}

// Guards against requests that are counted no longer, or twice, once they run.
TEST(RequestMemory, ARunningRequestKeepsItsPart)
{
    RequestMemory memory(kOptions);
    const auto id = memory.add("a", kStart);
    ASSERT_TRUE(memory.reserve(id, kBodyBytes, kStart));
    memory.setBytes(id, 510);
    const auto request = memory.moveToRequest(id, 500, kStart);
    EXPECT_EQ(memory.totalBytes(), 510U);
    memory.remove(id);
    EXPECT_EQ(memory.totalBytes(), 500U);
    memory.remove(request);
    EXPECT_EQ(memory.totalBytes(), 0U);
}

// Guards against an exception when a write ends after its holder was shed.
TEST(RequestMemory, RemovedHoldersAreIgnored)
{
    RequestMemory memory(kOptions);
    const auto id = memory.add("a", kStart);
    memory.remove(id);
    memory.setBytes(id, kBodyBytes);
    memory.setProtection(id, Protection::full, kStart);
    memory.onProgress(id, kBodyBytes);
    memory.restartProgress(id, kStart);
    EXPECT_EQ(memory.totalBytes(), 0U);
}

// Guards against a total that drifts from what is held, and against holders beyond the limits.
RC_GTEST_PROP(RequestMemory, KeepsToItsLimits, ())
{
    RequestMemory memory(kOptions);
    std::vector<RequestMemory::HolderId> ids;
    std::set<RequestMemory::HolderId> reserved;
    TimePoint now = kStart;
    const auto forget = [&ids](const std::vector<RequestMemory::HolderId> &gone) {
        std::erase_if(ids, [&gone](auto id) { return std::ranges::find(gone, id) != gone.end(); });
    };
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
        const auto size = static_cast<std::size_t>(step);
        if (step % 5 == 0 || ids.empty())
            ids.push_back(memory.add(step % 2 == 0 ? "a" : "b", now));
        const auto id = ids[size % ids.size()];
        if (step % 5 == 1)
            memory.setBytes(id, size % kOptions.smallRequestBytes);
        else if (step % 5 == 2 && reserved.insert(id).second)
            memory.reserve(id, kOptions.smallRequestBytes + size, now);
        else if (step % 5 == 3)
            memory.onProgress(id, size);
        now += Milliseconds(step);
        const auto changes = memory.update(now);
        forget(changes.shed);
        forget(changes.expired);
        RC_ASSERT(!memory.isShort());
        RC_ASSERT(memory.totalBytes() <= kOptions.maxBytes);
    }
    for (const auto id : ids)
        memory.remove(id);
    RC_ASSERT(memory.totalBytes() == 0U);
    RC_ASSERT(!memory.hasWaiters());
}

// Guards against defaults that an ordinary client of a gateway meets.
TEST(ClientLimits, LeaveRoomOnTheMachinesOfTheDeployments)
{
    constexpr std::size_t largestBody = 4U << 20U;
    const auto gateway = clientLimits(160, 4100);
    EXPECT_GE(gateway.maxConnections, 2000U);
    EXPECT_GE(gateway.maxBytes * 3 / 4, 10 * largestBody);
    EXPECT_LE(gateway.maxBytes, 64'000'000U);
    EXPECT_EQ(clientLimits(0, 0).maxConnections, 3000U);
    EXPECT_EQ(clientLimits(48, 256).maxConnections, 96U);
}
