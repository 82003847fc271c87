#include "view_reader.h"

#include "clock.h"
#include "log.h"
#include "node_options.h"

namespace egret {

namespace {

/// Time for which the text of a document is requested only from registries in the own
/// region, if one there has the text by then; later any registry is asked.
constexpr Milliseconds kOwnRegionOnly = 150ms;
/// Delay after which the text is requested again.
constexpr Milliseconds kDocumentRetryDelay = 300ms;
/// Lease on a confirmed state as a share of the revocation bound; the rest covers
/// differences of clock rate and requests in the network.
constexpr int kLeaseNumerator = 4;
constexpr int kLeaseDenominator = 5;

} // namespace

ViewReader::ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
                       ViewReaderHandlers handlers)
    : settings(settings), hub(hub), handlers(std::move(handlers)),
      state({ .instance = settings.instance,
              .isGateway = isGateway,
              .lease = settings.bounds.revoke * kLeaseNumerator / kLeaseDenominator })
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
    if (!this->state.isConfirmed(now)) {
        // No request can be served until a majority confirmed the state.
        for (const std::string &registry : this->registries)
            this->hub.send(registry, Channel::control, this->state.pull(registry, now));
        return;
    }
    auto next = this->registries.upper_bound(this->lastPolled);
    if (next == this->registries.end())
        next = this->registries.begin();
    this->lastPolled = *next;
    this->hub.send(*next, Channel::control, this->state.pull(*next, now));
}

void ViewReader::onView(const LinkPtr &link, const View &view)
{
    const std::string &registry = link->target();
    if (this->responsive.insert(registry).second)
        logInfo("registry answers", { { "registry", registry }, { "change", view.change } });
    const ViewChanges changes = this->state.apply(registry, view, bootNow());
    this->addRegistries(view.registries);
    for (const std::string &id : changes.upstreams) {
        if (const UpstreamRecord *record = this->state.upstreams().find(id))
            this->handlers.upstreamChanged(*record);
    }
    if (changes.state)
        this->handlers.stateChanged();
    if (view.documentNumber > 0 && view.documentNumber == this->state.newestDocument())
        this->requestDocument(link);
}

/// Requests the text of the newest document, if missing, from a registry that has it.
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
    const bool isDue = isOwnRegion || now >= *this->documentMissingSince + kOwnRegionOnly;
    if (!isDue || now < this->documentRequestedAt + kDocumentRetryDelay)
        return;
    this->documentRequestedAt = now;
    link->send(this->state.pull(link->target(), now, true));
}

void ViewReader::onDown(const LinkPtr &link)
{
    if (this->responsive.erase(link->target()) > 0)
        logWarn("registry lost", { { "registry", link->target() } });
}

} // namespace egret
