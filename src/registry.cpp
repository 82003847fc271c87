#include "registry.h"

#include <algorithm>

namespace egret {

namespace {

/// An announcement whose slow start ends later than known by more than this comes from an upstream
/// that turned cold again; smaller differences come from the delay of announcements.
constexpr Milliseconds kSlowStartTolerance = 200ms;

} // namespace

bool Registry::onAnnouncement(const UpstreamRecord &record, TimePoint now)
{
    this->announcedIds.insert(record.id);
    return this->onRecord(record, now);
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
    for (const UpstreamRecord &record : records)
        isAnyChanged = this->onRecord(record, now) || isAnyChanged;
    return isAnyChanged;
}

bool Registry::onRecord(const UpstreamRecord &record, TimePoint now)
{
    const bool isRepeated = this->records.isStored(record);
    bool isChanged = this->records.apply(record);
    if (!isRepeated && this->records.isStored(record)) {
        Entry &entry = this->entries[record.id];
        const TimePoint slowStartUntil = now + record.coldFor;
        const bool isColdAgain =
                record.coldFor > 0ms && slowStartUntil > entry.slowStartUntil + kSlowStartTolerance;
        isChanged = isChanged || isColdAgain;
        entry.slowStartUntil = slowStartUntil;
    }
    return this->onUpdate(record.id, isChanged, now);
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

std::vector<UpstreamRecord> Registry::takeAnnounced(TimePoint now)
{
    std::vector<UpstreamRecord> records;
    for (const std::string &id : std::exchange(this->announcedIds, {})) {
        if (const UpstreamRecord *record = this->records.find(id))
            records.push_back(agedRecord(*record, this->entries[id], now));
    }
    return records;
}

UpstreamRecord Registry::agedRecord(const UpstreamRecord &record, const Entry &entry, TimePoint now)
{
    UpstreamRecord aged = record;
    aged.coldFor = std::max(0ms, std::chrono::ceil<Milliseconds>(entry.slowStartUntil - now));
    return aged;
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

RecordChanges Registry::changesSince(std::uint64_t changeNumber, TimePoint now,
                                     std::size_t limit) const
{
    RecordChanges changes{ .lastChange = this->lastChangeNumber };
    if (changeNumber >= this->lastChangeNumber)
        return changes;
    std::map<std::uint64_t, const std::string *> idsByChange;
    for (const auto &[id, entry] : this->entries) {
        if (entry.changeNumber > changeNumber && this->records.find(id) != nullptr)
            idsByChange.emplace(entry.changeNumber, &id);
    }
    std::uint64_t lastIncluded = changeNumber;
    for (const auto &[change, id] : idsByChange) {
        if (changes.records.size() == limit) {
            changes.lastChange = lastIncluded;
            break;
        }
        changes.records.push_back(agedRecord(*this->records.find(*id), this->entries.at(*id), now));
        lastIncluded = change;
    }
    return changes;
}

} // namespace egret
