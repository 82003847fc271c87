#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// A datagram to be sent by the owner of a state machine.
struct SendDatagram
{
    std::string to; ///< "address:port"
    Message message;
};

/// Sender of a datagram, from the frame header and the source address.
struct DatagramSender
{
    std::string instance;
    std::uint64_t incarnation{ 0 };
    std::string endpoint;
};

struct MembershipOptions
{
    MemberRecord self;
    std::vector<std::string> seeds;          ///< endpoints of instances to contact first
    Milliseconds period{ 500ms };            ///< between probes; also the time limit of one attempt
    Milliseconds ackTimeout{ 150ms };        ///< until a ping is repeated, with indirect probes
    Milliseconds suspicionTimeout{ 2500ms }; ///< time from suspect to dead
    Milliseconds reconnectPeriod{ 2s };      ///< between pings to dead members or unreachable seeds
    Milliseconds pullPeriod{ 5s };           ///< minimum time between two full table pulls
    Seconds retention{ 7200s };              ///< time that a dead or left member is kept
    std::uint64_t randomSeed{ 1 };
};

/// One member as known to this instance.
struct Member
{
    MemberRecord record;
    TimePoint changedAt;
};

/// SWIM-style failure detector for entry instances: pings, indirect probes,
/// suspicion with refutation, and updates piggybacked on pings and acks. A
/// record replaces another only when it is higher in a total order, so that
/// instances that received the same records agree. Deterministic; not thread
/// safe.
class Membership
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit Membership(MembershipOptions options);

    /// Runs the due timers; call at least every `ackTimeout`.
    Actions tick(TimePoint now);

    /// Handles a membership message; ignores messages of other types.
    Actions receive(const DatagramSender &sender, const Message &message, TimePoint now);

    /// Announces to some members that this instance leaves.
    Actions leave(TimePoint now);

    /// All other known members, including dead and left ones, by instance name.
    const std::map<std::string, Member> &members() const { return this->table; }

    /// This instance's own record.
    const MemberRecord &self() const { return this->options.self; }

    /// Incarnation that an instance last sent in its own datagrams, 0 for none.
    std::uint64_t incarnationOf(const std::string &instance) const;

    /// True while no member answers probes: the fault is assumed to be in this
    /// instance's own network path, and no member is suspected.
    bool isCutOff() const { return this->cutOff; }

    /// Number of suspicions that this instance raised.
    std::uint64_t suspicionsRaised() const { return this->suspicionCount; }

    /// Number of times that a suspect, dead or left member was reported alive again.
    std::uint64_t refutationsSeen() const { return this->refutationCount; }

private:
    struct Probe
    {
        std::string instance;
        TimePoint startedAt; ///< start of the current attempt
        TimePoint firstAt;   ///< start of the first attempt
        int attempt{ 1 };
        bool hasIndirectProbes{ false };
    };
    struct IndirectProbe
    {
        std::string requester; ///< endpoint of the instance that asked
        std::uint64_t requesterIncarnation{ 0 };
        std::uint64_t sequence{ 0 };
        TimePoint startedAt;
    };

    void onPing(const DatagramSender &sender, const MemberPing &ping, TimePoint now, Actions &out);
    void onAck(const DatagramSender &sender, const MemberAck &ack, TimePoint now, Actions &out);
    void onPingRequest(const DatagramSender &sender, const MemberPingRequest &request,
                       TimePoint now, Actions &out);
    void sendTable(const DatagramSender &to, Actions &out) const;
    void startProbes(TimePoint now, Actions &out);
    void advanceProbes(TimePoint now, Actions &out);
    void requestIndirectProbes(std::uint64_t sequence, const Probe &probe, Actions &out);
    void raiseSuspicion(const Probe &probe, TimePoint now);
    void expire(TimePoint now);
    void reconnect(TimePoint now, Actions &out);
    void merge(const MemberRecord &record, TimePoint now);
    void mergeTable(const MemberTable &part, TimePoint now);
    void refute(const MemberRecord &record);
    void queueUpdate(const std::string &instance);
    void compareTables(const DatagramSender &sender, std::uint64_t digest, TimePoint now,
                       Actions &out);
    std::vector<MemberRecord> nextUpdates(const std::string &forInstance);
    SendDatagram ping(const std::string &instance, const std::string &endpoint,
                      std::uint64_t sequence);
    MemberAck ackFor(std::uint64_t sequence, const DatagramSender &to, bool reached);
    void rebuildRing();
    std::string nextRingNeighbor();
    std::string nextShuffled();
    std::uint64_t digest() const;
    std::size_t livePeerCount() const { return this->ring.size(); }

    MembershipOptions options;
    std::uint64_t processIncarnation;
    std::mt19937_64 random;
    std::map<std::string, Member> table;
    std::map<std::string, std::uint64_t> directIncarnations;
    std::map<std::string, int> transmissionsLeft;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, IndirectProbe> indirectProbes;
    std::vector<std::string> ring; ///< live members in hash order, starting after this instance
    std::vector<std::string> shuffled;
    std::size_t neighborTurn{ 0 };
    std::uint64_t round{ 0 };
    std::uint64_t lastSequence{ 0 };
    bool ringIsStale{ true };
    bool started{ false };
    bool cutOff{ false };
    TimePoint lastTickAt;
    TimePoint nextProbeAt;
    TimePoint nextReconnectAt;
    TimePoint nextPullAt;
    TimePoint lastAckAt;
    std::uint64_t suspicionCount{ 0 };
    std::uint64_t refutationCount{ 0 };
};

/// True when `a` is newer than `b` in the total order of records. Thread safe.
bool supersedes(const MemberRecord &a, const MemberRecord &b);

/// True for alive and suspect members. Thread safe.
bool isLive(const MemberRecord &record);

} // namespace egret
