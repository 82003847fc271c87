#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <map>
#include <mutex>

namespace egret {

/// Simulates a plain service: status reads, and actions of which every run is
/// recorded. Repeated actions are not deduplicated. Thread safe.
class ServiceStandin
{
public:
    ServiceStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST to any path runs an action. GET /outcomes/KEY returns the answer of
    /// the key's first run, or 404 when the key has not run. GET /status returns
    /// the incarnation. Any other GET is a read. Outcomes are stored per customer
    /// and key.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    void runAction(const HttpRequest &request, const HttpReplyPtr &reply);
    void sendOutcome(const HttpRequest &request, const HttpReplyPtr &reply);

    WorkerPool &pool;
    StandinSettings settings;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> runsByKey;
    std::map<std::string, std::string> firstAnswers; ///< by customer and key
};

} // namespace egret
