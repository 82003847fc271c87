#include "registry_node.h"

#include "clock.h"
#include "control_node.h"
#include "link.h"
#include "log.h"
#include "node_options.h"
#include "order_gate.h"
#include "program.h"
#include "quarantine_control.h"
#include "registry.h"
#include "slow_start_permits.h"
#include "speed_observations.h"
#include "text_times.h"
#include "upstream_check.h"
#include "upstream_statements.h"
#include "view_schedule.h"

#include <asio/post.hpp>

#include <algorithm>
#include <set>

namespace egret {

namespace {

/// Period of the checks for overdue calls and for upstreams that have become silent.
constexpr Milliseconds kTickPeriod = 50ms;
/// Interval at which the leader asks a majority to confirm that the operators' state is current.
/// Each confirmation extends the gateways' leases on the state.
constexpr Milliseconds kConfirmPeriod = 250ms;
/// An announcement that changes an upstream's record is sent to the other registries at once. All
/// other announcements are sent at this interval.
constexpr Milliseconds kAnnouncementSyncPeriod = 500ms;
/// A reader (gateway or stager) that has not pulled a view for this long gets no pushed views.
/// Only gateways that pulled a view within this time are counted in `View::gatewayCount`.
constexpr Milliseconds kReaderTimeout = 3s;
/// Processor time of one view, including the pull that it answers.
constexpr double kSecondsPerView = 0.0002;
/// Share of this machine's processor that views may use. The rest is left for the quorum and for
/// announcements.
constexpr double kViewShareOfProcessor = 0.4;
/// A call that has no leader is tried again every `kCallRetryPeriod`. A call is abandoned after
/// `kCallTimeout`, because the client that made the call tries another registry after one second.
constexpr Milliseconds kCallRetryPeriod = 150ms;
constexpr Milliseconds kCallTimeout = 900ms;
/// Bound on the texts of the pending calls, which this instance holds until they are answered.
constexpr std::size_t kMaxPendingCallBytes = 24U << 20U;
/// Longest wait of a stopping instance for a standby to take its place in the quorum.
constexpr Milliseconds kLeaveTimeout = 1s;
/// Bound on the records in a view or in a message to another registry. Records are small, so the
/// message stays far below the limit of a frame, and the reader pulls the rest.
constexpr std::size_t kMaxRecordsPerMessage = 500;
/// A leader grants permits only for this time after a majority confirmed its state. A leader that
/// was cut off stops to grant before its successor begins.
constexpr Milliseconds kPermitLeaseTime = 600ms;
/// Retry time of a permit that is refused because this instance is not the issuer.
constexpr Milliseconds kNotIssuerRetryAfter = 300ms;
// Reasons in a `ControlResult`.
constexpr const char *kNotLeader = "not-leader";
constexpr const char *kUnavailable = "unavailable";

/// A gateway or stager that receives views (the operators' state and the upstreams' changes), and
/// the last state, change and document that the reader received.
struct Reader
{
    LinkPtr link;
    bool isGateway{ false };
    TimePoint lastPullAt;              ///< time of the last pull
    std::uint64_t change{ 0 };         ///< number of the last upstream change sent
    std::uint64_t stateIndex{ 0 };     ///< log index of the operators' state sent last
    std::uint64_t documentNumber{ 0 }; ///< number of the document that the reader holds
    /// What upstreams say of themselves was not sent yet. It is sent after a view, because a
    /// gateway ignores statements of upstreams that it doesn't know.
    bool lacksStatements{ false };
};

/// A command or query that waits for the leader's result.
struct PendingCall
{
    ControlCommand command;
    RegistryNode::Done done;
    TimePoint deadline;
    TimePoint retryAt;
    bool isAtNode{ false }; ///< this instance's node has not answered yet
    /// Link address of the leader that has the call; empty for none. The call is not sent again
    /// over the same link, which loses nothing while it is up.
    std::string sentTo;
};

std::size_t textBytes(const ControlCommand &command)
{
    const auto *put = std::get_if<PutNumberedText>(&command);
    return put != nullptr ? put->text.text.size() : 0;
}

/// What one incarnation of an upstream has said of itself.
struct IncarnationStatements
{
    std::uint64_t startedAtMs{ 0 };
    UpstreamStatements statements;
};

Milliseconds wallTime()
{
    return std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

/// Returns the number of a text in the operators' state; empty when there is no such text.
std::optional<std::uint64_t> numberOf(const OperatorState &state, const std::string &textName)
{
    const auto found = std::ranges::find(state.texts, textName, &NumberedText::name);
    return found == state.texts.end() ? std::nullopt : std::optional(found->number);
}

} // namespace

class RegistryNode::Impl : public std::enable_shared_from_this<RegistryNode::Impl>
{
public:
    explicit Impl(const NodeSettings &settings)
        : settings(settings), incarnation(newIncarnation()), pool(1),
          hub(this->pool, nodeHubOptions(settings, Role::control, this->incarnation),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->onDown(link); } }),
          node({ .dataFolder = settings.dataFolder,
                 .endpoint = ownLinkEndpoint(settings),
                 .controls = seedEndpoints(settings, false),
                 .mayBootstrap = settings.isFirstStart,
                 .targetVoters = std::size_t{ 2 } * settings.toleratedLosses + 1,
                 .catchUpTime = std::chrono::duration_cast<Milliseconds>(
                         std::chrono::duration<double>(settings.bounds.catchUp)) },
               { .applied = [this] { this->post([this] { this->onApplied(); }); },
                 .send =
                         [this](const std::string &endpoint, const QuorumMessage &message) {
                             std::visit(
                                     [&](const auto &body) {
                                         this->hub.send(endpoint, Channel::control, body);
                                     },
                                     message);
                         } }),
          schedule({ .viewsPerSecond =
                             settings.processorShare * kViewShareOfProcessor / kSecondsPerView,
                     .readerTimeout = kReaderTimeout })
    {
        for (const std::string &seed : seedEndpoints(settings, true))
            this->otherRegistries.insert(seed);
    }

    bool start(std::string &problem)
    {
        Reason<std::error_code> linkReason;
        if (!this->hub.listen(linkReason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + linkReason.code.message();
            return false;
        }
        Reason<int> reason;
        if (!this->node.start(reason)) {
            problem = reason.detail;
            return false;
        }
        this->pool.every(kTickPeriod, [this] { this->tick(); });
        this->pool.every(kConfirmPeriod, [this] { this->confirm(); });
        this->pool.every(kAnnouncementSyncPeriod, [this] { this->sendAnnouncements(); });
        return true;
    }

    void stop()
    {
        this->node.leave(kLeaveTimeout);
        this->node.stop();
        this->hub.shutdown();
        this->pool.stop();
    }

    std::string announce(const UpstreamRecord &record)
    {
        ++this->announcementCount;
        std::string error = this->announcementProblem(record);
        if (!error.empty())
            return error;
        if (this->registry.onAnnouncement(record, bootNow())) {
            logInfo("upstream announced", { { "upstream", record.id },
                                            { "service", record.service },
                                            { "endpoint", record.endpoint },
                                            { "sequence", record.sequence },
                                            { "ready", record.notice == AnnouncedState::ready },
                                            { "version", record.version } });
            this->onUpstreamsChanged();
        }
        return "";
    }

    void markDeparted(const std::string &id, std::optional<std::uint64_t> startedAtMs)
    {
        // Without a start, the departure is taken for that of the present incarnation.
        const UpstreamRecord *known = this->registry.find(id);
        const auto presentStartMs = known != nullptr
                                            ? known->startedAtMs
                                            : static_cast<std::uint64_t>(wallTime().count());
        const std::uint64_t startMs = startedAtMs.value_or(presentStartMs);
        const bool isRefused = id.size() > kMaxAnnouncedName || !this->registry.hasRoomFor(id);
        if (!isRefused && this->registry.markDeparted(id, startMs, bootNow())) {
            logInfo("upstream departed", { { "upstream", id } });
            this->onUpstreamsChanged();
        }
    }

    void call(const ControlCommand &command, Done done)
    {
        std::size_t bytes = textBytes(command);
        for (const auto &[id, pending] : this->pendingCalls)
            bytes += textBytes(pending.command);
        if (bytes > kMaxPendingCallBytes) {
            ++this->unavailableCallCount;
            logWarn("call refused: too many large calls are pending",
                    { { "calls", this->pendingCalls.size() }, { "bytes", bytes } });
            return done(ControlResult{ .reason = kUnavailable });
        }
        const std::uint64_t id = ++this->lastCallId;
        this->pendingCalls[id] = { .command = command,
                                   .done = std::move(done),
                                   .deadline = bootNow() + kCallTimeout };
        this->submitCall(id);
    }

    void changeZoneService(const std::string &zone, bool isOut, std::function<bool()> isCallerGone,
                           Done done)
    {
        const TimePoint readAt = bootNow();
        // The state that is known now, before an order that was read late may learn of later ones.
        const ChangeZoneService command{ .zone = zone,
                                         .isOut = isOut,
                                         .knownIndex = std::max(this->appliedState->index,
                                                                this->lastResultIndex) };
        this->pool.after(this->orderGate.checkDelay(),
                         [this, readAt, command, isCallerGone = std::move(isCallerGone),
                          done = std::move(done)] {
                             if (this->orderGate.isCurrent(readAt, isCallerGone(), bootNow()))
                                 return this->call(command, done);
                             logWarn("order of unknown age refused",
                                     { { "zone", command.zone }, { "isOut", command.isOut } });
                             done(ControlResult{ .reason = kOutdatedOrder });
                         });
    }

    void addSeeds(const std::vector<std::string> &seeds)
    {
        for (const std::string &seed : seeds) {
            const std::string endpoint = linkEndpointOf(this->settings, seed);
            if (endpoint != ownLinkEndpoint(this->settings))
                this->otherRegistries.insert(endpoint);
        }
    }

    std::string metricsText()
    {
        std::string text;
        const auto appendMetric = [&text](const char *name, std::uint64_t value) {
            text += std::string("egret_") + name + " " + std::to_string(value) + "\n";
        };
        appendMetric("announcements_total", this->announcementCount);
        appendMetric("upstreams", this->registry.size());
        appendMetric("readers", this->readers.size());
        appendMetric("views_total", this->viewCount);
        appendMetric("views_pushed_total", this->pushedViewCount);
        appendMetric("view_pulls_dropped_total", this->schedule.droppedPulls());
        appendMetric("pending_calls", this->pendingCalls.size());
        appendMetric("operator_state_index", this->appliedState->index);
        appendMetric("slow_start_permits_total", this->permitCount);
        appendMetric("leads", this->node.leadingTerm() ? 1 : 0);
        const QuorumStatus status = this->node.quorumStatus();
        appendMetric("votes", status.role == QuorumRole::voter ? 1 : 0);
        appendMetric("voters", status.voters);
        appendMetric("standbys", status.standbys);
        appendMetric("knows_leader", status.leader.empty() ? 0 : 1);
        appendMetric("limited_upstreams", std::ranges::count_if(this->statements, isLimited));
        appendMetric("segment_crashes_total", this->crashReportCount);
        appendMetric("quarantined_segments", parseQuarantineText(this->quarantine().text).size());
        appendMetric("calls_total", this->lastCallId);
        appendMetric("calls_unavailable_total", this->unavailableCallCount);
        return text;
    }

    QuorumStatus quorumStatus() { return this->node.quorumStatus(); }

    WorkerPool &workers() { return this->pool; }

private:
    void post(std::function<void()> work) { asio::post(this->pool.context(), std::move(work)); }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *pull = std::get_if<ViewPull>(&frame.message))
            this->onPull(link, *pull);
        else if (const auto *update = std::get_if<UpstreamAnnouncements>(&frame.message))
            this->onPeerAnnouncements(*update);
        else if (const auto *request = std::get_if<ControlRequest>(&frame.message))
            this->onControlRequest(link, *request);
        else if (const auto *reply = std::get_if<ControlReply>(&frame.message))
            this->finishCall(reply->callId, reply->result);
        else if (const auto *permit = std::get_if<PermitRequest>(&frame.message))
            this->onPermitRequest(link, *permit);
        else if (const auto *report = std::get_if<UpstreamReport>(&frame.message))
            this->onUpstreamReport(*report);
        else if (const auto *speeds = std::get_if<SpeedObservations>(&frame.message))
            this->onSpeedObservations(*speeds);
        else if (const auto *crash = std::get_if<CrashReport>(&frame.message))
            this->onCrashReport(*crash);
        else if (const auto *begun = std::get_if<SuspectsBegun>(&frame.message))
            this->onSuspectsBegun(*begun);
        else if (const auto *probe = std::get_if<SuspectProbeRequest>(&frame.message))
            this->onProbeRequest(link, *probe);
        else
            this->onQuorumFrame(frame);
    }

    void onQuorumFrame(const Frame &frame)
    {
        std::visit(
                [this](const auto &body) {
                    using Body = std::decay_t<decltype(body)>;
                    if constexpr (std::is_constructible_v<QuorumMessage, const Body &>)
                        this->node.receive(body);
                },
                frame.message);
    }

    void onDown(const LinkPtr &link)
    {
        std::erase_if(this->readers, [this, &link](const auto &each) {
            if (each.second.link != link)
                return false;
            this->schedule.erase(each.first);
            return true;
        });
        if (link->target().empty())
            return;
        logInfo("registry link lost", { { "peer", link->target() } });
        for (auto &[id, call] : this->pendingCalls) {
            if (call.sentTo == link->target())
                call.sentTo.clear();
        }
    }

    // Views.

    void onPull(const LinkPtr &link, const ViewPull &pull)
    {
        Reader &reader = this->readers[pull.instance];
        const bool isNewGateway = pull.isGateway && reader.link != link;
        const bool isSameIncarnation = pull.receiverIncarnation == this->incarnation;
        reader = { .link = link,
                   .isGateway = pull.isGateway,
                   .lastPullAt = bootNow(),
                   .change = isSameIncarnation ? pull.change : 0,
                   .stateIndex = pull.stateIndex,
                   .documentNumber = pull.documentNumber,
                   .lacksStatements = reader.lacksStatements || isNewGateway };
        if (isNewGateway)
            this->countGateways(reader.lastPullAt);
        this->schedule.onPull(pull.instance,
                              { .sentAt = pull.sentAt, .wantsDocument = pull.wantsDocument },
                              reader.lastPullAt);
        this->sendDueViews();
    }

    void sendDueViews()
    {
        for (const DueView &due : this->schedule.takeDue(bootNow())) {
            const auto reader = this->readers.find(due.reader);
            if (reader != this->readers.end())
                this->sendView(reader->second, due.pull);
        }
    }

    /// Sends a view with the changes that the reader lacks and records these changes as sent. The
    /// view echoes the time of the pull, by the reader's clock, or 0 for a push.
    void sendView(Reader &reader, const std::optional<DueView::Pull> &pull)
    {
        const TimePoint now = bootNow();
        ++this->viewCount;
        this->pushedViewCount += pull ? 0 : 1;
        View view{ .incarnation = this->incarnation,
                   .isPush = !pull,
                   .askedAt = pull ? pull->sentAt : 0ms,
                   .isConfirmed = this->confirmedAt.has_value(),
                   .confirmationAge = this->confirmedAt ? std::chrono::ceil<Milliseconds>(
                                              now - *this->confirmedAt)
                                                        : 0ms,
                   .gatewayCount = this->gatewayCount,
                   .registries = { this->otherRegistries.begin(), this->otherRegistries.end() },
                   .hasState = this->appliedState->index > reader.stateIndex };
        RecordChanges changes =
                this->registry.changesSince(reader.change, now, kMaxRecordsPerMessage);
        view.change = changes.lastChange;
        view.upstreams = std::move(changes.records);
        const NumberedText document = this->document();
        view.documentNumber = document.number;
        const bool sendsDocument =
                pull && pull->wantsDocument && document.number > reader.documentNumber;
        view.state = this->stateWithoutDocument(now);
        for (const NumberedText &text : view.state.texts) {
            if (!text.name.starts_with(kWeightsTextPrefix))
                continue;
            std::ranges::move(this->textTimes.replacedLately(text, now),
                              std::back_inserter(view.replacedTexts));
        }
        if (sendsDocument)
            view.state.texts.push_back(document);
        if (!reader.link->send(view))
            return;
        reader.change = view.change;
        reader.stateIndex = std::max(reader.stateIndex, this->appliedState->index);
        if (std::exchange(reader.lacksStatements, false))
            this->sendStatements(reader);
    }

    NumberedText document() const
    {
        const auto found =
                std::ranges::find(this->appliedState->texts, kDocumentText, &NumberedText::name);
        return found == this->appliedState->texts.end() ? NumberedText{} : *found;
    }

    /// Returns the operators' state without the document, and sets `timeInForce` of each text.
    OperatorState stateWithoutDocument(TimePoint now) const
    {
        OperatorState stateWithAges{ .index = this->appliedState->index,
                                     .zonesOut = this->appliedState->zonesOut };
        for (const NumberedText &text : this->appliedState->texts) {
            if (text.name == kDocumentText)
                continue;
            stateWithAges.texts.push_back(text);
            stateWithAges.texts.back().timeInForce = this->textTimes.timeInForce(text, now);
        }
        return stateWithAges;
    }

    void countGateways(TimePoint now)
    {
        this->gatewayCount = 0;
        for (const auto &[name, reader] : this->readers) {
            if (reader.isGateway && now < reader.lastPullAt + kReaderTimeout)
                ++this->gatewayCount;
        }
    }

    void pushViews()
    {
        this->schedule.onChange();
        this->sendDueViews();
    }

    // The replicated state.

    void onApplied()
    {
        const OperatorState applied = this->node.operatorState();
        if (applied.index == this->appliedState->index)
            return;
        this->textTimes.onApplied(applied.texts, bootNow());
        const auto previous =
                std::exchange(this->appliedState, std::make_shared<const OperatorState>(applied));
        for (const NumberedText &text : applied.texts) {
            if (numberOf(*previous, text.name) != text.number)
                logInfo("operators' state changed", { { "text", text.name },
                                                      { "number", text.number },
                                                      { "index", applied.index } });
        }
        if (previous->zonesOut != applied.zonesOut)
            logInfo("zones out of service changed",
                    { { "zones", applied.zonesOut }, { "index", applied.index } });
        this->onQuarantineApplied();
        this->pushViews();
    }

    /// On the leader, asks a majority to confirm that the applied state is current. On any other
    /// member, marks the state as unconfirmed.
    void confirm()
    {
        const TimePoint requestedAt = bootNow();
        const auto term = this->node.leadingTerm();
        if (term != std::exchange(this->permitTerm, term)) {
            this->issuesPermitsSince = requestedAt;
            this->permits.clear();
            this->quarantineControl.onLeadershipChanged();
        }
        if (!term) {
            this->confirmedAt.reset();
            return;
        }
        // The name of no text: the answer shows that the state is current, and carries no text.
        this->node.propose(ReadNumberedText{}, [this, requestedAt](const ControlResult &result) {
            this->post([this, requestedAt, reason = result.reason] {
                this->onConfirmed(requestedAt, reason);
            });
        });
    }

    void onConfirmed(TimePoint requestedAt, const std::string &reason)
    {
        if (reason == kNotLeader) {
            this->confirmedAt.reset();
            return;
        }
        this->onApplied();
        this->confirmedAt = requestedAt;
    }

    // Permits for upstreams in slow start that have no stager.

    void onPermitRequest(const LinkPtr &link, const PermitRequest &request)
    {
        const TimePoint now = bootNow();
        PermitDecision decision{ .retryAfter = kNotIssuerRetryAfter };
        const bool isIssuer = this->confirmedAt && now < *this->confirmedAt + kPermitLeaseTime;
        if (isIssuer && request.requestsPerSecond > 0) {
            std::erase_if(this->permits,
                          [now](const auto &each) { return each.second.isIdle(now); });
            // A former leader may have granted permits until the end of its lease.
            decision = this->permits
                               .try_emplace(request.upstream,
                                            this->issuesPermitsSince + kPermitLeaseTime)
                               .first->second.request(request.requestsPerSecond, now);
        }
        this->permitCount += decision.isGranted ? 1 : 0;
        link->send(PermitReply{ .callId = request.callId,
                                .isGranted = decision.isGranted,
                                .retryAfter = decision.retryAfter });
    }

    // What upstreams say of themselves in their answers.

    static bool isLimited(const std::pair<const std::string, IncarnationStatements> &each)
    {
        return each.second.statements.requestLimit().has_value();
    }

    /// Applies what a gateway learned from an answer, and tells the other gateways of a change.
    void onUpstreamReport(const UpstreamReport &report)
    {
        const TimePoint now = bootNow();
        const UpstreamRecord *record = this->registry.find(report.upstream);
        if (record == nullptr || report.startedAtMs < record->startedAtMs)
            return;
        IncarnationStatements &known = this->statements[report.upstream];
        if (known.startedAtMs != report.startedAtMs)
            known = { .startedAtMs = report.startedAtMs };
        const auto news = known.statements.onAnswer(statementOf(report, now));
        if (!news)
            return;
        logInfo("upstream's statements changed",
                { { "upstream", report.upstream },
                  { "isLeaving", report.isLeaving },
                  { "isLimited", report.isLimited },
                  { "requestsPerSecond", report.requestsPerSecond } });
        for (const auto &[name, reader] : this->readers) {
            if (reader.isGateway && now < reader.lastPullAt + kReaderTimeout)
                reader.link->send(upstreamReport(report.upstream, report.startedAtMs, *news, now));
        }
    }

    void sendStatements(const Reader &reader)
    {
        const TimePoint now = bootNow();
        for (const auto &[upstream, known] : this->statements) {
            if (known.statements.isWorthTelling())
                reader.link->send(known.statements.report(upstream, known.startedAtMs, now));
        }
    }

    // What gateways observe of upstreams' speeds.

    /// Only known gateways may report, so that the number of reporters is bounded.
    void onSpeedObservations(const SpeedObservations &message)
    {
        const auto sender = this->readers.find(message.gateway);
        if (sender == this->readers.end() || !sender->second.isGateway)
            return;
        this->speedObservations.add(
                message, [this](const std::string &upstream) -> std::optional<std::uint64_t> {
                    const UpstreamRecord *record = this->registry.find(upstream);
                    return record == nullptr ? std::nullopt : std::optional(record->startedAtMs);
                });
    }

    void sendSpeedObservations(TimePoint now)
    {
        std::vector<std::string> gateways;
        for (const auto &[name, reader] : this->readers) {
            if (reader.isGateway && now < reader.lastPullAt + kReaderTimeout)
                gateways.push_back(name);
        }
        for (const auto &[name, message] : this->speedObservations.take(gateways, now))
            this->readers.at(name).link->send(message);
    }

    // Segments and requests that crash upstreams.

    /// Text with the quarantined suspects in the applied state; number 0 when there is none.
    NumberedText quarantine() const
    {
        const auto &texts = this->appliedState->texts;
        const auto found = std::ranges::find(texts, kQuarantineText, &NumberedText::name);
        return found == texts.end() ? NumberedText{ .name = kQuarantineText } : *found;
    }

    void onCrashReport(const CrashReport &crash)
    {
        ++this->crashReportCount;
        this->quarantineControl.onCrash(crash, bootNow());
        this->updateQuarantine();
    }

    void onSuspectsBegun(const SuspectsBegun &begun)
    {
        this->quarantineControl.onBegun(begun.suspects, this->quarantine());
        this->updateQuarantine();
    }

    /// On the leader, proposes the quarantine that follows from the evidence, if it differs from
    /// the one in force.
    void updateQuarantine()
    {
        if (!this->node.leadingTerm())
            return;
        if (auto text = this->quarantineControl.propose(this->quarantine(), bootNow()))
            this->proposeQuarantine(std::move(*text), {});
    }

    /// `done` is called when the quorum has accepted the text.
    void proposeQuarantine(NumberedText &&text, const std::function<void()> &done)
    {
        this->node.propose(PutNumberedText{ .text = std::move(text) },
                           [this, done](const ControlResult &result) {
                               this->post([this, done, isAccepted = result.accepted] {
                                   this->quarantineControl.onProposalEnded();
                                   if (isAccepted && done)
                                       done();
                               });
                           });
    }

    void onQuarantineApplied()
    {
        const NumberedText text = this->quarantine();
        if (!this->quarantineControl.onApplied(text))
            return;
        std::string names;
        for (const QuarantinedSuspect &each : parseQuarantineText(text.text))
            names += (names.empty() ? "" : ",") + each.suspect;
        logInfo("quarantined segments changed",
                { { "number", text.number }, { "segments", names } });
    }

    void onProbeRequest(const LinkPtr &link, const SuspectProbeRequest &request)
    {
        if (!this->node.leadingTerm())
            return;
        auto text = this->quarantineControl.proposeProbe(request.suspect, this->quarantine(),
                                                         bootNow());
        if (!text)
            return;
        this->proposeQuarantine(std::move(*text), [link, segment = request.suspect] {
            logInfo("probe of quarantined segment granted", { { "segment", segment } });
            link->send(SuspectProbeGrant{ .suspect = segment });
        });
    }

    // Upstreams.

    std::string announcementProblem(const UpstreamRecord &record) const
    {
        std::string error = announcementError(record, this->settings.regions, wallTime());
        if (!error.empty())
            return error;
        return this->registry.hasRoomFor(record.id) ? "" : "too many upstreams";
    }

    void onUpstreamsChanged()
    {
        this->sendAnnouncements();
        this->pushViews();
    }

    void sendAnnouncements()
    {
        for (const std::string &endpoint : this->node.knownEndpoints()) {
            if (endpoint != ownLinkEndpoint(this->settings))
                this->otherRegistries.insert(endpoint);
        }
        const std::vector<UpstreamRecord> records = this->registry.takeAnnounced(bootNow());
        for (std::size_t first = 0; first < records.size(); first += kMaxRecordsPerMessage) {
            const auto last = std::min(records.size(), first + kMaxRecordsPerMessage);
            const UpstreamAnnouncements update{
                .records = { records.begin() + static_cast<std::ptrdiff_t>(first),
                             records.begin() + static_cast<std::ptrdiff_t>(last) }
            };
            for (const std::string &other : this->otherRegistries)
                this->hub.send(other, Channel::control, update);
        }
    }

    void onPeerAnnouncements(const UpstreamAnnouncements &update)
    {
        std::vector<UpstreamRecord> acceptable = update.records;
        std::erase_if(acceptable, [this](const UpstreamRecord &record) {
            return record.notice != AnnouncedState::gone
                   && !this->announcementProblem(record).empty();
        });
        if (this->registry.onPeerRecords(acceptable, bootNow()))
            this->pushViews();
    }

    // Calls to the leader.

    void submitCall(std::uint64_t id)
    {
        const auto found = this->pendingCalls.find(id);
        if (found == this->pendingCalls.end())
            return;
        found->second.isAtNode = true;
        this->node.propose(found->second.command, [this, id](const ControlResult &result) {
            this->post([this, id, result] { this->onLocalResult(id, result); });
        });
    }

    void onLocalResult(std::uint64_t id, const ControlResult &result)
    {
        const auto found = this->pendingCalls.find(id);
        // An overdue call is not sent to the leader: its caller has sent the command elsewhere.
        if (found == this->pendingCalls.end() || bootNow() >= found->second.deadline)
            return;
        found->second.isAtNode = false;
        found->second.retryAt = bootNow() + kCallRetryPeriod;
        found->second.sentTo.clear();
        const bool isLeaderElsewhere = result.reason == kNotLeader && !result.leader.empty()
                                       && result.leader != ownLinkEndpoint(this->settings);
        if (!isLeaderElsewhere)
            return this->finishCall(id, result);
        if (this->hub.send(result.leader, Channel::control,
                           ControlRequest{ .callId = id, .command = found->second.command }))
            found->second.sentTo = result.leader;
    }

    /// Completes a pending call. After the result of a member that is not the leader, `tick`
    /// repeats the call.
    void finishCall(std::uint64_t id, const ControlResult &result)
    {
        const auto found = this->pendingCalls.find(id);
        if (found == this->pendingCalls.end())
            return;
        if (result.reason == kNotLeader) {
            found->second.sentTo.clear();
            return;
        }
        const Done done = std::move(found->second.done);
        this->pendingCalls.erase(found);
        if (result.accepted)
            this->lastResultIndex = std::max(this->lastResultIndex, result.fence.sequence);
        done(result);
    }

    void onControlRequest(const LinkPtr &link, const ControlRequest &request)
    {
        this->node.propose(request.command,
                           [link, id = request.callId](const ControlResult &result) {
                               link->send(ControlReply{ .callId = id, .result = result });
                           });
    }

    void tick()
    {
        const TimePoint now = bootNow();
        this->orderGate.onTurn(now);
        std::vector<Done> expiredCalls;
        std::vector<std::uint64_t> callsToResend;
        const std::string leader = this->node.quorumStatus().leader;
        for (auto call = this->pendingCalls.begin(); call != this->pendingCalls.end();) {
            if (now >= call->second.deadline) {
                expiredCalls.push_back(std::move(call->second.done));
                call = this->pendingCalls.erase(call);
                continue;
            }
            const bool isElsewhere = !call->second.sentTo.empty() && call->second.sentTo == leader;
            if (!call->second.isAtNode && !isElsewhere && now >= call->second.retryAt)
                callsToResend.push_back(call->first);
            ++call;
        }
        for (const std::uint64_t id : callsToResend)
            this->submitCall(id);
        this->unavailableCallCount += expiredCalls.size();
        for (const Done &done : expiredCalls)
            done(ControlResult{ .reason = kUnavailable });
        this->updateQuarantine();
        this->countGateways(now);
        if (this->registry.tick(now))
            this->schedule.onChange();
        this->sendDueViews();
        this->sendSpeedObservations(now);
        std::erase_if(this->statements, [this](const auto &each) {
            const UpstreamRecord *record = this->registry.find(each.first);
            return record == nullptr || record->startedAtMs > each.second.startedAtMs;
        });
    }

    const NodeSettings settings;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ControlNode node;
    Registry registry;
    std::map<std::string, Reader> readers; ///< by instance
    ViewSchedule schedule;
    std::uint32_t gatewayCount{ 0 }; ///< gateways among the readers that pulled lately
    std::uint64_t viewCount{ 0 };
    std::uint64_t pushedViewCount{ 0 };
    std::set<std::string> otherRegistries; ///< link addresses of the other registry instances
    std::shared_ptr<const OperatorState> appliedState{ std::make_shared<const OperatorState>() };
    TextTimes textTimes;
    std::optional<TimePoint> confirmedAt; ///< time of the request that was confirmed last
    std::map<std::uint64_t, PendingCall> pendingCalls;
    std::uint64_t lastCallId{ 0 };
    std::uint64_t lastResultIndex{ 0 }; ///< highest log index of a command accepted for a call
    OrderGate orderGate;
    std::uint64_t unavailableCallCount{ 0 };
    std::uint64_t announcementCount{ 0 };
    std::optional<std::uint64_t> permitTerm; ///< term in which this instance leads, empty for none
    TimePoint issuesPermitsSince;            ///< begin of `permitTerm`
    std::map<std::string, SlowStartPermits> permits; ///< by upstream, granted in `permitTerm`
    std::uint64_t permitCount{ 0 };
    std::map<std::string, IncarnationStatements> statements; ///< by upstream
    SpeedObservationMerger speedObservations;
    QuarantineControl quarantineControl;
    std::uint64_t crashReportCount{ 0 };
};

RegistryNode::RegistryNode(const NodeSettings &settings) : impl(std::make_shared<Impl>(settings)) {}

RegistryNode::~RegistryNode() = default;

bool RegistryNode::start(std::string &problem)
{
    return this->impl->start(problem);
}

void RegistryNode::stop()
{
    this->impl->stop();
}

asio::io_context &RegistryNode::context()
{
    return this->impl->workers().context();
}

std::string RegistryNode::announce(const UpstreamRecord &record)
{
    return this->impl->announce(record);
}

void RegistryNode::markDeparted(const std::string &id, std::optional<std::uint64_t> startedAtMs)
{
    this->impl->markDeparted(id, startedAtMs);
}

void RegistryNode::call(const ControlCommand &command, Done done)
{
    this->impl->call(command, std::move(done));
}

void RegistryNode::changeZoneService(const std::string &zone, bool isOut,
                                     std::function<bool()> isCallerGone, Done done)
{
    this->impl->changeZoneService(zone, isOut, std::move(isCallerGone), std::move(done));
}

QuorumStatus RegistryNode::quorumStatus()
{
    return this->impl->quorumStatus();
}

void RegistryNode::addSeeds(const std::vector<std::string> &seeds)
{
    this->impl->addSeeds(seeds);
}

std::string RegistryNode::metricsText()
{
    return this->impl->metricsText();
}

} // namespace egret
