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
    std::map<std::string, std::vector<std::uint32_t>> got;
    while (const auto copy = relay.next(kStart))
        got[copy->to].push_back(copy->piece->chunk);
    EXPECT_EQ(got["a"], (std::vector<std::uint32_t>{ 1 }));
    EXPECT_EQ(got["b"], (std::vector<std::uint32_t>{ 1, 2 }));
    EXPECT_EQ(got["c"], (std::vector<std::uint32_t>{ 1, 2 }));
}

TEST(PieceRelay, CopiesKeepToTheirShareOfTheLink)
{
    // 1,000 bytes a millisecond: 24 ms a copy.
    PieceRelay relay({ .bytesPerMs = 1000 });
    const std::vector<std::string> receivers(20, "a");
    relay.onPiece(piece(1), receivers, kStart);
    std::size_t sent = 0;
    for (TimePoint now = kStart; now <= kStart + 240ms; now += 5ms) {
        while (relay.next(now))
            ++sent;
    }
    EXPECT_GE(sent, 10U);
    EXPECT_LE(sent, 12U);
}

TEST(PieceRelay, WhatWaitsTooLongIsDropped)
{
    PieceRelay relay({ .bytesPerMs = 1, .patience = 1s });
    relay.onPiece(piece(1), { "a", "b" }, kStart);
    EXPECT_TRUE(relay.next(kStart));
    EXPECT_FALSE(relay.next(kStart + 60s));
    relay.onPiece({ .version = "m/2", .chunk = 1 }, { "a" }, kStart + 60s);
    EXPECT_FALSE(relay.next(kStart + 60s)) << "a refusal is not a piece";
}
