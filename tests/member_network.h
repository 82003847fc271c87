#pragma once

#include "membership.h"

#include <deque>
#include <memory>
#include <set>

namespace egret {

/// Simulated network of members that can lose, duplicate and reorder datagrams and block paths.
struct MemberNetwork
{
    enum class RunState { up, down, paused, left };

    struct Node
    {
        std::unique_ptr<Membership> membership;
        std::uint64_t incarnation{ 1 };
        RunState runState{ RunState::down };
    };

    /// Datagram in flight; `from` and `to` are indexes of members.
    struct Packet
    {
        std::size_t from{ 0 };
        std::size_t to{ 0 };
        std::uint64_t incarnation{ 0 }; ///< of the sender
        Message message;
    };

    static constexpr Milliseconds kStep = 50ms;

    MemberNetwork(std::size_t memberCount, std::uint64_t seed) : random(seed), nodes(memberCount)
    {
        for (std::size_t i = 0; i < memberCount; ++i)
            this->start(i);
    }

    static std::string endpointOf(std::size_t i) { return "127.0.0.1:" + std::to_string(1000 + i); }
    static std::string nameOf(std::size_t i) { return "entry-" + std::to_string(i); }

    /// Starts or restarts member `i` with a new incarnation and an empty table.
    void start(std::size_t i)
    {
        Node &node = this->nodes[i];
        ++node.incarnation;
        MembershipOptions options{ .self = { .instance = nameOf(i),
                                             .incarnation = node.incarnation,
                                             .endpoint = endpointOf(i),
                                             .zone = "z",
                                             .region = "r" },
                                   .seeds = { endpointOf(0), endpointOf(1) },
                                   .randomSeed = this->random() };
        node.membership = std::make_unique<Membership>(options);
        node.runState = RunState::up;
    }

    void leave(std::size_t i)
    {
        this->send(i, this->nodes[i].membership->leave(this->now));
        this->nodes[i].runState = RunState::left;
    }

    /// Advances the time by kStep, delivers the datagrams sent in the last step, then ticks every
    /// running member.
    void step()
    {
        this->now += kStep;
        std::deque<Packet> duePackets = std::move(this->sentPackets);
        this->sentPackets.clear();
        if (this->isReordering)
            std::shuffle(duePackets.begin(), duePackets.end(), this->random);
        for (const Packet &packet : duePackets)
            this->deliver(packet);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->nodes[i].runState == RunState::up)
                this->send(i, this->nodes[i].membership->tick(this->now));
        }
    }

    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += kStep)
            this->step();
    }

    void deliver(const Packet &packet)
    {
        Node &node = this->nodes[packet.to];
        if (node.runState != RunState::up)
            return;
        const DatagramSender sender{ .instance = nameOf(packet.from),
                                     .incarnation = packet.incarnation,
                                     .endpoint = endpointOf(packet.from) };
        this->send(packet.to, node.membership->receive(sender, packet.message, this->now));
    }

    /// Record of the member `subject` in the table of `observer`; empty when the table has no such
    /// record.
    std::optional<MemberRecord> recordAt(std::size_t observer, std::size_t subject) const
    {
        const auto &members = this->nodes[observer].membership->members();
        const auto found = members.find(nameOf(subject));
        if (found == members.end())
            return std::nullopt;
        return found->second.record;
    }

    bool seesLive(std::size_t observer, std::size_t subject) const
    {
        const auto record = this->recordAt(observer, subject);
        return record && isLive(*record);
    }

    std::uint64_t suspicionCount() const
    {
        std::uint64_t sum = 0;
        for (const Node &node : this->nodes)
            sum += node.membership->suspicionsRaised();
        return sum;
    }

    TimePoint now{ 1h };
    double lossProbability{ 0 };
    double duplicateProbability{ 0 };
    bool isReordering{ false };
    std::set<std::pair<std::size_t, std::size_t>> blockedPaths; ///< sender, receiver
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::deque<Packet> sentPackets;      ///< delivered in the next step
    std::vector<Packet> recordedPackets; ///< the first datagrams sent, for replay tests

private:
    bool isRandomlyTrue(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    void send(std::size_t from, const Membership::Actions &actions)
    {
        for (const SendDatagram &action : actions) {
            const auto to = static_cast<std::size_t>(
                    std::stoul(action.to.substr(action.to.find(':') + 1)) - 1000);
            Packet packet{ .from = from,
                           .to = to,
                           .incarnation = this->nodes[from].incarnation,
                           .message = action.message };
            if (this->recordedPackets.size() < 200)
                this->recordedPackets.push_back(packet);
            if (this->blockedPaths.contains({ from, to })
                || this->isRandomlyTrue(this->lossProbability))
                continue;
            if (this->isRandomlyTrue(this->duplicateProbability))
                this->sentPackets.push_back(packet);
            this->sentPackets.push_back(std::move(packet));
        }
    }
};

} // namespace egret
