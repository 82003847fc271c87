#include "membership_service.h"

#include "swarm.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kLeastAnnouncePeriod = 200ms;
constexpr Milliseconds kMostAnnouncePeriod = 1s;
/// Announcements that an entry instance takes a second.
constexpr int kAnnounceRate = 20;
/// Announcement periods of silence after which an agent is dropped.
constexpr int kSilentPeriods = 5;
constexpr Milliseconds kLeastSilenceLimit = 3s;
/// Announcements of one agent of which one is answered with peers.
constexpr std::uint64_t kPeersEvery = 5;

Milliseconds announcePeriodFor(std::size_t agents)
{
    const Milliseconds fair = Milliseconds(Seconds(1)) * static_cast<int>(agents) / kAnnounceRate;
    return std::clamp(fair, kLeastAnnouncePeriod, kMostAnnouncePeriod);
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
    this->sendAll(this->membership.with([&](Membership &machine) { return machine.tick(now); }));
    const auto peers = this->peers();
    this->sendAll(this->exchange.with([&](ZoneExchange &machine) {
        const Milliseconds othersLimit = machine.othersSilenceLimit();
        return this->routing.with([&](RoutingTable &routes) {
            const Milliseconds period = announcePeriodFor(routes.directory.firstHandCount());
            routes.directory.setSilenceLimits(std::max(kLeastSilenceLimit, kSilentPeriods * period),
                                              othersLimit, this->zone);
            return machine.tick(routes.directory, peers, now);
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
    constexpr std::uint16_t kFirstOfMembership = 90;
    constexpr std::uint16_t kFirstOfExchange = 95;
    constexpr std::uint16_t kPastExchange = 99;
    if (id < kFirstOfMembership || id >= kPastExchange)
        return false;
    if (id < kFirstOfExchange) {
        this->sendAll(this->membership.with(
                [&](Membership &machine) { return machine.receive(sender, frame.message, now); }));
        return true;
    }
    this->sendAll(this->exchange.with([&](ZoneExchange &machine) {
        return this->routing.with([&](RoutingTable &routes) {
            return machine.receive(routes.directory, sender, frame.message, this->incarnation, now);
        });
    }));
    return true;
}

AnnounceReply MembershipService::onAnnounce(const Announce &announce)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const AgentRecord &record = announce.record;
    return this->routing.with([&](RoutingTable &routes) {
        AnnounceReply reply;
        UpstreamDirectory &directory = routes.directory;
        const bool isCurrent =
                announce.receiverIncarnation == this->incarnation && record.zone == this->zone;
        if (isCurrent)
            directory.announce(record, now, announce.isPrimaryTarget);
        reply.period = announcePeriodFor(directory.firstHandCount());
        const bool wantsPeers = record.sequence < kPeersEvery || record.sequence % kPeersEvery == 0;
        if (!isCurrent || !wantsPeers)
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
    this->sendAll(this->membership.with([&](Membership &machine) { return machine.leave(now); }));
}

std::vector<MemberRecord> MembershipService::list()
{
    return this->membership.with([](Membership &machine) {
        std::vector<MemberRecord> records;
        for (const auto &[instance, member] : machine.members())
            records.push_back(member.record);
        return records;
    });
}

std::string MembershipService::metricsText()
{
    std::size_t live = 0;
    for (const MemberRecord &record : this->list())
        live += isLive(record) ? 1 : 0;
    std::string text = "egret_members_live " + std::to_string(live) + "\n";
    return text + this->membership.with([](Membership &machine) {
        return "egret_member_suspicions_total " + std::to_string(machine.suspicionsRaised())
               + "\negret_member_refutations_total " + std::to_string(machine.refutationsSeen())
               + "\negret_member_cut_off " + std::to_string(machine.isCutOff() ? 1 : 0) + "\n";
    });
}

/// The live entry instances whose incarnation is known.
std::vector<ExchangePeer> MembershipService::peers()
{
    return this->membership.with([](Membership &machine) {
        std::vector<ExchangePeer> peers;
        for (const auto &[instance, member] : machine.members()) {
            if (isLive(member.record))
                peers.push_back({ .endpoint = member.record.endpoint,
                                  .zone = member.record.zone,
                                  .incarnation = machine.incarnationOf(instance) });
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
