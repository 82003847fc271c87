#pragma once

#include "types.h"

#include <cstdint>

namespace egret {

struct SlowStartOptions
{
    std::uint32_t fullLimit{ 16 };     ///< concurrency limit of a warm upstream
    std::uint32_t answersPerStep{ 8 }; ///< timely answers per increase of the limit by one
    std::uint32_t initial{ 1 };        ///< concurrency limit of a cold upstream
    std::uint32_t slowAnswers{ 3 };    ///< slow answers in a row that reduce the limit
    std::uint32_t failures{ 3 };       ///< failures in a row that restart the warm-up
    /// An answer is slow above this multiple of the average time to first byte.
    double slowFactor{ 4.0 };
    Milliseconds slowFloor{ 200ms }; ///< longest time to first byte that is never slow
    std::uint32_t lateAnswers{ 6 };  ///< late answers in a row that halve the limit
    /// An answer is late above this multiple of the average time to first byte.
    double lateFactor{ 2.5 };
    Milliseconds lateFloor{ 60ms }; ///< longest time to first byte that is never late
    bool enabled{ true };           ///< false: the limit is always `fullLimit`
};

/// Slow start of one upstream: a limit on its requests in flight. The limit starts low and
/// grows by one per `answersPerStep` timely answers. A timely answer is complete, belongs
/// to the current warm-up and is neither late nor slow. An answer is late or slow when its
/// time to first byte exceeds a multiple of the moving average; the multiple is higher for
/// slow answers. The warm-up restarts when the upstream must be taken for cold: at a new
/// incarnation, after several slow answers in a row from a warm upstream and after several
/// failures in a row. Several slow answers in a row during a warm-up, or several late answers
/// in a row that are not slow, halve the limit; each further series halves the limit again.
/// Late answers have a low weight in the average; slow answers do not change the average.
/// Deterministic; not thread safe.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options);

    /// Limit on requests in flight.
    std::uint32_t limit() const { return this->currentLimit; }

    /// Number of the current warm-up. Results of requests admitted in an earlier warm-up
    /// are ignored.
    std::uint64_t epoch() const { return this->warmUpEpoch; }

    /// Sets the incarnation that the upstream reports; a new incarnation is cold.
    void onIncarnation(std::uint64_t incarnation);

    /// Counts a complete answer to a request admitted in `epoch`. `firstByte` is the
    /// time to first byte; empty if the time does not depend on the load of the upstream.
    void onSuccess(std::uint64_t epoch, std::optional<Duration> firstByte);

    /// Counts a request admitted in `epoch` that the upstream refused or dropped: halves
    /// the limit, or restarts the warm-up after `failures` in a row.
    void onOverloaded(std::uint64_t epoch);

    /// Counts an incomplete answer to a request admitted in `epoch`. A single failure has
    /// no effect; `failures` in a row restart the warm-up, because they show that the
    /// upstream has failed.
    void onIncompleteAnswer(std::uint64_t epoch);

private:
    /// Moves the average toward `firstByte` with a weight of 1 / `inverseSmoothingFactor`.
    void updateAverage(Duration firstByte, int inverseSmoothingFactor);
    void restartWarmUp();
    void halveLimit();
    /// True when the time to first byte exceeds `floor` and `factor` times its average;
    /// false while the average is unknown.
    bool firstByteExceeds(Duration firstByte, double factor, Duration floor) const;
    void onLateAnswer(Duration firstByte);
    /// Counts a timely answer, and raises the limit by one after `answersPerStep` of them.
    void countTimelyAnswer();

    SlowStartOptions options;
    std::uint32_t currentLimit{ 0 };
    std::uint64_t warmUpEpoch{ 1 };
    std::uint64_t incarnation{ 0 };
    std::uint32_t timelyCount{ 0 }; ///< timely answers at the current limit
    std::uint32_t consecutiveSlowAnswers{ 0 };
    std::uint32_t consecutiveLateAnswers{ 0 };
    std::uint32_t consecutiveFailures{ 0 };
    Duration averageFirstByte{}; ///< moving average of the time to first byte, zero while unknown
};

} // namespace egret
