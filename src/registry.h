#pragma once

#include "upstream_records.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

struct RegistryOptions
{
    Milliseconds quietAfter{ 4s };   ///< three missed announcements; some arrive seconds late
    Milliseconds forgetAfter{ 60s }; ///< longer than an announcement may be delayed in the network
};

/// Upstreams known to one registry instance, from their own announcements and from
/// other registry instances. Numbers its changes, so that each reader gets only
/// changes not sent before. Deterministic; not thread safe.
class Registry
{
public:
    explicit Registry(RegistryOptions options = {}) : options(options) {}

    /// Applies an announcement from the upstream itself; true when readers must get
    /// the change.
    bool onAnnouncement(const UpstreamRecord &record, TimePoint now);

    /// Applies a departure from the upstream itself; true when readers must get the
    /// change. `startedAtMs` identifies the incarnation if the upstream is unknown.
    bool depart(const std::string &id, std::uint64_t startedAtMs, TimePoint now);

    /// Applies records from another registry instance; true when readers must get a change.
    bool onPeerRecords(const std::vector<UpstreamRecord> &records, TimePoint now);

    /// Records announced since the last call, for the other registry instances.
    std::vector<UpstreamRecord> takeAnnounced();

    /// Marks upstreams with overdue announcements as quiet and removes departed ones;
    /// true when readers must get a change.
    bool tick(TimePoint now);

    /// Number of the last change.
    std::uint64_t change() const { return this->lastChange; }

    /// Records with a change number above `change`; `coldFor` is the time left at `now`.
    std::vector<UpstreamRecord> since(std::uint64_t change, TimePoint now) const;

    std::size_t size() const { return this->records.all().size(); }

private:
    struct Entry
    {
        std::uint64_t change{ 0 };
        TimePoint lastUpdateAt;
    };

    bool recordUpdate(const std::string &id, bool isChanged, TimePoint now);

    RegistryOptions options;
    UpstreamRecords records;
    std::map<std::string, Entry> entries;
    std::set<std::string> announcedIds;
    std::uint64_t lastChange{ 0 };
};

} // namespace egret
