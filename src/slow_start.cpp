#include "slow_start.h"

#include <algorithm>

namespace egret {

namespace {

/// Inverse of the smoothing factor, the weight of one answer in the moving average of the time to
/// first byte.
constexpr int kInverseSmoothingFactor = 16;
/// Inverse of the smoothing factor for a late answer. An answer is late or, at a higher threshold,
/// slow when its time to first byte exceeds a multiple of the average. The average adapts to a
/// lasting slowdown, but slowly enough that the slowdown is detected first.
constexpr int kLateInverseSmoothingFactor = 256;

} // namespace

SlowStart::SlowStart(SlowStartOptions options) : options(options)
{
    this->options.initial = std::min(this->options.initial, this->options.fullLimit);
    this->currentLimit = this->options.enabled ? this->options.initial : this->options.fullLimit;
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
    this->consecutiveFailures = 0;
    if (!firstByte)
        return this->countTimelyAnswer();
    if (!this->firstByteExceeds(*firstByte, this->options.slowFactor, this->options.slowFloor)) {
        this->consecutiveSlowAnswers = 0;
        if (this->firstByteExceeds(*firstByte, this->options.lateFactor, this->options.lateFloor))
            return this->onLateAnswer(*firstByte);
        this->consecutiveLateAnswers = 0;
        this->updateAverage(*firstByte, kInverseSmoothingFactor);
        return this->countTimelyAnswer();
    }
    if (++this->consecutiveSlowAnswers < this->options.slowAnswers)
        return;
    // A warm upstream that answers slowly has become cold. An upstream in warm-up that
    // answers slowly is overloaded.
    this->consecutiveSlowAnswers = 0;
    if (this->currentLimit == this->options.fullLimit)
        this->restartWarmUp();
    else
        this->halveLimit();
}

void SlowStart::onOverloaded(std::uint64_t epoch)
{
    if (epoch != this->warmUpEpoch)
        return;
    if (++this->consecutiveFailures >= this->options.failures)
        this->restartWarmUp();
    else
        this->halveLimit();
}

void SlowStart::onIncompleteAnswer(std::uint64_t epoch)
{
    if (epoch == this->warmUpEpoch && ++this->consecutiveFailures >= this->options.failures)
        this->restartWarmUp();
}

/// Counts a late answer. A late answer does not count towards raising the limit. Several late
/// answers in a row mean that the upstream is overloaded, or has become cold and can handle less
/// load.
void SlowStart::onLateAnswer(Duration firstByte)
{
    this->updateAverage(firstByte, kLateInverseSmoothingFactor);
    if (++this->consecutiveLateAnswers < this->options.lateAnswers)
        return;
    this->consecutiveLateAnswers = 0;
    this->halveLimit();
}

void SlowStart::updateAverage(Duration firstByte, int inverseSmoothingFactor)
{
    const Duration difference = firstByte - this->averageFirstByte;
    const bool isKnown = this->averageFirstByte != Duration{};
    this->averageFirstByte =
            isKnown ? this->averageFirstByte + difference / inverseSmoothingFactor : firstByte;
}

void SlowStart::restartWarmUp()
{
    if (!this->options.enabled)
        return;
    ++this->warmUpEpoch;
    this->currentLimit = this->options.initial;
    this->timelyCount = 0;
    this->consecutiveSlowAnswers = 0;
    this->consecutiveLateAnswers = 0;
    this->consecutiveFailures = 0;
    this->averageFirstByte = {};
}

void SlowStart::halveLimit()
{
    if (!this->options.enabled)
        return;
    this->currentLimit = std::max(this->options.initial, this->currentLimit / 2);
    this->timelyCount = 0;
}

bool SlowStart::firstByteExceeds(Duration firstByte, double factor, Duration floor) const
{
    if (this->averageFirstByte == Duration{})
        return false;
    const auto bound = std::chrono::duration_cast<Duration>(this->averageFirstByte * factor);
    return firstByte > std::max(bound, floor);
}

void SlowStart::countTimelyAnswer()
{
    if (this->currentLimit >= this->options.fullLimit
        || ++this->timelyCount < this->options.answersPerStep)
        return;
    this->timelyCount = 0;
    ++this->currentLimit;
}

} // namespace egret
