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
                                 .suspects = segments,
                                 .establishedSuspects = established },
                               this->now);
    }

    Segments crashing() const { return this->evidence.crashingSuspects(this->now); }

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
    EXPECT_TRUE(this->evidence.acquittedSuspects({ "bad" }, this->now).contains("topic"));
    this->crash({ "topic" });
    EXPECT_FALSE(this->evidence.acquittedSuspects({ "bad" }, this->now).contains("topic"));
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
                           .suspects = segments },
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
    RC_ASSERT(evidence.crashingSuspects(now) == Segments{ "bad" });
}

TEST_F(CrashEvidenceTest, BlamesARequestThatComesAgainBeforeItsSegments)
{
    const std::string request = requestSuspect("d1");
    for (int i = 0; i < 3; ++i)
        this->crash({ "shared", "topic", request });
    EXPECT_EQ(this->crashing(), Segments{ request });
}

// Guards against blame on all requests with one body when a segment of some of them crashes
// engines.
TEST_F(CrashEvidenceTest, BlamesTheSegmentWhenRequestsWithOneBodyDiffer)
{
    const std::string request = requestSuspect("d1");
    for (int i = 0; i < 3; ++i) {
        this->now += 1s;
        this->evidence.onCrash({ .upstream = "e" + std::to_string(i),
                                 .request = "r" + std::to_string(i),
                                 .suspects = { "bad", request },
                                 .prompt = "p" + std::to_string(i) },
                               this->now);
    }
    EXPECT_EQ(this->crashing(), Segments{ "bad" });
}

// Guards against blame on sound requests that are lost beside a crashing one and come again.
TEST_F(CrashEvidenceTest, BlamesNoRequestThatWasLostBesideAndCameAgain)
{
    const std::string crashing = requestSuspect("bad");
    for (int i = 0; i < 5; ++i) {
        this->crash({ crashing });
        if (i > 0)
            this->alsoLost({ requestSuspect("sound") });
    }
    EXPECT_EQ(this->crashing(), Segments{ crashing });
}

// Guards against a retry of the gateway that counts as the same crash because it follows at once.
TEST_F(CrashEvidenceTest, CrashUnderTheRetryOfARequestCounts)
{
    const std::string request = requestSuspect("d1");
    const auto crashAt = [&](const std::string &upstream, const std::string &attempt,
                             Milliseconds at) {
        this->evidence.onCrash(
                { .upstream = upstream, .request = attempt, .suspects = { request } }, kStart + at);
    };
    crashAt("e1", "a", 0ms);
    crashAt("e2", "a", 50ms);
    crashAt("e3", "b", 200ms);
    EXPECT_EQ(this->evidence.crashingSuspects(kStart + 300ms), Segments{ request });
}

// Guards against blame on sound requests when a zone is lost.
TEST_F(CrashEvidenceTest, SimultaneousCrashesUnderDifferentAttemptsCountOnce)
{
    const std::string request = requestSuspect("d1");
    for (int i = 0; i < 5; ++i)
        this->evidence.onCrash({ .upstream = "e" + std::to_string(i),
                                 .request = "a" + std::to_string(i),
                                 .suspects = { request } },
                               kStart + 10ms * i);
    EXPECT_TRUE(this->evidence.crashingSuspects(kStart + 100ms).empty());
}
