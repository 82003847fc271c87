#include "crash_evidence.h"
#include "crash_quarantine.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
using Segments = std::vector<std::string>;

std::vector<QuarantinedSuspect> quarantined(const Segments &segments)
{
    std::vector<QuarantinedSuspect> result;
    for (const std::string &segment : segments)
        result.push_back({ .suspect = segment });
    return result;
}

} // namespace

TEST(CrashQuarantine, TextKeepsSegmentsAndProbes)
{
    const std::vector<QuarantinedSuspect> segments = { { .suspect = "a1", .probes = 3 },
                                                       { .suspect = "with space" } };
    EXPECT_EQ(parseQuarantineText(quarantineText(segments)), segments);
    EXPECT_TRUE(parseQuarantineText("x a1\n\n7\n7 \n").empty());
}

TEST(CrashQuarantine, RefusesRequestsWithAQuarantinedSegmentOnly)
{
    CrashQuarantine quarantine;
    quarantine.setQuarantined(quarantined({ "bad" }), kStart);
    EXPECT_TRUE(quarantine.decide({ "shared", "bad" }, kStart).isRefused);
    EXPECT_FALSE(quarantine.decide({ "shared", "other" }, kStart).isRefused);
    EXPECT_FALSE(quarantine.decide({}, kStart).isRefused);
    quarantine.setQuarantined({}, kStart);
    EXPECT_FALSE(quarantine.decide({ "shared", "bad" }, kStart).isRefused);
}

TEST(CrashQuarantine, ReportsNoSegmentWithWhichAnAnswerJustBegan)
{
    CrashQuarantine quarantine;
    quarantine.onBegun({ "shared" }, kStart);
    const CrashReport soon = quarantine.onCrash("e1", "r1", { "shared", "bad" }, kStart + 500ms);
    EXPECT_EQ(soon.suspects, Segments{ "bad" });
    const CrashReport later = quarantine.onCrash("e1", "r1", { "shared", "bad" }, kStart + 2s);
    EXPECT_EQ(later.suspects, (Segments{ "shared", "bad" }));
    EXPECT_EQ(later.establishedSuspects, Segments{ "shared" });
}

TEST(CrashQuarantine, ReportsTheBeginOfSuspectedAndQuarantinedSegments)
{
    CrashQuarantine quarantine;
    EXPECT_TRUE(quarantine.onBegun({ "shared" }, kStart).empty());
    quarantine.onCrash("e1", "r1", { "suspect" }, kStart);
    quarantine.setQuarantined(quarantined({ "wrong" }), kStart);
    EXPECT_EQ(quarantine.onBegun({ "shared", "suspect", "wrong" }, kStart),
              (Segments{ "suspect", "wrong" }));
    EXPECT_EQ(quarantine.onBegun({ "suspect" }, kStart), Segments{});
}

// Guards against sound requests refused although their answers have begun all along.
TEST(CrashQuarantine, ObjectsToASegmentWithWhichAnswersBegin)
{
    CrashQuarantine quarantine;
    quarantine.onBegun({ "served" }, kStart);
    EXPECT_EQ(quarantine.setQuarantined(quarantined({ "served", "bad" }), kStart + 200ms),
              Segments{ "served" });
    EXPECT_TRUE(
            quarantine.setQuarantined(quarantined({ "served", "bad" }), kStart + 200ms).empty());
}

TEST(CrashQuarantine, AsksForAProbeOnceASecondAndUsesItOnce)
{
    CrashQuarantine quarantine;
    quarantine.setQuarantined(quarantined({ "bad" }), kStart);
    EXPECT_TRUE(quarantine.decide({ "bad" }, kStart).mustAskForProbe);
    EXPECT_FALSE(quarantine.decide({ "bad" }, kStart + 500ms).mustAskForProbe);
    EXPECT_TRUE(quarantine.decide({ "bad" }, kStart + 1s).mustAskForProbe);
    quarantine.onProbeGranted("bad", kStart + 1s);
    EXPECT_TRUE(quarantine.decide({ "bad" }, kStart + 2s).isProbe);
    EXPECT_TRUE(quarantine.decide({ "bad" }, kStart + 2s).isRefused);
    quarantine.onProbeGranted("bad", kStart + 2s);
    EXPECT_FALSE(quarantine.decide({ "bad" }, kStart + 8s).isProbe);
    quarantine.onProbeGranted("unknown", kStart);
    EXPECT_FALSE(quarantine.decide({ "unknown" }, kStart).isProbe);
}

TEST(CrashQuarantine, NoProbeOfAPromptWithTwoQuarantinedSegments)
{
    CrashQuarantine quarantine;
    quarantine.setQuarantined(quarantined({ "bad", "worse" }), kStart);
    quarantine.onProbeGranted("bad", kStart);
    EXPECT_FALSE(quarantine.decide({ "bad", "worse" }, kStart).isProbe);
    EXPECT_TRUE(quarantine.decide({ "bad" }, kStart).isProbe);
}

TEST(CrashQuarantine, TracksRequestsOnlyWhileOneIsReportedOrQuarantined)
{
    CrashQuarantine quarantine;
    const std::string request = requestSuspect("d1");
    EXPECT_FALSE(quarantine.tracksRequests(kStart));
    quarantine.onCrash("e1", "r1", { "segment" }, kStart);
    EXPECT_FALSE(quarantine.tracksRequests(kStart));
    quarantine.onCrash("e1", "r1", { "segment", request }, kStart);
    EXPECT_TRUE(quarantine.tracksRequests(kStart + 59s));
    EXPECT_FALSE(quarantine.tracksRequests(kStart + 61s));
    quarantine.setQuarantined(quarantined({ request }), kStart + 61s);
    EXPECT_TRUE(quarantine.tracksRequests(kStart + 600s));
    EXPECT_TRUE(quarantine.decide({ request }, kStart + 600s).isRefused);
    EXPECT_FALSE(quarantine.decide({ requestSuspect("d2") }, kStart + 600s).isRefused);
    quarantine.setQuarantined({}, kStart + 600s);
    EXPECT_FALSE(quarantine.tracksRequests(kStart + 600s));
}

// Guards against a client that names a segment like another's request to get it blocked.
TEST(CrashQuarantine, RequestSuspectIsNoSegmentId)
{
    EXPECT_NE(requestSuspect("d1").find(':'), std::string::npos);
    EXPECT_TRUE(isRequestSuspect(requestSuspect("d1")));
    EXPECT_FALSE(isRequestSuspect("d1"));
}

TEST(CrashQuarantine, ReportsDifferInThePromptOnly)
{
    CrashQuarantine quarantine;
    const std::string request = requestSuspect("d1");
    const auto promptOf = [&](const Segments &segments) {
        return quarantine.onCrash("e1", "r1", segments, kStart).prompt;
    };
    EXPECT_EQ(promptOf({ "a", "b", request }), promptOf({ "a", "b", requestSuspect("d2") }));
    EXPECT_NE(promptOf({ "a", "b", request }), promptOf({ "a", "c", request }));
}
