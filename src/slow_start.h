#pragma once

#include "types.h"

#include <cstdint>

namespace egret {

struct SlowStartOptions
{
    std::uint32_t full{ 16 };          ///< concurrency limit of a warm upstream
    std::uint32_t answersPerStep{ 8 }; ///< proven answers per increase of the limit by one
    std::uint32_t initial{ 1 };        ///< concurrency limit of a cold upstream
    std::uint32_t slowAnswers{ 3 };    ///< slow answers in a row that indicate overload
    std::uint32_t failures{ 3 };       ///< failures in a row that restart the warm-up
    double slowFactor{ 4.0 };          ///< multiple of the average time to first byte that is slow
    Milliseconds slowFloor{ 200ms };   ///< time to first byte up to which an answer is never slow
    std::uint32_t lateAnswers{ 6 };    ///< late answers in a row that halve the limit
    double lateFactor{ 2.5 };          ///< multiple of the average time to first byte that is late
    Milliseconds lateFloor{ 60ms };    ///< time to first byte up to which an answer is never late
    bool enabled{ true };              ///< off: the limit is always `full`
};

/// Concurrency limit of one upstream. The limit starts low and grows by one per
/// `answersPerStep` proven answers: complete answers of the current warm-up that are
/// neither late nor slow. A new incarnation, slow first bytes or repeated failures
/// show a cold upstream and restart the warm-up. Runs of late but not slow first
/// bytes halve the limit, repeatedly while they stay late; the average follows late
/// first bytes slowly. Deterministic; not thread safe.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options);

    /// Limit on requests in flight.
    std::uint32_t limit() const { return this->current; }

    /// Number of the current warm-up; results of requests admitted in an earlier
    /// warm-up are ignored.
    std::uint64_t epoch() const { return this->warmUpEpoch; }

    /// Sets the incarnation that the upstream reports; a new incarnation is cold.
    void onIncarnation(std::uint64_t incarnation);

    /// Counts a complete answer to a request admitted in `epoch`. `firstByte` is the
    /// time to first byte, empty if not representative of the upstream's load.
    void onSuccess(std::uint64_t epoch, std::optional<Duration> firstByte);

    /// Counts a request admitted in `epoch` that the upstream refused or dropped.
    void onOverloaded(std::uint64_t epoch);

    /// Counts an answer to a request admitted in `epoch` that broke off. One is
    /// ignored, `failures` in a row mean that the upstream has failed.
    void onBroken(std::uint64_t epoch);

private:
    void updateAverage(Duration firstByte, int span);
    void restartWarmUp();
    void halve();
    bool exceeds(Duration firstByte, double factor, Duration floor) const;
    void onLate(Duration firstByte);
    void countProven();

    SlowStartOptions options;
    std::uint32_t current{ 0 };
    std::uint64_t warmUpEpoch{ 1 };
    std::uint64_t incarnation{ 0 };
    std::uint32_t proven{ 0 }; ///< proven answers at the current limit
    std::uint32_t slowInRow{ 0 };
    std::uint32_t lateInRow{ 0 };
    std::uint32_t failedInRow{ 0 };
    Duration averageFirstByte{}; ///< moving average of the time to first byte, zero while unknown
};

} // namespace egret
