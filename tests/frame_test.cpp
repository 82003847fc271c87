#include "frame.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

FrameSealer sealerWith(const std::string &cluster, char keyByte)
{
    return FrameSealer({ .cluster = cluster,
                         .key = std::string(32, keyByte),
                         .sender = "a",
                         .incarnation = 3 });
}

/// Returns the error with which `sealer` rejects the frame `bytes`; FrameError::none when the frame
/// is accepted.
FrameError openError(const FrameSealer &sealer, const std::string &bytes)
{
    std::uint64_t counter = 0;
    Reason<FrameError> reason;
    return sealer.open(bytes, counter, reason) ? FrameError::none : reason.code;
}

} // namespace

TEST(Frame, OpensASealedFrame)
{
    FrameSealer sealer = sealerWith("c", 'k');
    const Ping ping{ .sequence = 42 };
    std::uint64_t counter = 0;
    Reason<FrameError> reason;
    const auto frame = sealer.open(sealer.seal(ping), counter, reason);
    ASSERT_TRUE(frame);
    EXPECT_EQ(std::get<Ping>(frame->message), ping);
    EXPECT_EQ(frame->incarnation, 3U);
    EXPECT_EQ(counter, 1U);
}

TEST(Frame, DropsDamagedFramesAndFramesOfAnotherClusterOrKey)
{
    FrameSealer sealer = sealerWith("c", 'k');
    std::string bytes = sealer.seal(Ping{ .sequence = 42 });
    EXPECT_EQ(openError(sealerWith("c", 'x'), bytes), FrameError::wrongKey);
    EXPECT_EQ(openError(sealerWith("d", 'k'), bytes), FrameError::wrongCluster);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_NE(openError(sealer, bytes.substr(0, size)), FrameError::none);
    for (char &byte : bytes) {
        byte = static_cast<char>(byte ^ 1);
        EXPECT_EQ(openError(sealer, bytes), FrameError::wrongKey);
        byte = static_cast<char>(byte ^ 1);
    }
    EXPECT_EQ(openError(sealer, std::string(kMaxFrameBytes + 1, 'x')), FrameError::oversize);
}

TEST(ReplayGuard, AcceptsEachCounterOnce)
{
    ReplayGuard guard;
    EXPECT_TRUE(guard.accept("a", 1, 5));
    EXPECT_TRUE(guard.accept("a", 1, 4));
    EXPECT_FALSE(guard.accept("a", 1, 5));
    EXPECT_FALSE(guard.accept("a", 1, 4));
    EXPECT_TRUE(guard.accept("a", 2, 1));
    EXPECT_FALSE(guard.accept("a", 1, 6));
}
