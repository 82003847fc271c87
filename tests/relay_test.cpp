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

/// Stores the HTTP status of the reply in `status`; ignores the body and streaming calls.
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

TEST(TrialRelays, PreambleCarriesSourceAndTarget)
{
    const RelayedPair pair{ .source = { .address = "127.20.0.1", .port = 65535 },
                            .target = { .address = "127.21.3.255", .port = 256 } };
    const auto parsed = parseRelayPreamble(relayPreamble(pair));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->source, pair.source);
    EXPECT_EQ(parsed->target, pair.target);
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
    std::promise<Endpoint> senderSeenByB;
    std::promise<void> replyArrived;
    const auto optionsFor = [&](const Endpoint &local, const std::string &remotePrefix) {
        return DatagramOptions{ .listen = local,
                                .cluster = "c",
                                .key = std::string(32, 'k'),
                                .sender = local.text(),
                                .incarnation = 1,
                                .trialRelays = relaysWith(
                                        { .prefix = remotePrefix, .via = relayEndpoint.text() }) };
    };
    std::atomic<int> arrivalCount{ 0 };
    DatagramSocket socketA(pool, optionsFor(endpointA, "127.21."),
                           [&](const Endpoint &, Frame &&) { replyArrived.set_value(); });
    DatagramSocket socketB(pool, optionsFor(endpointB, "127.20."),
                           [&](const Endpoint &from, Frame &&) {
                               if (++arrivalCount == 1)
                                   senderSeenByB.set_value(from);
                               socketB.send(from.text(), Pong{ .sequence = 1 });
                           });
    Reason<std::error_code> reason;
    ASSERT_TRUE(socketA.start(reason) && socketB.start(reason));
    socketA.send(endpointB.text(), Ping{ .sequence = 1 });
    auto from = senderSeenByB.get_future();
    ASSERT_EQ(from.wait_for(kTimeout), std::future_status::ready);
    EXPECT_EQ(from.get(), endpointA);
    EXPECT_EQ(replyArrived.get_future().wait_for(kTimeout), std::future_status::ready);
    // The relay replies after it has applied the cut, so neither of the next two datagrams
    // may arrive.
    auto cutReply = std::make_shared<StatusReply>();
    relay.handle({ .method = "POST", .path = "/cut", .body = R"({"from":"a","to":"b"})" },
                 cutReply);
    EXPECT_EQ(cutReply->status.get_future().get(), 200);
    socketA.send(endpointB.text(), Ping{ .sequence = 2 });
    socketA.send(endpointB.text(), Ping{ .sequence = 3 });
    EXPECT_EQ(arrivalCount, 1);
    socketA.shutdown();
    socketB.shutdown();
    pool.stop();
    EXPECT_EQ(arrivalCount, 1);
}
