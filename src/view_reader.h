#pragma once

#include "generated/settings.h"
#include "link.h"
#include "view_state.h"

#include <functional>
#include <set>

namespace egret {

struct ViewReaderHandlers
{
    std::function<void()> stateChanged; ///< operators' state
    std::function<void(const UpstreamRecord &record)> upstreamChanged;
};

/// Asks registry instances for views over links and keeps what they say. Runs
/// on the thread of the hub's pool; not thread safe.
class ViewReader
{
public:
    /// Precondition: `hub` outlives the reader.
    ViewReader(const NodeSettings &settings, bool isGateway, LinkHub &hub,
               ViewReaderHandlers handlers);

    /// Asks one registry after the other, all while the operators' state is not
    /// confirmed; call every `kViewPollInterval`.
    void tick();

    /// Takes a view that came on a link to a registry.
    void onView(const LinkPtr &link, const View &view);

    /// Notes that a link is lost.
    void onDown(const LinkPtr &link);

    /// Adds link addresses of registry instances.
    void addRegistries(const std::vector<std::string> &endpoints);

    const ViewState &view() const { return this->state; }

private:
    void askForDocument(const LinkPtr &link);

    NodeSettings settings;
    LinkHub &hub;
    ViewReaderHandlers handlers;
    ViewState state;
    std::set<std::string> registries;
    std::set<std::string> connected; ///< registries that have answered since their link came up
    std::string lastAsked;
    std::optional<TimePoint> lackingSince; ///< of a document that is known of
    TimePoint documentAskedAt;
};

/// Time between two questions, each to the next registry instance.
inline constexpr Milliseconds kViewPollInterval{ 150 };

} // namespace egret
