#pragma once

#include "generated/settings.h"
#include "link.h"
#include "view_state.h"

#include <functional>
#include <set>

namespace egret {

struct ViewReaderHandlers
{
    std::function<void()> stateChanged; ///< the operators' state changed
    std::function<void(const UpstreamRecord &record)> upstreamChanged; ///< one call per upstream
};

/// Spaces the polls of all registry instances by a reader whose operators' state is not confirmed.
/// Load: after a failure of the quorum no reader of the deployment holds a confirmed state, and
/// registries that are polled by all of them at once, without pause, have no time left to elect and
/// to confirm. Deterministic; not thread safe.
class FullPollBackoff
{
public:
    /// `spread`: from 0 to 1, different for each reader; spreads the polls over an interval.
    explicit FullPollBackoff(double spread) : spread(spread) {}

    /// The state is confirmed: the next poll of all is due at once.
    void reset() { this->interval = Milliseconds{ 0 }; }

    /// True when all registry instances are to be polled now; the next interval is twice as long.
    bool isDue(TimePoint now);

private:
    double spread;
    Milliseconds interval{ 0 };
    TimePoint nextAt;
};

/// Polls registry instances for views over links (connections to other instances) and merges
/// the views into a `ViewState`. Runs on the thread of the hub's worker pool; not thread safe.
class ViewReader
{
public:
    /// `isGateway`: this instance accepts client requests and counts as a gateway in views.
    /// Precondition: `hub` outlives the reader.
    ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
               ViewReaderHandlers handlers);

    /// Polls the next registry instance, and now and then all registry instances while the
    /// operators' state is not confirmed; to be called every `kViewPollInterval`.
    void tick();

    /// Applies a view received on a link to a registry instance.
    void onView(const LinkPtr &link, const View &view);

    /// Handles the loss of a link to a registry instance.
    void onDown(const LinkPtr &link);

    /// Adds registry instances by their link addresses.
    void addRegistries(const std::vector<std::string> &endpoints);

    /// Sends a message to all known registry instances.
    void sendToAll(const Message &message);

    /// State merged from all received views.
    const ViewState &view() const { return this->state; }

private:
    void requestDocument(const LinkPtr &link);
    void pollAll(TimePoint now);

    NodeSettings settings;
    LinkHub &hub;
    ViewReaderHandlers handlers;
    ViewState state;
    std::set<std::string> registries; ///< link addresses of the registry instances to poll
    /// Link addresses of registry instances that responded since their link was established.
    std::set<std::string> respondedRegistries;
    std::string lastPolledRegistry;
    FullPollBackoff fullPolls;
    /// Time at which the content of the newest document was first missing; empty: not missing.
    std::optional<TimePoint> documentMissingSince;
    TimePoint documentRequestedAt;
};

/// Interval at which `ViewReader::tick` is called.
inline constexpr Milliseconds kViewPollInterval{ 150 };

} // namespace egret
