#include "stager.h"

#include "clock.h"
#include "digest.h"
#include "http_pool.h"
#include "log.h"
#include "node_options.h"
#include "program.h"
#include "registry_node.h"
#include "swarm.h"
#include "view_reader.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <set>

namespace egret {

namespace {

/// Short, because gateways choose engines by the load in the report.
constexpr Milliseconds kReportPeriod = 100ms;
constexpr Milliseconds kReportTimeout = 500ms;
/// An unchanged notice is repeated this often so that gateways know that it is still valid.
constexpr Milliseconds kNoticeRepeatPeriod = 500ms;
/// Gateways in other regions get load changes at most this often: those links are narrow.
constexpr Milliseconds kRemoteNoticePeriod = 300ms;
constexpr Milliseconds kStagingPeriod = 20ms;
constexpr Milliseconds kPeerRefreshPeriod = 200ms;
constexpr Milliseconds kEngineCallTimeout = 1s;
/// Short, so that an origin that was unreachable for seconds is used again soon after it
/// returns.
constexpr Milliseconds kOriginConnectTimeout = 250ms;
constexpr Milliseconds kCallTimeoutCheckPeriod = 50ms;
/// Pieces that are read back from the engine concurrently.
constexpr std::size_t kMaxConcurrentReads = 4;
constexpr std::uint64_t kFirstVersion = 1;
constexpr std::uint32_t kMaxEngineConnections = 8;
/// Share of the machine's link for uploading pieces: the engine's answers use the same link
/// and must not wait for more than one piece.
constexpr double kUploadShare = 0.75;
/// The same share while the engine runs no request.
constexpr double kIdleUploadShare = 0.95;
/// A warning is logged after this time without a new piece, and at most this often.
constexpr Milliseconds kStallWarningPeriod = 2s;

/// An HTTP call to the engine or the origin.
struct HttpCall
{
    std::string method;
    std::string target;
    std::string body;
};

/// Result of a call to the engine or the origin.
struct CallResult
{
    bool isWhole{ false };
    int status{ 0 };
    std::string body;

    bool isSuccess() const { return this->isWhole && this->status >= 200 && this->status < 300; }
};

/// A piece read back from the engine.
struct PieceRead
{
    bool isAnswered{ false };
    std::string bytes; ///< empty when the piece is missing or damaged
};

/// Result of reading several pieces back from the engine.
struct VerifyResult
{
    bool isAnswered{ true }; ///< the engine answered for every piece
    ChunkSet whole;          ///< pieces that match their digests
};

using CallDone = std::function<void(const CallResult &)>;

} // namespace

class Stager::Impl : public std::enable_shared_from_this<Stager::Impl>
{
public:
    Impl(const NodeSettings &settings, StagerProtocol protocol)
        : settings(settings), protocol(std::move(protocol)), incarnation(newIncarnation()), pool(1),
          hub(this->pool, nodeHubOptions(settings, Role::agent, this->incarnation),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->onDown(link); } }),
          reader(settings, false, this->hub,
                 { .stateChanged = [this] { this->onState(); },
                   .upstreamChanged = [](const UpstreamRecord &) {} }),
          calls(this->pool.context()), uploadTimer(this->pool.context()),
          staging({ .bound = settings.bounds.version })
    {}

    bool start(std::string &problem)
    {
        const auto endpoint = Endpoint::parse(this->settings.engineAddress);
        if (!endpoint) {
            problem = "engineAddress is not an IP address and port";
            return false;
        }
        this->engine = *endpoint;
        Reason<std::error_code> reason;
        if (!this->hub.listen(reason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + reason.code.message();
            return false;
        }
        this->pool.every(kViewPollInterval, [this] { this->reader.tick(); });
        this->pool.every(kReportPeriod, [this] { this->readReport(); });
        this->pool.every(kStagingPeriod, [this] { this->tick(); });
        this->pool.every(kPeerRefreshPeriod, [this] { this->refreshPeers(); });
        this->pool.every(kCallTimeoutCheckPeriod, [this] { this->endOverdueCalls(); });
        return true;
    }

    void stop()
    {
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
        const auto line = [&text](const char *name, std::uint64_t value) {
            text += std::string("egret_") + name + " " + std::to_string(value) + "\n";
        };
        line("weights_target", this->staging.target());
        line("weights_loaded", this->report ? this->report->version : 0);
        line("pieces_held", this->swarm ? this->swarm->count() : 0);
        line("origin_bytes_total", this->originBytes);
        line("peer_bytes_total", this->peerBytes);
        line("served_bytes_total", this->servedBytes);
        line("pieces_damaged_total", this->damagedPieces);
        line("load_orders_total", this->loadOrders);
        return text;
    }

    asio::io_context &context() { return this->pool.context(); }

private:
    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        const TimePoint now = bootNow();
        if (const auto *view = std::get_if<View>(&frame.message))
            this->reader.onView(link, *view);
        else if (const auto *request = std::get_if<BlockRequest>(&frame.message))
            this->onPieceRequest(link, *request);
        else if (const auto *reply = std::get_if<BlockReply>(&frame.message))
            this->onPiece(link, *reply);
        else if (const auto *holdings = std::get_if<Holdings>(&frame.message))
            this->onHoldings(*holdings);
        else if (const auto *have = std::get_if<Have>(&frame.message)) {
            if (this->isCurrent(have->version))
                this->swarm->onHave(have->endpoint, have->chunks, now);
        } else if (const auto *progress = std::get_if<SwarmProgress>(&frame.message)) {
            if (this->isCurrent(progress->version))
                this->swarm->onProgress(progress->endpoint, progress->held, now);
        }
    }

    void onDown(const LinkPtr &link)
    {
        this->reader.onDown(link);
        this->gateways.erase(link);
    }

    // The operators' state.

    void onState()
    {
        const OperatorState &state = this->reader.view().state();
        for (const NumberedText &text : state.texts) {
            if (text.name == kDocumentText)
                this->applyDocument(text);
        }
        this->updateTarget();
    }

    void applyDocument(const NumberedText &text)
    {
        if (text.number <= this->documentNumber)
            return;
        std::string problem;
        const auto plan = this->protocol.parsePlan(text.text, problem);
        if (!plan)
            return logError("document in force can't be read", { { "problem", problem } });
        this->documentNumber = text.number;
        for (const PlanService &service : plan->services) {
            if (service.origin)
                this->origin = service.origin;
            if (service.name == this->settings.engineService && service.engine)
                this->spec = service.engine;
        }
    }

    void updateTarget()
    {
        if (!this->spec)
            return;
        const std::uint64_t named =
                this->reader.view().number(kWeightsTextPrefix + this->spec->model);
        const std::uint64_t wanted = std::max(named, kFirstVersion);
        if (wanted <= this->staging.target())
            return;
        // The first view after a start doesn't show when the version was named.
        const bool isNew = this->staging.target() > 0;
        logInfo("weights version is wanted", { { "version", wanted }, { "new", isNew } });
        this->staging.setTarget(wanted, isNew, bootNow());
        this->swarm.reset();
        this->digests.clear();
        this->requestedFrom.clear();
    }

    std::string weightsVersionName() const
    {
        return this->spec->model + "/" + std::to_string(this->staging.target());
    }

    bool isCurrent(const std::string &version) const
    {
        return this->swarm && version == this->weightsVersionName();
    }

    // The engine.

    void readReport()
    {
        if (this->isReadingReport)
            return;
        this->isReadingReport = true;
        this->callEngine({ .method = "GET", .target = this->protocol.reportTarget }, kReportTimeout,
                         [this](const CallResult &result) {
                             this->isReadingReport = false;
                             this->onReport(result);
                         });
    }

    void onReport(const CallResult &result)
    {
        const std::uint32_t layers = this->spec ? this->spec->layers : 0;
        auto next =
                result.isSuccess() ? this->protocol.parseReport(result.body, layers) : std::nullopt;
        if (next.has_value() != this->report.has_value())
            logInfo(next ? "engine answers" : "engine does not answer",
                    { { "engine", this->settings.engineAddress }, { "status", result.status } });
        const std::uint64_t before = this->report ? this->report->version : 0;
        this->report = std::move(next);
        if (!this->report) {
            this->staging.onEngineUnreachable();
            return this->sendLoadNotices();
        }
        if (this->report->version != before)
            logInfo("engine's weights changed",
                    { { "from", before }, { "to", this->report->version } });
        this->staging.onEngineStatus(
                { .version = this->report->version, .isBusy = this->report->isBusy }, bootNow());
        this->sendLoadNotices();
    }

    /// Sends a load notice to each gateway when the engine's state changed or a repeat is due.
    void sendLoadNotices()
    {
        LoadNotice notice{ .endpoint = this->settings.engineAddress };
        if (this->report) {
            notice.startedAtMs = this->report->startedAtMs;
            notice.isUsable =
                    this->report->version > 0 && !this->report->isBusy && !this->isOrdering;
            notice.model = this->report->model;
            notice.version = this->report->version;
            notice.queued = this->report->queued;
            notice.active = this->report->active;
            notice.memoryUsed = this->report->memoryUsed;
            notice.memoryTotal = this->report->memoryTotal;
            notice.slowdownFactor = this->report->slowdownFactor;
        }
        const bool isUrgent = notice.isUsable != this->lastNotice.isUsable
                              || notice.version != this->lastNotice.version;
        const bool isChanged = isUrgent || notice.queued != this->lastNotice.queued
                               || notice.active != this->lastNotice.active;
        this->lastNotice = notice;
        const TimePoint now = bootNow();
        for (auto &[link, receiver] : this->gateways) {
            receiver.isDue = receiver.isDue || isChanged;
            const Milliseconds minInterval = receiver.isRemote ? kRemoteNoticePeriod : 0ms;
            const bool isTime = receiver.isDue && now >= receiver.sentAt + minInterval;
            if (!isUrgent && !isTime && now < receiver.sentAt + kNoticeRepeatPeriod)
                continue;
            link->send(notice);
            receiver = { .isRemote = receiver.isRemote, .sentAt = now };
        }
    }

    // Staging.

    void tick()
    {
        if (!this->spec || !this->origin)
            return;
        const TimePoint now = bootNow();
        switch (this->staging.next(now)) {
        case StagingTask::none:
            return this->runSwarm(now);
        case StagingTask::fetchManifest:
            return this->fetchManifest();
        case StagingTask::checkHeld:
            return this->checkHeld();
        case StagingTask::collect:
            this->runSwarm(now);
            this->warnOfStall(now);
            if (this->swarm->done()) {
                logInfo("weights are staged", { { "version", this->staging.target() },
                                                { "originBytes", this->originBytes },
                                                { "peerBytes", this->peerBytes } });
                this->staging.onCollected(now);
            }
            return;
        case StagingTask::readBack:
            return this->readBack();
        case StagingTask::order:
            return this->sendLoadOrder();
        }
    }

    /// Logs the swarm's state when no piece has arrived for `kStallWarningPeriod`.
    void warnOfStall(TimePoint now)
    {
        if (this->swarm->done() || now < this->stallWarnedAt + kStallWarningPeriod)
            return;
        const SwarmStall stall = this->swarm->stall(now);
        if (stall.sinceLastChunk < kStallWarningPeriod)
            return;
        this->stallWarnedAt = now;
        logWarn("pieces don't come", { { "version", this->staging.target() },
                                       { "missing", stall.missing },
                                       { "piece", stall.firstMissing },
                                       { "holders", stall.holders },
                                       { "reach", stall.reach },
                                       { "transfers", stall.transfers },
                                       { "fromOrigin", stall.sourceTransfers },
                                       { "designated", stall.designated },
                                       { "widening", stall.widening },
                                       { "sinceMs", stall.sinceLastChunk.count() } });
    }

    void fetchManifest()
    {
        const std::uint64_t version = this->staging.target();
        this->callOrigin(this->protocol.manifestTarget(this->spec->model, version),
                         [this, version](const CallResult &result) {
                             if (version != this->staging.target())
                                 return;
                             const auto manifest =
                                     result.isSuccess() ? this->protocol.parseManifest(result.body)
                                                        : std::nullopt;
                             const bool isValid = manifest && manifest->version == version
                                                  && manifest->digests.size() == this->spec->chunks;
                             if (isValid)
                                 this->digests = manifest->digests;
                             else
                                 logWarn("manifest was not taken",
                                         { { "version", version }, { "status", result.status } });
                             this->staging.onManifest(isValid, bootNow());
                         });
    }

    /// Finds the pieces of the target version that are already staged at the engine.
    void checkHeld()
    {
        const std::uint64_t version = this->staging.target();
        // This process has staged only pieces of an older version.
        if (this->collectedVersion != 0 && this->collectedVersion < version)
            return this->beginCollecting(ChunkSet(this->digests.size()));
        this->callEngine(
                { .method = "GET", .target = this->protocol.stageListTarget(this->spec->model) },
                kEngineCallTimeout, [this, version](const CallResult &result) {
                    if (version != this->staging.target())
                        return;
                    auto held = result.isSuccess() ? this->protocol.parseStagedPieces(result.body)
                                                   : std::nullopt;
                    if (!held && !(result.isWhole && result.status == 404))
                        return this->staging.onHeldChecked(HeldPieces::unknown, bootNow());
                    this->verifyPieces(held.value_or(std::vector<std::size_t>{}),
                                       [this](const VerifyResult &read) {
                                           if (read.isAnswered)
                                               this->beginCollecting(read.whole);
                                           else
                                               this->staging.onHeldChecked(HeldPieces::unknown,
                                                                           bootNow());
                                       });
                });
    }

    void beginCollecting(const ChunkSet &held)
    {
        const TimePoint now = bootNow();
        const bool isNew = held.count() == 0 && this->collectedVersion != 0;
        this->collectedVersion = this->staging.target();
        const PeerRecord self{ .endpoint = ownLinkEndpoint(this->settings),
                               .zone = this->settings.zone,
                               .region = this->settings.region };
        this->swarm.emplace(stagingSwarmOptions(self, isNew, !this->zoneRelays().empty()));
        this->swarm->setPeers(this->peers(), now);
        this->swarm->start(this->digests.size(), held, 1, now);
        this->staging.onHeldChecked(held.full() ? HeldPieces::all : HeldPieces::some, now);
        logInfo("weights are collected",
                { { "version", this->staging.target() }, { "held", held.count() } });
    }

    /// Reads pieces back from the engine and passes those that match their digests to `done`.
    void verifyPieces(std::vector<std::size_t> pieces,
                      const std::function<void(const VerifyResult &)> &done)
    {
        struct Work
        {
            std::deque<std::size_t> left;
            std::size_t running{ 0 };
            VerifyResult read;
            std::function<void(const VerifyResult &)> done;
            std::uint64_t version{ 0 };
        };
        auto work = std::make_shared<Work>();
        std::erase_if(pieces, [this](std::size_t piece) { return piece >= this->digests.size(); });
        work->left.assign(pieces.begin(), pieces.end());
        work->read.whole = ChunkSet(this->digests.size());
        work->done = done;
        work->version = this->staging.target();
        if (pieces.empty())
            return done(work->read);
        auto step = std::make_shared<std::function<void()>>();
        *step = [this, work, weak = std::weak_ptr(step)] {
            const auto self = weak.lock();
            while (work->running < kMaxConcurrentReads && !work->left.empty()) {
                const std::size_t piece = work->left.front();
                work->left.pop_front();
                ++work->running;
                this->readPiece(piece, [this, work, piece, self](const PieceRead &read) {
                    --work->running;
                    if (work->version != this->staging.target())
                        return;
                    if (!read.bytes.empty())
                        work->read.whole.add(piece);
                    if (!read.isAnswered) {
                        work->read.isAnswered = false;
                        work->left.clear();
                    }
                    if (work->left.empty() && work->running == 0)
                        work->done(work->read);
                    else
                        (*self)();
                });
            }
        };
        (*step)();
    }

    /// Reads one piece back; `done` gets no bytes when the piece is missing or damaged.
    void readPiece(std::size_t piece, const std::function<void(const PieceRead &)> &done)
    {
        const std::uint64_t version = this->staging.target();
        this->callEngine({ .method = "GET",
                           .target = this->protocol.stageGetTarget(this->spec->model, piece) },
                         kEngineCallTimeout,
                         [this, piece, version, done](const CallResult &result) {
                             const bool isIntact = version == this->staging.target()
                                                   && result.isSuccess()
                                                   && this->matchesDigest(piece, result.body);
                             done({ .isAnswered = result.isWhole,
                                    .bytes = isIntact ? result.body : std::string() });
                         });
    }

    bool matchesDigest(std::size_t piece, const std::string &bytes) const
    {
        return piece < this->digests.size() && sha256Of(bytes) == this->digests[piece];
    }

    void readBack()
    {
        std::vector<std::size_t> all(this->digests.size());
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i] = i;
        this->verifyPieces(all, [this](const VerifyResult &read) {
            const TimePoint now = bootNow();
            const ChunkSet &whole = read.whole;
            if (!read.isAnswered)
                return this->staging.onReadBackUnanswered(now);
            if (!whole.full()) {
                this->damagedPieces += whole.size() - whole.count();
                logWarn("staged weights are damaged",
                        { { "version", this->staging.target() }, { "whole", whole.count() } });
                this->swarm->start(whole.size(), whole, 1, now);
            }
            this->staging.onReadBack(whole.full(), now);
        });
    }

    void sendLoadOrder()
    {
        const std::uint64_t version = this->staging.target();
        ++this->loadOrders;
        // Gateways are notified before the engine, so that they send it no new requests.
        this->isOrdering = true;
        this->sendLoadNotices();
        logInfo("engine is ordered to load", { { "version", version } });
        this->callEngine({ .method = "POST",
                           .target = this->protocol.orderTarget,
                           .body = this->protocol.loadOrderBody(this->spec->model, version) },
                         kEngineCallTimeout, [this](const CallResult &result) {
                             const OrderReply reply =
                                     result.isWhole ? this->protocol.parseOrderStatus(result.status)
                                                    : OrderReply::unknown;
                             logInfo("load order answered",
                                     { { "status", result.status }, { "whole", result.isWhole } });
                             this->isOrdering = false;
                             if (reply != OrderReply::refused && this->report)
                                 this->report->isBusy = true;
                             this->staging.onOrdered(reply, bootNow());
                         });
    }

    // The swarm.

    /// A queued upload of one piece.
    struct Upload
    {
        LinkPtr link;
        BlockRequest request;
        TimePoint askedAt;
        bool isUrgent{ false }; ///< a whole availability zone waits for the piece
    };

    std::vector<PeerRecord> peers() const
    {
        std::vector<PeerRecord> all;
        for (const auto &[id, record] : this->reader.view().upstreams().all()) {
            if (record.service != this->settings.engineService
                || record.notice == AnnouncedState::gone || record.isSilent)
                continue;
            all.push_back({ .endpoint = linkEndpointOf(this->settings, record.endpoint),
                            .zone = record.zone,
                            .region = this->regionOf(record.zone) });
        }
        const PeerRecord self{ .endpoint = ownLinkEndpoint(this->settings),
                               .zone = this->settings.zone,
                               .region = this->settings.region };
        return selectSwarmPeers(all, self);
    }

    std::string regionOf(const std::string &zone) const
    {
        const auto found = std::ranges::find(this->settings.regions, zone, &ZoneRegion::zone);
        return found == this->settings.regions.end() ? "" : found->region;
    }

    void refreshPeers()
    {
        if (this->swarm)
            this->swarm->setPeers(this->peers(), bootNow());
        this->staging.setRolloutPosition(this->rolloutPosition());
    }

    /// Returns this engine's position in the loading order of its service's engines, from 0
    /// for the first to 1 for the last; the order alternates between zones.
    double rolloutPosition() const
    {
        std::map<std::string, std::set<std::string>> zones;
        std::size_t count = 0;
        for (const auto &[id, record] : this->reader.view().upstreams().all()) {
            if (record.service != this->settings.engineService
                || record.notice != AnnouncedState::ready)
                continue;
            count += zones[record.zone].insert(record.endpoint).second ? 1 : 0;
        }
        const auto zone = zones.find(this->settings.zone);
        if (zone == zones.end() || !zone->second.contains(this->settings.engineAddress)
            || count < 2)
            return 0;
        const auto inZone = std::distance(zone->second.begin(),
                                          zone->second.find(this->settings.engineAddress));
        const auto zoneRank = std::distance(zones.begin(), zone);
        const double place = static_cast<double>(inZone) * static_cast<double>(zones.size())
                             + static_cast<double>(zoneRank);
        return std::min(1.0, place / static_cast<double>(count - 1));
    }

    void runSwarm(TimePoint now)
    {
        // Received pieces are stored at the engine, so none are fetched while it is unreachable.
        if (!this->swarm || (!this->report && !this->swarm->done()))
            return;
        for (const SwarmAction &action : this->swarm->tick(now))
            this->run(action);
    }

    void run(const SwarmAction &action)
    {
        const std::string version = this->weightsVersionName();
        const std::string endpoint = ownLinkEndpoint(this->settings);
        switch (action.kind) {
        case SwarmAction::Kind::fetchFromSource:
            return this->fetchFromOrigin(action.chunk);
        case SwarmAction::Kind::fetchFromPeer:
            this->requestedFrom[action.chunk] = action.peer;
            this->hub.send(
                    action.peer, Channel::bulk,
                    BlockRequest{ .version = version,
                                  .chunk = static_cast<std::uint32_t>(action.chunk),
                                  .size = static_cast<std::uint32_t>(this->spec->chunkBytes) });
            return;
        case SwarmAction::Kind::cancel:
            this->requestedFrom.erase(action.chunk);
            return;
        case SwarmAction::Kind::sendHave:
            this->hub.send(
                    action.peer, Channel::control,
                    Have{ .endpoint = endpoint, .version = version, .chunks = action.chunks });
            return;
        case SwarmAction::Kind::sendProgress:
            this->hub.send(
                    action.peer, Channel::control,
                    SwarmProgress{ .endpoint = endpoint,
                                   .version = version,
                                   .held = static_cast<std::uint32_t>(this->swarm->count()) });
            return;
        case SwarmAction::Kind::exchangeHoldings:
            return this->sendHoldings(action.peer, true);
        }
    }

    void sendHoldings(const std::string &peer, bool wantsReply)
    {
        this->hub.send(peer, Channel::control,
                       Holdings{ .agent = this->settings.instance,
                                 .endpoint = ownLinkEndpoint(this->settings),
                                 .region = this->settings.region,
                                 .version = this->weightsVersionName(),
                                 .bitmap = this->swarm->holdings().toBytes(),
                                 .wantsReply = wantsReply });
    }

    void onHoldings(const Holdings &holdings)
    {
        if (!this->isCurrent(holdings.version))
            return;
        const std::size_t count = this->swarm->holdings().size();
        if (const auto chunks = ChunkSet::fromBytes(holdings.bitmap, count))
            this->swarm->onHoldings(holdings.endpoint, *chunks, bootNow());
        if (holdings.wantsReply)
            this->sendHoldings(holdings.endpoint, false);
    }

    void fetchFromOrigin(std::size_t piece)
    {
        const std::string version = this->weightsVersionName();
        this->callOrigin(
                this->protocol.pieceTarget(this->spec->model, this->staging.target(), piece),
                [this, piece, version](const CallResult &result) {
                    this->originBytes += result.body.size();
                    if (this->isCurrent(version))
                        this->stagePiece(piece, result.isSuccess() ? result.body : "",
                                         PieceSource::external);
                });
    }

    void onPiece(const LinkPtr &link, const BlockReply &reply)
    {
        const Hello peerHello = link->peer();
        // A gateway sends the next piece only after this confirmation.
        if (peerHello.role == Role::entry)
            link->send(Have{ .endpoint = ownLinkEndpoint(this->settings),
                             .version = reply.version,
                             .chunks = { reply.chunk } });
        if (!this->isCurrent(reply.version))
            return;
        if (peerHello.role == Role::entry)
            return this->onRelayedPiece(reply);
        const std::string &peer = link->target();
        const auto asked = this->requestedFrom.find(reply.chunk);
        if (asked == this->requestedFrom.end() || asked->second != peer)
            return;
        this->requestedFrom.erase(asked);
        this->peerBytes += reply.bytes.size();
        this->swarm->onBlock(reply.chunk, bootNow());
        this->stagePiece(reply.chunk, reply.bytes,
                         this->swarm->isRemote(peer) ? PieceSource::external
                                                     : PieceSource::regionPeer);
    }

    /// Stages a piece relayed by a gateway without waiting for an in-flight transfer of the
    /// same piece.
    void onRelayedPiece(const BlockReply &reply)
    {
        if (this->swarm->holdings().has(reply.chunk))
            return;
        this->peerBytes += reply.bytes.size();
        this->requestedFrom.erase(reply.chunk);
        this->stagePiece(reply.chunk, reply.bytes, PieceSource::relay);
    }

    enum class PieceSource : std::uint8_t {
        external,   ///< the origin or another region: no other stager of the zone has the piece
        regionPeer, ///< a stager of this region, on request
        relay,      ///< a gateway, without a request
    };

    /// Verifies a piece and stages it. A missing or damaged piece is fetched again; a damaged
    /// piece from a relay is dropped.
    void stagePiece(std::size_t piece, const std::string &bytes, PieceSource from)
    {
        const TimePoint now = bootNow();
        const bool isIntact = this->matchesDigest(piece, bytes);
        if (!isIntact && !bytes.empty()) {
            ++this->damagedPieces;
            logWarn("a piece of weights is damaged", { { "piece", piece } });
        }
        if (!isIntact && from == PieceSource::relay)
            return;
        if (!isIntact)
            return this->swarm->onFetched(
                    piece, bytes.empty() ? FetchOutcome::failed : FetchOutcome::corrupt, 0ms, now);
        const std::string version = this->weightsVersionName();
        this->callEngine({ .method = "PUT",
                           .target = this->protocol.stagePutTarget(this->spec->model, piece),
                           .body = bytes },
                         kEngineCallTimeout,
                         [this, piece, version, from](const CallResult &result) {
                             if (this->isCurrent(version))
                                 this->onStaged(piece, result.isSuccess(), from);
                         });
    }

    void onStaged(std::size_t piece, bool isStored, PieceSource from)
    {
        const TimePoint now = bootNow();
        if (from != PieceSource::relay)
            this->swarm->onFetched(piece, isStored ? FetchOutcome::kept : FetchOutcome::failed, 0ms,
                                   now);
        else if (isStored)
            this->swarm->onPushedChunk(piece, now);
        if (isStored && from == PieceSource::external)
            this->sendToRelay(piece);
    }

    /// Returns the links of the gateways that relay pieces within the zone, in the same order
    /// at all stagers of the zone.
    std::vector<LinkPtr> zoneRelays()
    {
        std::vector<LinkPtr> links = this->hub.peers(Role::entry);
        std::erase_if(links, [this](const LinkPtr &link) {
            return link->peer().zone != this->settings.zone;
        });
        std::ranges::sort(links, {}, [](const LinkPtr &link) { return link->peer().endpoint; });
        return links;
    }

    /// Sends a piece to one of the zone's gateways, which relays it to the zone's other stagers.
    void sendToRelay(std::size_t piece)
    {
        const std::vector<LinkPtr> links = this->zoneRelays();
        if (links.empty())
            return;
        this->queueUpload(
                { .link = links[piece % links.size()],
                  .request = { .version = this->weightsVersionName(),
                               .chunk = static_cast<std::uint32_t>(piece),
                               .size = static_cast<std::uint32_t>(this->spec->chunkBytes) },
                  .askedAt = bootNow(),
                  .isUrgent = true });
    }

    void onPieceRequest(const LinkPtr &link, const BlockRequest &request)
    {
        this->queueUpload({ .link = link,
                            .request = request,
                            .askedAt = bootNow(),
                            .isUrgent = link->peer().region != this->settings.region });
    }

    /// Queues an upload, ahead of those that are not urgent when a whole zone waits for the piece.
    void queueUpload(const Upload &upload)
    {
        const auto isOther = [](const Upload &each) { return !each.isUrgent; };
        const auto place = upload.isUrgent ? std::ranges::find_if(this->uploads, isOther)
                                           : this->uploads.end();
        this->uploads.insert(place, upload);
        this->uploadNext();
    }

    /// Sends queued pieces one after the other, paced to the upload share of the link.
    void uploadNext()
    {
        if (this->isUploading)
            return;
        const TimePoint now = bootNow();
        while (!this->uploads.empty() && now > this->uploads.front().askedAt + kUploadQueueTimeout)
            this->uploads.pop_front();
        if (this->uploads.empty())
            return;
        this->isUploading = true;
        const Upload upload = this->uploads.front();
        this->uploads.pop_front();
        this->sendPiece(upload);
        const bool isIdle = this->report && this->report->active == 0;
        const double share = isIdle ? kIdleUploadShare : kUploadShare;
        const double rate = this->settings.linkMbps * share / 8 * 1000; // bytes per millisecond
        const double bytes = static_cast<double>(upload.request.size);
        const FloatMilliseconds pause(rate > 0 ? bytes / rate : 0.0);
        this->uploadTimer.expires_after(std::chrono::ceil<std::chrono::microseconds>(pause));
        this->uploadTimer.async_wait([this](const std::error_code &error) {
            if (error)
                return;
            this->isUploading = false;
            this->uploadNext();
        });
    }

    void sendPiece(const Upload &upload)
    {
        const BlockRequest &request = upload.request;
        const auto refuse = [link = upload.link, request] {
            link->send(BlockReply{ .version = request.version, .chunk = request.chunk });
        };
        if (!this->isCurrent(request.version) || !this->swarm->holdings().has(request.chunk))
            return refuse();
        this->readPiece(request.chunk, [this, upload, refuse](const PieceRead &read) {
            if (read.bytes.empty())
                return refuse();
            this->servedBytes += read.bytes.size();
            upload.link->send(BlockReply{ .version = upload.request.version,
                                          .chunk = upload.request.chunk,
                                          .bytes = read.bytes });
        });
    }

    // Calls.

    void callEngine(const HttpCall &call, Milliseconds timeout, CallDone done)
    {
        this->call(this->engine, call, timeout, kMaxEngineConnections, std::move(done), timeout);
    }

    void callOrigin(const std::string &target, CallDone done)
    {
        this->call(this->origin->endpoint, { .method = "GET", .target = target }, kOriginTimeout,
                   kMaxOriginTransfers, std::move(done), kOriginConnectTimeout);
    }

    void call(const Endpoint &to, const HttpCall &call, Milliseconds timeout,
              std::uint32_t connections, CallDone done, Milliseconds connectTimeout)
    {
        auto pending = std::make_shared<PendingCall>();
        pending->done = std::move(done);
        pending->deadline = bootNow() + timeout;
        std::string head =
                call.method + " " + call.target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n";
        if (call.method != "GET")
            head += "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(call.body.size()) + "\r\n";
        const auto end = [this, pending](bool isWhole) {
            this->pending.erase(pending);
            pending->result.isWhole = isWhole;
            std::exchange(pending->done, nullptr)(pending->result);
        };
        pending->number = this->calls.start({
                .to = to,
                .head = head + "\r\n",
                .body = call.body,
                .maxConnections = connections,
                .connectTimeout = connectTimeout,
                .onHead = [pending](const HttpHead &head) { pending->result.status = head.status; },
                .onBody = [pending](std::string &&part) { pending->result.body += part; },
                .onEnd = [end](const CallEnd &how) { end(how.outcome == CallOutcome::whole); },
        });
        this->pending.insert(pending);
    }

    void endOverdueCalls()
    {
        const TimePoint now = bootNow();
        const auto all = this->pending;
        for (const auto &each : all) {
            if (now < each->deadline || !each->done)
                continue;
            this->calls.cancel(each->number);
            this->pending.erase(each);
            std::exchange(each->done, nullptr)(each->result);
        }
        for (const LinkPtr &link : this->hub.peers(Role::entry)) {
            const bool isRemote = link->peer().region != this->settings.region;
            if (this->gateways.try_emplace(link, NoticeReceiver{ .isRemote = isRemote }).second)
                link->send(this->lastNotice);
        }
    }

    /// A gateway that receives load notices.
    struct NoticeReceiver
    {
        bool isRemote{ false }; ///< in another region
        bool isDue{ false };    ///< the load changed since the last notice
        TimePoint sentAt;
    };

    struct PendingCall
    {
        CallResult result;
        CallDone done;
        TimePoint deadline;
        std::uint64_t number{ 0 };
    };

    const NodeSettings settings;
    const StagerProtocol protocol;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ViewReader reader;
    HttpPool calls;
    asio::steady_timer uploadTimer;
    std::deque<Upload> uploads;
    bool isUploading{ false };
    Staging staging;
    Endpoint engine;
    std::set<std::shared_ptr<PendingCall>> pending;
    std::map<LinkPtr, NoticeReceiver> gateways;

    std::uint64_t documentNumber{ 0 };
    std::optional<EngineSpec> spec;
    std::optional<OriginSpec> origin;
    std::optional<EngineReport> report;
    TimePoint stallWarnedAt;
    bool isReadingReport{ false };
    bool isOrdering{ false };
    LoadNotice lastNotice;

    std::vector<std::string> digests;    ///< of the target version's pieces
    std::uint64_t collectedVersion{ 0 }; ///< last version of which this process collected pieces
    std::optional<Swarm> swarm;
    std::map<std::size_t, std::string> requestedFrom; ///< by piece: peer that was asked

    std::uint64_t originBytes{ 0 };
    std::uint64_t peerBytes{ 0 };
    std::uint64_t servedBytes{ 0 };
    std::uint64_t damagedPieces{ 0 };
    std::uint64_t loadOrders{ 0 };
};

Stager::Stager(const NodeSettings &settings, StagerProtocol protocol)
    : impl(std::make_shared<Impl>(settings, std::move(protocol)))
{}

Stager::~Stager() = default;

bool Stager::start(std::string &problem)
{
    return this->impl->start(problem);
}

void Stager::stop()
{
    this->impl->stop();
}

void Stager::addSeeds(const std::vector<std::string> &seeds)
{
    this->impl->addSeeds(seeds);
}

std::string Stager::metricsText() const
{
    return this->impl->metricsText();
}

asio::io_context &Stager::context()
{
    return this->impl->context();
}

} // namespace egret
