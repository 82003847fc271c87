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

/// Polls registry instances for views over links (connections to other instances) and merges
/// the views into a `ViewState`. Runs on the thread of the hub's worker pool; not thread safe.
class ViewReader
{
public:
    /// `isGateway`: this instance accepts client requests and counts as a gateway in views.
    /// Precondition: `hub` outlives the reader.
    ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
               ViewReaderHandlers handlers);

    /// Polls the next registry instance, or all registry instances while the operators' state
    /// is not confirmed; to be called every `kViewPollInterval`.
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

    NodeSettings settings;
    LinkHub &hub;
    ViewReaderHandlers handlers;
    ViewState state;
    std::set<std::string> registries; ///< link addresses of the registry instances to poll
    /// Link addresses of registry instances that responded since their link was established.
    std::set<std::string> respondedRegistries;
    std::string lastPolledRegistry;
    /// Time at which the content of the newest document was first missing; empty: not missing.
    std::optional<TimePoint> documentMissingSince;
    TimePoint documentRequestedAt;
};

/// Interval at which `ViewReader::tick` is called.
inline constexpr Milliseconds kViewPollInterval{ 150 };

} // namespace egret
