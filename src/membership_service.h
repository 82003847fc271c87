#pragma once

#include "frame.h"
#include "guarded.h"
#include "request_forwarder.h"
#include "zone_exchange.h"

#include <functional>

namespace egret {

struct MembershipServiceOptions
{
    MemberRecord self;
    std::vector<std::string> seeds; ///< link addresses of entry instances
};

/// Runs the membership protocol and the exchange of upstream records of an
/// entry instance; owns no socket. Thread safe.
class MembershipService
{
public:
    using Send = std::function<void(const std::string &to, const Message &)>;

    /// Precondition: `routing` outlives this object.
    MembershipService(const MembershipServiceOptions &options, SharedRoutingTable &routing,
                      Send send);

    /// Runs the due timers; call every `kMembershipTickPeriod`.
    void tick();

    /// Handles a datagram; false when the message belongs to another component.
    bool onDatagram(const Endpoint &from, const Frame &frame);

    /// Applies an agent's announcement and returns the reply. An announcement that
    /// does not name this process's incarnation is answered but changes nothing.
    AnnounceReply onAnnounce(const Announce &announce);

    /// Announces to the other entry instances that this instance leaves.
    void leave();

    /// Known records of the other entry instances.
    std::vector<MemberRecord> list();

    /// Lines for the metrics endpoint.
    std::string metricsText();

private:
    std::vector<ExchangePeer> peers();
    void sendAll(const std::vector<SendDatagram> &actions);

    std::uint64_t incarnation;
    std::string zone;
    SharedRoutingTable &routing;
    Send send;
    Guarded<Membership, LockRank::members> membership;
    Guarded<ZoneExchange, LockRank::members> exchange;
};

/// Time between two ticks.
inline constexpr Milliseconds kMembershipTickPeriod{ 50 };

} // namespace egret
