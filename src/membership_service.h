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

/// Membership and the exchange of upstream records as one part of an entry
/// instance; holds no socket. Thread safe.
class MembershipService
{
public:
    using Send = std::function<void(const std::string &to, const Message &)>;

    /// Precondition: `routing` outlives this object.
    MembershipService(const MembershipServiceOptions &options, SharedRoutingTable &routing,
                      Send send);

    /// Runs what is due; call it every `kMembershipTickPeriod`.
    void tick();

    /// Takes a datagram; false when it is of another part.
    bool onDatagram(const Endpoint &from, const Frame &frame);

    /// Takes an agent's announcement and returns what to answer. One that does
    /// not name this process's incarnation is answered and changes nothing.
    AnnounceReply onAnnounce(const Announce &announce);

    /// Tells the others that this instance leaves.
    void leave();

    /// What is known of the other entry instances.
    std::vector<MemberRecord> list();

    /// Lines for the metrics page.
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
