#include "entry.h"

#include "admin_api.h"
#include "control_node.h"
#include "datagram.h"
#include "http_server.h"
#include "link.h"
#include "log.h"
#include "measured_reply.h"
#include "membership_service.h"
#include "program.h"
#include "request_forwarder.h"

#include <algorithm>
#include <atomic>
#include <cstdio>

namespace egret {

namespace {

constexpr Milliseconds kDocumentPullPeriod = 500ms;
constexpr Milliseconds kQuorumReadTimeout = 2s;
/// Longest time after the start during which the instance ignores pushed documents and pushed
/// lists of operators because the quorum has not yet answered a read.
constexpr Milliseconds kQuorumAnswerGrace = 6s;
constexpr Milliseconds kForwarderTickPeriod = 20ms;
/// Body limit of the HTTP server: 64 KiB above 1 MiB, the largest body limit that an operator's
/// document can set. A body above the document's limit gets status 413; for a body above this
/// constant, the server closes the connection.
constexpr std::size_t kMaxHttpBodyBytes = (1U << 20U) + (64U << 10U);
constexpr Milliseconds kDrainPollPeriod = 20ms;

/// An entry instance, which forwards client requests to agents, or a control instance, which
/// serves no client requests (`servesCallers` is false).
class EntryInstance
{
public:
    EntryInstance(const EntrySettings &settings, bool servesCallers)
        : settings(settings), servesCallers(servesCallers), incarnation(newIncarnation()),
          pool(settings.common.workers),
          routing(this->incarnation, RouterOptions{ .policy = settings.routingPolicy }),
          control(this->pool, settings.controls),
          forwarder({ .instance = settings.common.instance,
                      .zone = settings.common.zone,
                      .incarnation = this->incarnation,
                      .admission = settings.admission,
                      .retryBudget = settings.retryBudget },
                    this->environment, this->routing, this->control),
          admin(settings.common.environment, this->operators, this->environment, this->routing,
                this->control, this->serviceLevels, this->reports),
          hub(this->pool, this->hubOptions(),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->forwarder.onLinkDown(link); } }),
          members(this->membersOptions(), this->routing,
                  [this](const std::string &to, const Message &message) {
                      this->datagrams.send(to, message);
                  }),
          datagrams(this->pool, this->datagramOptions(),
                    [this](const Endpoint &from, Frame &&frame) { this->onDatagram(from, frame); }),
          http(this->pool,
               { .listen = *Endpoint::parse(settings.httpAddress),
                 .maxBodyBytes = kMaxHttpBodyBytes },
               [this](HttpRequest &&request, HttpReplyPtr reply) {
                   this->onHttp(std::move(request), std::move(reply));
               })
    {}

    int run()
    {
        std::string error;
        if (!this->start(error)) {
            std::fprintf(stderr, "%s: %s\n", this->settings.common.instance.c_str(), error.c_str());
            return kExitUsage;
        }
        logInfo("instance is up", { { "http", this->settings.httpAddress },
                                    { "links", this->settings.common.linkAddress } });
        waitForStopSignal();
        const bool isDrained = this->drain();
        this->members.leave();
        this->http.stop();
        if (this->controlNode)
            this->controlNode->stop();
        this->hub.shutdown();
        this->datagrams.shutdown();
        this->pool.stop();
        logInfo("instance has stopped", { { "clean", isDrained } });
        return isDrained ? 0 : 1;
    }

private:
    LinkHubOptions hubOptions() const
    {
        const CommonSettings &common = this->settings.common;
        return { .listen = *Endpoint::parse(common.linkAddress),
                 .cluster = common.cluster,
                 .key = *fromHex(common.clusterKey),
                 .incarnation = this->incarnation,
                 .self = { .role = this->servesCallers ? Role::entry : Role::control,
                           .instance = common.instance,
                           .zone = common.zone,
                           .region = common.region,
                           .endpoint = common.linkAddress },
                 .trialRelays = TrialRelays(common.trialRelays) };
    }

    MembershipServiceOptions membersOptions() const
    {
        const CommonSettings &common = this->settings.common;
        return { .self = { .instance = common.instance,
                           .incarnation = this->incarnation,
                           .endpoint = common.linkAddress,
                           .zone = common.zone,
                           .region = common.region },
                 .seeds = this->settings.entries };
    }

    DatagramOptions datagramOptions() const
    {
        const CommonSettings &common = this->settings.common;
        return { .listen = *Endpoint::parse(common.linkAddress),
                 .cluster = common.cluster,
                 .key = *fromHex(common.clusterKey),
                 .sender = common.instance,
                 .incarnation = this->incarnation,
                 .trialRelays = TrialRelays(common.trialRelays) };
    }

    ControlNodeOptions controlOptions() const
    {
        return { .dataFolder = this->settings.common.dataFolder,
                 .endpoint = this->settings.common.linkAddress,
                 .controls = this->settings.controls };
    }

    ControlNodeHandlers controlHandlers()
    {
        return { .applied = [this] { this->pushDocuments(); },
                 .send =
                         [this](const std::string &endpoint, const QuorumMessage &message) {
                             std::visit(
                                     [&](const auto &body) {
                                         this->hub.send(endpoint, Channel::control, body);
                                     },
                                     message);
                         } };
    }

    bool start(std::string &error)
    {
        // Step 1. Load the state on which links and client requests depend, before accepting links
        // or requests.
        if (!this->settings.operatorsFile.empty()) {
            this->initialOperators = readFile(this->settings.operatorsFile).value_or("");
            if (!parseOperators(this->initialOperators, error)) {
                error = this->settings.operatorsFile + ": " + error;
                return false;
            }
        }
        if (!this->settings.common.dataFolder.empty()) {
            this->controlNode =
                    std::make_unique<ControlNode>(this->controlOptions(), this->controlHandlers());
        }
        // Step 2. Open links and datagrams, then join the quorum.
        this->control.attach(this->hub);
        this->forwarder.attach(this->hub);
        Reason<std::error_code> linkReason;
        if (!this->hub.listen(linkReason) || !this->datagrams.start(linkReason)) {
            error = this->settings.common.linkAddress + ": " + linkReason.code.message();
            return false;
        }
        Reason<int> controlReason;
        if (this->controlNode && !this->controlNode->start(controlReason)) {
            error = controlReason.detail;
            return false;
        }
        this->startTimers();
        // Step 3. Accept client requests last, because forwarding needs the links.
        Reason<int> httpReason;
        if (this->servesCallers && !this->http.start(httpReason)) {
            error = this->settings.httpAddress + ": " + httpReason.detail;
            return false;
        }
        return true;
    }

    void startTimers()
    {
        this->readFromQuorum();
        this->pool.every(kDocumentPullPeriod, [this] {
            this->bootstrapOperators();
            this->pullDocument();
        });
        this->pool.every(kMembershipTickPeriod, [this] { this->members.tick(); });
        this->pool.every(kForwarderTickPeriod, [this] { this->forwarder.tick(); });
    }

    /// Drains the instance: reports not ready, waits stopLag for the load balancer to react,
    /// then waits for the requests in flight until stopGrace ends or a second signal arrives.
    /// Returns false when requests remain in flight.
    bool drain()
    {
        this->isStopping = true;
        this->http.disableKeepAlive();
        logInfo("planned stop begins", { { "inFlight", this->openRequestCount() } });
        const TimePoint lagDeadline = std::chrono::steady_clock::now() + this->settings.stopLag;
        const TimePoint drainDeadline = lagDeadline + this->settings.stopGrace;
        bool isForced = false;
        while (!isForced
               && (std::chrono::steady_clock::now() < lagDeadline
                   || this->openRequestCount() > 0)) {
            isForced = waitForSecondSignal(kDrainPollPeriod)
                       || std::chrono::steady_clock::now() >= drainDeadline;
        }
        const std::size_t remaining = this->openRequestCount();
        if (remaining > 0)
            logWarn("planned stop aborts in-flight requests", { { "cutOff", remaining } });
        return remaining == 0;
    }

    /// Number of open requests: the larger of the number being forwarded and the number whose
    /// responses are not yet written.
    std::size_t openRequestCount()
    {
        return std::max(this->forwarder.inFlight(), this->http.unansweredCount());
    }

    void onHttp(HttpRequest &&request, HttpReplyPtr reply)
    {
        if (request.path == "/healthz")
            return reply->send(200, "text/plain", "ok\n");
        if (request.path == "/readyz") {
            const bool isReady = !this->isStopping && this->isInService();
            return reply->send(isReady ? 200 : 503, "text/plain",
                               isReady ? "ready\n" : "not ready\n");
        }
        if (request.path == "/metrics")
            return reply->send(200, "text/plain; version=0.0.4", this->metricsText());
        if (request.path.starts_with("/admin/v1/"))
            return this->admin.handle(request, reply);
        if (this->hasTooLargeBody(request))
            return sendProblem(*reply, { .status = 413,
                                         .reason = "body-too-large",
                                         .detail = "the body is larger than the environment allows",
                                         .action = ActionStatus::notSent });
        this->forwarder.handle(std::move(request),
                               measuredReply(std::move(reply), this->serviceLevels));
    }

    /// True when a document is in force and does not take this zone out of service.
    bool isInService()
    {
        const ActiveRevisionPtr currentRevision = this->environment.current();
        return currentRevision
               && std::ranges::find(currentRevision->document.zonesOut, this->settings.common.zone)
                          == currentRevision->document.zonesOut.end();
    }

    bool hasTooLargeBody(const HttpRequest &request)
    {
        const ActiveRevisionPtr currentRevision = this->environment.current();
        return currentRevision
               && request.body.size() > currentRevision->document.limits.maxBodyBytes;
    }

    std::string metricsText()
    {
        const RequestCounters &counters = this->forwarder.counters();
        std::string text;
        const auto appendCounter = [&text](const char *name, std::uint64_t value) {
            text += std::string("# TYPE egret_") + name + " counter\negret_" + name + " "
                    + std::to_string(value) + "\n";
        };
        appendCounter("requests_whole_total", counters.whole);
        appendCounter("requests_refused_total", counters.refused);
        appendCounter("requests_failed_total", counters.failed);
        appendCounter("requests_retried_total", counters.retried);
        appendCounter("answers_crossed_total", counters.mismatchedAnswers);
        appendCounter("broken_answers_total", counters.brokenAnswers);
        text += this->members.metricsText();
        appendCounter("datagram_sent_bytes_total", this->datagrams.sentBytes());
        appendCounter("datagram_received_bytes_total", this->datagrams.receivedBytes());
        appendCounter("requests_first_sent_total", counters.firstSends);
        appendCounter("requests_turned_away_total", counters.refusedByAgent);
        appendCounter("requests_cancelled_total", counters.cancelled);
        appendCounter("streams_resumed_total", counters.resumed);
        appendCounter("callers_too_slow_total", counters.slowCallers);
        for (const auto &[reason, count] : this->hub.droppedFrames())
            text += "egret_frames_dropped_total{reason=\"" + reason + "\"} " + std::to_string(count)
                    + "\n";
        return text;
    }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *push = std::get_if<DocumentPush>(&frame.message))
            this->applyRevision(*push);
        else if (const auto *operatorsPush = std::get_if<OperatorsPush>(&frame.message))
            this->applyOperators(*operatorsPush);
        else if (const auto *pull = std::get_if<DocumentPull>(&frame.message))
            this->replyToPull(link, *pull);
        else if (const auto *request = std::get_if<ControlRequest>(&frame.message))
            this->onControlRequest(link, *request);
        else if (const auto *reply = std::get_if<ControlReply>(&frame.message))
            this->control.onReply(*reply);
        else if (!this->onQuorumFrame(frame))
            this->forwarder.onFrame(link, std::move(frame));
    }

    /// Passes a quorum message to the control node; an instance without a control node drops the
    /// message. Returns false for any other message.
    bool onQuorumFrame(const Frame &frame)
    {
        return std::visit(
                [this](const auto &body) {
                    using Body = std::decay_t<decltype(body)>;
                    if constexpr (std::is_constructible_v<QuorumMessage, const Body &>) {
                        if (this->controlNode)
                            this->controlNode->receive(body);
                        return true;
                    } else {
                        return false;
                    }
                },
                frame.message);
    }

    /// Applies a pushed revision when `mayApplyPushes` permits: a restarted instance must not
    /// fall back to a revision older than the last revision that it applied before the restart.
    void applyRevision(const DocumentPush &push)
    {
        if (!this->mayApplyPushes() || !this->environment.apply(push))
            return;
        const ActiveRevisionPtr currentRevision = this->environment.current();
        this->serviceLevels.with([&](ServiceLevels &counts) {
            counts.setDocument(currentRevision->document, currentMinute());
        });
    }

    void applyOperators(const OperatorsPush &push)
    {
        if (this->mayApplyPushes())
            this->operators.apply(push);
    }

    /// True once the quorum has answered a read of the current revision, or kQuorumAnswerGrace
    /// after the start: an instance that can't reach the quorum then accepts the last revision
    /// known in its zone.
    bool mayApplyPushes()
    {
        return this->hasQuorumAnswered
               || std::chrono::steady_clock::now() > this->startedAt + kQuorumAnswerGrace;
    }

    /// Reads the current revision from the quorum; retries until the quorum answers.
    void readFromQuorum()
    {
        const CommonSettings &common = this->settings.common;
        const ReadDocument query{ .environment = common.environment, .stage = common.stage };
        this->control.call(query, kQuorumReadTimeout, [this, query](const auto &result) {
            if (!result)
                return this->readFromQuorum();
            this->hasQuorumAnswered = true;
            if (result->accepted)
                this->applyRevision({ .environment = query.environment,
                                      .stage = query.stage,
                                      .fence = result->fence,
                                      .revision = result->revision,
                                      .text = result->text });
            this->pullDocument();
        });
    }

    /// Proposes the list of operators from this instance's operators file if this instance leads
    /// the quorum and no list has been replicated yet.
    void bootstrapOperators()
    {
        if (!this->controlNode || !this->controlNode->leadingTerm()
            || this->initialOperators.empty() || this->controlNode->operators().revision > 0)
            return;
        this->controlNode->propose(ChangeOperators{ .requestId = "bootstrap",
                                                    .operatorName = "bootstrap",
                                                    .text = this->initialOperators },
                                   [](const ControlResult &) {});
    }

    void onControlRequest(const LinkPtr &link, const ControlRequest &request)
    {
        if (!this->controlNode) {
            link->send(
                    ControlReply{ .callId = request.callId, .result = { .reason = "not-leader" } });
            return;
        }
        this->controlNode->propose(request.command,
                                   [link, id = request.callId](const ControlResult &result) {
                                       link->send(ControlReply{ .callId = id, .result = result });
                                   });
    }

    /// Returns the revision in the control node's replicated state. Without a control node or
    /// without a replicated revision, returns the revision in force in this instance.
    std::optional<DocumentPush> knownDocument()
    {
        const CommonSettings &common = this->settings.common;
        if (this->controlNode) {
            const ControlResult result = this->controlNode->read(
                    { .environment = common.environment, .stage = common.stage });
            if (result.accepted)
                return DocumentPush{ .environment = common.environment,
                                     .stage = common.stage,
                                     .fence = result.fence,
                                     .revision = result.revision,
                                     .text = result.text };
        }
        if (const auto currentRevision = this->environment.current())
            return DocumentPush{ .environment = common.environment,
                                 .stage = common.stage,
                                 .fence = currentRevision->fence,
                                 .revision = currentRevision->revision,
                                 .text = currentRevision->text };
        return std::nullopt;
    }

    /// Returns the list of operators in the control node's replicated state. Without a control
    /// node or without a replicated list, returns the list in force in this instance.
    std::optional<OperatorsPush> knownOperators()
    {
        if (this->controlNode) {
            const StoredRevision replicated = this->controlNode->operators();
            if (replicated.revision > 0)
                return OperatorsPush{ .fence = replicated.fence,
                                      .revision = replicated.revision,
                                      .text = replicated.text };
        }
        return this->operators.current();
    }

    void replyToPull(const LinkPtr &link, const DocumentPull &pull)
    {
        this->reports.update(pull, std::chrono::steady_clock::now());
        const auto push = this->knownDocument();
        if (push && pull.environment == push->environment && pull.stage == push->stage
            && pull.fence != push->fence)
            link->send(*push);
        if (const auto currentOperators = this->knownOperators())
            link->send(*currentOperators);
    }

    /// Reports the revision in force in this instance to the control instances and requests a
    /// newer revision.
    void pullDocument()
    {
        const CommonSettings &common = this->settings.common;
        DocumentPull pull{ .environment = common.environment,
                           .stage = common.stage,
                           .instance = common.instance,
                           .zone = common.zone };
        if (const auto currentRevision = this->environment.current()) {
            pull.fence = currentRevision->fence;
            pull.revision = currentRevision->revision;
        }
        for (const std::string &address : this->settings.controls)
            this->hub.send(address, Channel::control, pull);
    }

    /// Applies the known revision and the known list of operators and pushes both to every entry
    /// instance. Skips a revision or a list that was pushed before.
    void pushDocuments()
    {
        if (const auto push = this->knownDocument();
            push && push->fence != this->pushedDocumentFence) {
            this->pushedDocumentFence = push->fence;
            this->applyRevision(*push);
            for (const std::string &address : this->settings.entries)
                this->hub.send(address, Channel::control, *push);
        }
        if (const auto currentOperators = this->knownOperators();
            currentOperators && currentOperators->fence != this->pushedOperatorsFence) {
            this->pushedOperatorsFence = currentOperators->fence;
            this->applyOperators(*currentOperators);
            for (const std::string &address : this->settings.entries)
                this->hub.send(address, Channel::control, *currentOperators);
        }
    }

    void onDatagram(const Endpoint &from, const Frame &frame)
    {
        if (this->members.onDatagram(from, frame))
            return;
        const auto *announce = std::get_if<Announce>(&frame.message);
        if (announce == nullptr || announce->record.agent != frame.sender)
            return;
        AnnounceReply reply = this->members.onAnnounce(*announce);
        if (const auto currentRevision = this->environment.current())
            reply.fence = currentRevision->fence;
        this->datagrams.send(from.text(), reply);
    }

    EntrySettings settings;
    bool servesCallers;
    std::uint64_t incarnation;
    std::atomic<bool> isStopping{ false };
    WorkerPool pool;
    Operators operators;
    InstanceReports reports;
    ActiveEnvironment environment;
    SharedRoutingTable routing;
    SharedServiceLevels serviceLevels;
    ControlClient control;
    std::unique_ptr<ControlNode> controlNode; ///< null without a data folder
    Fence pushedDocumentFence;                ///< used by the control node's thread only
    Fence pushedOperatorsFence;               ///< used by the control node's thread only
    std::string initialOperators;             ///< text of the operators file, empty for none
    std::atomic<bool> hasQuorumAnswered{ false };
    TimePoint startedAt{ std::chrono::steady_clock::now() };
    RequestForwarder forwarder;
    AdminApi admin;
    LinkHub hub;
    MembershipService members;
    DatagramSocket datagrams;
    HttpServer http;
};

int runInstance(const EntrySettings &settings, const char *program, bool servesCallers)
{
    const CommonSettings &common = settings.common;
    startLogging({ .program = program,
                   .instance = common.instance,
                   .zone = common.zone,
                   .environment = common.environment,
                   .level = common.logLevel });
    return EntryInstance(settings, servesCallers).run();
}

} // namespace

int runEntry(const EntrySettings &settings)
{
    return runInstance(settings, "egret-entry", true);
}

int runControl(const EntrySettings &settings)
{
    return runInstance(settings, "egret-control", false);
}

} // namespace egret
