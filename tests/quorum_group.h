#pragma once

#include "quorum.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egret {

inline constexpr Milliseconds kTimeStep = 10ms;
inline constexpr Milliseconds kSettleTime = 20s;

struct InFlightQuorumMessage
{
    std::size_t from{ 0 };
    std::size_t to{ 0 };
    QuorumMessage message;
};

inline std::string endpointOf(std::size_t member)
{
    return "127.0.0.1:" + std::to_string(7000 + member);
}

/// Takes the actions of a member whose disk syncs each write at once.
inline std::vector<QuorumAction> takeSyncedActions(Quorum &quorum, TimePoint now)
{
    std::vector<QuorumAction> taken;
    while (true) {
        const std::vector<QuorumAction> actions = quorum.takeActions();
        if (actions.empty())
            return taken;
        for (const QuorumAction &action : actions) {
            if (const auto *append = std::get_if<AppendRecords>(&action))
                quorum.logSynced(now, append->write);
            else if (const auto *rewrite = std::get_if<RewriteLog>(&action))
                quorum.logSynced(now, rewrite->write);
        }
        taken.insert(taken.end(), actions.begin(), actions.end());
    }
}

/// Writes of a member that share one sync.
struct UnsyncedJob
{
    std::optional<QuorumPersistentState> state; ///< content of a new log file
    std::vector<QuorumRecord> records;
    std::uint64_t write{ 0 }; ///< 0: nothing is to be reported
    Milliseconds dueAt{ 0 };
};

/// One member with its simulated environment: the durable state, which survives a crash, and a
/// clock with its own rate.
struct SimulatedMember
{
    std::unique_ptr<Quorum> quorum; ///< null while the member is crashed
    QuorumPersistentState durableState;
    /// Writes that the disk has not synced. After a crash, any of the first of them may be found.
    std::deque<UnsyncedJob> unsyncedJobs;
    Milliseconds syncTime{ 0 }; ///< time that the disk takes for a sync
    std::uint64_t appliedIndex{ 0 };
    int clockRatePercent{ 100 };
    /// By read id: index of the last entry that the read must include.
    std::map<std::uint64_t, std::uint64_t> minIndexByReadId;
};

/// Members on a simulated network that drops, repeats and reorders messages. Checks the
/// invariants of the protocol: one leader per term, one entry per index, and every read includes
/// all entries that were committed before the read started. Members are numbered from 0.
class QuorumGroup
{
public:
    /// `members` is the number of simulated members. The first `bootstrapMemberCount` of them
    /// are the initial members. The leader adds members until the group has `targetVoters` voters;
    /// 0: the leader adds members only on request.
    explicit QuorumGroup(std::size_t members, std::uint64_t seed = 1,
                         std::size_t bootstrapMemberCount = SIZE_MAX, std::size_t targetVoters = 0)
        : members(members), random(seed), bootstrapMemberCount(bootstrapMemberCount),
          targetVoters(targetVoters)
    {
        for (std::size_t i = 0; i < members; ++i) {
            this->members[i].clockRatePercent = 96 + static_cast<int>(i % 5 * 2);
            this->members[i].durableState.folder = 100 + i;
            this->start(i, true);
        }
    }

    TimePoint localTime(std::size_t i) const
    {
        return TimePoint{} + 100s + this->elapsed * this->members[i].clockRatePercent / 100;
    }

    /// Starts or restarts a member. `isFresh` is true when its data folder is new.
    void start(std::size_t i, bool isFresh)
    {
        SimulatedMember &member = this->members[i];
        QuorumOptions options{ .endpoint = endpointOf(i),
                               .mayBootstrap = this->elapsed == Milliseconds{ 0 }
                                               || this->mayBootstrapOnRestart,
                               .targetVoters = this->targetVoters,
                               .trailingEntries = 5 };
        for (std::size_t each = 0;
             each < std::min(this->bootstrapMemberCount, this->members.size()); ++each)
            options.initialEndpoints.push_back(endpointOf(each));
        member.appliedIndex = 0;
        member.quorum = std::make_unique<Quorum>(options, member.durableState, isFresh,
                                                 this->random(), this->localTime(i));
        this->perform(i);
    }

    /// Ends a member's process. Writes that the disk has not synced may be lost.
    void crash(std::size_t i)
    {
        SimulatedMember &member = this->members[i];
        member.quorum.reset();
        while (!member.unsyncedJobs.empty() && this->random() % 2 == 0) {
            this->writeToDisk(member, member.unsyncedJobs.front());
            member.unsyncedJobs.pop_front();
        }
        member.unsyncedJobs.clear();
    }

    /// Crashes a member and starts it with an empty data folder, which has a new identity.
    void loseDataFolder(std::size_t i)
    {
        this->crash(i);
        this->members[i].durableState = QuorumPersistentState{ .folder = this->random() };
        this->start(i, true);
    }

    /// True when the group keeps its quorum if member `lostMember` loses its data folder. Every
    /// member must be running. For the latest membership known to each member, more than half of
    /// the voters must be members other than `lostMember` that still have the data folder which the
    /// membership names.
    bool mayLoseDataFolder(std::size_t lostMember) const
    {
        for (const SimulatedMember &observer : this->members) {
            if (!observer.quorum)
                return false;
            std::size_t voters = 0;
            std::size_t remaining = 0;
            for (const QuorumMember &each : observer.quorum->members().members) {
                voters += each.voter ? 1 : 0;
                for (std::size_t i = 0; i < this->members.size(); ++i)
                    remaining +=
                            each.voter && i != lostMember
                                            && this->members[i].durableState.folder == each.folder
                                            && this->members[i].durableState.cluster != 0
                                    ? 1
                                    : 0;
            }
            if (remaining < voters / 2 + 1)
                return false;
        }
        return true;
    }

    /// Executes the pending actions of a member. The member crashes after
    /// `actionsBeforeCrash` actions if more are pending.
    void perform(std::size_t i, std::size_t actionsBeforeCrash = SIZE_MAX)
    {
        SimulatedMember &member = this->members[i];
        if (!member.quorum)
            return;
        while (true) {
            const std::vector<QuorumAction> actions = member.quorum->takeActions();
            if (actions.empty())
                break;
            const std::size_t executedCount = std::min(actions.size(), actionsBeforeCrash);
            this->executeAll(i, { actions.begin(),
                                  actions.begin() + static_cast<std::ptrdiff_t>(executedCount) });
            this->syncDueJobs(i);
            if (executedCount < actions.size())
                return this->crash(i);
            actionsBeforeCrash -= actionsBeforeCrash == SIZE_MAX ? 0 : executedCount;
        }
        this->checkLeader(i);
    }

    /// Executes actions in order. The records join the writes that the disk is to sync next.
    void executeAll(std::size_t i, const std::vector<QuorumAction> &actions)
    {
        SimulatedMember &member = this->members[i];
        UnsyncedJob job{ .dueAt = this->elapsed + member.syncTime };
        for (const QuorumAction &action : actions) {
            if (const auto *append = std::get_if<AppendRecords>(&action)) {
                job.records.insert(job.records.end(), append->records.begin(),
                                   append->records.end());
                job.write = append->sync ? append->write : job.write;
            } else if (const auto *rewrite = std::get_if<RewriteLog>(&action)) {
                job.state = member.quorum->persistentState();
                job.write = rewrite->write;
            } else {
                std::visit([&](const auto &body) { this->execute(i, body); }, action);
            }
        }
        if (job.state || !job.records.empty())
            member.unsyncedJobs.push_back(std::move(job));
    }

    /// Ends the syncs that are due, and reports them to the member.
    void syncDueJobs(std::size_t i)
    {
        SimulatedMember &member = this->members[i];
        while (!member.unsyncedJobs.empty() && member.unsyncedJobs.front().dueAt <= this->elapsed) {
            this->writeToDisk(member, member.unsyncedJobs.front());
            if (member.unsyncedJobs.front().write > 0)
                member.quorum->logSynced(this->localTime(i), member.unsyncedJobs.front().write);
            member.unsyncedJobs.pop_front();
        }
    }

    /// Simulates ticks and message deliveries for `duration`.
    void run(Milliseconds duration)
    {
        for (Milliseconds spent{ 0 }; spent < duration; spent += kTimeStep) {
            this->elapsed += kTimeStep;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                if (this->members[i].quorum) {
                    this->syncDueJobs(i);
                    this->members[i].quorum->tick(this->localTime(i));
                }
                this->perform(i);
            }
            this->deliver(this->inFlight.size());
        }
    }

    /// Delivers up to `count` messages in order.
    void deliver(std::size_t count)
    {
        for (; count > 0 && !this->inFlight.empty(); --count) {
            const InFlightQuorumMessage inFlightMessage = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            this->deliverMessage(inFlightMessage);
        }
    }

    /// Delivers the in-flight message at `position`, modulo the number of in-flight messages. If
    /// `mustRepeat` is true, the message stays in flight for another delivery.
    void deliverOutOfOrder(std::uint64_t position, bool mustRepeat)
    {
        if (this->inFlight.empty())
            return;
        const auto chosen = this->inFlight.begin()
                            + static_cast<std::ptrdiff_t>(position % this->inFlight.size());
        const InFlightQuorumMessage inFlightMessage = *chosen;
        if (!mustRepeat)
            this->inFlight.erase(chosen);
        this->deliverMessage(inFlightMessage);
    }

    void deliverMessage(const InFlightQuorumMessage &inFlightMessage)
    {
        const bool isPartitioned = this->partitionSide.contains(inFlightMessage.from)
                                   != this->partitionSide.contains(inFlightMessage.to);
        if (isPartitioned || !this->members[inFlightMessage.to].quorum)
            return;
        this->members[inFlightMessage.to].quorum->receive(this->localTime(inFlightMessage.to),
                                                          inFlightMessage.message);
        this->perform(inFlightMessage.to);
    }

    /// Member that leads in the highest term; empty when no member leads.
    std::optional<std::size_t> leader()
    {
        std::optional<std::size_t> found;
        std::uint64_t term = 0;
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].quorum)
                continue;
            const auto memberTerm = this->members[i].quorum->leadingTerm(this->localTime(i));
            if (memberTerm && *memberTerm > term) {
                found = i;
                term = *memberTerm;
            }
        }
        return found;
    }

    bool propose(std::size_t i, const std::string &command,
                 std::size_t actionsBeforeCrash = SIZE_MAX)
    {
        if (!this->members[i].quorum)
            return false;
        const bool accepted =
                this->members[i].quorum->propose(this->localTime(i), { command }).has_value();
        this->perform(i, actionsBeforeCrash);
        return accepted;
    }

    void read(std::size_t i)
    {
        SimulatedMember &member = this->members[i];
        if (!member.quorum)
            return;
        member.minIndexByReadId[++this->lastRead] =
                this->appliedEntries.empty() ? 0 : this->appliedEntries.rbegin()->first;
        member.quorum->read(this->localTime(i), this->lastRead);
        this->perform(i);
    }

    void compact(std::size_t i)
    {
        if (!this->members[i].quorum)
            return;
        this->members[i].quorum->compact(std::string(this->members[i].appliedIndex % 7, 's'));
        this->perform(i);
    }

    /// Restarts crashed members and ends the partition. Then checks that a leader accepts a
    /// proposal, and that every member applies every entry.
    void recoverAndCheck()
    {
        this->partitionSide.clear();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (!this->members[i].quorum)
                this->start(i, false);
        }
        this->run(kSettleTime);
        this->addMembersWithLostFolderAgain();
        const auto leaderIndex = this->leader();
        this->check(leaderIndex.has_value(), "a leader exists after crashes and partitions end");
        if (!leaderIndex)
            return;
        this->check(this->propose(*leaderIndex, "last"), "the leader accepts a proposal");
        this->run(2s);
        for (const SimulatedMember &member : this->members)
            this->check(member.appliedIndex == this->appliedEntries.rbegin()->first,
                        "every member has applied every entry");
    }

    /// Adds the members that lost their data folder to the group again, one at a time. A member
    /// that was added by a leader whose entry was lost knows the group, and is added again too.
    void addMembersWithLostFolderAgain()
    {
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            const auto leaderIndex = this->leader();
            if (leaderIndex && this->members[*leaderIndex].durableState.cluster != 0
                && !this->isMember(*leaderIndex, i)) {
                this->members[*leaderIndex].quorum->addMember(this->localTime(*leaderIndex),
                                                              endpointOf(i));
                this->perform(*leaderIndex);
                this->run(3s);
            }
        }
    }

    /// True when the folder of member `i` is in the membership that `observer` knows.
    bool isMember(std::size_t observer, std::size_t i) const
    {
        return std::ranges::any_of(this->members[observer].quorum->members().members,
                                   [&](const QuorumMember &each) {
                                       return each.folder == this->members[i].durableState.folder;
                                   });
    }

    /// Adds `property` to `violations` if `holds` is false.
    void check(bool holds, const std::string &property)
    {
        if (!holds)
            this->violations.push_back(property);
    }

    std::vector<SimulatedMember> members;
    std::set<std::size_t> partitionSide; ///< members on one side; empty: no partition
    std::deque<InFlightQuorumMessage> inFlight;
    std::map<std::uint64_t, QuorumEntry> appliedEntries; ///< applied by any member; by index
    /// Id of the leader's data folder by term; the id identifies the member.
    std::map<std::uint64_t, std::uint64_t> leaderFolderIdByTerm;
    std::vector<std::string> violations; ///< properties that did not hold
    std::mt19937_64 random;
    std::size_t bootstrapMemberCount; ///< number of initial members
    std::size_t targetVoters;         ///< 0: the leader adds members only on request
    Milliseconds elapsed{ 0 };
    std::uint64_t lastRead{ 0 };
    /// False: only instances that start at time 0 may bootstrap a group.
    bool mayBootstrapOnRestart{ true };

private:
    void writeToDisk(SimulatedMember &member, const UnsyncedJob &job)
    {
        if (job.state) {
            member.durableState = *job.state;
            return;
        }
        for (const QuorumRecord &record : job.records) {
            if (const auto *entry = std::get_if<QuorumEntry>(&record)) {
                member.durableState.entries.push_back(*entry);
            } else if (const auto *vote = std::get_if<QuorumVote>(&record)) {
                member.durableState.cluster = vote->cluster;
                member.durableState.term = vote->term;
                member.durableState.votedFor = vote->votedFor;
            } else if (const auto *truncate = std::get_if<QuorumTruncate>(&record)) {
                while (!member.durableState.entries.empty()
                       && member.durableState.entries.back().index >= truncate->from)
                    member.durableState.entries.pop_back();
            } else if (const auto *watermarks = std::get_if<QuorumWatermarks>(&record)) {
                for (const QuorumWatermark &watermark : watermarks->watermarks)
                    member.durableState.watermarks[watermark.folder] = watermark;
            }
        }
    }

    void execute(std::size_t, const AppendRecords &) {}
    void execute(std::size_t, const RewriteLog &) {}

    void execute(std::size_t i, const SendQuorumMessage &send)
    {
        for (std::size_t to = 0; to < this->members.size(); ++to) {
            if (endpointOf(to) == send.endpoint)
                this->inFlight.push_back({ .from = i, .to = to, .message = send.message });
        }
    }

    void execute(std::size_t i, const ApplyEntries &apply)
    {
        SimulatedMember &member = this->members[i];
        for (const QuorumEntry &entry : apply.entries) {
            this->check(entry.index == member.appliedIndex + 1, "entries are applied in log order");
            const auto [known, isNew] = this->appliedEntries.emplace(entry.index, entry);
            this->check(known->second == entry, "one entry per index");
            member.appliedIndex = entry.index;
        }
    }

    void execute(std::size_t i, const RestoreState &restore)
    {
        this->members[i].appliedIndex = restore.snapshot.index;
    }

    void execute(std::size_t i, const AnswerRead &answer)
    {
        SimulatedMember &member = this->members[i];
        // A read that is answered as current must include every entry that was committed before the
        // read started.
        if (answer.isCurrent)
            this->check(member.appliedIndex >= member.minIndexByReadId[answer.id],
                        "a read answered as current includes every entry committed before");
        member.minIndexByReadId.erase(answer.id);
    }

    void checkLeader(std::size_t i)
    {
        const auto term = this->members[i].quorum->leadingTerm(this->localTime(i));
        if (!term)
            return;
        const std::uint64_t folder = this->members[i].durableState.folder;
        this->check(this->leaderFolderIdByTerm.emplace(*term, folder).first->second == folder,
                    "one leader per term");
    }
};

inline std::string violationsOf(const QuorumGroup &group)
{
    std::string text;
    for (const std::string &violation : group.violations)
        text += violation + "; ";
    return text;
}

/// Endpoints of the voters in the leader's latest membership; empty without a leader.
inline std::set<std::string> votersOf(QuorumGroup &group)
{
    std::set<std::string> voters;
    const auto leaderIndex = group.leader();
    if (!leaderIndex)
        return voters;
    for (const QuorumMember &each : group.members[*leaderIndex].quorum->members().members) {
        if (each.voter)
            voters.insert(each.endpoint);
    }
    return voters;
}

} // namespace egret
