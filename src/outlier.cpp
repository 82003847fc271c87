#include "outlier.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// Limit on doublings of the ejection time; prevents an overflow before `maxEjectionTime`
/// applies.
constexpr std::uint32_t kMaxDoublings = 16;

} // namespace

void OutlierDetector::onSuccess(const std::string &agent)
{
    const auto found = this->historyByAgent.find(agent);
    if (found == this->historyByAgent.end())
        return;
    found->second.failureCount = 0;
    found->second.consecutiveEjections = 0;
}

void OutlierDetector::onFailure(const std::string &agent, TimePoint now, bool mayEject)
{
    History &history = this->historyByAgent[agent];
    history.penalty = this->decayedPenalty(history, now) + 1.0;
    history.failedAt = now;
    if (++history.failureCount < this->options.consecutiveFailures)
        return;
    // After the ejection a single further failure ejects the upstream again.
    history.failureCount = this->options.consecutiveFailures - 1;
    if (!mayEject || now < history.ejectedUntil)
        return;
    const std::uint32_t doublings = std::min(history.consecutiveEjections++, kMaxDoublings);
    const Milliseconds ejectionTime = this->options.baseEjectionTime * (1U << doublings);
    history.ejectedUntil = now + std::min(ejectionTime, this->options.maxEjectionTime);
}

bool OutlierDetector::isEjected(const std::string &agent, TimePoint now) const
{
    const auto found = this->historyByAgent.find(agent);
    return found != this->historyByAgent.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::penalty(const std::string &agent, TimePoint now) const
{
    const auto found = this->historyByAgent.find(agent);
    return found == this->historyByAgent.end() ? 0.0 : this->decayedPenalty(found->second, now);
}

void OutlierDetector::expire(TimePoint now)
{
    std::erase_if(this->historyByAgent, [&](const auto &entry) {
        return now - entry.second.failedAt > 2 * this->options.maxEjectionTime;
    });
}

double OutlierDetector::decayedPenalty(const History &history, TimePoint now) const
{
    const std::chrono::duration<double> age = now - history.failedAt;
    const std::chrono::duration<double> halfLife = this->options.penaltyHalfLife;
    return history.penalty * std::exp2(-age / halfLife);
}

} // namespace egret
