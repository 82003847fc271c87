#include "request_forwarder.h"

#include "action_runner.h"
#include "digest.h"
#include "event_stream.h"
#include "log.h"
#include "prompt_prefix.h"
#include "retry_budget.h"
#include "route_queues.h"
#include "upstream_proxy.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace egret {

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr Seconds kRetryAfter = 1s;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxBufferedAnswerBytes = 8U << 20U;
/// Limit on the unsent bytes of a streamed answer. A stream whose client reads too slowly
/// ends at this limit.
constexpr std::size_t kMaxPendingAnswerBytes = 1U << 20U;
constexpr std::uint32_t kUrgentPriority = 0; ///< resumed streams and protected actions
constexpr std::uint32_t kNormalPriority = 1;
constexpr std::uint32_t kBackgroundPriority = 2;
/// Queue length in trials without admission control.
constexpr std::uint32_t kUnboundedQueueLength = 1000000;

/// One client request from arrival to answer, over all its attempts.
struct Exchange
{
    std::string requestId;
    std::uint32_t attempt{ 0 };
    HttpReplyPtr reply;
    ActiveRevisionPtr revision;
    RouteQuery query;
    ServeRequest request;
    AgentRecord agent;
    LinkPtr link;
    TimePoint deadline;
    bool isStreaming{ false };
    bool hasStarted{ false };    ///< part of the answer has been sent to the client
    bool isSent{ false };        ///< the current attempt has been sent
    std::uint64_t received{ 0 }; ///< bytes of the answer received in this attempt
    int status{ 0 };
    std::string contentType;
    std::string body;
    std::string key;                    ///< idempotency key of a protected action
    std::string outcomePath;            ///< path of the service's outcome queries
    bool withdraw{ false };             ///< the client asks that nothing ever runs under the key
    bool isProtected{ false };          ///< the request needs a claim before it is sent
    EventStream events;                 ///< events of a streamed answer
    std::uint32_t share{ 1 };           ///< weight of the customer
    bool isSpill{ false };              ///< the chosen agent is in another zone
    TimePoint queueDeadline;            ///< time at which the request is refused if it still waits
    std::set<std::string> failedZones;  ///< zones with a failed attempt
    std::uint32_t refusedByAgent{ 0 };  ///< attempts refused by an agent
    std::shared_ptr<void> customerSlot; ///< slot for a request in flight, see acquireCustomerSlot
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ExchangeTable
{
    std::map<std::string, ExchangePtr> exchanges;
};

/// Requests waiting for an upstream, and the retry budget.
struct QueueTable
{
    explicit QueueTable(AdmissionQueueOptions options) : queues(options) {}

    RouteQueues<ExchangePtr> queues;
    RetryBudget budget;
};

using Queues = RouteQueues<ExchangePtr>;

/// Number of requests in flight by customer.
using CustomerCounts = Guarded<std::map<std::string, std::uint32_t>, LockRank::metrics>;

/// Returns the route of a request, which is the name of its admission queue.
std::string routeOf(const RouteQuery &query)
{
    return query.kind == UpstreamKind::engine ? "engine" : "service/" + query.service;
}

/// True when `reason` says that an agent refused an attempt before doing any work on it.
bool isAgentRefusal(const std::string &reason)
{
    return reason == "upstream-full" || reason == "upstream-restarted"
           || reason == "upstream-leaving";
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

Milliseconds remainingTime(const Exchange &exchange, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(exchange.deadline - now);
}

const CustomerDocument *findCustomer(const EnvironmentDocument &document,
                                     const HttpRequest &request)
{
    const std::string authorization = headerValue(request.headers, "Authorization");
    static constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return nullptr;
    const std::string digest = digestOf(std::string_view(authorization).substr(scheme.size()));
    const CustomerDocument *match = nullptr;
    for (const CustomerDocument &customer : document.customers) {
        if (equalConstantTime(customer.keyDigest, digest))
            match = &customer;
    }
    return match;
}

const ServiceDocument *findService(const EnvironmentDocument &document, const std::string &path)
{
    const ServiceDocument *longest = nullptr;
    for (const ServiceDocument &service : document.services) {
        const bool matches = path.starts_with(service.prefix);
        if (matches && (longest == nullptr || service.prefix.size() > longest->prefix.size()))
            longest = &service;
    }
    return longest;
}

bool isModelPath(const std::string &path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

class RequestForwarder::Impl
{
public:
    Impl(RequestForwarderOptions options, ActiveEnvironment &environment,
         SharedRoutingTable &routing, ControlClient &control)
        : options(std::move(options)), environment(environment), routing(routing),
          actions(this->options.instance, routing, control, this->counters),
          customers(std::make_shared<CustomerCounts>()),
          queueTable(this->options.admission
                             ? AdmissionQueueOptions{}
                             : AdmissionQueueOptions{ .length = kUnboundedQueueLength,
                                                      .fair = false,
                                                      .refuseEarly = false })
    {}

    void handle(HttpRequest &&request, const HttpReplyPtr &reply)
    {
        // Step 1. Identify the customer in the active revision of the configuration.
        const ActiveRevisionPtr revision = this->environment.current();
        if (!revision)
            return this->refuse(*reply, { .status = 503,
                                          .reason = "no-revision",
                                          .detail = "no document is in force yet",
                                          .retryAfter = kRetryAfter });
        const CustomerDocument *customer = findCustomer(revision->document, request);
        if (customer == nullptr)
            return this->refuse(*reply, { .status = 401,
                                          .reason = "unknown-customer",
                                          .detail = "the bearer key names no customer" });
        const auto customerSlot = this->acquireCustomerSlot(*customer);
        if (!customerSlot)
            return this->refuse(*reply, { .status = 429,
                                          .reason = "customer-limit",
                                          .detail = "too many requests of the customer in flight",
                                          .retryAfter = kRetryAfter });
        // Step 2. Set the request's requirements on its upstream.
        auto exchange = std::make_shared<Exchange>();
        exchange->reply = reply;
        exchange->reply->labels.customer = customer->name;
        exchange->customerSlot = customerSlot;
        exchange->share = customer->share;
        exchange->revision = revision;
        exchange->requestId = this->options.instance + "-"
                              + std::to_string(this->options.incarnation) + "-"
                              + std::to_string(++this->lastRequestNumber);
        exchange->deadline = std::chrono::steady_clock::now() + revision->document.limits.deadline;
        exchange->query.zone = this->options.zone;
        exchange->request = ServeRequest{ .requestId = exchange->requestId,
                                          .customer = customer->name,
                                          .method = request.method,
                                          .path = request.target,
                                          .body = std::move(request.body) };
        // Clients may only lower the priority: urgent priority is reserved for resumed
        // streams and protected actions.
        const bool isBackground = headerValue(request.headers, "X-Priority") == "2";
        exchange->request.priority = isBackground ? kBackgroundPriority : kNormalPriority;
        const std::string type = headerValue(request.headers, "Content-Type");
        if (!type.empty())
            exchange->request.headers.push_back({ .name = "Content-Type", .value = type });
        if (isModelPath(request.path))
            this->beginCompletion(exchange);
        else
            this->beginService(exchange, request);
    }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (this->actions.onFrame(frame))
            return;
        if (const auto *head = std::get_if<ServeHead>(&frame.message))
            this->onHead(*head);
        else if (auto *part = std::get_if<ServePart>(&frame.message))
            this->onPart(std::move(*part));
        else if (const auto *end = std::get_if<ServeEnd>(&frame.message))
            this->onEnd(*end);
        (void)link;
    }

    void onLinkDown(const LinkPtr &link)
    {
        const auto affected = this->table.with([&](ExchangeTable &exchangeTable) {
            std::vector<ExchangePtr> exchanges;
            for (const auto &[id, exchange] : exchangeTable.exchanges) {
                if (exchange->link == link)
                    exchanges.push_back(exchange);
            }
            return exchanges;
        });
        for (const auto &exchange : affected)
            this->onAttemptFailed(exchange, "link-down");
        this->actions.onLinkDown(link);
    }

    void tick()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        this->expireQueues(now);
        std::vector<ExchangePtr> expired;
        this->table.with([&](ExchangeTable &exchangeTable) {
            for (const auto &[id, exchange] : exchangeTable.exchanges) {
                if (now >= exchange->deadline)
                    expired.push_back(exchange);
            }
        });
        for (const auto &exchange : expired)
            this->onDeadline(exchange);
        this->actions.tick();
    }

    std::size_t inFlight()
    {
        return this->table.with([](ExchangeTable &exchangeTable) {
            return exchangeTable.exchanges.size();
        }) + this->actions.inFlight()
               + this->queueTable.with([](QueueTable &table) { return table.queues.size(); });
    }

    void attach(LinkHub &links)
    {
        this->hub = &links;
        this->actions.attach(links);
    }

    RequestCounters counters;

private:
    void refuse(HttpReply &reply, const Problem &problem)
    {
        ++this->counters.refused;
        sendProblem(reply, problem);
    }

    void beginCompletion(const ExchangePtr &exchange)
    {
        const auto body = nlohmann::json::parse(exchange->request.body, nullptr, false);
        if (!body.is_object())
            return this->refuse(*exchange->reply, { .status = 400,
                                                    .reason = "malformed-body",
                                                    .detail = "the body is not a JSON object" });
        const auto &weights = exchange->revision->document.weights;
        exchange->reply->labels.route = weights.model;
        if (body.contains("model") && body["model"] != weights.model)
            return this->refuse(*exchange->reply, { .status = 404,
                                                    .reason = "unknown-model",
                                                    .detail = "the model is not live here" });
        const auto stream = body.find("stream");
        exchange->isStreaming = stream != body.end() && stream->is_boolean() && stream->get<bool>();
        exchange->request.stream = exchange->isStreaming;
        exchange->query.kind = UpstreamKind::engine;
        exchange->query.prefix = promptPrefix(body);
        this->enqueue(exchange);
    }

    void beginService(const ExchangePtr &exchange, const HttpRequest &request)
    {
        const ServiceDocument *service = findService(exchange->revision->document, request.path);
        if (service == nullptr)
            return this->refuse(*exchange->reply, { .status = 404,
                                                    .reason = "unknown-path",
                                                    .detail = "no service has this path" });
        exchange->query.kind = UpstreamKind::service;
        exchange->query.service = service->name;
        exchange->reply->labels.route = service->name;
        const std::string key = headerValue(request.headers, "Idempotency-Key");
        const bool isListed = std::ranges::find(service->protectedPaths, request.path)
                              != service->protectedPaths.end();
        exchange->isProtected = request.method != "GET" && (isListed || !key.empty());
        exchange->query.idempotent = isSafeMethod(request.method);
        if (!exchange->isProtected)
            return this->enqueue(exchange);
        if (key.empty() || key.size() > kMaxKeyBytes)
            return this->refuse(
                    *exchange->reply,
                    { .status = 400,
                      .reason = "idempotency-key",
                      .detail = "a protected action needs an Idempotency-Key of at most 256 bytes",
                      .action = ActionStatus::notRun });
        exchange->key = key;
        exchange->withdraw = isListed && request.method == "DELETE";
        exchange->outcomePath = service->outcomePath;
        exchange->request.priority = kUrgentPriority;
        // A withdrawal sends nothing to an upstream and needs no place in the queue.
        if (exchange->withdraw)
            return this->beginAction(exchange);
        this->enqueue(exchange);
    }

    /// Passes a protected action to the action runner.
    void beginAction(const ExchangePtr &exchange)
    {
        this->actions.begin({ .key = exchange->key,
                              .withdraw = exchange->withdraw,
                              .outcomePath = exchange->outcomePath,
                              .request = std::move(exchange->request),
                              .query = std::move(exchange->query),
                              .revision = exchange->revision,
                              .reply = exchange->reply,
                              .deadline = exchange->deadline });
    }

    /// Acquires one of the customer's slots for requests in flight; null at the customer's
    /// limit. The slot is released with the last copy of the pointer.
    std::shared_ptr<void> acquireCustomerSlot(const CustomerDocument &customer)
    {
        const bool isAcquired = this->customers->with([&](auto &counts) {
            std::uint32_t &count = counts[customer.name];
            if (count >= customer.maxInFlight)
                return false;
            ++count;
            return true;
        });
        if (!isAcquired)
            return nullptr;
        return { this->customers.get(), [counts = this->customers, name = customer.name](void *) {
                    counts->with([&](auto &table) {
                        const auto found = table.find(name);
                        if (--found->second == 0)
                            table.erase(found);
                    });
                } };
    }

    /// Queues a request, then dispatches the waiting requests of its route.
    void enqueue(const ExchangePtr &exchange)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        exchange->reply->onClientDisconnected([this, weak = std::weak_ptr<Exchange>(exchange)] {
            if (const auto locked = weak.lock())
                this->cancelExchange(locked);
        });
        const LimitsDocument &limits = exchange->revision->document.limits;
        if (exchange->queueDeadline == TimePoint{}) {
            const Milliseconds wait = this->options.admission ? limits.queueWait : limits.deadline;
            exchange->queueDeadline = std::min(exchange->deadline, now + wait);
        }
        const WaitingRequest request{ .customer = exchange->request.customer,
                                      .weight = exchange->share,
                                      .priority = exchange->request.priority,
                                      .deadline = exchange->queueDeadline };
        const std::string route = routeOf(exchange->query);
        const auto refused = this->queueTable.with([&](QueueTable &table) {
            if (this->options.admission)
                table.queues.setLength(limits.queueLength);
            return table.queues.push(route, request, exchange, now);
        });
        this->refuseWaiting(refused);
        this->dispatch(route);
    }

    /// Sends waiting requests of a route to upstreams with room.
    void dispatch(const std::string &route)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        std::vector<std::pair<ExchangePtr, AgentRecord>> ready;
        std::vector<ExchangePtr> unroutable;
        this->routing.with([&](RoutingTable &routes) {
            this->queueTable.with([&](QueueTable &table) {
                table.queues.dispatch(route, now, [&](const ExchangePtr &exchange) {
                    return this->offer(routes, exchange, now, ready, unroutable);
                });
            });
        });
        for (const auto &entry : ready) {
            const ExchangePtr &exchange = entry.first;
            const AgentRecord &agent = entry.second;
            if (!exchange->isProtected) {
                this->transmit(exchange, agent);
                continue;
            }
            // Undo the count that `offer` made: the action runner routes the action and counts it
            // again.
            this->routing.with([&](RoutingTable &routes) {
                routes.router.ended(agent.agent, exchange->isSpill);
            });
            this->beginAction(exchange);
        }
        for (const ExchangePtr &exchange : unroutable)
            this->fail(exchange, { .status = 503,
                                   .reason = "no-upstream",
                                   .detail = "no upstream can take the request",
                                   .action = this->statusOfUnsent(*exchange),
                                   .retryAfter = kRetryAfter });
    }

    /// Routes one waiting request. Appends the request to `ready` with its agent if an upstream
    /// has room, or to `unroutable` if no upstream is eligible.
    Queues::OfferResult offer(RoutingTable &routes, const ExchangePtr &exchange, TimePoint now,
                              std::vector<std::pair<ExchangePtr, AgentRecord>> &ready,
                              std::vector<ExchangePtr> &unroutable)
    {
        const RouteChoice choice = routes.router.choose(exchange->query, routes.directory,
                                                        exchange->revision->document, now);
        const bool isConstrained =
                !exchange->query.version.empty() || !exchange->query.excluded.empty();
        if (choice.outcome == RouteOutcome::allBusy)
            return isConstrained ? Queues::OfferResult::skipped : Queues::OfferResult::noRoom;
        if (choice.outcome == RouteOutcome::noUpstream) {
            ++this->counters.refused;
            unroutable.push_back(exchange);
            return Queues::OfferResult::accepted;
        }
        this->countSent(routes, *exchange, choice.agent);
        ready.emplace_back(exchange, choice.agent);
        return Queues::OfferResult::accepted;
    }

    void countSent(RoutingTable &routes, Exchange &exchange, const AgentRecord &agent)
    {
        exchange.isSpill = agent.zone != this->options.zone;
        routes.router.sent(agent.agent, exchange.isSpill);
    }

    void expireQueues(TimePoint now)
    {
        std::vector<std::string> routes;
        const auto refused = this->queueTable.with([&](QueueTable &table) {
            auto late = table.queues.expire(now);
            routes = table.queues.busyRoutes();
            return late;
        });
        this->refuseWaiting(refused);
        for (const std::string &route : routes)
            this->dispatch(route);
    }

    /// Replies to requests that the admission queue refused, with the time after which to retry.
    void refuseWaiting(const std::vector<RefusedItem<ExchangePtr>> &refused)
    {
        for (const auto &[exchange, refusal] : refused) {
            ++this->counters.refused;
            this->fail(exchange,
                       { .status = 503,
                         .reason = refusalName(refusal.reason),
                         .detail = "the request could not be given to an upstream in time",
                         .action = this->statusOfUnsent(*exchange),
                         .retryAfter = std::chrono::ceil<Seconds>(refusal.retryAfter) });
        }
    }

    /// Returns the action status of a request that was never sent. An earlier request with
    /// the same idempotency key may have run.
    static std::optional<ActionStatus> statusOfUnsent(const Exchange &exchange)
    {
        return exchange.isProtected ? std::optional(ActionStatus::unknown) : std::nullopt;
    }

    /// Sends the next attempt of a request to an agent.
    void transmit(const ExchangePtr &exchange, const AgentRecord &agent)
    {
        const auto endpoint = Endpoint::parse(agent.endpoint);
        const bool isFirst = exchange->attempt == 0;
        exchange->agent = agent;
        exchange->reply->labels.zone = agent.zone;
        exchange->reply->labels.upstream = agent.agent;
        exchange->request.attempt = ++exchange->attempt;
        exchange->request.upstreamIncarnation = agent.upstreamIncarnation;
        exchange->request.remaining = remainingTime(*exchange, std::chrono::steady_clock::now());
        exchange->request.offset = exchange->events.tokens();
        exchange->received = 0;
        exchange->body.clear();
        exchange->events.begin(exchange->requestId + "." + std::to_string(exchange->attempt));
        exchange->link = endpoint ? this->hub->open(*endpoint, Channel::serve) : nullptr;
        this->table.with([&](ExchangeTable &exchangeTable) {
            exchangeTable.exchanges[exchange->requestId] = exchange;
        });
        if (isFirst) {
            ++this->counters.firstSends;
            this->queueTable.with([](QueueTable &table) { table.budget.onFirstSend(); });
        }
        exchange->isSent = exchange->link && exchange->link->send(exchange->request);
        if (!exchange->isSent)
            this->onAttemptFailed(exchange, "link-down", ActionStatus::notRun);
        else if (exchange->reply->gone())
            this->cancelExchange(exchange);
    }

    /// Finds the exchange that an agent's message belongs to. Returns null for a message of an
    /// earlier attempt or of an ended request, and counts the message.
    ExchangePtr find(const std::string &requestId, std::uint32_t attempt)
    {
        return this->table.with([&](ExchangeTable &exchangeTable) -> ExchangePtr {
            const auto found = exchangeTable.exchanges.find(requestId);
            if (found == exchangeTable.exchanges.end() || found->second->attempt != attempt) {
                ++this->counters.mismatchedAnswers;
                return nullptr;
            }
            return found->second;
        });
    }

    /// Removes an exchange from the table; false if another thread has removed the
    /// exchange.
    bool removeExchange(const ExchangePtr &exchange)
    {
        const bool isRemoved = this->table.with([&](ExchangeTable &exchangeTable) {
            const auto found = exchangeTable.exchanges.find(exchange->requestId);
            if (found == exchangeTable.exchanges.end() || found->second != exchange)
                return false;
            exchangeTable.exchanges.erase(found);
            return true;
        });
        if (isRemoved)
            this->routing.with([&](RoutingTable &routes) {
                routes.router.ended(exchange->agent.agent, exchange->isSpill);
            });
        return isRemoved;
    }

    void onHead(const ServeHead &head)
    {
        const ExchangePtr exchange = this->find(head.requestId, head.attempt);
        if (!exchange)
            return;
        exchange->status = static_cast<int>(head.status);
        exchange->contentType = head.contentType;
    }

    void onPart(ServePart &&part)
    {
        const ExchangePtr exchange = this->find(part.requestId, part.attempt);
        if (!exchange)
            return;
        if (part.offset != exchange->received) {
            ++this->counters.mismatchedAnswers;
            return this->onAttemptFailed(exchange, "part-missing");
        }
        exchange->received += part.bytes.size();
        if (!exchange->isStreaming || exchange->status != 200) {
            exchange->body += part.bytes;
            if (exchange->body.size() > kMaxBufferedAnswerBytes)
                this->onAttemptFailed(exchange, "answer-too-large");
            return;
        }
        const std::string events = exchange->events.consume(part.bytes);
        if (exchange->events.fault() != StreamFault::none) {
            ++this->counters.mismatchedAnswers;
            this->cancelUpstream(*exchange);
            return this->onAttemptFailed(exchange, streamFaultName(exchange->events.fault()),
                                         ActionStatus::unknown);
        }
        if (events.empty())
            return;
        this->startStream(*exchange);
        exchange->reply->write(events);
        if (exchange->reply->pendingBytes() > kMaxPendingAnswerBytes) {
            ++this->counters.slowCallers;
            this->cancelExchange(exchange);
            this->fail(exchange, { .status = 503,
                                   .reason = "caller-too-slow",
                                   .detail = "the caller takes the answer too slowly" });
        }
    }

    void startStream(Exchange &exchange)
    {
        if (exchange.hasStarted)
            return;
        exchange.hasStarted = true;
        exchange.reply->start(exchange.status, exchange.contentType,
                              { { "X-Request-Id", exchange.requestId } });
    }

    void onEnd(const ServeEnd &end)
    {
        const ExchangePtr exchange = this->find(end.requestId, end.attempt);
        if (!exchange)
            return;
        const bool isStream = exchange->isStreaming && exchange->status == 200;
        const bool isWhole = end.outcome == ServeOutcome::whole && end.total == exchange->received
                             && (!isStream || exchange->events.ended());
        if (end.reason == kBrokenAnswer)
            ++this->counters.brokenAnswers;
        if (!isWhole)
            return this->onAttemptFailed(exchange, end.reason, end.actionStatus);
        if (!this->removeExchange(exchange))
            return;
        this->routing.with(
                [&](RoutingTable &routes) { routes.router.succeeded(exchange->agent.agent); });
        this->dispatch(routeOf(exchange->query));
        ++this->counters.whole;
        if (isStream) {
            this->startStream(*exchange);
            exchange->reply->write(kEndMark);
            return exchange->reply->finish();
        }
        HttpHeaders headers{ { "X-Request-Id", exchange->requestId } };
        if (exchange->query.kind == UpstreamKind::service) {
            // The entry instance caches nothing, so the answer is as fresh as the service's data in
            // the zone of the upstream.
            headers.emplace_back("Age", "0");
            headers.emplace_back("X-Upstream-Zone", exchange->agent.zone);
        }
        exchange->reply->send(exchange->status, exchange->contentType, exchange->body, headers);
    }

    void onAttemptFailed(const ExchangePtr &exchange, const std::string &reason,
                         ActionStatus actionStatus = ActionStatus::unknown)
    {
        if (!this->removeExchange(exchange))
            return;
        logDebug("attempt failed", { { "requestId", exchange->requestId },
                                     { "agent", exchange->agent.agent },
                                     { "reason", reason } });
        this->reportFailure(*exchange, reason);
        if (this->mayRetry(*exchange, reason, actionStatus))
            return this->retry(exchange, reason);
        ++this->counters.failed;
        const Problem problem{ .status = 502,
                               .reason = reason.empty() ? "upstream-failed" : reason,
                               .detail = "no upstream gave a whole answer",
                               .retryAfter = kRetryAfter };
        this->fail(exchange, problem);
    }

    /// Reports a failed attempt to the router: as a refusal if the agent refused the
    /// attempt, otherwise as a failure.
    void reportFailure(const Exchange &exchange, const std::string &reason)
    {
        this->routing.with([&](RoutingTable &routes) {
            if (isAgentRefusal(reason))
                routes.router.refused(exchange.agent.agent);
            else
                routes.router.failed(exchange.agent, std::chrono::steady_clock::now());
        });
    }

    /// True when another attempt is allowed. Until the deadline, an attempt that an agent
    /// refused may be repeated any number of times. Other failures allow a retry within the retry
    /// budget if the request has not run or may run twice.
    bool mayRetry(const Exchange &exchange, const std::string &reason, ActionStatus actionStatus)
    {
        if (std::chrono::steady_clock::now() >= exchange.deadline)
            return false;
        if (isAgentRefusal(reason))
            return true;
        if (exchange.attempt - exchange.refusedByAgent >= kMaxAttempts)
            return false;
        if (!exchange.query.idempotent && actionStatus != ActionStatus::notRun)
            return false;
        // A started stream can resume only on the same weights version, which must be known.
        if (exchange.hasStarted && exchange.events.version().empty())
            return false;
        if (!this->options.retryBudget)
            return true;
        return this->queueTable.with([](QueueTable &table) { return table.budget.take(); });
    }

    void retry(const ExchangePtr &exchange, const std::string &reason)
    {
        if (isAgentRefusal(reason)) {
            ++this->counters.refusedByAgent;
            ++exchange->refusedByAgent;
        } else {
            ++this->counters.retried;
            exchange->queueDeadline = {};
            exchange->query.excluded.insert(exchange->agent.agent);
            // Failures at two upstreams of a zone suggest that the whole zone has failed.
            if (!exchange->failedZones.insert(exchange->agent.zone).second)
                exchange->query.excludedZones.insert(exchange->agent.zone);
        }
        if (exchange->hasStarted) {
            ++this->counters.resumed;
            exchange->query.version = exchange->events.version();
            exchange->request.version = exchange->events.version();
            exchange->request.priority = kUrgentPriority;
            // A client that has received part of the answer waits for the rest until the deadline.
            exchange->queueDeadline = exchange->deadline;
        }
        this->enqueue(exchange);
    }

    void cancelUpstream(const Exchange &exchange)
    {
        if (exchange.link)
            exchange.link->send(
                    ServeCancel{ .requestId = exchange.requestId, .attempt = exchange.attempt });
    }

    /// Ends a request without a complete answer. A started stream ends with an
    /// error event and no end mark.
    void fail(const ExchangePtr &exchange, const Problem &problem)
    {
        if (!exchange->hasStarted)
            return sendProblem(*exchange->reply, problem);
        exchange->reply->write("data: {\"error\":" + problemBody(problem) + "}\n\n");
        exchange->reply->finish();
    }

    void onDeadline(const ExchangePtr &exchange)
    {
        this->cancelUpstream(*exchange);
        if (!this->removeExchange(exchange))
            return;
        ++this->counters.failed;
        this->fail(exchange, { .status = 504,
                               .reason = "deadline",
                               .detail = "the deadline has passed",
                               .retryAfter = kRetryAfter });
    }

    /// Cancels a request whose client has disconnected or reads too slowly: removes the request
    /// from its queue or cancels its attempt in flight.
    void cancelExchange(const ExchangePtr &exchange)
    {
        const bool wasWaiting = this->queueTable.with(
                [&](QueueTable &table) { return table.queues.remove(exchange); });
        if (!wasWaiting) {
            if (!this->removeExchange(exchange))
                return;
            this->cancelUpstream(*exchange);
            this->dispatch(routeOf(exchange->query));
        }
        ++this->counters.cancelled;
    }

    RequestForwarderOptions options;
    ActiveEnvironment &environment;
    SharedRoutingTable &routing;
    ActionRunner actions;
    LinkHub *hub{ nullptr };
    std::atomic<std::uint64_t> lastRequestNumber{ 0 };
    std::shared_ptr<CustomerCounts> customers;
    Guarded<QueueTable, LockRank::serving> queueTable;
    Guarded<ExchangeTable, LockRank::serving> table;
};

RequestForwarder::RequestForwarder(RequestForwarderOptions options, ActiveEnvironment &environment,
                                   SharedRoutingTable &routing, ControlClient &control)
    : impl(std::make_unique<Impl>(std::move(options), environment, routing, control))
{}

RequestForwarder::~RequestForwarder() = default;

void RequestForwarder::attach(LinkHub &hub)
{
    this->impl->attach(hub);
}

void RequestForwarder::handle(HttpRequest &&request, HttpReplyPtr reply)
{
    this->impl->handle(std::move(request), reply);
}

void RequestForwarder::onFrame(const LinkPtr &link, Frame &&frame)
{
    this->impl->onFrame(link, std::move(frame));
}

void RequestForwarder::onLinkDown(const LinkPtr &link)
{
    this->impl->onLinkDown(link);
}

void RequestForwarder::tick()
{
    this->impl->tick();
}

std::size_t RequestForwarder::inFlight()
{
    return this->impl->inFlight();
}

const RequestCounters &RequestForwarder::counters() const
{
    return this->impl->counters;
}

} // namespace egret
