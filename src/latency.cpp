#include "latency.h"

#include <algorithm>

namespace egret {

void LatencyHistogram::add(Duration duration)
{
    const auto bound = std::ranges::find_if(
            kBoundsMs, [duration](int bound) { return duration <= Milliseconds(bound); });
    ++this->counts[static_cast<std::size_t>(bound - kBoundsMs.begin())];
    ++this->total;
    this->sum += duration;
}

void LatencyHistogram::print(std::string &text, const std::string &name,
                             const std::string &labels) const
{
    const std::string lead = labels.empty() ? "" : labels + ",";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
        below += this->counts[i];
        const std::string bound =
                i < kBoundsMs.size() ? std::to_string(kBoundsMs[i] / 1000.0) : "+Inf";
        text += name + "_bucket{" + lead + "le=\"" + bound + "\"} " + std::to_string(below) + "\n";
    }
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    text += name + "_count" + braces + " " + std::to_string(this->total) + "\n";
    text += name + "_sum" + braces + " " + std::to_string(this->sum.count()) + "\n";
}

} // namespace egret
