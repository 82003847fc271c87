#include "source_pool.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kFirstBackoff = 250ms;
constexpr Milliseconds kLongestBackoff = 8s;
constexpr Milliseconds kCorruptBackoff = 60s;
/// Of the only source, after damaged bytes and at most after failures.
constexpr Milliseconds kOnlyBackoff = 100ms;
constexpr Milliseconds kOnlyLongestBackoff = 100ms;
constexpr std::uint32_t kMostDoublings = 5;

} // namespace

void SourcePool::reset(std::size_t count)
{
    this->sources.assign(count, Source{});
    this->turn = 0;
}

std::optional<std::size_t> SourcePool::choose(TimePoint now)
{
    for (std::size_t i = 0; i < this->sources.size(); ++i) {
        const std::size_t index = (this->turn + i) % this->sources.size();
        if (now < this->sources[index].askAfter)
            continue;
        this->turn = index + 1;
        return index;
    }
    return std::nullopt;
}

void SourcePool::onSuccess(std::size_t source)
{
    if (source < this->sources.size())
        this->sources[source].failures = 0;
}

void SourcePool::onFailure(std::size_t source, Milliseconds retryAfter, TimePoint now)
{
    if (source >= this->sources.size())
        return;
    Source &failed = this->sources[source];
    const auto doublings = std::min(failed.failures, kMostDoublings);
    ++failed.failures;
    const Milliseconds longest = this->sources.size() == 1 ? kOnlyLongestBackoff : kLongestBackoff;
    const Milliseconds backoff = std::min(kFirstBackoff * (1U << doublings), longest);
    failed.askAfter = now + std::max(backoff, retryAfter);
}

void SourcePool::onCorrupt(std::size_t source, TimePoint now)
{
    if (source >= this->sources.size())
        return;
    // The only source has to be asked again: not all that it sends is damaged.
    const Milliseconds backoff = this->sources.size() == 1 ? kOnlyBackoff : kCorruptBackoff;
    this->sources[source].askAfter = now + backoff;
}

} // namespace egret
