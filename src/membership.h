#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// A datagram that a machine wants sent.
struct SendDatagram
{
    std::string to; ///< "address:port"
    Message message;
};

/// Who sent a datagram, as its frame and its source address say.
struct DatagramSender
{
    std::string instance;
    std::uint64_t incarnation{ 0 };
    std::string endpoint;
};

struct MembershipOptions
{
    MemberRecord self;
    std::vector<std::string> seeds;        ///< endpoints of instances to ask first
    Milliseconds period{ 500ms };          ///< between probes, and the length of one attempt
    Milliseconds ackLimit{ 150ms };        ///< before a ping is repeated and helpers are asked
    Milliseconds suspicionLimit{ 2500ms }; ///< from suspect to dead
    Milliseconds reconnectPeriod{ 2s };    ///< between pings of a dead member or a silent seed
    Milliseconds pullPeriod{ 5s };         ///< least time between two pulls of a whole table
    Seconds retention{ 7200s };            ///< that a dead or left member is remembered
    std::uint64_t randomSeed{ 1 };
};

/// One member as this instance knows it.
struct Member
{
    MemberRecord record;
    TimePoint changedAt;
};

/// Which entry instances are alive: pings, indirect probes, suspicion with
/// refutation, and changes spread on the pings themselves. A record replaces
/// another only when it is higher in a total order, so that instances that
/// have heard the same records agree. Deterministic; not thread safe.
class Membership
{
public:
    using Actions = std::vector<SendDatagram>;

    explicit Membership(MembershipOptions options);

    /// Runs what is due; call it at least every `ackLimit`.
    Actions tick(TimePoint now);

    /// Takes a message of any member; others than members' are ignored.
    Actions receive(const DatagramSender &sender, const Message &message, TimePoint now);

    /// Says to some members that this instance leaves.
    Actions leave(TimePoint now);

    /// All others that are known, dead and left ones too, by instance name.
    const std::map<std::string, Member> &members() const { return this->table; }

    /// This instance's own record.
    const MemberRecord &self() const { return this->options.self; }

    /// Incarnation last heard of an instance from itself, 0 for none.
    std::uint64_t incarnationOf(const std::string &instance) const;

    /// True when no probe of late was answered by anyone: this instance's own
    /// link is at fault, and it suspects nobody.
    bool isCutOff() const { return this->cutOff; }

    /// Suspicions that this instance raised.
    std::uint64_t suspicionsRaised() const { return this->raised; }

    /// Members that were refuted alive after they were suspect or dead.
    std::uint64_t refutationsSeen() const { return this->refuted; }

private:
    struct Probe
    {
        std::string instance;
        TimePoint startedAt; ///< of the attempt
        TimePoint firstAt;
        int attempt{ 1 };
        bool asksHelpers{ false };
    };
    struct HelpedProbe
    {
        std::string requester; ///< endpoint
        std::uint64_t requesterIncarnation{ 0 };
        std::uint64_t sequence{ 0 };
        TimePoint startedAt;
    };

    void onPing(const DatagramSender &sender, const MemberPing &ping, TimePoint now, Actions &out);
    void onAck(const DatagramSender &sender, const MemberAck &ack, TimePoint now, Actions &out);
    void onProbe(const DatagramSender &sender, const MemberPingRequest &probe, TimePoint now,
                 Actions &out);
    void sendTable(const DatagramSender &to, Actions &out) const;
    void startProbes(TimePoint now, Actions &out);
    void advanceProbes(TimePoint now, Actions &out);
    void askHelpers(std::uint64_t sequence, const Probe &probe, Actions &out);
    void raiseSuspicion(const Probe &probe, TimePoint now);
    void expire(TimePoint now);
    void reconnect(TimePoint now, Actions &out);
    void merge(const MemberRecord &record, TimePoint now);
    void mergeTable(const MemberTable &part, TimePoint now);
    void refute(const MemberRecord &record);
    void spread(const std::string &instance);
    void compareTables(const DatagramSender &sender, std::uint64_t digest, TimePoint now,
                       Actions &out);
    std::vector<MemberRecord> takeUpdates(const std::string &forInstance);
    SendDatagram ping(const std::string &instance, const std::string &endpoint,
                      std::uint64_t sequence);
    MemberAck ackFor(std::uint64_t sequence, const DatagramSender &to, bool reached);
    void refreshOrder();
    std::string nextWatched();
    std::string nextShuffled();
    std::uint64_t digest() const;
    std::size_t liveOthers() const { return this->ring.size(); }

    MembershipOptions options;
    std::uint64_t processIncarnation;
    std::mt19937_64 random;
    std::map<std::string, Member> table;
    std::map<std::string, std::uint64_t> heardIncarnations;
    std::map<std::string, int> spreadsLeft;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, HelpedProbe> helped;
    std::vector<std::string> ring; ///< live others, from this instance's place on
    std::vector<std::string> shuffled;
    std::size_t watchedTurn{ 0 };
    std::uint64_t round{ 0 };
    std::uint64_t lastSequence{ 0 };
    bool orderIsStale{ true };
    bool started{ false };
    bool cutOff{ false };
    TimePoint lastTick;
    TimePoint nextProbes;
    TimePoint nextReconnect;
    TimePoint nextPull;
    TimePoint lastAnswer;
    std::uint64_t raised{ 0 };
    std::uint64_t refuted{ 0 };
};

/// True when `a` replaces `b`. Thread safe.
bool replaces(const MemberRecord &a, const MemberRecord &b);

/// True for a member that may be asked. Thread safe.
bool isLive(const MemberRecord &record);

} // namespace egret
