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

constexpr const char *kHost = "standin.example";
constexpr const char *kModel = "m";
constexpr const char *kEngineService = "llm";
constexpr const char *kPlainService = "core";
constexpr std::uint32_t kLayers = 4;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint64_t kStreamEvents = 12;
constexpr Milliseconds kAnnouncePeriod = 200ms;
constexpr Milliseconds kCallLimit = 3s;
constexpr Milliseconds kRequestLimit = 8s;

/// Kinds of instances, the third part of their addresses.
enum Kind : int { registryKind = 1, gatewayKind, engineKind, serviceKind, originKind };

std::string eventText(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(40, 'x') + "\n\n";
}

/// Bytes of a piece of a version.
std::string pieceBytes(std::uint64_t version, std::size_t piece, std::uint64_t size)
{
    const std::string seed =
            sha256Of("piece " + std::to_string(version) + " " + std::to_string(piece));
    std::string bytes;
    while (bytes.size() < size)
        bytes += seed;
    bytes.resize(size);
    return bytes;
}

std::string after(const std::string &path, const char *prefix)
{
    const std::string_view lead = prefix;
    return path.starts_with(lead) ? path.substr(lead.size()) : "";
}

} // namespace

std::string expectedStream(std::uint64_t after)
{
    std::string text;
    for (std::uint64_t number = after + 1; number <= kStreamEvents; ++number)
        text += eventText(number);
    return text;
}

class Deployment::Impl
{
public:
    explicit Impl(const DeploymentOptions &options)
        : options(options), pool(1), calls(std::make_unique<HttpPool>(this->pool.context()))
    {}

    ~Impl()
    {
        this->pool.run([this] {
            this->fronts.clear();
            this->calls.reset();
        });
        this->pool.stop();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    struct Stream
    {
        AbortableReplyPtr reply;
        std::uint64_t next{ 1 };
    };

    /// One engine or plain service.
    struct Upstream
    {
        UpstreamRecord record;
        UpstreamRecordOfRuns seen;
        std::map<std::size_t, std::string> staged;
        std::vector<Stream> streams;
        std::optional<std::uint64_t> ordered;
    };

    bool listen(const Endpoint &at, HttpFrontendHandler handler)
    {
        auto front = std::make_unique<HttpFrontend>(
                this->pool.context(),
                HttpFrontendOptions{ .listen = at, .bounds = { .maxBodyBytes = 1U << 20U } },
                std::move(handler));
        Reason<std::error_code> reason;
        const bool bound = front->start(reason);
        this->fronts.push_back(std::move(front));
        return bound;
    }

    void handleUpstream(Upstream &upstream, HttpRequest &&request, const AbortableReplyPtr &reply)
    {
        if (!upstream.record.model.empty() && this->handleEngineCall(upstream, request, reply))
            return;
        const auto facts = platform::readStandinRequest(request);
        upstream.seen.withKey += facts.key.empty() ? 0 : 1;
        const bool isOther =
                facts.expectedInstance != upstream.record.id
                || (facts.expectedVersion && *facts.expectedVersion != upstream.record.version);
        if (isOther) {
            ++upstream.seen.misdirected;
            return reply->send(421, "", "", platform::standinRefusalHeaders(facts.id));
        }
        if (upstream.streams.size() >= kSlots || upstream.ordered)
            return reply->send(503, "", "", platform::standinRefusalHeaders(facts.id));
        ++upstream.seen.runs[facts.id];
        const auto headers = platform::standinAnswerHeaders(facts.id, upstream.record.version);
        if (upstream.record.model.empty())
            return reply->send(200, "text/plain", request.path + " done", headers);
        reply->start(200, "text/event-stream", headers);
        upstream.streams.push_back({ .reply = reply, .next = facts.lastEvent.value_or(0) + 1 });
    }

    /// Answers what a stager asks of its engine; false for a client's request.
    bool handleEngineCall(Upstream &engine, const HttpRequest &request,
                          const AbortableReplyPtr &reply)
    {
        if (request.path == platform::kEngineReportPath) {
            const EngineReport report{ .model = kModel,
                                       .version = engine.record.version,
                                       .isBusy = engine.ordered.has_value(),
                                       .startedAtMs = engine.record.startedAtMs,
                                       .active =
                                               static_cast<std::uint32_t>(engine.streams.size()) };
            reply->send(200, "application/json", platform::reportBody(report, kLayers), {});
        } else if (request.path == platform::kLoadOrderPath) {
            engine.ordered = platform::orderedVersion(request.body);
            reply->send(engine.ordered ? 202 : 400, "", "", {});
        } else if (!after(request.path, platform::kStagePutPath).empty()) {
            engine.staged[platform::pieceInQuery(request.target).value_or(0)] = request.body;
            reply->send(200, "", "", {});
        } else if (!after(request.path, platform::kStageGetPath).empty()) {
            this->sendStaged(engine, request, reply);
        } else {
            return false;
        }
        return true;
    }

    static void sendStaged(const Upstream &engine, const HttpRequest &request,
                           const AbortableReplyPtr &reply)
    {
        const auto piece = platform::pieceInQuery(request.target);
        if (!piece) {
            std::vector<std::size_t> held;
            for (const auto &[number, bytes] : engine.staged)
                held.push_back(number);
            return reply->send(200, "application/json", platform::stagedPiecesBody(held), {});
        }
        const auto found = engine.staged.find(*piece);
        if (found == engine.staged.end())
            return reply->send(404, "", "", {});
        reply->send(200, "application/octet-stream", found->second, {});
    }

    void handleOrigin(const HttpRequest &request, const AbortableReplyPtr &reply)
    {
        const std::uint64_t version = platform::versionInQuery(request.target);
        if (!after(request.path, platform::kManifestPath).empty()) {
            PieceDigests digests{ .version = version };
            for (std::size_t piece = 0; piece < this->options.chunks; ++piece)
                digests.digests.push_back(
                        sha256Of(pieceBytes(version, piece, this->options.chunkBytes)));
            return reply->send(200, "application/json", platform::manifestBody(kModel, digests),
                               {});
        }
        const std::string bytes =
                pieceBytes(version, platform::pieceInQuery(request.target).value_or(0),
                           this->options.chunkBytes);
        this->originBytes += bytes.size();
        reply->send(200, "application/octet-stream", bytes, {});
    }

    /// One pass of an engine: an event of each stream, or the load that was ordered.
    void pass(Upstream &engine)
    {
        for (Stream &stream : engine.streams)
            stream.reply->write(eventText(stream.next++));
        std::erase_if(engine.streams, [](const Stream &stream) {
            if (stream.next > kStreamEvents)
                stream.reply->finish();
            return stream.next > kStreamEvents || stream.reply->gone();
        });
        if (engine.ordered && engine.streams.empty())
            this->load(engine, *std::exchange(engine.ordered, std::nullopt));
    }

    void load(Upstream &engine, std::uint64_t version)
    {
        for (std::size_t piece = 0; piece < this->options.chunks; ++piece) {
            const auto found = engine.staged.find(piece);
            if (found == engine.staged.end()
                || found->second != pieceBytes(version, piece, this->options.chunkBytes)) {
                ++engine.seen.badLoads;
                return;
            }
        }
        engine.record.version = version;
        engine.seen.loadedVersion = version;
    }

    void announce(Upstream &upstream)
    {
        ++upstream.record.sequence;
        const Endpoint &to = this->registries[upstream.record.sequence % this->registries.size()];
        const std::string body = platform::announcementBody(upstream.record, kLayers);
        const std::string head = "POST " + std::string(platform::kHeartbeatPath)
                                 + upstream.record.id + " HTTP/1.1\r\nHost: r\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n";
        this->calls->start(
                { .to = to, .head = head, .body = body, .onEnd = [](const CallEnd &) {} });
    }

    Answer exchange(const Endpoint &to, const std::string &head, const std::string &body,
                    Milliseconds limit)
    {
        auto answer = std::make_shared<Answer>();
        auto done = std::make_shared<std::promise<void>>();
        auto ended = done->get_future();
        const TimePoint began = bootNow();
        this->pool.run([&] {
            this->calls->start({ .to = to,
                                 .head = head,
                                 .body = body,
                                 .onHead =
                                         [answer](const HttpHead &given) {
                                             answer->status = given.status;
                                             answer->headers = given.headers;
                                         },
                                 .onBody =
                                         [answer, began](std::string &&part) {
                                             if (answer->body.empty())
                                                 answer->firstByte =
                                                         std::chrono::ceil<Milliseconds>(bootNow()
                                                                                         - began);
                                             answer->body += part;
                                         },
                                 .onEnd =
                                         [answer, done](const CallEnd &end) {
                                             answer->isWhole = end.outcome == CallOutcome::whole;
                                             done->set_value();
                                         } });
        });
        if (ended.wait_for(limit) != std::future_status::ready)
            return {};
        return *answer;
    }

    DeploymentOptions options;
    WorkerPool pool;
    std::unique_ptr<HttpPool> calls;
    std::vector<std::unique_ptr<HttpFrontend>> fronts;
    std::vector<Endpoint> registries;
    std::vector<std::unique_ptr<Upstream>> engines;
    std::vector<std::unique_ptr<Upstream>> services;
    std::uint64_t originBytes{ 0 };
};

Deployment::Deployment(DeploymentOptions options)
    : options(std::move(options)), impl(std::make_unique<Impl>(this->options))
{}

Deployment::~Deployment() = default;

std::string Deployment::address(int kind, std::uint32_t number) const
{
    return this->options.prefix + "." + std::to_string(kind) + "." + std::to_string(number + 1);
}

std::string Deployment::zoneOf(std::uint32_t number) const
{
    return "z" + std::to_string(number % this->options.zones);
}

bool Deployment::start()
{
    const auto at = [this](int kind, std::uint32_t number) {
        return Endpoint{ .address = this->address(kind, number),
                         .port = this->options.upstreamPort };
    };
    for (std::uint32_t i = 0; i < this->options.zones; ++i)
        this->impl->registries.push_back(
                { .address = this->address(registryKind, i), .port = this->options.operatorPort });
    const auto make = [&](int kind, std::uint32_t number, const std::string &service) {
        auto upstream = std::make_unique<Impl::Upstream>();
        const bool isEngine = kind == engineKind;
        upstream->record = { .id = service + std::to_string(number),
                             .startedAtMs = 1700000000000ULL + number,
                             .service = service,
                             .endpoint = at(kind, number).text(),
                             .zone = this->zoneOf(number),
                             .slots = kSlots,
                             .model = isEngine ? kModel : "" };
        return upstream;
    };
    bool bound = true;
    this->impl->pool.run([&] {
        const auto serve = [&](int kind, std::uint32_t number, Impl::Upstream &upstream) {
            bound = this->impl->listen(at(kind, number), [this, &upstream](
                                                                 HttpRequest &&request,
                                                                 const AbortableReplyPtr &reply) {
                this->impl->handleUpstream(upstream, std::move(request), reply);
            }) && bound;
        };
        for (std::uint32_t i = 0; i < this->engines(); ++i) {
            this->impl->engines.push_back(make(engineKind, i, kEngineService));
            serve(engineKind, i, *this->impl->engines.back());
        }
        for (std::uint32_t i = 0; i < this->options.zones; ++i) {
            this->impl->services.push_back(make(serviceKind, i, kPlainService));
            serve(serviceKind, i, *this->impl->services.back());
        }
        bound = this->impl->listen(at(originKind, 0), [this](HttpRequest &&request,
                                                             const AbortableReplyPtr &reply) {
            this->impl->handleOrigin(request, reply);
        }) && bound;
    });
    this->impl->pool.every(this->options.pass, [impl = this->impl.get()] {
        for (const auto &engine : impl->engines)
            impl->pass(*engine);
    });
    this->impl->pool.every(kAnnouncePeriod, [impl = this->impl.get()] {
        for (const auto &engine : impl->engines)
            impl->announce(*engine);
        for (const auto &service : impl->services)
            impl->announce(*service);
    });
    return bound;
}

NodeSettings Deployment::common(const std::string &name, int kind, std::uint32_t number) const
{
    NodeSettings settings{ .instance = name + std::to_string(number),
                           .zone = this->zoneOf(number),
                           .region = this->zoneOf(number),
                           .address = this->address(kind, number),
                           .linkPorts = { this->options.linkPort, this->options.linkPort + 1U },
                           .isFirstStart = true,
                           .bounds = { .revoke = 3000ms,
                                       .drain = 2000ms,
                                       .stopGrace = 4000ms,
                                       .version = 4000ms,
                                       .retryRatio = 0.2,
                                       .retrySlack = 100,
                                       .retryWindow = 10,
                                       .coldOverrun = 1.5 },
                           .clusterKey = std::string(64, 'a') };
    for (std::uint32_t i = 0; i < this->options.zones; ++i) {
        settings.seeds.push_back(this->address(registryKind, i) + ":"
                                 + std::to_string(this->options.operatorPort));
        settings.regions.push_back({ .zone = this->zoneOf(i), .region = this->zoneOf(i) });
    }
    return settings;
}

NodeSettings Deployment::registry(std::uint32_t number, const std::string &dataFolder) const
{
    NodeSettings settings = this->common("registry", registryKind, number);
    settings.operatorAddress = settings.address + ":" + std::to_string(this->options.operatorPort);
    settings.dataFolder = dataFolder;
    return settings;
}

NodeSettings Deployment::gateway(std::uint32_t number) const
{
    NodeSettings settings = this->common("gateway", gatewayKind, number);
    settings.clientAddress = settings.address + ":" + std::to_string(this->options.clientPort);
    return settings;
}

NodeSettings Deployment::stager(std::uint32_t number) const
{
    NodeSettings settings = this->common("stager", engineKind, number);
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
                             .slots = kSlots,
                             .step = this->options.pass,
                             .prefillTokensPerSecond = 20000,
                             .stepsPerPass = 1,
                             .layers = kLayers,
                             .chunks = this->options.chunks,
                             .chunkBytes = this->options.chunkBytes,
                             .typicalPromptTokens = 100,
                             .typicalAnswerTokens = 12 };
    const Endpoint origin{ .address = this->address(originKind, 0),
                           .port = this->options.upstreamPort };
    return { .number = number,
             .routes = { route("chat", RequestKind::stream, kEngineService),
                         route("act", RequestKind::once, kPlainService),
                         route("read", RequestKind::idempotent, kPlainService) },
             .services = { { .name = kEngineService, .maxConnections = 200, .engine = engine },
                           { .name = kPlainService, .maxConnections = 100 },
                           { .name = "weights",
                             .maxConnections = 20,
                             .origin = OriginSpec{ .endpoint = origin } } },
             .customers = { { .name = "customer", .keys = { key } } } };
}

Deployment::Answer Deployment::call(std::uint32_t registry, const std::string &method,
                                    const std::string &target, const std::string &body)
{
    const std::string head = method + " " + target + " HTTP/1.1\r\nHost: r\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n";
    return this->impl->exchange({ .address = this->address(registryKind, registry),
                                  .port = this->options.operatorPort },
                                head, body, kCallLimit);
}

Deployment::Answer Deployment::request(std::uint32_t gateway, const std::string &path,
                                       const std::string &id, const std::string &key, bool isPost)
{
    const std::string body = isPost ? "{\"a\":1}" : "";
    std::string head = std::string(isPost ? "POST " : "GET ") + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] :
         platform::standinClientHeaders(kHost, id, key, kRequestLimit, 100))
        head += name + ": " + value + "\r\n";
    if (isPost)
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return this->impl->exchange(
            { .address = this->address(gatewayKind, gateway), .port = this->options.clientPort },
            head + "\r\n", body, kRequestLimit);
}

UpstreamRecordOfRuns Deployment::engineRuns(std::uint32_t engine)
{
    UpstreamRecordOfRuns seen;
    this->impl->pool.run([&] { seen = this->impl->engines.at(engine)->seen; });
    return seen;
}

UpstreamRecordOfRuns Deployment::serviceRuns(std::uint32_t service)
{
    UpstreamRecordOfRuns seen;
    this->impl->pool.run([&] { seen = this->impl->services.at(service)->seen; });
    return seen;
}

std::uint64_t Deployment::originBytes()
{
    std::uint64_t bytes = 0;
    this->impl->pool.run([&] { bytes = this->impl->originBytes; });
    return bytes;
}

void Deployment::rot(std::uint32_t engine, std::size_t piece)
{
    this->impl->pool.run([&] { this->impl->engines.at(engine)->staged[piece] = "rotten"; });
}

} // namespace egret
