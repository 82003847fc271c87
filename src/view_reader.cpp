#include "view_reader.h"

#include "clock.h"
#include "log.h"
#include "node_options.h"

#include <algorithm>
#include <functional>

namespace egret {

namespace {

/// For this time after a newer document is reported, its content is requested only from registry
/// instances in the region of this instance, because a registry instance there usually has the
/// content by the end of this time. Later the content is requested from any registry instance.
constexpr Milliseconds kOwnRegionOnlyTime = 150ms;
/// Delay after which the content of the document is requested again.
constexpr Milliseconds kDocumentRetryDelay = 300ms;
/// Duration of the lease on a confirmed state, as a share of the time within which a revocation
/// must take effect. The rest of that time covers differences in clock rate and requests that
/// are still in the network when the lease ends.
constexpr int kLeaseNumerator = 4;
constexpr int kLeaseDenominator = 5;
// Intervals between polls of all registry instances while the state is not confirmed.
constexpr Milliseconds kMinFullPollInterval = kViewPollInterval;
constexpr Milliseconds kMaxFullPollInterval = 1200ms;

/// Returns a number from 0 to 1 that differs between instances.
double spreadOf(const std::string &instance)
{
    constexpr std::size_t steps = 1000;
    return static_cast<double>(std::hash<std::string>{}(instance) % steps) / steps;
}

} // namespace

bool FullPollBackoff::isDue(TimePoint now)
{
    if (this->interval > 0ms && now < this->nextAt)
        return false;
    this->interval = std::clamp(this->interval * 2, kMinFullPollInterval, kMaxFullPollInterval);
    // From half of the interval to the whole.
    this->nextAt =
            now + std::chrono::duration_cast<Duration>(this->interval * (1 + this->spread) / 2);
    return true;
}

ViewReader::ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
                       ViewReaderHandlers handlers)
    : settings(settings), hub(hub), handlers(std::move(handlers)),
      state({ .instance = settings.instance,
              .isGateway = isGateway,
              .lease = settings.bounds.revoke * kLeaseNumerator / kLeaseDenominator }),
      fullPolls(spreadOf(settings.instance))
{
    this->addRegistries(seedEndpoints(settings, true));
}

void ViewReader::addRegistries(const std::vector<std::string> &endpoints)
{
    this->registries.insert(endpoints.begin(), endpoints.end());
    this->registries.erase(ownLinkEndpoint(this->settings));
}

void ViewReader::tick()
{
    if (this->registries.empty())
        return;
    const TimePoint now = bootNow();
    if (this->state.isConfirmed(now)) {
        this->fullPolls.reset();
    } else if (this->fullPolls.isDue(now)) {
        this->pollAll(now);
        return;
    }
    // The first poll starts at a different registry instance on each reader.
    auto next = this->lastPolledRegistry.empty()
                        ? std::next(this->registries.begin(),
                                    static_cast<std::ptrdiff_t>(
                                            std::hash<std::string>{}(this->settings.instance)
                                            % this->registries.size()))
                        : this->registries.upper_bound(this->lastPolledRegistry);
    if (next == this->registries.end())
        next = this->registries.begin();
    this->lastPolledRegistry = *next;
    this->hub.send(*next, Channel::control, this->state.makePull(*next, now));
}

void ViewReader::pollAll(TimePoint now)
{
    for (const std::string &registry : this->registries)
        this->hub.send(registry, Channel::control, this->state.makePull(registry, now));
}

void ViewReader::sendToAll(const Message &message)
{
    for (const std::string &registry : this->registries)
        this->hub.send(registry, Channel::control, message);
}

void ViewReader::onView(const LinkPtr &link, const View &view)
{
    const std::string &registry = link->target();
    if (this->respondedRegistries.insert(registry).second)
        logInfo("registry responded", { { "registry", registry }, { "change", view.change } });
    const ViewChanges changes = this->state.apply(registry, view, bootNow());
    this->addRegistries(view.registries);
    for (const std::string &id : changes.upstreams) {
        if (const UpstreamRecord *record = this->state.upstreams().find(id))
            this->handlers.upstreamChanged(*record);
    }
    if (changes.state)
        this->handlers.stateChanged();
    if (view.documentNumber > 0 && view.documentNumber == this->state.newestDocumentNumber())
        this->requestDocument(link);
}

/// Requests the content of the newest document, if missing, from the registry instance on `link`,
/// which reported the document.
void ViewReader::requestDocument(const LinkPtr &link)
{
    const TimePoint now = bootNow();
    if (!this->state.lacksDocument()) {
        this->documentMissingSince.reset();
        return;
    }
    if (!this->documentMissingSince)
        this->documentMissingSince = now;
    const bool isOwnRegion = link->peer().region == this->settings.region;
    const bool mayRequest = isOwnRegion || now >= *this->documentMissingSince + kOwnRegionOnlyTime;
    if (!mayRequest || now < this->documentRequestedAt + kDocumentRetryDelay)
        return;
    this->documentRequestedAt = now;
    link->send(this->state.makePull(link->target(), now, true));
}

void ViewReader::onDown(const LinkPtr &link)
{
    if (this->respondedRegistries.erase(link->target()) > 0)
        logWarn("registry lost", { { "registry", link->target() } });
}

} // namespace egret
