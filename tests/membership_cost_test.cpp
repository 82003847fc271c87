#include "membership.h"
#include "zone_exchange.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace egret;

namespace {

/// The stated size.
constexpr std::size_t kZones = 19;
constexpr std::size_t kEntriesPerZone = 20;
constexpr std::size_t kAgentsPerZone = 142;
constexpr std::size_t kHomesPerAgent = 3;
constexpr Seconds kLength = 60s;
constexpr Milliseconds kStep = 50ms;
/// Frame around a message, MAC, and the headers of UDP and IP.
constexpr std::size_t kOverheadBytes = 120;

std::string entryName(std::size_t i)
{
    return "entry-" + std::to_string(i);
}

std::string zoneName(std::size_t i)
{
    return "availability-zone-" + std::to_string(i);
}

MemberRecord memberOf(std::size_t i)
{
    return { .instance = entryName(i),
             .incarnation = 1'800'000'000'000'000,
             .endpoint = "127.0.0.1:" + std::to_string(1000 + i),
             .zone = zoneName(i % kZones),
             .region = "region-" + std::to_string(i % kZones / 4) };
}

AgentRecord agentOf(std::size_t i, std::uint64_t sequence)
{
    return { .agent = "agent-engine-" + std::to_string(i),
             .incarnation = 1'800'000'000'000'000,
             .sequence = sequence,
             .zone = zoneName(i % kZones),
             .region = "region-" + std::to_string(i % kZones / 4),
             .endpoint = "127.0.0.1:" + std::to_string(1000 + i),
             .state = UpstreamState::ready,
             .servedVersion = std::string(64, 'a'),
             .heldVersion = std::string(64, 'a'),
             .inFlight = static_cast<std::uint32_t>(sequence % 16),
             .limit = 16 };
}

struct Cost
{
    std::size_t sent{ 0 };
    std::size_t received{ 0 };
    std::clock_t began{ std::clock() };

    void count(std::size_t &sum, const Message &message)
    {
        sum += kOverheadBytes
               + std::visit([](const auto &body) { return encode(body).size(); }, message);
    }
    void countSent(const std::vector<SendDatagram> &actions)
    {
        for (const SendDatagram &action : actions)
            this->count(this->sent, action.message);
    }
    void print(const char *name) const
    {
        const double seconds = std::chrono::duration<double>(kLength).count();
        const double cpu = static_cast<double>(std::clock() - this->began) / CLOCKS_PER_SEC;
        std::printf("%s: sent %.0f B/s, received %.0f B/s, processor %.3f%% of a core\n", name,
                    static_cast<double>(this->sent) / seconds,
                    static_cast<double>(this->received) / seconds, 100 * cpu / seconds);
    }
};

} // namespace

/// Prints what the machine costs one of 380 members when all answer; fails
/// only when the machine does not work at that size.
TEST(MembershipCost, MembersAtTheStatedSize)
{
    constexpr std::size_t count = kZones * kEntriesPerZone;
    Membership members({ .self = memberOf(0), .randomSeed = 1 });
    TimePoint now{ 1h };
    members.tick(now);
    MemberTable table{ .receiverIncarnation = members.self().incarnation };
    for (std::size_t i = 1; i < count; ++i)
        table.records.push_back(memberOf(i));
    members.receive({ .instance = entryName(1), .incarnation = 1 }, table, now);
    Cost cost;
    std::mt19937_64 random(1);
    for (Duration passed{}; passed < kLength; passed += kStep) {
        now += kStep;
        const auto actions = members.tick(now);
        cost.countSent(actions);
        for (const SendDatagram &action : actions) {
            const auto *ping = std::get_if<MemberPing>(&action.message);
            if (ping == nullptr)
                continue;
            const std::size_t asked = std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000;
            const DatagramSender sender{ .instance = entryName(asked),
                                         .incarnation = 1,
                                         .endpoint = action.to };
            const Message ack = MemberAck{ .sequence = ping->sequence,
                                           .receiverIncarnation = members.self().incarnation,
                                           .reached = true,
                                           .tableDigest = ping->tableDigest,
                                           .self = memberOf(asked) };
            cost.count(cost.received, ack);
            members.receive(sender, ack, now);
            // As many pings come in as go out.
            const std::size_t asker = 1 + random() % (count - 1);
            const Message incoming = MemberPing{ .sequence = 1,
                                                 .receiverIncarnation = members.self().incarnation,
                                                 .tableDigest = ping->tableDigest,
                                                 .self = memberOf(asker) };
            cost.count(cost.received, incoming);
            cost.countSent(members.receive(
                    { .instance = entryName(asker), .incarnation = 1, .endpoint = "127.0.0.1:1" },
                    incoming, now));
        }
    }
    cost.print("membership, 380 members");
    EXPECT_EQ(members.members().size(), count - 1);
    EXPECT_EQ(members.suspicionsRaised(), 0U);
}

TEST(MembershipCost, DirectoryAtTheStatedSize)
{
    UpstreamDirectory directory;
    ZoneExchange exchange({ .zone = zoneName(0) });
    std::vector<ExchangePeer> peers;
    for (std::size_t i = 1; i < kZones * kEntriesPerZone; ++i)
        peers.push_back({ .endpoint = memberOf(i).endpoint,
                          .zone = zoneName(i % kZones),
                          .incarnation = 1 });
    // Agents of this zone by the entry instance that is their first home.
    std::vector<UpstreamDirectory> homes(kEntriesPerZone);
    std::vector<UpstreamDirectory> others(kZones);
    std::mt19937_64 random(1);
    Cost cost;
    TimePoint now{ 1h };
    for (int second = 0; second < kLength.count(); ++second) {
        const auto sequence = static_cast<std::uint64_t>(second) + 1;
        for (std::size_t i = 0; i < kAgentsPerZone; ++i) {
            const AgentRecord record = agentOf(i * kZones, sequence);
            const std::size_t home = i % kEntriesPerZone;
            if (home < kHomesPerAgent) {
                directory.announce(record, now, home == 0);
                cost.count(cost.received, Announce{ .receiverIncarnation = 1, .record = record });
                AnnounceReply reply;
                if (sequence % 5 == 0)
                    reply.peers.assign(32, { record.endpoint, record.zone, record.region });
                cost.count(cost.sent, reply);
            }
            if (home != 0)
                homes[home].announce(record, now, true);
        }
        for (std::size_t home = 1; home < kEntriesPerZone; ++home) {
            RecordDeltas deltas = homes[home].takeDeltas(true, now);
            deltas.receiverIncarnation = 1;
            cost.count(cost.received, deltas);
            cost.countSent(exchange.receive(directory, {}, deltas, 1, now));
        }
        for (Duration passed{}; passed < 1s; passed += kStep) {
            now += kStep;
            directory.setSilenceLimits(5s, exchange.othersSilenceLimit(), zoneName(0));
            const auto actions = exchange.tick(directory, peers, now);
            cost.countSent(actions);
            for (const SendDatagram &action : actions) {
                const auto *pull = std::get_if<ZonePull>(&action.message);
                if (pull == nullptr)
                    continue;
                const std::size_t asked =
                        std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000;
                UpstreamDirectory &other = others[asked % kZones];
                for (std::size_t i = 0; i < kAgentsPerZone; ++i)
                    other.announce(agentOf(i * kZones + asked % kZones, sequence), now);
                ZoneReport report =
                        other.reportOf(zoneName(asked % kZones), pull->sampleLimit, random, now);
                report.receiverIncarnation = 1;
                cost.count(cost.received, report);
                exchange.receive(directory, {}, report, 1, now);
                // As many instances of other zones ask this one.
                cost.countSent(exchange.receive(directory, {}, *pull, 1, now));
                cost.count(cost.received, *pull);
            }
        }
    }
    cost.print("directory, 142 agents in the zone, 18 other zones (with the fakes' own work)");
    std::size_t own = 0;
    for (const auto &[agent, upstream] : directory.upstreams())
        own += upstream.record.zone == zoneName(0) ? 1 : 0;
    std::printf("records held: %zu own, %zu of other zones\n", own,
                directory.upstreams().size() - own);
    EXPECT_EQ(own, kAgentsPerZone);
    EXPECT_EQ(directory.zones().size(), kZones - 1);
    EXPECT_LE(directory.upstreams().size() - own, 64U * 4U);
}
