#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <string>

namespace egret {

/// Histogram of latencies with fixed buckets, exported in the Prometheus text format. Not thread
/// safe.
class LatencyHistogram
{
public:
    void add(Duration duration);

    /// Appends the histogram to `text` as the metric `name`, in seconds. `labels` is a list such
    /// as `a="b",c="d"` and may be empty.
    void appendTo(std::string &text, const std::string &name, const std::string &labels) const;

private:
    static constexpr std::array<int, 10> kBucketBoundsMs = { 5,   10,  25,   50,   100,
                                                             250, 500, 1000, 2500, 5000 };

    /// Number of latencies in each bucket; the last bucket has no upper bound.
    std::array<std::uint64_t, kBucketBoundsMs.size() + 1> counts{};
    std::uint64_t total{ 0 }; ///< number of latencies in all buckets
    std::chrono::duration<double> sum{ 0 };
};

} // namespace egret
