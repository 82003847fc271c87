#pragma once

#include "clock.h"
#include "standin/deployment.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <random>
#include <thread>
#include <vector>

namespace egret {

/// Calls `send` with increasing numbers at this interval for `duration`, each time without waiting
/// for the call before. Returns the results.
template <class Send>
auto sendAtInterval(Milliseconds interval, Milliseconds duration, const Send &send)
{
    std::vector<std::future<decltype(send(0U))>> requests;
    const TimePoint end = bootNow() + duration;
    for (std::uint32_t i = 0; bootNow() < end; ++i) {
        requests.push_back(std::async(std::launch::async, [&send, i] { return send(i); }));
        std::this_thread::sleep_for(interval);
    }
    std::vector<decltype(send(0U))> results;
    results.reserve(requests.size());
    for (auto &request : requests)
        results.push_back(request.get());
    return results;
}

/// Calls `send`, which returns whether a request was served, from several clients for `duration`,
/// each with a pause after a call. Returns the share that is served.
inline double servedShare(Milliseconds duration, const std::function<bool(std::mt19937 &)> &send)
{
    constexpr int clientCount = 8;
    std::atomic<int> sent{ 0 };
    std::atomic<int> served{ 0 };
    std::vector<std::future<void>> clients;
    clients.reserve(clientCount);
    const TimePoint end = bootNow() + duration;
    for (int client = 0; client < clientCount; ++client) {
        clients.push_back(std::async(std::launch::async, [&, client] {
            std::mt19937 random(100 + client);
            while (bootNow() < end) {
                ++sent;
                served += send(random) ? 1 : 0;
                std::this_thread::sleep_for(50ms);
            }
        }));
    }
    for (auto &client : clients)
        client.get();
    return static_cast<double>(served) / sent;
}

/// Number of arrivals of crashing requests later than `contactTime` after crash number `crashes`.
inline std::size_t lateArrivals(const CrashStats &stats, std::size_t crashes,
                                Milliseconds contactTime)
{
    if (stats.crashes.size() < crashes)
        return 0;
    const TimePoint from = stats.crashes[crashes - 1] + contactTime;
    return static_cast<std::size_t>(
            std::ranges::count_if(stats.arrivals, [from](TimePoint at) { return at > from; }));
}

} // namespace egret
