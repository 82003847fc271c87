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

/// Value of `votedFor` when a vote granted in the term may have been lost; no vote is granted.
inline constexpr std::uint64_t kUnknownVote = ~std::uint64_t{ 0 };

struct QuorumOptions
{
    std::uint32_t group{ 0 };
    std::string endpoint;              ///< own link address
    std::vector<std::string> controls; ///< initial members; the first one bootstraps the group
    bool mayBootstrap{ true };     ///< false: an instance with an empty folder waits to be added
    std::size_t targetVoters{ 0 }; ///< the leader adds probing instances up to this number
    Milliseconds silentVoterTimeout{ 6s }; ///< after which a voter may be replaced
    Milliseconds heartbeatInterval{ 100 };
    Milliseconds electionTimeout{ 800 }; ///< no vote is granted this soon after a leader's message
    Milliseconds electionJitter{ 800 };  ///< upper bound of the random addition to the timeout
    unsigned maxClockDriftPercent{ 10 }; ///< bound on the rate difference of two monotonic clocks
    std::size_t maxBatchBytes{ 256U << 10U };
    std::size_t trailingEntries{ 1000 }; ///< kept before a snapshot's index for slow followers
};

/// A snapshot of the replicated state with its position in the log.
struct QuorumSnapshot
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    QuorumMembers members;
    std::shared_ptr<const std::string> state{ std::make_shared<const std::string>() };
};

/// State of a member on disk. A data folder that never belonged to a group has
/// cluster 0.
struct QuorumPersistentState
{
    std::uint64_t folder{ 0 };
    std::uint64_t cluster{ 0 };
    std::uint64_t term{ 0 };
    std::uint64_t votedFor{ 0 };
    QuorumSnapshot snapshot;
    std::deque<QuorumEntry> entries; ///< contiguous up to the last index
    std::map<std::uint64_t, QuorumWatermark> watermarks;
};

/// Appends records to the log file. With `sync` set, the records must be on disk
/// before any later action is executed.
struct AppendRecords
{
    std::vector<QuorumRecord> records;
    bool sync{ true };
};

/// Replaces the log file by a new one with all of Quorum::persistentState(); the
/// new file must be on disk before any later action is executed.
struct RewriteLog
{
};

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

/// Replaces the applied state by that of a snapshot.
struct RestoreState
{
    QuorumSnapshot snapshot;
};

/// Completes a read: the applied state is current, or this member can't confirm that.
struct AnswerRead
{
    std::uint64_t id{ 0 };
    bool isCurrent{ false };
};

using QuorumAction = std::variant<AppendRecords, RewriteLog, SendQuorumMessage, ApplyEntries,
                                  RestoreState, AnswerRead>;

/// State machine of one member of a Raft group: pre-vote, check-quorum, a leader
/// lease by monotonic clock, snapshots and one membership change at a time.
/// Deterministic: the caller passes events with their times and executes the
/// actions of `takeActions` in order. Not thread safe.
class Quorum
{
public:
    /// `isFresh`: the data folder was created by this start. A member with an older
    /// folder asks a majority for the folder's watermark before voting.
    Quorum(QuorumOptions options, QuorumPersistentState persistentState, bool isFresh,
           std::uint64_t seed, TimePoint now);

    /// Runs the timers; call every few milliseconds.
    void tick(TimePoint now);

    /// Processes a message from another member.
    void receive(TimePoint now, const QuorumMessage &message);

    /// Appends commands as one batch. Returns the index of the first command, or
    /// nothing when this member does not lead.
    std::optional<std::uint64_t> propose(TimePoint now, const std::vector<std::string> &commands);

    /// Requests an AnswerRead with `id`, issued once the applied state is confirmed
    /// as current or this member can't confirm that.
    void read(TimePoint now, std::uint64_t id);

    /// Adds the instance that sent a probe from `endpoint` as a learner. The data
    /// folder must be no member: fresh, or removed earlier. The learner becomes a
    /// voter after catching up and then replaces a voter of the same endpoint. False
    /// when this member does not lead, has no probe of a suitable folder from
    /// `endpoint`, or a membership change is in progress.
    bool addMember(TimePoint now, const std::string &endpoint);

    /// Removes a member. False when this member does not lead, `folder` is no
    /// member or the last voter, or a membership change is in progress.
    bool removeMember(TimePoint now, std::uint64_t folder);

    /// Replaces the log up to the commit index by a snapshot with the given state.
    void compact(std::string state);

    /// Returns the actions since the last call.
    std::vector<QuorumAction> takeActions();

    /// Term in which this member leads; empty for a follower, a candidate, or a
    /// leader without a majority's reply within the election timeout.
    std::optional<std::uint64_t> leadingTerm(TimePoint now) const;

    /// Time at which `leadingTerm` becomes empty unless a majority replies before.
    TimePoint leadsUntil() const { return this->quorumContactAt() + this->options.electionTimeout; }

    /// Endpoint of the leader; empty when unknown.
    std::string leaderEndpoint() const;

    const QuorumPersistentState &persistentState() const { return this->persistent; }
    const QuorumMembers &members() const { return this->configurations.rbegin()->second; }
    std::uint64_t commitIndex() const { return this->commit; }
    std::uint64_t lastIndex() const;
    std::uint64_t term() const { return this->persistent.term; }

    /// True when this member may vote: a voter with a confirmed watermark whose log
    /// holds at least every entry that the folder acknowledged before its restart.
    bool mayVote() const;

    /// Highest index that a member has acknowledged; 0 when this member does not lead.
    std::uint64_t matchIndex(std::uint64_t folder) const;

private:
    enum class Role { follower, preCandidate, candidate, leader };

    struct Progress
    {
        std::uint64_t next{ 1 };
        std::uint64_t match{ 0 };
        std::uint64_t round{ 0 };
        std::uint64_t snapshotOffset{ 0 };
        TimePoint lastContactAt;
    };
    struct PendingRead
    {
        std::uint64_t id{ 0 };
        std::uint64_t round{ 0 };
    };
    struct ProbeRecord
    {
        std::uint64_t folder{ 0 };
        std::uint64_t cluster{ 0 };
        TimePoint at;
    };

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
    void confirmWatermark(const QuorumProbe &reply);
    void bootstrapGroup(TimePoint now);
    void adoptGroup(std::uint64_t cluster, const QuorumMembers &members);
    void manageMembers(TimePoint now);
    void addProbingInstance(TimePoint now);
    bool removeSilent(TimePoint now);
    bool isSilent(const QuorumMember &each, TimePoint now) const;
    bool changeMembers(TimePoint now, const QuorumMembers &members);
    bool mayChangeMembers() const;
    const QuorumMember *member(std::uint64_t folder) const;
    std::size_t majority() const;
    std::size_t votersIn(const std::set<std::uint64_t> &folders) const;
    void raiseWatermark(const QuorumWatermark &watermark);
    void raiseTermWatermark(std::uint64_t folder, std::uint64_t term);

    // Elections.
    void campaign(TimePoint now, bool isPreVote, bool noVoterKnowsLeader = false);
    bool isEveryVoterLeaderless() const;
    void becomeLeader(TimePoint now);
    void becomeFollower(TimePoint now, std::uint64_t term, std::uint64_t newLeader);
    bool hasRecentLeader(TimePoint now) const;
    void resetElection(TimePoint now);

    // Replication.
    void startRound(TimePoint now);
    void replicate(std::uint64_t folder);
    void sendSnapshotPart(const QuorumMember &to, Progress &progress);
    void appendOwn(QuorumEntryKind kind, const std::vector<std::string> &payloads);
    void appendEntries(const std::vector<QuorumEntry> &entries);
    void truncate(std::uint64_t from, std::vector<QuorumRecord> &records);
    void advanceCommit(TimePoint now);
    void commitTo(std::uint64_t index);
    void recordRound(std::uint64_t folder, std::uint64_t round);
    std::uint64_t quorumRound() const;
    TimePoint quorumContactAt() const;
    void answerReads();
    void failReads();

    std::uint64_t termAt(std::uint64_t index) const;
    std::uint64_t firstIndex() const;
    std::uint64_t lastTerm() const { return this->termAt(this->lastIndex()); }
    bool isUpToDate(std::uint64_t term, std::uint64_t index) const;
    QuorumHeader header(std::uint64_t to) const;
    QuorumVote voteRecord() const;
    void send(const std::string &endpoint, QuorumMessage message);
    void sendTo(std::uint64_t folder, QuorumMessage message);

    QuorumOptions options;
    QuorumPersistentState persistent;
    std::mt19937_64 random;
    std::vector<QuorumAction> actions;
    std::map<std::uint64_t, QuorumMembers> configurations; ///< by index; in force once appended

    Role role{ Role::follower };
    std::uint64_t leader{ 0 };
    std::uint64_t commit{ 0 };
    TimePoint lastContactAt;
    TimePoint electionAt;
    std::set<std::uint64_t> votes;
    TimePoint startedAt;
    bool hasSeenLeader{ false };        ///< since the start of this process
    std::set<std::uint64_t> leaderless; ///< voters that replied `knowsNoLeader` in this pre-vote

    std::map<std::uint64_t, Progress> progress;
    std::uint64_t round{ 0 };
    std::map<std::uint64_t, TimePoint> roundTimes;
    TimePoint heartbeatAt;
    std::uint64_t firstOwnIndex{ 0 }; ///< index of the first entry of this leader's term
    std::vector<PendingRead> reads;

    bool isConfirmed{ false };
    std::set<std::uint64_t> confirmedBy;
    QuorumWatermark requiredWatermark; ///< highest watermark of this folder that others reported
    TimePoint nextProbeAt;
    std::map<std::string, ProbeRecord> probesByEndpoint;
    bool watermarksChanged{ false };
    TimePoint watermarksSavedAt;

    std::uint64_t incomingSnapshotIndex{ 0 }; ///< 0 while no snapshot is being received
    std::string incomingSnapshotBytes;
};

} // namespace egret
