#include "compression.h"
#include "frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

/// Text with the length and repetition of a typical operator's document.
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

TEST(Compression, FrameOfADocumentIsBelowAFifthOfItsSize)
{
    FrameSealer frames = sealer();
    View view;
    view.state.texts.push_back({ .name = "document", .number = 7, .text = documentText() });
    const std::string bytes = frames.seal(view);
    EXPECT_LT(bytes.size(), documentText().size() / 5);
    std::uint64_t counter = 0;
    Reason<FrameError> reason;
    const auto frame = frames.open(bytes, counter, reason);
    ASSERT_TRUE(frame);
    EXPECT_EQ(std::get<View>(frame->message), view);
}

TEST(Compression, IncompressibleAndShortBytesAreNotCompressed)
{
    EXPECT_FALSE(compressBytes(weightsBytes())) << "random bytes do not get smaller";
    EXPECT_FALSE(compressBytes("short"));
}

RC_GTEST_PROP(Compression, DecompressionRestoresTheBytesOrFails, (const std::string &seed))
{
    std::string bytes;
    while (bytes.size() < 4096)
        bytes += seed + "some text that repeats";
    const auto compressed = compressBytes(bytes);
    RC_ASSERT(compressed.has_value());
    RC_ASSERT(decompressBytes(*compressed, bytes.size()) == bytes);
    RC_ASSERT(!decompressBytes(*compressed, bytes.size() - 1));
    RC_ASSERT(!decompressBytes(*compressed, bytes.size() + 1));
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, compressed->size());
    std::string damaged = *compressed;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x55);
    const auto decompressed = decompressBytes(damaged, bytes.size());
    RC_ASSERT(!decompressed || *decompressed == bytes);
}
