#include "gateway.h"

#include "buffer_budget.h"
#include "clock.h"
#include "crash_evidence.h"
#include "crash_quarantine.h"
#include "engine_model.h"
#include "event_stream_merger.h"
#include "gateway_retry_budgets.h"
#include "http_frontend.h"
#include "http_pool.h"
#include "latency.h"
#include "link.h"
#include "log.h"
#include "node_options.h"
#include "overload_control.h"
#include "piece_relay.h"
#include "planned_stop.h"
#include "program.h"
#include "registry_node.h"
#include "request_cost.h"
#include "request_digest.h"
#include "request_lifecycle.h"
#include "request_memory.h"
#include "server_speed.h"
#include "slow_start_permits.h"
#include "speed_observations.h"
#include "upstream_selector.h"
#include "version_deadlines.h"
#include "view_reader.h"

#include <asio/post.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <thread>

namespace egret {

namespace {

constexpr Milliseconds kDeadlineCheckPeriod = 50ms;
constexpr Milliseconds kPieceRelayPeriod = 5ms;
/// Share of the machine's network bandwidth for relaying pieces of weights. Answers to clients use
/// the rest.
constexpr double kPieceRelayLinkShare = 0.5;
constexpr Milliseconds kDrainPollPeriod = 50ms;
/// Retry-After value in the answers of a gateway that is stopping or has no usable document. The
/// next view from a registry, which may bring the document, is due within this time.
constexpr Milliseconds kUnavailableRetryAfter = 500ms;
/// Retry-After value in the answer to a request that did not run, unless `UpstreamSelector`
/// returned a time.
constexpr Milliseconds kDefaultRetryAfter = 250ms;
/// Longest time by which gateways differ in their return to an upstream that asked to wait.
constexpr Milliseconds kMaxReturnSpread = 500ms;
/// Retry-After value in the answer to a quarantined request or prompt segment. A quarantine
/// that turns out to be wrong ends sooner; any other lasts for minutes.
constexpr Milliseconds kQuarantineRetryAfter = 2s;
/// Reason of the refusal of a request whose latency objective passed while it waited for an engine.
constexpr const char *kOverloadLate = "overload-late";
constexpr const char *kQuarantinedSegment = "quarantined-segment";
constexpr const char *kQuarantinedRequest = "quarantined-request";
/// An upstream in another region accepts a connection within a few milliseconds. Retransmission
/// of a lost SYN would take a second; an attempt at another upstream takes less.
constexpr Milliseconds kConnectTimeout = 300ms;
/// Share of the setting `retrySlack` (retries allowed per window in addition to the earned ones)
/// that all gateways together use.
constexpr double kRetrySlackShare = 0.8;
/// Share of the setting `retryRatio` (retries earned by each request) that gateways use.
constexpr double kRetryRatioShare = 0.75;
/// A request that has already missed its latency objective is sent only to an upstream that is
/// expected to return the first token within this share of the objective. Such an upstream has
/// spare capacity, so the request doesn't make other requests miss their objectives.
constexpr double kOverdueObjectiveShare = 0.6;
/// A client's own timeout may be shorter than the route's timeout by up to this share. A request
/// that arrives with even less time left counts as a client's retry: the client has already spent
/// time on an earlier attempt.
constexpr double kClientTimeoutSpread = 0.15;
/// Time for which an upstream in slow start is not used after its issuer of permits did not answer.
constexpr Milliseconds kPermitTimeoutRetryAfter = 300ms;
constexpr double kBytesPerMegabit = 125000;
constexpr double kMillisecondsPerSecond = 1000;
/// Bytes of a streamed answer that may be buffered for a slow client. Above this limit the gateway
/// closes the connection.
constexpr std::size_t kMaxUnsentBytes = 1U << 20U;
/// Time after a request's deadline at which a discarded answer is no longer read.
constexpr Milliseconds kDiscardedAnswerGrace = 1s;
constexpr int kMaxPriority = 9;
/// Limit on the engine time of a request, in typical requests, when customers' shares are compared.
/// Clients state the length of their prompts; one false length must not outweigh all others.
constexpr double kMaxTypicalRequests = 10;
constexpr const char *kEventStreamType = "text/event-stream";

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMisdirectedRequest = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

/// True for a status by which a server guarantees that the request has not run and will not run.
bool guaranteesNotRun(int status)
{
    return status == 408 || status == kMisdirectedRequest || status == 429
           || status == kUnavailable;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// Tells whether an answer belongs to the request `id`. A success always names its request.
ResponseMatch matchResponse(const AnswerMetadata &answer, const std::string &id, int status)
{
    if (answer.id == id)
        return ResponseMatch::own;
    return answer.id.empty() && !isSuccess(status) ? ResponseMatch::unidentified
                                                   : ResponseMatch::other;
}

/// Media type of an answer without its parameters; empty when the answer names none.
std::string mediaTypeOf(const HttpHead &head)
{
    const std::string type = headerValue(head.headers, "Content-Type");
    return type.substr(0, type.find_first_of("; "));
}

/// State of one client's request from arrival to answer.
struct Exchange
{
    Exchange(RequestLifecycle lifecycle, RequestMetadata metadata)
        : metadata(std::move(metadata)), lifecycle(std::move(lifecycle)),
          events(this->metadata.lastEvent)
    {}

    HttpRequest request;
    RequestMetadata metadata;
    AbortableReplyPtr reply;
    PlanIndexPtr plan;
    const PlanRoute *route{ nullptr };
    const PlanCustomer *customer{ nullptr };
    const PlanService *service{ nullptr };
    RequestLifecycle lifecycle;
    TimePoint arrivedAt;
    bool isProbe{ false };         ///< admitted to test whether it, or a segment, still crashes
    std::string suspect;           ///< `requestSuspect` of the request; empty: not computed yet
    Milliseconds earlierWait{ 0 }; ///< estimated time that the client waited in earlier attempts
    RequestCost cost;
    bool wasOffered{ false }; ///< an upstream has been chosen, or looked for, before
    bool isResumed{ false };  ///< an attempt continued a broken stream

    // The current attempt.
    std::uint64_t callId{ 0 };   ///< id of the call to the upstream, 0 when no call is in flight
    std::uint64_t permitId{ 0 }; ///< id of the permit request in flight, 0 for none
    std::string upstream;        ///< id of the chosen upstream
    TimePoint sentAt;
    /// What the upstream's speed is estimated from when the answer arrives.
    SpeedAnswer speedAnswer;
    std::uint64_t chosenVersion{ 0 }; ///< weights version of the upstream at the time of the choice
    HttpHead head;                    ///< status and headers of the upstream's answer
    std::size_t headBytes{ 0 };       ///< memory allocated for `head`
    AnswerMetadata answer;            ///< parsed from `head`
    std::string body;                 ///< body of an answer that is not streamed
    bool isStreamed{ false };         ///< the answer is forwarded to the client as it arrives

    // The answer to the client, which may combine the streams of several attempts.
    EventStreamMerger events;
    std::uint64_t answerVersion{ 0 }; ///< weights version of a streamed answer, 0 for none
    std::string answerType;           ///< media type of a streamed answer, empty for none
    std::optional<TimePoint> firstByteAt;
    Milliseconds retryAfter{ kDefaultRetryAfter }; ///< sent when no upstream ran the request
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct GatewayCounters
{
    std::map<std::string, std::uint64_t> answers; ///< by outcome
    std::uint64_t retries{ 0 };
    std::uint64_t resumes{ 0 };
    std::uint64_t clientDisconnects{ 0 }; ///< disconnections before the end of the answer
    std::uint64_t piecesRelayed{ 0 };
    /// Attempts at a time when no engine had room for the request within the limit on pauses.
    std::uint64_t pauseLimitExceeded{ 0 };
    std::uint64_t slowStartSends{ 0 }; ///< requests sent to upstreams in slow start
    std::uint64_t limitedSends{ 0 };   ///< other requests sent with a permit
    std::uint64_t limitedAnswers{ 0 }; ///< answers that name a limit on the rate of requests
    std::uint64_t permitsRefused{ 0 }; ///< permit requests that were refused or not answered
    // Attempts whose connection the upstream closed, before and after the first event.
    std::uint64_t closedBeforeBegin{ 0 };
    std::uint64_t closedAfterBegin{ 0 };
    /// Answers that are sound HTTP and were thrown away, by reason. `HttpPoolCounters` has the
    /// broken ones.
    std::map<std::string, std::uint64_t> unusableAnswers;
};

HttpFrontendOptions frontendOptions(const NodeSettings &settings)
{
    const ClientLimits limits = clientLimits(settings.memoryMb, settings.fileDescriptors);
    return { .listen = *Endpoint::parse(settings.clientAddress),
             .maxConnections = limits.maxConnections,
             .maxBufferedBytes = limits.maxBytes };
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

OverloadOptions overloadOptions(const NodeSettings &settings)
{
    return { .isEnabled = settings.admission.isEnabled,
             .start = settings.admission.start,
             .width = settings.admission.width,
             .floor = settings.admission.floor };
}

/// Priority of a customer's requests to a route. `customer`: null for none.
std::uint32_t effectivePriority(const PlanRoute &route, const PlanCustomer *customer)
{
    const std::uint32_t priority =
            customer != nullptr && customer->priority ? *customer->priority : route.priority;
    return std::min<std::uint32_t>(priority, kMaxPriority);
}

/// The distinct priorities that requests to a service may have, with the smallest objective of
/// each.
std::vector<PriorityObjective> servicePriorities(const ServingPlan &plan,
                                                 const std::string &service)
{
    std::map<std::uint32_t, Milliseconds> objectives;
    const auto add = [&objectives](std::uint32_t priority, Milliseconds objective) {
        const auto [found, isNew] = objectives.try_emplace(priority, objective);
        found->second = std::min(found->second, objective);
    };
    for (const PlanRoute &route : plan.routes) {
        const bool isTarget = std::ranges::any_of(route.targets, [&](const PlanTarget &each) {
            return each.service == service && each.weight > 0;
        });
        if (!isTarget)
            continue;
        add(effectivePriority(route, nullptr), route.objective);
        for (const PlanCustomer &customer : plan.customers)
            add(effectivePriority(route, &customer), route.objective);
    }
    std::vector<PriorityObjective> priorities;
    priorities.reserve(objectives.size());
    for (const auto &[priority, objective] : objectives)
        priorities.push_back({ .priority = priority, .objective = objective });
    return priorities;
}

/// Time of a full engine that a request takes, at most `kMaxTypicalRequests` times that of a
/// typical one.
FloatMilliseconds boundedEngineTime(const EngineSpec &engine, const RequestCost &cost)
{
    const EngineModel model(engine);
    const RequestCost typical{ .promptTokens = engine.typicalPromptTokens };
    return std::min(model.engineTime(cost), model.engineTime(typical) * kMaxTypicalRequests);
}

/// Returns a duration in seconds with three decimals.
std::string secondsText(Milliseconds duration)
{
    std::string text = std::to_string(static_cast<double>(duration.count()) / 1000.0);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl>
{
public:
    Impl(const NodeSettings &settings, GatewayProtocol protocol)
        : settings(settings), protocol(std::move(protocol)), incarnation(newIncarnation()), pool(1),
          hub(this->pool, nodeHubOptions(settings, Role::entry, this->incarnation),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->onDown(link); } }),
          viewReader(
                  settings, true, this->hub,
                  { .stateChanged = [this] { this->onOperatorState(); },
                    .upstreamChanged =
                            [this](const UpstreamRecord &record) { this->onUpstream(record); } }),
          selector(selectorOptions(settings), randomSeed()),
          overloadControl(overloadOptions(settings), randomSeed()),
          serverSpeeds(serverSpeedOptions(settings.serverSpeeds)),
          retryBudgets({ .ratio = settings.bounds.retryRatio * kRetryRatioShare,
                         .slack = settings.bounds.retrySlack * kRetrySlackShare,
                         .window = millisecondsOf(settings.bounds.retryWindow),
                         .startedAt = bootNow() }),
          pieceRelay({ .bytesPerMs = settings.linkMbps * kBytesPerMegabit / kMillisecondsPerSecond
                                     * kPieceRelayLinkShare }),
          upstreamCalls(this->pool.context(),
                        { .maxHeadBytes = answerLimits(settings.memoryMb).maxHeadBytes }),
          frontend(this->pool.context(), frontendOptions(settings),
                   [this](HttpRequest &&request, const AbortableReplyPtr &reply) {
                       this->handle(std::move(request), reply);
                   })
    {}

    bool start(std::string &problem)
    {
        problem = overloadOptionsError(overloadOptions(this->settings));
        if (!problem.empty())
            return false;
        if (this->settings.serverSpeeds.enabled)
            this->selector.setSpeeds(&this->serverSpeeds);
        Reason<std::error_code> reason;
        if (!this->hub.listen(reason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + reason.code.message();
            return false;
        }
        if (!this->frontend.start(reason)) {
            problem = this->settings.clientAddress + ": " + reason.code.message();
            return false;
        }
        this->pool.every(kViewPollInterval, [this] { this->onViewTick(); });
        this->pool.every(kPieceRelayPeriod, [this] { this->sendPieces(); });
        this->pool.every(kDeadlineCheckPeriod, [this] {
            this->endOverdueExchanges();
            this->withdrawFromOutdatedUpstreams();
            this->logSheddingChanges();
        });
        return true;
    }

    bool isReady() const
    {
        return !this->plannedStop && this->plan != nullptr
               && this->viewReader.view().isConfirmed(bootNow());
    }

    bool drain()
    {
        const PlannedStop stop(bootNow(), millisecondsOf(this->settings.bounds.stopGrace));
        this->pool.run([this, &stop] {
            this->plannedStop = stop;
            this->frontend.disableKeepAlive();
            for (const ExchangePtr &exchange : this->exchanges)
                exchange->lifecycle.limitDeadline(stop.answersDueAt());
            logInfo("planned stop begins", { { "inFlight", this->frontend.unansweredCount() } });
        });
        std::size_t unansweredRequests = 0;
        do {
            std::this_thread::sleep_for(kDrainPollPeriod);
            this->pool.run([this, &unansweredRequests, &stop] {
                if (stop.isOutOfBalancer(bootNow()))
                    this->frontend.closeIdle();
                unansweredRequests = this->frontend.unansweredCount();
            });
        } while (bootNow() < stop.endsAt()
                 && (unansweredRequests > 0 || !stop.isOutOfBalancer(bootNow())));
        if (unansweredRequests > 0)
            logWarn("planned stop aborts in-flight requests", { { "cutOff", unansweredRequests } });
        return unansweredRequests == 0;
    }

    void stop()
    {
        this->pool.run([this] { this->frontend.stop(); });
        this->hub.shutdown();
        this->pool.stop();
    }

    void addSeeds(const std::vector<std::string> &seeds)
    {
        std::vector<std::string> endpoints;
        endpoints.reserve(seeds.size());
        for (const std::string &seed : seeds)
            endpoints.push_back(linkEndpointOf(this->settings, seed));
        this->viewReader.addRegistries(endpoints);
    }

    std::string metricsText() const
    {
        std::string text;
        const auto appendMetric = [&text](const std::string &name, std::uint64_t value) {
            text += "egret_" + name + " " + std::to_string(value) + "\n";
        };
        text += this->frontend.metricsText("client");
        for (const auto &[outcome, count] : this->counters.answers)
            appendMetric("answers_total{outcome=\"" + outcome + "\"}", count);
        appendMetric("requests_repeated_total", this->counters.retries);
        appendMetric("streams_resumed_total", this->counters.resumes);
        appendMetric("clients_gone_total", this->counters.clientDisconnects);
        appendMetric("pieces_relayed_total", this->counters.piecesRelayed);
        appendMetric("requests_in_flight", this->exchanges.size());
        appendMetric("answer_bytes_buffered", this->answerBuffers.total());
        appendMetric("upstreams", this->selector.size());
        appendMetric("quarantined_segments", this->quarantine.size());
        appendMetric("gateways", this->viewReader.view().gatewayCount());
        appendMetric("pause_limit_exceeded_total", this->counters.pauseLimitExceeded);
        appendMetric("slow_start_sends_total", this->counters.slowStartSends);
        appendMetric("limited_upstreams", this->selector.limitedCount());
        appendMetric("limited_sends_total", this->counters.limitedSends);
        appendMetric("answers_with_request_limit_total", this->counters.limitedAnswers);
        appendMetric("slow_start_permits_refused_total", this->counters.permitsRefused);
        appendMetric("attempts_closed_total{begun=\"false\"}", this->counters.closedBeforeBegin);
        appendMetric("attempts_closed_total{begun=\"true\"}", this->counters.closedAfterBegin);
        const HttpPoolCounters &poolCounters = this->upstreamCalls.counters();
        appendMetric("upstream_connections_opened_total", poolCounters.opened);
        appendMetric("upstream_connections_reused_total", poolCounters.reused);
        appendMetric("upstream_connections_failed_total", poolCounters.failed);
        appendMetric("answers_skipped_total", poolCounters.skipped);
        appendMetric("answers_with_surplus_total", poolCounters.surplus);
        for (const auto &[reason, count] : poolCounters.brokenResponses)
            appendMetric("broken_answers_total{reason=\"" + reason + "\"}", count);
        for (const auto &[reason, count] : this->counters.unusableAnswers)
            appendMetric("unusable_answers_total{reason=\"" + reason + "\"}", count);
        appendMetric("document_number", this->plan ? this->plan->plan().number : 0);
        if (this->plan)
            this->appendHintRatios(text);
        this->appendServerSpeeds(text);
        for (const auto &[route, histogram] : this->firstByteTimes)
            histogram.appendTo(text, "egret_first_byte_seconds", "service=\"" + route + "\"");
        for (const auto &[route, histogram] : this->answerTimes)
            histogram.appendTo(text, "egret_answer_seconds", "service=\"" + route + "\"");
        for (const ServiceStatus &each : this->overloadControl.status(bootNow())) {
            const std::string service = "{service=\"" + each.service + "\"";
            text += "egret_service_occupancy" + service + "} " + std::to_string(each.occupancy)
                    + "\n";
            for (const PriorityStatus &status : each.priorities)
                text += "egret_requests_refused_share" + service + ",priority=\""
                        + std::to_string(status.priority) + "\"} "
                        + std::to_string(status.refusedShare) + "\n";
        }
        return text;
    }

    asio::io_context &context() { return this->pool.context(); }

private:
    static SelectorOptions selectorOptions(const NodeSettings &settings)
    {
        constexpr double percent = 100;
        SelectorOptions options{ .zone = settings.zone,
                                 .shedsByRoom = settings.admission.isEnabled,
                                 .probingFloor =
                                         settings.serverSpeeds.probingFloorPercent / percent };
        for (const ZoneRegion &each : settings.regions)
            options.regions[each.zone] = each.region;
        return options;
    }

    // State from registries and stagers.

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *view = std::get_if<View>(&frame.message))
            this->viewReader.onView(link, *view);
        else if (const auto *notice = std::get_if<LoadNotice>(&frame.message))
            this->selector.onLoadNotice(*notice, bootNow());
        else if (const auto *permit = std::get_if<PermitReply>(&frame.message))
            this->onPermitReply(*permit);
        else if (const auto *report = std::get_if<UpstreamReport>(&frame.message))
            this->onStatement(report->upstream, report->startedAtMs,
                              statementOf(*report, bootNow()));
        else if (const auto *speeds = std::get_if<SpeedObservations>(&frame.message))
            this->onSharedSpeeds(*speeds);
        else if (const auto *probe = std::get_if<SuspectProbeGrant>(&frame.message))
            this->quarantine.onProbeGranted(probe->suspect, bootNow());
        else if (const auto *piece = std::get_if<BlockReply>(&frame.message))
            this->onPiece(link, *piece);
        else if (std::holds_alternative<Have>(frame.message))
            this->pieceRelay.onAcknowledged(link->target());
    }

    /// Relays a piece of weights from a stager to the other stagers of this availability zone.
    void onPiece(const LinkPtr &link, const BlockReply &piece)
    {
        std::vector<std::string> receivers;
        for (const auto &[id, record] : this->viewReader.view().upstreams().all()) {
            const std::string stager = linkEndpointOf(this->settings, record.endpoint);
            const bool isOtherStager = !record.model.empty() && record.zone == this->settings.zone
                                       && stager != link->target();
            if (isOtherStager && record.notice != AnnouncedState::gone && !record.isSilent)
                receivers.push_back(stager);
        }
        this->pieceRelay.onPiece(piece, receivers, bootNow());
        this->sendPieces();
    }

    void sendPieces()
    {
        const TimePoint now = bootNow();
        while (const auto copy = this->pieceRelay.next(now)) {
            ++this->counters.piecesRelayed;
            this->hub.send(copy->to, Channel::serve, *copy->piece);
        }
    }

    void onDown(const LinkPtr &link) { this->viewReader.onDown(link); }

    void onViewTick()
    {
        this->viewReader.tick();
        this->selector.setGatewayCount(this->viewReader.view().gatewayCount());
        this->retryBudgets.setGatewayCount(this->viewReader.view().gatewayCount());
        this->maintainStagerLinks();
        this->updateServerSpeeds();
        const bool isConfirmed = this->viewReader.view().isConfirmed(bootNow());
        if (isConfirmed != std::exchange(this->wasStateConfirmed, isConfirmed))
            logInfo(isConfirmed ? "operators' state is confirmed"
                                : "operators' state is no longer confirmed",
                    { { "index", this->viewReader.view().state().index } });
    }

    void onOperatorState()
    {
        const OperatorState &state = this->viewReader.view().state();
        this->selector.setZonesOut(state.zonesOut);
        for (const NumberedText &text : state.texts) {
            if (text.name == kDocumentText)
                this->applyDocument(text);
            else if (text.name.starts_with(kWeightsTextPrefix))
                this->applyWeightsVersion(text);
            else if (text.name == kQuarantineText)
                this->applyQuarantine(text);
        }
    }

    void applyQuarantine(const NumberedText &text)
    {
        if (text.number <= this->quarantineNumber)
            return;
        this->quarantineNumber = text.number;
        const auto segments = parseQuarantineText(text.text);
        this->reportBegun(this->quarantine.setQuarantined(segments, bootNow()));
        logInfo("quarantined segments changed",
                { { "number", text.number }, { "segments", this->quarantine.size() } });
    }

    /// Tells the registries that answers to requests with these suspects begin.
    void reportBegun(const std::vector<std::string> &suspects)
    {
        if (!suspects.empty())
            this->viewReader.sendToAll(SuspectsBegun{ .suspects = suspects });
    }

    void applyDocument(const NumberedText &text)
    {
        if (this->plan && this->plan->plan().number >= text.number)
            return;
        std::string problem;
        auto parsed = this->protocol.parsePlan(text.text, problem);
        if (!parsed)
            return logError("failed to parse document in force",
                            { { "number", text.number }, { "problem", problem } });
        const PlanIndexPtr previous =
                std::exchange(this->plan, std::make_shared<const PlanIndex>(std::move(*parsed)));
        this->applyPriorities(previous.get());
        this->frontend.setBounds(this->plan->plan().bounds);
        std::set<std::string> routes;
        for (const PlanRoute &route : this->plan->plan().routes)
            routes.insert(route.name);
        this->outputLengths.setRoutes(routes);
        logInfo("document is in force", { { "number", text.number },
                                          { "routes", this->plan->plan().routes.size() },
                                          { "index", this->viewReader.view().state().index } });
    }

    /// Tells the overload control the priorities of each model service. `previous`: the document in
    /// force before, null for none.
    void applyPriorities(const PlanIndex *previous)
    {
        if (previous != nullptr) {
            for (const PlanService &service : previous->plan().services) {
                if (this->plan->service(service.name) == nullptr)
                    this->overloadControl.setPriorities(service.name, {});
            }
        }
        for (const PlanService &service : this->plan->plan().services) {
            std::vector<PriorityObjective> priorities;
            if (service.engine)
                priorities = servicePriorities(this->plan->plan(), service.name);
            this->overloadControl.setPriorities(service.name, std::move(priorities));
        }
    }

    void logSheddingChanges()
    {
        for (const SheddingChange &change : this->overloadControl.takeChanges(bootNow()))
            logInfo(change.isShedding ? "shedding of a priority begins"
                                      : "shedding of a priority ends",
                    { { "service", change.service },
                      { "priority", change.priority },
                      { "occupancy", change.occupancy },
                      { "requests", change.requests },
                      { "refused", change.refusals } });
    }

    void applyWeightsVersion(const NumberedText &text)
    {
        const std::string model = text.name.substr(std::string_view(kWeightsTextPrefix).size());
        const auto inForceSince = this->viewReader.view().inForceSince(text.name);
        VersionDeadlines &deadlines =
                this->versionDeadlines.try_emplace(model, this->settings.bounds.version)
                        .first->second;
        for (const auto &[number, since] : this->viewReader.view().replacedNumbers(text.name))
            deadlines.onVersionInForce(number, since);
        const bool isNewVersion = deadlines.onVersionInForce(text.number, inForceSince);
        if (isNewVersion)
            logInfo("weights version is in force", { { "text", text.name },
                                                     { "number", text.number },
                                                     { "timeKnown", inForceSince.has_value() } });
    }

    void onUpstream(const UpstreamRecord &record)
    {
        this->selector.onRecord(record, bootNow());
        this->serverSpeeds.onUpstream(record);
        logInfo("upstream changed", { { "upstream", record.id },
                                      { "endpoint", record.endpoint },
                                      { "sequence", record.sequence },
                                      { "ready", record.notice == AnnouncedState::ready },
                                      { "gone", record.notice == AnnouncedState::gone },
                                      { "quiet", record.isSilent },
                                      { "version", record.version } });
        if (record.notice == AnnouncedState::gone) {
            if (const auto endpoint = Endpoint::parse(record.endpoint))
                this->upstreamCalls.closeIdleConnections(*endpoint);
        }
    }

    /// Keeps a link to each engine's stager. The stager sends load notices, which are reports of
    /// the engine's load, over this link.
    void maintainStagerLinks()
    {
        for (const auto &[id, record] : this->viewReader.view().upstreams().all()) {
            if (record.notice == AnnouncedState::gone || record.model.empty() || record.isSilent)
                continue;
            if (const auto endpoint =
                        Endpoint::parse(linkEndpointOf(this->settings, record.endpoint))) {
                const LinkPtr link = this->hub.open(*endpoint, Channel::serve);
                this->selector.setPath(record.endpoint, { .hasLink = link->established(),
                                                          .roundTrip = link->roundTrip() });
            }
        }
    }

    // Speeds of upstreams.

    void updateServerSpeeds()
    {
        if (!this->settings.serverSpeeds.enabled)
            return;
        const TimePoint now = bootNow();
        this->serverSpeeds.update(now);
        for (const ServerSpeedChange &change : this->serverSpeeds.takeChanges())
            logInfo("upstream's speed estimate changed", { { "upstream", change.upstream },
                                                           { "before", change.before },
                                                           { "after", change.after } });
        // One registry is enough: it sends the sums to all gateways.
        const std::string registry = this->viewReader.view().confirmingRegistry();
        if (registry.empty())
            return;
        SpeedObservations message{ .gateway = this->settings.instance,
                                   .observations = this->serverSpeeds.takeObservations(now) };
        if (!message.observations.empty())
            this->hub.send(registry, Channel::control, message);
    }

    void onSharedSpeeds(const SpeedObservations &message)
    {
        const TimePoint now = bootNow();
        const std::size_t count = std::min(message.observations.size(), kMaxSpeedObservations);
        for (std::size_t i = 0; i < count; ++i)
            this->serverSpeeds.onShared(message.observations[i], now);
    }

    /// Prepares the estimation of an upstream's speed from the attempt that is being sent.
    void beginSpeedAnswer(Exchange &exchange, const Selection &selection) const
    {
        exchange.speedAnswer = { .upstream = selection.upstream,
                                 .startedAtMs = selection.startedAtMs,
                                 .route = exchange.route->name,
                                 .expected = selection.comparableFirstToken,
                                 .inFlight = selection.load + 1 };
    }

    /// Learns from the time of an attempt's first event or, of an answer that isn't streamed, of
    /// its end.
    void learnSpeed(const Exchange &exchange)
    {
        SpeedAnswer answer = exchange.speedAnswer;
        // A few milliseconds more, such as for a new connection, pass for slowness at an engine
        // that is expected to begin within some 10 ms.
        const bool isLearned = !exchange.service->engine
                               || (this->settings.serverSpeeds.includesEngines && answer.expected);
        if (!isLearned)
            return;
        const TimePoint now = bootNow();
        answer.measured = now - exchange.sentAt;
        this->serverSpeeds.onAnswer(answer, now);
    }

    void appendServerSpeeds(std::string &text) const
    {
        for (const auto &[id, status] : this->serverSpeeds.statuses(bootNow())) {
            const std::string label = "{upstream=\"" + id + "\"} ";
            text += "egret_server_speed" + label + std::to_string(status.speed) + "\n";
            text += "egret_server_speed_samples" + label + std::to_string(status.samples) + "\n";
            text += "egret_server_speed_age_seconds" + label
                    + std::to_string(static_cast<double>(status.age.count())
                                     / kMillisecondsPerSecond)
                    + "\n";
        }
    }

    // Requests.

    void handle(HttpRequest &&request, const AbortableReplyPtr &reply)
    {
        RequestMetadata metadata = this->protocol.parseRequest(request);
        const TimePoint now = bootNow();
        // Step 1. Check the request against the document.
        const bool isConfirmed = this->viewReader.view().isConfirmed(now);
        const PlanRoute *route =
                this->plan ? this->plan->route(headerValue(request.headers, "Host"), request.path)
                           : nullptr;
        if (!this->plan || (!isConfirmed && !(route != nullptr && route->isPublic)))
            return this->refuse(metadata, *reply, kUnavailable,
                                this->plan ? "document-unconfirmed" : "no-document");
        if (route == nullptr)
            return this->refuse(metadata, *reply, kNotFound, "no-route");
        const bool needsKey = !route->isPublic && this->plan->needsKeys();
        const PlanCustomer *customer =
                metadata.key.empty() ? nullptr : this->plan->customer(metadata.key);
        if (needsKey && customer == nullptr)
            return this->refuse(metadata, *reply, kUnauthorized, "unknown-key");
        if (metadata.id.empty())
            return this->refuse(metadata, *reply, kBadRequest, "no-identity");
        const Milliseconds timeLimit =
                std::min(route->timeout, metadata.remaining.value_or(route->timeout));
        const RequestTraits traits{ .isIdempotent = route->kind == RequestKind::idempotent,
                                    .isStream = route->kind == RequestKind::stream,
                                    .isResumable = route->isResumable,
                                    .maxAttempts = std::max(1U, route->maxAttempts),
                                    .deadline = now + timeLimit };
        if (this->plannedStop && !this->plannedStop->accepts(traits, now))
            return this->refuse(metadata, *reply, kUnavailable, "stopping");
        std::vector<std::string> suspects = metadata.promptSegments;
        std::string ownSuspect;
        if (this->quarantine.tracksRequests(now))
            suspects.push_back(ownSuspect = suspectOf(customer, request));
        const QuarantineDecision decision = this->quarantine.decide(suspects, now);
        if (decision.mustAskForProbe)
            this->hub.send(this->viewReader.view().confirmingRegistry(), Channel::control,
                           SuspectProbeRequest{ .suspect = decision.suspect });
        if (decision.isRefused)
            return this->refuse(metadata, *reply, kUnavailable,
                                isRequestSuspect(decision.suspect) ? kQuarantinedRequest
                                                                   : kQuarantinedSegment,
                                kQuarantineRetryAfter);
        if (decision.isProbe)
            logInfo("quarantined segment is probed",
                    { { "request", metadata.id }, { "segment", decision.suspect } });
        // Step 2. Create the exchange and send the request.
        auto exchange = std::make_shared<Exchange>(RequestLifecycle(traits), std::move(metadata));
        if (this->plannedStop)
            exchange->lifecycle.limitDeadline(this->plannedStop->answersDueAt());
        exchange->isProbe = decision.isProbe;
        exchange->suspect = std::move(ownSuspect);
        exchange->earlierWait = estimateEarlierWait(route->timeout, timeLimit);
        exchange->request = std::move(request);
        exchange->reply = reply;
        exchange->plan = this->plan;
        exchange->route = route;
        exchange->customer = customer;
        exchange->service = this->selectService(*exchange);
        exchange->cost = this->estimateCost(*exchange);
        exchange->arrivedAt = now;
        this->exchanges.insert(exchange);
        reply->onClientDisconnected([this, weak = std::weak_ptr(exchange)] {
            if (const auto self = weak.lock())
                this->onClientGone(self);
        });
        if (!this->isAdmitted(exchange, now))
            return;
        this->retryBudgets.onFirstSend(exchange->service->name, now);
        this->chooseAndSend(exchange);
    }

    /// Answers the request at once and returns false when it is refused because the engines of its
    /// service are nearly full.
    bool isAdmitted(const ExchangePtr &exchange, TimePoint now)
    {
        if (!exchange->service->engine)
            return true;
        const AdmissionRequest request{
            .service = exchange->service->name,
            .customer = exchange->customer == nullptr ? "" : exchange->customer->name,
            .priority = effectivePriority(*exchange->route, exchange->customer),
            .engineTime = boundedEngineTime(*exchange->service->engine, exchange->cost),
            .isReturning = exchange->earlierWait > 0ms
        };
        const AdmissionDecision decision = this->overloadControl.decide(
                request,
                this->selector.serviceLoad(this->selectionQuery(*exchange, now, false), now), now);
        this->logSheddingChanges();
        if (decision.isAdmitted)
            return true;
        exchange->retryAfter = decision.retryAfter;
        this->applyDecision(exchange, exchange->lifecycle.onNoUpstream(decision.reason));
        return false;
    }

    /// Estimates the time that a client has spent on earlier attempts. `timeout`: the route's
    /// timeout; `remaining`: time that the client still waits. The client's own timeout is assumed
    /// to be shorter than the route's timeout by half of `kClientTimeoutSpread`.
    static Milliseconds estimateEarlierWait(Milliseconds timeout, Milliseconds remaining)
    {
        const Milliseconds used = timeout - remaining;
        if (used <= timeout * kClientTimeoutSpread)
            return 0ms;
        return std::chrono::duration_cast<Milliseconds>(used
                                                        - timeout * (kClientTimeoutSpread / 2));
    }

    /// Estimates what a request costs an engine. Requests of plain services have no output tokens.
    RequestCost estimateCost(const Exchange &exchange) const
    {
        RequestCost cost{ .promptTokens = exchange.metadata.promptTokens };
        if (!exchange.service->engine)
            return cost;
        cost.outputTokens = this->outputLengths.expected(exchange.route->name,
                                                         exchange.metadata.expectedOutputTokens,
                                                         exchange.metadata.maxOutputTokens);
        // A response can't be longer than the memory of its engine.
        const auto capacity = static_cast<double>(exchange.service->engine->kvCapacityTokens);
        if (capacity > 0)
            cost.outputTokens = std::min(cost.outputTokens, capacity);
        return cost;
    }

    /// Learns the length of a streamed response that ended whole. A resumed one is left out: its
    /// events come from several attempts, and the client may have had some of them before.
    void learnOutputLength(const Exchange &exchange)
    {
        if (!exchange.service->engine || exchange.isResumed || exchange.metadata.lastEvent)
            return;
        const double tokens = static_cast<double>(exchange.events.returnedEvents())
                              * exchange.service->engine->stepsPerPass;
        this->outputLengths.onFinished(exchange.route->name, exchange.metadata.expectedOutputTokens,
                                       tokens);
    }

    /// Appends the mean ratio of output tokens to hint of each model service: the mean over the
    /// routes that lead there, weighted by their responses.
    void appendHintRatios(std::string &text) const
    {
        std::map<std::string, double> ratioSums;
        std::map<std::string, double> responses;
        for (const PlanRoute &route : this->plan->plan().routes) {
            const OutputLengths::HintRatio ratio = this->outputLengths.hintRatio(route.name);
            for (const PlanTarget &target : route.targets) {
                ratioSums[target.service] += ratio.mean * ratio.responses;
                responses[target.service] += ratio.responses;
            }
        }
        for (const auto &[service, count] : responses) {
            if (count > 0)
                text += "egret_output_hint_ratio{service=\"" + service + "\"} "
                        + std::to_string(ratioSums[service] / count) + "\n";
        }
    }

    /// Selects one of the route's services at random, by weight.
    const PlanService *selectService(const Exchange &exchange)
    {
        std::vector<double> weights;
        weights.reserve(exchange.route->targets.size());
        for (const PlanTarget &target : exchange.route->targets)
            weights.push_back(target.weight);
        std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
        return exchange.plan->service(
                exchange.route->targets[distribution(this->randomGenerator)].service);
    }

    void refuse(const RequestMetadata &metadata, AbortableReply &reply, int status,
                const std::string &reason, Milliseconds retryAfter = kUnavailableRetryAfter)
    {
        HttpHeaders headers = this->protocol.gatewayAnswerHeaders(metadata.id);
        if (status == kUnavailable)
            headers.emplace_back("Retry-After", secondsText(retryAfter));
        ++this->counters.answers[reason];
        logInfo("request refused", { { "request", metadata.id },
                                     { "status", status },
                                     { "reason", reason },
                                     { "document", this->plan ? this->plan->plan().number : 0 } });
        reply.send(status, "", "", headers);
    }

    SelectionQuery selectionQuery(const Exchange &exchange, TimePoint now, bool isResume)
    {
        SelectionQuery query{ .service = exchange.service->name,
                              .plan = exchange.service,
                              .promptTokens = exchange.metadata.promptTokens,
                              .priority = effectivePriority(*exchange.route, exchange.customer),
                              .cost = exchange.cost,
                              .maxPause = exchange.plan->pauseLimit(exchange.service->name),
                              .routeRegions = &exchange.route->regions,
                              .excluded = exchange.lifecycle.attemptedUpstreams(),
                              .exactVersion = isResume ? exchange.answerVersion : 0,
                              .mayRunTwice = exchange.route->kind != RequestKind::once };
        if (exchange.customer != nullptr)
            query.customerRegions = &exchange.customer->regions;
        if (!exchange.service->engine)
            return query;
        const auto deadlines = this->versionDeadlines.find(exchange.service->engine->model);
        if (deadlines != this->versionDeadlines.end())
            query.version = deadlines->second.requirement(now);
        if (!isResume)
            query.firstTokenLimit =
                    firstTokenLimit(exchange, this->firstTokenObjective(exchange), now);
        return query;
    }

    /// Objective for the first token: the route's, but at most that of routes with a higher
    /// priority.
    Milliseconds firstTokenObjective(const Exchange &exchange) const
    {
        const auto higherObjective = this->overloadControl.firstTokenLimit(
                exchange.service->name, effectivePriority(*exchange.route, exchange.customer));
        return std::min(exchange.route->objective, higherObjective.value_or(Milliseconds::max()));
    }

    /// Returns the time within which the first token should arrive: the time left until the
    /// latency objective, or `kOverdueObjectiveShare` of the objective when no time is left.
    static Milliseconds firstTokenLimit(const Exchange &exchange, Milliseconds objective,
                                        TimePoint now)
    {
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - exchange.arrivedAt);
        const Milliseconds timeLeft = objective - waited - exchange.earlierWait;
        if (timeLeft > 0ms)
            return timeLeft;
        return std::chrono::duration_cast<Milliseconds>(objective * kOverdueObjectiveShare);
    }

    /// Chooses an upstream and sends the request, or first asks for a permit when the upstream
    /// needs one. When no upstream is available or the retry budget is empty, applies the
    /// lifecycle's decision instead. `isResume`: the attempt continues a broken stream, so the
    /// upstream must have the weights version of the stream's first part.
    void chooseAndSend(const ExchangePtr &exchange, bool isResume = false)
    {
        if (exchange->lifecycle.attempts() > 0
            && !this->retryBudgets.take(exchange->service->name, bootNow()))
            return this->applyDecision(exchange, exchange->lifecycle.onRetryBudgetExhausted());
        this->chooseWithinBudget(exchange, isResume);
    }

    /// As `chooseAndSend`, for an attempt that the retry budget has already paid for.
    void chooseWithinBudget(const ExchangePtr &exchange, bool isResume)
    {
        if (!this->mayAttempt(*exchange))
            return this->giveUpQuarantined(exchange);
        const TimePoint now = bootNow();
        SelectionQuery query = this->selectionQuery(*exchange, now, isResume);
        query.isNew = !std::exchange(exchange->wasOffered, true);
        if (!isResume && this->isTooLate(*exchange, query, now)) {
            exchange->retryAfter = this->overloadControl.withJitter(kDefaultRetryAfter);
            return this->applyDecision(exchange, exchange->lifecycle.onNoUpstream(kOverloadLate));
        }
        const Selection selection = this->selector.choose(query, now);
        if (selection.upstream.empty()) {
            const std::string reason = this->noUpstreamReason(*exchange, selection, now);
            const bool isBusy = selection.problem == NoUpstreamReason::busy;
            exchange->retryAfter = isBusy ? this->overloadControl.withJitter(selection.retryAfter)
                                          : selection.retryAfter;
            logInfo("no upstream can take the request",
                    { { "request", exchange->metadata.id },
                      { "reason", reason },
                      { "known", this->selector.size() },
                      { "leastVersion", query.version.minimum },
                      { "exactVersion", query.exactVersion },
                      { "firstWithinMs", query.firstTokenLimit.value_or(0ms).count() },
                      { "expectedMs", selection.expectedFirstToken.count() },
                      { "retryAfterMs", selection.retryAfter.count() } });
            return this->applyDecision(exchange, exchange->lifecycle.onNoUpstream(reason));
        }
        if (selection.permitRate)
            this->requestPermit(exchange, selection, isResume, now);
        else
            this->sendChosen(exchange, selection, isResume, now);
    }

    /// True for a request that has waited here, for a permit or an earlier attempt, until its
    /// latency objective passed, while all slots of the usable engines are taken. Sent now, it
    /// would be late and make other requests late.
    bool isTooLate(const Exchange &exchange, const SelectionQuery &query, TimePoint now)
    {
        if (!this->settings.admission.isEnabled || !exchange.service->engine
            || now - exchange.arrivedAt < exchange.route->objective)
            return false;
        return this->selector.serviceLoad(query, now).occupancy.value_or(0) >= 1;
    }

    /// Reason why no upstream was selected. A request that would have been sent but for the
    /// objectives of higher priorities is refused for its priority.
    std::string noUpstreamReason(const Exchange &exchange, const Selection &selection,
                                 TimePoint now) const
    {
        const bool isForPriority = selection.problem == NoUpstreamReason::busy
                                   && selection.expectedFirstToken <= firstTokenLimit(
                                              exchange, exchange.route->objective, now);
        return isForPriority ? kOverloadPriority : noUpstreamReasonName(selection.problem);
    }

    /// False when the request or a segment of its prompt is quarantined. A probe has one attempt.
    bool mayAttempt(Exchange &exchange) const
    {
        return (exchange.isProbe && exchange.lifecycle.attempts() == 0)
               || !this->quarantine.isQuarantined(this->trackedSuspects(exchange));
    }

    static std::string suspectOf(const PlanCustomer *customer, const HttpRequest &request)
    {
        return requestSuspect(requestDigest(customer == nullptr ? "" : customer->name, request));
    }

    /// The segments of the request's prompt and, while requests are tracked, the request itself.
    std::vector<std::string> trackedSuspects(Exchange &exchange) const
    {
        return this->quarantine.tracksRequests(bootNow()) ? suspectsOf(exchange)
                                                          : exchange.metadata.promptSegments;
    }

    /// The segments of the request's prompt and then the request itself, because fewer others share
    /// it than any of the segments.
    static std::vector<std::string> suspectsOf(Exchange &exchange)
    {
        if (exchange.suspect.empty())
            exchange.suspect = suspectOf(exchange.customer, exchange.request);
        std::vector<std::string> suspects = exchange.metadata.promptSegments;
        suspects.push_back(exchange.suspect);
        return suspects;
    }

    void giveUpQuarantined(const ExchangePtr &exchange)
    {
        exchange->retryAfter = kQuarantineRetryAfter;
        const bool isRequest = this->quarantine.isQuarantined({ suspectsOf(*exchange).back() });
        this->applyDecision(exchange,
                            exchange->lifecycle.onNoUpstream(isRequest ? kQuarantinedRequest
                                                                       : kQuarantinedSegment));
    }

    /// Sends the request to a chosen upstream whose permit, if it needs one, has been granted.
    void sendChosen(const ExchangePtr &exchange, const Selection &selection, bool isResume,
                    TimePoint now)
    {
        logInfo("upstream chosen", { { "request", exchange->metadata.id },
                                     { "attempt", exchange->lifecycle.attempts() + 1 },
                                     { "upstream", selection.upstream },
                                     { "load", selection.load },
                                     { "noticeAgeMs", selection.noticeAge.count() },
                                     { "expectedMs", selection.expectedFirstToken.count() },
                                     { "expectedPauseMs", selection.expectedPause.count() },
                                     { "version", selection.version },
                                     { "slowStartMs", selection.slowStartRemaining.count() },
                                     { "permitRate", selection.permitRate.value_or(0) },
                                     { "gateways", this->viewReader.view().gatewayCount() } });
        exchange->isResumed = exchange->isResumed || isResume;
        this->counters.pauseLimitExceeded += selection.exceedsMaxPause ? 1 : 0;
        if (isResume)
            ++this->counters.resumes;
        else if (exchange->lifecycle.attempts() > 0)
            ++this->counters.retries;
        this->send(exchange, selection, now);
    }

    // Permits for upstreams in slow start and for upstreams that have named a limit.

    /// A request that waits for a permit.
    struct PermitWait
    {
        ExchangePtr exchange;
        Selection selection;
        bool isResume{ false };
        TimePoint askedAt;
    };

    /// Returns the link address of the process that issues the permits of an upstream: the stager
    /// beside an engine, otherwise the registry that leads the quorum. Empty when no registry is
    /// known to lead.
    std::string permitIssuer(const Exchange &exchange, const Selection &selection) const
    {
        return exchange.service->engine ? linkEndpointOf(this->settings, selection.endpoint.text())
                                        : this->viewReader.view().confirmingRegistry();
    }

    void requestPermit(const ExchangePtr &exchange, const Selection &selection, bool isResume,
                       TimePoint now)
    {
        const std::uint64_t id = ++this->lastPermitId;
        exchange->permitId = id;
        this->permitWaits[id] = {
            .exchange = exchange, .selection = selection, .isResume = isResume, .askedAt = now
        };
        this->selector.onSent(selection.upstream, exchange->cost, now);
        const Channel channel = exchange->service->engine ? Channel::serve : Channel::control;
        const PermitRequest request{ .callId = id,
                                     .upstream = selection.upstream,
                                     .requestsPerSecond = *selection.permitRate };
        const bool isSent =
                this->hub.send(this->permitIssuer(*exchange, selection), channel, request);
        this->pool.after(isSent ? kPermitLifetime : 0ms, [this, id] {
            this->onPermitReply({ .callId = id, .retryAfter = kPermitTimeoutRetryAfter });
        });
    }

    /// Sends the request that waits for the permit, or chooses another upstream when the permit is
    /// refused or comes too late.
    void onPermitReply(const PermitReply &reply)
    {
        const auto found = this->permitWaits.find(reply.callId);
        if (found == this->permitWaits.end())
            return;
        const PermitWait wait = std::move(found->second);
        this->permitWaits.erase(found);
        wait.exchange->permitId = 0;
        const TimePoint now = bootNow();
        // The check also covers a process that was suspended while it waited.
        if (reply.isGranted && now < wait.askedAt + kPermitLifetime) {
            this->selector.onPermitAbandoned(wait.selection.upstream);
            if (!this->mayAttempt(*wait.exchange))
                return this->giveUpQuarantined(wait.exchange);
            return this->sendChosen(wait.exchange, wait.selection, wait.isResume, now);
        }
        ++this->counters.permitsRefused;
        const Milliseconds retryAfter = reply.isGranted ? 0ms : reply.retryAfter;
        this->selector.onPermitRefused(wait.selection.upstream, retryAfter, now);
        this->chooseWithinBudget(wait.exchange, wait.isResume);
    }

    /// Gives up the wait for a permit, if the exchange waits for one.
    void abandonPermit(Exchange &exchange)
    {
        const auto found = this->permitWaits.find(std::exchange(exchange.permitId, 0));
        if (found == this->permitWaits.end())
            return;
        this->selector.onPermitAbandoned(found->second.selection.upstream);
        this->permitWaits.erase(found);
    }

    void send(const ExchangePtr &exchange, const Selection &selection, TimePoint now)
    {
        exchange->upstream = selection.upstream;
        exchange->sentAt = now;
        exchange->chosenVersion = exchange->service->engine ? selection.version : 0;
        exchange->answer = {};
        exchange->isStreamed = false;
        this->clearAnswer(exchange);
        exchange->lifecycle.onSend(selection.upstream);
        this->beginSpeedAnswer(*exchange, selection);
        if (selection.slowStartRemaining > 0ms)
            ++this->counters.slowStartSends;
        else if (selection.permitRate)
            ++this->counters.limitedSends;
        this->selector.onSent(selection.upstream, exchange->cost, now);
        // Tells whether the call's events still matter: false once the request has ended or was
        // sent to another upstream.
        const auto isCurrentAttempt = [exchange, upstream = selection.upstream] {
            return !exchange->lifecycle.isOver() && exchange->upstream == upstream;
        };
        const auto answer = std::make_shared<AnswerMetadata>();
        OutboundCall call{
            .to = selection.endpoint,
            .head = this->requestHead(*exchange, selection, now),
            .sharedBody = std::shared_ptr<const std::string>(exchange, &exchange->request.body),
            .isHeadRequest = exchange->request.method == "HEAD",
            .mayRunTwice = exchange->route->kind != RequestKind::once,
            .maxConnections = selection.maxConnections,
            .connectTimeout = kConnectTimeout,
            .timeLimit = std::chrono::ceil<Milliseconds>(exchange->lifecycle.deadline() - now)
                         + kDiscardedAnswerGrace,
            .keepsConnection = selection.keepsConnection,
            .matchResponse =
                    [this, answer, id = exchange->metadata.id](const HttpHead &head) {
                        *answer = this->protocol.parseAnswerHead(head);
                        return matchResponse(*answer, id, head.status);
                    },
            .onHead =
                    [this, exchange, isCurrentAttempt, answer, sentAt = now,
                     upstream = selection.upstream,
                     startedAtMs = selection.startedAtMs](HttpHead &&head) {
                        this->learn({ .upstream = upstream,
                                      .startedAtMs = startedAtMs,
                                      .request = exchange->metadata.id,
                                      .sentAt = sentAt },
                                    head.status, *answer);
                        if (isCurrentAttempt())
                            this->onHead(exchange, std::move(head), *answer);
                    },
            .onBody =
                    [this, exchange, isCurrentAttempt](std::string &&part) {
                        if (isCurrentAttempt())
                            this->onBody(exchange, std::move(part));
                    },
            .onEnd =
                    [this, exchange, isCurrentAttempt,
                     upstream = selection.upstream](const CallEnd &end) {
                        if (isCurrentAttempt())
                            this->onEnd(exchange, end);
                        else
                            this->selector.onEnded(upstream, false, bootNow());
                    },
        };
        exchange->callId = this->upstreamCalls.start(std::move(call));
    }

    std::string requestHead(const Exchange &exchange, const Selection &selection,
                            TimePoint now) const
    {
        const PlanCustomer *customer = exchange.customer;
        const ForwardMetadata metadata{
            .upstream = selection.upstream,
            .customer = customer == nullptr ? "" : customer->name,
            .remaining =
                    std::chrono::duration_cast<Milliseconds>(exchange.lifecycle.deadline() - now),
            .priority = effectivePriority(*exchange.route, customer),
            .lastEvent = exchange.events.lastEventId(),
            .version = exchange.lifecycle.hasForwarded() ? exchange.answerVersion : 0
        };
        const HttpRequest &request = exchange.request;
        std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : this->protocol.upstreamHeaders(request, metadata))
            head += name + ": " + value + "\r\n";
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT"
            || request.method == "PATCH")
            head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        return head + "\r\n";
    }

    // Answers.

    void onHead(const ExchangePtr &exchange, HttpHead &&newHead, const AnswerMetadata &answer)
    {
        exchange->head = std::move(newHead);
        exchange->answer = answer;
        exchange->headBytes = allocatedBytes(exchange->head.headers);
        const HttpHead &head = exchange->head;
        const bool isUsable = isSuccess(head.status) && exchange->answer.hasServerStamp
                              && !exchange->answer.isEncoded;
        const bool isOtherVersion = exchange->lifecycle.hasForwarded()
                                    && exchange->answerVersion != 0
                                    && exchange->answer.version != exchange->answerVersion;
        const std::string type = mediaTypeOf(head);
        const bool isOtherType = exchange->lifecycle.hasForwarded()
                                         ? type != exchange->answerType
                                         : !type.empty() && type != kEventStreamType;
        exchange->isStreamed = isUsable && exchange->route->kind == RequestKind::stream
                               && !isOtherVersion && !isOtherType;
        // A broken stream can be continued only by a stream from the same weights version.
        if (exchange->lifecycle.hasForwarded() && isSuccess(head.status) && !exchange->isStreamed)
            return this->breakOffAttempt(exchange, isOtherVersion ? "other-weights" : "no-stream");
        this->limitAnswers(exchange);
    }

    /// Records that an answer is thrown away although its connection is sound.
    void recordUnusableAnswer(const Exchange &exchange, const std::string &reason)
    {
        ++this->counters.unusableAnswers[reason];
        logInfo("answer can't be used", { { "request", exchange.metadata.id },
                                          { "upstream", exchange.upstream },
                                          { "status", exchange.head.status },
                                          { "reason", reason } });
    }

    /// Ends an attempt whose answer can't be used.
    void breakOffAttempt(const ExchangePtr &exchange, const std::string &reason)
    {
        const TimePoint now = bootNow();
        this->recordUnusableAnswer(*exchange, reason);
        this->upstreamCalls.cancel(std::exchange(exchange->callId, 0));
        this->selector.onEnded(exchange->upstream, false, now);
        this->applyDecision(exchange, exchange->lifecycle.onAttemptBroken(reason, now));
    }

    /// An attempt whose answer says something of the upstream.
    struct AnsweredAttempt
    {
        std::string upstream;
        std::uint64_t startedAtMs{ 0 };
        std::string request;
        TimePoint sentAt;
    };

    /// Learns what an upstream says of itself, also from an answer that comes too late for its
    /// request, and tells the other gateways what they must know.
    void learn(const AnsweredAttempt &attempt, int status, const AnswerMetadata &answer)
    {
        if (status == kMisdirectedRequest)
            return; // the answer of another instance at the upstream's address
        const TimePoint now = bootNow();
        const UpstreamStatement statement{
            .requestsPerSecond = answer.requestLimit,
            .endsLimit = isSuccess(status) && answer.hasServerStamp,
            .isLeaving = answer.isLeaving,
            .wait = this->withReturnSpread(answer.wait),
            .requestSentAt = attempt.sentAt,
            .answeredAt = now,
        };
        this->counters.limitedAnswers += answer.requestLimit ? 1 : 0;
        if (statement.wait > 0ms)
            logInfo("upstream asks to wait", { { "request", attempt.request },
                                               { "upstream", attempt.upstream },
                                               { "waitMs", statement.wait.count() } });
        if (const auto news = this->onStatement(attempt.upstream, attempt.startedAtMs, statement))
            this->viewReader.sendToAll(
                    upstreamReport(attempt.upstream, attempt.startedAtMs, *news, now));
    }

    /// Lengthens a wait by a random time, so that the gateways that were told to wait at the same
    /// moment don't return at the same moment.
    Milliseconds withReturnSpread(Milliseconds wait)
    {
        const Milliseconds most = std::min(kMaxReturnSpread, wait / 4);
        std::uniform_int_distribution<Milliseconds::rep> spread(0, most.count());
        return wait + Milliseconds(spread(this->randomGenerator));
    }

    /// Applies what an answer says, here or at another gateway. Returns what other instances must
    /// know.
    std::optional<UpstreamStatement> onStatement(const std::string &upstream,
                                                 std::uint64_t startedAtMs,
                                                 const UpstreamStatement &answer)
    {
        const auto news = this->selector.onStatement(upstream, startedAtMs, answer);
        if (news)
            logInfo("upstream's statements changed",
                    { { "upstream", upstream },
                      { "isLeaving", answer.isLeaving },
                      { "isLimited", answer.requestsPerSecond.has_value() },
                      { "requestsPerSecond", answer.requestsPerSecond.value_or(0) } });
        if (answer.isLeaving || answer.wait > 0ms)
            this->releasePermitWaits(upstream);
        return news;
    }

    /// Sends the requests that wait for a permit for this upstream elsewhere.
    void releasePermitWaits(const std::string &upstream)
    {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, wait] : this->permitWaits) {
            if (wait.selection.upstream == upstream)
                ids.push_back(id);
        }
        for (const std::uint64_t id : ids)
            this->onPermitReply({ .callId = id });
    }

    void onBody(const ExchangePtr &exchange, std::string &&part)
    {
        std::string events;
        if (exchange->isStreamed)
            events = exchange->events.append(part);
        else
            exchange->body += part;
        if (!this->limitAnswers(exchange))
            return;
        if (!events.empty())
            this->forwardEvents(exchange, events);
        if (!exchange->lifecycle.isOver() && exchange->isStreamed && exchange->events.hasFault())
            this->breakOffAttempt(exchange, "stream-fault");
    }

    /// Counts what the exchange holds of an answer. Ends the attempt that holds the most when all
    /// hold too much; returns false if it is the one of `exchange`.
    bool limitAnswers(const ExchangePtr &exchange)
    {
        const auto excessive =
                this->answerBuffers.set(exchange, exchange->headBytes + exchange->body.size()
                                                          + exchange->events.partialBytes());
        if (excessive)
            this->dropAnswer(*excessive);
        return excessive != exchange;
    }

    void forwardEvents(const ExchangePtr &exchange, const std::string &events)
    {
        if (!exchange->lifecycle.hasResponseBegun()) {
            // The prediction is for a new stream, not for the rest of a broken one.
            if (!exchange->lifecycle.hasForwarded())
                this->learnSpeed(*exchange);
            this->onAnswerBegun(*exchange);
        }
        this->startStream(*exchange);
        exchange->reply->write(events);
        if (exchange->reply->pendingBytes() > kMaxUnsentBytes) {
            logWarn("client reads too slowly", { { "request", exchange->metadata.id } });
            exchange->reply->abort();
            this->onClientGone(exchange);
        }
    }

    /// An upstream that has begun a stream, or has completed another answer, did not crash on the
    /// request.
    void onAnswerBegun(Exchange &exchange)
    {
        this->reportBegun(this->quarantine.onBegun(this->trackedSuspects(exchange), bootNow()));
    }

    /// Releases what the exchange holds of an answer.
    void clearAnswer(const ExchangePtr &exchange)
    {
        exchange->head = {};
        exchange->headBytes = 0;
        exchange->body = {};
        exchange->events.begin();
        this->answerBuffers.set(exchange, 0);
    }

    /// Ends an attempt whose answer takes too much memory.
    void dropAnswer(const ExchangePtr &exchange)
    {
        const TimePoint now = bootNow();
        ++this->counters.unusableAnswers["answer-too-large"];
        logWarn("answer is too large", { { "request", exchange->metadata.id },
                                         { "upstream", exchange->upstream },
                                         { "bufferedBytes", this->answerBuffers.total() } });
        this->clearAnswer(exchange);
        this->upstreamCalls.cancel(std::exchange(exchange->callId, 0));
        this->selector.onEnded(exchange->upstream, true, now);
        this->applyDecision(exchange, exchange->lifecycle.onAttemptBroken("answer-too-large", now));
    }

    /// Forwards the head of a streamed answer unless a head was already forwarded.
    void startStream(Exchange &exchange)
    {
        const bool isHeadSent = exchange.lifecycle.hasForwarded();
        exchange.lifecycle.onForwarded();
        if (isHeadSent)
            return;
        exchange.answerVersion = exchange.answer.version;
        exchange.answerType = mediaTypeOf(exchange.head);
        exchange.firstByteAt = bootNow();
        exchange.reply->start(exchange.head.status, "", forwardedHeaders(exchange.head));
        exchange.head.headers = {};
        exchange.headBytes = 0;
    }

    static HttpHeaders forwardedHeaders(const HttpHead &head)
    {
        const std::string connection = headerValue(head.headers, "Connection");
        HttpHeaders headers;
        for (const auto &[name, value] : head.headers) {
            if (!isHopByHopHeader(name, connection) && !isSameHeaderName(name, "Content-Length"))
                headers.emplace_back(name, value);
        }
        return headers;
    }

    void onEnd(const ExchangePtr &exchange, const CallEnd &end)
    {
        exchange->callId = 0;
        if (end.outcome == CallOutcome::whole)
            return this->onComplete(exchange);
        const TimePoint now = bootNow();
        logInfo("attempt failed",
                { { "request", exchange->metadata.id },
                  { "upstream", exchange->upstream },
                  { "sent", end.outcome != CallOutcome::unsent },
                  { "passedOn", exchange->lifecycle.hasForwarded() },
                  { "begun", exchange->lifecycle.hasResponseBegun() },
                  { "closedByUpstream", end.isServerClose },
                  { "segments", exchange->metadata.promptSegments },
                  { "requestDigest", end.isServerClose ? suspectsOf(*exchange).back() : "" },
                  { "discardedBytes", end.discardedBytes },
                  { "detail", end.detail } });
        if (end.isServerClose)
            this->onClosedByUpstream(*exchange, now);
        if (end.outcome == CallOutcome::unsent && end.detail == "connection-limit")
            this->selector.onRefused(exchange->upstream, now);
        else
            this->selector.onEnded(exchange->upstream, true, now);
        if (end.outcome == CallOutcome::unsent)
            this->applyDecision(exchange,
                                exchange->lifecycle.onAttemptNotRun("not-reached", false, now));
        else
            this->applyDecision(exchange,
                                exchange->lifecycle.onAttemptBroken("upstream-broke", now));
    }

    /// An upstream that closes the connection before the answer has begun may have crashed on the
    /// request.
    void onClosedByUpstream(Exchange &exchange, TimePoint now)
    {
        if (exchange.lifecycle.hasResponseBegun()) {
            ++this->counters.closedAfterBegin;
            return;
        }
        ++this->counters.closedBeforeBegin;
        const CrashReport report = this->quarantine.onCrash(exchange.upstream, exchange.metadata.id,
                                                            suspectsOf(exchange), now);
        if (!report.suspects.empty())
            this->viewReader.sendToAll(report);
    }

    /// Reason why a complete answer with a success status is not what the request asked for; empty
    /// for none.
    static std::string successProblem(const Exchange &exchange)
    {
        if (!exchange.answer.hasServerStamp)
            return "no-stamp";
        if (exchange.answer.isEncoded)
            return "encoded";
        if (exchange.isStreamed && exchange.events.partialBytes() > 0)
            return "partial-event";
        if (exchange.isStreamed && !exchange.events.hasReachedPosition())
            return "other-position";
        return "";
    }

    /// Handles a complete answer of an upstream.
    void onComplete(const ExchangePtr &exchange)
    {
        const TimePoint now = bootNow();
        const int status = exchange->head.status;
        const bool isRefusal = exchange->answer.isNotRun || status == kMisdirectedRequest;
        if (isRefusal) {
            logInfo("upstream refused", { { "request", exchange->metadata.id },
                                          { "upstream", exchange->upstream },
                                          { "status", status } });
            this->selector.onRefused(exchange->upstream, now);
            return this->applyDecision(
                    exchange, exchange->lifecycle.onAttemptNotRun("upstream-refused", true, now));
        }
        if (!isSuccess(status))
            return this->onFailure(exchange, now);
        const std::string problem = successProblem(*exchange);
        this->selector.onEnded(exchange->upstream, !problem.empty(), now);
        if (!problem.empty()) {
            this->recordUnusableAnswer(*exchange, problem);
            return this->applyDecision(exchange,
                                       exchange->lifecycle.onAttemptBroken("answer-spoiled", now));
        }
        if (exchange->isStreamed) {
            this->startStream(*exchange);
            exchange->reply->finish();
            this->learnOutputLength(*exchange);
        } else {
            if (!exchange->service->engine)
                this->learnSpeed(*exchange);
            this->onAnswerBegun(*exchange);
            exchange->firstByteAt = now;
            exchange->reply->send(status, "", exchange->body, forwardedHeaders(exchange->head));
        }
        exchange->lifecycle.onComplete();
        this->finishExchange(exchange, status, "whole");
    }

    /// Handles a failure status of an upstream: sends the request to another upstream when the
    /// lifecycle and the retry budget allow another attempt, otherwise forwards the status to the
    /// client.
    void onFailure(const ExchangePtr &exchange, TimePoint now)
    {
        const int status = exchange->head.status;
        this->selector.onEnded(exchange->upstream, status >= 500, now);
        const LifecycleDecision decision = exchange->lifecycle.onFailureStatus(status, now);
        if (exchange->lifecycle.hasForwarded())
            return this->applyDecision(
                    exchange, exchange->lifecycle.onAttemptBroken("failure-on-resume", now));
        if (decision.step == NextStep::choose && this->retryElsewhere(exchange, now))
            return;
        // At this point the request may have run. A status that guarantees that the request has not
        // run would mislead the client and is replaced by 502.
        const bool isMisleading = guaranteesNotRun(status);
        const HttpHeaders headers = forwardedHeaders(exchange->head);
        exchange->reply->send(isMisleading ? kBadGateway : status, "", exchange->body,
                              isMisleading ? this->protocol.withoutServerStamp(headers) : headers);
        exchange->lifecycle.onComplete();
        this->finishExchange(exchange, isMisleading ? kBadGateway : status, "upstream-failure");
    }

    /// Sends a failed request to another upstream. Returns false when no upstream is available or
    /// the retry budget is empty.
    bool retryElsewhere(const ExchangePtr &exchange, TimePoint now)
    {
        if (!this->mayAttempt(*exchange))
            return false;
        // The failure status in hand must be answered at once, without the wait for a permit.
        SelectionQuery query = this->selectionQuery(*exchange, now, false);
        query.mayNeedPermit = false;
        query.isNew = false;
        const Selection selection = this->selector.choose(query, now);
        if (selection.upstream.empty() || !this->retryBudgets.take(exchange->service->name, now))
            return false;
        logInfo("upstream chosen again", { { "request", exchange->metadata.id },
                                           { "attempt", exchange->lifecycle.attempts() + 1 },
                                           { "upstream", selection.upstream },
                                           { "failedStatus", exchange->head.status } });
        ++this->counters.retries;
        this->send(exchange, selection, now);
        return true;
    }

    void applyDecision(const ExchangePtr &exchange, const LifecycleDecision &decision)
    {
        switch (decision.step) {
        case NextStep::wait:
        case NextStep::done:
            return;
        case NextStep::choose:
            return this->chooseAndSend(exchange);
        case NextStep::resume:
            return this->chooseAndSend(exchange, true);
        case NextStep::answer:
            return this->sendGatewayAnswer(exchange, decision);
        case NextStep::closeConnection:
            exchange->reply->abort();
            return this->finishExchange(exchange, 0, decision.reason);
        }
    }

    void sendGatewayAnswer(const ExchangePtr &exchange, const LifecycleDecision &decision)
    {
        HttpHeaders headers = this->protocol.gatewayAnswerHeaders(exchange->metadata.id);
        if (decision.notRun)
            headers.emplace_back("Retry-After", secondsText(exchange->retryAfter));
        exchange->reply->send(decision.status, "", "", headers);
        this->finishExchange(exchange, decision.status, decision.reason);
    }

    /// Ends an exchange and records its outcome in metrics and log.
    void finishExchange(const ExchangePtr &exchange, int status, const std::string &outcome)
    {
        this->exchanges.erase(exchange);
        this->answerBuffers.set(exchange, 0);
        const TimePoint now = bootNow();
        const auto msSinceArrival = [&](TimePoint at) {
            return std::chrono::duration_cast<Milliseconds>(at - exchange->arrivedAt).count();
        };
        ++this->counters.answers[outcome];
        if (exchange->firstByteAt)
            this->firstByteTimes[exchange->service->name].add(*exchange->firstByteAt
                                                              - exchange->arrivedAt);
        this->answerTimes[exchange->service->name].add(now - exchange->arrivedAt);
        logInfo("request ended",
                { { "request", exchange->metadata.id },
                  { "route", exchange->route->name },
                  { "service", exchange->service->name },
                  { "document", exchange->plan->plan().number },
                  { "upstream", exchange->upstream },
                  { "attempts", exchange->lifecycle.attempts() },
                  { "status", status },
                  { "outcome", outcome },
                  { "firstMs",
                    exchange->firstByteAt ? msSinceArrival(*exchange->firstByteAt) : -1 },
                  { "waitedBeforeMs", exchange->earlierWait.count() },
                  { "promptTokens", exchange->metadata.promptTokens },
                  { "expectedOutputTokens", exchange->cost.outputTokens },
                  { "events", exchange->events.returnedEvents() },
                  { "ms", msSinceArrival(now) } });
    }

    /// Handles the client's disconnection. The attempt is cancelled, unless the request may run
    /// only once: such an attempt continues, and its answer is discarded.
    void onClientGone(const ExchangePtr &exchange)
    {
        if (exchange->lifecycle.isOver())
            return;
        exchange->lifecycle.onClientDisconnected();
        ++this->counters.clientDisconnects;
        this->abandonPermit(*exchange);
        if (exchange->route->kind != RequestKind::once)
            this->cancelAttempt(*exchange);
        this->finishExchange(exchange, 0, "client-gone");
    }

    /// Cancels the attempt in flight.
    void cancelAttempt(Exchange &exchange)
    {
        this->abandonPermit(exchange);
        if (exchange.callId == 0)
            return;
        this->upstreamCalls.cancel(std::exchange(exchange.callId, 0));
        this->selector.onEnded(exchange.upstream, false, bootNow());
    }

    void endOverdueExchanges()
    {
        const TimePoint now = bootNow();
        std::vector<ExchangePtr> overdue;
        std::ranges::copy_if(this->exchanges, std::back_inserter(overdue),
                             [now](const auto &each) { return now >= each->lifecycle.deadline(); });
        for (const ExchangePtr &exchange : overdue) {
            const LifecycleDecision decision = exchange->lifecycle.onDeadline();
            this->cancelAttempt(*exchange);
            this->applyDecision(exchange, decision);
        }
    }

    /// Withdraws requests that were sent to an upstream whose weights version, at the time of the
    /// choice, is older than the version now required. A request is not withdrawn once a part of
    /// the answer has arrived.
    void withdrawFromOutdatedUpstreams()
    {
        const TimePoint now = bootNow();
        std::vector<ExchangePtr> outdated;
        std::ranges::copy_if(
                this->exchanges, std::back_inserter(outdated), [&](const ExchangePtr &each) {
                    if (each->callId == 0 || each->chosenVersion == 0
                        || each->lifecycle.hasResponseBegun())
                        return false;
                    const auto deadlines =
                            this->versionDeadlines.find(each->service->engine->model);
                    return deadlines != this->versionDeadlines.end()
                           && each->chosenVersion < deadlines->second.requirement(now).minimum;
                });
        for (const ExchangePtr &exchange : outdated) {
            logInfo("request withdrawn from upstream", { { "request", exchange->metadata.id },
                                                         { "upstream", exchange->upstream },
                                                         { "version", exchange->chosenVersion } });
            this->cancelAttempt(*exchange);
            this->applyDecision(exchange,
                                exchange->lifecycle.onAttemptBroken("weights-outdated", bootNow()));
        }
    }

    const NodeSettings settings;
    const GatewayProtocol protocol;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ViewReader viewReader;
    UpstreamSelector selector;
    OutputLengths outputLengths;
    OverloadControl overloadControl;
    ServerSpeeds serverSpeeds;
    GatewayRetryBudgets retryBudgets;
    PieceRelay pieceRelay;
    HttpPool upstreamCalls;
    HttpFrontend frontend;
    PlanIndexPtr plan;
    CrashQuarantine quarantine;
    std::uint64_t quarantineNumber{ 0 }; ///< number of the quarantine text in force
    std::map<std::string, VersionDeadlines> versionDeadlines; ///< by model
    std::set<ExchangePtr> exchanges;
    /// Answers and events that aren't complete yet, with their heads.
    BufferBudget<ExchangePtr> answerBuffers{ BufferBudgetOptions{
            .maxBytesTotal = answerLimits(this->settings.memoryMb).maxBytes } };
    std::map<std::uint64_t, PermitWait> permitWaits; ///< by id of the permit request
    std::uint64_t lastPermitId{ 0 };
    std::mt19937_64 randomGenerator{ randomSeed() };
    GatewayCounters counters;
    std::map<std::string, LatencyHistogram> firstByteTimes; ///< by service, to the first byte
    std::map<std::string, LatencyHistogram> answerTimes; ///< by service, to the end of the answer
    std::optional<PlannedStop> plannedStop;              ///< set when a planned stop begins
    bool wasStateConfirmed{ false };                     ///< result of the last check of the lease
};

Gateway::Gateway(const NodeSettings &settings, GatewayProtocol protocol)
    : impl(std::make_shared<Impl>(settings, std::move(protocol)))
{}

Gateway::~Gateway() = default;

bool Gateway::start(std::string &problem)
{
    return this->impl->start(problem);
}

bool Gateway::isReady() const
{
    return this->impl->isReady();
}

bool Gateway::drain()
{
    return this->impl->drain();
}

void Gateway::stop()
{
    this->impl->stop();
}

void Gateway::addSeeds(const std::vector<std::string> &seeds)
{
    this->impl->addSeeds(seeds);
}

std::string Gateway::metricsText() const
{
    return this->impl->metricsText();
}

asio::io_context &Gateway::context()
{
    return this->impl->context();
}

} // namespace egret
