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

/// Cost of the decisions that distribute one weights version.
struct SwarmCost
{
    bool whole{ false };                ///< every replica got every chunk
    double decisionMicrosP99{ 0 };      ///< time of one tick or event of one state machine
    double messagesPerReplica{ 0 };     ///< control messages sent per replica
    double controlBytesPerReplica{ 0 }; ///< bytes of these messages, frames included
    double memoryMb{ 0 };               ///< resident memory of one state machine
    double sourceCopies{ 0 };           ///< ratio of source fetches to chunks of the version
    double seconds{ 0 };                ///< simulated time until all replicas were complete
};

/// Runs the state machines of all replicas in a simulation that completes every fetch after
/// a fixed time. Call from one thread.
SwarmCost measureSwarmCost(const SwarmCostOptions &options);

} // namespace egret
