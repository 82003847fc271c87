#include "view_reader.h"

#include "clock.h"
#include "log.h"
#include "node_options.h"

namespace egret {

namespace {

/// The text of a document is asked for in the own region, where there is a
/// registry that has it within this time, and again after the other.
constexpr Milliseconds kOwnRegionFirst = 150ms;
constexpr Milliseconds kAskAgain = 300ms;
/// Share of the revocation bound for which a confirmed state is acted on; the
/// rest is for clocks that differ in rate and for requests on their way.
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
        // Nothing can be served until a majority has answered.
        for (const std::string &registry : this->registries)
            this->hub.send(registry, Channel::control, this->state.pull(registry, now));
        return;
    }
    auto next = this->registries.upper_bound(this->lastAsked);
    if (next == this->registries.end())
        next = this->registries.begin();
    this->lastAsked = *next;
    this->hub.send(*next, Channel::control, this->state.pull(*next, now));
}

void ViewReader::onView(const LinkPtr &link, const View &view)
{
    const std::string &registry = link->target();
    if (this->connected.insert(registry).second)
        logInfo("registry answers", { { "registry", registry }, { "change", view.change } });
    const ViewChanges changes = this->state.take(registry, view, bootNow());
    this->addRegistries(view.registries);
    for (const std::string &id : changes.upstreams) {
        if (const UpstreamRecord *record = this->state.upstreams().find(id))
            this->handlers.upstreamChanged(*record);
    }
    if (changes.state)
        this->handlers.stateChanged();
    if (view.documentNumber > 0 && view.documentNumber == this->state.newestDocument())
        this->askForDocument(link);
}

/// Asks a registry that has the newest document for its text, where it lacks.
void ViewReader::askForDocument(const LinkPtr &link)
{
    const TimePoint now = bootNow();
    if (!this->state.lacksDocument()) {
        this->lackingSince.reset();
        return;
    }
    if (!this->lackingSince)
        this->lackingSince = now;
    const bool isNear = link->peer().region == this->settings.region;
    const bool isDue = isNear || now >= *this->lackingSince + kOwnRegionFirst;
    if (!isDue || now < this->documentAskedAt + kAskAgain)
        return;
    this->documentAskedAt = now;
    link->send(this->state.pull(link->target(), now, true));
}

void ViewReader::onDown(const LinkPtr &link)
{
    if (this->connected.erase(link->target()) > 0)
        logWarn("registry lost", { { "registry", link->target() } });
}

} // namespace egret
