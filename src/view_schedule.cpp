#include "view_schedule.h"

#include <algorithm>

namespace egret {

namespace {

/// Share of the burst that pushes leave for pulls.
constexpr double kPullReserve = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ViewSchedule::ViewSchedule(ViewScheduleOptions options)
    : options(options), tokens(options.viewsPerSecond * seconds(options.burst))
{}

void ViewSchedule::onPull(const std::string &name, DueView::Pull pull, TimePoint now)
{
    Reader &reader = this->readers[name];
    reader.lastPullAt = now;
    if (reader.pull) {
        pull.wantsDocument = pull.wantsDocument || reader.pull->wantsDocument;
    } else {
        reader.pulledAt = now;
        this->pullOrder.push_back(name);
    }
    reader.pull = pull;
}

std::vector<DueView> ViewSchedule::takeDue(TimePoint now)
{
    std::vector<DueView> due;
    this->refill(now);
    this->takePulls(now, due);
    this->takePushes(now, due);
    return due;
}

void ViewSchedule::refill(TimePoint now)
{
    if (this->refilledAt)
        this->tokens += this->options.viewsPerSecond * seconds(now - *this->refilledAt);
    this->tokens =
            std::min(this->tokens, this->options.viewsPerSecond * seconds(this->options.burst));
    this->refilledAt = now;
}

void ViewSchedule::takePulls(TimePoint now, std::vector<DueView> &due)
{
    while (!this->pullOrder.empty()) {
        const auto found = this->readers.find(this->pullOrder.front());
        const bool isForgotten = found == this->readers.end() || !found->second.pull;
        if (!isForgotten && now < found->second.pulledAt + this->options.maxPullWait) {
            if (this->tokens < 1)
                return;
            this->tokens -= 1;
            due.push_back({ .reader = found->first, .pull = found->second.pull });
            found->second.sentChange = this->lastChange;
        } else if (!isForgotten) {
            ++this->droppedPullCount;
        }
        if (!isForgotten)
            found->second.pull.reset();
        this->pullOrder.pop_front();
    }
}

void ViewSchedule::takePushes(TimePoint now, std::vector<DueView> &due)
{
    if (this->lastPushAt && now < *this->lastPushAt + this->options.gatherTime)
        return;
    const double reserve =
            kPullReserve * this->options.viewsPerSecond * seconds(this->options.burst);
    auto next = this->readers.upper_bound(this->lastPushed);
    for (std::size_t i = 0; i < this->readers.size() && this->tokens >= reserve + 1; ++i) {
        if (next == this->readers.end())
            next = this->readers.begin();
        auto &[name, reader] = *next++;
        const bool isActive = now < reader.lastPullAt + this->options.readerTimeout;
        if (!isActive || reader.sentChange == this->lastChange)
            continue;
        this->tokens -= 1;
        reader.sentChange = this->lastChange;
        this->lastPushed = name;
        this->lastPushAt = now;
        due.push_back({ .reader = name });
    }
}

} // namespace egret
