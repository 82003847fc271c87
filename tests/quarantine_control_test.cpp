#include "quarantine_control.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

/// A registry that leads, with a quorum that accepts every proposal at once.
class QuarantineControlTest : public testing::Test
{
protected:
    /// Reports crashes of different engines with the segments, half a second apart.
    void crash(const std::vector<std::string> &segments, int count = 1)
    {
        for (; count > 0; --count) {
            this->now += 500ms;
            const std::string number = std::to_string(++this->crashCount);
            this->control.onCrash(
                    { .upstream = "e" + number, .request = "r" + number, .suspects = segments },
                    this->now);
            this->accept(this->control.propose(this->inForce, this->now));
        }
    }

    void begun(const std::string &segment)
    {
        this->control.onBegun({ segment }, this->inForce);
        this->accept(this->control.propose(this->inForce, this->now));
    }

    /// Asks for a probe; true when it is admitted.
    bool probe(const std::string &segment)
    {
        const auto text = this->control.proposeProbe(segment, this->inForce, this->now);
        this->accept(text);
        return text.has_value();
    }

    void accept(const std::optional<NumberedText> &text)
    {
        if (!text)
            return;
        EXPECT_EQ(text->name, kQuarantineText);
        EXPECT_EQ(text->number, this->inForce.number + 1);
        this->inForce = *text;
        EXPECT_TRUE(this->control.onApplied(this->inForce));
        this->control.onProposalEnded();
    }

    std::vector<std::string> quarantined() const
    {
        std::vector<std::string> segments;
        for (const QuarantinedSuspect &each : parseQuarantineText(this->inForce.text))
            segments.push_back(each.suspect);
        return segments;
    }

    QuarantineControl control;
    NumberedText inForce{ .name = kQuarantineText };
    TimePoint now{ kStart };
    int crashCount{ 0 };
};

using Segments = std::vector<std::string>;

} // namespace

TEST_F(QuarantineControlTest, QuarantinesASegmentAfterThreeCrashes)
{
    this->crash({ "bad" }, 2);
    EXPECT_TRUE(this->quarantined().empty());
    this->crash({ "bad" });
    EXPECT_EQ(this->quarantined(), Segments{ "bad" });
}

// Guards against sound requests that stay refused after a wrong decision.
TEST_F(QuarantineControlTest, ReleasesASegmentOnceAnAnswerWithItBegins)
{
    this->crash({ "sound" }, 3);
    ASSERT_EQ(this->quarantined(), Segments{ "sound" });
    this->begun("sound");
    EXPECT_TRUE(this->quarantined().empty());
    this->crash({ "sound" }, 2);
    EXPECT_TRUE(this->quarantined().empty());
}

TEST_F(QuarantineControlTest, RightSegmentReplacesTheWrongOne)
{
    this->crash({ "bad", "topic" }, 3);
    ASSERT_EQ(this->quarantined(), Segments{ "topic" });
    this->crash({ "bad", "other" });
    EXPECT_EQ(this->quarantined(), Segments{ "bad" });
}

// Guards against a new leader that drops what the leader before it had quarantined.
TEST_F(QuarantineControlTest, KeepsTheSegmentsOfAnEarlierLeader)
{
    this->inForce = { .name = kQuarantineText, .number = 7, .text = "0 bad\n" };
    this->control.onApplied(this->inForce);
    this->control.onLeadershipChanged();
    EXPECT_FALSE(this->control.propose(this->inForce, this->now).has_value());
    this->crash({ "worse" }, 3);
    EXPECT_EQ(this->quarantined(), (Segments{ "bad", "worse" }));
}

TEST_F(QuarantineControlTest, OneProposalAtATime)
{
    for (int i = 0; i < 3; ++i) {
        this->now += 1s;
        this->control.onCrash({ .upstream = "e" + std::to_string(i),
                                .request = "r" + std::to_string(i),
                                .suspects = { "bad" } },
                              this->now);
    }
    EXPECT_TRUE(this->control.propose(this->inForce, this->now).has_value());
    this->control.onLeadershipChanged();
    EXPECT_FALSE(this->control.propose(this->inForce, this->now).has_value());
    this->control.onProposalEnded();
    EXPECT_TRUE(this->control.propose(this->inForce, this->now).has_value());
}

TEST_F(QuarantineControlTest, CountsProbesInTheText)
{
    this->crash({ "bad" }, 3);
    EXPECT_FALSE(this->probe("bad"));
    this->now += 20s;
    EXPECT_TRUE(this->probe("bad"));
    EXPECT_EQ(parseQuarantineText(this->inForce.text).front().probes, 1U);
    EXPECT_FALSE(this->probe("bad"));
    EXPECT_FALSE(this->probe("unknown"));
}

TEST_F(QuarantineControlTest, BoundsTheNumberOfSegments)
{
    for (int i = 0; i < 70; ++i)
        this->crash({ "bad" + std::to_string(i) }, 3);
    EXPECT_EQ(this->quarantined().size(), 64U);
    EXPECT_EQ(this->quarantined().back(), "bad69");
}

TEST(SuspectProbes, IntervalsGrowWithTheNumberOfProbes)
{
    SuspectProbes probes;
    QuarantinedSuspect bad{ .suspect = "bad" };
    EXPECT_FALSE(probes.start(bad, kStart));
    EXPECT_FALSE(probes.start(bad, kStart + 19s));
    EXPECT_TRUE(probes.start(bad, kStart + 20s));
    bad.probes = 1;
    EXPECT_FALSE(probes.start(bad, kStart + 99s));
    EXPECT_TRUE(probes.start(bad, kStart + 100s));
}

// Guards against probes that a new leader admits as if there had been none.
TEST(SuspectProbes, NewLeaderWaitsAsLongAsTheProbesBeforeDemand)
{
    SuspectProbes probes;
    const QuarantinedSuspect bad{ .suspect = "bad", .probes = 2 };
    EXPECT_FALSE(probes.start(bad, kStart));
    EXPECT_FALSE(probes.start(bad, kStart + 319s));
    EXPECT_TRUE(probes.start(bad, kStart + 320s));
}
