#pragma once

#include "types.h"

#include <cstdint>

namespace egret {

struct SlowStartOptions
{
    std::uint32_t full{ 16 };          ///< concurrency of a warm upstream
    std::uint32_t answersPerStep{ 8 }; ///< proven answers that let the limit grow by one
    std::uint32_t initial{ 1 };        ///< concurrency of a cold one
    std::uint32_t slowAnswers{ 3 };    ///< slow answers in a row that mean overload
    std::uint32_t failures{ 3 };       ///< overload failures in a row that mean cold
    double slowFactor{ 4.0 };          ///< times the usual first byte that counts as slow
    Milliseconds slowFloor{ 200ms };   ///< first byte that is never slow
    std::uint32_t lateAnswers{ 6 };    ///< late answers in a row that halve the limit
    double lateFactor{ 2.5 };          ///< times the usual first byte that counts as late
    Milliseconds lateFloor{ 60ms };    ///< first byte that is never late
    bool enabled{ true };              ///< off: the limit is always `full`
};

/// Concurrency limit of one upstream. It starts low and grows by one after every
/// few proven answers; it falls back when the upstream turns
/// cold, which a new incarnation, slow first bytes or overload failures show.
/// First bytes that are late but not slow halve it, again and again while they
/// stay late; what is usual follows them little by little. Deterministic; not thread safe.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options);

    /// Requests that may run at once.
    std::uint32_t limit() const { return this->current; }

    /// Number of the present warm-up; results of requests admitted in an
    /// earlier one prove nothing.
    std::uint64_t epoch() const { return this->warmUp; }

    /// Takes the incarnation that the upstream reports; a new one is cold.
    void onIncarnation(std::uint64_t incarnation);

    /// A request admitted in `epoch` ended whole, with its first byte after
    /// `firstByte` where that tells of the upstream's state.
    void onSuccess(std::uint64_t epoch, std::optional<Duration> firstByte);

    /// A request admitted in `epoch` was refused or dropped by the upstream.
    void onOverloaded(std::uint64_t epoch);

    /// An answer admitted in `epoch` broke in its middle. One proves nothing,
    /// several in a row mean that the upstream has fallen over.
    void onBroken(std::uint64_t epoch);

private:
    void learn(Duration firstByte, int span);
    void turnCold();
    void halve();
    bool isPast(Duration firstByte, double factor, Duration floor) const;
    void onLate(Duration firstByte);
    void prove();

    SlowStartOptions options;
    std::uint32_t current{ 0 };
    std::uint64_t warmUp{ 1 };
    std::uint64_t incarnation{ 0 };
    std::uint32_t proven{ 0 }; ///< proven answers at the present limit
    std::uint32_t slowInRow{ 0 };
    std::uint32_t lateInRow{ 0 };
    std::uint32_t failedInRow{ 0 };
    Duration usualFirstByte{}; ///< moving average, zero while unknown
};

} // namespace egret
