#include "zone_exchange.h"

#include <algorithm>
#include <map>

namespace egret {

namespace {

/// Turns of all zones that a record of another zone outlives.
constexpr int kTurnsKept = 3;
constexpr Milliseconds kLeastOthersLimit = 3s;
constexpr std::size_t kMaxPulled = 64;
/// Records in one datagram, so that it stays well under the largest.
constexpr std::size_t kRecordsPart = 32;

} // namespace

ZoneExchange::ZoneExchange(ZoneExchangeOptions options)
    : options(std::move(options)), random(this->options.randomSeed)
{}

Milliseconds ZoneExchange::othersSilenceLimit() const
{
    const auto turns = static_cast<int>(this->otherZones) * kTurnsKept;
    return std::max(kLeastOthersLimit, turns * this->options.pullPeriod);
}

ZoneExchange::Actions ZoneExchange::tick(UpstreamDirectory &directory,
                                         const std::vector<ExchangePeer> &peers, TimePoint now)
{
    Actions out;
    directory.expire(now);
    this->share(directory, peers, now, out);
    this->pull(peers, now, out);
    return out;
}

void ZoneExchange::share(UpstreamDirectory &directory, const std::vector<ExchangePeer> &peers,
                         TimePoint now, Actions &out)
{
    const bool withLoads = now >= this->nextLoads;
    if (withLoads)
        this->nextLoads = now + this->options.loadPeriod;
    RecordDeltas deltas = directory.takeDeltas(withLoads, now);
    if (deltas.loads.empty() && deltas.records.empty())
        return;
    for (const ExchangePeer &peer : peers) {
        if (peer.zone != this->options.zone || peer.incarnation == 0)
            continue;
        deltas.receiverIncarnation = peer.incarnation;
        for (std::size_t from = 0; from == 0 || from < deltas.records.size();
             from += kRecordsPart) {
            const std::size_t to = std::min(deltas.records.size(), from + kRecordsPart);
            RecordDeltas part{ .receiverIncarnation = peer.incarnation };
            part.records.assign(deltas.records.begin() + static_cast<std::ptrdiff_t>(from),
                                deltas.records.begin() + static_cast<std::ptrdiff_t>(to));
            if (from == 0)
                part.loads = deltas.loads;
            out.push_back({ .to = peer.endpoint, .message = std::move(part) });
        }
    }
}

/// Asks a random instance of the zone whose turn it is.
void ZoneExchange::pull(const std::vector<ExchangePeer> &peers, TimePoint now, Actions &out)
{
    if (now < this->nextPull)
        return;
    this->nextPull = now + this->options.pullPeriod;
    std::map<std::string, std::vector<const ExchangePeer *>> byZone;
    for (const ExchangePeer &peer : peers) {
        if (peer.zone != this->options.zone && peer.incarnation != 0)
            byZone[peer.zone].push_back(&peer);
    }
    this->otherZones = byZone.size();
    if (byZone.empty())
        return;
    const auto zone =
            std::next(byZone.begin(), static_cast<std::ptrdiff_t>(++this->turn % byZone.size()));
    const ExchangePeer &peer = *zone->second[this->random() % zone->second.size()];
    const std::size_t share = this->options.sampleTotal / byZone.size();
    const std::size_t wanted =
            std::clamp(share, this->options.sampleLeast, this->options.sampleMost);
    out.push_back({ .to = peer.endpoint,
                    .message = ZonePull{ .receiverIncarnation = peer.incarnation,
                                         .sampleLimit = static_cast<std::uint32_t>(wanted) } });
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
        pull.staticDigests = directory.deltas(*deltas, now);
        pull.staticDigests.resize(std::min(pull.staticDigests.size(), kMaxPulled));
        if (!pull.staticDigests.empty())
            out.push_back({ .to = sender.endpoint, .message = std::move(pull) });
    } else if (const auto *pull = std::get_if<RecordPull>(&message)) {
        if (pull->receiverIncarnation != ownIncarnation)
            return out;
        RecordDeltas answer{ .receiverIncarnation = sender.incarnation };
        answer.records = directory.recordsOf(pull->staticDigests, now);
        answer.records.resize(std::min(answer.records.size(), kMaxPulled));
        out.push_back({ .to = sender.endpoint, .message = std::move(answer) });
    } else if (const auto *ask = std::get_if<ZonePull>(&message)) {
        if (ask->receiverIncarnation != ownIncarnation)
            return out;
        const std::size_t limit = std::min<std::size_t>(ask->sampleLimit, this->options.sampleMost);
        ZoneReport report = directory.reportOf(this->options.zone, limit, this->random, now);
        report.receiverIncarnation = sender.incarnation;
        out.push_back({ .to = sender.endpoint, .message = std::move(report) });
    } else if (const auto *report = std::get_if<ZoneReport>(&message)) {
        if (report->receiverIncarnation == ownIncarnation)
            directory.report(*report, now);
    }
    return out;
}

} // namespace egret
