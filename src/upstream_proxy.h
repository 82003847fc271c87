#pragma once

#include "gate.h"
#include "guarded.h"
#include "http_client.h"
#include "link.h"

#include <memory>
#include <string>

namespace egret {

struct UpstreamProxyOptions
{
    std::string upstream; ///< IP address and port of the upstream
    UpstreamKind kind{ UpstreamKind::engine };
    std::uint64_t gateIncarnation{ 0 };
    std::uint32_t limit{ 16 };
    bool slowStart{ true };
    std::uint32_t warmAnswers{ 8 }; ///< successful responses per step of slow start
};

/// Forwards admitted requests to the upstream and streams the responses back.
/// Thread safe.
class UpstreamProxy
{
public:
    UpstreamProxy(UpstreamProxyOptions options, HttpClient &http);
    ~UpstreamProxy();
    UpstreamProxy(const UpstreamProxy &) = delete;
    UpstreamProxy &operator=(const UpstreamProxy &) = delete;

    /// Handles a message of an entry instance; false when its type is not for the proxy.
    bool onFrame(const LinkPtr &link, const Frame &frame);

    /// Cancels the requests received on a lost link, except protected actions.
    void onLinkDown(const LinkPtr &link);

    /// Sets the upstream incarnation; requests for any other are refused.
    void setUpstreamIncarnation(std::uint64_t incarnation);

    /// Refuses all new work from now on.
    void close();

    /// Requests in flight at the upstream.
    std::uint32_t inFlight();

    /// Requests that may be in flight at once in the upstream's present state.
    std::uint32_t limit();

    /// Responses dropped because they belonged to another request or incarnation.
    std::uint64_t mismatchedAnswers() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
