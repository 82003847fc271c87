#include "crash_evidence.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
using Segments = std::vector<std::string>;

class CrashEvidenceTest : public testing::Test
{
protected:
    /// Reports a crash of the next engine under a request with these segments, a second after the
    /// crash before.
    void crash(const Segments &segments, const Segments &established = {})
    {
        this->now += 1s;
        ++this->engineCount;
        this->report("r" + std::to_string(++this->requestCount), segments, established);
    }

    /// Reports one more request at the engine that crashed last.
    void alsoLost(const Segments &segments)
    {
        this->report("r" + std::to_string(++this->requestCount), segments, {});
    }

    void report(const std::string &request, const Segments &segments, const Segments &established)
    {
        this->evidence.onCrash({ .upstream = "e" + std::to_string(this->engineCount),
                                 .request = request,
                                 .segments = segments,
                                 .establishedSegments = established },
                               this->now);
    }

    Segments crashing() const { return this->evidence.crashingSegments(this->now); }

    CrashEvidence evidence;
    TimePoint now{ kStart };
    int engineCount{ 0 };
    int requestCount{ 0 };
};

} // namespace

TEST_F(CrashEvidenceTest, BlamesTheSegmentOfThreeCrashes)
{
    this->crash({ "bad", "x" });
    this->crash({ "bad", "y" });
    EXPECT_TRUE(this->crashing().empty());
    this->crash({ "bad", "z" });
    EXPECT_EQ(this->crashing(), Segments{ "bad" });
}

TEST_F(CrashEvidenceTest, BlamesNoSegmentOfRequestsThatWereInProgressBeside)
{
    for (int i = 0; i < 6; ++i) {
        this->crash({ "bad" });
        this->alsoLost({ i % 2 == 0 ? "sound" : "other" });
    }
    EXPECT_EQ(this->crashing(), Segments{ "bad" });
}

TEST_F(CrashEvidenceTest, BlamesTheLastOfSegmentsThatAlwaysOccurTogether)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ "shared", "bad" });
    EXPECT_EQ(this->crashing(), Segments{ "bad" });
}

TEST_F(CrashEvidenceTest, BlamesTwoSegmentsWithCrashesOfTheirOwn)
{
    for (int i = 0; i < 3; ++i) {
        this->crash({ "shared", "bad" });
        this->crash({ "shared", "worse" });
    }
    EXPECT_EQ(this->crashing(), Segments{ "shared" });
    this->evidence.clear("shared");
    Segments found = this->crashing();
    std::ranges::sort(found);
    EXPECT_EQ(found, (Segments{ "bad", "worse" }));
}

TEST_F(CrashEvidenceTest, BeginOfAnAnswerClearsItsSegments)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ "shared", "bad" });
    this->evidence.clear("bad");
    EXPECT_EQ(this->crashing(), Segments{ "shared" });
    this->evidence.clear("shared");
    EXPECT_TRUE(this->crashing().empty());
}

// Guards against a whole zone's crash that puts its most common segments into quarantine.
TEST_F(CrashEvidenceTest, EnginesThatEndAtOnceCountAsOneCrash)
{
    for (int i = 0; i < 20; ++i) {
        this->crash({ "common" });
        this->now -= 1s - 4ms;
    }
    EXPECT_TRUE(this->crashing().empty());
}

TEST_F(CrashEvidenceTest, RepeatsOfOneRequestAreNotEnough)
{
    for (int i = 0; i < 5; ++i) {
        this->now += 1s;
        ++this->engineCount;
        this->report("same", { "common" }, {});
    }
    EXPECT_TRUE(this->crashing().empty());
}

TEST_F(CrashEvidenceTest, SegmentThatWasServedBeforeNeedsSixCrashes)
{
    for (int i = 0; i < 5; ++i)
        this->crash({ "served" }, { "served" });
    EXPECT_TRUE(this->crashing().empty());
    this->crash({ "served" }, { "served" });
    EXPECT_EQ(this->crashing(), Segments{ "served" });
}

TEST_F(CrashEvidenceTest, OldCrashesAreForgotten)
{
    this->crash({ "bad" });
    this->crash({ "bad" });
    this->now += 61s;
    this->crash({ "bad" });
    EXPECT_TRUE(this->crashing().empty());
}

// Guards against a wrong first choice that stays in quarantine beside the right one.
TEST_F(CrashEvidenceTest, AcquitsASegmentOnceAnotherExplainsAllItsCrashes)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ "bad", "topic" });
    ASSERT_EQ(this->crashing(), Segments{ "topic" });
    this->crash({ "bad", "z" });
    ASSERT_EQ(this->crashing(), Segments{ "bad" });
    EXPECT_TRUE(this->evidence.acquittedSegments({ "bad" }, this->now).contains("topic"));
    this->crash({ "topic" });
    EXPECT_FALSE(this->evidence.acquittedSegments({ "bad" }, this->now).contains("topic"));
}

// Guards against a crashing segment that hides behind the sound requests beside it.
RC_GTEST_PROP(CrashEvidenceProperties, FindsTheCrashingSegmentWithinFiveCrashes,
              (std::uint32_t seed, std::uint32_t lostBeside))
{
    std::mt19937 random(seed);
    CrashEvidence evidence;
    TimePoint now = kStart;
    int request = 0;
    const auto report = [&](int engine, const Segments &segments) {
        evidence.onCrash({ .upstream = "e" + std::to_string(engine),
                           .request = "r" + std::to_string(++request),
                           .segments = segments },
                         now);
    };
    const auto topic = [&random] { return "topic" + std::to_string(random() % 8); };
    for (int engine = 0; engine < 5; ++engine) {
        now += Milliseconds(200 + random() % 3000);
        report(engine, { "shared", topic(), "bad" });
        for (std::uint32_t i = 0; i < lostBeside % 8; ++i)
            report(engine, { "shared", topic() });
    }
    // Answers to sound requests begin elsewhere.
    evidence.clear("shared");
    for (int i = 0; i < 8; ++i)
        evidence.clear("topic" + std::to_string(i));
    RC_ASSERT(evidence.crashingSegments(now) == Segments{ "bad" });
}
