#include "event_stream_merger.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace egret;

namespace {

std::string eventOf(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

} // namespace

TEST(EventStreamMerger, PartialEventIsHeldUntilComplete)
{
    EventStreamMerger events;
    EXPECT_EQ(events.append("id: 1\nda"), "");
    EXPECT_GT(events.partialBytes(), 0U);
    EXPECT_EQ(events.append("ta: x\n\n"), eventOf(1));
    EXPECT_EQ(events.partialBytes(), 0U);
    EXPECT_EQ(events.lastEventId(), 1U);
}

TEST(EventStreamMerger, ResumedStreamRepeatsNoEvent)
{
    EventStreamMerger events;
    events.append(eventOf(1) + eventOf(2) + "id: 3\nda");
    events.begin();
    EXPECT_EQ(events.append(eventOf(2) + eventOf(3)), eventOf(3));
}

TEST(EventStreamMerger, ResumingClientGetsOnlyNewEvents)
{
    EventStreamMerger events(12);
    EXPECT_EQ(events.append(eventOf(12) + eventOf(13)), eventOf(13));
}

// Guards against lengths of responses that count comments or repeated events.
TEST(EventStreamMerger, CountsEachReturnedEventOnce)
{
    EventStreamMerger events;
    events.append(eventOf(1) + ": alive\n\n" + eventOf(2) + "id: 3\nda");
    events.begin();
    events.append(eventOf(2) + eventOf(3));
    EXPECT_EQ(events.returnedEvents(), 3U);
}

TEST(EventStreamMerger, EventsWithoutAnIdAreForwarded)
{
    EventStreamMerger events;
    EXPECT_EQ(events.append(": hello\n\n"), ": hello\n\n");
    EXPECT_EQ(events.append("weight-versions: 2\nid: 4\r\n\r\n"),
              "weight-versions: 2\nid: 4\r\n\r\n");
    EXPECT_EQ(events.lastEventId(), 4U);
}

// Guards against the text or the head of an error, or other text, in the middle of a stream.
TEST(EventStreamMerger, TextThatIsNoEventOfTheStreamIsAFault)
{
    for (const char *text : { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\n",
                              "data: {\"error\":\"broken\"}\n\n", "internal error\n\n" }) {
        EventStreamMerger events;
        events.append(eventOf(1) + eventOf(2));
        events.begin();
        EXPECT_EQ(events.append(text + eventOf(3)), "") << text;
        EXPECT_TRUE(events.hasFault()) << text;
        events.begin();
        EXPECT_EQ(events.append(": hello\n\n" + eventOf(3)), ": hello\n\n" + eventOf(3));
        EXPECT_FALSE(events.hasFault());
    }
}

// Guards against a stream with missing events when the next upstream goes on at another event.
TEST(EventStreamMerger, AResumedStreamThatSkipsEventsIsAFault)
{
    for (const std::uint64_t step : { 1U, 5U }) {
        EventStreamMerger events;
        events.append(eventOf(step) + eventOf(2 * step));
        events.begin();
        EXPECT_EQ(events.append(eventOf(4 * step)), "");
        EXPECT_TRUE(events.hasFault());
        events.begin();
        EXPECT_EQ(events.append(eventOf(3 * step)), eventOf(3 * step));
        EXPECT_FALSE(events.hasFault());
    }
    EventStreamMerger irregular;
    irregular.append(eventOf(1) + eventOf(3) + eventOf(4));
    irregular.begin();
    EXPECT_EQ(irregular.append(eventOf(9)), eventOf(9)) << "the next id can't be known";
}

// Guards against a resumed stream that ends at once and is passed on as complete.
TEST(EventStreamMerger, AResumedStreamReachesThePositionWithANewEventOrTheLastOne)
{
    EventStreamMerger events;
    events.begin();
    EXPECT_TRUE(events.hasReachedPosition()) << "a first attempt may be empty";
    events.append(eventOf(1) + eventOf(2));
    events.begin();
    EXPECT_FALSE(events.hasReachedPosition());
    events.append(eventOf(1));
    EXPECT_FALSE(events.hasReachedPosition());
    events.append(eventOf(2));
    EXPECT_TRUE(events.hasReachedPosition());
    events.begin();
    events.append(eventOf(3));
    EXPECT_TRUE(events.hasReachedPosition());
}

/// When attempts break at any byte and the next attempt resumes after the last complete event,
/// the client gets each event once.
TEST(EventStreamMerger, FuzzedBreaksLoseAndRepeatNoEvent)
{
    fuzz([] {
        const auto eventCount = *rc::gen::inRange<std::uint64_t>(1, 20);
        std::string expected;
        for (std::uint64_t i = 1; i <= eventCount; ++i)
            expected += eventOf(i);
        std::minstd_rand random(*rc::gen::arbitrary<std::uint32_t>());
        EventStreamMerger events;
        std::string forwarded;
        while (events.lastEventId().value_or(0) < eventCount) {
            events.begin();
            std::string remaining;
            for (std::uint64_t i = events.lastEventId().value_or(0) + 1; i <= eventCount; ++i)
                remaining += eventOf(i);
            const auto keptBytes = 1 + random() % remaining.size();
            remaining.resize(keptBytes);
            for (std::size_t at = 0; at < remaining.size(); at += 7)
                forwarded += events.append(remaining.substr(at, 7));
        }
        RC_ASSERT(forwarded == expected);
    });
}
