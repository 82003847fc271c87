#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>

namespace egret {

/// Current records of the upstreams that announce themselves. Announcements may be
/// delayed, duplicated and reordered: the latest announcement of the latest
/// incarnation of an id counts, and a departure ends an incarnation for good. An address
/// belongs to the incarnation that started last. Deterministic; not thread safe.
class UpstreamRecords
{
public:
    /// Applies an announcement; true when a field that callers act on changed.
    bool apply(const UpstreamRecord &record);

    /// Ends the current incarnation of an upstream; true when it was not gone before.
    /// An unknown upstream is recorded as gone, so that only incarnations after `startedAtMs`
    /// count.
    bool depart(const std::string &id, std::uint64_t startedAtMs);

    /// Removes the record of a departed upstream.
    void erase(const std::string &id) { this->records.erase(id); }

    /// Marks an upstream as quiet (announcements are overdue) or not; true when that changed.
    bool setSilent(const std::string &id, bool isSilent);

    const UpstreamRecord *find(const std::string &id) const;
    const std::map<std::string, UpstreamRecord> &all() const { return this->records; }

private:
    bool isStale(const UpstreamRecord &record, const UpstreamRecord &known) const;
    bool retireOlderAtAddress(const UpstreamRecord &record);

    std::map<std::string, UpstreamRecord> records;
};

} // namespace egret
