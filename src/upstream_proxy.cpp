#include "upstream_proxy.h"

#include "log.h"
#include "slow_start.h"

#include <atomic>
#include <map>

namespace egret {

namespace {

/// Last event of a complete streamed response (server-sent events).
constexpr std::string_view kStreamEnd = "data: [DONE]";

/// A request in flight at the upstream.
struct ActiveRequest
{
    ServeRequest request;
    LinkPtr link;
    std::uint64_t callId{ 0 };    ///< call of the HTTP client
    std::uint64_t sentBytes{ 0 }; ///< body bytes sent on the link
    int status{ 0 };
    std::string contentType;
    std::string streamTail;            ///< last bytes of a stream, searched for kStreamEnd
    std::string actionBody;            ///< response body of a protected action, stored by the gate
    std::uint64_t slowStartEpoch{ 0 }; ///< SlowStart::epoch at admission
    TimePoint startedAt;
    std::optional<Duration> firstByteTime; ///< from the start of the call to the response headers
    bool isMismatched{ false }; ///< the response belongs to another request or incarnation
    bool isCancelled{ false };
};

using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;
/// Request id and attempt number.
using RequestKey = std::pair<std::string, std::uint32_t>;

struct ProxyState
{
    ProxyState(GateOptions options, SlowStartOptions slowStart)
        : gate(options), slowStart(slowStart)
    {}

    Gate gate;
    SlowStart slowStart;
    std::map<RequestKey, ActiveRequestPtr> activeRequests;
    std::uint64_t upstreamIncarnation{ 0 };
    bool isClosed{ false };
};

RequestKey keyOf(const ServeRequest &request)
{
    return { request.requestId, request.attempt };
}

/// Value of the X-Request-Id header of one attempt, which the upstream echoes.
std::string requestIdHeader(const ServeRequest &request)
{
    return request.requestId + "." + std::to_string(request.attempt);
}

} // namespace

class UpstreamProxy::Impl : public std::enable_shared_from_this<UpstreamProxy::Impl>
{
public:
    Impl(const UpstreamProxyOptions &options, HttpClient &http)
        : options(options), http(http),
          proxyState(GateOptions{ .seed = options.gateIncarnation, .limit = options.limit },
                     SlowStartOptions{ .fullLimit = options.limit,
                                       .answersPerStep = options.warmAnswers,
                                       .enabled = options.slowStart })
    {}

    bool onFrame(const LinkPtr &link, const Frame &frame)
    {
        if (const auto *request = std::get_if<ServeRequest>(&frame.message))
            this->onRequest(link, *request);
        else if (const auto *cancel = std::get_if<ServeCancel>(&frame.message))
            this->onCancel(*cancel);
        else if (const auto *probe = std::get_if<ClaimProbe>(&frame.message))
            link->send(this->proxyState.with(
                    [&](ProxyState &state) { return state.gate.probe(*probe); }));
        else
            return false;
        return true;
    }

    void onLinkDown(const LinkPtr &link)
    {
        const auto callIds = this->proxyState.with([&](ProxyState &state) {
            std::vector<std::uint64_t> cancelledIds;
            for (const auto &[key, activeRequest] : state.activeRequests) {
                if (activeRequest->link != link || activeRequest->request.claim)
                    continue;
                activeRequest->isCancelled = true;
                cancelledIds.push_back(activeRequest->callId);
            }
            return cancelledIds;
        });
        for (const std::uint64_t callId : callIds)
            this->http.cancel(callId);
    }

    void setUpstreamIncarnation(std::uint64_t incarnation)
    {
        this->proxyState.with([&](ProxyState &state) {
            state.upstreamIncarnation = incarnation;
            state.slowStart.onIncarnation(incarnation);
        });
    }

    void close()
    {
        this->proxyState.with([](ProxyState &state) { state.isClosed = true; });
    }

    std::uint32_t inFlight()
    {
        return this->proxyState.with([](ProxyState &state) { return state.gate.inFlight(); });
    }

    std::uint32_t limit()
    {
        return this->proxyState.with([](ProxyState &state) { return state.slowStart.limit(); });
    }

    std::atomic<std::uint64_t> mismatchedAnswers{ 0 };

private:
    void onRequest(const LinkPtr &link, const ServeRequest &request)
    {
        auto activeRequest = std::make_shared<ActiveRequest>();
        activeRequest->request = request;
        activeRequest->link = link;
        const GateDecision decision = this->proxyState.with([&](ProxyState &state) -> GateDecision {
            if (state.isClosed)
                return { .reason = "upstream-leaving" };
            if (request.upstreamIncarnation != state.upstreamIncarnation)
                return { .reason = "upstream-restarted" };
            if (state.gate.inFlight() >= state.slowStart.limit())
                return { .reason = "upstream-full" };
            activeRequest->slowStartEpoch = state.slowStart.epoch();
            GateDecision gateDecision = state.gate.admit(request);
            if (gateDecision.admitted)
                state.activeRequests[keyOf(request)] = activeRequest;
            return gateDecision;
        });
        if (!decision.admitted) {
            link->send(ServeEnd{ .requestId = request.requestId,
                                 .attempt = request.attempt,
                                 .outcome = ServeOutcome::refused,
                                 .actionStatus = decision.actionStatus,
                                 .reason = decision.reason });
            return;
        }
        activeRequest->startedAt = std::chrono::steady_clock::now();
        activeRequest->callId = this->http.start(this->upstreamCall(activeRequest));
    }

    HttpCall upstreamCall(const ActiveRequestPtr &activeRequest)
    {
        const ServeRequest &request = activeRequest->request;
        HttpCall call{ .method = request.method,
                       .url = "http://" + this->options.upstream + request.path,
                       .body = request.body,
                       .timeout = std::max<Milliseconds>(request.remaining, 1ms),
                       .freshConnection = request.claim.has_value() };
        for (const Header &header : request.headers)
            call.headers.emplace_back(header.name, header.value);
        call.headers.emplace_back("X-Request-Id", requestIdHeader(request));
        if (request.offset > 0)
            call.headers.emplace_back("X-Resume-Offset", std::to_string(request.offset));
        call.headers.emplace_back("X-Priority", std::to_string(request.priority));
        auto self = this->shared_from_this();
        call.onHeaders = [self, activeRequest](const HttpHeaders &headers) {
            self->onHeaders(activeRequest, headers);
        };
        call.onHead = [self, activeRequest](int status, const std::string &type) {
            self->onHead(activeRequest, status, type);
        };
        call.onData = [self, activeRequest](const std::string &part) {
            self->onData(activeRequest, part);
        };
        call.onDone = [self, activeRequest](HttpResult &&result) {
            self->onDone(activeRequest, result);
        };
        return call;
    }

    /// Cancels the call when the response belongs to another request or incarnation: a reused
    /// connection can deliver a late response to the previous request.
    void onHeaders(const ActiveRequestPtr &activeRequest, const HttpHeaders &headers)
    {
        activeRequest->firstByteTime = std::chrono::steady_clock::now() - activeRequest->startedAt;
        const std::string echoedId = headerValue(headers, "X-Request-Id");
        const std::string incarnation = headerValue(headers, "X-Incarnation");
        const bool isOtherRequest =
                !echoedId.empty() && echoedId != requestIdHeader(activeRequest->request);
        const bool isOtherIncarnation =
                !incarnation.empty() && !activeRequest->request.claim
                && incarnation != std::to_string(activeRequest->request.upstreamIncarnation);
        if (!isOtherRequest && !isOtherIncarnation)
            return;
        activeRequest->isMismatched = true;
        ++this->mismatchedAnswers;
        this->http.cancel(activeRequest->callId);
    }

    void onHead(const ActiveRequestPtr &activeRequest, int status, const std::string &type)
    {
        if (activeRequest->isMismatched)
            return;
        activeRequest->status = status;
        activeRequest->contentType = type;
        activeRequest->link->send(ServeHead{ .requestId = activeRequest->request.requestId,
                                             .attempt = activeRequest->request.attempt,
                                             .status = static_cast<std::uint32_t>(status),
                                             .contentType = type });
    }

    void onData(const ActiveRequestPtr &activeRequest, const std::string &part)
    {
        if (activeRequest->isMismatched)
            return;
        activeRequest->link->send(ServePart{ .requestId = activeRequest->request.requestId,
                                             .attempt = activeRequest->request.attempt,
                                             .offset = activeRequest->sentBytes,
                                             .bytes = part });
        activeRequest->sentBytes += part.size();
        if (activeRequest->request.claim)
            activeRequest->actionBody += part;
        activeRequest->streamTail += part;
        if (activeRequest->streamTail.size() > 2 * kStreamEnd.size())
            activeRequest->streamTail.erase(0, activeRequest->streamTail.size()
                                                       - 2 * kStreamEnd.size());
    }

    void onDone(const ActiveRequestPtr &activeRequest, const HttpResult &result)
    {
        const bool isStream = activeRequest->request.stream && activeRequest->status == 200;
        const bool isStreamComplete =
                !isStream || activeRequest->streamTail.find(kStreamEnd) != std::string::npos;
        const bool isRefusal = activeRequest->status == 429 || activeRequest->status == 503;
        const bool isWhole =
                result.complete && isStreamComplete && !activeRequest->isMismatched
                && (activeRequest->request.claim ? activeRequest->status < 500
                                                 : !isRefusal && activeRequest->status < 500);
        ActionStatus actionStatus = isWhole ? ActionStatus::run : ActionStatus::unknown;
        if (!result.requestSent)
            actionStatus = ActionStatus::notRun;
        std::optional<StoredAnswer> answer;
        if (isWhole && activeRequest->request.claim)
            answer = StoredAnswer{ .status = static_cast<std::uint32_t>(activeRequest->status),
                                   .contentType = activeRequest->contentType,
                                   .body = activeRequest->actionBody };
        this->proxyState.with([&](ProxyState &state) {
            state.activeRequests.erase(keyOf(activeRequest->request));
            state.gate.finish(activeRequest->request, actionStatus, answer);
            this->reportToSlowStart(state.slowStart, *activeRequest, isWhole, isRefusal);
        });
        const bool isBroken =
                result.isBroken && !activeRequest->isMismatched && !activeRequest->isCancelled;
        if (isBroken)
            logInfo("answer broke off or was invalid",
                    { { "request", activeRequest->request.requestId },
                      { "attempt", activeRequest->request.attempt },
                      { "reason", result.error } });
        ServeEnd serveEnd{ .requestId = activeRequest->request.requestId,
                           .attempt = activeRequest->request.attempt,
                           .total = activeRequest->sentBytes };
        serveEnd.outcome = isWhole ? ServeOutcome::whole : ServeOutcome::broken;
        serveEnd.actionStatus = actionStatus;
        if (!isWhole)
            serveEnd.reason = isRefusal ? "upstream-refused" : "upstream-broken";
        if (isBroken)
            serveEnd.reason = kBrokenAnswer;
        if (activeRequest->isMismatched)
            serveEnd.reason = "answer-crossed";
        activeRequest->link->send(serveEnd);
    }

    /// Reports the outcome of a request to slow start. Skips a response to another request and
    /// an incomplete response to a cancelled request: neither shows the load of the upstream.
    void reportToSlowStart(SlowStart &slowStart, const ActiveRequest &activeRequest, bool isWhole,
                           bool isRefusal) const
    {
        // Streams and services send the first byte when processing begins. For other responses,
        // the time to first byte includes the processing time.
        const bool isLatencySample =
                activeRequest.request.stream || this->options.kind == UpstreamKind::service;
        if (isWhole)
            return slowStart.onSuccess(activeRequest.slowStartEpoch,
                                       isLatencySample ? activeRequest.firstByteTime
                                                       : std::nullopt);
        if (activeRequest.isMismatched || activeRequest.isCancelled)
            return;
        if (isRefusal || activeRequest.status == 0)
            slowStart.onOverloaded(activeRequest.slowStartEpoch);
        else
            slowStart.onIncompleteAnswer(activeRequest.slowStartEpoch);
    }

    void onCancel(const ServeCancel &cancel)
    {
        const auto callId = this->proxyState.with([&](ProxyState &state) -> std::uint64_t {
            const auto found = state.activeRequests.find({ cancel.requestId, cancel.attempt });
            if (found == state.activeRequests.end() || found->second->request.claim)
                return 0;
            found->second->isCancelled = true;
            return found->second->callId;
        });
        if (callId != 0)
            this->http.cancel(callId);
    }

    UpstreamProxyOptions options;
    HttpClient &http;
    Guarded<ProxyState, LockRank::gate> proxyState;
};

UpstreamProxy::UpstreamProxy(UpstreamProxyOptions options, HttpClient &http)
    : impl(std::make_shared<Impl>(options, http))
{}

UpstreamProxy::~UpstreamProxy() = default;

bool UpstreamProxy::onFrame(const LinkPtr &link, const Frame &frame)
{
    return this->impl->onFrame(link, frame);
}

void UpstreamProxy::onLinkDown(const LinkPtr &link)
{
    this->impl->onLinkDown(link);
}

void UpstreamProxy::setUpstreamIncarnation(std::uint64_t incarnation)
{
    this->impl->setUpstreamIncarnation(incarnation);
}

void UpstreamProxy::close()
{
    this->impl->close();
}

std::uint32_t UpstreamProxy::inFlight()
{
    return this->impl->inFlight();
}

std::uint32_t UpstreamProxy::limit()
{
    return this->impl->limit();
}

std::uint64_t UpstreamProxy::mismatchedAnswers() const
{
    return this->impl->mismatchedAnswers;
}

} // namespace egret
