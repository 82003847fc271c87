#include "datagram.h"
#include "standin/relay.h"
#include "trial_relays.h"

#include "loopback.h"

#include <gtest/gtest.h>

#include <future>

using namespace egret;

namespace {

constexpr Seconds kTimeout = 10s;

TrialRelays relaysWith(const TrialRelay &relay)
{
    return TrialRelays(std::vector<TrialRelay>{ relay });
}

/// Fulfils `status` with the status of the reply and ignores everything else.
class StatusReply : public HttpReply
{
public:
    void send(int status, const std::string &, const std::string &, const HttpHeaders &) override
    {
        this->status.set_value(status);
    }
    void start(int, const std::string &, const HttpHeaders &) override {}
    void write(const std::string &) override {}
    void finish() override {}
    bool gone() const override { return false; }
    void onClientDisconnected(std::function<void()>) override {}

    std::promise<int> status;
};

} // namespace

TEST(TrialRelays, PreambleNamesBothEnds)
{
    const RelayedPair pair{ .source = { .address = "127.20.0.1", .port = 65535 },
                            .target = { .address = "127.21.3.255", .port = 256 } };
    const auto read = parseRelayPreamble(relayPreamble(pair));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->source, pair.source);
    EXPECT_EQ(read->target, pair.target);
    EXPECT_FALSE(parseRelayPreamble("short"));
}

TEST(TrialRelays, RelaysOnlyTheConfiguredPrefix)
{
    const TrialRelays relays = relaysWith({ .prefix = "127.21.", .via = "127.121.0.1:7" });
    EXPECT_TRUE(relays.relayFor({ .address = "127.21.0.1", .port = 1 }));
    EXPECT_FALSE(relays.relayFor({ .address = "127.20.0.1", .port = 1 }));
    EXPECT_FALSE(TrialRelays().relayFor({ .address = "127.21.0.1", .port = 1 }));
    EXPECT_TRUE(relays.isRelay({ .address = "127.121.0.1", .port = 7 }));
}

TEST(RelayStandin, ForwardsDatagramsAndRepliesUntilCut)
{
    WorkerPool pool(2);
    const Endpoint relayEndpoint = freeLoopback("127.121.0.1");
    const Endpoint endpointA = freeLoopback("127.20.0.1");
    const Endpoint endpointB = freeLoopback("127.21.0.1");
    StandinSettings settings{ .relayAddress = relayEndpoint.text() };
    settings.relayZones = { { .prefix = "127.20.", .zone = "a", .region = "r" },
                            { .prefix = "127.21.", .zone = "b", .region = "s" } };
    RelayStandin relay(pool, settings);
    std::promise<Endpoint> arrivedFrom;
    std::promise<void> replied;
    const auto optionsFor = [&](const Endpoint &at, const std::string &other) {
        return DatagramOptions{ .listen = at,
                                .cluster = "c",
                                .key = std::string(32, 'k'),
                                .sender = at.text(),
                                .incarnation = 1,
                                .trialRelays = relaysWith(
                                        { .prefix = other, .via = relayEndpoint.text() }) };
    };
    std::atomic<int> arrivals{ 0 };
    DatagramSocket first(pool, optionsFor(endpointA, "127.21."),
                         [&](const Endpoint &, Frame &&) { replied.set_value(); });
    DatagramSocket second(pool, optionsFor(endpointB, "127.20."),
                          [&](const Endpoint &from, Frame &&) {
                              if (++arrivals == 1)
                                  arrivedFrom.set_value(from);
                              second.send(from.text(), Pong{ .sequence = 1 });
                          });
    Reason<std::error_code> reason;
    ASSERT_TRUE(first.start(reason) && second.start(reason));
    first.send(endpointB.text(), Ping{ .sequence = 1 });
    auto from = arrivedFrom.get_future();
    ASSERT_EQ(from.wait_for(kTimeout), std::future_status::ready);
    EXPECT_EQ(from.get(), endpointA);
    EXPECT_EQ(replied.get_future().wait_for(kTimeout), std::future_status::ready);
    // The relay applies the cut before replying, so both later datagrams must be dropped.
    auto answer = std::make_shared<StatusReply>();
    relay.handle({ .method = "POST", .path = "/cut", .body = R"({"from":"a","to":"b"})" }, answer);
    EXPECT_EQ(answer->status.get_future().get(), 200);
    first.send(endpointB.text(), Ping{ .sequence = 2 });
    first.send(endpointB.text(), Ping{ .sequence = 3 });
    EXPECT_EQ(arrivals, 1);
    first.shutdown();
    second.shutdown();
    pool.stop();
    EXPECT_EQ(arrivals, 1);
}
