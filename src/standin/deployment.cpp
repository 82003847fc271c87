#include "deployment.h"

#include "clock.h"
#include "digest.h"
#include "names.h"
#include "registry_node.h"
#include "standin_protocol.h"

#include <asio/post.hpp>

#include <future>

namespace egret {

namespace {

constexpr std::size_t kEndlessBytesPerStep = 512U << 10U;
constexpr const char *kHost = "standin.example";
constexpr const char *kModel = "m";
constexpr const char *kEngineService = "llm";
constexpr const char *kPlainService = "core";
constexpr std::uint32_t kModelLayers = 4;
constexpr std::uint32_t kSlotsPerUpstream = 8;
constexpr std::uint64_t kEventsPerStream = 12;
constexpr Milliseconds kAnnouncePeriod = 200ms;
constexpr Milliseconds kRegistryCallTimeout = 3s;
constexpr Milliseconds kRequestTimeout = 8s;

/// Kind of an instance; the value is the third octet of the instance's address.
enum InstanceKind : int { registryKind = 1, gatewayKind, engineKind, serviceKind, originKind };

std::string eventText(std::uint64_t eventId)
{
    return "id: " + std::to_string(eventId) + "\ndata: " + std::string(40, 'x') + "\n\n";
}

/// Content of one piece of a weights version, computed from the numbers of the
/// version and the piece. `size` is in bytes.
std::string pieceContent(std::uint64_t version, std::size_t piece, std::uint64_t size)
{
    const std::string digest =
            sha256Of("piece " + std::to_string(version) + " " + std::to_string(piece));
    std::string bytes;
    while (bytes.size() < size)
        bytes += digest;
    bytes.resize(size);
    return bytes;
}

/// Rest of `path` after `prefix`; empty when `path` does not start with `prefix`.
std::string suffixAfter(const std::string &path, const char *prefix)
{
    const std::string_view expectedPrefix = prefix;
    return path.starts_with(expectedPrefix) ? path.substr(expectedPrefix.size()) : "";
}

} // namespace

std::string expectedStream(std::uint64_t lastEvent)
{
    std::string text;
    for (std::uint64_t number = lastEvent + 1; number <= kEventsPerStream; ++number)
        text += eventText(number);
    return text;
}

class Deployment::Impl
{
public:
    explicit Impl(const DeploymentOptions &options)
        : options(options), pool(1), httpPool(std::make_unique<HttpPool>(this->pool.context()))
    {}

    // The periodic tasks use the members below, so no task may run once they are destroyed.
    ~Impl() { this->pool.stop(); }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    /// Streamed answer in progress.
    struct Stream
    {
        AbortableReplyPtr reply;
        HttpHeaders headers;
        TimePoint beginsAt; ///< time of the first event
        bool crashesEngine{ false };
        bool isEndless{ false };
        bool hasBegun{ false };
        std::uint64_t nextEvent{ 1 };
        std::uint64_t breakAfter{ kEventsPerStream }; ///< last event that is written
    };

    /// State of one engine or service; only engines use the last four members.
    struct Upstream
    {
        UpstreamRecord record;
        Endpoint endpoint;
        std::unique_ptr<HttpFrontend> frontend;
        UpstreamStats stats;
        TimePoint slowStartUntil;
        std::vector<std::string> requestLimits; ///< header values, see `setEngineRequestLimit`
        std::string leaving;                    ///< header value, see `setEngineLeaving`
        std::string retryAfter;                 ///< header value, see `setEngineRefusal`
        std::map<std::size_t, std::string> stagedPieces; ///< contents by piece number
        std::vector<Stream> streams;
        std::optional<std::uint64_t> pendingLoadVersion; ///< version of the pending load order
        bool isDown{ false };
    };

    /// Starts an HTTP server; null when the endpoint can't be bound.
    std::unique_ptr<HttpFrontend>
    listen(const Endpoint &endpoint, HttpFrontendHandler handler,
           std::size_t maxConnections = HttpFrontendOptions{}.maxConnections)
    {
        auto frontend = std::make_unique<HttpFrontend>(
                this->pool.context(),
                HttpFrontendOptions{ .listen = endpoint,
                                     .maxConnections = maxConnections,
                                     .bounds = { .maxBodyBytes = 1U << 20U } },
                std::move(handler));
        Reason<std::error_code> reason;
        return frontend->start(reason) ? std::move(frontend) : nullptr;
    }

    /// Starts the HTTP server of an engine or service; false when the endpoint can't be bound.
    bool listen(Upstream &upstream)
    {
        upstream.frontend =
                this->listen(upstream.endpoint, [this, &upstream](HttpRequest &&request,
                                                                  const AbortableReplyPtr &reply) {
                    this->handleUpstream(upstream, std::move(request), reply);
                });
        return upstream.frontend != nullptr;
    }

    /// Ends all connections of an upstream, and starts it again as a new instance without weights.
    void crash(Upstream &upstream)
    {
        this->crashStats.crashes.push_back(bootNow());
        upstream.streams.clear();
        upstream.frontend->stop();
        upstream.pendingLoadVersion.reset();
        upstream.record.version = 0;
        upstream.isDown = true;
        this->pool.after(this->options.crashDownTime, [this, &upstream] {
            upstream.record.id += "'";
            upstream.record.startedAtMs += 1000;
            upstream.record.sequence = 0;
            upstream.isDown = !this->listen(upstream);
        });
    }

    bool isCrashing(const HttpRequest &request, const platform::StandinRequest &metadata) const
    {
        const std::string segment = this->options.crashingSegment + ":";
        const bool hasSegment = !this->options.crashingSegment.empty()
                                && metadata.promptSegments.find(segment) != std::string::npos;
        return hasSegment
               || (!this->options.crashingBody.empty()
                   && request.body == this->options.crashingBody);
    }

    /// Answers a request at a service, or crashes the service, after the time that it takes.
    void runPlain(Upstream &service, const std::string &path, const HttpHeaders &headers,
                  const AbortableReplyPtr &reply, bool isCrashing)
    {
        const auto finish = [this, &service, path, headers, reply, isCrashing] {
            if (isCrashing)
                return this->crash(service);
            reply->send(200, "text/plain", path + " done", withStatements(headers, service));
        };
        if (this->options.prefillTime == 0ms)
            return finish();
        this->pool.after(this->options.prefillTime, [&service, id = service.record.id, finish] {
            if (!service.isDown && service.record.id == id)
                finish();
        });
    }

    void handleUpstream(Upstream &upstream, HttpRequest &&request, const AbortableReplyPtr &reply)
    {
        if (!upstream.record.model.empty() && this->handleEngineCall(upstream, request, reply))
            return;
        const auto metadata = platform::readStandinRequest(request);
        upstream.stats.clientKeyCount += metadata.key.empty() ? 0 : 1;
        const bool isMisdirected = metadata.expectedInstance != upstream.record.id
                                   || (metadata.expectedVersion
                                       && *metadata.expectedVersion != upstream.record.version);
        if (isMisdirected) {
            ++upstream.stats.misdirectedCount;
            return reply->send(421, "", "", platform::standinRefusalHeaders(metadata.id));
        }
        const TimePoint now = bootNow();
        upstream.stats.arrivals.push_back(now);
        const bool isCrashing = this->isCrashing(request, metadata);
        if (isCrashing)
            this->crashStats.arrivals.push_back(now);
        if (!upstream.retryAfter.empty()) {
            auto headers = platform::standinRefusalHeaders(metadata.id);
            headers.emplace_back("Retry-After", upstream.retryAfter);
            return reply->send(503, "", "", withStatements(std::move(headers), upstream));
        }
        if (upstream.streams.size() >= kSlotsPerUpstream || upstream.pendingLoadVersion)
            return reply->send(
                    503, "", "",
                    withStatements(platform::standinRefusalHeaders(metadata.id), upstream));
        ++upstream.stats.runsByRequestId[metadata.id];
        const auto headers = platform::standinAnswerHeaders(metadata.id, upstream.record.version);
        if (upstream.record.model.empty())
            return this->runPlain(upstream, request.path, headers, reply, isCrashing);
        if (metadata.lastEvent && this->options.resumedAnswer != ResumedAnswer::sound)
            return this->answerResumption(*metadata.lastEvent, headers, reply);
        const bool isBroken = !metadata.lastEvent && this->options.breakAfterEvents > 0;
        upstream.streams.push_back(
                { .reply = reply,
                  .headers = headers,
                  .beginsAt = now + this->options.prefillTime,
                  .crashesEngine = isCrashing,
                  .isEndless = this->endlessAnswerCount < this->options.endlessAnswers,
                  .nextEvent = metadata.lastEvent.value_or(0) + 1,
                  .breakAfter = isBroken ? this->options.breakAfterEvents : kEventsPerStream });
        this->endlessAnswerCount += upstream.streams.back().isEndless ? 1 : 0;
    }

    /// Answers the resumption of a stream after the event `lastEvent` with something else than the
    /// rest of the stream.
    void answerResumption(std::uint64_t lastEvent, const HttpHeaders &headers,
                          const AbortableReplyPtr &reply) const
    {
        constexpr const char *errorText = "internal error\n\n";
        const ResumedAnswer kind = this->options.resumedAnswer;
        if (kind == ResumedAnswer::failure)
            return reply->send(500, "text/plain", errorText, headers);
        if (kind == ResumedAnswer::otherType)
            return reply->send(200, "application/json", "{}", headers);
        reply->start(200, "text/event-stream", headers);
        if (kind == ResumedAnswer::skipsEvents) {
            for (std::uint64_t number = lastEvent + 3; number <= kEventsPerStream; ++number)
                reply->write(eventText(number));
        } else if (kind == ResumedAnswer::containsHead) {
            reply->write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        } else if (kind == ResumedAnswer::plainText) {
            reply->write(errorText);
        }
        reply->finish();
    }

    /// Adds what an upstream says of itself to the headers of an answer.
    static HttpHeaders withStatements(HttpHeaders headers, const Upstream &upstream)
    {
        for (const std::string &value : upstream.requestLimits)
            headers.push_back(platform::standinRequestLimitHeader(value));
        if (!upstream.leaving.empty())
            headers.push_back(platform::standinLeavingHeader(upstream.leaving));
        return headers;
    }

    /// Answers a stager's request to its engine; returns false without an answer
    /// for a client's request.
    bool handleEngineCall(Upstream &engine, const HttpRequest &request,
                          const AbortableReplyPtr &reply)
    {
        if (request.path == platform::kEngineReportPath) {
            const EngineReport report{ .model = kModel,
                                       .version = engine.record.version,
                                       .isBusy = engine.pendingLoadVersion.has_value(),
                                       .startedAtMs = engine.record.startedAtMs,
                                       .active =
                                               static_cast<std::uint32_t>(engine.streams.size()) };
            reply->send(200, "application/json", platform::reportBody(report, kModelLayers), {});
        } else if (request.path == platform::kLoadOrderPath) {
            engine.pendingLoadVersion = platform::orderedVersion(request.body);
            reply->send(engine.pendingLoadVersion ? 202 : 400, "", "", {});
        } else if (!suffixAfter(request.path, platform::kStagePutPath).empty()) {
            engine.stagedPieces[platform::pieceInQuery(request.target).value_or(0)] = request.body;
            reply->send(200, "", "", {});
        } else if (!suffixAfter(request.path, platform::kStageGetPath).empty()) {
            this->sendStagedPieces(engine, request, reply);
        } else {
            return false;
        }
        return true;
    }

    /// Sends the piece that the query names, or the list of staged piece numbers
    /// when the query names none.
    static void sendStagedPieces(const Upstream &engine, const HttpRequest &request,
                                 const AbortableReplyPtr &reply)
    {
        const auto piece = platform::pieceInQuery(request.target);
        if (!piece) {
            std::vector<std::size_t> pieceNumbers;
            for (const auto &[number, bytes] : engine.stagedPieces)
                pieceNumbers.push_back(number);
            return reply->send(200, "application/json", platform::stagedPiecesBody(pieceNumbers),
                               {});
        }
        const auto found = engine.stagedPieces.find(*piece);
        if (found == engine.stagedPieces.end())
            return reply->send(404, "", "", {});
        reply->send(200, "application/octet-stream", found->second, {});
    }

    void handleOrigin(const HttpRequest &request, const AbortableReplyPtr &reply)
    {
        const std::uint64_t version = platform::versionInQuery(request.target);
        if (!suffixAfter(request.path, platform::kManifestPath).empty()) {
            const std::uint32_t earlierRequests = this->manifestRequests[version]++;
            PieceDigests digests{ .version = version };
            for (std::size_t piece = 0; piece < this->options.pieceCount; ++piece)
                digests.digests.push_back(
                        sha256Of(pieceContent(version, piece, this->options.bytesPerPiece)));
            if (earlierRequests < this->options.wrongManifests)
                digests.digests.front() = sha256Of("wrong");
            return reply->send(200, "application/json", platform::manifestBody(kModel, digests),
                               {});
        }
        const std::string bytes =
                pieceContent(version, platform::pieceInQuery(request.target).value_or(0),
                             this->options.bytesPerPiece);
        this->originBytesSent += bytes.size();
        reply->send(200, "application/octet-stream", bytes, {});
    }

    /// Runs one step of an engine: writes an event to each stream and, when no
    /// stream is left, executes the pending load order.
    void runStep(Upstream &engine)
    {
        const TimePoint now = bootNow();
        for (Stream &stream : engine.streams) {
            if (now < stream.beginsAt)
                continue;
            if (stream.crashesEngine)
                return this->crash(engine);
            if (!std::exchange(stream.hasBegun, true))
                stream.reply->start(200, "text/event-stream",
                                    withStatements(stream.headers, engine));
            if (stream.isEndless)
                stream.reply->write(std::string(kEndlessBytesPerStep, 'x'));
            else
                stream.reply->write(eventText(stream.nextEvent++));
        }
        std::erase_if(engine.streams, [](const Stream &stream) {
            if (stream.nextEvent > kEventsPerStream)
                stream.reply->finish();
            else if (stream.nextEvent > stream.breakAfter)
                stream.reply->abort();
            return stream.nextEvent > stream.breakAfter || stream.reply->gone();
        });
        if (engine.pendingLoadVersion && engine.streams.empty())
            this->loadVersion(engine, *std::exchange(engine.pendingLoadVersion, std::nullopt));
    }

    /// Loads a weights version if every piece of the version is staged with the right
    /// content; counts a damaged load otherwise.
    void loadVersion(Upstream &engine, std::uint64_t version)
    {
        for (std::size_t piece = 0; piece < this->options.pieceCount; ++piece) {
            const auto found = engine.stagedPieces.find(piece);
            if (found == engine.stagedPieces.end()
                || found->second != pieceContent(version, piece, this->options.bytesPerPiece)) {
                ++engine.stats.pieceLoadFailureCount;
                return;
            }
        }
        engine.record.version = version;
        engine.stats.loadedVersion = version;
    }

    /// Announces an upstream to one registry. Consecutive announcements go to the
    /// registries in round-robin order.
    void announce(Upstream &upstream)
    {
        ++upstream.record.sequence;
        upstream.record.coldFor =
                std::max(0ms, std::chrono::ceil<Milliseconds>(upstream.slowStartUntil - bootNow()));
        const Endpoint &registry =
                this->registries[upstream.record.sequence % this->registries.size()];
        const std::string body = platform::announcementBody(upstream.record, kModelLayers);
        const std::string head = "POST " + std::string(platform::kHeartbeatPath)
                                 + upstream.record.id + " HTTP/1.1\r\nHost: r\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n";
        this->httpPool->start(
                { .to = registry, .head = head, .body = body, .onEnd = [](const CallEnd &) {} });
    }

    /// Sends a request and waits for the response; returns an incomplete Response after
    /// the timeout.
    Response sendAndWait(const Endpoint &to, const std::string &head, const std::string &body,
                         Milliseconds timeout)
    {
        auto answer = std::make_shared<Response>();
        auto done = std::make_shared<std::promise<void>>();
        auto completed = done->get_future();
        const TimePoint startedAt = bootNow();
        this->pool.run([&] {
            this->httpPool->start({ .to = to,
                                    .head = head,
                                    .body = body,
                                    .onHead =
                                            [answer](const HttpHead &response) {
                                                answer->status = response.status;
                                                answer->headers = response.headers;
                                            },
                                    .onBody =
                                            [answer, startedAt](std::string &&part) {
                                                if (answer->body.empty())
                                                    answer->timeToFirstByte =
                                                            std::chrono::ceil<Milliseconds>(
                                                                    bootNow() - startedAt);
                                                answer->body += part;
                                            },
                                    .onEnd =
                                            [answer, done](const CallEnd &end) {
                                                answer->isComplete =
                                                        end.outcome == CallOutcome::whole;
                                                done->set_value();
                                            } });
        });
        if (completed.wait_for(timeout) != std::future_status::ready)
            return {};
        return *answer;
    }

    DeploymentOptions options;
    WorkerPool pool;
    std::unique_ptr<HttpPool> httpPool;
    std::unique_ptr<HttpFrontend> originFrontend;
    std::vector<Endpoint> registries;
    std::vector<std::unique_ptr<Upstream>> engines;
    std::vector<std::unique_ptr<Upstream>> services;
    std::uint64_t originBytesSent{ 0 };
    std::map<std::uint64_t, std::uint32_t> manifestRequests; ///< by weights version
    CrashStats crashStats;
    std::uint32_t endlessAnswerCount{ 0 };
};

Deployment::Deployment(DeploymentOptions options)
    : options(std::move(options)), impl(std::make_unique<Impl>(this->options))
{}

Deployment::~Deployment() = default;

std::string Deployment::address(int kind, std::uint32_t number) const
{
    return this->options.addressPrefix + "." + std::to_string(kind) + "."
           + std::to_string(number + 1);
}

std::string Deployment::zoneOf(std::uint32_t number) const
{
    return "z" + std::to_string(number % this->options.zoneCount);
}

bool Deployment::start()
{
    const auto endpointOf = [this](int kind, std::uint32_t number) {
        return Endpoint{ .address = this->address(kind, number),
                         .port = this->options.upstreamPort };
    };
    for (std::uint32_t i = 0; i < this->options.zoneCount; ++i)
        this->impl->registries.push_back(
                { .address = this->address(registryKind, i), .port = this->options.operatorPort });
    const auto makeUpstream = [&](int kind, std::uint32_t number, const std::string &service) {
        auto upstream = std::make_unique<Impl::Upstream>();
        const bool isEngine = kind == engineKind;
        upstream->record = { .id = service + std::to_string(number),
                             .startedAtMs = 1700000000000ULL + number,
                             .service = service,
                             .endpoint = endpointOf(kind, number).text(),
                             .zone = this->zoneOf(number),
                             .slots = kSlotsPerUpstream,
                             .model = isEngine ? kModel : "" };
        upstream->endpoint = endpointOf(kind, number);
        return upstream;
    };
    bool areAllBound = true;
    this->impl->pool.run([&] {
        for (std::uint32_t i = 0; i < this->engineCount(); ++i) {
            this->impl->engines.push_back(makeUpstream(engineKind, i, kEngineService));
            areAllBound = this->impl->listen(*this->impl->engines.back()) && areAllBound;
        }
        for (std::uint32_t i = 0; i < this->options.zoneCount; ++i) {
            this->impl->services.push_back(makeUpstream(serviceKind, i, kPlainService));
            areAllBound = this->impl->listen(*this->impl->services.back()) && areAllBound;
            if (i < this->options.serviceEndpoints.size())
                this->impl->services.back()->record.endpoint =
                        this->options.serviceEndpoints[i].text();
        }
        this->impl->originFrontend = this->impl->listen(
                endpointOf(originKind, 0),
                [this](HttpRequest &&request, const AbortableReplyPtr &reply) {
                    this->impl->handleOrigin(request, reply);
                },
                this->options.originConnections);
        areAllBound = areAllBound && this->impl->originFrontend != nullptr;
    });
    this->impl->pool.every(this->options.stepInterval, [impl = this->impl.get()] {
        for (const auto &engine : impl->engines) {
            if (!engine->isDown)
                impl->runStep(*engine);
        }
    });
    this->impl->pool.every(kAnnouncePeriod, [impl = this->impl.get()] {
        for (const auto &engine : impl->engines) {
            if (!engine->isDown)
                impl->announce(*engine);
        }
        for (const auto &service : impl->services) {
            if (!service->isDown)
                impl->announce(*service);
        }
    });
    return areAllBound;
}

NodeSettings Deployment::commonSettings(const std::string &name, int kind,
                                        std::uint32_t number) const
{
    NodeSettings settings{ .instance = name + std::to_string(number),
                           .zone = this->zoneOf(number),
                           .region = this->zoneOf(number),
                           .address = this->address(kind, number),
                           .linkPorts = { this->options.linkPort, this->options.linkPort + 1U },
                           .isFirstStart = true,
                           .bounds = { .revoke = 3000ms,
                                       .drain = 2000ms,
                                       .stopGrace = 4,
                                       .version = 4000ms,
                                       .retryRatio = 0.2,
                                       .retrySlack = 100,
                                       .retryWindow = 10,
                                       .coldOverrun = 1.5 },
                           .clusterKey = std::string(64, 'a') };
    for (std::uint32_t i = 0; i < this->options.zoneCount; ++i) {
        settings.seeds.push_back(this->address(registryKind, i) + ":"
                                 + std::to_string(this->options.operatorPort));
        settings.regions.push_back({ .zone = this->zoneOf(i), .region = this->zoneOf(i) });
    }
    return settings;
}

NodeSettings Deployment::registrySettings(std::uint32_t number, const std::string &dataFolder) const
{
    NodeSettings settings = this->commonSettings("registry", registryKind, number);
    settings.operatorAddress = settings.address + ":" + std::to_string(this->options.operatorPort);
    settings.dataFolder = dataFolder;
    return settings;
}

NodeSettings Deployment::gatewaySettings(std::uint32_t number) const
{
    NodeSettings settings = this->commonSettings("gateway", gatewayKind, number);
    settings.clientAddress = settings.address + ":" + std::to_string(this->options.clientPort);
    return settings;
}

NodeSettings Deployment::stagerSettings(std::uint32_t number) const
{
    NodeSettings settings = this->commonSettings("stager", engineKind, number);
    settings.engineAddress = settings.address + ":" + std::to_string(this->options.upstreamPort);
    settings.engineService = kEngineService;
    return settings;
}

ServingPlan Deployment::plan(std::uint64_t number, const std::string &key) const
{
    const auto route = [](const std::string &name, RequestKind kind, const std::string &service) {
        return PlanRoute{ .name = name,
                          .host = kHost,
                          .prefix = "/" + name + "/",
                          .kind = kind,
                          .timeout = 5s,
                          .objective = 500ms,
                          .targets = { { .service = service, .weight = 1 } },
                          .maxAttempts = kind == RequestKind::once ? 1U : 2U,
                          .isResumable = kind == RequestKind::stream };
    };
    const EngineSpec engine{ .model = kModel,
                             .slots = kSlotsPerUpstream,
                             .step = this->options.stepInterval,
                             .prefillTokensPerSecond = 20000,
                             .stepsPerPass = 1,
                             .layers = kModelLayers,
                             .chunks = this->options.pieceCount,
                             .chunkBytes = this->options.bytesPerPiece,
                             .typicalPromptTokens = 100,
                             .typicalAnswerTokens = 12 };
    const Endpoint origin{ .address = this->address(originKind, 0),
                           .port = this->options.upstreamPort };
    return { .number = number,
             .routes = { route("chat", RequestKind::stream, kEngineService),
                         route("act", RequestKind::once, kPlainService),
                         route("read", RequestKind::idempotent, kPlainService) },
             .services = { { .name = kEngineService,
                             .maxConnections = 200,
                             .coldRequestsPerSecond = this->options.coldRequestsPerSecond,
                             .engine = engine },
                           { .name = kPlainService,
                             .maxConnections = 100,
                             .coldRequestsPerSecond = this->options.coldRequestsPerSecond },
                           { .name = "weights",
                             .maxConnections = 20,
                             .origin = OriginSpec{ .endpoint = origin } } },
             .customers = { { .name = "customer", .keys = { key } } } };
}

Deployment::Response Deployment::callRegistry(std::uint32_t registry, const std::string &method,
                                              const std::string &target, const std::string &body)
{
    const std::string head = method + " " + target + " HTTP/1.1\r\nHost: r\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n";
    return this->impl->sendAndWait({ .address = this->address(registryKind, registry),
                                     .port = this->options.operatorPort },
                                   head, body, kRegistryCallTimeout);
}

Deployment::Response Deployment::sendRequest(std::uint32_t gateway, const std::string &path,
                                             const std::string &id, const std::string &key,
                                             bool isPost, const std::vector<std::string> &segments,
                                             const std::string &postBody)
{
    const std::string body = isPost ? postBody : "";
    std::string head = std::string(isPost ? "POST " : "GET ") + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] :
         platform::standinClientHeaders(kHost, id, key, kRequestTimeout, 100, segments))
        head += name + ": " + value + "\r\n";
    if (isPost)
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return this->impl->sendAndWait(
            { .address = this->address(gatewayKind, gateway), .port = this->options.clientPort },
            head + "\r\n", body, kRequestTimeout);
}

UpstreamStats Deployment::engineStats(std::uint32_t engine)
{
    UpstreamStats stats;
    this->impl->pool.run([&] { stats = this->impl->engines.at(engine)->stats; });
    return stats;
}

UpstreamStats Deployment::serviceStats(std::uint32_t service)
{
    UpstreamStats stats;
    this->impl->pool.run([&] { stats = this->impl->services.at(service)->stats; });
    return stats;
}

CrashStats Deployment::crashStats()
{
    CrashStats stats;
    this->impl->pool.run([&] { stats = this->impl->crashStats; });
    return stats;
}

std::uint64_t Deployment::originBytesSent()
{
    std::uint64_t bytes = 0;
    this->impl->pool.run([&] { bytes = this->impl->originBytesSent; });
    return bytes;
}

std::uint32_t Deployment::manifestRequests(std::uint64_t version)
{
    std::uint32_t count = 0;
    this->impl->pool.run([&] { count = this->impl->manifestRequests[version]; });
    return count;
}

void Deployment::corruptStagedPiece(std::uint32_t engine, std::size_t piece)
{
    this->impl->pool.run([&] { this->impl->engines.at(engine)->stagedPieces[piece] = "rotten"; });
}

void Deployment::setEngineRequestLimit(std::uint32_t engine, const std::vector<std::string> &values)
{
    this->impl->pool.run([&] { this->impl->engines.at(engine)->requestLimits = values; });
}

void Deployment::setServiceRequestLimit(std::uint32_t service,
                                        const std::vector<std::string> &values)
{
    this->impl->pool.run([&] { this->impl->services.at(service)->requestLimits = values; });
}

void Deployment::setEngineLeaving(std::uint32_t engine, const std::string &value)
{
    this->impl->pool.run([&] { this->impl->engines.at(engine)->leaving = value; });
}

void Deployment::setEngineRefusal(std::uint32_t engine, const std::string &retryAfter)
{
    this->impl->pool.run([&] { this->impl->engines.at(engine)->retryAfter = retryAfter; });
}

void Deployment::setServiceRefusal(std::uint32_t service, const std::string &retryAfter)
{
    this->impl->pool.run([&] { this->impl->services.at(service)->retryAfter = retryAfter; });
}

void Deployment::startSlowStart(Milliseconds duration)
{
    this->impl->pool.run([&] {
        for (const auto &engine : this->impl->engines)
            engine->slowStartUntil = bootNow() + duration;
        for (const auto &service : this->impl->services)
            service->slowStartUntil = bootNow() + duration;
    });
}

} // namespace egret
