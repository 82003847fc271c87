#include "piece_relay.h"

#include <gtest/gtest.h>

#include <map>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;
constexpr std::size_t kPieceBytes = 24000;

BlockReply piece(std::uint32_t number)
{
    return { .version = "m/2", .chunk = number, .bytes = std::string(kPieceBytes, 'w') };
}

} // namespace

TEST(PieceRelay, EachReceiverGetsEachPieceOnce)
{
    PieceRelay relay({});
    relay.onPiece(piece(1), { "a", "b", "c" }, kStart);
    relay.onPiece(piece(2), { "b", "c" }, kStart);
    std::map<std::string, std::vector<std::uint32_t>> received;
    while (const auto copy = relay.next(kStart)) {
        received[copy->to].push_back(copy->piece->chunk);
        relay.onAcknowledged(copy->to);
    }
    EXPECT_EQ(received["a"], (std::vector<std::uint32_t>{ 1 }));
    EXPECT_EQ(received["b"], (std::vector<std::uint32_t>{ 1, 2 }));
    EXPECT_EQ(received["c"], (std::vector<std::uint32_t>{ 1, 2 }));
}

// Guards against several in-flight copies to one receiver: on a throttled link, a request to the
// receiver's engine would queue behind all copies.
TEST(PieceRelay, ASlowReceiverHasOneInFlightCopyAndDelaysNoOtherReceiver)
{
    PieceRelay relay({});
    std::map<std::string, int> sent;
    for (std::uint32_t number = 0; number < 20; ++number) {
        const TimePoint now = kStart + number * 30ms;
        relay.onPiece(piece(number), { "slow", "quick" }, now);
        while (const auto copy = relay.next(now)) {
            ++sent[copy->to];
            if (copy->to == "quick")
                relay.onAcknowledged(copy->to);
        }
    }
    EXPECT_EQ(sent["quick"], 20);
    EXPECT_EQ(sent["slow"], 1);
    // A lost copy blocks further copies to its receiver only until `acknowledgeTimeout`.
    relay.onPiece(piece(30), { "slow" }, kStart + 3s);
    EXPECT_TRUE(relay.next(kStart + 3s));
}

TEST(PieceRelay, CopiesStayWithinTheRateLimit)
{
    // 1,000 bytes per millisecond: 24 ms per copy.
    PieceRelay relay({ .bytesPerMs = 1000 });
    std::size_t sent = 0;
    for (TimePoint now = kStart; now <= kStart + 240ms; now += 5ms) {
        relay.onPiece(piece(1), { "a", "b" }, now);
        while (const auto copy = relay.next(now)) {
            relay.onAcknowledged(copy->to);
            ++sent;
        }
    }
    EXPECT_GE(sent, 10U);
    EXPECT_LE(sent, 12U);
}

TEST(PieceRelay, ACopyQueuedTooLongIsDropped)
{
    PieceRelay relay({ .bytesPerMs = 1, .maxQueueTime = 1s });
    relay.onPiece(piece(1), { "a", "b" }, kStart);
    EXPECT_TRUE(relay.next(kStart));
    EXPECT_FALSE(relay.next(kStart + 60s));
    relay.onPiece({ .version = "m/2", .chunk = 1 }, { "a" }, kStart + 60s);
    EXPECT_FALSE(relay.next(kStart + 60s)) << "an empty reply is a refusal, not a piece";
}
