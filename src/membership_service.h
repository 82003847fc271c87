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
    std::vector<std::string> seeds; ///< endpoints of instances to contact in order to join
};

/// Runs the state machines Membership and ZoneExchange of an entry instance.
/// Sends datagrams through a callback and owns no socket. Thread safe.
class MembershipService
{
public:
    using Send = std::function<void(const std::string &to, const Message &)>;

    /// Precondition: `routing` outlives this object.
    MembershipService(const MembershipServiceOptions &options, SharedRoutingTable &routing,
                      Send send);

    /// Ticks both state machines; must be called every `kMembershipTickPeriod`.
    void tick();

    /// Handles a datagram; false when the message is not for Membership or ZoneExchange.
    bool onDatagram(const Endpoint &from, const Frame &frame);

    /// Applies an agent's announcement and returns the reply. An announcement for
    /// another incarnation than that of this process, or from an agent of another zone, is answered
    /// but not applied.
    AnnounceReply onAnnounce(const Announce &announcement);

    /// Announces to the other entry instances that this instance leaves.
    void leave();

    /// Known records of the other entry instances, including dead and left instances.
    std::vector<MemberRecord> memberRecords();

    /// Membership metrics in the text format of the metrics endpoint.
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

/// Time between two calls of MembershipService::tick().
inline constexpr Milliseconds kMembershipTickPeriod{ 50 };

} // namespace egret
