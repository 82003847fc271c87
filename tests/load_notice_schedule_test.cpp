#include "load_notice_schedule.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <limits>

using namespace egret;

namespace {

constexpr Milliseconds kReportPeriod = 100ms;

struct Outcome
{
    int notices{ 0 };
    Milliseconds longestError{ 0 }; ///< longest time for which the gateway's load was off by four
};

/// Reports a load that drifts by one request at most each `kReportPeriod`, for ten seconds.
Outcome runBusyEngine(bool isRemote)
{
    LoadNoticeSchedule schedule(isRemote);
    Outcome outcome;
    std::uint32_t active = 8;
    std::uint32_t known = 0;
    Milliseconds error{ 0 };
    for (Milliseconds at{ 0 }; at < 10s; at += kReportPeriod) {
        const auto step = at / kReportPeriod;
        active += step % 7 < 4 ? 1 : -1;
        active = std::min(active, 16U);
        if (schedule.isDue(0, active, 1, TimePoint(at + 10s))) {
            schedule.onSent(0, active, 1, TimePoint(at + 10s));
            known = active;
            ++outcome.notices;
        }
        const bool isOff = std::abs(static_cast<int>(known) - static_cast<int>(active)) >= 4;
        error = isOff ? error + kReportPeriod : 0ms;
        outcome.longestError = std::max(outcome.longestError, error);
    }
    return outcome;
}

} // namespace

// Guards against notices that fill the links between regions with changes that change no choice.
TEST(LoadNoticeSchedule, OtherRegionsGetTheChangesThatMatter)
{
    const Outcome own = runBusyEngine(false);
    const Outcome remote = runBusyEngine(true);
    EXPECT_GE(own.notices, 90);
    EXPECT_LE(remote.notices, 33) << "one each 300 ms at most";
    EXPECT_GE(remote.notices, 10) << "one each second at least";
    EXPECT_EQ(own.longestError, 0ms);
    EXPECT_LE(remote.longestError, 300ms);
}

// Guards against a gateway elsewhere that waits a second to hear that an engine has room again.
TEST(LoadNoticeSchedule, OtherRegionsHearSoonOfAQueueThatClears)
{
    LoadNoticeSchedule schedule(true);
    schedule.onSent(1, 16, 1, TimePoint(10s));
    EXPECT_FALSE(schedule.isDue(0, 16, 1, TimePoint(10s + 200ms)));
    EXPECT_TRUE(schedule.isDue(0, 16, 1, TimePoint(10s + 300ms)));
    EXPECT_FALSE(schedule.isDue(1, 15, 1, TimePoint(10s + 300ms)));
}

// Guards against a slow period of 600 ms that gateways learn of when it is over, because the load
// of the engine stays the same.
TEST(LoadNoticeSchedule, SlowPeriodIsKnownWithinAReportPeriod)
{
    LoadNoticeSchedule own(false);
    own.onSent(0, 8, 1, TimePoint(10s));
    EXPECT_FALSE(own.isDue(0, 8, 1, TimePoint(10s + kReportPeriod)));
    EXPECT_TRUE(own.isDue(0, 8, 2.5, TimePoint(10s + kReportPeriod)));
    own.onSent(0, 8, 2.5, TimePoint(10s + kReportPeriod));
    EXPECT_FALSE(own.isDue(0, 8, 2.5, TimePoint(10s + 2 * kReportPeriod)));
    EXPECT_TRUE(own.isDue(0, 8, 1, TimePoint(10s + 7 * kReportPeriod)));

    LoadNoticeSchedule remote(true);
    remote.onSent(0, 8, 1, TimePoint(10s));
    EXPECT_FALSE(remote.isDue(0, 8, 2.5, TimePoint(10s + 200ms)));
    EXPECT_TRUE(remote.isDue(0, 8, 2.5, TimePoint(10s + 300ms)));
    EXPECT_FALSE(remote.isDue(0, 8, 1, TimePoint(10s + 300ms)));
}

// Guards against notices at each report of an engine whose factor varies without mattering, or
// isn't a number.
TEST(LoadNoticeSchedule, SmallChangesOfTheSlowdownFactorAreNotSent)
{
    LoadNoticeSchedule schedule(false);
    schedule.onSent(0, 8, 1, TimePoint(10s));
    for (const double factor : { 0.1, 0.9, 1.2, -3.0, std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity() })
        EXPECT_FALSE(schedule.isDue(0, 8, factor, TimePoint(10s + 100ms))) << factor;
    // Changes that add up are sent.
    schedule.onSent(0, 8, 1.2, TimePoint(10s + 100ms));
    EXPECT_FALSE(schedule.isDue(0, 8, 1.4, TimePoint(10s + 200ms)));
    EXPECT_TRUE(schedule.isDue(0, 8, 1.6, TimePoint(10s + 200ms)));
}
