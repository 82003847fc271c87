#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// Datagram that the owner of a state machine (Membership, ZoneExchange) must send.
struct SendDatagram
{
    std::string to; ///< "address:port"
    Message message;
};

/// Sender of a datagram: name and incarnation from the authenticated frame header, endpoint from
/// the source address.
struct DatagramSender
{
    std::string instance;
    std::uint64_t incarnation{ 0 };
    std::string endpoint;
};

struct MembershipOptions
{
    MemberRecord self;
    std::vector<std::string> seeds; ///< endpoints of instances to contact in order to join
    /// Time between two new probes, and time limit of each attempt of a probe.
    Milliseconds probePeriod{ 500ms };
    /// Time without an ack after which the ping is repeated and other members are asked to ping
    /// too.
    Milliseconds ackTimeout{ 150ms };
    Milliseconds suspicionTimeout{ 2500ms }; ///< time until a suspect is declared dead
    /// Time between two pings to dead members, left members and seeds not known to be alive.
    Milliseconds reconnectPeriod{ 2s };
    Milliseconds pullPeriod{ 5s }; ///< minimum time between two requests for a full table
    Seconds retention{ 7200s };    ///< time after which a dead or left member is removed
    std::uint64_t randomSeed{ 1 };
};

/// One member as known to this instance.
struct Member
{
    MemberRecord record;
    /// Time of the last change of the record. The time of a suspect is set to the current time
    /// after a pause of this process.
    TimePoint changedAt;
};

/// SWIM-style failure detector for entry instances: pings, indirect probes,
/// suspicion with refutation, and updates (changed records) piggybacked on pings
/// and acks. The incarnation of an instance identifies its process and is higher
/// after a restart. The table holds one record for each other member. A received
/// record replaces the known record of the same member only when the received
/// record ranks higher, see supersedes(). Instances that received the same records
/// therefore agree. An instance refutes a suspicion about itself by sending its own record with a
/// higher refutation number. Deterministic; not thread safe.
class Membership
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit Membership(MembershipOptions options);

    /// Starts the probes and applies the timeouts that are due; must be called at least every
    /// `ackTimeout`.
    Actions tick(TimePoint now);

    /// Handles a membership message from `sender`; ignores messages of other types.
    Actions receive(const DatagramSender &sender, const Message &message, TimePoint now);

    /// Marks this instance as left; returns pings that tell at least half of the live members
    /// about the departure.
    Actions leave(TimePoint now);

    /// All known members except this instance, by instance name. Dead and left members are
    /// included until they are removed after the retention.
    const std::map<std::string, Member> &members() const { return this->table; }

    /// This instance's own record.
    const MemberRecord &self() const { return this->options.self; }

    /// Incarnation in the last datagram received from `instance` itself; 0 before the first.
    std::uint64_t incarnationOf(const std::string &instance) const;

    /// True while no member answers probes: the fault is assumed to be in this
    /// instance's own network path, and no member is suspected or declared dead.
    bool isCutOff() const { return this->cutOff; }

    /// Number of suspicions that this instance raised.
    std::uint64_t suspicionsRaised() const { return this->suspicionCount; }

    /// Number of times that a suspect, dead or left member was reported alive again.
    std::uint64_t refutationsSeen() const { return this->refutationCount; }

private:
    /// Probe of one member, from the first ping until an ack arrives or the last attempt fails.
    struct Probe
    {
        std::string instance;
        TimePoint attemptStartedAt;
        TimePoint firstAttemptStartedAt;
        int attempt{ 1 };
        bool hasRequestedIndirectProbes{ false }; ///< during the current attempt
    };
    /// Probe that this instance makes as a helper, at the request of another member.
    struct IndirectProbe
    {
        std::string requester; ///< endpoint of the requesting member
        std::uint64_t requesterIncarnation{ 0 };
        std::uint64_t requesterSequence{ 0 }; ///< sequence number of the requester's probe
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
    void pullTableOnMismatch(const DatagramSender &sender, std::uint64_t tableDigest, TimePoint now,
                             Actions &out);
    std::vector<MemberRecord> nextUpdates(const std::string &receiver);
    SendDatagram makePing(const std::string &instance, const std::string &endpoint,
                          std::uint64_t sequence);
    MemberAck makeAck(std::uint64_t sequence, const DatagramSender &to, bool isReached);
    void rebuildRing();
    std::string nextRingNeighbor();
    std::string nextShuffledMember();
    std::uint64_t digest() const;
    std::size_t livePeerCount() const { return this->ring.size(); }

    MembershipOptions options;
    /// Incarnation at the start of the process; a refutation raises only the incarnation in
    /// `options.self`.
    std::uint64_t processIncarnation;
    std::mt19937_64 random;
    std::map<std::string, Member> table;                     ///< by instance name
    std::map<std::string, std::uint64_t> directIncarnations; ///< see incarnationOf()
    /// Remaining transmissions of each queued update, by instance name.
    std::map<std::string, int> transmissionsLeft;
    std::map<std::uint64_t, Probe> probes;                 ///< by sequence number of the ping
    std::map<std::uint64_t, IndirectProbe> indirectProbes; ///< by sequence number of the ping
    /// Live members in ascending order of the name hashes, starting after this instance's own hash;
    /// the highest hash is followed by the lowest.
    std::vector<std::string> ring;
    std::vector<std::string> shuffledMembers; ///< members still to be probed in random order
    std::size_t neighborTurn{ 0 };            ///< selects the next ring neighbor to probe
    std::uint64_t probeRound{ 0 };
    std::uint64_t lastSequence{ 0 };
    bool ringIsStale{ true };
    bool hasStarted{ false };
    bool cutOff{ false };
    TimePoint lastTickAt;
    TimePoint nextProbeAt;
    TimePoint nextReconnectAt;
    TimePoint nextPullAt;
    TimePoint lastAckAt;
    std::uint64_t suspicionCount{ 0 };
    std::uint64_t refutationCount{ 0 };
};

/// True when record `a` ranks higher than record `b` of the same member. The higher incarnation
/// ranks higher; at equal incarnations, the state left ranks above all other states; then the
/// refutation number and the state are compared. This is a total order. Thread safe.
bool supersedes(const MemberRecord &a, const MemberRecord &b);

/// True when the state of a member is alive or suspect. Thread safe.
bool isLive(const MemberRecord &record);

} // namespace egret
