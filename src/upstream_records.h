#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>

namespace egret {

/// What is known of upstreams that announce themselves. Announcements come
/// late, twice and out of order: the latest life under a name counts, within it
/// the latest announcement, and a departure ends it for good. An address belongs
/// to the life that began last. Deterministic; not thread safe.
class UpstreamRecords
{
public:
    /// Takes an announcement; true when it changes what callers should know.
    bool take(const UpstreamRecord &record);

    /// Ends the present life under a name; true when that is news. One that
    /// isn't known is noted as gone from `startedAtMs` on.
    bool depart(const std::string &id, std::uint64_t startedAtMs);

    /// Forgets a departed upstream.
    void erase(const std::string &id) { this->records.erase(id); }

    /// Marks an upstream as quiet or heard again; true when that is news.
    bool setQuiet(const std::string &id, bool isQuiet);

    const UpstreamRecord *find(const std::string &id) const;
    const std::map<std::string, UpstreamRecord> &all() const { return this->records; }

private:
    bool isStale(const UpstreamRecord &record, const UpstreamRecord &known) const;
    bool supersedeAddress(const UpstreamRecord &record);

    std::map<std::string, UpstreamRecord> records;
};

} // namespace egret
