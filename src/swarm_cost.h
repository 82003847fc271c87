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

/// Cost of distributing one weights version, without the transfers: one `Swarm` state machine
/// per replica decides and exchanges control messages.
struct SwarmCost
{
    bool isComplete{ false };           ///< every replica holds every chunk
    double decisionMicrosP99{ 0 };      ///< 99th percentile of the run time of a tick or event
    double messagesPerReplica{ 0 };     ///< control messages sent per replica
    double controlBytesPerReplica{ 0 }; ///< bytes of the control messages, with frames
    double memoryMb{ 0 };               ///< resident memory per state machine
    double sourceCopies{ 0 };           ///< fetches from the source per chunk of the version
    double seconds{ 0 };                ///< simulated time until all replicas were complete
};

/// Measures the cost in a simulation of all replicas, in which every fetch completes after a
/// fixed time. Call from one thread at a time.
SwarmCost measureSwarmCost(const SwarmCostOptions &options);

} // namespace egret
