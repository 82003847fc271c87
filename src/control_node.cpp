#include "control_node.h"

#include "clock.h"
#include "digest.h"
#include "log.h"
#include "quorum_log.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <condition_variable>
#include <thread>

namespace egret {

namespace {

/// Bound on the time between two runs of the timers.
constexpr Milliseconds kTickPeriod = 10ms;
/// A snapshot is taken after this many applied entries or bytes of log.
constexpr std::uint64_t kSnapshotEntries = 4000;
constexpr std::uint64_t kSnapshotBytes = 8U << 20U;
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
    bool stopping{ false };
};

/// State published to other threads.
struct SharedState
{
    ControlState state;
    std::optional<std::uint64_t> leadingTerm;
    TimePoint leadsUntil;
    std::vector<std::string> members; ///< link addresses
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

class ControlNode::Impl
{
public:
    Impl(ControlNodeOptions options, ControlNodeHandlers handlers)
        : options(std::move(options)), handlers(std::move(handlers)),
          log(this->options.dataFolder, this->options.endpoint)
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
        this->machine.emplace(QuorumOptions{ .endpoint = this->options.endpoint,
                                             .controls = this->options.controls,
                                             .mayBootstrap = this->options.mayBootstrap,
                                             .targetVoters = this->options.targetVoters },
                              std::move(*persistentState), this->log.isFresh(), randomSeed(),
                              startedAt);
        this->perform();
        const TimePoint now = bootNow();
        logInfo("control log is read",
                { { "entries", entries },
                  { "snapshot", this->machine->persistentState().snapshot.index },
                  { "ms", std::chrono::duration_cast<Milliseconds>(now - startedAt).count() } });
        this->thread = std::thread([this] { this->run(); });
        return true;
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->inboxMutex);
            this->inbox.stopping = true;
        }
        this->inboxFilled.notify_one();
        if (this->thread.joinable())
            this->thread.join();
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
        return this->shared.with([now](const SharedState &control) {
            return now < control.leadsUntil ? control.leadingTerm : std::nullopt;
        });
    }

    ControlResult read(const ReadDocument &query)
    {
        return this->shared.with(
                [&](const SharedState &control) { return control.state.read(query); });
    }

    StoredRevision operators()
    {
        return this->shared.with(
                [](const SharedState &control) { return control.state.operators(); });
    }

    OperatorState operatorState()
    {
        return this->shared.with(
                [](const SharedState &control) { return control.state.operatorState(); });
    }

    std::vector<std::string> memberEndpoints()
    {
        return this->shared.with([](const SharedState &control) { return control.members; });
    }

private:
    struct Pending
    {
        std::uint64_t term{ 0 };
        Done done;
    };
    struct Query
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
                    return this->inbox.stopping || !this->inbox.messages.empty()
                           || !this->inbox.proposals.empty();
                });
                if (this->inbox.stopping)
                    return;
                std::swap(batch, this->inbox);
            }
            this->processBatch(batch);
        }
    }

    /// Passes one batch of events to the state machine and executes the resulting
    /// actions with a single sync.
    void processBatch(Inbox &events)
    {
        const TimePoint now = bootNow();
        this->machine->tick(now);
        for (const QuorumMessage &message : events.messages)
            this->machine->receive(now, message);
        this->proposeAll(now, events.proposals);
        this->perform();
        this->publishLeadership();
        this->compactLog();
    }

    void proposeAll(TimePoint now, std::vector<Proposal> &proposals)
    {
        std::vector<std::string> payloads;
        std::vector<Done> callbacks;
        for (Proposal &proposal : proposals) {
            if (this->handleOutsideLog(now, proposal))
                continue;
            payloads.push_back(
                    encode(TimedCommand{ .time = wallTime(), .command = proposal.command }));
            callbacks.push_back(std::move(proposal.done));
        }
        const auto first = this->machine->propose(now, payloads);
        for (std::size_t i = 0; i < callbacks.size(); ++i) {
            if (first)
                this->pending[*first + i] = { .term = this->machine->term(),
                                              .done = std::move(callbacks[i]) };
            else
                callbacks[i](this->notLeader());
        }
    }

    /// Handles queries and membership changes, which are no commands of the log; false
    /// for a command.
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
        const std::uint64_t id = ++this->lastQuery;
        this->queries[id] = { .command = command, .done = std::move(proposal.done) };
        this->machine->read(now, id);
        return true;
    }

    ControlResult changeMember(TimePoint now, const ChangeMember &change)
    {
        if (!this->machine->leadingTerm(now))
            return this->notLeader();
        const bool isAdd = !change.endpoint.empty();
        const bool accepted = isAdd ? this->machine->addMember(now, change.endpoint)
                                    : this->machine->removeMember(now, change.folder);
        const AuditRecord record{ .operatorName = change.operatorName,
                                  .action = isAdd ? "add-member" : "remove-member",
                                  .subject =
                                          isAdd ? change.endpoint : std::to_string(change.folder),
                                  .accepted = accepted,
                                  .reason = accepted ? "" : "not-possible-now" };
        this->machine->propose(
                now, { encode(TimedCommand{ .time = wallTime(),
                                            .command = AppendAuditRecord{ .record = record } }) });
        return ControlResult{ .accepted = accepted, .reason = record.reason };
    }

    /// Executes pending actions: writes and syncs all records first, because messages
    /// and results must follow the records they depend on.
    void perform()
    {
        const std::vector<QuorumAction> actions = this->machine->takeActions();
        bool isRewritten = false;
        bool mustSync = false;
        for (const QuorumAction &action : actions)
            isRewritten = isRewritten || std::holds_alternative<RewriteLog>(action);
        if (isRewritten)
            this->log.rewrite(this->machine->persistentState());
        for (const QuorumAction &action : actions) {
            const auto *append = std::get_if<AppendRecords>(&action);
            if (append == nullptr || isRewritten)
                continue;
            this->log.append(append->records);
            mustSync = mustSync || append->sync;
        }
        if (mustSync)
            this->log.sync();
        this->changed = false;
        for (const QuorumAction &action : actions)
            std::visit([this](const auto &body) { this->execute(body); }, action);
        if (this->changed)
            this->handlers.applied();
    }

    void execute(const AppendRecords &) {}
    void execute(const RewriteLog &) {}

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
            found->second.done(found->second.term == entry.term ? result : this->notLeader());
            this->pending.erase(found);
        }
        this->changed = true;
    }

    ControlResult applyCommand(const QuorumEntry &entry)
    {
        const auto timed = decode<TimedCommand>(entry.payload);
        if (!timed)
            return ControlResult{ .reason = "unreadable-command" };
        return this->shared.with([&](SharedState &control) {
            return control.state.apply(
                    { .term = entry.term, .index = entry.index, .time = timed->time },
                    timed->command);
        });
    }

    void execute(const RestoreState &restore)
    {
        const std::string &state = *restore.snapshot.state;
        const auto snapshot = state.empty() ? ControlSnapshot{} : decode<ControlSnapshot>(state);
        if (!snapshot) {
            logError("snapshot can't be decoded", { { "index", restore.snapshot.index } });
            std::abort();
        }
        this->shared.with([&](SharedState &control) { control.state.restore(*snapshot); });
        this->changed = true;
    }

    void execute(const AnswerRead &answer)
    {
        const auto found = this->queries.find(answer.id);
        if (found == this->queries.end())
            return;
        const Query query = std::move(found->second);
        this->queries.erase(found);
        if (!answer.isCurrent)
            return query.done(this->notLeader());
        if (std::holds_alternative<ReadMembers>(query.command))
            return query.done(this->describeMembers());
        query.done(this->shared.with([&](const SharedState &control) {
            return control.state.query(query.command).value_or(ControlResult{});
        }));
    }

    ControlResult describeMembers()
    {
        nlohmann::json members = nlohmann::json::array();
        for (const QuorumMember &each : this->machine->members().members)
            members.push_back({ { "endpoint", each.endpoint },
                                { "folder", each.folder },
                                { "voter", each.voter },
                                { "held", this->machine->matchIndex(each.folder) } });
        const nlohmann::json body = { { "leader", this->options.endpoint },
                                      { "term", this->machine->term() },
                                      { "committed", this->machine->commitIndex() },
                                      { "members", members } };
        return ControlResult{ .accepted = true, .text = body.dump() };
    }

    ControlResult notLeader() const
    {
        return ControlResult{ .reason = kNotLeader, .leader = this->machine->leaderEndpoint() };
    }

    /// Publishes membership and leadership to other threads; refuses the pending
    /// proposals after a loss of leadership.
    void publishLeadership()
    {
        const TimePoint now = bootNow();
        const auto term = this->machine->leadingTerm(now);
        const TimePoint until = this->machine->leadsUntil();
        std::vector<std::string> endpoints;
        for (const QuorumMember &each : this->machine->members().members)
            endpoints.push_back(each.endpoint);
        const auto before = this->shared.with([&](SharedState &control) {
            control.members = std::move(endpoints);
            control.leadsUntil = until;
            return std::exchange(control.leadingTerm, term);
        });
        if (before != term)
            logInfo(term ? "this instance leads the control quorum"
                         : "this instance stopped leading the control quorum",
                    { { "term", this->machine->term() } });
        if (term)
            return;
        for (auto &[index, waiting] : std::exchange(this->pending, {}))
            waiting.done(this->notLeader());
    }

    void compactLog()
    {
        const std::uint64_t newEntries =
                this->machine->commitIndex() - this->machine->persistentState().snapshot.index;
        const bool isLogLarge = this->log.appendedBytes() > kSnapshotBytes && newEntries > 0;
        if (newEntries < kSnapshotEntries && !isLogLarge)
            return;
        this->machine->compact(this->shared.with(
                [](const SharedState &control) { return encode(control.state.snapshot()); }));
        this->perform();
    }

    ControlNodeOptions options;
    ControlNodeHandlers handlers;
    QuorumLog log;
    std::optional<Quorum> machine;
    Guarded<SharedState, LockRank::control> shared;
    std::map<std::uint64_t, Pending> pending;
    std::map<std::uint64_t, Query> queries;
    std::uint64_t lastQuery{ 0 };
    bool changed{ false };

    std::mutex inboxMutex;
    std::condition_variable inboxFilled;
    Inbox inbox;
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

std::vector<std::string> ControlNode::memberEndpoints()
{
    return this->impl->memberEndpoints();
}

} // namespace egret
