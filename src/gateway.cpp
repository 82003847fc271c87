#include "gateway.h"

#include "clock.h"
#include "http_front.h"
#include "http_pool.h"
#include "latency.h"
#include "link.h"
#include "log.h"
#include "node_options.h"
#include "numbered_events.h"
#include "piece_relay.h"
#include "program.h"
#include "registry_node.h"
#include "request_lifecycle.h"
#include "retry_budget.h"
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

constexpr Milliseconds kDeadlineTick = 50ms;
constexpr Milliseconds kRelayTick = 5ms;
/// Share of the machine's link for pieces of weights; clients' answers use the rest.
constexpr double kRelayShare = 0.5;
/// The balancer asks once a second and forgets an instance after two misses;
/// clients that it sends meanwhile are still served.
constexpr Milliseconds kStopLag = 2500ms;
/// From then on a stopping instance refuses: a stream that began later would not
/// end within the grace time.
constexpr Milliseconds kStopAccepting = 3s;
/// A planned stop ends this long before the kill.
constexpr Milliseconds kStopMargin = 500ms;
constexpr Milliseconds kDrainPoll = 50ms;
/// Comes back after the next view is due.
constexpr Milliseconds kRetryUnknown = 500ms;
constexpr Milliseconds kRetryRefused = 250ms;
/// An upstream across regions accepts within a few milliseconds; one lost
/// opening packet would cost a second, another upstream costs less.
constexpr Milliseconds kConnectTimeout = 300ms;
/// Share of the shared retry slack that all gateways together use.
constexpr double kSlackShare = 0.8;
/// Share of the shared retry ratio, as above.
constexpr double kRatioShare = 0.75;
/// A client that has waited past its objective already gets what is left over:
/// this share of the objective for its first event.
constexpr double kLateShare = 0.6;
/// Clients give each request a time of their own, shorter than its route's by up
/// to this share: only one with less left has asked before.
constexpr double kOwnTimeSpread = 0.15;
constexpr double kBytesPerMegabit = 125000;
constexpr double kThousand = 1000;
/// Bytes that a slow client may leave unread.
constexpr std::size_t kMaxPending = 1U << 20U;
constexpr std::size_t kMaxBuffered = 16U << 20U;
constexpr int kMaxPriority = 9;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

/// Statuses that promise that a request has not run and never will.
bool promisesNotRun(int status)
{
    return status == 408 || status == kMisdirected || status == 429 || status == kUnavailable;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// One client's request from its arrival to its answer.
struct Exchange
{
    Exchange(RequestLifecycle lifecycle, RequestMetadata facts)
        : facts(std::move(facts)), lifecycle(std::move(lifecycle)), events(this->facts.lastEvent)
    {}

    HttpRequest request;
    RequestMetadata facts;
    FrontReplyPtr reply;
    PlanIndexPtr plan;
    const PlanRoute *route{ nullptr };
    const PlanCustomer *customer{ nullptr };
    const PlanService *service{ nullptr };
    RequestLifecycle lifecycle;
    TimePoint arrivedAt;
    Milliseconds waitedBefore{ 0 }; ///< at the client, in attempts before this one

    // The present attempt.
    std::uint64_t call{ 0 };
    std::string upstream;
    std::uint64_t sentVersion{ 0 }; ///< of the weights that the upstream had
    HttpHead head;
    AnswerMetadata answer;
    std::string body;
    bool streams{ false }; ///< the answer is passed on as it comes

    // The whole answer.
    NumberedEvents events;
    std::uint64_t version{ 0 };
    std::optional<TimePoint> firstAt;
    Milliseconds retryAfter{ kRetryRefused };
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct GatewayCounters
{
    std::map<std::string, std::uint64_t> answers; ///< by outcome
    std::uint64_t repeats{ 0 };
    std::uint64_t resumes{ 0 };
    std::uint64_t gone{ 0 };
    std::uint64_t piecesRelayed{ 0 };
};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string secondsText(Milliseconds time)
{
    std::string text = std::to_string(static_cast<double>(time.count()) / 1000.0);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl>
{
public:
    Impl(const NodeSettings &settings, GatewayProtocol dialect)
        : settings(settings), dialect(std::move(dialect)), incarnation(newIncarnation()), pool(1),
          hub(this->pool, nodeHubOptions(settings, Role::entry, this->incarnation),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->onDown(link); } }),
          reader(settings, true, this->hub,
                 { .stateChanged = [this] { this->onState(); },
                   .upstreamChanged =
                           [this](const UpstreamRecord &record) { this->onUpstream(record); } }),
          upstreams(choiceOptions(settings), randomSeed()),
          relay({ .bytesPerMs = settings.linkMbps * kBytesPerMegabit / kThousand * kRelayShare }),
          calls(this->pool.context()),
          front(this->pool.context(), { .listen = *Endpoint::parse(settings.clientAddress) },
                [this](HttpRequest &&request, const FrontReplyPtr &reply) {
                    this->handle(std::move(request), reply);
                })
    {}

    bool start(std::string &problem)
    {
        Reason<std::error_code> reason;
        if (!this->hub.listen(reason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + reason.code.message();
            return false;
        }
        if (!this->front.start(reason)) {
            problem = this->settings.clientAddress + ": " + reason.code.message();
            return false;
        }
        this->pool.every(kViewPollInterval, [this] { this->onViewTick(); });
        this->pool.every(kRelayTick, [this] { this->sendPieces(); });
        this->pool.every(kDeadlineTick, [this] {
            this->endLate();
            this->recallOutdated();
        });
        return true;
    }

    bool isReady() const
    {
        return !this->stopping && this->plan != nullptr
               && this->reader.view().isConfirmed(bootNow());
    }

    bool drain()
    {
        const TimePoint begin = bootNow();
        this->pool.run([this, begin] {
            this->stopBegan = begin;
            this->stopping = true;
            this->front.refuseReuse();
            logInfo("planned stop begins", { { "inFlight", this->front.unanswered() } });
        });
        const TimePoint giveUp = begin + this->settings.bounds.stopGrace - kStopMargin;
        std::size_t left = 0;
        do {
            std::this_thread::sleep_for(kDrainPoll);
            this->pool.run([this, &left, begin] {
                if (bootNow() >= begin + kStopLag)
                    this->front.closeIdle();
                left = this->front.unanswered();
            });
        } while (bootNow() < giveUp && (left > 0 || bootNow() < begin + kStopLag));
        if (left > 0)
            logWarn("planned stop cuts requests off", { { "cutOff", left } });
        return left == 0;
    }

    void stop()
    {
        this->pool.run([this] { this->front.stop(); });
        this->hub.shutdown();
        this->pool.stop();
    }

    void addSeeds(const std::vector<std::string> &seeds)
    {
        std::vector<std::string> endpoints;
        endpoints.reserve(seeds.size());
        for (const std::string &seed : seeds)
            endpoints.push_back(linkEndpointOf(this->settings, seed));
        this->reader.addRegistries(endpoints);
    }

    std::string metricsText() const
    {
        std::string text;
        const auto line = [&text](const std::string &name, std::uint64_t value) {
            text += "egret_" + name + " " + std::to_string(value) + "\n";
        };
        for (const auto &[outcome, count] : this->counters.answers)
            line("answers_total{outcome=\"" + outcome + "\"}", count);
        line("requests_repeated_total", this->counters.repeats);
        line("streams_resumed_total", this->counters.resumes);
        line("clients_gone_total", this->counters.gone);
        line("pieces_relayed_total", this->counters.piecesRelayed);
        line("requests_in_flight", this->exchanges.size());
        line("upstreams", this->upstreams.size());
        const PoolCounters &outbound = this->calls.counters();
        line("upstream_connections_opened_total", outbound.opened);
        line("upstream_connections_reused_total", outbound.reused);
        line("upstream_connections_failed_total", outbound.failed);
        line("answers_skipped_total", outbound.skipped);
        line("answers_with_surplus_total", outbound.surplus);
        line("document_number", this->plan ? this->plan->plan().number : 0);
        for (const auto &[route, histogram] : this->firstTimes)
            histogram.print(text, "egret_first_byte_seconds", "service=\"" + route + "\"");
        for (const auto &[route, histogram] : this->wholeTimes)
            histogram.print(text, "egret_answer_seconds", "service=\"" + route + "\"");
        return text;
    }

    asio::io_context &context() { return this->pool.context(); }

private:
    static SelectorOptions choiceOptions(const NodeSettings &settings)
    {
        SelectorOptions options{ .zone = settings.zone };
        for (const ZoneRegion &each : settings.regions)
            options.regions[each.zone] = each.region;
        return options;
    }

    // What the gateway knows.

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *view = std::get_if<View>(&frame.message))
            this->reader.onView(link, *view);
        else if (const auto *notice = std::get_if<LoadNotice>(&frame.message))
            this->upstreams.onLoadNotice(*notice, bootNow());
        else if (const auto *piece = std::get_if<BlockReply>(&frame.message))
            this->onPiece(link, *piece);
        else if (std::holds_alternative<Have>(frame.message))
            this->relay.onAcknowledged(link->target());
    }

    /// Takes a piece of weights that a stager of the own zone has for the others.
    void onPiece(const LinkPtr &link, const BlockReply &piece)
    {
        std::vector<std::string> receivers;
        for (const auto &[id, record] : this->reader.view().upstreams().all()) {
            const std::string stager = linkEndpointOf(this->settings, record.endpoint);
            const bool isOther = !record.model.empty() && record.zone == this->settings.zone
                                 && stager != link->target();
            if (isOther && record.notice != AnnouncedState::gone && !record.isQuiet)
                receivers.push_back(stager);
        }
        this->relay.onPiece(piece, receivers, bootNow());
        this->sendPieces();
    }

    void sendPieces()
    {
        const TimePoint now = bootNow();
        while (const auto copy = this->relay.next(now)) {
            ++this->counters.piecesRelayed;
            this->hub.send(copy->to, Channel::serve, *copy->piece);
        }
    }

    void onDown(const LinkPtr &link) { this->reader.onDown(link); }

    void onViewTick()
    {
        this->reader.tick();
        this->upstreams.setGateways(this->reader.view().gateways());
        this->keepStagerLinks();
        const bool isConfirmed = this->reader.view().isConfirmed(bootNow());
        if (isConfirmed != std::exchange(this->wasConfirmed, isConfirmed))
            logInfo(isConfirmed ? "operators' state is confirmed"
                                : "operators' state is no longer confirmed",
                    { { "index", this->reader.view().state().index } });
    }

    void onState()
    {
        const OperatorState &state = this->reader.view().state();
        this->upstreams.setZonesOut(state.zonesOut);
        for (const NumberedText &text : state.texts) {
            if (text.name == kDocumentText)
                this->takeDocument(text);
            else if (text.name.starts_with(kWeightsTextPrefix))
                this->takeVersion(text);
        }
    }

    void takeDocument(const NumberedText &text)
    {
        if (this->plan && this->plan->plan().number >= text.number)
            return;
        std::string problem;
        auto parsed = this->dialect.parsePlan(text.text, problem);
        if (!parsed)
            return logError("document in force can't be read",
                            { { "number", text.number }, { "problem", problem } });
        this->plan = std::make_shared<const PlanIndex>(std::move(*parsed));
        this->front.setBounds(this->plan->plan().bounds);
        logInfo("document is in force", { { "number", text.number },
                                          { "routes", this->plan->plan().routes.size() },
                                          { "index", this->reader.view().state().index } });
    }

    void takeVersion(const NumberedText &text)
    {
        const std::string model = text.name.substr(std::string_view(kWeightsTextPrefix).size());
        const auto inForceSince = this->reader.view().inForceSince(text.name);
        VersionDeadlines &duty =
                this->duties.try_emplace(model, this->settings.bounds.version).first->second;
        const bool isNews = duty.onVersionInForce(text.number, inForceSince);
        if (isNews)
            logInfo("weights version is named", { { "text", text.name },
                                                  { "number", text.number },
                                                  { "timeKnown", inForceSince.has_value() } });
    }

    void onUpstream(const UpstreamRecord &record)
    {
        this->upstreams.onRecord(record, bootNow());
        logInfo("upstream changed", { { "upstream", record.id },
                                      { "endpoint", record.endpoint },
                                      { "sequence", record.sequence },
                                      { "ready", record.notice == AnnouncedState::ready },
                                      { "gone", record.notice == AnnouncedState::gone },
                                      { "quiet", record.isQuiet },
                                      { "version", record.version } });
        if (record.notice == AnnouncedState::gone) {
            if (const auto endpoint = Endpoint::parse(record.endpoint))
                this->calls.forget(*endpoint);
        }
    }

    /// Keeps a link to the stager beside each engine: over it load notices come.
    void keepStagerLinks()
    {
        for (const auto &[id, record] : this->reader.view().upstreams().all()) {
            if (record.notice == AnnouncedState::gone || record.model.empty() || record.isQuiet)
                continue;
            if (const auto endpoint =
                        Endpoint::parse(linkEndpointOf(this->settings, record.endpoint))) {
                const LinkPtr link = this->hub.open(*endpoint, Channel::serve);
                this->upstreams.setPath(record.endpoint, { .hasLink = link->established(),
                                                           .roundTrip = link->roundTrip() });
            }
        }
    }

    // Requests.

    void handle(HttpRequest &&request, const FrontReplyPtr &reply)
    {
        RequestMetadata facts = this->dialect.readRequest(request);
        const TimePoint now = bootNow();
        if (this->stopping && now >= this->stopBegan + kStopAccepting)
            return this->refuse(facts, *reply, kUnavailable, "stopping");
        // Step 1. What the document says of it.
        const bool isConfirmed = this->reader.view().isConfirmed(now);
        const PlanRoute *route =
                this->plan ? this->plan->route(headerValue(request.headers, "Host"), request.path)
                           : nullptr;
        if (!this->plan || (!isConfirmed && !(route != nullptr && route->isPublic)))
            return this->refuse(facts, *reply, kUnavailable,
                                this->plan ? "document-unconfirmed" : "no-document");
        if (route == nullptr)
            return this->refuse(facts, *reply, kNotFound, "no-route");
        const bool needsKey = !route->isPublic && this->plan->needsKeys();
        const PlanCustomer *customer =
                facts.key.empty() ? nullptr : this->plan->customer(facts.key);
        if (needsKey && customer == nullptr)
            return this->refuse(facts, *reply, kUnauthorized, "unknown-key");
        if (facts.id.empty())
            return this->refuse(facts, *reply, kBadRequest, "no-identity");
        // Step 2. Its life begins.
        const Milliseconds limit =
                std::min(route->timeout, facts.remaining.value_or(route->timeout));
        auto exchange = std::make_shared<Exchange>(
                RequestLifecycle({ .isIdempotent = route->kind == RequestKind::idempotent,
                                   .isStream = route->kind == RequestKind::stream,
                                   .isResumable = route->isResumable,
                                   .maxAttempts = std::max(1U, route->maxAttempts),
                                   .deadline = now + limit }),
                std::move(facts));
        exchange->waitedBefore = waitedBefore(route->timeout, limit);
        exchange->request = std::move(request);
        exchange->reply = reply;
        exchange->plan = this->plan;
        exchange->route = route;
        exchange->customer = customer;
        exchange->service = this->pickService(*exchange);
        exchange->arrivedAt = now;
        this->exchanges.insert(exchange);
        reply->onGone([this, weak = std::weak_ptr(exchange)] {
            if (const auto self = weak.lock())
                this->onGone(self);
        });
        this->budgetOf(exchange->service->name).onFirstSend();
        this->chooseAndSend(exchange);
    }

    /// Time that a client has probably spent on earlier attempts, by what it has left.
    static Milliseconds waitedBefore(Milliseconds timeout, Milliseconds left)
    {
        const Milliseconds used = timeout - left;
        if (used <= timeout * kOwnTimeSpread)
            return 0ms;
        return std::chrono::duration_cast<Milliseconds>(used - timeout * (kOwnTimeSpread / 2));
    }

    /// Draws one of a route's services by weight.
    const PlanService *pickService(const Exchange &exchange)
    {
        std::vector<double> weights;
        weights.reserve(exchange.route->targets.size());
        for (const PlanTarget &target : exchange.route->targets)
            weights.push_back(target.weight);
        std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
        return exchange.plan->service(exchange.route->targets[distribution(this->random)].service);
    }

    void refuse(const RequestMetadata &facts, FrontReply &reply, int status,
                const std::string &reason)
    {
        HttpHeaders headers = this->dialect.ownHeaders(facts.id);
        if (status == kUnavailable)
            headers.emplace_back("Retry-After", secondsText(kRetryUnknown));
        ++this->counters.answers[reason];
        logInfo("request refused", { { "request", facts.id },
                                     { "status", status },
                                     { "reason", reason },
                                     { "document", this->plan ? this->plan->plan().number : 0 } });
        reply.send(status, "", "", headers);
    }

    RetryBudget &budgetOf(const std::string &service)
    {
        const std::uint32_t gateways = this->reader.view().gateways();
        const double slack = this->settings.bounds.retrySlack * kSlackShare / gateways;
        const RetryBudgetOptions options{ .ratio = this->settings.bounds.retryRatio * kRatioShare,
                                          .reserve = slack,
                                          .maxBalance = slack };
        if (gateways != std::exchange(this->budgetGateways, gateways)) {
            for (auto &[name, budget] : this->budgets)
                budget.setOptions(options);
        }
        return this->budgets.try_emplace(service, options).first->second;
    }

    SelectionQuery queryOf(const Exchange &exchange, TimePoint now, bool isResume)
    {
        SelectionQuery query{ .service = exchange.service->name,
                              .plan = exchange.service,
                              .promptTokens = exchange.facts.promptTokens,
                              .routeRegions = &exchange.route->regions,
                              .excluded = exchange.lifecycle.attemptedUpstreams(),
                              .exactVersion = isResume ? exchange.version : 0,
                              .mayRunTwice = exchange.route->kind != RequestKind::once };
        if (exchange.customer != nullptr)
            query.customerRegions = &exchange.customer->regions;
        if (!exchange.service->engine)
            return query;
        const auto duty = this->duties.find(exchange.service->engine->model);
        if (duty != this->duties.end())
            query.version = duty->second.requirement(now);
        if (!isResume)
            query.firstTokenLimit = firstTokenLimit(exchange, now);
        return query;
    }

    /// Time in which the first event is of full use. One that is late in any
    /// case gets a place only where it keeps no other from being in time.
    static Milliseconds firstTokenLimit(const Exchange &exchange, TimePoint now)
    {
        const Milliseconds objective = exchange.route->objective;
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - exchange.arrivedAt);
        const Milliseconds left = objective - waited - exchange.waitedBefore;
        if (left > 0ms)
            return left;
        return std::chrono::duration_cast<Milliseconds>(objective * kLateShare);
    }

    void chooseAndSend(const ExchangePtr &exchange, bool isResume = false)
    {
        const TimePoint now = bootNow();
        if (exchange->lifecycle.attempts() > 0 && !this->budgetOf(exchange->service->name).take())
            return this->act(exchange, exchange->lifecycle.onRetryBudgetExhausted());
        const SelectionQuery query = this->queryOf(*exchange, now, isResume);
        const Selection choice = this->upstreams.choose(query, now);
        if (choice.upstream.empty()) {
            exchange->retryAfter = choice.retryAfter;
            logInfo("no upstream can take the request",
                    { { "request", exchange->facts.id },
                      { "reason", noUpstreamReasonName(choice.problem) },
                      { "known", this->upstreams.size() },
                      { "leastVersion", query.version.minimum },
                      { "exactVersion", query.exactVersion },
                      { "firstWithinMs", query.firstTokenLimit.value_or(0ms).count() },
                      { "expectedMs", choice.expectedFirstToken.count() },
                      { "retryAfterMs", choice.retryAfter.count() } });
            return this->act(exchange, exchange->lifecycle.onNoUpstream(
                                               noUpstreamReasonName(choice.problem)));
        }
        logInfo("upstream chosen", { { "request", exchange->facts.id },
                                     { "attempt", exchange->lifecycle.attempts() + 1 },
                                     { "upstream", choice.upstream },
                                     { "load", choice.load },
                                     { "noticeAgeMs", choice.noticeAge.count() },
                                     { "expectedMs", choice.expectedFirstToken.count() },
                                     { "version", choice.version } });
        if (isResume)
            ++this->counters.resumes;
        else if (exchange->lifecycle.attempts() > 0)
            ++this->counters.repeats;
        this->send(exchange, choice, now);
    }

    void send(const ExchangePtr &exchange, const Selection &choice, TimePoint now)
    {
        exchange->upstream = choice.upstream;
        exchange->sentVersion = exchange->service->engine ? choice.version : 0;
        exchange->head = {};
        exchange->answer = {};
        exchange->body.clear();
        exchange->streams = false;
        exchange->events.begin();
        exchange->lifecycle.onSend(choice.upstream);
        this->upstreams.onSent(choice.upstream, exchange->facts.promptTokens, now);
        const auto isCurrent = [exchange, upstream = choice.upstream] {
            return !exchange->lifecycle.isOver() && exchange->upstream == upstream;
        };
        OutboundCall call{
            .to = choice.endpoint,
            .head = this->requestHead(*exchange, choice, now),
            .body = exchange->request.body,
            .answersHead = exchange->request.method == "HEAD",
            .mayRunTwice = exchange->route->kind != RequestKind::once,
            .maxConnections = choice.maxConnections,
            .connectTimeout = kConnectTimeout,
            .isOurs =
                    [this, id = exchange->facts.id](const HttpHead &head) {
                        const AnswerMetadata facts = this->dialect.readAnswer(head);
                        return facts.id == id || (facts.id.empty() && !isSuccess(head.status));
                    },
            .onHead =
                    [this, exchange, isCurrent](const HttpHead &head) {
                        if (isCurrent())
                            this->onHead(exchange, head);
                    },
            .onBody =
                    [this, exchange, isCurrent](std::string &&part) {
                        if (isCurrent())
                            this->onBody(exchange, std::move(part));
                    },
            .onEnd =
                    [this, exchange, isCurrent, upstream = choice.upstream](const CallEnd &end) {
                        if (isCurrent())
                            this->onEnd(exchange, end);
                        else
                            this->upstreams.onEnded(upstream, false, bootNow());
                    },
        };
        exchange->call = this->calls.start(std::move(call));
    }

    std::string requestHead(const Exchange &exchange, const Selection &choice, TimePoint now) const
    {
        const PlanCustomer *customer = exchange.customer;
        const std::uint32_t priority = customer != nullptr && customer->priority
                                               ? *customer->priority
                                               : exchange.route->priority;
        const ForwardMetadata facts{ .upstream = choice.upstream,
                                     .customer = customer == nullptr ? "" : customer->name,
                                     .remaining = std::chrono::duration_cast<Milliseconds>(
                                             exchange.lifecycle.deadline() - now),
                                     .priority = std::min<std::uint32_t>(priority, kMaxPriority),
                                     .lastEvent = exchange.events.lastNumber(),
                                     .version = exchange.lifecycle.hasForwarded() ? exchange.version
                                                                                  : 0 };
        const HttpRequest &request = exchange.request;
        std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : this->dialect.upstreamHeaders(request, facts))
            head += name + ": " + value + "\r\n";
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT"
            || request.method == "PATCH")
            head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        return head + "\r\n";
    }

    // Answers.

    void onHead(const ExchangePtr &exchange, const HttpHead &head)
    {
        exchange->head = head;
        exchange->answer = this->dialect.readAnswer(head);
        const bool isGood =
                isSuccess(head.status) && exchange->answer.isMarked && !exchange->answer.isEncoded;
        const bool isOther = exchange->lifecycle.hasForwarded() && exchange->version != 0
                             && exchange->answer.version != exchange->version;
        exchange->streams = isGood && exchange->route->kind == RequestKind::stream && !isOther;
        if (exchange->lifecycle.hasForwarded() && isSuccess(head.status) && !exchange->streams) {
            this->calls.cancel(exchange->call);
            this->upstreams.onEnded(exchange->upstream, false, bootNow());
            this->act(exchange, exchange->lifecycle.onAttemptBroken("other-weights", bootNow()));
        }
    }

    void onBody(const ExchangePtr &exchange, std::string &&part)
    {
        if (!exchange->streams) {
            exchange->body += part;
            if (exchange->body.size() > kMaxBuffered) {
                this->calls.cancel(exchange->call);
                this->upstreams.onEnded(exchange->upstream, true, bootNow());
                this->act(exchange,
                          exchange->lifecycle.onAttemptBroken("answer-too-large", bootNow()));
            }
            return;
        }
        const std::string events = exchange->events.take(part);
        if (events.empty())
            return;
        this->beginStream(*exchange);
        exchange->reply->write(events);
        if (exchange->reply->pendingBytes() > kMaxPending) {
            logWarn("client reads too slowly", { { "request", exchange->facts.id } });
            exchange->reply->abort();
            this->onGone(exchange);
        }
    }

    /// Passes on the head of a streamed answer, once.
    void beginStream(Exchange &exchange)
    {
        const bool isResumed = exchange.lifecycle.hasForwarded();
        exchange.lifecycle.onForwarded();
        if (isResumed)
            return;
        exchange.version = exchange.answer.version;
        exchange.firstAt = bootNow();
        exchange.reply->start(exchange.head.status, "", passedHeaders(exchange.head));
    }

    static HttpHeaders passedHeaders(const HttpHead &head)
    {
        const std::string connection = headerValue(head.headers, "Connection");
        HttpHeaders headers;
        for (const auto &[name, value] : head.headers) {
            if (!isConnectionHeader(name, connection) && !sameHeader(name, "Content-Length"))
                headers.emplace_back(name, value);
        }
        return headers;
    }

    void onEnd(const ExchangePtr &exchange, const CallEnd &end)
    {
        exchange->call = 0;
        if (end.outcome == CallOutcome::whole)
            return this->onComplete(exchange);
        const TimePoint now = bootNow();
        logInfo("attempt failed", { { "request", exchange->facts.id },
                                    { "upstream", exchange->upstream },
                                    { "sent", end.outcome != CallOutcome::unsent },
                                    { "passedOn", exchange->lifecycle.hasForwarded() },
                                    { "detail", end.detail } });
        if (end.outcome == CallOutcome::unsent && end.detail == "connection-limit")
            this->upstreams.onRefused(exchange->upstream, now);
        else
            this->upstreams.onEnded(exchange->upstream, true, now);
        if (end.outcome == CallOutcome::unsent)
            this->act(exchange, exchange->lifecycle.onAttemptNotRun("not-reached", false, now));
        else
            this->act(exchange, exchange->lifecycle.onAttemptBroken("upstream-broke", now));
    }

    /// The upstream's whole answer is here.
    void onComplete(const ExchangePtr &exchange)
    {
        const TimePoint now = bootNow();
        const int status = exchange->head.status;
        const bool isRefusal = exchange->answer.isNotRun || status == kMisdirected;
        if (isRefusal) {
            logInfo("upstream refused", { { "request", exchange->facts.id },
                                          { "upstream", exchange->upstream },
                                          { "status", status } });
            this->upstreams.onRefused(exchange->upstream, now);
            return this->act(exchange,
                             exchange->lifecycle.onAttemptNotRun("upstream-refused", true, now));
        }
        if (!isSuccess(status))
            return this->onFailure(exchange, now);
        const bool isSpoiled = !exchange->answer.isMarked || exchange->answer.isEncoded
                               || (exchange->streams && exchange->events.hasPartialEvent());
        this->upstreams.onEnded(exchange->upstream, isSpoiled, now);
        if (isSpoiled)
            return this->act(exchange, exchange->lifecycle.onAttemptBroken("answer-spoiled", now));
        if (exchange->streams) {
            this->beginStream(*exchange);
            exchange->reply->finish();
        } else {
            exchange->firstAt = now;
            exchange->reply->send(status, "", exchange->body, passedHeaders(exchange->head));
        }
        exchange->lifecycle.onComplete();
        this->conclude(exchange, status, "whole");
    }

    /// The upstream's own failure goes to the client unless the request may be repeated.
    void onFailure(const ExchangePtr &exchange, TimePoint now)
    {
        const int status = exchange->head.status;
        this->upstreams.onEnded(exchange->upstream, status >= 500, now);
        const LifecycleDecision decision = exchange->lifecycle.onFailureStatus(status, now);
        if (exchange->lifecycle.hasForwarded())
            return this->act(exchange,
                             exchange->lifecycle.onAttemptBroken("failure-on-resume", now));
        if (decision.step == NextStep::choose && this->repeatsElsewhere(exchange, now))
            return;
        // A status that would promise "not run" must not be given to what may have run.
        const bool isUntrue = promisesNotRun(status);
        const HttpHeaders headers = passedHeaders(exchange->head);
        exchange->reply->send(isUntrue ? kBadGateway : status, "", exchange->body,
                              isUntrue ? this->dialect.withoutMark(headers) : headers);
        exchange->lifecycle.onComplete();
        this->conclude(exchange, isUntrue ? kBadGateway : status, "upstream-failure");
    }

    /// Sends a failed request to another upstream; false where there is none, or no
    /// budget for it.
    bool repeatsElsewhere(const ExchangePtr &exchange, TimePoint now)
    {
        const Selection choice = this->upstreams.choose(this->queryOf(*exchange, now, false), now);
        if (choice.upstream.empty() || !this->budgetOf(exchange->service->name).take())
            return false;
        logInfo("upstream chosen again", { { "request", exchange->facts.id },
                                           { "attempt", exchange->lifecycle.attempts() + 1 },
                                           { "upstream", choice.upstream },
                                           { "failedStatus", exchange->head.status } });
        ++this->counters.repeats;
        this->send(exchange, choice, now);
        return true;
    }

    void act(const ExchangePtr &exchange, const LifecycleDecision &decision)
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
            return this->answer(exchange, decision);
        case NextStep::closeConnection:
            exchange->reply->abort();
            return this->conclude(exchange, 0, decision.reason);
        }
    }

    void answer(const ExchangePtr &exchange, const LifecycleDecision &decision)
    {
        HttpHeaders headers = this->dialect.ownHeaders(exchange->facts.id);
        if (decision.notRun)
            headers.emplace_back("Retry-After", secondsText(exchange->retryAfter));
        exchange->reply->send(decision.status, "", "", headers);
        this->conclude(exchange, decision.status, decision.reason);
    }

    /// Ends an exchange and writes down what became of it.
    void conclude(const ExchangePtr &exchange, int status, const std::string &outcome)
    {
        this->exchanges.erase(exchange);
        const TimePoint now = bootNow();
        const auto sinceArrival = [&](TimePoint at) {
            return std::chrono::duration_cast<Milliseconds>(at - exchange->arrivedAt).count();
        };
        ++this->counters.answers[outcome];
        if (exchange->firstAt)
            this->firstTimes[exchange->service->name].add(*exchange->firstAt - exchange->arrivedAt);
        this->wholeTimes[exchange->service->name].add(now - exchange->arrivedAt);
        logInfo("request ended",
                { { "request", exchange->facts.id },
                  { "route", exchange->route->name },
                  { "service", exchange->service->name },
                  { "document", exchange->plan->plan().number },
                  { "upstream", exchange->upstream },
                  { "attempts", exchange->lifecycle.attempts() },
                  { "status", status },
                  { "outcome", outcome },
                  { "firstMs", exchange->firstAt ? sinceArrival(*exchange->firstAt) : -1 },
                  { "waitedBeforeMs", exchange->waitedBefore.count() },
                  { "promptTokens", exchange->facts.promptTokens },
                  { "ms", sinceArrival(now) } });
    }

    /// The client has left: what may be dropped is dropped at once.
    void onGone(const ExchangePtr &exchange)
    {
        if (exchange->lifecycle.isOver())
            return;
        exchange->lifecycle.onGone();
        ++this->counters.gone;
        // An action that runs once goes on; its end is of use to nobody here.
        if (exchange->route->kind != RequestKind::once)
            this->dropAttempt(*exchange);
        this->conclude(exchange, 0, "client-gone");
    }

    /// Ends the attempt under way.
    void dropAttempt(Exchange &exchange)
    {
        if (exchange.call == 0)
            return;
        this->calls.cancel(std::exchange(exchange.call, 0));
        this->upstreams.onEnded(exchange.upstream, false, bootNow());
    }

    void endLate()
    {
        const TimePoint now = bootNow();
        std::vector<ExchangePtr> late;
        std::ranges::copy_if(this->exchanges, std::back_inserter(late),
                             [now](const auto &each) { return now >= each->lifecycle.deadline(); });
        for (const ExchangePtr &exchange : late) {
            const LifecycleDecision decision = exchange->lifecycle.onDeadline();
            this->dropAttempt(*exchange);
            this->act(exchange, decision);
        }
    }

    /// Takes back requests that have not begun where the weights' time is over.
    void recallOutdated()
    {
        const TimePoint now = bootNow();
        std::vector<ExchangePtr> outdated;
        std::ranges::copy_if(
                this->exchanges, std::back_inserter(outdated), [&](const ExchangePtr &each) {
                    if (each->call == 0 || each->sentVersion == 0 || each->lifecycle.hasBegun())
                        return false;
                    const auto duty = this->duties.find(each->service->engine->model);
                    return duty != this->duties.end()
                           && each->sentVersion < duty->second.requirement(now).minimum;
                });
        for (const ExchangePtr &exchange : outdated) {
            logInfo("request is taken back", { { "request", exchange->facts.id },
                                               { "upstream", exchange->upstream },
                                               { "version", exchange->sentVersion } });
            this->dropAttempt(*exchange);
            this->act(exchange, exchange->lifecycle.onAttemptBroken("weights-outdated", bootNow()));
        }
    }

    const NodeSettings settings;
    const GatewayProtocol dialect;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ViewReader reader;
    UpstreamSelector upstreams;
    PieceRelay relay;
    HttpPool calls;
    HttpFront front;
    PlanIndexPtr plan;
    std::map<std::string, VersionDeadlines> duties; ///< by model
    std::map<std::string, RetryBudget> budgets;     ///< by service
    std::uint32_t budgetGateways{ 0 };
    std::set<ExchangePtr> exchanges;
    std::mt19937_64 random{ randomSeed() };
    GatewayCounters counters;
    std::map<std::string, LatencyHistogram> firstTimes;
    std::map<std::string, LatencyHistogram> wholeTimes;
    std::atomic<bool> stopping{ false };
    TimePoint stopBegan;
    bool wasConfirmed{ false };
};

Gateway::Gateway(const NodeSettings &settings, GatewayProtocol dialect)
    : impl(std::make_shared<Impl>(settings, std::move(dialect)))
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
