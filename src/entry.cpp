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

constexpr Milliseconds kPullPeriod = 500ms;
constexpr Milliseconds kAskPeriod = 2s;
/// Time after the start for which an instance waits for the quorum's word.
constexpr Milliseconds kAskQuorumFor = 6s;
constexpr Milliseconds kServingTick = 20ms;
/// Above the largest body that a document may allow, so that one a little
/// larger gets an answer; past this the connection is closed.
constexpr std::size_t kMaxHttpBodyBytes = (1U << 20U) + (64U << 10U);
constexpr Milliseconds kDrainPoll = 20ms;

/// One entry instance: callers on one side, agents and control on the other.
class Entry
{
public:
    Entry(const EntrySettings &settings, bool servesCallers)
        : settings(settings), servesCallers(servesCallers), incarnation(newIncarnation()),
          pool(settings.common.workers),
          routing(this->incarnation, RouterOptions{ .policy = settings.routingPolicy }),
          control(this->pool, settings.controls),
          serving({ .instance = settings.common.instance,
                    .zone = settings.common.zone,
                    .incarnation = this->incarnation,
                    .admission = settings.admission,
                    .retryBudget = settings.retryBudget },
                  this->environment, this->routing, this->control),
          admin(settings.common.environment, this->operators, this->environment, this->routing,
                this->control, this->levels, this->reports),
          hub(this->pool, this->hubOptions(),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->serving.onLinkDown(link); } }),
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
        std::string problem;
        if (!this->start(problem)) {
            std::fprintf(stderr, "%s: %s\n", this->settings.common.instance.c_str(),
                         problem.c_str());
            return kExitUsage;
        }
        logInfo("instance is up", { { "http", this->settings.httpAddress },
                                    { "links", this->settings.common.linkAddress } });
        waitForStopSignal();
        const bool clean = this->drain();
        this->members.leave();
        this->http.stop();
        if (this->controlNode)
            this->controlNode->stop();
        this->hub.shutdown();
        this->datagrams.shutdown();
        this->pool.stop();
        logInfo("instance has stopped", { { "clean", clean } });
        return clean ? 0 : 1;
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

    bool start(std::string &problem)
    {
        // Step 1. State first: nothing is accepted before it can be answered.
        if (!this->settings.operatorsFile.empty()) {
            this->firstOperators = readFile(this->settings.operatorsFile).value_or("");
            if (!parseOperators(this->firstOperators, problem)) {
                problem = this->settings.operatorsFile + ": " + problem;
                return false;
            }
        }
        if (!this->settings.common.dataFolder.empty()) {
            this->controlNode =
                    std::make_unique<ControlNode>(this->controlOptions(), this->controlHandlers());
        }
        // Step 2. Links and datagrams.
        this->control.attach(this->hub);
        this->serving.attach(this->hub);
        Reason<std::error_code> linkReason;
        if (!this->hub.listen(linkReason) || !this->datagrams.start(linkReason)) {
            problem = this->settings.common.linkAddress + ": " + linkReason.code.message();
            return false;
        }
        Reason<int> controlReason;
        if (this->controlNode && !this->controlNode->start(controlReason)) {
            problem = controlReason.detail;
            return false;
        }
        this->startTickers();
        // Step 3. Callers last.
        Reason<int> httpReason;
        if (this->servesCallers && !this->http.start(httpReason)) {
            problem = this->settings.httpAddress + ": " + httpReason.detail;
            return false;
        }
        return true;
    }

    void startTickers()
    {
        this->askQuorum();
        this->pool.every(kPullPeriod, [this] {
            this->bootstrapOperators();
            this->pullDocument();
        });
        this->pool.every(kMembershipTickPeriod, [this] { this->members.tick(); });
        this->pool.every(kServingTick, [this] { this->serving.tick(); });
    }

    /// Stops in order: unready, the balancer's lag, then the requests in flight.
    bool drain()
    {
        this->stopping = true;
        this->http.disableKeepAlive();
        logInfo("planned stop begins", { { "inFlight", this->openRequests() } });
        const TimePoint lagEnd = std::chrono::steady_clock::now() + this->settings.stopLag;
        const TimePoint giveUp = lagEnd + this->settings.stopGrace;
        bool forced = false;
        while (!forced && (std::chrono::steady_clock::now() < lagEnd || this->openRequests() > 0)) {
            forced = waitForSecondSignal(kDrainPoll) || std::chrono::steady_clock::now() >= giveUp;
        }
        const std::size_t left = this->openRequests();
        if (left > 0)
            logWarn("planned stop cuts requests off", { { "cutOff", left } });
        return left == 0;
    }

    /// Requests being served, or answered but not yet written out.
    std::size_t openRequests()
    {
        return std::max(this->serving.inFlight(), this->http.unanswered());
    }

    void onHttp(HttpRequest &&request, HttpReplyPtr reply)
    {
        if (request.path == "/healthz")
            return reply->send(200, "text/plain", "ok\n");
        if (request.path == "/readyz") {
            const bool ready = !this->stopping && this->isInService();
            return reply->send(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
        }
        if (request.path == "/metrics")
            return reply->send(200, "text/plain; version=0.0.4", this->metricsText());
        if (request.path.starts_with("/admin/v1/"))
            return this->admin.handle(request, reply);
        if (this->isTooLarge(request))
            return sendProblem(*reply, { .status = 413,
                                         .reason = "body-too-large",
                                         .detail = "the body is larger than the environment allows",
                                         .action = ActionStatus::notSent });
        this->serving.handle(std::move(request), measuredReply(std::move(reply), this->levels));
    }

    /// True when a document is in force and it does not take this zone out.
    bool isInService()
    {
        const ActiveRevisionPtr current = this->environment.current();
        return current
               && std::ranges::find(current->document.zonesOut, this->settings.common.zone)
                          == current->document.zonesOut.end();
    }

    bool isTooLarge(const HttpRequest &request)
    {
        const ActiveRevisionPtr current = this->environment.current();
        return current && request.body.size() > current->document.limits.maxBodyBytes;
    }

    std::string metricsText()
    {
        const RequestCounters &counters = this->serving.counters();
        std::string text;
        const auto line = [&text](const char *name, std::uint64_t value) {
            text += std::string("# TYPE egret_") + name + " counter\negret_" + name + " "
                    + std::to_string(value) + "\n";
        };
        line("requests_whole_total", counters.whole);
        line("requests_refused_total", counters.refused);
        line("requests_failed_total", counters.failed);
        line("requests_retried_total", counters.retried);
        line("answers_crossed_total", counters.mismatchedAnswers);
        text += this->members.metricsText();
        line("datagram_sent_bytes_total", this->datagrams.sentBytes());
        line("datagram_received_bytes_total", this->datagrams.receivedBytes());
        line("requests_first_sent_total", counters.firstSends);
        line("requests_turned_away_total", counters.refusedByAgent);
        line("requests_cancelled_total", counters.cancelled);
        line("streams_resumed_total", counters.resumed);
        line("callers_too_slow_total", counters.slowCallers);
        for (const auto &[reason, count] : this->hub.droppedFrames())
            text += "egret_frames_dropped_total{reason=\"" + reason + "\"} " + std::to_string(count)
                    + "\n";
        return text;
    }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *push = std::get_if<DocumentPush>(&frame.message))
            this->takeRevision(*push);
        else if (const auto *operatorsPush = std::get_if<OperatorsPush>(&frame.message))
            this->takeOperators(*operatorsPush);
        else if (const auto *pull = std::get_if<DocumentPull>(&frame.message))
            this->answerPull(link, *pull);
        else if (const auto *request = std::get_if<ControlRequest>(&frame.message))
            this->onControlRequest(link, *request);
        else if (const auto *reply = std::get_if<ControlReply>(&frame.message))
            this->control.onReply(*reply);
        else if (!this->onQuorumFrame(frame))
            this->serving.onFrame(link, std::move(frame));
    }

    /// Hands a frame to the control node; false when it is no quorum message.
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

    /// Acts on a revision, but only after the quorum has said once which one is
    /// current: an instance that starts must not go back behind what it acted on.
    void takeRevision(const DocumentPush &push)
    {
        if (!this->mayTake() || !this->environment.apply(push))
            return;
        const ActiveRevisionPtr current = this->environment.current();
        this->levels.with([&](ServiceLevels &counts) {
            counts.setDocument(current->document, currentMinute());
        });
    }

    void takeOperators(const OperatorsPush &push)
    {
        if (this->mayTake())
            this->operators.apply(push);
    }

    /// Cut off from the quorum at its start, an instance goes on with the last
    /// revision that its zone knows of.
    bool mayTake()
    {
        return this->askedQuorum
               || std::chrono::steady_clock::now() > this->startedAt + kAskQuorumFor;
    }

    /// Asks the quorum which revision is current, until it has answered once.
    void askQuorum()
    {
        const CommonSettings &common = this->settings.common;
        const ReadDocument query{ .environment = common.environment, .stage = common.stage };
        this->control.call(query, kAskPeriod, [this, query](const auto &result) {
            if (!result)
                return this->askQuorum();
            this->askedQuorum = true;
            if (result->accepted)
                this->takeRevision({ .environment = query.environment,
                                     .stage = query.stage,
                                     .fence = result->fence,
                                     .revision = result->revision,
                                     .text = result->text });
            this->pullDocument();
        });
    }

    /// The first operators come from the leader's settings, once.
    void bootstrapOperators()
    {
        if (!this->controlNode || !this->controlNode->leadingTerm() || this->firstOperators.empty()
            || this->controlNode->operators().revision > 0)
            return;
        this->controlNode->propose(ChangeOperators{ .requestId = "bootstrap",
                                                    .operatorName = "bootstrap",
                                                    .text = this->firstOperators },
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

    /// The revision that this instance can vouch for, as a push.
    std::optional<DocumentPush> ownPush()
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
        if (const auto current = this->environment.current())
            return DocumentPush{ .environment = common.environment,
                                 .stage = common.stage,
                                 .fence = current->fence,
                                 .revision = current->revision,
                                 .text = current->text };
        return std::nullopt;
    }

    /// The operators that this instance can vouch for.
    std::optional<OperatorsPush> ownOperators()
    {
        if (this->controlNode) {
            const StoredRevision own = this->controlNode->operators();
            if (own.revision > 0)
                return OperatorsPush{ .fence = own.fence,
                                      .revision = own.revision,
                                      .text = own.text };
        }
        return this->operators.current();
    }

    void answerPull(const LinkPtr &link, const DocumentPull &pull)
    {
        this->reports.update(pull, std::chrono::steady_clock::now());
        const auto push = this->ownPush();
        if (push && pull.environment == push->environment && pull.stage == push->stage
            && pull.fence != push->fence)
            link->send(*push);
        if (const auto own = this->ownOperators())
            link->send(*own);
    }

    /// Tells the control instances what this one acts on, and asks for better.
    void pullDocument()
    {
        const CommonSettings &common = this->settings.common;
        DocumentPull pull{ .environment = common.environment,
                           .stage = common.stage,
                           .instance = common.instance,
                           .zone = common.zone };
        if (const auto current = this->environment.current()) {
            pull.fence = current->fence;
            pull.revision = current->revision;
        }
        for (const std::string &address : this->settings.controls)
            this->hub.send(address, Channel::control, pull);
    }

    /// Sends what is in force to every entry instance when it is new.
    void pushDocuments()
    {
        if (const auto push = this->ownPush(); push && push->fence != this->pushedFence) {
            this->pushedFence = push->fence;
            this->takeRevision(*push);
            for (const std::string &address : this->settings.entries)
                this->hub.send(address, Channel::control, *push);
        }
        if (const auto own = this->ownOperators(); own && own->fence != this->pushedOperators) {
            this->pushedOperators = own->fence;
            this->takeOperators(*own);
            for (const std::string &address : this->settings.entries)
                this->hub.send(address, Channel::control, *own);
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
        if (const auto current = this->environment.current())
            reply.fence = current->fence;
        this->datagrams.send(from.text(), reply);
    }

    EntrySettings settings;
    bool servesCallers;
    std::uint64_t incarnation;
    std::atomic<bool> stopping{ false };
    WorkerPool pool;
    Operators operators;
    InstanceReports reports;
    ActiveEnvironment environment;
    SharedRoutingTable routing;
    SharedServiceLevels levels;
    ControlClient control;
    std::unique_ptr<ControlNode> controlNode;
    Fence pushedFence;     ///< used by the control node's thread only
    Fence pushedOperators; ///< as above
    std::string firstOperators;
    std::atomic<bool> askedQuorum{ false };
    TimePoint startedAt{ std::chrono::steady_clock::now() };
    RequestForwarder serving;
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
    return Entry(settings, servesCallers).run();
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
