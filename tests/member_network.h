#pragma once

#include "membership.h"

#include <deque>
#include <memory>
#include <set>

namespace egret {

/// Simulated network of members with loss, duplicates, reordering and blocked paths.
struct MemberNetwork
{
    enum class Run { up, down, paused, left };

    struct Node
    {
        std::unique_ptr<Membership> machine;
        std::uint64_t incarnation{ 1 };
        Run run{ Run::down };
    };

    struct Packet
    {
        std::size_t from{ 0 };
        std::size_t to{ 0 };
        std::uint64_t incarnation{ 0 };
        Message message;
    };

    static constexpr Milliseconds kStep = 50ms;

    MemberNetwork(std::size_t count, std::uint64_t seed) : random(seed), nodes(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->start(i);
    }

    static std::string endpointOf(std::size_t i) { return "127.0.0.1:" + std::to_string(1000 + i); }
    static std::string nameOf(std::size_t i) { return "entry-" + std::to_string(i); }

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
        node.machine = std::make_unique<Membership>(options);
        node.run = Run::up;
    }

    void leave(std::size_t i)
    {
        this->send(i, this->nodes[i].machine->leave(this->now));
        this->nodes[i].run = Run::left;
    }

    /// Delivers the datagrams of the last step, then ticks every running member.
    void step()
    {
        this->now += kStep;
        std::deque<Packet> due = std::move(this->packets);
        this->packets.clear();
        if (this->reorders)
            std::shuffle(due.begin(), due.end(), this->random);
        for (const Packet &packet : due)
            this->deliver(packet);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->nodes[i].run == Run::up)
                this->send(i, this->nodes[i].machine->tick(this->now));
        }
    }

    void run(Duration length)
    {
        for (Duration passed{}; passed < length; passed += kStep)
            this->step();
    }

    void deliver(const Packet &packet)
    {
        Node &node = this->nodes[packet.to];
        if (node.run != Run::up)
            return;
        const DatagramSender sender{ .instance = nameOf(packet.from),
                                     .incarnation = packet.incarnation,
                                     .endpoint = endpointOf(packet.from) };
        this->send(packet.to, node.machine->receive(sender, packet.message, this->now));
    }

    /// Record of `subject` at `observer`; empty when `observer` does not know `subject`.
    std::optional<MemberRecord> recordAt(std::size_t observer, std::size_t subject) const
    {
        const auto &members = this->nodes[observer].machine->members();
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

    std::uint64_t suspicions() const
    {
        std::uint64_t sum = 0;
        for (const Node &node : this->nodes)
            sum += node.machine->suspicionsRaised();
        return sum;
    }

    TimePoint now{ 1h };
    double loss{ 0 };
    double duplicates{ 0 };
    bool reorders{ false };
    std::set<std::pair<std::size_t, std::size_t>> blockedPaths; ///< from, to
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::deque<Packet> packets;
    std::vector<Packet> recorded; ///< the first datagrams sent, for replay tests

private:
    bool withProbability(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
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
            if (this->recorded.size() < 200)
                this->recorded.push_back(packet);
            if (this->blockedPaths.contains({ from, to }) || this->withProbability(this->loss))
                continue;
            if (this->withProbability(this->duplicates))
                this->packets.push_back(packet);
            this->packets.push_back(std::move(packet));
        }
    }
};

} // namespace egret
