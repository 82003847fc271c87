#include "compression.h"
#include "frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

/// As long and as repetitive as an operator's document.
std::string documentText()
{
    std::string text;
    for (int route = 0; route < 300; ++route)
        text += R"({"name":"route-)" + std::to_string(route * 7919 % 1000)
                + R"(","kind":"stream","timeoutMs":6000,"attempts":2,"regions":[]},)";
    return text;
}

FrameSealer sealer()
{
    return FrameSealer({ .cluster = "c", .key = std::string(32, 'k'), .sender = "me" });
}

std::string weightsBytes()
{
    std::string bytes;
    std::uint64_t state = 88172645463325252ULL;
    while (bytes.size() < 24576) {
        state ^= state << 13U;
        state ^= state >> 7U;
        state ^= state << 17U;
        bytes += static_cast<char>(state & 0xffU);
    }
    return bytes;
}

} // namespace

TEST(Packing, ADocumentTravelsInAFifthOfItsBytes)
{
    FrameSealer seals = sealer();
    View view;
    view.state.texts.push_back({ .name = "document", .number = 7, .text = documentText() });
    const std::string bytes = seals.seal(view);
    EXPECT_LT(bytes.size(), documentText().size() / 5);
    std::uint64_t counter = 0;
    Reason<FrameError> reason;
    const auto frame = seals.open(bytes, counter, reason);
    ASSERT_TRUE(frame);
    EXPECT_EQ(std::get<View>(frame->message), view);
}

TEST(Packing, WeightsAndShortBytesTravelAsTheyAre)
{
    EXPECT_FALSE(packBytes(weightsBytes())) << "no gain";
    EXPECT_FALSE(packBytes("short"));
}

RC_GTEST_PROP(Packing, WhatWasPackedComesBackOrIsRefused, (const std::string &seed))
{
    std::string bytes;
    while (bytes.size() < 4096)
        bytes += seed + "some text that repeats";
    const auto packed = packBytes(bytes);
    RC_ASSERT(packed.has_value());
    RC_ASSERT(unpackBytes(*packed, bytes.size()) == bytes);
    RC_ASSERT(!unpackBytes(*packed, bytes.size() - 1));
    RC_ASSERT(!unpackBytes(*packed, bytes.size() + 1));
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, packed->size());
    std::string damaged = *packed;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x55);
    const auto unpacked = unpackBytes(damaged, bytes.size());
    RC_ASSERT(!unpacked || *unpacked == bytes);
}
