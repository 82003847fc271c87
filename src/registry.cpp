#include "registry.h"

#include <algorithm>

namespace egret {

bool Registry::onAnnouncement(const UpstreamRecord &record, TimePoint now)
{
    this->heard.insert(record.id);
    const bool isNews = this->records.take(record);
    return this->note(record.id, isNews, now);
}

bool Registry::depart(const std::string &id, std::uint64_t startedAtMs, TimePoint now)
{
    this->heard.insert(id);
    const bool isNews = this->records.depart(id, startedAtMs);
    return this->note(id, isNews, now);
}

bool Registry::onPeerRecords(const std::vector<UpstreamRecord> &news, TimePoint now)
{
    bool changed = false;
    for (const UpstreamRecord &record : news) {
        const bool isNews = this->records.take(record);
        changed = this->note(record.id, isNews, now) || changed;
    }
    return changed;
}

bool Registry::note(const std::string &id, bool isNews, TimePoint now)
{
    Standing &standing = this->standings[id];
    standing.heardAt = now;
    const bool isHeardAgain = this->records.setQuiet(id, false);
    if (!isNews && !isHeardAgain)
        return false;
    standing.change = ++this->lastChange;
    return true;
}

std::vector<UpstreamRecord> Registry::takeAnnounced()
{
    std::vector<UpstreamRecord> news;
    for (const std::string &id : std::exchange(this->heard, {})) {
        if (const UpstreamRecord *record = this->records.find(id))
            news.push_back(*record);
    }
    return news;
}

bool Registry::tick(TimePoint now)
{
    bool changed = false;
    for (auto standing = this->standings.begin(); standing != this->standings.end();) {
        const UpstreamRecord *record = this->records.find(standing->first);
        const Duration silence = now - standing->second.heardAt;
        const bool isGone = record == nullptr || record->notice == AnnouncedState::gone;
        if (isGone && silence > this->options.forgetAfter) {
            this->records.erase(standing->first);
            standing = this->standings.erase(standing);
            continue;
        }
        if (!isGone && silence > this->options.quietAfter
            && this->records.setQuiet(standing->first, true)) {
            standing->second.change = ++this->lastChange;
            changed = true;
        }
        ++standing;
    }
    return changed;
}

std::vector<UpstreamRecord> Registry::since(std::uint64_t change, TimePoint now) const
{
    std::vector<UpstreamRecord> changed;
    for (const auto &[id, standing] : this->standings) {
        const UpstreamRecord *record = this->records.find(id);
        if (record == nullptr || standing.change <= change)
            continue;
        changed.push_back(*record);
        const auto age = std::chrono::duration_cast<Milliseconds>(now - standing.heardAt);
        changed.back().coldFor = std::max(0ms, record->coldFor - age);
    }
    return changed;
}

} // namespace egret
