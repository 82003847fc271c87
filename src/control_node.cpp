#include "control_node.h"

#include "clock.h"
#include "digest.h"
#include "log.h"
#include "log_writer.h"
#include "text_proposals.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <condition_variable>
#include <thread>

namespace egret {

namespace {

/// Longest time between two calls of Quorum::tick.
constexpr Milliseconds kTickPeriod = 10ms;
// A snapshot is taken after this number of new committed entries, or when this number of bytes
// was appended to the log.
constexpr std::uint64_t kSnapshotEntries = 4000;
constexpr std::uint64_t kSnapshotLogBytes = 8U << 20U;
/// Reason of a refusal by an instance that does not lead.
constexpr const char *kNotLeader = "not-leader";

struct Proposal
{
    ControlCommand command;
    ControlNode::Done done;
};

struct Inbox
{
    std::vector<QuorumMessage> messages;
    std::vector<Proposal> proposals;
    bool isLeaving{ false };
    bool isStopping{ false };
    bool hasLogResult{ false }; ///< the thread of the log has ended a job
};

/// State that other threads may read.
struct PublishedState
{
    ControlState state;
    std::optional<std::uint64_t> leadingTerm;
    TimePoint leadershipExpiresAt;
    std::set<std::string> endpoints; ///< link addresses of known instances of the quorum
    QuorumStatus status;
    /// A standby is in the membership, or has just become one voter more than are wanted.
    bool canBeReplaced{ false };
};

Milliseconds wallTime()
{
    return std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

} // namespace

const char *nameOf(QuorumRole role)
{
    switch (role) {
    case QuorumRole::voter:
        return "voter";
    case QuorumRole::learner:
        return "learner";
    case QuorumRole::outside:
        break;
    }
    return "outside";
}

class ControlNode::Impl
{
public:
    Impl(ControlNodeOptions options, ControlNodeHandlers handlers)
        : options(std::move(options)), handlers(std::move(handlers)),
          log(this->options.dataFolder, this->options.endpoint, this->options.logWrite,
              this->options.logSync)
    {}

    ~Impl() { this->stop(); }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    bool start(Reason<int> &reason)
    {
        const TimePoint startedAt = bootNow();
        Reason<QuorumLogError> logReason;
        auto persistentState = this->log.open(logReason);
        if (!persistentState) {
            reason.detail = logReason.detail;
            return false;
        }
        const std::size_t entries = persistentState->entries.size();
        this->quorum.emplace(QuorumOptions{ .endpoint = this->options.endpoint,
                                            .initialEndpoints = this->options.controls,
                                            .mayBootstrap = this->options.mayBootstrap,
                                            .targetVoters = this->options.targetVoters,
                                            .silentVoterTimeout = this->options.catchUpTime / 2 },
                             std::move(*persistentState), this->log.isFresh(), randomSeed(),
                             startedAt);
        this->perform();
        const TimePoint now = bootNow();
        logInfo("control log is read",
                { { "entries", entries },
                  { "snapshot", this->quorum->persistentState().snapshot.index },
                  { "ms", std::chrono::duration_cast<Milliseconds>(now - startedAt).count() } });
        this->logWriter.emplace(this->log, [this] {
            {
                const std::lock_guard lock(this->inboxMutex);
                this->inbox.hasLogResult = true;
            }
            this->inboxFilled.notify_one();
        });
        this->thread = std::thread([this] { this->run(); });
        return true;
    }

    void leave(Milliseconds limit)
    {
        const TimePoint deadline = bootNow() + limit;
        if (!this->hasPlaceToGive())
            return;
        {
            const std::lock_guard lock(this->inboxMutex);
            this->inbox.isLeaving = true;
        }
        this->inboxFilled.notify_one();
        while (this->hasPlaceToGive() && bootNow() < deadline)
            std::this_thread::sleep_for(kTickPeriod);
        logInfo("left the control quorum", { { "isReplaced", !this->hasPlaceToGive() } });
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->inboxMutex);
            this->inbox.isStopping = true;
        }
        this->inboxFilled.notify_one();
        if (this->thread.joinable())
            this->thread.join();
        if (this->logWriter)
            this->logWriter->stop();
    }

    void propose(const ControlCommand &command, Done done)
    {
        {
            const std::lock_guard lock(this->inboxMutex);
            this->inbox.proposals.push_back({ .command = command, .done = std::move(done) });
        }
        this->inboxFilled.notify_one();
    }

    void receive(const QuorumMessage &message)
    {
        {
            const std::lock_guard lock(this->inboxMutex);
            this->inbox.messages.push_back(message);
        }
        this->inboxFilled.notify_one();
    }

    std::optional<std::uint64_t> leadingTerm()
    {
        const TimePoint now = bootNow();
        return this->shared.with([now](const PublishedState &published) {
            return now < published.leadershipExpiresAt ? published.leadingTerm : std::nullopt;
        });
    }

    ControlResult read(const ReadDocument &query)
    {
        return this->shared.with(
                [&](const PublishedState &published) { return published.state.read(query); });
    }

    StoredRevision operators()
    {
        return this->shared.with(
                [](const PublishedState &published) { return published.state.operators(); });
    }

    OperatorState operatorState()
    {
        return this->shared.with(
                [](const PublishedState &published) { return published.state.operatorState(); });
    }

    std::set<std::string> knownEndpoints()
    {
        return this->shared.with(
                [](const PublishedState &published) { return published.endpoints; });
    }

    QuorumStatus quorumStatus()
    {
        return this->shared.with([](const PublishedState &published) { return published.status; });
    }

private:
    /// True while this instance votes or leads, and a standby or a new voter can do so instead.
    bool hasPlaceToGive()
    {
        return this->shared.with([](const PublishedState &published) {
            const bool isVoter = published.status.role == QuorumRole::voter;
            return (isVoter && published.canBeReplaced) || (!isVoter && published.leadingTerm);
        });
    }

    /// A command that was appended to the log and is not applied yet.
    struct PendingProposal
    {
        std::uint64_t term{ 0 }; ///< term in which the command was proposed
        Done done;
    };
    /// A query that waits for an AnswerRead action.
    struct PendingQuery
    {
        ControlCommand command;
        Done done;
    };

    void run()
    {
        while (true) {
            Inbox batch;
            {
                std::unique_lock lock(this->inboxMutex);
                this->inboxFilled.wait_for(lock, kTickPeriod, [this] {
                    return this->inbox.isStopping || this->inbox.hasLogResult
                           || !this->inbox.messages.empty() || !this->inbox.proposals.empty();
                });
                if (this->inbox.isStopping)
                    return;
                std::swap(batch, this->inbox);
            }
            this->processBatch(batch);
        }
    }

    /// Passes a batch of events to the quorum and executes the resulting actions. The records that
    /// follow while the disk is busy share the next sync.
    void processBatch(Inbox &events)
    {
        const TimePoint now = bootNow();
        if (events.isLeaving)
            this->quorum->leave();
        this->finishLogJob(now);
        this->quorum->tick(now);
        for (const QuorumMessage &message : events.messages)
            this->quorum->receive(now, message);
        this->proposeAll(now, events.proposals);
        this->perform();
        this->proposeTexts(now);
        this->publishLeadership();
        this->compactLog(now);
        this->startLogJob(now);
    }

    void proposeAll(TimePoint now, std::vector<Proposal> &proposals)
    {
        std::vector<std::string> payloads;
        std::vector<Done> callbacks;
        for (Proposal &proposal : proposals) {
            if (this->handleOutsideLog(now, proposal))
                continue;
            if (auto *put = std::get_if<PutNumberedText>(&proposal.command)) {
                this->acceptText(now, std::move(put->text), std::move(proposal.done));
                continue;
            }
            payloads.push_back(
                    encode(TimedCommand{ .time = wallTime(), .command = proposal.command }));
            callbacks.push_back(std::move(proposal.done));
        }
        this->proposePayloads(now, payloads, callbacks);
    }

    void proposePayloads(TimePoint now, const std::vector<std::string> &payloads,
                         std::vector<Done> &callbacks)
    {
        const auto firstIndex = this->quorum->propose(now, payloads);
        for (std::size_t i = 0; i < callbacks.size(); ++i) {
            if (firstIndex)
                this->pending[*firstIndex + i] = { .term = this->quorum->term(),
                                                   .done = std::move(callbacks[i]) };
            else
                callbacks[i](this->notLeaderResult());
        }
    }

    /// Accepts a numbered text at once if a text with this or a higher number is committed, and
    /// queues it otherwise.
    void acceptText(TimePoint now, NumberedText text, Done done)
    {
        if (!this->quorum->leadingTerm(now))
            return done(this->notLeaderResult());
        const auto known = this->shared.with(
                [&](const PublishedState &published) -> std::optional<ControlResult> {
                    const OperatorState &state = published.state.operatorState();
                    const auto found =
                            std::ranges::find(state.texts, text.name, &NumberedText::name);
                    if (found == state.texts.end() || found->number < text.number)
                        return std::nullopt;
                    return ControlResult{ .accepted = true,
                                          .revision = found->number,
                                          .fence = { .sequence = state.index } };
                });
        if (known)
            return done(*known);
        this->texts.add(std::move(text), std::move(done));
    }

    void proposeTexts(TimePoint now)
    {
        std::vector<NumberedText> due = this->texts.takeDue();
        if (due.empty())
            return;
        std::vector<std::string> payloads;
        std::vector<Done> callbacks;
        for (NumberedText &text : due) {
            const std::string name = text.name;
            payloads.push_back(encode(TimedCommand{
                    .time = wallTime(), .command = PutNumberedText{ .text = std::move(text) } }));
            callbacks.emplace_back([this, name](const ControlResult &result) {
                for (const Done &done : this->texts.finish(name))
                    done(result);
            });
        }
        this->proposePayloads(now, payloads, callbacks);
        this->perform();
    }

    /// Handles queries and membership changes, which are not proposed as commands.
    /// Returns false, and does nothing, for any other command.
    bool handleOutsideLog(TimePoint now, Proposal &proposal)
    {
        const auto &command = proposal.command;
        if (const auto *change = std::get_if<ChangeMember>(&command)) {
            proposal.done(this->changeMember(now, *change));
            return true;
        }
        const bool isQuery = std::holds_alternative<ReadDocument>(command)
                             || std::holds_alternative<ReadOperators>(command)
                             || std::holds_alternative<ReadAudit>(command)
                             || std::holds_alternative<ReadMembers>(command)
                             || std::holds_alternative<ReadNumberedText>(command);
        if (!isQuery)
            return false;
        const std::uint64_t id = ++this->lastQueryId;
        this->queries[id] = { .command = command, .done = std::move(proposal.done) };
        this->quorum->read(now, id);
        return true;
    }

    ControlResult changeMember(TimePoint now, const ChangeMember &change)
    {
        if (!this->quorum->leadingTerm(now))
            return this->notLeaderResult();
        const bool isAdd = !change.endpoint.empty();
        const bool accepted = isAdd ? this->quorum->addMember(now, change.endpoint)
                                    : this->quorum->removeMember(now, change.folder);
        const AuditRecord record{ .operatorName = change.operatorName,
                                  .action = isAdd ? "add-member" : "remove-member",
                                  .subject =
                                          isAdd ? change.endpoint : std::to_string(change.folder),
                                  .accepted = accepted,
                                  .reason = accepted ? "" : "not-possible-now" };
        this->quorum->propose(
                now, { encode(TimedCommand{ .time = wallTime(),
                                            .command = AppendAuditRecord{ .record = record } }) });
        return ControlResult{ .accepted = accepted, .reason = record.reason };
    }

    /// Executes the pending actions. Records go to the thread of the log; the quorum holds back the
    /// messages that need them on disk.
    void perform()
    {
        this->hasStateChanged = false;
        for (const QuorumAction &action : this->quorum->takeActions())
            std::visit([this](const auto &body) { this->execute(body); }, action);
        if (this->hasStateChanged)
            this->handlers.applied();
    }

    /// Passes the end of a log job to the quorum.
    void finishLogJob(TimePoint now)
    {
        auto ended = this->logWriter->takeResult();
        if (!ended)
            return;
        const bool wasDiskFull = this->logQueue.isDiskFull();
        const auto write = this->logQueue.finishJob(std::move(ended->first), ended->second, now);
        if (this->logQueue.isDiskFull() && !wasDiskFull)
            logError("disk is full; this member of the control quorum acknowledges no entries",
                     { { "path", this->options.dataFolder } });
        if (!this->logQueue.isDiskFull() && wasDiskFull)
            logInfo("disk has room again", { { "path", this->options.dataFolder } });
        if (write)
            this->quorum->logSynced(now, *write);
    }

    void startLogJob(TimePoint now)
    {
        if (auto job = this->logQueue.takeJob(this->quorum->persistentState(), now))
            this->logWriter->submit(std::move(*job));
    }

    void execute(const AppendRecords &append) { this->logQueue.add(append); }
    void execute(const RewriteLog &rewrite) { this->logQueue.add(rewrite); }

    void execute(const SendQuorumMessage &send)
    {
        this->handlers.send(send.endpoint, send.message);
    }

    void execute(const ApplyEntries &apply)
    {
        for (const QuorumEntry &entry : apply.entries) {
            ControlResult result;
            if (entry.kind == QuorumEntryKind::command)
                result = this->applyCommand(entry);
            const auto found = this->pending.find(entry.index);
            if (found == this->pending.end())
                continue;
            found->second.done(found->second.term == entry.term ? result : this->notLeaderResult());
            this->pending.erase(found);
        }
        this->hasStateChanged = true;
    }

    ControlResult applyCommand(const QuorumEntry &entry)
    {
        const auto timedCommand = decode<TimedCommand>(entry.payload);
        if (!timedCommand)
            return ControlResult{ .reason = "unreadable-command" };
        return this->shared.with([&](PublishedState &published) {
            return published.state.apply(
                    { .term = entry.term, .index = entry.index, .time = timedCommand->time },
                    timedCommand->command);
        });
    }

    void execute(const RestoreState &restore)
    {
        const std::string &state = *restore.snapshot.state;
        const auto snapshot = state.empty() ? ControlSnapshot{} : decodeSnapshot(state);
        if (!snapshot) {
            logError("snapshot can't be decoded", { { "index", restore.snapshot.index } });
            std::abort();
        }
        this->shared.with([&](PublishedState &published) { published.state.restore(*snapshot); });
        this->hasStateChanged = true;
    }

    void execute(const AnswerRead &answer)
    {
        const auto found = this->queries.find(answer.id);
        if (found == this->queries.end())
            return;
        const PendingQuery query = std::move(found->second);
        this->queries.erase(found);
        if (!answer.isCurrent)
            return query.done(this->notLeaderResult());
        if (std::holds_alternative<ReadMembers>(query.command))
            return query.done(this->describeMembers());
        query.done(this->shared.with([&](const PublishedState &published) {
            return published.state.query(query.command).value_or(ControlResult{});
        }));
    }

    ControlResult describeMembers()
    {
        nlohmann::json members = nlohmann::json::array();
        for (const QuorumMember &each : this->quorum->members().members)
            members.push_back({ { "endpoint", each.endpoint },
                                { "folder", each.folder },
                                { "voter", each.voter },
                                { "held", this->quorum->matchIndex(each.folder) } });
        const nlohmann::json body = { { "leader", this->options.endpoint },
                                      { "term", this->quorum->term() },
                                      { "committed", this->quorum->commitIndex() },
                                      { "members", members } };
        return ControlResult{ .accepted = true, .text = body.dump() };
    }

    ControlResult notLeaderResult() const
    {
        return ControlResult{ .reason = kNotLeader, .leader = this->quorum->leaderEndpoint() };
    }

    QuorumStatus currentStatus() const
    {
        QuorumStatus status{ .leader = this->quorum->leaderEndpoint() };
        for (const QuorumMember &each : this->quorum->members().members) {
            ++(each.voter ? status.voters : status.standbys);
            if (each.folder == this->quorum->persistentState().folder)
                status.role = each.voter ? QuorumRole::voter : QuorumRole::learner;
        }
        return status;
    }

    /// Publishes the known endpoints, the status and the leading term to other threads. When this
    /// instance does not lead, refuses the pending proposals.
    void publishLeadership()
    {
        const TimePoint now = bootNow();
        const auto term = this->quorum->leadingTerm(now);
        const TimePoint expiresAt = this->quorum->leadershipExpiresAt();
        std::set<std::string> endpoints = this->quorum->knownEndpoints();
        const QuorumStatus status = this->currentStatus();
        bool hasStatusChanged = false;
        const auto previousTerm = this->shared.with([&](PublishedState &published) {
            published.endpoints = std::move(endpoints);
            hasStatusChanged = std::exchange(published.status, status) != status;
            published.canBeReplaced =
                    status.standbys > 0 || status.voters > this->options.targetVoters;
            published.leadershipExpiresAt = expiresAt;
            return std::exchange(published.leadingTerm, term);
        });
        if (previousTerm != term)
            logInfo(term ? "this instance leads the control quorum"
                         : "this instance stopped leading the control quorum",
                    { { "term", this->quorum->term() } });
        if (hasStatusChanged)
            logInfo("control quorum's status changed", { { "role", nameOf(status.role) },
                                                         { "leader", status.leader },
                                                         { "voters", status.voters },
                                                         { "term", this->quorum->term() } });
        if (term)
            return;
        for (auto &[index, refused] : std::exchange(this->pending, {}))
            refused.done(this->notLeaderResult());
    }

    /// Takes a snapshot when the entries in memory or the records on disk have become large. A full
    /// disk delays the new file, but not the snapshot in memory.
    void compactLog(TimePoint now)
    {
        const QuorumPersistentState &state = this->quorum->persistentState();
        const std::uint64_t newEntries = this->quorum->commitIndex() - state.snapshot.index;
        const std::size_t entryBytes = this->quorum->entryBytes();
        const std::uint64_t appendedBytes = this->logQueue.appendedBytes();
        const bool isFileLarge =
                appendedBytes > kSnapshotLogBytes && !this->logQueue.isRewriteDelayed(now);
        if (isFileLarge && newEntries == 0
            && appendedBytes > 2 * (entryBytes + state.snapshot.state->size()))
            return this->logQueue.requestRewrite();
        const bool isLogLarge = newEntries > 0 && (isFileLarge || entryBytes > kSnapshotLogBytes);
        if (newEntries < kSnapshotEntries && !isLogLarge)
            return;
        this->quorum->compact(this->shared.with([](const PublishedState &published) {
            return encode(published.state.snapshot());
        }));
        this->perform();
    }

    ControlNodeOptions options;
    ControlNodeHandlers handlers;
    QuorumLog log;
    std::optional<Quorum> quorum;
    Guarded<PublishedState, LockRank::control> shared;
    std::map<std::uint64_t, PendingProposal> pending; ///< by log index
    std::map<std::uint64_t, PendingQuery> queries;    ///< by read id
    std::uint64_t lastQueryId{ 0 };
    bool hasStateChanged{ false };
    TextProposals texts;
    LogWriteQueue logQueue;

    std::mutex inboxMutex;
    std::condition_variable inboxFilled;
    Inbox inbox;
    std::optional<LogWriter> logWriter;
    std::thread thread;
};

ControlNode::ControlNode(ControlNodeOptions options, ControlNodeHandlers handlers)
    : impl(std::make_unique<Impl>(std::move(options), std::move(handlers)))
{}

ControlNode::~ControlNode() = default;

bool ControlNode::start(Reason<int> &reason)
{
    return this->impl->start(reason);
}

void ControlNode::leave(Milliseconds limit)
{
    this->impl->leave(limit);
}

void ControlNode::stop()
{
    this->impl->stop();
}

void ControlNode::propose(const ControlCommand &command, Done done)
{
    this->impl->propose(command, std::move(done));
}

void ControlNode::receive(const QuorumMessage &message)
{
    this->impl->receive(message);
}

std::optional<std::uint64_t> ControlNode::leadingTerm()
{
    return this->impl->leadingTerm();
}

ControlResult ControlNode::read(const ReadDocument &query)
{
    return this->impl->read(query);
}

StoredRevision ControlNode::operators()
{
    return this->impl->operators();
}

OperatorState ControlNode::operatorState()
{
    return this->impl->operatorState();
}

std::set<std::string> ControlNode::knownEndpoints()
{
    return this->impl->knownEndpoints();
}

QuorumStatus ControlNode::quorumStatus()
{
    return this->impl->quorumStatus();
}

} // namespace egret
