#pragma once

#include "active_environment.h"
#include "guarded.h"
#include "http_client.h"
#include "link.h"
#include "swarm.h"
#include "weights_store.h"

#include <functional>
#include <memory>

namespace egret {

struct WeightsAgentOptions
{
    std::string folder; ///< folder in which weights are published
    std::string instance;
    SwarmOptions swarm;
};

/// Fetches the weights of the revision in force to this instance and serves them to peers.
/// Thread safe.
class WeightsAgent
{
public:
    /// `onComplete` is called once a version is complete and published, with its path.
    using OnComplete = std::function<void(const std::string &version, const std::string &path)>;

    WeightsAgent(WorkerPool &pool, WeightsAgentOptions options, HttpClient &http,
                 OnComplete onComplete);
    ~WeightsAgent();
    WeightsAgent(const WeightsAgent &) = delete;
    WeightsAgent &operator=(const WeightsAgent &) = delete;

    /// Sets the hub for messages to peers; call once, before any other method.
    void attach(LinkHub &hub);

    /// Sets the version that a revision names.
    void setTarget(const WeightsDocument &weights);

    /// Sets the other agents with the same target version.
    void setPeers(const std::vector<PeerRecord> &peers);

    /// Processes a message of a peer; false when the message is not about weights.
    bool onFrame(const LinkPtr &link, const Frame &frame);

    /// Digest of the newest version that is complete.
    std::string heldVersion();

    /// Starts transfers that are due; call every few tens of milliseconds.
    void tick();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
