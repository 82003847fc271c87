#include "registry.h"

#include <algorithm>

namespace egret {

bool Registry::onAnnouncement(const UpstreamRecord &record, TimePoint now)
{
    this->announcedIds.insert(record.id);
    const bool isChanged = this->records.apply(record);
    return this->onUpdate(record.id, isChanged, now);
}

bool Registry::markDeparted(const std::string &id, std::uint64_t startedAtMs, TimePoint now)
{
    this->announcedIds.insert(id);
    const bool isChanged = this->records.markDeparted(id, startedAtMs);
    return this->onUpdate(id, isChanged, now);
}

bool Registry::onPeerRecords(const std::vector<UpstreamRecord> &records, TimePoint now)
{
    bool isAnyChanged = false;
    for (const UpstreamRecord &record : records) {
        const bool isChanged = this->records.apply(record);
        isAnyChanged = this->onUpdate(record.id, isChanged, now) || isAnyChanged;
    }
    return isAnyChanged;
}

bool Registry::onUpdate(const std::string &id, bool isChanged, TimePoint now)
{
    Entry &entry = this->entries[id];
    entry.lastUpdateAt = now;
    // `setSilent` returns whether the flag changed.
    const bool wasSilent = this->records.setSilent(id, false);
    if (!isChanged && !wasSilent)
        return false;
    entry.changeNumber = ++this->lastChangeNumber;
    return true;
}

std::vector<UpstreamRecord> Registry::takeAnnounced()
{
    std::vector<UpstreamRecord> records;
    for (const std::string &id : std::exchange(this->announcedIds, {})) {
        if (const UpstreamRecord *record = this->records.find(id))
            records.push_back(*record);
    }
    return records;
}

bool Registry::tick(TimePoint now)
{
    bool isAnyChanged = false;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const UpstreamRecord *record = this->records.find(entry->first);
        const Duration sinceUpdate = now - entry->second.lastUpdateAt;
        // An entry has no record when the record received first was rejected, because a later
        // incarnation has the same address. The entry is treated like that of a departed
        // upstream.
        const bool isDepartedOrUnknown =
                record == nullptr || record->notice == AnnouncedState::gone;
        if (isDepartedOrUnknown && sinceUpdate > this->options.departedRetention) {
            this->records.erase(entry->first);
            entry = this->entries.erase(entry);
            continue;
        }
        if (!isDepartedOrUnknown && sinceUpdate > this->options.silentAfter
            && this->records.setSilent(entry->first, true)) {
            entry->second.changeNumber = ++this->lastChangeNumber;
            isAnyChanged = true;
        }
        ++entry;
    }
    return isAnyChanged;
}

std::vector<UpstreamRecord> Registry::changesSince(std::uint64_t changeNumber, TimePoint now) const
{
    std::vector<UpstreamRecord> changedRecords;
    for (const auto &[id, entry] : this->entries) {
        const UpstreamRecord *record = this->records.find(id);
        if (record == nullptr || entry.changeNumber <= changeNumber)
            continue;
        changedRecords.push_back(*record);
        const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.lastUpdateAt);
        changedRecords.back().coldFor = std::max(0ms, record->coldFor - age);
    }
    return changedRecords;
}

} // namespace egret
