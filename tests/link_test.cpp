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

constexpr Seconds kWaitLimit = 15s;
constexpr std::size_t kNonceBytes = 32;
constexpr int kPeers = 200;

LinkHubOptions optionsFor(const Endpoint &listen)
{
    return { .listen = listen,
             .cluster = "c",
             .key = std::string(32, 'k'),
             .incarnation = 1,
             .self = { .instance = "me", .endpoint = listen.text() } };
}

/// A hub that counts the links reported down.
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

    template <class Check> static bool eventually(Check &&check)
    {
        const TimePoint end = std::chrono::steady_clock::now() + kWaitLimit;
        while (!check() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(10ms);
        return check();
    }

    std::uint64_t dropped(const std::string &reason)
    {
        const auto counts = this->hub.droppedFrames();
        const auto found = counts.find(reason);
        return found == counts.end() ? 0 : found->second;
    }

    WorkerPool pool{ 2 };
    std::atomic<int> downCount{ 0 };
    LinkHub hub;
};

asio::ip::tcp::endpoint tcp(const Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

TEST(Link, UnauthenticatedPeersAreBoundedInCountAndBytes)
{
    const Endpoint at = freeLoopback("127.0.0.1");
    CountingHub host(at);
    Reason<std::error_code> reason;
    ASSERT_TRUE(host.hub.listen(reason));
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> peers;
    for (int i = 0; i < kPeers; ++i) {
        peers.emplace_back(context);
        peers.back().connect(tcp(at));
    }
    EXPECT_TRUE(CountingHub::eventually([&] { return host.dropped("tooManyUnproven") > 0; }));
    EXPECT_TRUE(CountingHub::eventually([&] { return host.downCount == kPeers; }));
    // Closed peers no longer count, and an oversize first frame is rejected.
    asio::ip::tcp::socket large(context);
    large.connect(tcp(at));
    const std::string bytes = std::string(kNonceBytes, 'n') + std::string("\x00\x00\x10\x00", 4);
    asio::write(large, asio::buffer(bytes));
    EXPECT_TRUE(CountingHub::eventually([&] { return host.dropped("oversize") == 1; }));
}

TEST(Link, SilentPeerIsReportedDown)
{
    asio::io_context context;
    asio::ip::tcp::acceptor blackHole(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint to{ .address = "127.0.0.1", .port = blackHole.local_endpoint().port() };
    CountingHub host(freeLoopback("127.0.0.1"));
    const LinkPtr first = host.hub.open(to, Channel::control);
    auto silent = blackHole.accept();
    asio::write(silent, asio::buffer(std::string(kNonceBytes, 'n')));
    EXPECT_TRUE(CountingHub::eventually([&] { return host.downCount == 1; }));
    EXPECT_NE(host.hub.open(to, Channel::control), first);
}

// A machine that is off drops the first packet, so a short timeout lets another
// attempt reach the machine as soon as it is up. Over a congested path an attempt
// takes longer, so the timeout grows with each attempt.
TEST(Link, ConnectTimeoutStartsShortAndGrows)
{
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint to{ .address = "127.0.0.1", .port = silent.local_endpoint().port() };
    CountingHub host(freeLoopback("127.0.0.1"));
    std::vector<Duration> spent;
    for (int attempt = 1; attempt <= 3; ++attempt) {
        const TimePoint begin = std::chrono::steady_clock::now();
        host.hub.open(to, Channel::control);
        ASSERT_TRUE(CountingHub::eventually([&] { return host.downCount == attempt; }));
        spent.push_back(std::chrono::steady_clock::now() - begin);
    }
    EXPECT_LT(spent[0], 900ms) << "TCP retransmits a lost first packet only after a second";
    EXPECT_GE(spent[1], 2 * 300ms);
    EXPECT_GE(spent[2], 4 * 300ms);
}

TEST(Frame, MalformedBytesUnderAValidMacAreRejected)
{
    fuzz([] {
        const std::string key(32, 'k');
        FrameSealer sealer({ .cluster = "c", .key = key, .sender = "a", .incarnation = 1 });
        std::string content = sealer.seal(MemberTable{ .records = { {}, {} } });
        content.resize(content.size() - kDigestBytes);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, content.size()),
                              rc::gen::arbitrary<char>()));
        for (const auto &[at, byte] : changes)
            content[at] = byte;
        content.resize(*rc::gen::inRange<std::size_t>(0, content.size() + 1));
        std::uint64_t counter = 0;
        Reason<FrameError> reason;
        const auto frame = sealer.open(content + macOf(key, content), counter, reason);
        RC_ASSERT(frame.has_value() || reason.code != FrameError::none);
    });
}
