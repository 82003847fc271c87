#include "outlier.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

constexpr std::uint32_t kMaxDoublings = 16;

} // namespace

void OutlierDetector::onSuccess(const std::string &agent)
{
    const auto found = this->byAgent.find(agent);
    if (found == this->byAgent.end())
        return;
    found->second.failedInRow = 0;
    found->second.ejections = 0;
}

void OutlierDetector::onFailure(const std::string &agent, TimePoint now, bool mayEject)
{
    History &history = this->byAgent[agent];
    history.penalty = this->decayed(history, now) + 1.0;
    history.failedAt = now;
    if (++history.failedInRow < this->options.failuresInRow)
        return;
    // One more failure after the ejection ejects again, without a new run of failures.
    history.failedInRow = this->options.failuresInRow - 1;
    if (!mayEject || now < history.ejectedUntil)
        return;
    const std::uint32_t doublings = std::min(history.ejections++, kMaxDoublings);
    const Milliseconds length = this->options.firstEjection * (1U << doublings);
    history.ejectedUntil = now + std::min(length, this->options.longestEjection);
}

bool OutlierDetector::isEjected(const std::string &agent, TimePoint now) const
{
    const auto found = this->byAgent.find(agent);
    return found != this->byAgent.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::penalty(const std::string &agent, TimePoint now) const
{
    const auto found = this->byAgent.find(agent);
    return found == this->byAgent.end() ? 0.0 : this->decayed(found->second, now);
}

void OutlierDetector::expire(TimePoint now)
{
    std::erase_if(this->byAgent, [&](const auto &entry) {
        return now - entry.second.failedAt > 2 * this->options.longestEjection;
    });
}

double OutlierDetector::decayed(const History &history, TimePoint now) const
{
    const std::chrono::duration<double> age = now - history.failedAt;
    const std::chrono::duration<double> halfLife = this->options.penaltyHalfLife;
    return history.penalty * std::exp2(-age / halfLife);
}

} // namespace egret
