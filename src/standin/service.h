#pragma once

#include "generated/settings.h"
#include "http_server.h"

#include <map>
#include <mutex>

namespace egret {

/// Simulates a plain service that records every run of an action in a file and
/// does not deduplicate actions by idempotency key. Thread safe.
class ServiceStandin
{
public:
    ServiceStandin(WorkerPool &pool, const StandinSettings &settings);

    /// POST to any path runs an action. GET /outcomes/KEY returns the answer to the
    /// customer's first action with idempotency key KEY, or 404 when no action with
    /// that key has run. GET /status returns the incarnation. Any other GET returns
    /// the request path.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

private:
    void runAction(const HttpRequest &request, const HttpReplyPtr &reply);
    void sendOutcome(const HttpRequest &request, const HttpReplyPtr &reply);

    WorkerPool &pool;
    StandinSettings settings;
    std::uint64_t incarnation;
    std::mutex mutex;
    /// Number of runs by idempotency key, over all customers.
    std::map<std::string, std::uint64_t> runCountsByKey;
    /// Answer to the first run, by "CUSTOMER/KEY" with the idempotency key.
    std::map<std::string, std::string> firstAnswers;
};

} // namespace egret
