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
    std::uint32_t warmAnswers{ 8 }; ///< proven answers for each step of slow start
};

/// Gives admitted requests to the upstream and streams its answers back.
/// Thread safe.
class UpstreamProxy
{
public:
    UpstreamProxy(UpstreamProxyOptions options, HttpClient &http);
    ~UpstreamProxy();
    UpstreamProxy(const UpstreamProxy &) = delete;
    UpstreamProxy &operator=(const UpstreamProxy &) = delete;

    /// Takes a message of an entry instance; false when it is not for the proxy.
    bool onFrame(const LinkPtr &link, const Frame &frame);

    /// Cancels the requests that came on a lost link, but not protected actions.
    void onLinkDown(const LinkPtr &link);

    /// Sets the incarnation that requests must be meant for.
    void setUpstreamIncarnation(std::uint64_t incarnation);

    /// Refuses all new work from now on.
    void close();

    /// Requests that run now.
    std::uint32_t inFlight();

    /// Requests that may run at once in the upstream's present state.
    std::uint32_t limit();

    /// Answers dropped because they belonged to another request.
    std::uint64_t crossed() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
