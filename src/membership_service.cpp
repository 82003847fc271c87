#include "membership_service.h"

#include "swarm.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kMinAnnouncePeriod = 200ms;
constexpr Milliseconds kMaxAnnouncePeriod = 1s;
/// Target rate of the announcements that one entry instance receives from all agents together.
constexpr int kAnnouncementsPerSecond = 20;
/// An agent is removed when no announcement has arrived for this number of announcement periods.
constexpr int kMaxSilentPeriods = 5;
constexpr Milliseconds kMinSilenceTimeout = 3s;
/// An announcement is answered with a list of swarm peers when its sequence number is below this
/// value or a multiple of this value.
constexpr std::uint64_t kPeerListInterval = 5;

/// Announcement period for an entry instance that receives the announcements of `agentCount`
/// agents.
Milliseconds announcePeriodFor(std::size_t agentCount)
{
    const Milliseconds sustainablePeriod =
            Milliseconds(Seconds(1)) * static_cast<int>(agentCount) / kAnnouncementsPerSecond;
    return std::clamp(sustainablePeriod, kMinAnnouncePeriod, kMaxAnnouncePeriod);
}

} // namespace

MembershipService::MembershipService(const MembershipServiceOptions &options,
                                     SharedRoutingTable &routing, Send send)
    : incarnation(options.self.incarnation), zone(options.self.zone), routing(routing),
      send(std::move(send)),
      membership(MembershipOptions{
              .self = options.self, .seeds = options.seeds, .randomSeed = this->incarnation }),
      exchange(ZoneExchangeOptions{ .zone = this->zone, .randomSeed = this->incarnation })
{}

void MembershipService::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->sendAll(this->membership.with(
            [&](Membership &stateMachine) { return stateMachine.tick(now); }));
    const auto peers = this->peers();
    this->sendAll(this->exchange.with([&](ZoneExchange &stateMachine) {
        const Milliseconds otherZonesTimeout = stateMachine.otherZonesSilenceTimeout();
        return this->routing.with([&](RoutingTable &routes) {
            const Milliseconds announcePeriod =
                    announcePeriodFor(routes.directory.directAgentCount());
            routes.directory.setSilenceTimeouts(
                    std::max(kMinSilenceTimeout, kMaxSilentPeriods * announcePeriod),
                    otherZonesTimeout, this->zone);
            return stateMachine.tick(routes.directory, peers, now);
        });
    }));
}

bool MembershipService::onDatagram(const Endpoint &from, const Frame &frame)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const DatagramSender sender{ .instance = frame.sender,
                                 .incarnation = frame.incarnation,
                                 .endpoint = from.text() };
    const std::uint16_t id = kMessageIds[frame.message.index()];
    // The ids of the membership messages are followed by the ids of the messages for ZoneExchange.
    constexpr std::uint16_t kFirstMembershipId = 90;
    constexpr std::uint16_t kFirstExchangeId = 95;
    constexpr std::uint16_t kExchangeIdsEnd = 99;
    if (id < kFirstMembershipId || id >= kExchangeIdsEnd)
        return false;
    if (id < kFirstExchangeId) {
        this->sendAll(this->membership.with([&](Membership &stateMachine) {
            return stateMachine.receive(sender, frame.message, now);
        }));
        return true;
    }
    this->sendAll(this->exchange.with([&](ZoneExchange &stateMachine) {
        return this->routing.with([&](RoutingTable &routes) {
            return stateMachine.receive(routes.directory, sender, frame.message, this->incarnation,
                                        now);
        });
    }));
    return true;
}

AnnounceReply MembershipService::onAnnounce(const Announce &announcement)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const AgentRecord &record = announcement.record;
    return this->routing.with([&](RoutingTable &routes) {
        AnnounceReply reply;
        UpstreamDirectory &directory = routes.directory;
        const bool isForThisProcess =
                announcement.receiverIncarnation == this->incarnation && record.zone == this->zone;
        if (isForThisProcess)
            directory.applyAnnouncement(record, now, announcement.isPrimaryTarget);
        reply.period = announcePeriodFor(directory.directAgentCount());
        const bool includesPeers =
                record.sequence < kPeerListInterval || record.sequence % kPeerListInterval == 0;
        if (!isForThisProcess || !includesPeers)
            return reply;
        std::vector<PeerRecord> engines;
        for (const auto &[agent, upstream] : directory.upstreams()) {
            if (upstream.record.kind == UpstreamKind::engine)
                engines.push_back({ .endpoint = upstream.record.endpoint,
                                    .zone = upstream.record.zone,
                                    .region = upstream.record.region });
        }
        reply.peers = selectSwarmPeers(
                engines,
                { .endpoint = record.endpoint, .zone = record.zone, .region = record.region });
        return reply;
    });
}

void MembershipService::leave()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->sendAll(this->membership.with(
            [&](Membership &stateMachine) { return stateMachine.leave(now); }));
}

std::vector<MemberRecord> MembershipService::memberRecords()
{
    return this->membership.with([](Membership &stateMachine) {
        std::vector<MemberRecord> records;
        for (const auto &[instance, member] : stateMachine.members())
            records.push_back(member.record);
        return records;
    });
}

std::string MembershipService::metricsText()
{
    std::size_t liveCount = 0;
    for (const MemberRecord &record : this->memberRecords())
        liveCount += isLive(record) ? 1 : 0;
    std::string text = "egret_members_live " + std::to_string(liveCount) + "\n";
    return text + this->membership.with([](Membership &stateMachine) {
        return "egret_member_suspicions_total " + std::to_string(stateMachine.suspicionsRaised())
               + "\negret_member_refutations_total "
               + std::to_string(stateMachine.refutationsSeen()) + "\negret_member_cut_off "
               + std::to_string(stateMachine.isCutOff() ? 1 : 0) + "\n";
    });
}

/// The other live entry instances. The incarnation is 0 for an instance from which no datagram has
/// been received yet.
std::vector<ExchangePeer> MembershipService::peers()
{
    return this->membership.with([](Membership &stateMachine) {
        std::vector<ExchangePeer> peers;
        for (const auto &[instance, member] : stateMachine.members()) {
            if (isLive(member.record))
                peers.push_back({ .endpoint = member.record.endpoint,
                                  .zone = member.record.zone,
                                  .incarnation = stateMachine.incarnationOf(instance) });
        }
        return peers;
    });
}

void MembershipService::sendAll(const std::vector<SendDatagram> &actions)
{
    for (const SendDatagram &action : actions)
        this->send(action.to, action.message);
}

} // namespace egret
