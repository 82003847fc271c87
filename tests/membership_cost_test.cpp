#include "membership.h"
#include "zone_exchange.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace egret;

namespace {

/// The deployment size that egretpulley must support.
constexpr std::size_t kZoneCount = 19;
constexpr std::size_t kEntryInstancesPerZone = 20;
constexpr std::size_t kAgentsPerZone = 142;
/// Number of entry instances to which each agent sends its announcements.
constexpr std::size_t kEntryInstancesPerAgent = 3;
constexpr Seconds kSimulatedTime = 60s;
constexpr Milliseconds kStep = 50ms;
/// Size of the frame header, message authentication code, UDP header and IP header that are sent
/// with each message.
constexpr std::size_t kOverheadBytes = 120;

std::string entryInstanceName(std::size_t i)
{
    return "entry-" + std::to_string(i);
}

std::string zoneName(std::size_t i)
{
    return "availability-zone-" + std::to_string(i);
}

MemberRecord makeMember(std::size_t i)
{
    return { .instance = entryInstanceName(i),
             .incarnation = 1'800'000'000'000'000,
             .endpoint = "127.0.0.1:" + std::to_string(1000 + i),
             .zone = zoneName(i % kZoneCount),
             .region = "region-" + std::to_string(i % kZoneCount / 4) };
}

AgentRecord makeAgent(std::size_t i, std::uint64_t sequence)
{
    return { .agent = "agent-engine-" + std::to_string(i),
             .incarnation = 1'800'000'000'000'000,
             .sequence = sequence,
             .zone = zoneName(i % kZoneCount),
             .region = "region-" + std::to_string(i % kZoneCount / 4),
             .endpoint = "127.0.0.1:" + std::to_string(1000 + i),
             .state = UpstreamState::ready,
             .servedVersion = std::string(64, 'a'),
             .heldVersion = std::string(64, 'a'),
             .inFlight = static_cast<std::uint32_t>(sequence % 16),
             .limit = 16 };
}

/// Traffic and processor time since construction.
struct Cost
{
    std::size_t sentBytes{ 0 };
    std::size_t receivedBytes{ 0 };
    std::clock_t cpuStart{ std::clock() };

    /// Adds the size of `message` on the wire to `sum`.
    void addBytes(std::size_t &sum, const Message &message)
    {
        sum += kOverheadBytes
               + std::visit([](const auto &body) { return encode(body).size(); }, message);
    }
    void countSent(const std::vector<SendDatagram> &actions)
    {
        for (const SendDatagram &action : actions)
            this->addBytes(this->sentBytes, action.message);
    }
    void print(const char *name) const
    {
        const double seconds = std::chrono::duration<double>(kSimulatedTime).count();
        const double cpuSeconds =
                static_cast<double>(std::clock() - this->cpuStart) / CLOCKS_PER_SEC;
        std::printf("%s: sent %.0f B/s, received %.0f B/s, processor %.3f%% of a core\n", name,
                    static_cast<double>(this->sentBytes) / seconds,
                    static_cast<double>(this->receivedBytes) / seconds, 100 * cpuSeconds / seconds);
    }
};

} // namespace

/// Prints the traffic and processor time of one of 380 members while all members
/// answer. Fails only when that member suspects or forgets another member.
TEST(MembershipCost, MembersAtTheRequiredSize)
{
    constexpr std::size_t memberCount = kZoneCount * kEntryInstancesPerZone;
    Membership membership({ .self = makeMember(0), .randomSeed = 1 });
    TimePoint now{ 1h };
    membership.tick(now);
    MemberTable table{ .receiverIncarnation = membership.self().incarnation };
    for (std::size_t i = 1; i < memberCount; ++i)
        table.records.push_back(makeMember(i));
    membership.receive({ .instance = entryInstanceName(1), .incarnation = 1 }, table, now);
    Cost cost;
    std::mt19937_64 random(1);
    for (Duration passed{}; passed < kSimulatedTime; passed += kStep) {
        now += kStep;
        const auto actions = membership.tick(now);
        cost.countSent(actions);
        for (const SendDatagram &action : actions) {
            const auto *ping = std::get_if<MemberPing>(&action.message);
            if (ping == nullptr)
                continue;
            const std::size_t pingedEntry =
                    std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000;
            const DatagramSender sender{ .instance = entryInstanceName(pingedEntry),
                                         .incarnation = 1,
                                         .endpoint = action.to };
            const Message ack = MemberAck{ .sequence = ping->sequence,
                                           .receiverIncarnation = membership.self().incarnation,
                                           .reached = true,
                                           .tableDigest = ping->tableDigest,
                                           .self = makeMember(pingedEntry) };
            cost.addBytes(cost.receivedBytes, ack);
            membership.receive(sender, ack, now);
            // One incoming ping for each outgoing ping.
            const std::size_t pingingEntry = 1 + random() % (memberCount - 1);
            const Message incoming =
                    MemberPing{ .sequence = 1,
                                .receiverIncarnation = membership.self().incarnation,
                                .tableDigest = ping->tableDigest,
                                .self = makeMember(pingingEntry) };
            cost.addBytes(cost.receivedBytes, incoming);
            cost.countSent(membership.receive({ .instance = entryInstanceName(pingingEntry),
                                                .incarnation = 1,
                                                .endpoint = "127.0.0.1:1" },
                                              incoming, now));
        }
    }
    cost.print("membership, 380 members");
    EXPECT_EQ(membership.members().size(), memberCount - 1);
    EXPECT_EQ(membership.suspicionsRaised(), 0U);
}

/// Prints the traffic and processor time of the record exchange of one entry instance at the
/// required size. Checks that the directory contains all agents of the own zone and a bounded
/// sample of the agents in other zones.
TEST(MembershipCost, DirectoryAtTheRequiredSize)
{
    UpstreamDirectory directory;
    ZoneExchange exchange({ .zone = zoneName(0) });
    std::vector<ExchangePeer> peers;
    for (std::size_t i = 1; i < kZoneCount * kEntryInstancesPerZone; ++i)
        peers.push_back({ .endpoint = makeMember(i).endpoint,
                          .zone = zoneName(i % kZoneCount),
                          .incarnation = 1 });
    // Directories of the other entry instances of the zone. Together, these instances are the
    // primary targets of most agents: an agent's primary target shares the agent's record with the
    // other entry instances of the zone.
    std::vector<UpstreamDirectory> primaryDirectories(kEntryInstancesPerZone);
    std::vector<UpstreamDirectory> otherZoneDirectories(kZoneCount);
    std::mt19937_64 random(1);
    Cost cost;
    TimePoint now{ 1h };
    for (int second = 0; second < kSimulatedTime.count(); ++second) {
        const auto sequence = static_cast<std::uint64_t>(second) + 1;
        for (std::size_t i = 0; i < kAgentsPerZone; ++i) {
            const AgentRecord record = makeAgent(i * kZoneCount, sequence);
            // Index of the entry instance that is the agent's primary target.
            const std::size_t primaryEntryIndex = i % kEntryInstancesPerZone;
            if (primaryEntryIndex < kEntryInstancesPerAgent) {
                directory.applyAnnouncement(record, now, primaryEntryIndex == 0);
                cost.addBytes(cost.receivedBytes,
                              Announce{ .receiverIncarnation = 1, .record = record });
                AnnounceReply reply;
                if (sequence % 5 == 0)
                    reply.peers.assign(32, { record.endpoint, record.zone, record.region });
                cost.addBytes(cost.sentBytes, reply);
            }
            if (primaryEntryIndex != 0)
                primaryDirectories[primaryEntryIndex].applyAnnouncement(record, now, true);
        }
        for (std::size_t primaryEntryIndex = 1; primaryEntryIndex < kEntryInstancesPerZone;
             ++primaryEntryIndex) {
            RecordDeltas deltas = primaryDirectories[primaryEntryIndex].takeDeltas(true, now);
            deltas.receiverIncarnation = 1;
            cost.addBytes(cost.receivedBytes, deltas);
            cost.countSent(exchange.receive(directory, {}, deltas, 1, now));
        }
        for (Duration passed{}; passed < 1s; passed += kStep) {
            now += kStep;
            directory.setSilenceTimeouts(5s, exchange.otherZonesSilenceTimeout(), zoneName(0));
            const auto actions = exchange.tick(directory, peers, now);
            cost.countSent(actions);
            for (const SendDatagram &action : actions) {
                const auto *pull = std::get_if<ZonePull>(&action.message);
                if (pull == nullptr)
                    continue;
                const std::size_t pulledEntry =
                        std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000;
                UpstreamDirectory &otherZone = otherZoneDirectories[pulledEntry % kZoneCount];
                for (std::size_t i = 0; i < kAgentsPerZone; ++i)
                    otherZone.applyAnnouncement(
                            makeAgent(i * kZoneCount + pulledEntry % kZoneCount, sequence), now);
                ZoneReport report = otherZone.buildZoneReport(zoneName(pulledEntry % kZoneCount),
                                                              pull->sampleLimit, random, now);
                report.receiverIncarnation = 1;
                cost.addBytes(cost.receivedBytes, report);
                exchange.receive(directory, {}, report, 1, now);
                // One incoming zone pull for each outgoing zone pull.
                cost.countSent(exchange.receive(directory, {}, *pull, 1, now));
                cost.addBytes(cost.receivedBytes, *pull);
            }
        }
    }
    cost.print("directory, 142 agents in the zone, 18 other zones (including the work of the "
               "simulated peers)");
    std::size_t ownZoneRecords = 0;
    for (const auto &[agent, upstream] : directory.upstreams())
        ownZoneRecords += upstream.record.zone == zoneName(0) ? 1 : 0;
    std::printf("records: %zu of the own zone, %zu of other zones\n", ownZoneRecords,
                directory.upstreams().size() - ownZoneRecords);
    EXPECT_EQ(ownZoneRecords, kAgentsPerZone);
    EXPECT_EQ(directory.zones().size(), kZoneCount - 1);
    EXPECT_LE(directory.upstreams().size() - ownZoneRecords, 64U * 4U);
}
