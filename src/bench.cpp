#include "bench.h"

#include "admission_queue.h"
#include "control_state.h"
#include "digest.h"
#include "gate.h"
#include "membership.h"
#include "router.h"
#include "slow_start.h"
#include "swarm.h"
#include "upstream_directory.h"

#include <random>

namespace egret {

namespace {

constexpr std::uint64_t kBenchSeed = 20261203;
constexpr int kBenchRounds = 2000;
constexpr std::size_t kSignatureDigits = 16;

AgentRecord benchRecord(std::uint64_t number, std::uint64_t sequence, std::mt19937_64 &random)
{
    return AgentRecord{ .agent = "agent-" + std::to_string(number),
                        .incarnation = 1,
                        .sequence = sequence,
                        .zone = "zone-" + std::to_string(number % 3),
                        .endpoint = "127.0.0.1:" + std::to_string(1000 + number),
                        .state = UpstreamState::ready,
                        .inFlight = static_cast<std::uint32_t>(random() % 16),
                        .limit = 16 };
}

/// Choices of the router among agents with changing loads.
void benchRouter(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    UpstreamDirectory directory;
    Router router(kBenchSeed);
    const EnvironmentDocument document;
    TimePoint now{};
    for (int round = 0; round < kBenchRounds; ++round) {
        now += 20ms;
        directory.applyAnnouncement(
                benchRecord(random() % 12, static_cast<std::uint64_t>(round) + 1, random), now);
        directory.expire(now);
        const RouteQuery query{ .zone = "zone-" + std::to_string(round % 3),
                                .prefix = random() % 8 };
        const RouteChoice chosen = router.choose(query, directory, document, now);
        digest.update(std::to_string(static_cast<int>(chosen.outcome)) + chosen.agent.agent);
        if (chosen.outcome != RouteOutcome::chosen)
            continue;
        router.sent(chosen.agent.agent);
        if (round % 7 == 0)
            router.failed(chosen.agent, now);
        else if (round % 4 != 0)
            router.ended(chosen.agent.agent);
    }
}

/// Requests that are served, refused or expired while customers compete for one queue.
void benchAdmission(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    AdmissionQueue admission({ .length = 32 });
    TimePoint now{};
    for (std::uint64_t round = 1; round <= kBenchRounds; ++round) {
        now += 5ms;
        const WaitingRequest request{ .id = round,
                                      .customer = std::to_string(random() % 5),
                                      .weight = static_cast<std::uint32_t>(1 + random() % 3),
                                      .priority = static_cast<std::uint32_t>(random() % 3),
                                      .deadline = now + Milliseconds(random() % 400) };
        for (const RefusedRequest &refused : admission.push(request, now))
            digest.update("r" + std::to_string(refused.id));
        for (const RefusedRequest &refused : admission.expire(now))
            digest.update("e" + std::to_string(refused.id));
        if (random() % 2 != 0)
            continue;
        if (const auto next = admission.next(now))
            digest.update("n" + std::to_string(next->id));
    }
}

/// Increases and decreases of the in-flight limit of an upstream.
void benchSlowStart(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    SlowStart slowStart({ .fullLimit = 32 });
    for (int round = 0; round < kBenchRounds; ++round) {
        const std::uint64_t event = random() % 100;
        if (event < 90)
            slowStart.onSuccess(slowStart.epoch(), Milliseconds(20 + random() % 300));
        else if (event < 99)
            slowStart.onOverloaded(slowStart.epoch());
        else
            slowStart.onIncarnation(random());
        digest.update(std::to_string(slowStart.limit()));
    }
}

/// Claims that a gate admits.
void benchGate(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    Gate gate(GateOptions{ .seed = 7, .limit = 8 });
    for (int round = 0; round < kBenchRounds; ++round) {
        ServeRequest request;
        request.claim = ClaimTag{ .claimId = "key-" + std::to_string(random() % 64),
                                  .fence = random() % 32,
                                  .gateIncarnation = random() % 8 == 0 ? 6U : 7U };
        if (random() % 3 == 0)
            digest.update(encode(gate.probe({ .probeId = 1, .claim = *request.claim })));
        const GateDecision decision = gate.admit(request);
        digest.update(decision.reason);
        if (decision.admitted && random() % 2 == 0)
            gate.finish(request, ActionStatus::run, StoredAnswer{ .status = 200 });
        else if (decision.admitted)
            gate.finish(request, ActionStatus::unknown);
    }
}

/// Results of commands applied to the control state.
void benchControl(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    ControlState state;
    for (std::uint64_t index = 1; index <= kBenchRounds; ++index) {
        ControlCommand command = SubmitDocument{ .requestId = std::to_string(random() % 600),
                                                 .environment = "e",
                                                 .expectedRevision = index / 3,
                                                 .text = "{}" };
        if (random() % 3 == 0)
            command = OpenClaim{ .claimId = std::to_string(random() % 99),
                                 .opener = std::to_string(random() % 4),
                                 .bodyDigest = "d" };
        digest.update(encode(state.apply({ .term = 1, .index = index }, command)));
    }
}

/// Transfers that one agent starts in a swarm over three zones.
void benchSwarm(DigestStream &digest)
{
    std::mt19937_64 random(kBenchSeed);
    constexpr std::size_t chunkCount = 256;
    const auto recordOf = [](std::size_t number) {
        const std::string zoneNumber = std::to_string(number % 3);
        return PeerRecord{ .endpoint = "agent-" + std::to_string(number),
                           .zone = "zone-" + zoneNumber,
                           .region = "region-" + zoneNumber };
    };
    std::vector<PeerRecord> peers;
    for (std::size_t number = 1; number < 18; ++number)
        peers.push_back(recordOf(number));
    Swarm swarm(SwarmOptions{ .self = recordOf(0) });
    TimePoint now{ 1s };
    swarm.setPeers(peers, now);
    swarm.start(chunkCount, ChunkSet(chunkCount), 2, now);
    for (int round = 0; round < kBenchRounds && !swarm.done(); ++round) {
        now += 20ms;
        const std::string &peer = peers[random() % peers.size()].endpoint;
        swarm.onHave(peer, { static_cast<std::uint32_t>(random() % chunkCount) }, now);
        swarm.onProgress(peer, random() % chunkCount, now);
        for (const SwarmAction &action : swarm.tick(now)) {
            digest.update(action.peer + std::to_string(static_cast<int>(action.kind))
                          + std::to_string(action.chunk));
            const bool isFetch = action.kind <= SwarmAction::Kind::fetchFromPeer;
            if (isFetch && random() % 8 != 0)
                swarm.onFetched(action.chunk,
                                random() % 4 == 0 ? FetchOutcome::failed : FetchOutcome::stored,
                                0ms, now);
        }
    }
}

/// Probes, updates and suspicions of one member while some of the other members don't
/// answer.
void benchMembers(DigestStream &digest)
{
    constexpr std::size_t otherMemberCount = 20;
    const auto recordOf = [](std::size_t i) {
        return MemberRecord{ .instance = "entry-" + std::to_string(i),
                             .incarnation = 1,
                             .endpoint = "127.0.0.1:" + std::to_string(1000 + i) };
    };
    Membership members({ .self = recordOf(0), .randomSeed = kBenchSeed });
    std::mt19937_64 random(kBenchSeed);
    TimePoint now{ 1h };
    members.tick(now);
    MemberTable table{ .receiverIncarnation = 1 };
    for (std::size_t i = 1; i <= otherMemberCount; ++i)
        table.records.push_back(recordOf(i));
    members.receive({ .instance = "entry-1", .incarnation = 1 }, table, now);
    for (int round = 0; round < kBenchRounds; ++round) {
        now += 50ms;
        for (const SendDatagram &action : members.tick(now)) {
            digest.update(action.to);
            digest.update(encode(action.message));
            const auto *ping = std::get_if<MemberPing>(&action.message);
            const std::size_t target = std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000;
            if (ping == nullptr || target % 7 == 6 || random() % 4 == 0)
                continue;
            const MemberAck ack{ .sequence = ping->sequence,
                                 .receiverIncarnation = 1,
                                 .reached = true,
                                 .self = recordOf(target) };
            members.receive(
                    { .instance = ack.self.instance, .incarnation = 1, .endpoint = action.to }, ack,
                    now);
        }
    }
    for (const auto &[instance, member] : members.members())
        digest.update(encode(member.record));
}

} // namespace

std::vector<BenchPart> benchParts()
{
    using Runner = void (*)(DigestStream &);
    static constexpr std::pair<const char *, Runner> parts[] = {
        { "router", benchRouter },        { "admission", benchAdmission },
        { "slow-start", benchSlowStart }, { "gate", benchGate },
        { "control", benchControl },      { "swarm", benchSwarm },
        { "members", benchMembers },
    };
    std::vector<BenchPart> results;
    for (const auto &[name, run] : parts) {
        DigestStream digest;
        run(digest);
        results.push_back(
                { .name = name, .signature = digest.finish().substr(0, kSignatureDigits) });
    }
    return results;
}

std::string benchSignature(const std::vector<BenchPart> &parts)
{
    DigestStream digest;
    for (const BenchPart &part : parts)
        digest.update(part.name + part.signature);
    return digest.finish().substr(0, kSignatureDigits);
}

} // namespace egret
