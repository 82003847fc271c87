#include "weights_agent.h"

#include "log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>

namespace egret {

namespace {

constexpr Milliseconds kManifestRetryDelay = 500ms;
constexpr Milliseconds kSourceTimeout = 20s;
constexpr Milliseconds kDiskRetryDelay = 1s;
constexpr std::uint32_t kBlockBytes = 64U << 10U;
constexpr std::uint32_t kMaxInFlightBlocks = 4;
/// Blocks from other regions are small, and each chunk has only one block in flight: on a thin
/// link, the in-flight blocks of all super-peers of a region must leave room for live traffic.
constexpr std::uint32_t kRemoteBlockBytes = 16U << 10U;
constexpr std::uint32_t kMaxRemoteInFlightBlocks = 1;

/// A chunk that is being received from a peer, block by block in order.
struct Assembly
{
    std::string peer;                  ///< endpoint
    std::string bytes;                 ///< bytes received so far
    std::uint32_t size{ 0 };           ///< size of the chunk, in bytes
    std::uint32_t requestedBytes{ 0 }; ///< number of bytes requested so far, received or not
    std::uint32_t blockBytes{ kBlockBytes };
    std::uint32_t maxInFlightBlocks{ kMaxInFlightBlocks };
};

/// State of the version that is being fetched and served.
struct WeightsState
{
    explicit WeightsState(const WeightsAgentOptions &options) : swarm(options.swarm) {}

    /// Store of the version whose manifest was received last, which is the version of `target` or
    /// of an earlier target. Null before the first manifest and after a failed publication.
    std::shared_ptr<WeightsStore> store;
    Swarm swarm;
    WeightsDocument target;
    std::string completeVersion; ///< version that was published last, empty for none
    bool isFetchingManifest{ false };
    bool isPublishing{ false };
    TimePoint manifestRetryAt;
    TimePoint diskRetryAt;
    std::map<std::size_t, Assembly> assemblies;
    std::size_t nextSourceIndex{ 0 };

    bool hasStoreOf(const std::string &version) const
    {
        return this->store != nullptr && this->store->version() == version;
    }
};

/// The delay in a source's Retry-After header, at most 60 s; zero without the header.
Milliseconds retryAfterOf(const HttpResult &result)
{
    const std::string text = headerValue(result.headers, "Retry-After");
    std::uint32_t seconds = 0;
    constexpr std::uint32_t maxSeconds = 60;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return Seconds(std::min(seconds, maxSeconds));
}

/// Returns requests for the next blocks of a chunk, up to the limit of in-flight blocks.
std::vector<BlockRequest> nextBlocks(const std::string &version, std::size_t chunk,
                                     Assembly &assembly)
{
    std::vector<BlockRequest> requests;
    const std::uint32_t maxRequestedBytes = static_cast<std::uint32_t>(assembly.bytes.size())
                                            + assembly.maxInFlightBlocks * assembly.blockBytes;
    while (assembly.requestedBytes < std::min(assembly.size, maxRequestedBytes)) {
        const std::uint32_t size =
                std::min(assembly.blockBytes, assembly.size - assembly.requestedBytes);
        requests.push_back({ .version = version,
                             .chunk = static_cast<std::uint32_t>(chunk),
                             .offset = assembly.requestedBytes,
                             .size = size });
        assembly.requestedBytes += size;
    }
    return requests;
}

} // namespace

class WeightsAgent::Impl : public std::enable_shared_from_this<WeightsAgent::Impl>
{
public:
    Impl(WorkerPool &pool, const WeightsAgentOptions &options, HttpClient &http,
         OnComplete onComplete)
        : pool(pool), options(options), http(http), onComplete(std::move(onComplete)),
          guardedState(options)
    {}

    void setTarget(const WeightsDocument &weights)
    {
        this->guardedState.with([&](WeightsState &state) {
            state.target = weights;
            state.manifestRetryAt = {};
        });
    }

    void setPeers(const std::vector<PeerRecord> &peers)
    {
        this->guardedState.with([&](WeightsState &state) {
            state.swarm.setPeers(peers, std::chrono::steady_clock::now());
        });
    }

    std::string heldVersion()
    {
        return this->guardedState.with([](WeightsState &state) { return state.completeVersion; });
    }

    bool onFrame(const LinkPtr &link, const Frame &frame)
    {
        if (const auto *request = std::get_if<BlockRequest>(&frame.message))
            this->answerBlock(link, *request);
        else if (const auto *reply = std::get_if<BlockReply>(&frame.message))
            this->onBlock(link->target(), *reply);
        else if (const auto *holdings = std::get_if<Holdings>(&frame.message))
            this->onHoldings(*holdings);
        else if (const auto *have = std::get_if<Have>(&frame.message))
            this->onHave(*have);
        else if (const auto *progress = std::get_if<SwarmProgress>(&frame.message))
            this->onProgress(*progress);
        else
            return false;
        return true;
    }

    void tick()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        std::vector<SwarmAction> actions;
        WeightsDocument target;
        bool wantsManifest = false;
        this->guardedState.with([&](WeightsState &state) {
            target = state.target;
            if (target.version.empty())
                return;
            if (!state.hasStoreOf(target.version)) {
                wantsManifest = !state.isFetchingManifest && now >= state.manifestRetryAt;
                state.isFetchingManifest = state.isFetchingManifest || wantsManifest;
            } else if (now >= state.diskRetryAt) {
                actions = state.swarm.tick(now);
            }
        });
        if (wantsManifest)
            this->fetchManifest(target);
        for (const SwarmAction &action : actions)
            this->execute(target, action);
    }

    LinkHub *hub{ nullptr };

private:
    void execute(const WeightsDocument &target, const SwarmAction &action)
    {
        switch (action.kind) {
        case SwarmAction::Kind::fetchFromSource:
            return this->fetchFromSource(target, action);
        case SwarmAction::Kind::fetchFromPeer:
            return this->fetchFromPeer(target, action);
        case SwarmAction::Kind::cancel:
            return this->guardedState.with(
                    [&](WeightsState &state) { state.assemblies.erase(action.chunk); });
        case SwarmAction::Kind::sendHave:
            this->send(action.peer, Have{ .endpoint = this->endpoint(),
                                          .version = target.version,
                                          .chunks = action.chunks });
            return;
        case SwarmAction::Kind::sendProgress:
            return this->sendProgress(target.version, action.peer);
        case SwarmAction::Kind::exchangeHoldings:
            return this->sendHoldings(target.version, action.peer, true);
        }
    }

    const std::string &endpoint() const { return this->options.swarm.self.endpoint; }

    void send(const std::string &peer, const Message &message)
    {
        this->hub->send(peer, Channel::control, message);
    }

    void sendProgress(const std::string &version, const std::string &peer)
    {
        const std::size_t held =
                this->guardedState.with([](WeightsState &state) { return state.swarm.count(); });
        this->send(peer, SwarmProgress{ .endpoint = this->endpoint(),
                                        .version = version,
                                        .held = static_cast<std::uint32_t>(held) });
    }

    void sendHoldings(const std::string &version, const std::string &peer, bool wantsReply)
    {
        Holdings holdings{ .agent = this->options.instance,
                           .endpoint = this->endpoint(),
                           .region = this->options.swarm.self.region,
                           .version = version,
                           .wantsReply = wantsReply };
        const bool isCurrent = this->guardedState.with([&](WeightsState &state) {
            if (!state.hasStoreOf(version))
                return false;
            holdings.bitmap = state.swarm.holdings().toBytes();
            return true;
        });
        if (isCurrent)
            this->send(peer, holdings);
    }

    void fetchManifest(const WeightsDocument &target)
    {
        if (target.sources.empty())
            return;
        const std::size_t sourceIndex =
                this->guardedState.with([](WeightsState &state) { return state.nextSourceIndex; });
        HttpCall call{ .url = target.sources[sourceIndex % target.sources.size()] + "/weights/"
                              + target.version + "/manifest",
                       .timeout = kSourceTimeout };
        call.onDone = [self = this->shared_from_this(),
                       version = target.version](HttpResult &&result) {
            asio::post(self->pool.context(), [self, version, result = std::move(result)] {
                self->onManifest(version, result);
            });
        };
        this->http.start(std::move(call));
    }

    void onManifest(const std::string &version, const HttpResult &result)
    {
        // Step 1. Parse the manifest; its digest must equal the version.
        std::string problem = result.error;
        std::shared_ptr<WeightsStore> store;
        if (result.complete && result.status == 200) {
            auto manifest = parseManifest(result.body, version, problem);
            // Step 2. Open the store outside the lock, because verifying the chunks on disk is
            // slow.
            Reason<StoreError> reason;
            if (manifest)
                store = WeightsStore::open(this->options.folder, version, std::move(*manifest),
                                           reason);
            if (!reason.detail.empty())
                problem = reason.detail;
        }
        const bool isComplete = this->guardedState.with([&](WeightsState &state) {
            state.isFetchingManifest = false;
            state.manifestRetryAt = std::chrono::steady_clock::now()
                                    + std::max(kManifestRetryDelay, retryAfterOf(result));
            if (!store)
                ++state.nextSourceIndex;
            if (!store || state.target.version != version)
                return false;
            this->switchTo(state, store);
            return state.swarm.done();
        });
        if (!problem.empty())
            logWarn("loading manifest failed", { { "version", version }, { "problem", problem } });
        if (isComplete)
            this->publish();
    }

    /// Starts to fetch the version of a store that was just opened.
    void switchTo(WeightsState &state, const std::shared_ptr<WeightsStore> &store)
    {
        state.store = store;
        state.assemblies.clear();
        state.isPublishing = false;
        state.swarm.start(store->manifest().chunks.size(), store->recovered(),
                          state.target.sources.size(), std::chrono::steady_clock::now());
    }

    void fetchFromPeer(const WeightsDocument &target, const SwarmAction &action)
    {
        const auto requests = this->guardedState.with([&](WeightsState &state) {
            if (!state.hasStoreOf(target.version))
                return std::vector<BlockRequest>{};
            Assembly assembly{ .peer = action.peer,
                               .size = static_cast<std::uint32_t>(
                                       state.store->manifest().chunks.at(action.chunk).size) };
            if (state.swarm.isRemote(action.peer)) {
                assembly.blockBytes = kRemoteBlockBytes;
                assembly.maxInFlightBlocks = kMaxRemoteInFlightBlocks;
            }
            Assembly &added = state.assemblies[action.chunk] = std::move(assembly);
            return nextBlocks(target.version, action.chunk, added);
        });
        for (const BlockRequest &request : requests)
            this->hub->send(action.peer, Channel::bulk, request);
    }

    /// Processes a block that a peer sent. The block is dropped as late unless it is the next block
    /// of a chunk in flight, and the requests for the chunk were sent to this peer.
    void onBlock(const std::string &peer, const BlockReply &reply)
    {
        std::vector<BlockRequest> requests;
        std::optional<std::string> completed;
        bool isRefused = false;
        this->guardedState.with([&](WeightsState &state) {
            const auto found = state.assemblies.find(reply.chunk);
            if (!state.hasStoreOf(reply.version) || found == state.assemblies.end())
                return;
            Assembly &assembly = found->second;
            if (assembly.peer != peer || reply.offset != assembly.bytes.size())
                return;
            state.swarm.onBlock(reply.chunk, std::chrono::steady_clock::now());
            assembly.bytes += reply.bytes;
            isRefused = reply.bytes.empty();
            if (isRefused || assembly.bytes.size() >= assembly.size) {
                completed = std::move(assembly.bytes);
                state.assemblies.erase(found);
            } else {
                requests = nextBlocks(reply.version, reply.chunk, assembly);
            }
        });
        for (const BlockRequest &request : requests)
            this->hub->send(peer, Channel::bulk, request);
        if (completed)
            this->onChunk(reply.version, reply.chunk, isRefused ? "" : *completed, peer, 0ms);
    }

    void fetchFromSource(const WeightsDocument &target, const SwarmAction &action)
    {
        if (target.sources.empty())
            return;
        const std::string source = target.sources[action.source % target.sources.size()];
        HttpCall call{ .url = source + "/weights/" + target.version + "/chunks/"
                              + std::to_string(action.chunk),
                       .timeout = kSourceTimeout };
        call.onDone = [self = this->shared_from_this(), version = target.version,
                       chunk = action.chunk, source](HttpResult &&result) {
            asio::post(self->pool.context(),
                       [self, version, chunk, source, result = std::move(result)] {
                           const bool isSuccess = result.complete && result.status == 200;
                           self->onChunk(version, chunk, isSuccess ? result.body : "", source,
                                         retryAfterOf(result));
                       });
        };
        this->http.start(std::move(call));
    }

    /// Processes the end of a fetch. `bytes` is the content of the chunk, empty after a failure;
    /// `from` is the peer or source, for the log; `retryAfter` is the delay that a source
    /// requested, or zero. The chunk is verified and written outside the lock, then recorded as
    /// held.
    void onChunk(const std::string &version, std::size_t chunk, const std::string &bytes,
                 const std::string &from, Milliseconds retryAfter)
    {
        const auto store = this->guardedState.with([&](WeightsState &state) {
            return state.hasStoreOf(version) ? state.store : nullptr;
        });
        if (!store || chunk >= store->manifest().chunks.size())
            return;
        Reason<StoreError> reason;
        const bool isStored = !bytes.empty() && store->write(chunk, bytes, reason);
        const bool isCorrupt = reason.code == StoreError::digestMismatch;
        const FetchOutcome outcome = isStored    ? FetchOutcome::stored
                                     : isCorrupt ? FetchOutcome::corrupt
                                                 : FetchOutcome::failed;
        const bool isComplete = this->guardedState.with([&](WeightsState &state) {
            if (!state.hasStoreOf(version))
                return false;
            const TimePoint now = std::chrono::steady_clock::now();
            if (reason.code == StoreError::io)
                state.diskRetryAt = now + kDiskRetryDelay;
            state.swarm.onFetched(chunk, outcome, retryAfter, now);
            return state.swarm.done();
        });
        if (isCorrupt)
            logWarn("chunk digest mismatch",
                    { { "from", from }, { "chunk", chunk }, { "version", version } });
        if (reason.code == StoreError::io)
            logError("chunk write failed", { { "detail", reason.detail } });
        if (isComplete)
            this->publish();
    }

    void publish()
    {
        const auto store = this->guardedState.with([](WeightsState &state) {
            return std::exchange(state.isPublishing, true) ? nullptr : state.store;
        });
        if (!store)
            return;
        Reason<StoreError> reason;
        const auto path = store->publish(reason);
        this->guardedState.with([&](WeightsState &state) {
            if (path)
                state.completeVersion = store->version();
            else if (state.store == store)
                // The next tick fetches the manifest and verifies the chunks on disk again.
                state.store.reset();
        });
        if (!path)
            return logError("publishing weights failed",
                            { { "version", store->version() }, { "detail", reason.detail } });
        logInfo("weights published", { { "version", store->version() } });
        this->onComplete(store->version(), *path);
    }

    void answerBlock(const LinkPtr &link, const BlockRequest &request)
    {
        BlockReply reply{ .version = request.version,
                          .chunk = request.chunk,
                          .offset = request.offset };
        const auto store = this->guardedState.with([&](WeightsState &state) {
            const bool isHeld =
                    state.hasStoreOf(request.version) && state.swarm.holdings().has(request.chunk);
            return isHeld ? state.store : nullptr;
        });
        Reason<StoreError> reason;
        if (store)
            reply.bytes = store->read(request.chunk, request.offset,
                                      std::min(request.size, kBlockBytes), reason)
                                  .value_or("");
        link->send(reply);
    }

    void onHoldings(const Holdings &holdings)
    {
        this->guardedState.with([&](WeightsState &state) {
            if (!state.hasStoreOf(holdings.version))
                return;
            const std::size_t count = state.swarm.holdings().size();
            if (const auto chunks = ChunkSet::fromBytes(holdings.bitmap, count))
                state.swarm.onHoldings(holdings.endpoint, *chunks,
                                       std::chrono::steady_clock::now());
        });
        if (holdings.wantsReply)
            this->sendHoldings(holdings.version, holdings.endpoint, false);
    }

    void onHave(const Have &have)
    {
        this->guardedState.with([&](WeightsState &state) {
            if (state.hasStoreOf(have.version))
                state.swarm.onHave(have.endpoint, have.chunks, std::chrono::steady_clock::now());
        });
    }

    void onProgress(const SwarmProgress &progress)
    {
        this->guardedState.with([&](WeightsState &state) {
            if (state.hasStoreOf(progress.version))
                state.swarm.onProgress(progress.endpoint, progress.held,
                                       std::chrono::steady_clock::now());
        });
    }

    WorkerPool &pool;
    WeightsAgentOptions options;
    HttpClient &http;
    OnComplete onComplete;
    Guarded<WeightsState, LockRank::swarm> guardedState;
};

WeightsAgent::WeightsAgent(WorkerPool &pool, WeightsAgentOptions options, HttpClient &http,
                           OnComplete onComplete)
    : impl(std::make_shared<Impl>(pool, options, http, std::move(onComplete)))
{}

WeightsAgent::~WeightsAgent() = default;

void WeightsAgent::attach(LinkHub &hub)
{
    this->impl->hub = &hub;
}

void WeightsAgent::setTarget(const WeightsDocument &weights)
{
    this->impl->setTarget(weights);
}

void WeightsAgent::setPeers(const std::vector<PeerRecord> &peers)
{
    this->impl->setPeers(peers);
}

bool WeightsAgent::onFrame(const LinkPtr &link, const Frame &frame)
{
    return this->impl->onFrame(link, frame);
}

std::string WeightsAgent::heldVersion()
{
    return this->impl->heldVersion();
}

void WeightsAgent::tick()
{
    this->impl->tick();
}

} // namespace egret
