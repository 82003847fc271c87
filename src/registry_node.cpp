#include "registry_node.h"

#include "clock.h"
#include "control_node.h"
#include "link.h"
#include "log.h"
#include "node_options.h"
#include "program.h"
#include "registry.h"

#include <asio/post.hpp>

#include <algorithm>
#include <set>

namespace egret {

namespace {

constexpr Milliseconds kTickPeriod = 50ms;
/// A majority confirms the state this often; each confirmation extends the gateways' leases.
constexpr Milliseconds kConfirmPeriod = 250ms;
/// Announcements that changed nothing are sent to the other registries this often.
constexpr Milliseconds kAnnouncementSyncPeriod = 500ms;
/// A reader that has not pulled for this long gets no pushes.
constexpr Milliseconds kReaderTimeout = 3s;
/// A call to the leader is repeated after `kCallRetryPeriod` and abandoned after `kCallTimeout`:
/// its caller tries another instance after one second.
constexpr Milliseconds kCallRetryPeriod = 150ms;
constexpr Milliseconds kCallTimeout = 900ms;
/// Time after the start within which applied entries may come from replaying the log.
constexpr Milliseconds kLogReplayLimit = 3s;
constexpr const char *kNotLeader = "not-leader";
constexpr const char *kUnavailable = "unavailable";

/// A gateway or stager that reads views, with the state it last received.
struct Reader
{
    LinkPtr link;
    bool isGateway{ false };
    TimePoint askedAt;
    std::uint64_t change{ 0 };
    std::uint64_t stateIndex{ 0 };
    std::uint64_t documentNumber{ 0 };
    bool wantsDocument{ false }; ///< the current pull asks for the document's text
};

/// A call that waits for the leader's result.
struct PendingCall
{
    ControlCommand command;
    RegistryNode::Done done;
    TimePoint deadline;
    TimePoint resendAt;
};

} // namespace

class RegistryNode::Impl : public std::enable_shared_from_this<RegistryNode::Impl>
{
public:
    explicit Impl(const NodeSettings &settings)
        : settings(settings), incarnation(newIncarnation()), pool(1),
          hub(this->pool, nodeHubOptions(settings, Role::control, this->incarnation),
              { .onFrame = [this](const LinkPtr &link,
                                  Frame &&frame) { this->onFrame(link, std::move(frame)); },
                .onDown = [this](const LinkPtr &link) { this->onDown(link); } }),
          node({ .dataFolder = settings.dataFolder,
                 .endpoint = ownLinkEndpoint(settings),
                 .controls = seedEndpoints(settings, false),
                 .mayBootstrap = settings.isFirstStart,
                 .targetVoters = std::size_t{ 2 } * settings.toleratedLosses + 1 },
               { .applied = [this] { this->post([this] { this->onApplied(); }); },
                 .send =
                         [this](const std::string &endpoint, const QuorumMessage &message) {
                             std::visit(
                                     [&](const auto &body) {
                                         this->hub.send(endpoint, Channel::control, body);
                                     },
                                     message);
                         } })
    {
        for (const std::string &seed : seedEndpoints(settings, true))
            this->otherRegistries.insert(seed);
    }

    bool start(std::string &problem)
    {
        Reason<std::error_code> linkReason;
        if (!this->hub.listen(linkReason)) {
            problem = ownLinkEndpoint(this->settings) + ": " + linkReason.code.message();
            return false;
        }
        Reason<int> reason;
        if (!this->node.start(reason)) {
            problem = reason.detail;
            return false;
        }
        this->pool.every(kTickPeriod, [this] { this->tick(); });
        this->pool.every(kConfirmPeriod, [this] { this->confirm(); });
        this->pool.every(kAnnouncementSyncPeriod, [this] { this->sendAnnouncements(); });
        return true;
    }

    void stop()
    {
        this->node.stop();
        this->hub.shutdown();
        this->pool.stop();
    }

    void announce(const UpstreamRecord &record)
    {
        ++this->announcements;
        if (this->registry.onAnnouncement(record, bootNow())) {
            logInfo("upstream announced", { { "upstream", record.id },
                                            { "service", record.service },
                                            { "endpoint", record.endpoint },
                                            { "sequence", record.sequence },
                                            { "ready", record.notice == AnnouncedState::ready },
                                            { "version", record.version } });
            this->onUpstreamsChanged();
        }
    }

    void depart(const std::string &id, std::optional<std::uint64_t> startedAtMs)
    {
        const auto wall = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
        const auto start = startedAtMs.value_or(static_cast<std::uint64_t>(wall.count()));
        if (this->registry.depart(id, start, bootNow())) {
            logInfo("upstream departed", { { "upstream", id } });
            this->onUpstreamsChanged();
        }
    }

    void call(const ControlCommand &command, Done done)
    {
        const std::uint64_t id = ++this->lastCallId;
        this->calls[id] = { .command = command,
                            .done = std::move(done),
                            .deadline = bootNow() + kCallTimeout };
        this->submitCall(id);
    }

    void addSeeds(const std::vector<std::string> &seeds)
    {
        for (const std::string &seed : seeds) {
            const std::string endpoint = linkEndpointOf(this->settings, seed);
            if (endpoint != ownLinkEndpoint(this->settings))
                this->otherRegistries.insert(endpoint);
        }
    }

    std::string metricsText()
    {
        std::string text;
        const auto line = [&text](const char *name, std::uint64_t value) {
            text += std::string("egret_") + name + " " + std::to_string(value) + "\n";
        };
        line("announcements_total", this->announcements);
        line("upstreams", this->registry.size());
        line("readers", this->readers.size());
        line("pending_calls", this->calls.size());
        line("operator_state_index", this->state->index);
        line("leads", this->node.leadingTerm() ? 1 : 0);
        return text;
    }

    WorkerPool &workers() { return this->pool; }

private:
    void post(std::function<void()> work) { asio::post(this->pool.context(), std::move(work)); }

    void onFrame(const LinkPtr &link, Frame &&frame)
    {
        if (const auto *pull = std::get_if<ViewPull>(&frame.message))
            this->onPull(link, *pull);
        else if (const auto *update = std::get_if<UpstreamAnnouncements>(&frame.message))
            this->onAnnouncements(*update);
        else if (const auto *request = std::get_if<ControlRequest>(&frame.message))
            this->onRequest(link, *request);
        else if (const auto *reply = std::get_if<ControlReply>(&frame.message))
            this->onReply(reply->callId, reply->result);
        else
            this->onQuorumFrame(frame);
    }

    void onQuorumFrame(const Frame &frame)
    {
        std::visit(
                [this](const auto &body) {
                    using Body = std::decay_t<decltype(body)>;
                    if constexpr (std::is_constructible_v<QuorumMessage, const Body &>)
                        this->node.receive(body);
                },
                frame.message);
    }

    void onDown(const LinkPtr &link)
    {
        std::erase_if(this->readers,
                      [&link](const auto &each) { return each.second.link == link; });
        if (!link->target().empty())
            logInfo("registry link lost", { { "peer", link->target() } });
    }

    // Views.

    void onPull(const LinkPtr &link, const ViewPull &pull)
    {
        Reader &reader = this->readers[pull.instance];
        const bool isSameIncarnation = pull.receiverIncarnation == this->incarnation;
        reader = { .link = link,
                   .isGateway = pull.isGateway,
                   .askedAt = bootNow(),
                   .change = isSameIncarnation ? pull.change : 0,
                   .stateIndex = pull.stateIndex,
                   .documentNumber = pull.documentNumber,
                   .wantsDocument = pull.wantsDocument };
        this->sendView(reader, pull.sentAt, false);
        reader.wantsDocument = false;
    }

    /// Sends the changes that the reader lacks and records them as sent.
    void sendView(Reader &reader, Milliseconds askedAt, bool isPush)
    {
        const TimePoint now = bootNow();
        View view{ .incarnation = this->incarnation,
                   .isPush = isPush,
                   .askedAt = askedAt,
                   .isConfirmed = this->confirmedAt.has_value(),
                   .confirmationAge = this->confirmedAt ? std::chrono::ceil<Milliseconds>(
                                              now - *this->confirmedAt)
                                                        : 0ms,
                   .change = this->registry.change(),
                   .gateways = this->countGateways(now),
                   .registries = { this->otherRegistries.begin(), this->otherRegistries.end() },
                   .hasState = this->state->index > reader.stateIndex,
                   .upstreams = this->registry.since(reader.change, now) };
        const NumberedText document = this->document();
        view.documentNumber = document.number;
        const bool sendsDocument = reader.wantsDocument && document.number > reader.documentNumber;
        view.state = this->stateWithoutDocument(now);
        if (sendsDocument)
            view.state.texts.push_back(document);
        if (!reader.link->send(view))
            return;
        reader.change = view.change;
        reader.stateIndex = std::max(reader.stateIndex, this->state->index);
    }

    NumberedText document() const
    {
        const auto found =
                std::ranges::find(this->state->texts, kDocumentText, &NumberedText::name);
        return found == this->state->texts.end() ? NumberedText{} : *found;
    }

    /// Returns the operators' state without the document, with the age of each text.
    OperatorState stateWithoutDocument(TimePoint now) const
    {
        OperatorState rest{ .index = this->state->index, .zonesOut = this->state->zonesOut };
        for (const NumberedText &text : this->state->texts) {
            if (text.name == kDocumentText)
                continue;
            rest.texts.push_back(text);
            const auto seen = this->changedAt.find(text.name);
            if (seen != this->changedAt.end() && seen->second.first == text.number)
                rest.texts.back().timeInForce = std::max<Milliseconds>(
                        1ms, std::chrono::floor<Milliseconds>(now - seen->second.second));
        }
        return rest;
    }

    std::uint32_t countGateways(TimePoint now) const
    {
        std::uint32_t count = 0;
        for (const auto &[name, reader] : this->readers) {
            if (reader.isGateway && now < reader.askedAt + kReaderTimeout)
                ++count;
        }
        return count;
    }

    void pushViews()
    {
        const TimePoint now = bootNow();
        for (auto &[name, reader] : this->readers) {
            if (now < reader.askedAt + kReaderTimeout)
                this->sendView(reader, 0ms, true);
        }
    }

    // The replicated state.

    void onApplied()
    {
        const OperatorState applied = this->node.operatorState();
        if (applied.index == this->state->index)
            return;
        this->recordChangeTimes(applied);
        this->state = std::make_shared<const OperatorState>(applied);
        for (const NumberedText &text : this->state->texts)
            logInfo("operators' state changed", { { "text", text.name },
                                                  { "number", text.number },
                                                  { "index", this->state->index } });
        this->pushViews();
    }

    /// Records when each text came into force. Entries applied within `kLogReplayLimit` of the
    /// start may be old, because the log is replayed, and get no time.
    void recordChangeTimes(const OperatorState &applied)
    {
        const TimePoint now = bootNow();
        for (const NumberedText &text : applied.texts) {
            const auto before =
                    std::ranges::find(this->state->texts, text.name, &NumberedText::name);
            const bool isChanged =
                    before == this->state->texts.end() || before->number != text.number;
            if (isChanged && now > this->startedAt + kLogReplayLimit)
                this->changedAt[text.name] = { text.number, now };
        }
    }

    /// As leader, has a majority confirm that the applied state is current.
    void confirm()
    {
        if (!this->node.leadingTerm()) {
            this->confirmedAt.reset();
            return;
        }
        const TimePoint askedAt = bootNow();
        this->node.propose(ReadNumberedText{ .name = kDocumentText },
                           [this, askedAt](const ControlResult &result) {
                               this->post([this, askedAt, reason = result.reason] {
                                   this->onConfirmed(askedAt, reason);
                               });
                           });
    }

    void onConfirmed(TimePoint askedAt, const std::string &reason)
    {
        if (reason == kNotLeader) {
            this->confirmedAt.reset();
            return;
        }
        this->onApplied();
        this->confirmedAt = askedAt;
    }

    // Upstreams.

    void onUpstreamsChanged()
    {
        this->sendAnnouncements();
        this->pushViews();
    }

    void sendAnnouncements()
    {
        for (const std::string &member : this->node.memberEndpoints()) {
            if (member != ownLinkEndpoint(this->settings))
                this->otherRegistries.insert(member);
        }
        const UpstreamAnnouncements update{ .records = this->registry.takeAnnounced() };
        if (update.records.empty())
            return;
        for (const std::string &other : this->otherRegistries)
            this->hub.send(other, Channel::control, update);
    }

    void onAnnouncements(const UpstreamAnnouncements &update)
    {
        if (this->registry.onPeerRecords(update.records, bootNow()))
            this->pushViews();
    }

    // Calls to the leader.

    void submitCall(std::uint64_t id)
    {
        const auto found = this->calls.find(id);
        if (found == this->calls.end())
            return;
        found->second.resendAt = bootNow() + kCallRetryPeriod;
        this->node.propose(found->second.command, [this, id](const ControlResult &result) {
            this->post([this, id, result] { this->onLocalResult(id, result); });
        });
    }

    void onLocalResult(std::uint64_t id, const ControlResult &result)
    {
        const auto found = this->calls.find(id);
        if (found == this->calls.end())
            return;
        const bool isLeaderElsewhere = result.reason == kNotLeader && !result.leader.empty()
                                       && result.leader != ownLinkEndpoint(this->settings);
        if (isLeaderElsewhere)
            this->hub.send(result.leader, Channel::control,
                           ControlRequest{ .callId = id, .command = found->second.command });
        else
            this->onReply(id, result);
    }

    void onReply(std::uint64_t id, const ControlResult &result)
    {
        const auto found = this->calls.find(id);
        if (found == this->calls.end() || result.reason == kNotLeader)
            return;
        const Done done = std::move(found->second.done);
        this->calls.erase(found);
        done(result);
    }

    void onRequest(const LinkPtr &link, const ControlRequest &request)
    {
        this->node.propose(request.command,
                           [link, id = request.callId](const ControlResult &result) {
                               link->send(ControlReply{ .callId = id, .result = result });
                           });
    }

    void tick()
    {
        const TimePoint now = bootNow();
        std::vector<Done> expired;
        std::vector<std::uint64_t> resend;
        for (auto call = this->calls.begin(); call != this->calls.end();) {
            if (now >= call->second.deadline) {
                expired.push_back(std::move(call->second.done));
                call = this->calls.erase(call);
                continue;
            }
            if (now >= call->second.resendAt)
                resend.push_back(call->first);
            ++call;
        }
        for (const std::uint64_t id : resend)
            this->submitCall(id);
        for (const Done &done : expired)
            done(ControlResult{ .reason = kUnavailable });
        if (this->registry.tick(now))
            this->pushViews();
    }

    const NodeSettings settings;
    const std::uint64_t incarnation;
    WorkerPool pool;
    LinkHub hub;
    ControlNode node;
    Registry registry;
    std::map<std::string, Reader> readers; ///< by instance
    std::set<std::string> otherRegistries; ///< link addresses of the other registry instances
    std::shared_ptr<const OperatorState> state{ std::make_shared<const OperatorState>() };
    const TimePoint startedAt{ bootNow() };
    /// By text: its number and the time at which this number came into force.
    std::map<std::string, std::pair<std::uint64_t, TimePoint>> changedAt;
    std::optional<TimePoint> confirmedAt;
    std::map<std::uint64_t, PendingCall> calls;
    std::uint64_t lastCallId{ 0 };
    std::uint64_t announcements{ 0 };
};

RegistryNode::RegistryNode(const NodeSettings &settings) : impl(std::make_shared<Impl>(settings)) {}

RegistryNode::~RegistryNode() = default;

bool RegistryNode::start(std::string &problem)
{
    return this->impl->start(problem);
}

void RegistryNode::stop()
{
    this->impl->stop();
}

asio::io_context &RegistryNode::context()
{
    return this->impl->workers().context();
}

void RegistryNode::announce(const UpstreamRecord &record)
{
    this->impl->announce(record);
}

void RegistryNode::depart(const std::string &id, std::optional<std::uint64_t> startedAtMs)
{
    this->impl->depart(id, startedAtMs);
}

void RegistryNode::call(const ControlCommand &command, Done done)
{
    this->impl->call(command, std::move(done));
}

void RegistryNode::addSeeds(const std::vector<std::string> &seeds)
{
    this->impl->addSeeds(seeds);
}

std::string RegistryNode::metricsText()
{
    return this->impl->metricsText();
}

} // namespace egret
