#pragma once

#include "upstream_records.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

struct RegistryOptions
{
    /// Time without announcements after which an upstream is silent: the time of three missed
    /// announcements, because single announcements may arrive seconds late.
    Milliseconds silentAfter{ 4s };
    /// Time for which the record of a departed upstream is kept: longer than the network may delay
    /// an announcement, because an announcement after the removal would add the upstream again.
    Milliseconds departedRetention{ 60s };
    /// Bound on the known upstreams. Announcements of further ones are not accepted, so that a
    /// writer of endless new names can't exhaust the memory of the readers.
    std::size_t maxUpstreams{ 4000 };
};

/// Records that a reader lacks.
struct RecordChanges
{
    std::vector<UpstreamRecord> records;
    std::uint64_t lastChange{ 0 }; ///< number of the last change that `records` include
};

/// Upstreams known to one registry instance, from their own announcements and from other
/// registry instances. Readers are the gateways and stagers that get the records. Each change of
/// a record gets the next change number, so that a reader gets only the records that changed
/// after the last change number sent to it. Deterministic; not thread safe.
class Registry
{
public:
    explicit Registry(RegistryOptions options = {}) : options(options) {}

    /// Applies an announcement from the upstream itself; true when its record changed.
    bool onAnnouncement(const UpstreamRecord &record, TimePoint now);

    /// Applies the departure that the upstream `id` announced; true when its record changed.
    /// `startedAtMs` identifies the departed incarnation if the upstream is unknown.
    bool markDeparted(const std::string &id, std::uint64_t startedAtMs, TimePoint now);

    /// Applies records from another registry instance; true when any record changed.
    bool onPeerRecords(const std::vector<UpstreamRecord> &records, TimePoint now);

    /// Returns the records of upstreams that announced themselves or their departure since the
    /// last call, to be sent to the other registry instances. Their `coldFor` is reduced to the
    /// value at `now`.
    std::vector<UpstreamRecord> takeAnnounced(TimePoint now);

    /// Marks upstreams with overdue announcements as silent and removes the records of departed
    /// upstreams after `departedRetention`; true when any upstream became silent. Readers are not
    /// told of removals.
    bool tick(TimePoint now);

    /// Number of the last change; 0 before the first change.
    std::uint64_t change() const { return this->lastChangeNumber; }

    /// Returns the records that changed after `changeNumber`, in the order of the changes and at
    /// most `limit` of them. Their `coldFor`, the remaining time of slow start, is reduced to the
    /// value at `now`.
    RecordChanges changesSince(std::uint64_t changeNumber, TimePoint now,
                               std::size_t limit = SIZE_MAX) const;

    /// False for an unknown upstream while `maxUpstreams` are known.
    bool hasRoomFor(const std::string &id) const
    {
        return this->entries.size() < this->options.maxUpstreams || this->entries.contains(id);
    }

    /// Returns the record of an upstream, also of a departed one; null when it is unknown.
    const UpstreamRecord *find(const std::string &id) const { return this->records.find(id); }

    /// Number of known upstreams, including departed upstreams.
    std::size_t size() const { return this->records.all().size(); }

private:
    struct Entry
    {
        std::uint64_t changeNumber{ 0 }; ///< number of the last change of the record
        TimePoint lastUpdateAt;
        TimePoint slowStartUntil;
    };

    /// Stores a received record; true when readers must get it.
    bool onRecord(const UpstreamRecord &record, TimePoint now);

    /// Updates the entry of an upstream whose record was received. `isChanged`: the received
    /// record changed the stored one. True when readers must get the record.
    bool onUpdate(const std::string &id, bool isChanged, TimePoint now);

    /// Returns a stored record with the remaining time of its slow start.
    static UpstreamRecord agedRecord(const UpstreamRecord &record, const Entry &entry,
                                     TimePoint now);

    RegistryOptions options;
    UpstreamRecords records;
    std::map<std::string, Entry> entries; ///< by id of the upstream
    std::set<std::string> announcedIds;   ///< for the next call of `takeAnnounced`
    std::uint64_t lastChangeNumber{ 0 };
};

} // namespace egret
