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
    std::uint64_t gateIncarnation{ 0 }; ///< incarnation of this agent's Gate
    std::uint32_t limit{ 16 };          ///< limit on requests in flight at a warm upstream
    bool slowStart{ true };             ///< false: `limit` holds from the start
    std::uint32_t warmAnswers{ 8 };     ///< successful responses per increase of the limit by one
};

/// Forwards the requests of entry instances to this agent's upstream and streams the
/// responses back. A request is forwarded when the Gate, the last check before the upstream,
/// and slow start admit it. A request with a claim is a protected action, which the upstream
/// runs at most once. Thread safe.
class UpstreamProxy
{
public:
    UpstreamProxy(UpstreamProxyOptions options, HttpClient &http);
    ~UpstreamProxy();
    UpstreamProxy(const UpstreamProxy &) = delete;
    UpstreamProxy &operator=(const UpstreamProxy &) = delete;

    /// Handles the message in a frame from an entry instance. Returns false for a type of
    /// message that the proxy does not handle.
    bool onFrame(const LinkPtr &link, const Frame &frame);

    /// Cancels the requests received on a lost link, except protected actions.
    void onLinkDown(const LinkPtr &link);

    /// Sets the upstream's incarnation; requests for another incarnation are refused.
    void setUpstreamIncarnation(std::uint64_t incarnation);

    /// Refuses all new requests from now on; requests in flight continue.
    void close();

    /// Number of requests in flight at the upstream.
    std::uint32_t inFlight();

    /// Present limit on requests in flight, which slow start keeps low for a cold upstream.
    std::uint32_t limit();

    /// Number of responses dropped because they belonged to another request or to another
    /// incarnation of the upstream.
    std::uint64_t mismatchedAnswers() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
