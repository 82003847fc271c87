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

/// Stands in a vote record when it isn't known whether a vote was given.
inline constexpr std::uint64_t kUnknownVote = ~std::uint64_t{ 0 };

struct QuorumOptions
{
    std::uint32_t group{ 0 };
    std::string endpoint;              ///< own link address
    std::vector<std::string> controls; ///< addresses that form the group; the first one forms it
    bool mayBootstrap{ true };         ///< false: an empty folder only waits to be added
    std::size_t targetVoters{ 0 };     ///< the leader adds instances that greet up to this number
    Milliseconds replaceAfter{ 6s }; ///< silence of a voter after which another may take its place
    Milliseconds heartbeat{ 100 };
    Milliseconds electionLeast{ 800 };  ///< no vote is given for so long after hearing a leader
    Milliseconds electionSpread{ 800 }; ///< random time added to the above before a campaign
    unsigned driftPercent{ 10 };        ///< bound on how far two monotonic clocks differ in rate
    std::size_t batchBytes{ 256U << 10U };
    std::size_t trailingEntries{ 1000 }; ///< entries kept behind a snapshot for slow followers
};

/// A snapshot of the replicated state with its place in the log.
struct QuorumSnapshot
{
    std::uint64_t term{ 0 };
    std::uint64_t index{ 0 };
    QuorumMembers members;
    std::shared_ptr<const std::string> state{ std::make_shared<const std::string>() };
};

/// What a member holds on disk. A folder that never belonged to a group has
/// cluster 0.
struct QuorumMemory
{
    std::uint64_t folder{ 0 };
    std::uint64_t cluster{ 0 };
    std::uint64_t term{ 0 };
    std::uint64_t votedFor{ 0 };
    QuorumSnapshot snapshot;
    std::deque<QuorumEntry> entries; ///< from some index up to the last, without gaps
    std::map<std::uint64_t, QuorumWatermark> watermarks;
};

/// Appends records to the log file. With `sync` they must be on disk before
/// any later action is carried out.
struct AppendRecords
{
    std::vector<QuorumRecord> records;
    bool sync{ true };
};

/// Writes the whole of Quorum::memory() to a new log file that replaces the
/// old one, on disk before any later action is carried out.
struct RewriteLog
{
};

struct SendQuorumMessage
{
    std::string endpoint;
    QuorumMessage message;
};

/// Applies committed entries in order.
struct ApplyEntries
{
    std::vector<QuorumEntry> entries;
};

/// Replaces the applied state by that of a snapshot.
struct RestoreState
{
    QuorumSnapshot snapshot;
};

/// Answers a read: the applied state is current, or this member can't tell.
struct AnswerRead
{
    std::uint64_t id{ 0 };
    bool isCurrent{ false };
};

using QuorumAction = std::variant<AppendRecords, RewriteLog, SendQuorumMessage, ApplyEntries,
                                  RestoreState, AnswerRead>;

/// One member of a replicated log after Raft: pre-vote, check-quorum, a leader
/// lease by monotonic clock, snapshots and one membership change at a time.
/// Deterministic: events with their times go in, `take` gives the actions in
/// the order in which they must be carried out. Not thread safe.
class Quorum
{
public:
    /// `isFresh` says that the data folder was made by this start; any other
    /// asks a majority what it is known to have promised before it votes.
    Quorum(QuorumOptions options, QuorumMemory memory, bool isFresh, std::uint64_t seed,
           TimePoint now);

    /// Runs timers; call every few milliseconds.
    void tick(TimePoint now);

    /// Takes a message of another member.
    void receive(TimePoint now, const QuorumMessage &message);

    /// Appends commands as one batch. Index of the first; empty when this
    /// member does not lead.
    std::optional<std::uint64_t> propose(TimePoint now, const std::vector<std::string> &commands);

    /// Asks for an AnswerRead with `id` once the applied state is known to be
    /// current, or once it is known that this member can't tell.
    void read(TimePoint now, std::uint64_t id);

    /// Adds the instance that greeted from `endpoint` with a data folder that
    /// is no member, as a learner: a fresh one, or one that was removed before. It becomes a voter
    /// once it has caught up, and then replaces a voter of the same endpoint. False when this
    /// member does not lead, knows no such instance or a change is under way.
    bool addMember(TimePoint now, const std::string &endpoint);

    /// Removes a member; false as above, or when it is the last voter.
    bool removeMember(TimePoint now, std::uint64_t folder);

    /// Replaces the log up to the last applied entry by a snapshot of the state.
    void compact(std::string state);

    /// Actions since the last call.
    std::vector<QuorumAction> take();

    /// Term in which this member leads; empty while it does not. A leader that
    /// has not heard from a majority of late does not lead.
    std::optional<std::uint64_t> leadingTerm(TimePoint now) const;

    /// Time until which `leadingTerm` holds unless a majority is heard again.
    TimePoint leadsUntil() const { return this->quorumHeardAt() + this->options.electionLeast; }

    /// Endpoint of the leader as far as known; empty otherwise.
    std::string leaderEndpoint() const;

    const QuorumMemory &memory() const { return this->disk; }
    const QuorumMembers &members() const { return this->configurations.rbegin()->second; }
    std::uint64_t commitIndex() const { return this->commit; }
    std::uint64_t lastIndex() const;
    std::uint64_t term() const { return this->disk.term; }

    /// True once this member may vote: it has asked what it promised before,
    /// and its log is no shorter than what it acknowledged.
    bool mayVote() const;

    /// Highest index that a member is known to hold; 0 when not leading.
    std::uint64_t matchIndex(std::uint64_t folder) const;

private:
    enum class Role { follower, preCandidate, candidate, leader };

    struct Progress
    {
        std::uint64_t next{ 1 };
        std::uint64_t match{ 0 };
        std::uint64_t round{ 0 };
        std::uint64_t snapshotOffset{ 0 };
        TimePoint heardAt;
    };
    struct PendingRead
    {
        std::uint64_t id{ 0 };
        std::uint64_t round{ 0 };
    };
    struct Greeting
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
    void on(TimePoint now, const QuorumProbe &greeting);
    void on(TimePoint now, const QuorumBootstrap &form);

    // Identity and membership.
    bool isForUs(const QuorumHeader &header);
    void greet(TimePoint now);
    void confirm(const QuorumProbe &reply);
    void formGroup(TimePoint now);
    void adoptGroup(std::uint64_t cluster, const QuorumMembers &members);
    void manageMembers(TimePoint now);
    void addGreeters(TimePoint now);
    bool removeSilent(TimePoint now);
    bool isSilent(const QuorumMember &each, TimePoint now) const;
    bool changeMembers(TimePoint now, const QuorumMembers &members);
    bool mayChangeMembers() const;
    const QuorumMember *member(std::uint64_t folder) const;
    std::size_t majority() const;
    std::size_t votersIn(const std::set<std::uint64_t> &folders) const;
    void noteMark(const QuorumWatermark &watermark);
    void noteTerm(std::uint64_t folder, std::uint64_t term);

    // Elections.
    void campaign(TimePoint now, bool isPreVote, bool noVoterKnowsLeader = false);
    bool isEveryVoterLeaderless() const;
    void becomeLeader(TimePoint now);
    void becomeFollower(TimePoint now, std::uint64_t term, std::uint64_t newLeader);
    bool hearsLeader(TimePoint now) const;
    void resetElection(TimePoint now);

    // Replication.
    void startRound(TimePoint now);
    void replicate(std::uint64_t folder);
    void sendSnapshotPart(const QuorumMember &to, Progress &progress);
    void appendOwn(QuorumEntryKind kind, const std::vector<std::string> &payloads);
    void store(const std::vector<QuorumEntry> &entries);
    void truncate(std::uint64_t from, std::vector<QuorumRecord> &records);
    void advanceCommit(TimePoint now);
    void commitTo(std::uint64_t index);
    void noteRound(std::uint64_t folder, std::uint64_t round);
    std::uint64_t quorumRound() const;
    TimePoint quorumHeardAt() const;
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
    QuorumMemory disk;
    std::mt19937_64 random;
    std::vector<QuorumAction> actions;
    std::map<std::uint64_t, QuorumMembers> configurations; ///< by index; effective when appended

    Role role{ Role::follower };
    std::uint64_t leader{ 0 };
    std::uint64_t commit{ 0 };
    TimePoint heardAt;
    TimePoint electionAt;
    std::set<std::uint64_t> votes;
    TimePoint startedAt;
    bool knewLeader{ false };           ///< since it started
    std::set<std::uint64_t> leaderless; ///< voters that said so in the present pre-vote

    std::map<std::uint64_t, Progress> progress;
    std::uint64_t round{ 0 };
    std::map<std::uint64_t, TimePoint> roundTimes;
    TimePoint heartbeatAt;
    std::uint64_t leaderStart{ 0 }; ///< index of the first entry of the own term
    std::vector<PendingRead> reads;

    bool isConfirmed{ false };
    std::set<std::uint64_t> confirmedBy;
    QuorumWatermark required; ///< what others say that this folder promised
    TimePoint greetAt;
    std::map<std::string, Greeting> greetings; ///< by endpoint
    bool marksChanged{ false };
    TimePoint marksAt;

    std::uint64_t partIndex{ 0 }; ///< snapshot that is being received
    std::string partBytes;
};

} // namespace egret
