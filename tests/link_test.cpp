#include "link.h"

#include "digest.h"
#include "fuzz.h"
#include "loopback.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <condition_variable>

using namespace egret;

namespace {

constexpr Seconds kWaitTimeout = 15s;
constexpr std::size_t kNonceBytes = 32;
constexpr int kPeerCount = 200;

LinkHubOptions optionsFor(const Endpoint &listen)
{
    return { .listen = listen,
             .cluster = "c",
             .key = std::string(32, 'k'),
             .incarnation = 1,
             .self = { .instance = "me", .endpoint = listen.text() } };
}

/// Worker pool and hub; counts the calls of the hub's `onDown` handler.
struct CountingHub
{
    explicit CountingHub(const Endpoint &listen)
        : hub(this->pool, optionsFor(listen),
              { .onFrame = [](const LinkPtr &, Frame &&) {},
                .onDown = [this](const LinkPtr &) { ++this->downCount; } })
    {}
    ~CountingHub()
    {
        this->hub.shutdown();
        this->pool.stop();
    }

    /// Waits until `check()` is true, at most kWaitTimeout; returns the last result.
    template <class Check> static bool waitUntil(Check &&check)
    {
        const TimePoint end = std::chrono::steady_clock::now() + kWaitTimeout;
        while (!check() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(10ms);
        return check();
    }

    std::uint64_t dropCount(const std::string &reason)
    {
        const auto counts = this->hub.droppedFrames();
        const auto found = counts.find(reason);
        return found == counts.end() ? 0 : found->second;
    }

    WorkerPool pool{ 2 };
    std::atomic<int> downCount{ 0 };
    LinkHub hub;
};

asio::ip::tcp::endpoint tcpEndpointOf(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

TEST(Link, LimitsNumberAndFrameSizeOfUnauthenticatedPeers)
{
    const Endpoint listenEndpoint = freeLoopback("127.0.0.1");
    CountingHub countingHub(listenEndpoint);
    Reason<std::error_code> reason;
    ASSERT_TRUE(countingHub.hub.listen(reason));
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> peers;
    for (int i = 0; i < kPeerCount; ++i) {
        peers.emplace_back(context);
        peers.back().connect(tcpEndpointOf(listenEndpoint));
    }
    EXPECT_TRUE(
            CountingHub::waitUntil([&] { return countingHub.dropCount("tooManyUnproven") > 0; }));
    EXPECT_TRUE(CountingHub::waitUntil([&] { return countingHub.downCount == kPeerCount; }));
    // Closed connections no longer count as unauthenticated, and a first frame of 1 MiB is
    // rejected.
    asio::ip::tcp::socket oversizePeer(context);
    oversizePeer.connect(tcpEndpointOf(listenEndpoint));
    const std::string nonceAndLength =
            std::string(kNonceBytes, 'n') + std::string("\x00\x00\x10\x00", 4);
    asio::write(oversizePeer, asio::buffer(nonceAndLength));
    EXPECT_TRUE(CountingHub::waitUntil([&] { return countingHub.dropCount("oversize") == 1; }));
}

TEST(Link, LinkToASilentPeerIsClosedAndReported)
{
    asio::io_context context;
    asio::ip::tcp::acceptor silentAcceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint to{ .address = "127.0.0.1", .port = silentAcceptor.local_endpoint().port() };
    CountingHub countingHub(freeLoopback("127.0.0.1"));
    const LinkPtr closedLink = countingHub.hub.open(to, Channel::control);
    auto silentPeer = silentAcceptor.accept();
    asio::write(silentPeer, asio::buffer(std::string(kNonceBytes, 'n')));
    EXPECT_TRUE(CountingHub::waitUntil([&] { return countingHub.downCount == 1; }));
    EXPECT_NE(countingHub.hub.open(to, Channel::control), closedLink);
}

// The first packet to a host that is still starting is lost. A short timeout lets
// the next attempt reach the host as soon as the host is up. An attempt over a
// congested path takes longer, so the timeout grows with each failed attempt.
TEST(Link, ConnectTimeoutStartsShortAndGrows)
{
    asio::io_context context;
    asio::ip::tcp::acceptor silentAcceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint to{ .address = "127.0.0.1", .port = silentAcceptor.local_endpoint().port() };
    CountingHub countingHub(freeLoopback("127.0.0.1"));
    std::vector<Duration> attemptDurations;
    for (int attempt = 1; attempt <= 3; ++attempt) {
        const TimePoint startedAt = std::chrono::steady_clock::now();
        countingHub.hub.open(to, Channel::control);
        ASSERT_TRUE(CountingHub::waitUntil([&] { return countingHub.downCount == attempt; }));
        attemptDurations.push_back(std::chrono::steady_clock::now() - startedAt);
    }
    EXPECT_LT(attemptDurations[0], 900ms)
            << "TCP retransmits a lost first packet only after a second";
    EXPECT_GE(attemptDurations[1], 2 * 300ms);
    EXPECT_GE(attemptDurations[2], 4 * 300ms);
}

TEST(Frame, MalformedFrameWithAValidMacIsDecodedOrRejected)
{
    fuzz([] {
        const std::string key(32, 'k');
        FrameSealer sealer({ .cluster = "c", .key = key, .sender = "a", .incarnation = 1 });
        std::string content = sealer.seal(MemberTable{ .records = { {}, {} } });
        content.resize(content.size() - kDigestBytes);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, content.size()),
                              rc::gen::arbitrary<char>()));
        for (const auto &[position, byte] : changes)
            content[position] = byte;
        content.resize(*rc::gen::inRange<std::size_t>(0, content.size() + 1));
        std::uint64_t counter = 0;
        Reason<FrameError> reason;
        const auto frame = sealer.open(content + macOf(key, content), counter, reason);
        RC_ASSERT(frame.has_value() || reason.code != FrameError::none);
    });
}
