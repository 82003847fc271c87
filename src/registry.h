#pragma once

#include "upstream_records.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egret {

struct RegistryOptions
{
    Milliseconds quietAfter{ 4s };   ///< three missed announcements; some come seconds late
    Milliseconds forgetAfter{ 60s }; ///< longer than a delayed announcement may travel
};

/// Upstreams as one registry instance knows them, from their own announcements
/// and from other registry instances. Numbers its changes, so that each reader
/// gets only what it has not seen. Deterministic; not thread safe.
class Registry
{
public:
    explicit Registry(RegistryOptions options = {}) : options(options) {}

    /// Takes an announcement that came from the upstream itself; true when it
    /// changes what readers should know.
    bool onAnnouncement(const UpstreamRecord &record, TimePoint now);

    /// Takes a departure that came from the upstream itself, as above. `startedAtMs`
    /// stands for its life where none is known.
    bool depart(const std::string &id, std::uint64_t startedAtMs, TimePoint now);

    /// Takes what another registry instance has heard; true as above.
    bool onPeerRecords(const std::vector<UpstreamRecord> &records, TimePoint now);

    /// What was heard since the last call, for the other registry instances.
    std::vector<UpstreamRecord> takeAnnounced();

    /// Marks upstreams as quiet and forgets departed ones; true as above.
    bool tick(TimePoint now);

    /// Number of the last change.
    std::uint64_t change() const { return this->lastChange; }

    /// Records that changed after a number, as of now.
    std::vector<UpstreamRecord> since(std::uint64_t change, TimePoint now) const;

    std::size_t size() const { return this->records.all().size(); }

private:
    struct Standing
    {
        std::uint64_t change{ 0 };
        TimePoint heardAt;
    };

    bool note(const std::string &id, bool isNews, TimePoint now);

    RegistryOptions options;
    UpstreamRecords records;
    std::map<std::string, Standing> standings;
    std::set<std::string> heard;
    std::uint64_t lastChange{ 0 };
};

} // namespace egret
