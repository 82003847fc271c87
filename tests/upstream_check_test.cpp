#include "upstream_check.h"

#include "announcement.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr Milliseconds kWallTime{ 1'790'000'000'000 };

UpstreamRecord soundRecord()
{
    return { .id = "i-7f3a91c2",
             .startedAtMs = 1'789'999'000'000,
             .sequence = 4,
             .service = "s",
             .endpoint = "10.128.0.9:8080",
             .zone = "a",
             .slots = 16,
             .model = "m" };
}

std::string errorOf(const UpstreamRecord &record)
{
    return announcementError(record, { { .zone = "a", .region = "r" } }, kWallTime);
}

} // namespace

// Guards against one odd announcement that harms all gateways and the sound upstreams.
TEST(AnnouncementCheck, OddAnnouncementsAreRefused)
{
    EXPECT_EQ(errorOf(soundRecord()), "");
    const auto errorWith = [](auto &&change) {
        UpstreamRecord record = soundRecord();
        change(record);
        return errorOf(record);
    };
    const std::string longName(1000, 'x');
    for (std::string UpstreamRecord::*name :
         { &UpstreamRecord::id, &UpstreamRecord::service, &UpstreamRecord::zone,
           &UpstreamRecord::model, &UpstreamRecord::endpoint }) {
        EXPECT_NE(errorWith([&](auto &record) { record.*name = longName; }), "");
        EXPECT_NE(errorWith([&](auto &record) { record.*name = "a\r\nX-Evil: 1"; }), "");
    }
    for (const char *address :
         { "10.0.0.1:0", "no-such-host:80", "[::zz]:80", "127.0.0.1\r\nX-Evil: 1:80",
           "10.0.0.1:65536", "0.0.0.0:80", "999999:80", "" })
        EXPECT_NE(errorWith([&](auto &record) { record.endpoint = address; }), "") << address;
    EXPECT_NE(errorWith([](auto &record) { record.zone = "unknown"; }), "");
    EXPECT_NE(errorWith([](auto &record) { record.startedAtMs = ~std::uint64_t{ 0 }; }), "");
    EXPECT_NE(errorWith([](auto &record) { record.sequence = ~std::uint64_t{ 0 }; }), "");
    EXPECT_NE(errorWith([](auto &record) { record.slots = 1U << 31U; }), "");
    EXPECT_NE(errorWith([](auto &record) { record.coldFor = 10000h; }), "");
    EXPECT_NE(errorWith([](auto &record) { record.coldFor = -1ms; }), "");
}

// Guards against clocks: a machine whose time of day jumped or was never set accepts sound
// upstreams.
TEST(AnnouncementCheck, SoundAnnouncementsAreAcceptedWhateverTheTimeOfDay)
{
    for (const Milliseconds wallTime :
         { kWallTime - 40min, kWallTime + 40min, Milliseconds(0), Milliseconds(1h) })
        EXPECT_EQ(announcementError(soundRecord(), {}, wallTime), "");
}

// Guards against numbers that are cut to their low bits or converted out of range.
TEST(AnnouncementCheck, NumbersOutOfRangeAreNotCut)
{
    const std::string start =
            R"({"service":"s","address":"10.0.0.1:80","zone":"a","born":1,"sequence":1,"state":"ready",)";
    std::string problem;
    for (const char *end :
         { R"("slots":4294967296})", R"("slots":18446744073709551616})",
           R"("slots":1,"coldRemainingMs":1e300})", R"("slots":1,"coldRemainingMs":-1e300})",
           R"("slots":1,"coldRemainingMs":"x"})" })
        EXPECT_FALSE(platform::parseAnnouncement("i", start + end, problem)) << end;
    EXPECT_TRUE(platform::parseAnnouncement("i", start + R"("slots":1})", problem)) << problem;
}
