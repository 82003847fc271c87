#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>

namespace egret {

/// Latest records of the upstreams that announce themselves. Each start of an upstream is a new
/// incarnation of its id, identified by the start time `startedAtMs`. Announcements may be
/// delayed, duplicated and reordered: for each id the latest announcement of the latest
/// incarnation is kept, and announcements of an incarnation that departed are ignored. An
/// address belongs to the incarnation that started last; other incarnations at the address count
/// as departed. Deterministic; not thread safe.
class UpstreamRecords
{
public:
    /// Applies an announcement; true when the upstream is new or a field that callers act on
    /// changed.
    bool apply(const UpstreamRecord &record);

    /// Marks the current incarnation of an upstream as departed; true unless the incarnation was
    /// marked before or started after `startedAtMs`: the departure is then one of an earlier
    /// incarnation that arrives late. If the upstream is unknown, the incarnation `startedAtMs` is
    /// stored as departed, so that only announcements of later incarnations are accepted.
    bool markDeparted(const std::string &id, std::uint64_t startedAtMs);

    /// Removes the record of a departed upstream.
    void erase(const std::string &id) { this->records.erase(id); }

    /// Sets whether an upstream is silent, that is, its announcements are overdue; true when
    /// the value changed.
    bool setSilent(const std::string &id, bool isSilent);

    /// True when `record` is the announcement that is stored for its upstream; false when it was
    /// ignored as outdated.
    bool isStored(const UpstreamRecord &record) const;

    const UpstreamRecord *find(const std::string &id) const;
    const std::map<std::string, UpstreamRecord> &all() const { return this->records; }

private:
    bool isStale(const UpstreamRecord &record, const UpstreamRecord &known) const;
    bool resolveEndpointConflict(const UpstreamRecord &record);

    std::map<std::string, UpstreamRecord> records;
};

} // namespace egret
