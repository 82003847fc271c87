#include "upstream_proxy.h"

#include "slow_start.h"

#include <atomic>
#include <map>

namespace egret {

namespace {

/// End mark of a streamed answer (server-sent events).
constexpr std::string_view kStreamEnd = "data: [DONE]";

/// One request at the upstream.
struct Work
{
    ServeRequest request;
    LinkPtr link;
    std::uint64_t call{ 0 };
    std::uint64_t sentBytes{ 0 };
    int status{ 0 };
    std::string contentType;
    std::string tail;         ///< last bytes of a stream, to find its end mark
    std::string body;         ///< answer of a protected action, kept by the gate
    std::uint64_t epoch{ 0 }; ///< warm-up of the upstream that admitted it
    TimePoint startedAt;
    std::optional<Duration> firstByte; ///< from the start to the first byte
    bool crossed{ false };             ///< the answer belongs to another request
    bool cancelled{ false };
};

using WorkPtr = std::shared_ptr<Work>;
using WorkKey = std::pair<std::string, std::uint32_t>;

struct ProxyTable
{
    ProxyTable(GateOptions options, SlowStartOptions slowStart)
        : gate(options), slowStart(slowStart)
    {}

    Gate gate;
    SlowStart slowStart;
    std::map<WorkKey, WorkPtr> works;
    std::uint64_t upstreamIncarnation{ 0 };
    bool closed{ false };
};

WorkKey keyOf(const ServeRequest &request)
{
    return { request.requestId, request.attempt };
}

/// Identity of one attempt, which the upstream echoes.
std::string echoOf(const ServeRequest &request)
{
    return request.requestId + "." + std::to_string(request.attempt);
}

} // namespace

class UpstreamProxy::Impl : public std::enable_shared_from_this<UpstreamProxy::Impl>
{
public:
    Impl(const UpstreamProxyOptions &options, HttpClient &http)
        : options(options), http(http),
          table(GateOptions{ .seed = options.gateIncarnation, .limit = options.limit },
                SlowStartOptions{ .full = options.limit,
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
            link->send(
                    this->table.with([&](ProxyTable &state) { return state.gate.probe(*probe); }));
        else
            return false;
        return true;
    }

    void onLinkDown(const LinkPtr &link)
    {
        const auto calls = this->table.with([&](ProxyTable &state) {
            std::vector<std::uint64_t> lost;
            for (const auto &[key, work] : state.works) {
                if (work->link != link || work->request.claim)
                    continue;
                work->cancelled = true;
                lost.push_back(work->call);
            }
            return lost;
        });
        for (const std::uint64_t call : calls)
            this->http.cancel(call);
    }

    void setUpstreamIncarnation(std::uint64_t incarnation)
    {
        this->table.with([&](ProxyTable &state) {
            state.upstreamIncarnation = incarnation;
            state.slowStart.onIncarnation(incarnation);
        });
    }

    void close()
    {
        this->table.with([](ProxyTable &state) { state.closed = true; });
    }

    std::uint32_t inFlight()
    {
        return this->table.with([](ProxyTable &state) { return state.gate.inFlight(); });
    }

    std::uint32_t limit()
    {
        return this->table.with([](ProxyTable &state) { return state.slowStart.limit(); });
    }

    std::atomic<std::uint64_t> crossedAnswers{ 0 };

private:
    void onRequest(const LinkPtr &link, const ServeRequest &request)
    {
        auto work = std::make_shared<Work>();
        work->request = request;
        work->link = link;
        const GateDecision decision = this->table.with([&](ProxyTable &state) -> GateDecision {
            if (state.closed)
                return { .reason = "upstream-leaving" };
            if (request.upstreamIncarnation != state.upstreamIncarnation)
                return { .reason = "upstream-restarted" };
            if (state.gate.inFlight() >= state.slowStart.limit())
                return { .reason = "upstream-full" };
            work->epoch = state.slowStart.epoch();
            GateDecision admitted = state.gate.admit(request);
            if (admitted.admitted)
                state.works[keyOf(request)] = work;
            return admitted;
        });
        if (!decision.admitted) {
            link->send(ServeEnd{ .requestId = request.requestId,
                                 .attempt = request.attempt,
                                 .outcome = ServeOutcome::refused,
                                 .actionStatus = decision.actionStatus,
                                 .reason = decision.reason });
            return;
        }
        work->startedAt = std::chrono::steady_clock::now();
        work->call = this->http.start(this->upstreamCall(work));
    }

    HttpCall upstreamCall(const WorkPtr &work)
    {
        const ServeRequest &request = work->request;
        HttpCall call{ .method = request.method,
                       .url = "http://" + this->options.upstream + request.path,
                       .body = request.body,
                       .timeout = std::max<Milliseconds>(request.remaining, 1ms),
                       .freshConnection = request.claim.has_value() };
        for (const Header &header : request.headers)
            call.headers.emplace_back(header.name, header.value);
        call.headers.emplace_back("X-Request-Id", echoOf(request));
        if (request.offset > 0)
            call.headers.emplace_back("X-Resume-Offset", std::to_string(request.offset));
        call.headers.emplace_back("X-Priority", std::to_string(request.priority));
        auto self = this->shared_from_this();
        call.onHeaders = [self, work](const HttpHeaders &headers) {
            self->onHeaders(work, headers);
        };
        call.onHead = [self, work](int status, const std::string &type) {
            self->onHead(work, status, type);
        };
        call.onData = [self, work](const std::string &part) { self->onData(work, part); };
        call.onDone = [self, work](HttpResult &&result) { self->onDone(work, result); };
        return call;
    }

    /// Checks that the answer belongs to this request: a reused connection can
    /// give the answer to the request before.
    void onHeaders(const WorkPtr &work, const HttpHeaders &headers)
    {
        work->firstByte = std::chrono::steady_clock::now() - work->startedAt;
        const std::string echo = headerValue(headers, "X-Request-Id");
        const std::string incarnation = headerValue(headers, "X-Incarnation");
        const bool isForeign = !echo.empty() && echo != echoOf(work->request);
        const bool isLate = !incarnation.empty() && !work->request.claim
                            && incarnation != std::to_string(work->request.upstreamIncarnation);
        if (!isForeign && !isLate)
            return;
        work->crossed = true;
        ++this->crossedAnswers;
        this->http.cancel(work->call);
    }

    void onHead(const WorkPtr &work, int status, const std::string &type)
    {
        if (work->crossed)
            return;
        work->status = status;
        work->contentType = type;
        work->link->send(ServeHead{ .requestId = work->request.requestId,
                                    .attempt = work->request.attempt,
                                    .status = static_cast<std::uint32_t>(status),
                                    .contentType = type });
    }

    void onData(const WorkPtr &work, const std::string &part)
    {
        if (work->crossed)
            return;
        work->link->send(ServePart{ .requestId = work->request.requestId,
                                    .attempt = work->request.attempt,
                                    .offset = work->sentBytes,
                                    .bytes = part });
        work->sentBytes += part.size();
        if (work->request.claim)
            work->body += part;
        work->tail += part;
        if (work->tail.size() > 2 * kStreamEnd.size())
            work->tail.erase(0, work->tail.size() - 2 * kStreamEnd.size());
    }

    void onDone(const WorkPtr &work, const HttpResult &result)
    {
        const bool isStream = work->request.stream && work->status == 200;
        const bool hasEnd = !isStream || work->tail.find(kStreamEnd) != std::string::npos;
        const bool isRefusal = work->status == 429 || work->status == 503;
        const bool isWhole =
                result.complete && hasEnd && !work->crossed
                && (work->request.claim ? work->status < 500 : !isRefusal && work->status < 500);
        ActionStatus actionStatus = isWhole ? ActionStatus::run : ActionStatus::unknown;
        if (!result.requestSent)
            actionStatus = ActionStatus::notRun;
        std::optional<StoredAnswer> answer;
        if (isWhole && work->request.claim)
            answer = StoredAnswer{ .status = static_cast<std::uint32_t>(work->status),
                                   .contentType = work->contentType,
                                   .body = work->body };
        this->table.with([&](ProxyTable &state) {
            state.works.erase(keyOf(work->request));
            state.gate.finish(work->request, actionStatus, answer);
            this->learn(state.slowStart, *work, isWhole, isRefusal);
        });
        ServeEnd end{ .requestId = work->request.requestId,
                      .attempt = work->request.attempt,
                      .total = work->sentBytes };
        end.outcome = isWhole ? ServeOutcome::whole : ServeOutcome::broken;
        end.actionStatus = actionStatus;
        if (!isWhole)
            end.reason = isRefusal ? "upstream-refused" : "upstream-broken";
        if (work->crossed)
            end.reason = "answer-crossed";
        work->link->send(end);
    }

    /// Tells slow start what a request showed of the upstream.
    void learn(SlowStart &slowStart, const Work &work, bool isWhole, bool isRefusal) const
    {
        // Only a stream's or a service's first byte comes when work begins.
        const bool tellsLatency =
                work.request.stream || this->options.kind == UpstreamKind::service;
        if (isWhole)
            return slowStart.onSuccess(work.epoch, tellsLatency ? work.firstByte : std::nullopt);
        if (work.crossed || work.cancelled)
            return;
        if (isRefusal || work.status == 0)
            slowStart.onOverloaded(work.epoch);
        else
            slowStart.onBroken(work.epoch);
    }

    void onCancel(const ServeCancel &cancel)
    {
        const auto call = this->table.with([&](ProxyTable &state) -> std::uint64_t {
            const auto found = state.works.find({ cancel.requestId, cancel.attempt });
            if (found == state.works.end() || found->second->request.claim)
                return 0;
            found->second->cancelled = true;
            return found->second->call;
        });
        if (call != 0)
            this->http.cancel(call);
    }

    UpstreamProxyOptions options;
    HttpClient &http;
    Guarded<ProxyTable, LockRank::gate> table;
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

std::uint64_t UpstreamProxy::crossed() const
{
    return this->impl->crossedAnswers;
}

} // namespace egret
