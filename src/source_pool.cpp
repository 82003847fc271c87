#include "source_pool.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kFirstBackoff = 250ms;
constexpr Milliseconds kMaxBackoff = 8s;
constexpr Milliseconds kCorruptBackoff = 60s;
/// With a single source, corrupt bytes and failures get a short backoff, because there is
/// no other source to use meanwhile.
constexpr Milliseconds kSingleSourceCorruptBackoff = 100ms;
constexpr Milliseconds kSingleSourceMaxBackoff = 100ms;
constexpr std::uint32_t kMaxDoublings = 5;

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
        if (now < this->sources[index].notBefore)
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
    const auto doublings = std::min(failed.failures, kMaxDoublings);
    ++failed.failures;
    const Milliseconds longest = this->sources.size() == 1 ? kSingleSourceMaxBackoff : kMaxBackoff;
    const Milliseconds backoff = std::min(kFirstBackoff * (1U << doublings), longest);
    failed.notBefore = now + std::max(backoff, retryAfter);
}

void SourcePool::onCorrupt(std::size_t source, TimePoint now)
{
    if (source >= this->sources.size())
        return;
    // A single source has to be retried soon: not all of its bytes are corrupt.
    const Milliseconds backoff =
            this->sources.size() == 1 ? kSingleSourceCorruptBackoff : kCorruptBackoff;
    this->sources[source].notBefore = now + backoff;
}

} // namespace egret
