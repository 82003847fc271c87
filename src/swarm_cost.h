#pragma once

#include <cstdint>

namespace egret {

struct SwarmCostOptions
{
    std::size_t replicas{ 1200 };
    std::size_t chunks{ 512 };
    std::size_t zones{ 19 };
    std::size_t regions{ 6 };
};

/// Cost of the decisions and control messages that distribute one weights version, without the
/// transfers of chunks. Each replica runs one `Swarm` state machine.
struct SwarmCost
{
    bool isComplete{ false };           ///< every replica holds every chunk
    double decisionMicrosP99{ 0 };      ///< 99th percentile of the run time of a call of `Swarm`
    double messagesPerReplica{ 0 };     ///< control messages sent per replica
    double controlBytesPerReplica{ 0 }; ///< control bytes sent per replica, frames included
    double memoryMb{ 0 };               ///< resident memory per state machine
    double sourceCopies{ 0 };           ///< fetches from the source per chunk of the version
    double seconds{ 0 };                ///< simulated time until all replicas were complete
};

/// Measures the cost of distributing one version in a simulation of all replicas, in which every
/// fetch completes after a fixed time. Call from one thread at a time, because the memory of the
/// whole process is measured.
SwarmCost measureSwarmCost(const SwarmCostOptions &options);

} // namespace egret
