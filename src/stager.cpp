#include "stager.h"

#include "clock.h"
#include "digest.h"
#include "http_pool.h"
#include "load_notice_schedule.h"
#include "log.h"
#include "manifest_sources.h"
#include "node_options.h"
#include "program.h"
#include "registry_node.h"
#include "request_memory.h"
#include "slow_start_permits.h"
#include "swarm.h"
#include "view_reader.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <set>

namespace egret {

namespace {

/// Interval between reads of the engine's report. Short, because gateways choose engines by the
/// values in the report.
constexpr Milliseconds kReportPeriod = 100ms;
constexpr Milliseconds kReportTimeout = 500ms;
constexpr Milliseconds kStagingPeriod = 20ms;
constexpr Milliseconds kPeerRefreshPeriod = 200ms;
constexpr Milliseconds kEngineCallTimeout = 1s;
/// An origin may be unreachable for seconds. An attempt to connect fails after this time and is
/// repeated, so the stager uses the origin again soon after the origin's return.
constexpr Milliseconds kOriginConnectTimeout = 250ms;
constexpr Milliseconds kCallTimeoutCheckPeriod = 50ms;
/// Limit on the answer of an engine or origin, which is buffered completely. A piece of the weights
/// has to fit into a frame.
constexpr std::size_t kMaxAnswerBytes = kMaxFrameBytes;
/// Time after which another stager or the origin is asked for the manifest.
constexpr Milliseconds kManifestReplyTimeout = 300ms;
/// Number of copies of one piece that don't match its digest, after which the digest is assumed to
/// be wrong. The origin and peers may send damaged pieces now and then.
constexpr std::uint32_t kMismatchesOfWrongManifest = 4;
/// Largest number of concurrent reads of staged pieces from the engine.
constexpr std::size_t kMaxConcurrentReads = 4;
/// Weights version to load until the operators put a version in force.
constexpr std::uint64_t kFirstVersion = 1;
constexpr std::uint32_t kMaxEngineConnections = 8;
/// Share of the machine's network bandwidth for uploading pieces. The engine's answers use the same
/// network connection and must not wait for more than one piece.
constexpr double kUploadShare = 0.75;
/// Share of the machine's network bandwidth for uploading pieces while the engine runs no request.
constexpr double kIdleUploadShare = 0.95;
/// A warning is logged when no piece has arrived for this time. The warning is repeated at most at
/// this interval.
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
    bool isComplete{ false };
    int status{ 0 };
    std::string body;

    bool isSuccess() const { return this->isComplete && this->status >= 200 && this->status < 300; }
};

/// A piece read back from the engine.
struct PieceRead
{
    bool isAnswered{ false }; ///< the engine answered the read
    std::string bytes;        ///< empty when the piece is missing or damaged
};

/// Result of reading several pieces back from the engine.
struct VerifyResult
{
    bool isAnswered{ true }; ///< the engine answered every read
    ChunkSet intactPieces;   ///< pieces that match their digests
};

using CallDone = std::function<void(const CallResult &)>;

/// True when `text` is a SHA-256 digest in lower-case hexadecimal.
bool isHexDigest(const std::string &text)
{
    constexpr std::size_t digestDigits = 64;
    return text.size() == digestDigits
           && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

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
          viewReader(settings, false, this->hub,
                     { .stateChanged = [this] { this->onOperatorState(); },
                       .upstreamChanged = [](const UpstreamRecord &) {} }),
          httpCalls(this->pool.context(),
                    { .maxHeadBytes = answerLimits(settings.memoryMb).maxHeadBytes }),
          uploadTimer(this->pool.context()), staging({ .rolloutLimit = settings.bounds.version })
    {}

    bool start(std::string &problem)
    {
        const auto endpoint = Endpoint::parse(this->settings.engineAddress);
        if (!endpoint) {
            problem = "engineAddress is not an IP address and port";
            return false;
        }
        this->engineEndpoint = *endpoint;
        Reason<std::error_code> reason;
        if (!this->hub.listen(reason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + reason.code.message();
            return false;
        }
        this->pool.every(kViewPollInterval, [this] { this->viewReader.tick(); });
        this->pool.every(kReportPeriod, [this] { this->readReport(); });
        this->pool.every(kStagingPeriod, [this] { this->tick(); });
        this->pool.every(kPeerRefreshPeriod, [this] { this->refreshPeers(); });
        this->pool.every(kCallTimeoutCheckPeriod, [this] { this->checkCallsAndGateways(); });
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
        this->viewReader.addRegistries(endpoints);
    }

    std::string metricsText() const
    {
        std::string text;
        const auto appendMetric = [&text](const char *name, std::uint64_t value) {
            text += std::string("egret_") + name + " " + std::to_string(value) + "\n";
        };
        appendMetric("weights_target", this->staging.target());
        appendMetric("weights_loaded", this->report ? this->report->version : 0);
        appendMetric("pieces_held", this->swarm ? this->swarm->count() : 0);
        appendMetric("origin_bytes_total", this->originBytes);
        appendMetric("peer_bytes_total", this->peerBytes);
        appendMetric("served_bytes_total", this->servedBytes);
        appendMetric("pieces_damaged_total", this->damagedPieceCount);
        appendMetric("load_orders_total", this->loadOrderCount);
        appendMetric("slow_start_permits_total", this->permitCount);
        for (const auto &[reason, count] : this->httpCalls.counters().brokenResponses)
            text += "egret_broken_answers_total{reason=\"" + reason + "\"} " + std::to_string(count)
                    + "\n";
        return text;
    }

    asio::io_context &context() { return this->pool.context(); }

private:
    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        const TimePoint now = bootNow();
        if (const auto *view = std::get_if<View>(&frame.message))
            this->viewReader.onView(link, *view);
        else if (const auto *request = std::get_if<BlockRequest>(&frame.message))
            this->onPieceRequest(link, *request);
        else if (const auto *reply = std::get_if<BlockReply>(&frame.message))
            this->onPiece(link, *reply);
        else if (const auto *permit = std::get_if<PermitRequest>(&frame.message))
            this->onPermitRequest(link, *permit);
        else if (const auto *wanted = std::get_if<ManifestRequest>(&frame.message))
            this->onManifestRequest(link, *wanted);
        else if (const auto *manifest = std::get_if<ManifestReply>(&frame.message))
            this->onManifestReply(*manifest);
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
        this->viewReader.onDown(link);
        this->noticeSchedules.erase(link);
        this->manifestWaiters.erase(link);
    }

    // The operators' state.

    void onOperatorState()
    {
        const OperatorState &state = this->viewReader.view().state();
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
            return logError("failed to parse document in force", { { "problem", problem } });
        this->documentNumber = text.number;
        for (const PlanService &service : plan->services) {
            if (service.origin)
                this->origin = service.origin;
            if (service.name == this->settings.engineService && service.engine)
                this->engineSpec = service.engine;
        }
    }

    void updateTarget()
    {
        if (!this->engineSpec)
            return;
        const std::uint64_t versionInForce =
                this->viewReader.view().textNumber(kWeightsTextPrefix + this->engineSpec->model);
        const std::uint64_t target = std::max(versionInForce, kFirstVersion);
        if (target <= this->staging.target())
            return;
        // The first target after the start of this process may have been in force for long, so this
        // target doesn't count as new.
        const bool isNew = this->staging.target() > 0;
        logInfo("target weights version changed", { { "version", target }, { "new", isNew } });
        this->staging.setTarget(target, isNew, bootNow());
        this->swarm.reset();
        this->digests.clear();
        this->mismatchesByPiece.clear();
        this->manifestSources.reset();
        this->manifestWaiters.clear();
        this->requestedFrom.clear();
    }

    /// Returns the name of the target version in messages between stagers: model and number.
    std::string weightsVersionName() const
    {
        return this->engineSpec->model + "/" + std::to_string(this->staging.target());
    }

    /// True when `version` (text as of `weightsVersionName`) is the version that is being collected
    /// or was collected last.
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
        this->callEngine({ .method = "GET", .target = this->protocol.engineReportTarget },
                         kReportTimeout, [this](const CallResult &result) {
                             this->isReadingReport = false;
                             this->onReport(result);
                         });
    }

    void onReport(const CallResult &result)
    {
        const std::uint32_t layers = this->engineSpec ? this->engineSpec->layers : 0;
        auto newReport =
                result.isSuccess() ? this->protocol.parseReport(result.body, layers) : std::nullopt;
        if (newReport.has_value() != this->report.has_value())
            logInfo(newReport ? "engine became reachable" : "engine became unreachable",
                    { { "engine", this->settings.engineAddress }, { "status", result.status } });
        const std::uint64_t previousVersion = this->report ? this->report->version : 0;
        this->report = std::move(newReport);
        if (!this->report) {
            this->staging.onEngineUnreachable();
            return this->sendLoadNotices();
        }
        if (this->report->version != previousVersion)
            logInfo("engine's weights changed",
                    { { "from", previousVersion }, { "to", this->report->version } });
        // An engine that has no weights and loads none has run no request since its start.
        if (this->report->version == 0 && !this->report->isBusy)
            this->permits.onUpstreamUnused(bootNow());
        this->staging.onEngineStatus(
                { .version = this->report->version, .isBusy = this->report->isBusy }, bootNow());
        this->sendLoadNotices();
    }

    /// Grants or refuses a gateway's request to send to the engine, which is in slow start.
    void onPermitRequest(const LinkPtr &link, const PermitRequest &request)
    {
        if (request.requestsPerSecond <= 0)
            return;
        const PermitDecision decision = this->permits.request(request.requestsPerSecond, bootNow());
        this->permitCount += decision.isGranted ? 1 : 0;
        link->send(PermitReply{ .callId = request.callId,
                                .isGranted = decision.isGranted,
                                .retryAfter = decision.retryAfter });
    }

    /// Sends load notices to the gateways that need a notice now. A change of the engine's
    /// usability or weights version is sent at once. A change of the numbers of queued or running
    /// requests or of the slowdown factor is sent as `LoadNoticeSchedule` tells.
    void sendLoadNotices()
    {
        LoadNotice notice{ .endpoint = this->settings.engineAddress };
        if (this->report) {
            notice.startedAtMs = this->report->startedAtMs;
            notice.isUsable =
                    this->report->version > 0 && !this->report->isBusy && !this->isSendingLoadOrder;
            notice.model = this->report->model;
            notice.version = this->report->version;
            notice.queued = this->report->queued;
            notice.active = this->report->active;
            notice.memoryUsed = this->report->kvUsedTokens;
            notice.memoryTotal = this->report->kvCapacityTokens;
            notice.slowdownFactor = this->report->slowdownFactor;
        }
        const bool isUrgent = notice.isUsable != this->lastNotice.isUsable
                              || notice.version != this->lastNotice.version;
        this->lastNotice = notice;
        const TimePoint now = bootNow();
        for (auto &[link, schedule] : this->noticeSchedules) {
            if (!isUrgent
                && !schedule.isDue(notice.queued, notice.active, notice.slowdownFactor, now))
                continue;
            link->send(notice);
            schedule.onSent(notice.queued, notice.active, notice.slowdownFactor, now);
        }
    }

    // Staging.

    /// Runs the next task of staging the target version.
    void tick()
    {
        if (!this->engineSpec || !this->origin)
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
            this->warnIfStalled(now);
            if (this->swarm->done()) {
                logInfo("weights staged", { { "version", this->staging.target() },
                                            { "originBytes", this->originBytes },
                                            { "peerBytes", this->peerBytes } });
                this->httpCalls.closeIdleConnections(this->origin->endpoint);
                this->staging.onCollected(now);
            }
            return;
        case StagingTask::readBack:
            return this->verifyAllPieces();
        case StagingTask::order:
            return this->sendLoadOrder();
        }
    }

    /// Logs the swarm's state when no piece has arrived for `kStallWarningPeriod`.
    void warnIfStalled(TimePoint now)
    {
        if (this->swarm->done() || now < this->stallWarnedAt + kStallWarningPeriod)
            return;
        const SwarmStall stall = this->swarm->stall(now);
        if (stall.sinceLastChunk < kStallWarningPeriod)
            return;
        this->stallWarnedAt = now;
        logWarn("piece transfer stalled", { { "version", this->staging.target() },
                                            { "missing", stall.missing },
                                            { "piece", stall.firstMissing },
                                            { "holders", stall.holders },
                                            { "reach", stall.firstMissingScope },
                                            { "transfers", stall.transfers },
                                            { "fromOrigin", stall.sourceTransfers },
                                            { "designated", stall.sourceQueueLength },
                                            { "widening", stall.wideningSteps },
                                            { "sinceMs", stall.sinceLastChunk.count() } });
    }

    void fetchManifest()
    {
        const PeerRecord self = this->ownRecord();
        const auto stager = this->manifestSources.next(this->stagers(), self);
        if (!stager)
            return this->fetchManifestFromOrigin();
        this->hub.send(*stager, Channel::control,
                       ManifestRequest{ .version = this->weightsVersionName() });
        this->pool.after(kManifestReplyTimeout, [this, task = this->staging.taskNumber()] {
            this->staging.onManifestFailed(task, bootNow());
        });
    }

    void fetchManifestFromOrigin()
    {
        const std::uint64_t version = this->staging.target();
        const std::uint64_t task = this->staging.taskNumber();
        this->callOrigin(this->protocol.manifestTarget(this->engineSpec->model, version), false,
                         [this, version, task](const CallResult &result) {
                             if (!this->staging.isRunning(task))
                                 return;
                             const auto manifest =
                                     result.isSuccess() ? this->protocol.parseManifest(result.body)
                                                        : std::nullopt;
                             if (manifest && manifest->version == version
                                 && this->useManifest(manifest->digests))
                                 return;
                             logWarn("loading manifest failed",
                                     { { "version", version }, { "status", result.status } });
                             this->staging.onManifestFailed(task, bootNow());
                         });
    }

    /// Takes the digests as those of the target version, unless its manifest is known already or
    /// they can't be right; false in the latter case. Sends the manifest to the stagers that wait.
    bool useManifest(const std::vector<std::string> &newDigests)
    {
        const bool areDigests = std::ranges::all_of(newDigests, isHexDigest);
        if (newDigests.size() != this->engineSpec->chunks || !areDigests)
            return false;
        if (!this->staging.lacksManifest())
            return true;
        this->digests = newDigests;
        this->mismatchesByPiece.clear();
        for (const LinkPtr &link : std::exchange(this->manifestWaiters, {}))
            link->send(this->manifestReply());
        this->staging.onManifest();
        return true;
    }

    ManifestReply manifestReply() const
    {
        return { .version = this->weightsVersionName(), .digests = this->digests };
    }

    /// Answers another stager at once, or as soon as this stager has the manifest.
    void onManifestRequest(const LinkPtr &link, const ManifestRequest &request)
    {
        if (!this->engineSpec || request.version != this->weightsVersionName())
            return;
        if (this->digests.empty())
            this->manifestWaiters.insert(link);
        else
            link->send(this->manifestReply());
    }

    void onManifestReply(const ManifestReply &reply)
    {
        if (this->engineSpec && reply.version == this->weightsVersionName()
            && !this->useManifest(reply.digests))
            logWarn("manifest of another stager is malformed", { { "version", reply.version } });
    }

    /// Counts a piece that did not match its digest. A piece that never matches means a wrong
    /// manifest, which is then fetched again, from the origin only.
    void onPieceMismatch(std::size_t piece)
    {
        if (++this->mismatchesByPiece[piece] < kMismatchesOfWrongManifest)
            return;
        logWarn("manifest rejected", { { "version", this->staging.target() }, { "piece", piece } });
        this->mismatchesByPiece.clear();
        this->digests.clear();
        this->swarm.reset();
        this->requestedFrom.clear();
        this->manifestSources.reset(true);
        this->staging.onManifestRejected(bootNow());
    }

    /// Finds the pieces of the target version that are already staged at the engine, and starts to
    /// collect the others.
    void checkHeld()
    {
        const std::uint64_t version = this->staging.target();
        const std::uint64_t task = this->staging.taskNumber();
        // Only this process stages pieces, and so far it has staged only older versions. No piece
        // of the target version can be at the engine.
        if (this->collectedVersion != 0 && this->collectedVersion < version)
            return this->beginCollecting(task, ChunkSet(this->digests.size()));
        this->callEngine(
                { .method = "GET",
                  .target = this->protocol.listStagedPiecesTarget(this->engineSpec->model) },
                kEngineCallTimeout, [this, task](const CallResult &result) {
                    if (!this->staging.isRunning(task))
                        return;
                    auto stagedPieces = result.isSuccess()
                                                ? this->protocol.parseStagedPieces(result.body)
                                                : std::nullopt;
                    if (!stagedPieces && !(result.isComplete && result.status == 404))
                        return this->staging.onHeldChecked(task, HeldPieces::unknown, bootNow());
                    this->verifyPieces(task, stagedPieces.value_or(std::vector<std::size_t>{}),
                                       [this, task](const VerifyResult &result) {
                                           if (result.isAnswered)
                                               this->beginCollecting(task, result.intactPieces);
                                           else
                                               this->staging.onHeldChecked(
                                                       task, HeldPieces::unknown, bootNow());
                                       });
                });
    }

    void beginCollecting(std::uint64_t task, const ChunkSet &heldPieces)
    {
        const TimePoint now = bootNow();
        const bool isNewVersion = heldPieces.count() == 0 && this->collectedVersion != 0;
        this->collectedVersion = this->staging.target();
        this->swarm.emplace(
                stagingSwarmOptions(this->ownRecord(), isNewVersion, !this->zoneRelays().empty()));
        this->swarm->setPeers(this->peers(), now);
        this->swarm->start(this->digests.size(), heldPieces, 1, now);
        this->staging.onHeldChecked(task, heldPieces.full() ? HeldPieces::all : HeldPieces::some,
                                    now);
        logInfo("weights collection started",
                { { "version", this->staging.target() }, { "held", heldPieces.count() } });
    }

    /// Reads pieces back from the engine, compares them with their digests and calls `done` with
    /// the result, unless staging has gone on to another task than `task` meanwhile.
    void verifyPieces(std::uint64_t task, std::vector<std::size_t> pieces,
                      const std::function<void(const VerifyResult &)> &done)
    {
        struct Verification
        {
            std::deque<std::size_t> remaining;
            std::size_t readsInFlight{ 0 };
            VerifyResult result;
            std::function<void(const VerifyResult &)> done;
            std::uint64_t task{ 0 };
        };
        auto verification = std::make_shared<Verification>();
        std::erase_if(pieces, [this](std::size_t piece) { return piece >= this->digests.size(); });
        verification->remaining.assign(pieces.begin(), pieces.end());
        verification->result.intactPieces = ChunkSet(this->digests.size());
        verification->done = done;
        verification->task = task;
        if (pieces.empty())
            return done(verification->result);
        auto readMore = std::make_shared<std::function<void()>>();
        *readMore = [this, verification, weak = std::weak_ptr(readMore)] {
            const auto self = weak.lock();
            while (verification->readsInFlight < kMaxConcurrentReads
                   && !verification->remaining.empty()) {
                const std::size_t piece = verification->remaining.front();
                verification->remaining.pop_front();
                ++verification->readsInFlight;
                this->readPiece(piece, [this, verification, piece, self](const PieceRead &read) {
                    --verification->readsInFlight;
                    if (!this->staging.isRunning(verification->task))
                        return;
                    if (!read.bytes.empty())
                        verification->result.intactPieces.add(piece);
                    if (!read.isAnswered) {
                        verification->result.isAnswered = false;
                        verification->remaining.clear();
                    }
                    if (verification->remaining.empty() && verification->readsInFlight == 0)
                        verification->done(verification->result);
                    else
                        (*self)();
                });
            }
        };
        (*readMore)();
    }

    /// Reads one piece back from the engine and calls `done` with the result.
    void readPiece(std::size_t piece, const std::function<void(const PieceRead &)> &done)
    {
        const std::uint64_t version = this->staging.target();
        this->callEngine(
                { .method = "GET",
                  .target = this->protocol.getStagedPieceTarget(this->engineSpec->model, piece) },
                kEngineCallTimeout, [this, piece, version, done](const CallResult &result) {
                    const bool isIntact = version == this->staging.target() && result.isSuccess()
                                          && this->matchesDigest(piece, result.body);
                    done({ .isAnswered = result.isComplete,
                           .bytes = isIntact ? result.body : std::string() });
                });
    }

    bool matchesDigest(std::size_t piece, const std::string &bytes) const
    {
        return piece < this->digests.size() && sha256Of(bytes) == this->digests[piece];
    }

    void verifyAllPieces()
    {
        std::vector<std::size_t> allPieces(this->digests.size());
        for (std::size_t i = 0; i < allPieces.size(); ++i)
            allPieces[i] = i;
        const std::uint64_t task = this->staging.taskNumber();
        this->verifyPieces(task, allPieces, [this, task](const VerifyResult &result) {
            const TimePoint now = bootNow();
            const ChunkSet &intactPieces = result.intactPieces;
            if (!result.isAnswered)
                return this->staging.onReadBackUnanswered(task, now);
            if (!intactPieces.full()) {
                this->damagedPieceCount += intactPieces.size() - intactPieces.count();
                logWarn("staged weights failed verification",
                        { { "version", this->staging.target() },
                          { "whole", intactPieces.count() } });
                this->swarm->start(intactPieces.size(), intactPieces, 1, now);
            }
            this->staging.onReadBack(task, intactPieces.full(), now);
        });
    }

    void sendLoadOrder()
    {
        const std::uint64_t version = this->staging.target();
        const std::uint64_t task = this->staging.taskNumber();
        ++this->loadOrderCount;
        // The load notices are sent before the order and report the engine as unusable, so gateways
        // stop sending requests to the engine.
        this->isSendingLoadOrder = true;
        this->sendLoadNotices();
        logInfo("load order sent", { { "version", version } });
        this->callEngine(
                { .method = "POST",
                  .target = this->protocol.loadOrderTarget,
                  .body = this->protocol.loadOrderBody(this->engineSpec->model, version) },
                kEngineCallTimeout, [this, version, task](const CallResult &result) {
                    const OrderReply reply =
                            result.isComplete ? this->protocol.parseOrderStatus(result.status)
                                              : OrderReply::unknown;
                    logInfo("load order answered", { { "version", version },
                                                     { "current", this->staging.isRunning(task) },
                                                     { "status", result.status },
                                                     { "whole", result.isComplete } });
                    this->isSendingLoadOrder = false;
                    if (reply != OrderReply::refused && this->report)
                        this->report->isBusy = true;
                    this->staging.onOrdered(task, reply, bootNow());
                });
    }

    // The swarm.

    /// A queued upload of one piece.
    struct Upload
    {
        LinkPtr link;
        BlockRequest request;
        TimePoint queuedAt;
        /// The piece goes to a relay or to another region, and a whole availability zone waits.
        bool isUrgent{ false };
    };

    PeerRecord ownRecord() const
    {
        return { .endpoint = ownLinkEndpoint(this->settings),
                 .zone = this->settings.zone,
                 .region = this->settings.region };
    }

    /// Returns the known stagers, including this one once its engine has announced itself.
    std::vector<PeerRecord> stagers() const
    {
        std::vector<PeerRecord> stagers;
        for (const auto &[id, record] : this->viewReader.view().upstreams().all()) {
            if (record.service != this->settings.engineService
                || record.notice == AnnouncedState::gone || record.isSilent)
                continue;
            stagers.push_back({ .endpoint = linkEndpointOf(this->settings, record.endpoint),
                                .zone = record.zone,
                                .region = this->regionOf(record.zone) });
        }
        return stagers;
    }

    std::vector<PeerRecord> peers() const
    {
        return selectSwarmPeers(this->stagers(), this->ownRecord());
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

    /// Returns this engine's position in the order in which the service's engines load a version:
    /// 0 for the first, 1 for the last. The order alternates between availability zones.
    double rolloutPosition() const
    {
        std::map<std::string, std::set<std::string>> enginesByZone;
        std::size_t engineCount = 0;
        for (const auto &[id, record] : this->viewReader.view().upstreams().all()) {
            if (record.service != this->settings.engineService
                || record.notice != AnnouncedState::ready)
                continue;
            engineCount += enginesByZone[record.zone].insert(record.endpoint).second ? 1 : 0;
        }
        const auto zone = enginesByZone.find(this->settings.zone);
        if (zone == enginesByZone.end() || !zone->second.contains(this->settings.engineAddress)
            || engineCount < 2)
            return 0;
        const auto rankInZone = std::distance(zone->second.begin(),
                                              zone->second.find(this->settings.engineAddress));
        const auto zoneRank = std::distance(enginesByZone.begin(), zone);
        const double position =
                static_cast<double>(rankInZone) * static_cast<double>(enginesByZone.size())
                + static_cast<double>(zoneRank);
        return std::min(1.0, position / static_cast<double>(engineCount - 1));
    }

    void runSwarm(TimePoint now)
    {
        // Received pieces are stored at the engine, so no piece is fetched while the engine is
        // unreachable.
        if (!this->swarm || (!this->report && !this->swarm->done()))
            return;
        for (const SwarmAction &action : this->swarm->tick(now))
            this->runAction(action);
    }

    void runAction(const SwarmAction &action)
    {
        const std::string version = this->weightsVersionName();
        const std::string endpoint = ownLinkEndpoint(this->settings);
        switch (action.kind) {
        case SwarmAction::Kind::fetchFromSource:
            return this->fetchFromOrigin(action.chunk);
        case SwarmAction::Kind::fetchFromPeer:
            this->requestedFrom[action.chunk] = action.peer;
            this->hub.send(action.peer, Channel::bulk,
                           BlockRequest{ .version = version,
                                         .chunk = static_cast<std::uint32_t>(action.chunk),
                                         .size = static_cast<std::uint32_t>(
                                                 this->engineSpec->chunkBytes) });
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
                this->protocol.pieceTarget(this->engineSpec->model, this->staging.target(), piece),
                true, [this, piece, version](const CallResult &result) {
                    this->originBytes += result.body.size();
                    if (this->isCurrent(version))
                        this->stagePiece(piece, result.isSuccess() ? result.body : "",
                                         PieceSource::external);
                });
    }

    void onPiece(const LinkPtr &link, const BlockReply &reply)
    {
        const Hello peerHello = link->peer();
        // A gateway sends the next piece only after this acknowledgement.
        if (peerHello.role == Role::entry)
            link->send(Have{ .endpoint = ownLinkEndpoint(this->settings),
                             .version = reply.version,
                             .chunks = { reply.chunk } });
        if (!this->isCurrent(reply.version))
            return;
        if (peerHello.role == Role::entry)
            return this->onRelayedPiece(reply);
        const std::string &peer = link->target();
        const auto requested = this->requestedFrom.find(reply.chunk);
        if (requested == this->requestedFrom.end() || requested->second != peer)
            return;
        this->requestedFrom.erase(requested);
        this->peerBytes += reply.bytes.size();
        this->swarm->onBlock(reply.chunk, bootNow());
        this->stagePiece(reply.chunk, reply.bytes,
                         this->swarm->isRemote(peer) ? PieceSource::external
                                                     : PieceSource::regionPeer);
    }

    /// Stages a piece that a gateway relayed. When the same piece was requested from a peer, the
    /// peer's reply will be ignored.
    void onRelayedPiece(const BlockReply &reply)
    {
        if (this->swarm->holdings().has(reply.chunk))
            return;
        this->peerBytes += reply.bytes.size();
        this->requestedFrom.erase(reply.chunk);
        this->stagePiece(reply.chunk, reply.bytes, PieceSource::relay);
    }

    enum class PieceSource : std::uint8_t {
        external,   ///< the origin or another region; the zone's other stagers lack the piece
        regionPeer, ///< another stager of this region, at this stager's request
        relay,      ///< a gateway, without a request of this stager
    };

    /// Verifies a piece and stores it at the engine. A missing or damaged piece is fetched again,
    /// but a damaged piece from a relay is only dropped. `bytes`: empty for a missing piece.
    void stagePiece(std::size_t piece, const std::string &bytes, PieceSource source)
    {
        const TimePoint now = bootNow();
        const bool isIntact = this->matchesDigest(piece, bytes);
        if (!isIntact && !bytes.empty()) {
            ++this->damagedPieceCount;
            logWarn("piece digest mismatch", { { "piece", piece } });
            this->onPieceMismatch(piece);
            if (!this->swarm)
                return;
        }
        if (!isIntact && source == PieceSource::relay)
            return;
        if (!isIntact)
            return this->swarm->onFetched(
                    piece, bytes.empty() ? FetchOutcome::failed : FetchOutcome::corrupt, 0ms, now);
        const std::string version = this->weightsVersionName();
        this->staging.onWriteStarted();
        this->callEngine(
                { .method = "PUT",
                  .target = this->protocol.putStagedPieceTarget(this->engineSpec->model, piece),
                  .body = bytes },
                kEngineCallTimeout, [this, piece, version, source](const CallResult &result) {
                    this->staging.onWriteEnded(result.isComplete, bootNow());
                    if (this->isCurrent(version))
                        this->onStaged(piece, result.isSuccess(), source);
                });
    }

    void onStaged(std::size_t piece, bool isStored, PieceSource source)
    {
        const TimePoint now = bootNow();
        if (source != PieceSource::relay)
            this->swarm->onFetched(piece, isStored ? FetchOutcome::stored : FetchOutcome::failed,
                                   0ms, now);
        else if (isStored)
            this->swarm->onPushedChunk(piece, now);
        if (isStored && source == PieceSource::external)
            this->sendToRelay(piece);
    }

    /// Returns the links of the gateways that relay pieces within this availability zone, in the
    /// same order at all stagers of the zone.
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
                               .size = static_cast<std::uint32_t>(this->engineSpec->chunkBytes) },
                  .queuedAt = bootNow(),
                  .isUrgent = true });
    }

    void onPieceRequest(const LinkPtr &link, const BlockRequest &request)
    {
        this->queueUpload({ .link = link,
                            .request = request,
                            .queuedAt = bootNow(),
                            .isUrgent = link->peer().region != this->settings.region });
    }

    /// Queues an upload. Urgent uploads go before all others.
    void queueUpload(const Upload &upload)
    {
        const auto isNotUrgent = [](const Upload &each) { return !each.isUrgent; };
        const auto position = upload.isUrgent ? std::ranges::find_if(this->uploads, isNotUrgent)
                                              : this->uploads.end();
        this->uploads.insert(position, upload);
        this->uploadNext();
    }

    /// Drops uploads that were queued for too long, sends the next queued piece and waits before
    /// the following upload, which limits uploads to their share of the bandwidth.
    void uploadNext()
    {
        if (this->isUploading)
            return;
        const TimePoint now = bootNow();
        while (!this->uploads.empty() && now > this->uploads.front().queuedAt + kUploadQueueTimeout)
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
        const auto sendEmptyReply = [link = upload.link, request] {
            link->send(BlockReply{ .version = request.version, .chunk = request.chunk });
        };
        if (!this->isCurrent(request.version) || !this->swarm->holdings().has(request.chunk))
            return sendEmptyReply();
        this->readPiece(request.chunk, [this, upload, sendEmptyReply](const PieceRead &read) {
            if (read.bytes.empty())
                return sendEmptyReply();
            this->servedBytes += read.bytes.size();
            upload.link->send(BlockReply{ .version = upload.request.version,
                                          .chunk = upload.request.chunk,
                                          .bytes = read.bytes });
        });
    }

    // HTTP calls.

    void callEngine(const HttpCall &call, Milliseconds timeout, CallDone done)
    {
        this->call(this->engineEndpoint, call,
                   { .timeout = timeout,
                     .connectTimeout = timeout,
                     .maxConnections = kMaxEngineConnections },
                   std::move(done));
    }

    /// `keepsConnection`: more calls to the origin follow soon. An idle connection takes the place
    /// of another stager, as the origin accepts few.
    void callOrigin(const std::string &target, bool keepsConnection, CallDone done)
    {
        this->call(this->origin->endpoint, { .method = "GET", .target = target },
                   { .timeout = kOriginTimeout,
                     .connectTimeout = kOriginConnectTimeout,
                     .maxConnections = kMaxOriginTransfers,
                     .keepsConnection = keepsConnection },
                   std::move(done));
    }

    struct CallOptions
    {
        Milliseconds timeout{ 0 };
        Milliseconds connectTimeout{ 0 };
        std::uint32_t maxConnections{ 1 }; ///< limit on connections to the server
        bool keepsConnection{ true };      ///< see `OutboundCall`
    };

    /// Starts an HTTP call and calls `done` once: at the end of the answer, on failure or after
    /// the timeout.
    void call(const Endpoint &to, const HttpCall &call, const CallOptions &options, CallDone done)
    {
        auto pending = std::make_shared<PendingCall>();
        pending->done = std::move(done);
        pending->deadline = bootNow() + options.timeout;
        std::string head =
                call.method + " " + call.target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n";
        if (call.method != "GET")
            head += "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(call.body.size()) + "\r\n";
        const auto finish = [this, pending](bool isComplete) {
            this->pendingCalls.erase(pending);
            pending->result.isComplete = isComplete;
            std::exchange(pending->done, nullptr)(pending->result);
        };
        pending->callId = this->httpCalls.start({
                .to = to,
                .head = head + "\r\n",
                .body = call.body,
                .maxConnections = options.maxConnections,
                .connectTimeout = options.connectTimeout,
                .maxResponseBytes = kMaxAnswerBytes,
                .keepsConnection = options.keepsConnection,
                .onHead = [pending](const HttpHead &head) { pending->result.status = head.status; },
                .onBody = [pending](std::string &&part) { pending->result.body += part; },
                .onEnd =
                        [finish, target = call.target, to](const CallEnd &callEnd) {
                            if (callEnd.discardedBytes > 0)
                                logInfo("answer broke off or was invalid",
                                        { { "server", to.text() },
                                          { "target", target },
                                          { "reason", callEnd.detail },
                                          { "discardedBytes", callEnd.discardedBytes } });
                            finish(callEnd.outcome == CallOutcome::whole);
                        },
        });
        this->pendingCalls.insert(pending);
    }

    /// Ends calls after their timeout and registers newly linked gateways for load notices.
    void checkCallsAndGateways()
    {
        const TimePoint now = bootNow();
        // Iterate over a copy, because the handler of an ended call may start another call.
        const auto callsToCheck = this->pendingCalls;
        for (const auto &each : callsToCheck) {
            if (now < each->deadline || !each->done)
                continue;
            this->httpCalls.cancel(each->callId);
            this->pendingCalls.erase(each);
            std::exchange(each->done, nullptr)(each->result);
        }
        for (const LinkPtr &link : this->hub.peers(Role::entry)) {
            const bool isRemote = link->peer().region != this->settings.region;
            if (this->noticeSchedules.try_emplace(link, isRemote).second)
                link->send(this->lastNotice);
        }
    }

    struct PendingCall
    {
        CallResult result;
        CallDone done;
        TimePoint deadline;
        std::uint64_t callId{ 0 };
    };

    const NodeSettings settings;
    const StagerProtocol protocol;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ViewReader viewReader;
    HttpPool httpCalls;
    asio::steady_timer uploadTimer;
    std::deque<Upload> uploads;
    bool isUploading{ false };
    Staging staging;
    Endpoint engineEndpoint;
    std::set<std::shared_ptr<PendingCall>> pendingCalls;
    std::map<LinkPtr, LoadNoticeSchedule> noticeSchedules; ///< by link to a gateway

    std::uint64_t documentNumber{ 0 };
    std::optional<EngineSpec> engineSpec;
    std::optional<OriginSpec> origin;
    std::optional<EngineReport> report;
    TimePoint stallWarnedAt;
    bool isReadingReport{ false };
    bool isSendingLoadOrder{ false }; ///< a load order is being sent
    LoadNotice lastNotice;

    std::vector<std::string> digests; ///< SHA-256 of each piece of the target version, or empty
    std::map<std::size_t, std::uint32_t> mismatchesByPiece; ///< with the present `digests`
    ManifestSources manifestSources;
    std::set<LinkPtr> manifestWaiters;   ///< stagers that asked for the missing manifest
    std::uint64_t collectedVersion{ 0 }; ///< version that this process began to collect last
    std::optional<Swarm> swarm;
    std::map<std::size_t, std::string> requestedFrom; ///< by piece: peer asked for the piece

    std::uint64_t originBytes{ 0 };
    std::uint64_t peerBytes{ 0 };
    std::uint64_t servedBytes{ 0 };
    std::uint64_t damagedPieceCount{ 0 };
    std::uint64_t loadOrderCount{ 0 };

    SlowStartPermits permits{ bootNow() };
    std::uint64_t permitCount{ 0 }; ///< permits granted
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
