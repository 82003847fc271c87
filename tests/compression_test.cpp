#include "compression.h"
#include "frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

/// Text about as long and repetitive as a typical configuration document of an operator.
std::string documentText()
{
    std::string text;
    for (int route = 0; route < 300; ++route)
        text += R"({"name":"route-)" + std::to_string(route * 7919 % 1000)
                + R"(","kind":"stream","timeoutMs":6000,"attempts":2,"regions":[]},)";
    return text;
}

FrameSealer makeSealer()
{
    return FrameSealer({ .cluster = "c", .key = std::string(32, 'k'), .sender = "me" });
}

/// Pseudorandom bytes; they compress as badly as model weights.
std::string incompressibleBytes()
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

TEST(Compression, FrameIsSmallerThanAFifthOfItsDocument)
{
    FrameSealer sealer = makeSealer();
    View view;
    view.state.texts.push_back({ .name = "document", .number = 7, .text = documentText() });
    const std::string bytes = sealer.seal(view);
    EXPECT_LT(bytes.size(), documentText().size() / 5);
    std::uint64_t counter = 0;
    Reason<FrameError> reason;
    const auto frame = sealer.open(bytes, counter, reason);
    ASSERT_TRUE(frame);
    EXPECT_EQ(std::get<View>(frame->message), view);
}

TEST(Compression, IncompressibleAndShortBytesAreNotCompressed)
{
    EXPECT_FALSE(compressBytes(incompressibleBytes())) << "random bytes can't be compressed";
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
    const std::size_t damagedPosition = *rc::gen::inRange<std::size_t>(0, compressed->size());
    std::string damagedBytes = *compressed;
    damagedBytes[damagedPosition] = static_cast<char>(damagedBytes[damagedPosition] ^ 0x55);
    const auto decompressed = decompressBytes(damagedBytes, bytes.size());
    RC_ASSERT(!decompressed || *decompressed == bytes);
}
