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
    std::function<void(const UpstreamRecord &record)> upstreamChanged;
};

/// Polls registry instances for views over links and keeps the merged state. Runs on
/// the thread of the hub's pool; not thread safe.
class ViewReader
{
public:
    /// Precondition: `hub` outlives the reader.
    ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
               ViewReaderHandlers handlers);

    /// Polls the next registry instance, or all of them while the operators' state is
    /// not confirmed; call every `kViewPollInterval`.
    void tick();

    /// Applies a view received on a link to a registry instance.
    void onView(const LinkPtr &link, const View &view);

    /// Handles the loss of a link.
    void onDown(const LinkPtr &link);

    /// Adds link addresses of registry instances.
    void addRegistries(const std::vector<std::string> &endpoints);

    const ViewState &view() const { return this->state; }

private:
    void requestDocument(const LinkPtr &link);

    NodeSettings settings;
    LinkHub &hub;
    ViewReaderHandlers handlers;
    ViewState state;
    std::set<std::string> registries;
    std::set<std::string> responsive; ///< registries that responded since their link came up
    std::string lastPolled;
    std::optional<TimePoint> documentMissingSince; ///< text of the newest document
    TimePoint documentRequestedAt;
};

/// Interval of polls, each to the next registry instance.
inline constexpr Milliseconds kViewPollInterval{ 150 };

} // namespace egret
