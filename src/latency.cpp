#include "latency.h"

#include <algorithm>

namespace egret {

void LatencyHistogram::add(Duration duration)
{
    const auto bucket = std::ranges::find_if(
            kBucketBoundsMs, [duration](int bound) { return duration <= Milliseconds(bound); });
    ++this->counts[static_cast<std::size_t>(bucket - kBucketBoundsMs.begin())];
    ++this->total;
    this->sum += duration;
}

void LatencyHistogram::appendTo(std::string &text, const std::string &name,
                                const std::string &labels) const
{
    const std::string labelPrefix = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
        cumulativeCount += this->counts[i];
        const std::string bound =
                i < kBucketBoundsMs.size() ? std::to_string(kBucketBoundsMs[i] / 1000.0) : "+Inf";
        text += name + "_bucket{" + labelPrefix + "le=\"" + bound + "\"} "
                + std::to_string(cumulativeCount) + "\n";
    }
    const std::string labelSet = labels.empty() ? "" : "{" + labels + "}";
    text += name + "_count" + labelSet + " " + std::to_string(this->total) + "\n";
    text += name + "_sum" + labelSet + " " + std::to_string(this->sum.count()) + "\n";
}

} // namespace egret
