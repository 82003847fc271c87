#include "zone_exchange.h"

#include <algorithm>
#include <map>

namespace egret {

namespace {

/// A record of another zone is removed when this number of rounds has brought no update. In one
/// round, each other zone is pulled once.
constexpr int kRetentionRounds = 3;
constexpr Milliseconds kMinOtherZonesTimeout = 3s;
constexpr std::size_t kMaxPulledRecords = 64;
/// Maximum number of records in a datagram with deltas; keeps the datagram well below
/// kMaxDatagramBytes.
constexpr std::size_t kMaxRecordsPerDatagram = 32;

} // namespace

ZoneExchange::ZoneExchange(ZoneExchangeOptions options)
    : options(std::move(options)), random(this->options.randomSeed)
{}

Milliseconds ZoneExchange::otherZonesSilenceTimeout() const
{
    const auto pullCount = static_cast<int>(this->otherZoneCount) * kRetentionRounds;
    return std::max(kMinOtherZonesTimeout, pullCount * this->options.pullPeriod);
}

ZoneExchange::Actions ZoneExchange::tick(UpstreamDirectory &directory,
                                         const std::vector<ExchangePeer> &peers, TimePoint now)
{
    Actions out;
    directory.expire(now);
    this->sendDeltas(directory, peers, now, out);
    this->pullNextZone(peers, now, out);
    return out;
}

void ZoneExchange::sendDeltas(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                              TimePoint now, Actions &out)
{
    const bool includesLoads = now >= this->nextLoadsAt;
    if (includesLoads)
        this->nextLoadsAt = now + this->options.loadPeriod;
    RecordDeltas deltas = directory.takeDeltas(includesLoads, now);
    if (deltas.loads.empty() && deltas.records.empty())
        return;
    for (const ExchangePeer &peer : peers) {
        if (peer.zone != this->options.zone || peer.incarnation == 0)
            continue;
        deltas.receiverIncarnation = peer.incarnation;
        for (std::size_t partBegin = 0; partBegin == 0 || partBegin < deltas.records.size();
             partBegin += kMaxRecordsPerDatagram) {
            const std::size_t partEnd =
                    std::min(deltas.records.size(), partBegin + kMaxRecordsPerDatagram);
            RecordDeltas part{ .receiverIncarnation = peer.incarnation };
            part.records.assign(deltas.records.begin() + static_cast<std::ptrdiff_t>(partBegin),
                                deltas.records.begin() + static_cast<std::ptrdiff_t>(partEnd));
            if (partBegin == 0)
                part.loads = deltas.loads;
            out.push_back({ .to = peer.endpoint, .message = std::move(part) });
        }
    }
}

/// Pulls the report of the next zone in turn from a random instance of that zone.
void ZoneExchange::pullNextZone(const std::vector<ExchangePeer> &peers, TimePoint now, Actions &out)
{
    if (now < this->nextPullAt)
        return;
    this->nextPullAt = now + this->options.pullPeriod;
    std::map<std::string, std::vector<const ExchangePeer *>> byZone;
    for (const ExchangePeer &peer : peers) {
        if (peer.zone != this->options.zone && peer.incarnation != 0)
            byZone[peer.zone].push_back(&peer);
    }
    this->otherZoneCount = byZone.size();
    if (byZone.empty())
        return;
    const auto zone = std::next(byZone.begin(),
                                static_cast<std::ptrdiff_t>(++this->pullTurn % byZone.size()));
    const ExchangePeer &peer = *zone->second[this->random() % zone->second.size()];
    const std::size_t evenShare = this->options.totalSampleSize / byZone.size();
    const std::size_t sampleSize =
            std::clamp(evenShare, this->options.minSampleSize, this->options.maxSampleSize);
    out.push_back({ .to = peer.endpoint,
                    .message = ZonePull{ .receiverIncarnation = peer.incarnation,
                                         .sampleLimit = static_cast<std::uint32_t>(sampleSize) } });
}

ZoneExchange::Actions ZoneExchange::receive(UpstreamDirectory &directory,
                                            const DatagramSender &sender, const Message &message,
                                            std::uint64_t ownIncarnation, TimePoint now)
{
    Actions out;
    if (const auto *deltas = std::get_if<RecordDeltas>(&message)) {
        if (deltas->receiverIncarnation != ownIncarnation)
            return out;
        RecordPull pull{ .receiverIncarnation = sender.incarnation };
        pull.staticDigests = directory.applyDeltas(*deltas, now);
        pull.staticDigests.resize(std::min(pull.staticDigests.size(), kMaxPulledRecords));
        if (!pull.staticDigests.empty())
            out.push_back({ .to = sender.endpoint, .message = std::move(pull) });
    } else if (const auto *pull = std::get_if<RecordPull>(&message)) {
        if (pull->receiverIncarnation != ownIncarnation)
            return out;
        RecordDeltas answer{ .receiverIncarnation = sender.incarnation };
        answer.records = directory.findRecords(pull->staticDigests, now);
        answer.records.resize(std::min(answer.records.size(), kMaxPulledRecords));
        out.push_back({ .to = sender.endpoint, .message = std::move(answer) });
    } else if (const auto *zonePull = std::get_if<ZonePull>(&message)) {
        if (zonePull->receiverIncarnation != ownIncarnation)
            return out;
        const std::size_t limit =
                std::min<std::size_t>(zonePull->sampleLimit, this->options.maxSampleSize);
        ZoneReport report = directory.buildZoneReport(this->options.zone, limit, this->random, now);
        report.receiverIncarnation = sender.incarnation;
        out.push_back({ .to = sender.endpoint, .message = std::move(report) });
    } else if (const auto *report = std::get_if<ZoneReport>(&message)) {
        if (report->receiverIncarnation == ownIncarnation)
            directory.applyZoneReport(*report, now);
    }
    return out;
}

} // namespace egret
