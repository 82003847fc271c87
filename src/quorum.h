#pragma once

#include "generated/messages.h"
#include "types.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egret {

/// Value of QuorumPersistentState::votedFor when the member may have granted a vote in the
/// current term, but the record of the vote may be lost. The member then grants no vote in the
/// current term.
inline constexpr std::uint64_t kUnknownVote = ~std::uint64_t{ 0 };

struct QuorumOptions
{
    std::uint32_t group{ 0 }; ///< number of the group; messages of other groups are ignored
    std::string endpoint;     ///< link address of this member
    /// Link addresses of the initial members. The first member in the list bootstraps the group.
    std::vector<std::string> initialEndpoints;
    /// False: this member never bootstraps a group. With an empty data folder, the member waits
    /// until a leader adds it.
    bool mayBootstrap{ true };
    /// The leader adds instances that send probes until the group has this number of voters, and
    /// one more as a standby: a learner that holds the log and takes the place of a voter that
    /// leaves or falls silent. 0: the leader adds a member only when `addMember` is called.
    std::size_t targetVoters{ 0 };
    /// The standby replaces a voter that has sent no reply for this time. Together with an election
    /// the replacement must end before another voter may be lost. Used only when `targetVoters` is
    /// not 0.
    Milliseconds silentVoterTimeout{ 2s };
    Milliseconds heartbeatInterval{ 100 };
    /// A member grants no vote for this time after a leader's message. A leader without replies
    /// from a majority for this time steps down.
    Milliseconds electionTimeout{ 800 };
    Milliseconds electionJitter{ 800 };  ///< bound on the random time added to the timeout
    unsigned maxClockDriftPercent{ 10 }; ///< bound on the rate difference of two monotonic clocks
    /// Bound on the size of the entries in one AppendRequest. A larger entry is sent alone.
    std::size_t maxBatchBytes{ 256U << 10U };
    /// While a follower has not acknowledged this size of entries that were sent to it, the leader
    /// sends it heartbeats only.
    std::size_t maxInFlightBytes{ 4U << 20U };
    /// Bounds on the number and the size of the committed entries that compaction keeps for slow
    /// followers.
    std::size_t trailingEntries{ 1000 };
    std::size_t trailingBytes{ 4U << 20U };
};

/// A snapshot of the replicated state, and the term and index of the last entry that the
/// snapshot includes.
struct QuorumSnapshot
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    QuorumMembers members; ///< membership at `index`
    /// Encoded replicated state.
    std::shared_ptr<const std::string> state{ std::make_shared<const std::string>() };
};

/// Durable state of a member, stored in the member's data folder.
struct QuorumPersistentState
{
    std::uint64_t folder{ 0 };  ///< random identity of the data folder
    std::uint64_t cluster{ 0 }; ///< random identity of the group; 0 before the folder joins a group
    std::uint64_t term{ 0 };
    std::uint64_t votedFor{ 0 }; ///< folder voted for in `term`; 0: none; or kUnknownVote
    QuorumSnapshot snapshot;
    std::deque<QuorumEntry> entries;                     ///< in index order, without gaps
    std::map<std::uint64_t, QuorumWatermark> watermarks; ///< by data folder, see Quorum
};

// Actions that Quorum::takeActions returns; the caller executes them.

/// Appends records to the log file. If `sync` is true, the caller reports with `logSynced` when the
/// records are on disk. It need not wait for that before it executes later actions.
struct AppendRecords
{
    std::vector<QuorumRecord> records;
    bool sync{ true };
    std::uint64_t write{ 0 }; ///< number of the write, for `logSynced`
};

/// Replaces the log file by a new file that contains Quorum::persistentState(). The caller reports
/// with `logSynced` when the new file is on disk.
struct RewriteLog
{
    std::uint64_t write{ 0 }; ///< number of the write, for `logSynced`
    /// The log file without the replacement holds the same state, in more bytes. The action may
    /// then be left out, for instance when the disk has no room for a second file.
    bool isOptional{ false };
};

/// Sends a message to the instance at `endpoint`.
struct SendQuorumMessage
{
    std::string endpoint;
    QuorumMessage message;
};

/// Applies committed entries in log order.
struct ApplyEntries
{
    std::vector<QuorumEntry> entries;
};

/// Replaces the applied state by the state in a snapshot.
struct RestoreState
{
    QuorumSnapshot snapshot;
};

/// Completes the read with the given id. `isCurrent` is false when this member could not
/// confirm that the applied state is current.
struct AnswerRead
{
    std::uint64_t id{ 0 };
    bool isCurrent{ false };
};

using QuorumAction = std::variant<AppendRecords, RewriteLog, SendQuorumMessage, ApplyEntries,
                                  RestoreState, AnswerRead>;

/// Implements the Raft protocol for one member of a quorum group, with pre-vote, check-quorum,
/// a leader lease that is measured with the monotonic clock, snapshots, and membership changes
/// one at a time. Deterministic: the caller passes events with their times, and executes the
/// actions that `takeActions` returns, in order. Not thread safe.
///
/// Writes to the log are asynchronous: while the disk is busy, the member goes on to send and
/// answer heartbeats. A message that promises something that a record must survive (a vote, an
/// entry) is held back until the write of the record is reported as synced.
///
/// A member is identified by its data folder. A member that restarts with an empty folder
/// has a new identity and must join again. The watermark of a folder is the highest term
/// and the last log entry that other members have seen from the folder. After a restart,
/// the watermark shows whether the folder was replaced by an older copy.
///
/// A probe is a message from an instance that has no group or leader, or that must confirm
/// its watermark. A reply to a probe contains the watermark of the sender's folder, the leader and
/// the members. The sender of the probe then probes the leader too, which can add it to the group.
class Quorum
{
public:
    /// `isFresh` is true when the data folder was created at this start. Otherwise the folder
    /// may be an older copy, and the member asks a majority for the folder's watermark before
    /// it votes. `seed` initializes the random number generator.
    Quorum(QuorumOptions options, QuorumPersistentState persistentState, bool isFresh,
           std::uint64_t seed, TimePoint now);

    /// Processes expired timers; call every few milliseconds.
    void tick(TimePoint now);

    /// Processes a message from another member.
    void receive(TimePoint now, const QuorumMessage &message);

    /// Appends commands to the log as one batch. Returns the index of the first command,
    /// or nothing when this member does not lead or `commands` is empty.
    std::optional<std::uint64_t> propose(TimePoint now, const std::vector<std::string> &commands);

    /// Starts a linearizable read. An AnswerRead action with the same `id` completes the read.
    void read(TimePoint now, std::uint64_t id);

    /// Adds the instance that last sent a probe from `endpoint` as a learner. The data
    /// folder of the instance must be empty, or must belong to this group without being a
    /// member. After catching up, the learner becomes a voter and replaces an older voter
    /// with the same endpoint. Returns false when this member does not lead or has no
    /// probe from `endpoint` with a suitable folder, and while a membership change is in progress.
    bool addMember(TimePoint now, const std::string &endpoint);

    /// Removes the member with data folder `folder`. Returns false when this member does not lead,
    /// when `folder` belongs to no member or to the last voter, and while a membership change is
    /// in progress.
    bool removeMember(TimePoint now, std::uint64_t folder);

    /// Announces that this member stops soon. The leader replaces it by a standby, if there is one.
    /// The member sends no probes from now on, so that it is not added again.
    void leave() { this->isLeaving = true; }

    /// Takes a snapshot at the commit index, and drops the log entries that the snapshot
    /// includes, except the last `trailingEntries` of at most `trailingBytes`. `state` is the
    /// encoded replicated state at the commit index.
    void compact(std::string state);

    /// Processes the end of writes: the write with the number `write` and all earlier ones are on
    /// disk.
    void logSynced(TimePoint now, std::uint64_t write);

    /// Returns the actions since the last call.
    std::vector<QuorumAction> takeActions();

    /// Term in which this member leads; empty for a follower, for a candidate, and for a
    /// leader without replies from a majority within the election timeout.
    std::optional<std::uint64_t> leadingTerm(TimePoint now) const;

    /// Time at which `leadingTerm` becomes empty unless a majority replies earlier. Only
    /// meaningful while this member leads.
    TimePoint leadershipExpiresAt() const
    {
        return this->majorityRoundStartedAt() + this->options.electionTimeout;
    }

    /// Endpoint of the leader; empty when unknown. An instance that has no leader, such as one
    /// that isn't a member, knows the leader from replies to its probes.
    std::string leaderEndpoint() const;

    /// Endpoints of the members, and of the instances that were named in replies to probes.
    std::set<std::string> knownEndpoints() const;

    const QuorumPersistentState &persistentState() const { return this->persistent; }

    /// Latest membership in the log, committed or not.
    const QuorumMembers &members() const { return this->membershipsByIndex.rbegin()->second; }
    std::uint64_t commitIndex() const { return this->commit; }
    std::uint64_t lastIndex() const;

    /// Size of the payloads of all entries in the log that follow the snapshot.
    std::size_t entryBytes() const;
    std::uint64_t term() const { return this->persistent.term; }

    /// True when this member may campaign and counts as a voter in the latest membership that it
    /// knows. Its folder's watermark must be confirmed, and the log must reach the watermark.
    bool mayVote() const;

    /// Highest log index that the member with data folder `folder` has acknowledged; 0 when
    /// this member does not lead.
    std::uint64_t matchIndex(std::uint64_t folder) const;

private:
    enum class Role { follower, preCandidate, candidate, leader };

    // In a round, the leader sends an append request, a heartbeat or a snapshot part to every
    // member. A reply contains the number of the round to which it belongs.

    /// Replication progress of one member, as known to the leader.
    struct MemberProgress
    {
        std::uint64_t nextIndex{ 1 };         ///< index of the next entry to send
        std::uint64_t acknowledgedIndex{ 0 }; ///< highest index that the member has acknowledged
        /// Entries from here to `nextIndex` were sent and are neither acknowledged nor refused.
        std::uint64_t inFlightFrom{ 1 };
        std::uint64_t repliedRound{ 0 }; ///< latest round that the member replied to
        /// Round in which `nextIndex` was last moved back. Refusals of messages of earlier rounds
        /// tell nothing new.
        std::uint64_t movedBackInRound{ 0 };
        std::uint64_t snapshotOffset{ 0 }; ///< bytes of the snapshot that are acknowledged
        TimePoint lastReplyAt;             ///< time of the latest reply
        /// Time at which the member last acknowledged further entries, or all committed ones.
        TimePoint progressedAt;
        bool isLeaving{ false }; ///< the member has announced that it stops soon
    };
    struct PendingRead
    {
        std::uint64_t id{ 0 };
        /// The read is answered when a majority has replied to this round or to a later round.
        std::uint64_t requiredRound{ 0 };
    };
    /// Leader that another member named in its reply to a probe.
    struct ReportedLeader
    {
        std::string endpoint;
        std::uint64_t term{ 0 }; ///< term of the member that named the leader
        TimePoint receivedAt;
    };
    /// A write to the log that has not been reported as synced.
    struct PendingWrite
    {
        std::uint64_t number{ 0 };
        std::uint64_t lastIndex{ 0 }; ///< index of the last entry that the write makes durable
    };
    /// A message that must not be sent before a write is synced.
    struct HeldMessage
    {
        std::uint64_t write{ 0 };
        SendQuorumMessage message;
    };
    /// Latest probe from an endpoint.
    struct ProbeRecord
    {
        std::uint64_t folder{ 0 };
        std::uint64_t cluster{ 0 };
        TimePoint receivedAt;
    };

    // Message handlers.
    void on(TimePoint now, const VoteRequest &request);
    void on(TimePoint now, const VoteReply &reply);
    void on(TimePoint now, const AppendRequest &request);
    void on(TimePoint now, const AppendReply &reply);
    void on(TimePoint now, const SnapshotPart &part);
    void on(TimePoint now, const SnapshotReply &reply);
    void on(TimePoint now, const QuorumProbe &probe);
    void on(TimePoint now, const QuorumBootstrap &bootstrap);

    // Identity and membership.
    bool isAddressedHere(const QuorumHeader &header);
    void sendProbes(TimePoint now);
    void learnFromProbeReply(TimePoint now, const QuorumProbe &reply);
    void confirmWatermark(const QuorumProbe &reply);
    void bootstrapGroup(TimePoint now);
    void adoptGroup(std::uint64_t cluster, const QuorumMembers &members);
    void manageMembers(TimePoint now);
    void addProbingInstance(TimePoint now);
    bool promoteLearner(TimePoint now);
    bool removeReplacedMember(TimePoint now);
    bool removeDepartingVoter(TimePoint now);
    bool removeDepartingStandby(TimePoint now);
    bool isDeparting(const QuorumMember &member, TimePoint now) const;
    bool isReplacement(const std::string &endpoint, std::uint64_t folder) const;
    std::size_t voterCount() const;
    bool changeMembers(TimePoint now, const QuorumMembers &members);
    bool mayChangeMembers() const;
    const QuorumMember *member(std::uint64_t folder) const; ///< null when not a member
    std::size_t majoritySize() const;
    std::size_t countVoters(const std::set<std::uint64_t> &folders) const;
    void raiseWatermark(const QuorumWatermark &watermark);
    void raiseTermWatermark(std::uint64_t folder, std::uint64_t term);

    // Elections.
    /// True when the watermark of this folder is confirmed, and the log reaches the watermark.
    bool hasCaughtUpWithWatermark() const;
    /// Starts a pre-vote or an election. `noVoterKnowsLeader` is true when every voter has
    /// reported that it has seen no leader since its start.
    void campaign(TimePoint now, bool isPreVote, bool noVoterKnowsLeader = false);
    bool isEveryVoterLeaderless() const;
    void becomeLeader(TimePoint now);
    /// `newLeader` is the data folder of the leader, or 0 when unknown.
    void becomeFollower(TimePoint now, std::uint64_t term, std::uint64_t newLeader);
    void followLeader(TimePoint now, const QuorumHeader &from);
    /// True when this member leads, or has received a message from a leader within the election
    /// timeout.
    bool hasRecentLeader(TimePoint now) const;
    void resetElectionTimer(TimePoint now);

    // Replication.
    void startRound(TimePoint now);
    void nextRound(TimePoint now);
    std::size_t inFlightBytes(const MemberProgress &follower) const;
    void replicate(std::uint64_t folder);
    void replicateTo(const QuorumMember &to, MemberProgress &follower);
    void sendSnapshotPart(const QuorumMember &to, MemberProgress &follower);
    void appendAsLeader(QuorumEntryKind kind, const std::vector<std::string> &payloads);
    void appendEntries(const std::vector<QuorumEntry> &entries);
    void truncate(std::uint64_t from, std::vector<QuorumRecord> &records);
    void advanceCommit(TimePoint now);
    void commitTo(std::uint64_t index);
    void recordReply(MemberProgress &follower, TimePoint now) const;
    void recordRound(std::uint64_t folder, std::uint64_t answeredRound);
    std::uint64_t majorityRound() const;
    TimePoint majorityRoundStartedAt() const;
    void answerReads();
    void failReads();

    std::uint64_t termAt(std::uint64_t index) const;
    std::uint64_t firstSendableIndex() const;
    std::uint64_t lastTerm() const { return this->termAt(this->lastIndex()); }
    bool isUpToDate(std::uint64_t term, std::uint64_t index) const;
    /// Header of a message to the data folder `to`; 0 addresses any folder at the endpoint.
    QuorumHeader header(std::uint64_t to) const;
    void send(const std::string &endpoint, QuorumMessage message);
    void sendToMember(std::uint64_t folder, QuorumMessage message);

    // Writes to the log.
    void write(std::vector<QuorumRecord> records, bool sync = true);
    /// Writes the cluster, the term and the vote.
    void writeVote();
    void rewriteLog(bool isOptional);
    bool isSynced(std::uint64_t write) const { return write <= this->syncedWrite; }
    void sendWhenSynced(const std::string &endpoint, std::uint64_t write, QuorumMessage message);
    void acknowledgeSyncedEntries();

    QuorumOptions options;
    QuorumPersistentState persistent;
    std::mt19937_64 random;
    std::vector<QuorumAction> actions;

    std::uint64_t lastWrite{ 0 };   ///< number of the latest write
    std::uint64_t syncedWrite{ 0 }; ///< number of the latest write that is on disk
    std::uint64_t voteWrite{ 0 };   ///< latest write of the cluster, the term or the vote
    std::deque<PendingWrite> pendingWrites;
    std::deque<HeldMessage> heldMessages; ///< in the order of `write`
    std::uint64_t durableIndex{ 0 };      ///< all entries up to this index are on disk
    /// By log index. The latest membership is used as soon as its entry is appended.
    std::map<std::uint64_t, QuorumMembers> membershipsByIndex;

    Role role{ Role::follower };
    std::uint64_t leader{ 0 };     ///< data folder of the leader; 0 when unknown
    std::uint64_t lastLeader{ 0 }; ///< data folder of the latest leader other than this member
    bool isLeaving{ false };       ///< this member stops soon
    std::uint64_t commit{ 0 };     ///< commit index
    TimePoint lastLeaderMessageAt; ///< time of the latest message from a leader
    /// Link address of `leader`, which a member that catches up doesn't find among the members.
    std::string leaderAddress;
    std::uint64_t matchedIndex{ 0 };  ///< the log is that of the current leader up to this index
    std::uint64_t reportedIndex{ 0 }; ///< highest index that was acknowledged to that leader
    std::uint64_t leaderRound{ 0 };   ///< latest round of that leader
    TimePoint electionAt;             ///< time of the next campaign
    std::set<std::uint64_t> votes;    ///< folders that granted the current vote or pre-vote
    TimePoint startedAt;              ///< start of this process
    bool hasSeenLeader{ false };      ///< true after this member has seen a leader, or has led
    /// Voters that replied `knowsNoLeader` to the current pre-vote.
    std::set<std::uint64_t> leaderlessVoters;

    // State of a leader.
    std::map<std::uint64_t, MemberProgress> progress; ///< by data folder
    std::uint64_t round{ 0 };                         ///< number of the latest round
    std::map<std::uint64_t, TimePoint> roundStartTimes;
    TimePoint heartbeatAt;               ///< time of the next round
    std::uint64_t firstIndexOfTerm{ 0 }; ///< index of the first entry of this leader's term
    std::vector<PendingRead> pendingReads;

    /// True when this member doesn't have to ask for the watermark of its folder: a majority has
    /// reported the watermark, or the folder was empty when this member joined the group.
    bool isWatermarkConfirmed{ false };
    std::set<std::uint64_t> watermarkReporters; ///< folders that reported a watermark
    QuorumWatermark requiredWatermark; ///< highest watermark of this folder that others reported
    TimePoint nextProbeAt;
    std::map<std::string, ProbeRecord> probesByEndpoint;
    std::optional<ReportedLeader> reportedLeader;
    std::set<std::string> reportedEndpoints; ///< named in replies to probes
    bool hasUnsavedWatermarks{ false };
    TimePoint watermarksSavedAt;

    std::uint64_t incomingSnapshotIndex{ 0 }; ///< 0 while no snapshot is being received
    std::string incomingSnapshotBytes;
};

} // namespace egret
