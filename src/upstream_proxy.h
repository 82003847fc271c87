#pragma once

#include "gate.h"
#include "guarded.h"
#include "http_client.h"
#include "link.h"

#include <memory>
#include <string>

namespace egret {

/// `ServeEnd::reason` of a request whose response was cut off or invalid.
inline constexpr const char *kBrokenAnswer = "answer-broken";

struct UpstreamProxyOptions
{
    std::string upstream; ///< IP address and port of the upstream
    UpstreamKind kind{ UpstreamKind::engine };
    std::uint64_t gateIncarnation{ 0 }; ///< number that identifies this run of the agent's Gate
    std::uint32_t limit{ 16 };          ///< limit on requests in flight at a warm upstream
    bool slowStart{ true };             ///< false: `limit` also applies to a cold upstream
    std::uint32_t warmAnswers{ 8 };     ///< successful responses per increase of the limit by one
};

/// Forwards the requests of entry instances to this agent's upstream and streams the
/// responses back. A request is forwarded when both slow start and the Gate, the last check
/// before the upstream, admit the request. A protected action is a request that the upstream
/// must run at most once; such a request carries a claim (see Gate). Thread safe.
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

    /// Cancels the requests received on `link`, which is down, except protected actions.
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
