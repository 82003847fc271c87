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
    std::string folder; ///< folder in which complete weights are published
    std::string instance;
    SwarmOptions swarm;
};

/// Fetches the weights version that the configuration revision in force names, and serves the
/// chunks of the version to the agents of other instances (peers). Thread safe.
class WeightsAgent
{
public:
    /// Called when a version is complete and published at `path`.
    using OnComplete = std::function<void(const std::string &version, const std::string &path)>;

    WeightsAgent(WorkerPool &pool, WeightsAgentOptions options, HttpClient &http,
                 OnComplete onComplete);
    ~WeightsAgent();
    WeightsAgent(const WeightsAgent &) = delete;
    WeightsAgent &operator=(const WeightsAgent &) = delete;

    /// Sets the hub for messages to peers; call once, before any other method.
    void attach(LinkHub &hub);

    /// Sets the weights to fetch, as named by the configuration revision in force.
    void setTarget(const WeightsDocument &weights);

    /// Sets the peers that have the same target version.
    void setPeers(const std::vector<PeerRecord> &peers);

    /// Processes a message of a peer; returns false when the message is not about weights.
    bool onFrame(const LinkPtr &link, const Frame &frame);

    /// Version that was published last, empty for none.
    std::string heldVersion();

    /// Starts due transfers and sends due messages; call every few tens of milliseconds.
    void tick();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
