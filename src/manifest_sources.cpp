#include "manifest_sources.h"

#include <algorithm>
#include <functional>
#include <set>

namespace egret {

namespace {

/// Number of stagers over all zones that ask the origin first. Each zone has at least one.
constexpr std::size_t kMaxOriginReaders = 12;
/// Of so many attempts of any other stager, the last one goes to the origin.
constexpr std::size_t kAttemptsPerOriginCall = 4;

} // namespace

void ManifestSources::reset(bool onlyOrigin)
{
    this->attempts = 0;
    this->usesOnlyOrigin = onlyOrigin;
}

std::optional<std::string> ManifestSources::next(const std::vector<PeerRecord> &stagers,
                                                 const PeerRecord &self)
{
    std::set<std::string> zones{ self.zone };
    std::vector<std::string> zoneStagers{ self.endpoint };
    for (const PeerRecord &stager : stagers) {
        zones.insert(stager.zone);
        if (stager.zone == self.zone && stager.endpoint != self.endpoint)
            zoneStagers.push_back(stager.endpoint);
    }
    std::ranges::sort(zoneStagers);
    const auto rank = static_cast<std::size_t>(std::ranges::find(zoneStagers, self.endpoint)
                                               - zoneStagers.begin());
    const std::size_t readerCount = std::min(
            zoneStagers.size(), std::max<std::size_t>(1, kMaxOriginReaders / zones.size()));
    const std::size_t attempt = this->attempts++;
    const bool isOriginDue = attempt % kAttemptsPerOriginCall == kAttemptsPerOriginCall - 1;
    if (this->usesOnlyOrigin || rank < readerCount || isOriginDue)
        return std::nullopt;
    // The first attempt goes to one of the stagers that ask the origin, later ones to any stager of
    // the zone. `rank` spreads the stagers over those they ask.
    if (attempt == 0)
        return zoneStagers[rank % readerCount];
    const std::size_t step = 1 + (rank + attempt) % (zoneStagers.size() - 1);
    return zoneStagers[(rank + step) % zoneStagers.size()];
}

} // namespace egret
