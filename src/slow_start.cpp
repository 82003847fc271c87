#include "slow_start.h"

#include <algorithm>

namespace egret {

namespace {

/// Weight of one answer in the average first byte is one over this.
constexpr int kAverageSpan = 16;
/// The same for a late answer: what is usual moves, but slowly.
constexpr int kLateSpan = 256;

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
        this->turnCold();
}

void SlowStart::onSuccess(std::uint64_t epoch, std::optional<Duration> firstByte)
{
    if (epoch != this->warmUp)
        return;
    this->failedInRow = 0;
    if (!firstByte)
        return this->prove();
    if (!this->isPast(*firstByte, this->options.slowFactor, this->options.slowFloor)) {
        this->slowInRow = 0;
        if (this->isPast(*firstByte, this->options.lateFactor, this->options.lateFloor))
            return this->onLate(*firstByte);
        this->lateInRow = 0;
        this->learn(*firstByte, kAverageSpan);
        return this->prove();
    }
    if (++this->slowInRow < this->options.slowAnswers)
        return;
    // A warm upstream that is slow all at once has turned cold; one that is
    // warming up has been given too much.
    this->slowInRow = 0;
    if (this->current == this->options.full)
        this->turnCold();
    else
        this->halve();
}

void SlowStart::onOverloaded(std::uint64_t epoch)
{
    if (epoch != this->warmUp)
        return;
    if (++this->failedInRow >= this->options.failures)
        this->turnCold();
    else
        this->halve();
}

void SlowStart::onBroken(std::uint64_t epoch)
{
    if (epoch == this->warmUp && ++this->failedInRow >= this->options.failures)
        this->turnCold();
}

/// An answer that is late proves nothing. Several in a row mean that the
/// upstream is given more than it bears, or has turned cold and bears less.
void SlowStart::onLate(Duration firstByte)
{
    this->learn(firstByte, kLateSpan);
    if (++this->lateInRow < this->options.lateAnswers)
        return;
    this->lateInRow = 0;
    this->halve();
}

void SlowStart::learn(Duration firstByte, int span)
{
    const Duration gap = firstByte - this->usualFirstByte;
    const bool isKnown = this->usualFirstByte != Duration{};
    this->usualFirstByte = isKnown ? this->usualFirstByte + gap / span : firstByte;
}

void SlowStart::turnCold()
{
    if (!this->options.enabled)
        return;
    ++this->warmUp;
    this->current = this->options.initial;
    this->proven = 0;
    this->slowInRow = 0;
    this->lateInRow = 0;
    this->failedInRow = 0;
    this->usualFirstByte = {};
}

void SlowStart::halve()
{
    if (!this->options.enabled)
        return;
    this->current = std::max(this->options.initial, this->current / 2);
    this->proven = 0;
}

bool SlowStart::isPast(Duration firstByte, double factor, Duration floor) const
{
    if (this->usualFirstByte == Duration{})
        return false;
    const auto bound = std::chrono::duration_cast<Duration>(this->usualFirstByte * factor);
    return firstByte > std::max(bound, floor);
}

void SlowStart::prove()
{
    if (this->current >= this->options.full || ++this->proven < this->options.answersPerStep)
        return;
    this->proven = 0;
    ++this->current;
}

} // namespace egret
