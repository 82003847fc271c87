#include "view_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using namespace egret;

namespace {

constexpr std::uint32_t kReaderCount = 190;
/// Time between two pulls of a reader at one of five registries.
constexpr Milliseconds kPullPeriod = 750ms;

/// A registry whose processor is shared by views and by what the quorum needs.
class SimulatedRegistry
{
public:
    explicit SimulatedRegistry(ViewScheduleOptions options = {}) : schedule(options) {}

    /// Runs until `end`; every `changePeriod` before `changesUntil` something changes.
    void run(Milliseconds end, Milliseconds changePeriod, Milliseconds changesUntil)
    {
        for (; this->now < TimePoint(end); this->now += 1ms) {
            const auto at = std::chrono::floor<Milliseconds>(this->now.time_since_epoch());
            for (std::uint32_t reader = 0; reader < kReaderCount; ++reader) {
                if (at % kPullPeriod == 37ms * reader % kPullPeriod)
                    this->schedule.onPull("r" + std::to_string(reader), { .sentAt = at },
                                          this->now);
            }
            if (at < changesUntil && at % changePeriod == 0ms) {
                this->schedule.onChange();
                this->lacking.clear();
                for (std::uint32_t reader = 0; reader < kReaderCount; ++reader)
                    this->lacking.insert("r" + std::to_string(reader));
            }
            for (const DueView &due : this->schedule.takeDue(this->now)) {
                ++this->views;
                this->lacking.erase(due.reader);
            }
        }
    }

    ViewSchedule schedule;
    TimePoint now{};
    std::size_t views{ 0 };
    std::set<std::string> lacking; ///< readers without the last change
};

} // namespace

// Guards against one push for each change and reader, which uses up the registry's processor.
TEST(ViewSchedule, ViewsKeepToTheirRateWhileManyUpstreamsChange)
{
    constexpr ViewScheduleOptions options;
    SimulatedRegistry registry(options);
    registry.run(2s, 20ms, 2s);
    EXPECT_LE(registry.views, options.viewsPerSecond * 2.0 + options.viewsPerSecond * 0.2);
}

// Guards against a limit that starves readers: each one gets the last change with its next pull.
TEST(ViewSchedule, EveryReaderGetsTheLastChange)
{
    SimulatedRegistry registry;
    registry.run(2s, 20ms, 1s);
    EXPECT_TRUE(registry.lacking.empty()) << registry.lacking.size() << " readers";
    EXPECT_EQ(registry.schedule.droppedPulls(), 0U);
}

// Guards against pushes that keep the pulls waiting, by which readers extend their leases.
TEST(ViewSchedule, PullsAreAnsweredBeforePushes)
{
    ViewSchedule schedule({ .viewsPerSecond = 100, .burst = 100ms });
    const TimePoint now{};
    for (int reader = 0; reader < 40; ++reader)
        schedule.onPull("r" + std::to_string(reader), {}, now);
    schedule.onChange();
    const auto due = schedule.takeDue(now);
    EXPECT_EQ(due.size(), 10U);
    EXPECT_TRUE(
            std::ranges::all_of(due, [](const DueView &each) { return each.pull.has_value(); }));
}

TEST(ViewSchedule, RepeatedPullIsAnsweredOnceWithTheNewestTime)
{
    ViewSchedule schedule({ .viewsPerSecond = 10, .burst = 100ms });
    TimePoint now{};
    schedule.onPull("a", {}, now);
    EXPECT_EQ(schedule.takeDue(now).size(), 1U);
    schedule.onPull("a", { .sentAt = 1ms, .wantsDocument = true }, now);
    schedule.onPull("a", { .sentAt = 2ms }, now);
    now += 100ms;
    const auto due = schedule.takeDue(now);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].pull->sentAt, 2ms);
    EXPECT_TRUE(due[0].pull->wantsDocument);
}

// Guards against answers to pulls that nobody waits for any more, sent while newer pulls wait.
TEST(ViewSchedule, OverduePullIsDropped)
{
    ViewSchedule schedule({ .viewsPerSecond = 1, .burst = 1s });
    TimePoint now{};
    schedule.onPull("a", {}, now);
    schedule.onPull("b", {}, now);
    EXPECT_EQ(schedule.takeDue(now).size(), 1U);
    now += 700ms;
    schedule.onPull("c", {}, now);
    now += 400ms;
    const auto due = schedule.takeDue(now);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].reader, "c");
    EXPECT_EQ(schedule.droppedPulls(), 1U);
}

TEST(ViewSchedule, SilentReaderGetsNoPushes)
{
    ViewSchedule schedule;
    TimePoint now{};
    schedule.onPull("a", {}, now);
    schedule.takeDue(now);
    now += 4s;
    schedule.onChange();
    EXPECT_TRUE(schedule.takeDue(now).empty());
}
