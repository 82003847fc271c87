#include "agent.h"

#include "active_environment.h"
#include "announce_targets.h"
#include "datagram.h"
#include "http_client.h"
#include "link.h"
#include "log.h"
#include "program.h"
#include "upstream_directory.h"
#include "upstream_monitor.h"
#include "upstream_proxy.h"
#include "weights_agent.h"

#include <atomic>
#include <cstdio>

namespace egret {

namespace {

constexpr Milliseconds kAnnounceCheckPeriod = 50ms;
constexpr Milliseconds kAnnouncePeriod = 200ms;
constexpr Milliseconds kStatusPeriod = 200ms;
constexpr Milliseconds kWeightsTickPeriod = 20ms;
constexpr Milliseconds kDrainPollPeriod = 20ms;

/// Targets and schedule of the agent's announcements.
struct AnnounceState
{
    explicit AnnounceState(const AgentSettings &settings)
        : announceTargets({ .agent = settings.common.instance, .entries = settings.entries })
    {}

    AnnounceTargets announceTargets;
    Milliseconds period{ kAnnouncePeriod }; ///< an entry instance may request a longer period
    TimePoint nextAnnouncementAt;
    std::uint64_t staticDigest{ 0 }; ///< digest of the last announced record without its load
};

class Agent
{
public:
    explicit Agent(const AgentSettings &settings)
        : settings(settings), incarnation(newIncarnation()), pool(settings.common.workers),
          announceState(settings), proxy({ .upstream = settings.upstream,
                                           .kind = settings.kind,
                                           .gateIncarnation = this->incarnation,
                                           .limit = settings.limit,
                                           .slowStart = settings.slowStart,
                                           .warmAnswers = settings.warmAnswers },
                                         this->http),
          monitor({ .upstream = settings.upstream,
                    .loadOrders = { .engineChecksFences = settings.engineChecksFences } },
                  this->http,
                  [this](const UpstreamStatus &status) {
                      this->proxy.setUpstreamIncarnation(status.incarnation);
                  }),
          weights(this->pool,
                  { .folder = settings.weightsFolder,
                    .instance = settings.common.instance,
                    .swarm = { .self = { .endpoint = settings.common.linkAddress,
                                         .zone = settings.common.zone,
                                         .region = settings.common.region },
                               .policy = settings.weightsPolicy } },
                  this->http,
                  [this](const std::string &version, const std::string &path) {
                      this->onVersionComplete(version, path);
                  }),
          hub(this->pool, this->hubOptions(),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->proxy.onLinkDown(link); } }),
          datagrams(this->pool,
                    { .listen = *Endpoint::parse(settings.common.linkAddress),
                      .cluster = settings.common.cluster,
                      .key = *fromHex(settings.common.clusterKey),
                      .sender = settings.common.instance,
                      .incarnation = this->incarnation,
                      .trialRelays = TrialRelays(settings.common.trialRelays) },
                    [this](const Endpoint &from, Frame &&frame) { this->onDatagram(from, frame); })
    {}

    int run()
    {
        this->weights.attach(this->hub);
        Reason<std::error_code> reason;
        if (!this->hub.listen(reason) || !this->datagrams.start(reason)) {
            std::fprintf(stderr, "%s: %s: %s\n", this->settings.common.instance.c_str(),
                         this->settings.common.linkAddress.c_str(), reason.code.message().c_str());
            return kExitUsage;
        }
        this->pool.every(kAnnounceCheckPeriod, [this] { this->announceWhenDue(); });
        this->pool.every(kStatusPeriod, [this] { this->monitor.poll(); });
        if (this->settings.kind == UpstreamKind::engine)
            this->pool.every(kWeightsTickPeriod, [this] { this->weights.tick(); });
        logInfo("agent is up", { { "links", this->settings.common.linkAddress },
                                 { "upstream", this->settings.upstream } });
        waitForStopSignal();
        const bool isDrained = this->drain();
        this->hub.shutdown();
        this->datagrams.shutdown();
        this->pool.stop();
        return isDrained ? 0 : 1;
    }

private:
    LinkHubOptions hubOptions() const
    {
        const CommonSettings &common = this->settings.common;
        return { .listen = *Endpoint::parse(common.linkAddress),
                 .cluster = common.cluster,
                 .key = *fromHex(common.clusterKey),
                 .incarnation = this->incarnation,
                 .self = { .role = Role::agent,
                           .instance = common.instance,
                           .zone = common.zone,
                           .region = common.region,
                           .endpoint = common.linkAddress },
                 .trialRelays = TrialRelays(common.trialRelays) };
    }

    /// Drains the agent: announces its departure, waits three announcement periods for entry
    /// instances to receive the announcement, then refuses new requests and waits for the
    /// requests in flight until stopGrace ends or a second signal arrives. Returns false when
    /// requests remain in flight.
    bool drain()
    {
        this->isLeaving = true;
        this->announce();
        logInfo("planned stop begins", { { "inFlight", this->proxy.inFlight() } });
        const TimePoint refuseRequestsAt = std::chrono::steady_clock::now() + 3 * kAnnouncePeriod;
        const TimePoint drainDeadline = refuseRequestsAt + this->settings.stopGrace;
        bool isForced = false;
        while (!isForced
               && (std::chrono::steady_clock::now() < refuseRequestsAt
                   || this->proxy.inFlight() > 0)) {
            if (std::chrono::steady_clock::now() >= refuseRequestsAt)
                this->proxy.close();
            isForced = waitForSecondSignal(kDrainPollPeriod)
                       || std::chrono::steady_clock::now() >= drainDeadline;
        }
        const std::uint32_t remaining = this->proxy.inFlight();
        if (remaining > 0)
            logWarn("planned stop aborts in-flight requests", { { "cutOff", remaining } });
        return remaining == 0;
    }

    AgentRecord ownRecord()
    {
        const CommonSettings &common = this->settings.common;
        AgentRecord record{ .agent = common.instance,
                            .incarnation = this->incarnation,
                            .zone = common.zone,
                            .region = common.region,
                            .endpoint = common.linkAddress,
                            .kind = this->settings.kind,
                            .service = this->settings.service,
                            .heldVersion = this->weights.heldVersion(),
                            .inFlight = this->proxy.inFlight(),
                            .limit = this->proxy.limit(),
                            .gateIncarnation = this->incarnation };
        const UpstreamStatus upstream = this->monitor.status();
        record.upstreamIncarnation = upstream.incarnation;
        record.servedVersion = upstream.version;
        record.state = this->stateOf(upstream);
        return record;
    }

    UpstreamState stateOf(const UpstreamStatus &upstream) const
    {
        if (this->isLeaving)
            return UpstreamState::leaving;
        if (!upstream.isResponding)
            return UpstreamState::cold;
        if (this->settings.kind == UpstreamKind::service)
            return UpstreamState::ready;
        if (upstream.isLoading)
            return UpstreamState::loading;
        return upstream.version.empty() ? UpstreamState::cold : UpstreamState::ready;
    }

    /// Announces the agent's record periodically, and at once when any of its fields other than
    /// the load has changed.
    void announceWhenDue()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const AgentRecord record = this->ownRecord();
        const std::uint64_t staticDigest = staticDigestOf(record);
        const bool isDue = this->announceState.with([&](AnnounceState &state) {
            if (staticDigest == state.staticDigest && now < state.nextAnnouncementAt)
                return false;
            state.staticDigest = staticDigest;
            state.nextAnnouncementAt = now + (this->isLeaving ? kAnnouncePeriod : state.period);
            return true;
        });
        if (isDue)
            this->announce();
    }

    void announce()
    {
        AgentRecord record = this->ownRecord();
        record.sequence = ++this->announcementSequence;
        const TimePoint now = std::chrono::steady_clock::now();
        const auto announceTargets = this->announceState.with(
                [now](AnnounceState &state) { return state.announceTargets.choose(now); });
        for (const AnnounceTarget &target : announceTargets)
            this->datagrams.send(target.endpoint,
                                 Announce{ .receiverIncarnation = target.incarnation,
                                           .isPrimaryTarget = target.isPrimary,
                                           .record = record });
    }

    void onDatagram(const Endpoint &from, const Frame &frame)
    {
        const auto *reply = std::get_if<AnnounceReply>(&frame.message);
        if (reply == nullptr)
            return;
        if (!reply->peers.empty())
            this->weights.setPeers(reply->peers);
        const TimePoint now = std::chrono::steady_clock::now();
        const bool isNewIncarnation = this->announceState.with([&](AnnounceState &state) {
            state.period = std::max(kAnnouncePeriod, reply->period);
            state.announceTargets.setPeriod(state.period);
            return state.announceTargets.onReply(from.text(), frame.incarnation, now);
        });
        // An entry instance replies to every announcement, but applies only announcements that
        // name its incarnation. When a reply shows a new incarnation, the agent announces again.
        if (isNewIncarnation)
            this->announce();
        const auto currentRevision = this->environment.current();
        const Fence knownFence = currentRevision ? currentRevision->fence : Fence{};
        if (isNewer(reply->fence, knownFence))
            this->hub.send(from.text(), Channel::control,
                           DocumentPull{ .environment = this->settings.common.environment,
                                         .stage = this->settings.common.stage });
    }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (this->proxy.onFrame(link, frame) || this->weights.onFrame(link, frame))
            return;
        const auto *push = std::get_if<DocumentPush>(&frame.message);
        if (push != nullptr && this->environment.apply(*push)
            && this->settings.kind == UpstreamKind::engine)
            this->weights.setTarget(this->environment.current()->document.weights);
    }

    void onVersionComplete(const std::string &version, const std::string &path)
    {
        const auto currentRevision = this->environment.current();
        if (currentRevision && currentRevision->document.weights.version == version)
            this->monitor.setWantedVersion(currentRevision->fence, version, path);
    }

    AgentSettings settings;
    std::uint64_t incarnation;
    std::atomic<bool> isLeaving{ false };
    WorkerPool pool;
    ActiveEnvironment environment;
    Guarded<AnnounceState, LockRank::members> announceState;
    std::atomic<std::uint64_t> announcementSequence{ 0 };
    // Callbacks of `http` use `proxy` and `monitor`. `http` is declared after both and is
    // therefore destroyed before both.
    UpstreamProxy proxy;
    UpstreamMonitor monitor;
    HttpClient http;
    WeightsAgent weights;
    LinkHub hub;
    DatagramSocket datagrams;
};

} // namespace

int runAgent(const AgentSettings &settings)
{
    const CommonSettings &common = settings.common;
    startLogging({ .program = "egret-agent",
                   .instance = common.instance,
                   .zone = common.zone,
                   .environment = common.environment,
                   .level = common.logLevel });
    return Agent(settings).run();
}

} // namespace egret
