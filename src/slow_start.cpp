#include "slow_start.h"

#include <algorithm>

namespace egret {

namespace {

/// Reciprocal of the weight of one answer in the average time to first byte.
constexpr int kAverageSpan = 16;
/// The same for a late answer: a lasting slowdown becomes the average, but slowly.
constexpr int kLateAverageSpan = 256;

} // namespace

SlowStart::SlowStart(SlowStartOptions options) : options(options)
{
    this->options.initial = std::min(this->options.initial, this->options.full);
    this->current = this->options.enabled ? this->options.initial : this->options.full;
}

void SlowStart::onIncarnation(std::uint64_t incarnation)
{
    const bool isNew = this->incarnation != 0 && this->incarnation != incarnation;
    this->incarnation = incarnation;
    if (isNew)
        this->restartWarmUp();
}

void SlowStart::onSuccess(std::uint64_t epoch, std::optional<Duration> firstByte)
{
    if (epoch != this->warmUpEpoch)
        return;
    this->failedInRow = 0;
    if (!firstByte)
        return this->countProven();
    if (!this->exceeds(*firstByte, this->options.slowFactor, this->options.slowFloor)) {
        this->slowInRow = 0;
        if (this->exceeds(*firstByte, this->options.lateFactor, this->options.lateFloor))
            return this->onLate(*firstByte);
        this->lateInRow = 0;
        this->updateAverage(*firstByte, kAverageSpan);
        return this->countProven();
    }
    if (++this->slowInRow < this->options.slowAnswers)
        return;
    // A warm upstream that turns slow has become cold; an upstream in warm-up is
    // overloaded.
    this->slowInRow = 0;
    if (this->current == this->options.full)
        this->restartWarmUp();
    else
        this->halve();
}

void SlowStart::onOverloaded(std::uint64_t epoch)
{
    if (epoch != this->warmUpEpoch)
        return;
    if (++this->failedInRow >= this->options.failures)
        this->restartWarmUp();
    else
        this->halve();
}

void SlowStart::onBroken(std::uint64_t epoch)
{
    if (epoch == this->warmUpEpoch && ++this->failedInRow >= this->options.failures)
        this->restartWarmUp();
}

/// Counts a late answer, which is not proven. Several in a row mean that the
/// upstream is overloaded, or has turned cold and can handle less load.
void SlowStart::onLate(Duration firstByte)
{
    this->updateAverage(firstByte, kLateAverageSpan);
    if (++this->lateInRow < this->options.lateAnswers)
        return;
    this->lateInRow = 0;
    this->halve();
}

void SlowStart::updateAverage(Duration firstByte, int span)
{
    const Duration gap = firstByte - this->averageFirstByte;
    const bool isKnown = this->averageFirstByte != Duration{};
    this->averageFirstByte = isKnown ? this->averageFirstByte + gap / span : firstByte;
}

void SlowStart::restartWarmUp()
{
    if (!this->options.enabled)
        return;
    ++this->warmUpEpoch;
    this->current = this->options.initial;
    this->proven = 0;
    this->slowInRow = 0;
    this->lateInRow = 0;
    this->failedInRow = 0;
    this->averageFirstByte = {};
}

void SlowStart::halve()
{
    if (!this->options.enabled)
        return;
    this->current = std::max(this->options.initial, this->current / 2);
    this->proven = 0;
}

bool SlowStart::exceeds(Duration firstByte, double factor, Duration floor) const
{
    if (this->averageFirstByte == Duration{})
        return false;
    const auto bound = std::chrono::duration_cast<Duration>(this->averageFirstByte * factor);
    return firstByte > std::max(bound, floor);
}

void SlowStart::countProven()
{
    if (this->current >= this->options.full || ++this->proven < this->options.answersPerStep)
        return;
    this->proven = 0;
    ++this->current;
}

} // namespace egret
